"""What a proxy keeps over its end: its types and how they age, their form on disk, the file."""

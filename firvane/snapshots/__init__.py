"""What a proxy keeps over its end: words and how they age, their form on disk, the file."""

"""Stand-ins and process control for the scripts of this review; the standard library alone."""

"""Versioned items passed on to all members: rumours to a few of them, digests that repair gaps."""

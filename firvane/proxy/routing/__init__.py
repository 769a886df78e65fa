"""Structures for routing at size: what the decisions ask often, kept as it changes."""

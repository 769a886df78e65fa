"""Data structures for routing in large fleets: answers to frequent queries, updated incrementally."""

"""Cluster membership: members, their incarnations, and failure detection (after SWIM)."""

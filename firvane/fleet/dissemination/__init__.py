"""Dissemination of versioned items to all members: gossip to a few of them, and anti-entropy by digests."""

"""Dissemination of versioned items to all members by gossip, with anti-entropy by digests."""

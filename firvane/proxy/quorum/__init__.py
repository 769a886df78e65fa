"""Consensus on one policy for all proxies: Paxos among a few voters, read leases for all, texts by digest."""

"""Consensus replication (Raft) of one small state machine; a replica is itself a pure state machine.

`docs/replication.md` states the protocol and its rules. Nothing here reads a clock, opens a socket or a file.
"""

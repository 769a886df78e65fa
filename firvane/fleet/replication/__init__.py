"""Consensus replication (Raft) of a small state machine.

A replica is itself a pure state machine: no module here reads a clock or opens a socket or a file.
`docs/replication.md` specifies the protocol and its rules.
"""

"""Replication of one small state machine: a replica of the group as a pure state machine.

`docs/replication.md` states the protocol and its rules. Nothing here reads a clock, opens a socket or a file.
"""

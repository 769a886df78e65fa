"""Journals on a disk: segments of checksummed frames with a snapshot beside them, and the thread that syncs.

Nothing here knows what is stored. `docs/replication.md` states the format and what it bears.
"""

"""Write-ahead journals: segments of checksummed frames, snapshot files, and the thread that syncs them.

The content of records and snapshots is opaque here. `docs/replication.md` states which faults are tolerated.
"""

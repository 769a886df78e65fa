"""Write-ahead journals: segments of checksummed frames, snapshot files, and the thread that syncs them.

Records and snapshots are opaque bytes to this package. `docs/replication.md` lists the tolerated faults.
"""

"""A measurement rig for the proxy's limits: real sockets, a real proxy process, everything on loopback.

The rig imports nothing of firvane: it starts any checkout of it as the platform does and judges it from
outside. Each part that makes load or answers it is a process of its own (`python -m benchmarks.rig.NAME
SPEC`), so that none of them waits for another. `benchmarks/limits.py` is the command.
"""

"""Puts limits on itself and becomes another program: `python shim.py '{"cores": [3]}' PROGRAM ARGUMENT...`.

Between fork and exec of a process that has threads no Python code is safe, so this runs after them. The
limits are kept through the exec, and so is the process id. `cores`: those it may use; `nice`: steps of
politeness; `sockets`: descriptors that it may hold. It is killed when its starter ends, however that ends.
"""

import ctypes
import json
import os
import resource
import signal
import sys

if __name__ == "__main__":
    limits = json.loads(sys.argv[1])
    ctypes.CDLL(None).prctl(1, signal.SIGKILL)  # PR_SET_PDEATHSIG
    os.sched_setaffinity(0, limits["cores"])
    os.nice(limits.get("nice", 0))
    if sockets := limits.get("sockets"):
        resource.setrlimit(resource.RLIMIT_NOFILE, (sockets, sockets))
    os.execv(sys.argv[2], sys.argv[2:])

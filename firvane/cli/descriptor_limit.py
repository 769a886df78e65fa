"""Room for descriptors, as many as a configuration promises."""

from __future__ import annotations

import resource

from firvane.cli import Bad


def make_room(file: str, sockets: int) -> None:
    """Raise this process's limit on descriptors to that; `Bad` where the system allows fewer."""
    soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    if hard != resource.RLIM_INFINITY and hard < sockets:
        raise Bad(f"{file}: limits.sockets: is {sockets}, and the system allows {hard} (ulimit -Hn)")
    if soft != resource.RLIM_INFINITY and soft < sockets:
        resource.setrlimit(resource.RLIMIT_NOFILE, (sockets, hard))

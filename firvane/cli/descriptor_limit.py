"""Adjusts the limit on open descriptors to the configuration."""

from __future__ import annotations

import resource

from firvane.cli import InvalidInputError


def raise_limit(file: str, sockets: int) -> None:
    """Raise the descriptor limit of this process to `sockets`.

    Raises:
        InvalidInputError: The hard limit is lower.
    """
    soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    if hard != resource.RLIM_INFINITY and hard < sockets:
        raise InvalidInputError(
            f"{file}: limits.sockets: is {sockets}, and the system allows {hard} (ulimit -Hn)"
        )
    if soft != resource.RLIM_INFINITY and soft < sockets:
        resource.setrlimit(resource.RLIMIT_NOFILE, (sockets, hard))

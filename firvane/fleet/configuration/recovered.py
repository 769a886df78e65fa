"""The configuration version that a recovered log leads to: the applied version, and unapplied orders.

After a restart the tail of the log is applied only once a majority has confirmed it; the version on disk is
known immediately.
"""

from __future__ import annotations

from collections.abc import Iterable

import msgspec

from firvane.fleet.configuration.orders import Order, RecordError


class _VersionField(msgspec.Struct):
    config_version: int


def recovered_version(applied: int, records: Iterable[bytes]) -> int:
    """Return the version that the packed orders lead to from the version `applied`, if all are committed.

    Orders were validated before they were proposed, so only their base is checked. A malformed order or one
    with another base changes nothing, as in `ConfigurationState.apply`.
    """
    version = applied
    for record in records:
        version = _next_version(version, record)
    return version


def _next_version(version: int, record: bytes) -> int:
    try:
        order = Order.unpack(record)
        if order.base != version:
            return version
        following = msgspec.json.decode(order.body, type=_VersionField).config_version
    except (RecordError, msgspec.MsgspecError, ValueError, RecursionError):
        return version
    return max(version, following)

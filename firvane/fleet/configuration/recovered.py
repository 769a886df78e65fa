"""Which version of the configuration a disk holds: what is applied, and the orders that follow it in the log.

After a restart the log's tail is applied only once a majority has confirmed it, so that the version in force
is not known yet. What the disk holds is known at once.
"""

from __future__ import annotations

from collections.abc import Iterable

import msgspec

from firvane.fleet.configuration.orders import Order, RecordError


class _VersionField(msgspec.Struct):
    config_version: int


def recovered_version(applied: int, records: Iterable[bytes]) -> int:
    """The version that the packed orders lead to from the version `applied`, if all of them are committed.

    Orders were checked before they were proposed, so only their base is looked at; what cannot be read or
    builds on another version changes nothing, as in `ConfigurationState.apply`.
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

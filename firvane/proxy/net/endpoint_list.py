"""The JSON format of discovery's endpoint lists: parsing, and formatting for the list stored on disk."""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from typing import Any

from firvane.core import interface as api
from firvane.core.address import Address, parse_address

STATES_BY_STATUS = {
    "up": api.ServerState.UP,
    "draining": api.ServerState.DRAINING,
    "removed": api.ServerState.GONE,
}
STATUS_NAMES = {state: status for status, state in STATES_BY_STATUS.items()}
MAX_ENDPOINTS = 100_000
MAX_LINE_BYTES = 4 << 20
MAX_NUMBER = 1e15  # of any number in an endpoint


class EndpointListError(ValueError):
    """An endpoint list, or a line of it, is not in discovery's format."""


class EndpointListReader:
    """Parses endpoint lists, and maps the names of zones and kinds to their numbers in the settings."""

    def __init__(
        self,
        zones: Sequence[str],
        kinds: Sequence[str],
        max_endpoints: int = MAX_ENDPOINTS,
        max_line_bytes: int = MAX_LINE_BYTES,
    ) -> None:
        """Create a reader.

        Args:
            zones: The names of the zones, in the order of their numbers.
            kinds: The names of the server kinds, in the order of their numbers.
            max_endpoints: Endpoints that a list may have.
            max_line_bytes: Bytes that a line of discovery's response may have.
        """
        self.max_endpoints, self.max_line_bytes = max_endpoints, max_line_bytes
        self.zones = {name: i for i, name in enumerate(zones)}
        self.kinds = {name: i for i, name in enumerate(kinds)}

    def read(self, data: Any) -> tuple[api.ServerList, dict[str, Address]]:
        """Return the list and the addresses of its targets; raises `EndpointListError` if it is invalid."""
        if not isinstance(data, dict) or not isinstance(data.get("endpoints"), list):
            raise EndpointListError("no list of endpoints")
        index = data.get("index")
        if isinstance(index, bool) or not isinstance(index, int) or index < 0:
            raise EndpointListError(f"index is {index!r}")
        if len(data["endpoints"]) > self.max_endpoints:
            raise EndpointListError(
                f"{len(data['endpoints'])} endpoints, and {self.max_endpoints} fit in limits.memory_mb"
            )
        kind = api.ListKind.COMPLETE if data.get("snapshot") is True else api.ListKind.INCREMENTAL
        addresses: dict[str, Address] = {}
        servers = tuple(self._entry(entry, addresses) for entry in data["endpoints"])
        return api.ServerList(kind, index, servers), addresses

    def _entry(self, entry: Any, addresses: dict[str, Address]) -> api.Server:
        if not isinstance(entry, dict):
            raise EndpointListError("an endpoint is not an object")
        name, state = entry.get("name"), STATES_BY_STATUS.get(str(entry.get("status")))
        if not isinstance(name, str) or not name or state is None:
            raise EndpointListError(f"endpoint {name!r} has status {entry.get('status')!r}")
        try:
            name.encode()
        except UnicodeEncodeError:  # a lone surrogate, which JSON escapes can express
            raise EndpointListError(f"endpoint {name!r} has a lone surrogate in its name") from None
        numbers = [entry.get("since_ms") or 0, entry.get("group") or 0, entry.get("weight", 1.0)]
        if not all(isinstance(n, int | float) and 0 <= n < MAX_NUMBER for n in numbers):
            raise EndpointListError(f"endpoint {name!r} has a number out of range")
        since, group, weight = numbers
        if state is not api.ServerState.GONE:
            try:
                addresses[name] = parse_address(entry.get("address"))
            except ValueError as error:
                raise EndpointListError(f"endpoint {name!r}: {error}") from None
        return api.Server(
            id=name,
            kind=self.kinds.get(str(entry.get("type")), len(self.kinds)),
            cell=int(group),
            state=state,
            up_since=since / 1000 if since else None,
            weight=float(weight),
            zone=self.zones.get(str(entry.get("zone")), len(self.zones)),
        )


def format_endpoint_list(
    index: int, servers: list[api.Server], addresses: Mapping[str, Address], reader: EndpointListReader
) -> dict[str, Any]:
    """Return a complete list in discovery's format, as `EndpointListReader` parses it."""
    zones, kinds = list(reader.zones), list(reader.kinds)
    endpoints = [
        {
            "name": server.id,
            "address": "{}:{}".format(*addresses[server.id]),
            "zone": zones[server.zone] if server.zone < len(zones) else "",
            "type": kinds[server.kind] if server.kind < len(kinds) else "",
            "group": server.cell,
            "status": STATUS_NAMES[server.state],
            "weight": server.weight,
            "since_ms": round(1000 * server.up_since) if server.up_since else 0,
        }
        for server in servers
    ]
    return {"index": index, "snapshot": True, "endpoints": endpoints}

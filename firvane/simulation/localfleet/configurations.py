"""The configurations that the operator stand-in sends: an initial one, then small changes."""

from __future__ import annotations

import json
from collections.abc import Sequence
from dataclasses import dataclass

from firvane.simulation.localfleet.profiles import HEALTH_PATH, MODEL, SERVICE, RequestClass, ServerProfile

Document = dict[str, object]

FIRST_VERSION = 1
MAX_HEADER_BYTES = 16_384
MAX_BODY_BYTES = 4_194_304
CACHE_TOKEN_BYTES = 163_840
LINK_MBPS = 550_000.0
EXTRA_ROUTES: tuple[Document, ...] = (  # successive variants of the extra route, which is then removed
    {"timeout_ms": 8_000},
    {"timeout_ms": 6_000, "max_attempts": 1},
    {"weighted_split": [{"service": SERVICE, "weight": 90}, {"service": SERVICE, "weight": 10}]},
)
EXTRA_NAME = "route-extra"
RIVAL_TIMEOUT_MS = 7_000  # timeout of the extra route in the order that competes with a change
LIVE_TIMEOUT_FACTORS = (1.0, 0.9)  # applied in turn to the routes in use
VERSION_STEPS = (2, 1, 3)  # versions rise in uneven steps


@dataclass(frozen=True, slots=True)
class ConfigurationOrder:
    """A configuration order: the path of the call, its base version and its body.

    `document` is the complete configuration after the order.
    """

    path: str
    base: int
    version: int
    body: bytes
    document: Document


def _route(kind: RequestClass) -> Document:
    return {
        "name": f"route-{kind.name}",
        "host": kind.host,
        "path_prefix": kind.path_prefix,
        "kind": "streaming",
        "timeout_ms": round(kind.deadline * 1000),
        "target_latency_ms": round(kind.latency_target * 1000),
        "priority": kind.priority,
        "service": SERVICE,
        "max_attempts": kind.max_attempts,
        "session_affinity": True,
        "stream_resume": kind.resumable,
        "gap_aim_ms": round(kind.gap_target * 1000),
    }


def _service(profile: ServerProfile) -> Document:
    return {
        "name": SERVICE,
        "health_path": HEALTH_PATH,
        "connection_limit": profile.connection_limit,
        "protocol": "h1",
        "tls": False,
        "engine": {
            "slots": profile.slots,
            "cache_tokens": profile.cache_tokens,
            "cache_token_bytes": CACHE_TOKEN_BYTES,
            "link_mbps": LINK_MBPS,
            "stride": profile.stride,
            "models": [{"name": MODEL}],
        },
    }


class Configurations:
    """Makes successive orders, and stores the configuration after the last acknowledged one.

    With `changes_live_routes`, orders also change timeouts and attempts of the routes in use.
    """

    def __init__(
        self, kinds: Sequence[RequestClass], profile: ServerProfile, *, changes_live_routes: bool = False
    ) -> None:
        self._kinds, self._profile = list(kinds), profile
        self._changes_live_routes = changes_live_routes
        self._changes = 0
        self.version = 0
        self.document: Document = {}

    def first(self) -> ConfigurationOrder:
        """Replace the empty configuration with one that has a route for each class."""
        document = self._document(FIRST_VERSION, [_route(kind) for kind in self._kinds])
        body = json.dumps(document).encode()
        return ConfigurationOrder("/v1/config/replace", 0, FIRST_VERSION, body, document)

    def change(self) -> ConfigurationOrder:
        """Add, change or remove an extra route, in turn."""
        return self._modify(self._next_extra())

    def rival(self) -> ConfigurationOrder:
        """A different order with the same version and base as `change`."""
        return self._modify({**self._extra_route(), "timeout_ms": RIVAL_TIMEOUT_MS})

    def acknowledged(self, order: ConfigurationOrder) -> None:
        """Record an accepted order, the base of the next one."""
        self._changes += bool(self.version)
        self.version = order.version
        self.document = order.document

    def _modify(self, extra: Document | None) -> ConfigurationOrder:
        version = self.version + VERSION_STEPS[self._changes % len(VERSION_STEPS)]
        live = self._next_live_routes()
        upserted = [*live, extra] if extra else live
        body: Document = {"config_version": version}
        if upserted:
            body["upsert"] = {"routes": upserted}
        if extra is None:
            body["remove"] = {"routes": [EXTRA_NAME]}
        routes = live or [_route(kind) for kind in self._kinds]
        document = self._document(version, [*routes, extra] if extra else routes)
        return ConfigurationOrder(
            "/v1/config/modify", self.version, version, json.dumps(body).encode(), document
        )

    def _next_live_routes(self) -> list[Document]:
        """The routes in use after the next change; empty if it does not change them."""
        if not self._changes_live_routes:
            return []
        factor = LIVE_TIMEOUT_FACTORS[self._changes % len(LIVE_TIMEOUT_FACTORS)]
        fewer = factor < 1.0
        return [
            {
                **_route(kind),
                "timeout_ms": round(kind.deadline * 1000 * factor),
                "max_attempts": max(1, kind.max_attempts - fewer),
            }
            for kind in self._kinds
        ]

    def _next_extra(self) -> Document | None:
        turn = self._changes % (len(EXTRA_ROUTES) + 1)
        if turn == len(EXTRA_ROUTES):
            return None
        route = {**self._extra_route(), **EXTRA_ROUTES[turn]}
        if "weighted_split" in route:
            del route["service"]
        return route

    def _extra_route(self) -> Document:
        return {**_route(self._kinds[0]), "name": EXTRA_NAME, "path_prefix": "/extra/"}

    def _document(self, version: int, routes: list[Document]) -> Document:
        return {
            "config_version": version,
            "routes": routes,
            "services": [_service(self._profile)],
            "limits": {
                "max_header_bytes": MAX_HEADER_BYTES,
                "max_body_bytes": MAX_BODY_BYTES,
                "header_timeout_ms": 3000,
                "idle_timeout_ms": 15000,
            },
        }

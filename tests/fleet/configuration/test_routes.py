"""The typed configuration of routers, and the lookup of routes."""

from __future__ import annotations

import contextlib
import json
import time
from typing import Any

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from firvane.fleet.configuration.item import ItemError, pack_item, read_document, read_item
from firvane.fleet.configuration.routes import Configuration, Engine, Limits, RouteKind, RouteTable, Target
from tests.fleet.configuration.documents import make_document, route, service, split


def read(document: Any) -> Configuration:
    version = document["config_version"]
    return read_item(pack_item(version, json.dumps(document).encode()))


def test_a_configuration_is_read_with_all_its_fields() -> None:
    configuration = read(make_document(7))
    assert configuration.version == 7
    (only,) = configuration.routes
    assert (only.name, only.host, only.path_prefix) == ("chat", "api.example", "/chat/")
    assert (only.kind, only.timeout_ms, only.target_latency_ms) == (RouteKind.STREAMING, 10_000, 800)
    assert (only.priority, only.max_attempts, only.gap_aim_ms) == (1, 1, 200)
    assert (only.session_affinity, only.stream_resume) == (True, False)
    assert only.targets == (("writer", 1.0),)
    writer = configuration.services["writer"]
    assert (writer.health_path, writer.connection_limit, writer.protocol) == ("/health", 370, "h1")
    assert writer.engine == Engine(64, 443888, 163840, 550000.0, 4, ("m",))
    assert configuration.limits == Limits(16384, 4194304, 3000, 15000)


def test_targets_sum_the_weights_of_a_service_and_omit_zero() -> None:
    parts = (("writer", 60), ("reader", 0), ("other", 30), ("writer", 10))
    (only,) = read(make_document(routes=[split(*parts)])).routes
    assert only.targets == (Target("writer", 70), Target("other", 30))


def test_absent_and_null_fields_have_defaults() -> None:
    absent = {"name": "a", "host": "h", "path_prefix": "/", "timeout_ms": 5, "service": "writer"}
    null = {**absent, "name": "b", "kind": None, "priority": None, "max_attempts": None, "gap_aim_ms": None}
    document = make_document(routes=[absent, null], services=[{"name": "writer", "engine": None}], limits=...)
    configuration = read(document)
    for each in configuration.routes:
        assert (each.kind, each.priority, each.max_attempts) == (RouteKind.NON_IDEMPOTENT, 0, 1)
        assert (each.target_latency_ms, each.gap_aim_ms, each.session_affinity) == (0, 0, False)
    assert configuration.services["writer"].engine is None
    assert configuration.limits == Limits()


def test_an_unknown_kind_is_not_idempotent() -> None:
    assert read(make_document(routes=[route(kind="novel")])).routes[0].kind is RouteKind.NON_IDEMPOTENT


def table(*routes: dict[str, Any]) -> RouteTable:
    return RouteTable(read(make_document(routes=list(routes))))


@pytest.mark.parametrize(
    ("host", "path", "expected"),
    [
        (b"api.example", b"/chat/1", "chat"),
        (b"API.Example:8080", b"/chat/", "chat"),
        (b" api.example ", b"/chat/a/b", "deep"),
        (b"api.example", b"/chat/a/", "deep"),
        (b"api.example", b"/chat/a", "chat"),
        (b"api.example", b"/chat/ab/c", "chat"),
        (b"api.example", b"/chat", None),
        (b"api.example", b"/chatter/1", None),
        (b"api.example", b"/Chat/1", None),
        (b"api.example", b"/x?/chat/", None),
        (b"api.example", b"/chat/?x=/a/", "chat"),
        (b"api.example", b"*", None),
        (b"api.example", b"", None),
        (b"other.example", b"/anything", "rest"),
        (b"other.example", b"/", "rest"),
        (b"[::1]:80", b"/v6/x", "v6"),
        (b"unknown.example", b"/chat/1", None),
        (b"", b"/chat/1", None),
        (b"\xff", b"/chat/1", None),
    ],
)
def test_the_longest_prefix_of_the_host_is_found(host: bytes, path: bytes, expected: str | None) -> None:
    routes = table(
        route("chat"),
        route("deep", path_prefix="/chat/a/"),
        route("rest", host="Other.example", path_prefix="/"),
        route("v6", host="[::1]"),
    )
    found = routes.find(host, path)
    assert (found.name if found else None) == expected


def test_a_path_of_many_slashes_is_matched_quickly() -> None:
    routes = table(route("chat"), route("rest", path_prefix="/"))
    started = time.process_time()
    for _ in range(1000):
        found = routes.find(b"api.example", b"/" * 16_000)
        assert found is not None
    assert time.process_time() - started < 2.0


segments = st.sampled_from(["a", "b", "ab", "", "a/b"])
prefixes = st.lists(segments, max_size=3).map(lambda parts: "/" + "".join(f"{part}/" for part in parts))
hosts = st.sampled_from(["x.example", "y.example"])


@settings(max_examples=300, deadline=None)
@given(
    places=st.lists(st.tuples(hosts, prefixes), unique=True, max_size=12),
    host=hosts,
    path=prefixes,
    tail=segments,
)
def test_the_table_agrees_with_a_linear_search(
    places: list[tuple[str, str]], host: str, path: str, tail: str
) -> None:
    routes = [route(str(number), host=h, path_prefix=p) for number, (h, p) in enumerate(places)]
    path += tail
    fitting = [each for each in routes if each["host"] == host and path.startswith(each["path_prefix"])]
    expected = max(fitting, key=lambda each: len(each["path_prefix"]), default=None)
    found = table(*routes).find(host.encode(), path.encode())
    assert (found.name if found else None) == (expected["name"] if expected else None)


@pytest.mark.parametrize(
    "payload",
    [
        b"",
        b"\x02" + pack_item(1, b"{}")[1:],
        pack_item(1, b"{}")[:-1],
        pack_item(1, b"{}") + b"x",
        pack_item(1, b"{}")[:13],
        pack_item(1, b"[]"),
        pack_item(1, b"{"),
        pack_item(1, b'{"routes":[{}]}'),
        pack_item(1, b'{"x":' + b"[" * 100_000),
    ],
)
def test_a_malformed_payload_is_rejected(payload: bytes) -> None:
    with pytest.raises(ItemError):
        read_item(payload)


def test_a_decompression_bomb_is_rejected() -> None:
    with pytest.raises(ItemError):
        pack_item(1, b"x" * (17 * 1024 * 1024))
    payload = bytearray(pack_item(1, b" " * (16 * 1024 * 1024)))
    payload[9:13] = (100).to_bytes(4, "big")
    with pytest.raises(ItemError):
        read_item(bytes(payload))


@settings(max_examples=300, deadline=None)
@given(data=st.data())
def test_a_corrupt_payload_is_decoded_or_rejected(data: st.DataObject) -> None:
    payload = bytearray(pack_item(7, json.dumps(make_document(7, services=[service()])).encode()))
    for _ in range(data.draw(st.integers(1, 4))):
        payload[data.draw(st.integers(0, len(payload) - 1))] = data.draw(st.integers(0, 255))
    with contextlib.suppress(ItemError):
        read_item(bytes(payload[: data.draw(st.integers(0, len(payload)))]))


def test_a_document_can_be_read_without_a_payload() -> None:
    assert read_document(json.dumps(make_document(3)).encode(), 3).version == 3

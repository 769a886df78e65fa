"""Deltas between documents: encoding, application, and rejection on another text."""

from __future__ import annotations

import contextlib
import json
from typing import Any

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from firvane.fleet.configuration.delta import DeltaError, apply_delta, make_delta
from firvane.fleet.configuration.document import encode
from tests.fleet.configuration.documents import make_document, route, service


def text(document: Any) -> bytes:
    return encode(document)


def test_a_change_of_one_route_among_many_is_small() -> None:
    routes = [route(f"r{number}", host=f"h{number * 7919 % 1009}.example") for number in range(1400)]
    old = text(make_document(7, routes=routes))
    routes[77] = route("r77", timeout_ms=5)
    new = text(make_document(9, routes=[*routes[:500], *routes[501:], route("new")]))
    delta = make_delta(old, new)
    assert apply_delta(old, delta) == new
    assert len(delta) < 1000


@pytest.mark.parametrize(
    "new",
    [
        make_document(9, routes=[route("b"), route("a")]),
        make_document(9, routes=[route("new"), route("a"), route("b")]),
        make_document(9, routes=[route("a", session_affinity=1), route("b")]),
        make_document(9, services=[], routes=[]),
        make_document(9, tenants=[{"name": "t"}], routes=[route("a"), 3]),
        make_document(9, limits=...),
        {"routes": [], "config_version": 9},
    ],
)
def test_any_change_can_be_expressed(new: Any) -> None:
    old = text(make_document(7, routes=[route("a"), route("b")]))
    assert apply_delta(old, make_delta(old, text(new))) == text(new)


@pytest.mark.parametrize("old", [b"", b"{}", b"not json", b"[]"])
@pytest.mark.parametrize("new", [b"", b"{}", b"not json", b'{ "a" : 1 }'])
def test_any_text_can_be_expressed(old: bytes, new: bytes) -> None:
    assert apply_delta(old, make_delta(old, new)) == new


def test_a_delta_is_rejected_on_another_text() -> None:
    delta = make_delta(text(make_document(7)), text(make_document(9)))
    with pytest.raises(DeltaError):
        apply_delta(text(make_document(8)), delta)


names = st.sampled_from("abcdef")
items = st.builds(
    lambda name, value: {"name": name, "value": value}, names, st.sampled_from([0, 1, 1.0, True, "x"])
)
values = st.one_of(st.lists(items, max_size=5), st.integers(0, 2), st.just({"deep": [1]}), st.booleans())
documents = st.dictionaries(st.sampled_from(["routes", "services", "limits", "other"]), values)


@settings(max_examples=200, deadline=None)
@given(old=documents, new=documents)
def test_a_delta_gives_the_exact_text(old: Any, new: Any) -> None:
    assert apply_delta(text(old), make_delta(text(old), text(new))) == text(new)


@settings(max_examples=200, deadline=None)
@given(old=documents, new=documents, data=st.data())
def test_a_corrupt_delta_gives_the_exact_text_or_an_error(old: Any, new: Any, data: st.DataObject) -> None:
    delta = bytearray(make_delta(text(old), text(new)))
    for _ in range(data.draw(st.integers(1, 3))):
        delta[data.draw(st.integers(0, len(delta) - 1))] = data.draw(st.integers(0, 255))
    cut = bytes(delta[: data.draw(st.integers(0, len(delta)))])
    with contextlib.suppress(DeltaError):
        assert apply_delta(text(old), cut) == text(new)


def malformed_changes(changes: Any) -> bytes:
    """A delta with malformed changes, but with a valid length and checksum of the old text."""
    import struct
    import zlib

    body = json.dumps(changes).encode()
    return struct.pack("!BBIII", 1, 1, zlib.crc32(b"{}"), 0, len(body)) + zlib.compress(body)


@pytest.mark.parametrize(
    "changes",
    [
        {},
        [],
        {"set": 3, "drop": [], "lists": {}},
        {"set": {}, "drop": 3, "lists": {}},
        {"set": {}, "drop": [[]], "lists": {}},
        {"set": {}, "drop": [], "lists": {"routes": {}}},
        {"set": {"routes": 3}, "drop": [], "lists": {"routes": {"upsert": [], "remove": []}}},
        {"set": {"routes": []}, "drop": [], "lists": {"routes": {"upsert": [3], "remove": []}}},
        {"set": {"routes": []}, "drop": [], "lists": {"routes": {"upsert": [], "remove": [[]]}}},
        {"set": {"routes": []}, "drop": [], "lists": []},
    ],
)
def test_malformed_changes_are_rejected(changes: Any) -> None:
    with pytest.raises(DeltaError):
        apply_delta(b"{}", malformed_changes(changes))


def test_services_and_routes_may_change_together() -> None:
    old, new = (
        make_document(7),
        make_document(9, services=[service(), service("reader")], routes=[route(service="reader")]),
    )
    assert apply_delta(text(old), make_delta(text(old), text(new))) == text(new)

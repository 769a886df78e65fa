"""The choice of target peers by zones."""

from __future__ import annotations

import random
from collections import Counter

from firvane.core.address import Address
from firvane.fleet.dissemination.peers import FANOUT, MAX_SOURCES, Peer, PeerSet

RNG = random.Random(1)


def address(zone: str, number: int) -> Address:
    return f"10.0.{ord(zone)}.{number}", 1


def peers(sizes: dict[str, int], sources: tuple[str, ...] = ()) -> list[Peer]:
    """Return peers; the first one of each zone in `sources` has a fast link."""
    return [
        Peer(address(zone, number), zone, number == 0 and zone in sources)
        for zone, size in sizes.items()
        for number in range(size)
    ]


def zones_of(targets: list[Address]) -> Counter[str]:
    return Counter(chr(int(host.split(".")[2])) for host, _ in targets)


def test_a_publisher_pushes_to_sources_other_zones_and_the_own_zone() -> None:
    peer_set = PeerSet("a", peers({"a": 5, "b": 5, "c": 5, "d": 5}, ("b", "c")), address("a", 3))
    for _ in range(20):
        targets = peer_set.publish_targets(RNG)
        assert {address("b", 0), address("c", 0), address("a", 3)} <= set(targets)
        assert zones_of(targets) == Counter("abcd")
        assert len(targets) == len(set(targets))


def test_reports_go_to_all_sources_in_turn() -> None:
    peer_set = PeerSet("a", peers({"a": 5, "b": 5, "c": 5}, ("a", "c")), None)
    assert [peer_set.report_target(turn) for turn in range(3)] == [
        address("a", 0),
        address("c", 0),
        address("a", 0),
    ]
    assert PeerSet("a", peers({"a": 5}), None).report_target(3) is None


def test_many_zones_and_sources_are_bounded() -> None:
    sizes = {zone: 3 for zone in "abcdefghijklmnopqrst"}
    targets = PeerSet("a", peers(sizes, tuple("bcdefghijklm")), None).publish_targets(RNG)
    assert len(targets) <= MAX_SOURCES + FANOUT + 1


def test_updates_are_forwarded_mostly_in_the_own_zone_and_not_to_their_source() -> None:
    peer_set = PeerSet("a", peers({"a": 9, "b": 9}), address("a", 1))
    counts: Counter[str] = Counter()
    for _ in range(300):
        targets = peer_set.forward_targets(RNG, address("a", 2))
        assert address("a", 2) not in targets
        assert address("a", 1) in targets
        assert len(targets) == FANOUT
        counts += zones_of(targets)
    assert 0 < counts["b"] < 0.2 * counts["a"]


def test_early_updates_are_forwarded_in_the_own_zone_only() -> None:
    peer_set = PeerSet("a", peers({"a": 9, "b": 9}, ("a",)), address("b", 1))
    for _ in range(100):
        assert set(zones_of(peer_set.forward_targets(RNG, address("b", 0), is_early=True))) == {"a"}


def test_a_source_pushes_to_the_other_sources() -> None:
    peer_set = PeerSet("a", peers({"a": 9, "b": 3, "c": 3}, ("a", "b", "c")), None, is_source=True)
    targets = peer_set.forward_targets(RNG, address("b", 0))
    assert {address("a", 0), address("c", 0)} <= set(targets)
    assert address("b", 0) not in targets
    assert not peer_set.has_source and peer_set.fetch_source(RNG) is None


def test_a_zone_without_peers_uses_peers_in_other_zones() -> None:
    peer_set = PeerSet("a", peers({"b": 4}), address("b", 1))
    assert peer_set.forward_targets(RNG, address("b", 1)) != []
    assert peer_set.digest_target(RNG) in [peer.address for peer in peers({"b": 4})]


def test_digests_go_to_both_own_and_other_zones() -> None:
    peer_set = PeerSet("a", peers({"a": 3, "b": 3}), None)
    targets = [peer_set.digest_target(RNG) for _ in range(200)]
    counts = zones_of([peer for peer in targets if peer is not None])
    assert counts["a"] > counts["b"] > 20


def test_without_peers_there_are_no_targets() -> None:
    empty_set = PeerSet("a", (), None)
    assert empty_set.publish_targets(RNG) == []
    assert empty_set.forward_targets(RNG, address("a", 1)) == []
    assert empty_set.digest_target(RNG) is None
    assert empty_set.fetch_source(RNG) is None


def test_large_payloads_are_fetched_from_a_source_in_the_own_zone() -> None:
    peer_set = PeerSet("a", peers({"a": 5, "b": 5}, ("a", "b")), None)
    assert peer_set.has_source
    assert {peer_set.fetch_source(RNG) for _ in range(20)} == {address("a", 0)}
    assert PeerSet("a", peers({"a": 5, "b": 5}, ("b",)), None).fetch_source(RNG) is None

"""The choice of a router for a client's new connection."""

from __future__ import annotations

from firvane.simulation.localfleet.ingress import Ingress

ROUTERS = [(f"127.0.0.{number}", 80) for number in range(1, 5)]


def reached(ingress: Ingress) -> set[tuple[str, int]]:
    return {ingress.choose(client, 0) for client in range(200)}


def test_a_router_is_excluded_after_two_failed_probes_and_included_after_one_success() -> None:
    ingress = Ingress(ROUTERS)
    assert not ingress.all_ready
    for router in ROUTERS:
        ingress.record_probe(router, True)
    assert ingress.all_ready
    ingress.record_probe(ROUTERS[0], False)
    assert reached(ingress) == set(ROUTERS)
    ingress.record_probe(ROUTERS[0], False)
    assert reached(ingress) == set(ROUTERS[1:])
    ingress.record_probe(ROUTERS[0], True)
    assert reached(ingress) == set(ROUTERS)


def test_all_routers_are_used_while_fewer_than_half_are_ready() -> None:
    ingress = Ingress(ROUTERS)
    assert reached(ingress) == set(ROUTERS)
    ingress.record_probe(ROUTERS[0], True)
    assert reached(ingress) == set(ROUTERS)
    ingress.record_probe(ROUTERS[1], True)
    assert reached(ingress) == set(ROUTERS[:2])


def test_a_client_keeps_its_router_and_its_retry_uses_another() -> None:
    ingress = Ingress(ROUTERS)
    for client in range(20):
        assert ingress.choose(client, 0) == ingress.choose(client, 0) != ingress.choose(client, 1)

"""Which router a client's new connection reaches."""

from __future__ import annotations

from firvane.simulation.localfleet.ingress import Ingress

ROUTERS = [(f"127.0.0.{number}", 80) for number in range(1, 5)]


def reached(ingress: Ingress) -> set[tuple[str, int]]:
    return {ingress.choose(client, 0) for client in range(200)}


def test_a_router_is_out_after_two_misses_and_in_after_one_yes() -> None:
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


def test_all_are_used_while_fewer_than_half_are_in() -> None:
    ingress = Ingress(ROUTERS)
    assert reached(ingress) == set(ROUTERS)
    ingress.record_probe(ROUTERS[0], True)
    assert reached(ingress) == set(ROUTERS)
    ingress.record_probe(ROUTERS[1], True)
    assert reached(ingress) == set(ROUTERS[:2])


def test_a_client_stays_and_its_retry_goes_elsewhere() -> None:
    ingress = Ingress(ROUTERS)
    for client in range(20):
        assert ingress.choose(client, 0) == ingress.choose(client, 0) != ingress.choose(client, 1)

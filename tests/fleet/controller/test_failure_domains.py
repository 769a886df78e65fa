"""Zones and regions as failure domains of controllers."""

from __future__ import annotations

from firvane.fleet.cluster.agent import Member, Role
from firvane.fleet.controller.failure_domains import FailureDomains

REGIONS = {"ikeja": "lagos", "yaba": "lagos", "asokoro": "abuja"}


def controller(number: int, zone: str) -> Member:
    return Member((f"10.0.0.{number}", 7300), Role.CONTROLLER, zone, None, 1)


def test_a_zone_is_a_domain_unless_regions_may_be_lost() -> None:
    live = [controller(1, "ikeja"), controller(2, "yaba"), controller(3, "asokoro")]
    by_zone = FailureDomains(lambda: live, REGIONS, by_region=False)
    by_region = FailureDomains(lambda: live, REGIONS, by_region=True)
    assert [by_zone.domain_of(each.address) for each in live] == ["ikeja", "yaba", "asokoro"]
    assert [by_region.domain_of(each.address) for each in live] == ["lagos", "lagos", "abuja"]


def test_a_departed_controller_keeps_its_domain_and_an_unknown_one_has_its_own() -> None:
    live = [controller(1, "ikeja"), controller(2, "ikeja")]
    domains = FailureDomains(lambda: live, REGIONS, by_region=False)
    assert domains.domain_of(live[0].address) == "ikeja"
    gone = live.pop().address
    assert domains.domain_of(gone) == "ikeja"
    unknown = domains.domain_of(("10.0.0.9", 7300))
    assert unknown not in ("ikeja", domains.domain_of(("10.0.0.8", 7300)))
    live.append(controller(9, "yaba"))
    assert domains.domain_of(("10.0.0.9", 7300)) == "yaba"

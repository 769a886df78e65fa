"""The traffic of a small fleet while no backend responds."""

from __future__ import annotations

import pytest

from firvane.proxy.recovery import messages
from firvane.proxy.recovery.peers import MAX_ASKED_PEERS
from firvane.proxy.recovery.state_machine import RecoveryState
from tests.proxy.recovery.small_fleet import SmallFleet


def test_each_backend_is_tried_by_one_proxy_while_none_responds() -> None:
    fleet = SmallFleet(6, [4, 2, 4, 2, 2, 8], rate=300.0, back=100.0).run(5.0)
    assert fleet.states() == {RecoveryState.PROBING}
    # One sender per backend, every 0.15 to 0.25 s: six proxies would send six times as much.
    assert all(18 <= sent <= 40 for sent in fleet.sent.values())


@pytest.mark.parametrize("lost", [False, True])
def test_requests_and_replies_are_bounded_for_any_number_of_proxies(lost: bool) -> None:
    for proxies in (3, 12, 40):
        sizes: list[int] = []

        def count(sender: int, payload: bytes, sizes: list[int] = sizes) -> bytes | None:
            if payload[:1] == messages.MESSAGE_PREFIX:
                sizes.append(len(payload))
            return None if lost else payload

        SmallFleet(proxies, [4] * max(6, proxies), rate=20.0, tamper=count, back=100.0).run(5.0)
        # Each message is counted once per possible receiver; there are three rounds in that time.
        assert sizes and len(sizes) / proxies <= 3 * 2 * MAX_ASKED_PEERS * proxies and max(sizes) <= 256

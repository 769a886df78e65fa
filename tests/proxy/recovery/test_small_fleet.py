"""What a small fleet does while no box answers."""

from __future__ import annotations

import pytest

from firvane.proxy.recovery import messages
from firvane.proxy.recovery.peers import FEW
from firvane.proxy.recovery.state_machine import RecoveryState
from tests.proxy.recovery.small_fleet import SmallFleet


def test_each_box_is_tried_by_one_proxy_while_none_answers() -> None:
    fleet = SmallFleet(6, [4, 2, 4, 2, 2, 8], rate=300.0, back=100.0).run(5.0)
    assert fleet.states() == {RecoveryState.PROBING}
    # One sender each, every 0.15 to 0.25 s: a bank of six would send six times as much.
    assert all(18 <= sent <= 40 for sent in fleet.sent.values())


@pytest.mark.parametrize("lost", [False, True])
def test_questions_and_answers_are_bounded_however_many_proxies(lost: bool) -> None:
    for proxies in (3, 12, 40):
        said: list[int] = []

        def count(sender: int, payload: bytes, said: list[int] = said) -> bytes | None:
            if payload[:1] == messages.MARK:
                said.append(len(payload))
            return None if lost else payload

        SmallFleet(proxies, [4] * max(6, proxies), rate=20.0, lies=count, back=100.0).run(5.0)
        # Each message is counted at each proxy that it could go to; there are three rounds in that time.
        assert said and len(said) / proxies <= 3 * 2 * FEW * proxies and max(said) <= 256

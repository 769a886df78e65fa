"""Its client leaves while a request waits: it goes to no target any more, and nothing of it stays here.

In each test the way in which the request waits is held, the client leaves (by FIN and by reset), and what
held the request lets go once the kernel knows, whether or not the loop does.
"""

from __future__ import annotations

import contextlib
from collections.abc import AsyncIterator
from pathlib import Path
from typing import Any

import pytest

from firvane.core import interface as api
from firvane.proxy.limits.memory_account import SMALL, Held
from tests.crossings.harness import ERROR, FULL, MS, OK, Link, Rig, a_class, params, play, request, rig

HOW = pytest.mark.parametrize("how", ["fin", "reset"])
CANCEL = pytest.mark.parametrize("cancel", [True, False])
CLEAN = (Held.READING, Held.FLOWS, Held.WRITING, Held.CLIENTS)


PATIENT = [
    a_class(name, repeat=repeat, **{"slo-ns": 20_000 * MS, "give-up-ns": 30_000 * MS})
    for name, repeat in (("read", "pure"), ("pay", "side_effect"))
]


def limits(**changes: object) -> dict[str, Any]:
    """Settings whose deadlines and looks come only after a test has failed: it is the leaving that counts."""
    return {"settings": params(classes=PATIENT, limits=changes)}


def ask(call: str, path: str = "/read/x", body: bytes = b"") -> bytes:
    return request(call, path, budget=29_000, body=body)


async def warm(made: Rig) -> None:
    """Targets that answer by themselves, and to each an idle connection: what is sent on arrives at once."""
    for target in made.targets:
        made.later(target.serve())
    client = await made.client()
    await client.send(ask("warm"))
    await client.until(b"hi")
    client.fin()
    await made.see(lambda: not made.proxy.limiter.connections)


async def gone(made: Rig, client: Link, how: str) -> None:
    """The client leaves, and its end is with the proxy's kernel; the loop may not have read that far."""
    listener = await made.listener(client)
    client.leave(how)
    await made.see(lambda: not listener.is_peer_open())


async def unleased(made: Rig) -> tuple[Link, Any]:
    """A client whose body waits for a lease, and the proxy's end of it."""
    client = await made.client()
    await client.send(ask("c1", "/pay/x", body=bytes(4 * SMALL)))
    listener = await made.listener(client)
    await made.see(lambda: listener.awaiting_lease)
    return client, listener


@contextlib.asynccontextmanager
async def nothing_left(made: Rig) -> AsyncIterator[None]:
    """Whoever comes within has gone in the end, and the account is what it was."""
    account, held = made.proxy.monitor.account, made.proxy.monitor.descriptors.held
    before = [account.by[what] for what in CLEAN], dict(held), made.at_rest()
    yield
    await made.see(lambda: ([account.by[what] for what in CLEAN], dict(held), made.at_rest()) == before)
    assert not made.proxy.limiter.open_ids and not made.proxy.limiter.connections


async def only(made: Rig, *calls: str) -> None:
    """These reached the targets and no other ever will: one more is asked now, and comes through."""
    serving = any(target.calls[:1] == ["warm"] for target in made.targets)
    for target in made.targets if not serving else ():
        made.later(target.serve())
    tries = sum(counts.upstream_tries for counts in made.proxy.limiter.counts.values())
    client, answered = await made.client(), b""
    while not answered.startswith(b"HTTP/1.1 200 "):  # a target of which little is known may be left alone
        await client.send(ask(f"last{tries}"))
        answered = await client.until(b"\r\n\r\n")
        await client.until(b"\n" if b" 503 " in answered else b"hi")
    arrived = [call for target in made.targets for call in target.calls if not call.startswith("last")]
    wanted = [*calls, *["warm"][:serving]]
    assert sorted(arrived) == sorted(wanted) and tries == len(wanted)


@HOW
@pytest.mark.parametrize("behind", [False, True], ids=["in line", "in the line behind"])
def test_unread_because_the_turn_is_used_up(how: str, behind: bool, tmp_path: Path) -> None:
    async def work() -> None:
        async with rig(tmp_path, **limits()) as made:
            await made.start()
            await warm(made)
            turns = made.proxy.monitor.turns
            spend = turns.spend
            turns.spend = lambda units: False  # type: ignore[method-assign]
            client = await made.client()
            await client.send(ask("c1") + (ask("c2") if behind else b""))
            listener = await made.listener(client)
            await made.see(lambda: listener.queued)
            await gone(made, client, how)
            turns.spend = spend  # type: ignore[method-assign]
            await made.see(lambda: not made.proxy.limiter.connections)
            await only(made)

    play(work())


@HOW
@CANCEL
@pytest.mark.parametrize("much", [1, 400])
def test_behind_another_on_the_same_connection(how: str, cancel: bool, much: int, tmp_path: Path) -> None:
    # Bytes behind a request hid the end of the connection: the first went on to further targets, and the next
    # was sent once the first was answered.
    async def work() -> None:
        async with rig(tmp_path, **limits(cancel=cancel)) as made:
            await made.start()
            client = await made.client()
            await client.send(b"".join(ask(f"c{n}") for n in range(much + 1)))
            link = await made.targets[0].taken()
            await gone(made, client, how)
            await made.see(lambda: not made.proxy.engine.unanswered)
            if not cancel:
                await link.send(OK)
            else:
                assert await link.gone()
            await made.see(lambda: not made.proxy.engine.flows)
            await only(made, "c0")

    play(work())


@HOW
def test_waiting_for_a_lease_for_its_body(how: str, tmp_path: Path) -> None:
    async def work() -> None:
        async with rig(tmp_path, **limits()) as made:
            await made.start()
            await warm(made)
            leases = made.proxy.monitor.leases
            free, leases.free = leases.free, 0
            async with nothing_left(made):
                client, _ = await unleased(made)
                await gone(made, client, how)
                leases.free = free
                await made.see(lambda: not made.proxy.limiter.connections)
            assert not leases.line
            await only(made)

    play(work())


@HOW
def test_a_lease_that_comes_before_the_sweep_finds_it_gone(how: str, tmp_path: Path) -> None:
    async def work() -> None:
        async with rig(tmp_path, **limits()) as made:
            await made.start()
            await warm(made)
            leases = made.proxy.monitor.leases
            free, leases.free = leases.free, 0
            client, listener = await unleased(made)
            await gone(made, client, how)
            leases.free = free
            leases.line.pop(listener)
            listener._leased()  # in the same turn: no sweep has come in between
            await made.see(lambda: not made.proxy.limiter.connections)
            await only(made)

    play(work())


@HOW
def test_held_by_the_decisions(how: str, tmp_path: Path) -> None:
    async def work() -> None:
        async with rig(tmp_path, **limits()) as made:
            watch = await made.start()
            await watch.tell(2)  # no target at all
            await made.see(lambda: not made.proxy.target_group.servers)
            async with nothing_left(made):
                client = await made.client()
                await client.send(ask("c1"))
                await made.see(lambda: made.proxy.balancer.queue)
                client.leave(how)
                await made.see(lambda: not made.proxy.engine.flows)
            await watch.tell(3, *made.entries())
            await made.see(lambda: made.proxy.target_group.servers)
            await only(made)

    play(work())


@HOW
@CANCEL
def test_in_a_dial_that_comes_up_late(how: str, cancel: bool, tmp_path: Path) -> None:
    async def work() -> None:
        async with rig(tmp_path, **limits(cancel=cancel)) as made:
            await made.start()
            made.dialer.holding = True
            client = await made.client()
            await client.send(ask("c1"))
            await made.dialer.came.wait()
            client.leave(how)
            await made.see(lambda: not made.proxy.engine.unanswered)
            made.dialer.let_go()
            await made.see(lambda: not made.proxy.engine.flows)
            await only(made)

    play(work())


@HOW
@CANCEL
def test_between_a_failed_attempt_and_the_next(how: str, cancel: bool, tmp_path: Path) -> None:
    async def work() -> None:
        async with rig(tmp_path, targets=2, **limits(cancel=cancel, **{"second-copies": False})) as made:
            await made.start()
            client = await made.client()
            await client.send(ask("c1") + ask("c2"))  # bytes behind it
            await made.see(lambda: any(target.waiting() for target in made.targets))
            first = next(target for target in made.targets if target.links)
            await first.ask(first.links[0])
            await gone(made, client, how)
            await made.see(lambda: not made.proxy.engine.unanswered)
            with contextlib.suppress(OSError):
                await first.links[0].send(FULL)
            await made.see(lambda: not made.proxy.engine.flows)
            assert [target.calls for target in made.targets if target is not first] == [[]]
            assert not any(target.waiting() for target in made.targets)

    play(work())


@HOW
def test_about_to_get_a_second_copy(how: str, tmp_path: Path) -> None:
    async def work() -> None:
        async with rig(tmp_path, targets=2, **limits(cancel=False)) as made:
            await made.start()
            client = await made.client()
            await client.send(ask("c1") + ask("c2"))
            await made.see(lambda: any(target.waiting() for target in made.targets))
            first = next(target for target in made.targets if target.links)
            await first.ask(first.links[0])
            flow = next(iter(made.proxy.engine.flows.values()))
            await gone(made, client, how)
            await made.see(lambda: not made.proxy.engine.unanswered)
            made.proxy.engine.dispatch(api.TimerFired(flow.id + 1))  # the look at which a copy would go
            assert flow.attempts_in_flight == 1 and not any(target.waiting() for target in made.targets)
            await only(made, "c1")

    play(work())


@HOW
@CANCEL
@pytest.mark.parametrize("way", ["a copy", "the next attempt", "a dial that comes up"])
def test_between_two_sweeps(how: str, cancel: bool, way: str, tmp_path: Path) -> None:
    # Bytes behind the request hide the end from the loop, and no sweep comes that would ask the kernel.
    async def work() -> None:
        settings = params(
            classes=[a_class("read", **{"slo-ns": 100 * MS}), a_class("pay", repeat="side_effect")],
            limits={"cancel": cancel, "second-copies": way == "a copy"},
        )
        async with rig(tmp_path, targets=2, settings=settings) as made:
            await made.start()
            made.proxy.limiter.sweep = lambda: None  # type: ignore[method-assign]
            made.dialer.holding = way == "a dial that comes up"
            client = await made.client()
            await client.send(request("c1") + request("c2"))
            if made.dialer.holding:
                await made.dialer.came.wait()
                [flow] = made.proxy.engine.flows.values()
                await gone(made, client, how)
                made.dialer.let_go()
            else:
                await made.see(lambda: any(target.waiting() for target in made.targets))
                [flow] = made.proxy.engine.flows.values()
                link = next(target.links[0] for target in made.targets if target.links)
                await link.until(b"\r\n\r\n")
                await gone(made, client, how)
                if way == "the next attempt":
                    await link.send(ERROR)
            written = 0 if way == "a dial that comes up" else 1
            engine, counts = made.proxy.engine, made.proxy.limiter.counts[b"read"]
            await made.see(lambda: not engine.unanswered or counts.upstream_tries > written)
            assert counts.upstream_tries == written and engine.event_counts["client left unread"] == 1
            assert len(flow.attempts) == 1 + written  # and it was tried no more than once
            assert not made.proxy.limiter.open_ids

    play(work())


@HOW
def test_a_client_that_has_asked_and_left_before_its_transport_was_made(how: str, tmp_path: Path) -> None:
    async def work() -> None:
        async with rig(tmp_path, **limits()) as made:
            await made.start()
            await warm(made)
            made.proxy.acceptor.set_accepting(False)
            client = await made.client()  # waits in the kernel
            await client.send(ask("c1"))
            client.leave(how)
            before, taken = made.proxy.engine.event_counts["client left unread"], made.proxy.engine._next_id
            made.proxy.acceptor.set_accepting(True)
            await made.see(lambda: made.proxy.engine.event_counts["client left unread"] > before)
            assert made.proxy.engine._next_id == taken  # the decisions never heard of it
            await only(made)

    play(work())


def test_what_stands_behind_a_request_is_bounded_and_its_answer_still_comes(tmp_path: Path) -> None:
    async def work() -> None:
        async with rig(tmp_path, **limits()) as made:
            await made.start()
            client = await made.client()
            await client.send(b"".join(ask(f"c{n}") for n in range(400)))
            link = await made.targets[0].taken()
            assert len((await made.listener(client)).unparsed) <= 16 * 1024
            await link.send(OK)
            assert (await client.until(b"hi")).startswith(b"HTTP/1.1 200 ")

    play(work())

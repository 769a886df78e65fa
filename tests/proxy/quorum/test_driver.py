"""The policy consensus in complete proxies, in virtual time: all proxies use one policy, and their answers
report its epoch; proxies without a lease refuse requests or continue, as configured."""

from __future__ import annotations

import asyncio
import errno
import os
from dataclasses import replace
from pathlib import Path
from typing import Any

import pytest

from firvane.proxy.admin_api import calls
from firvane.proxy.policy_text import digest_of
from firvane.proxy.proxy import Proxy
from firvane.proxy.quorum import driver, store, text_library
from firvane.proxy.quorum.driver import PolicyConsensus
from firvane.proxy.quorum.types import Timing, Value
from firvane.simulation.runner.virtual import VirtualLoop
from tests.proxy.admin_api.test_server import call_admin
from tests.proxy.net.helpers import run
from tests.proxy.quorum.virtual_tier import CLIENT, REQUEST, Fleet, Lines, Tier
from tests.simulation.runner.virtual_helpers import Net, Noted, virtual

CLASS = '[[classes]]\nname = "%s"\naim_ms = 500\ndeadline_ms = 2000\nrepeat = "safe"\n'
OTHER = ("remembers_keys = true\n" + CLASS % "other").encode()
LONG = ("# " + "x" * 30_000 + "\n" + CLASS % "long").encode()  # three chunks
LEASE = Timing().lease_s


class IsolatingNet(Net):
    """A network in which some hosts are isolated from all other proxies, but not from clients."""

    def __init__(self, net: Net) -> None:
        self.isolated = set[str]()
        net.delay = self.delay  # type: ignore[method-assign]
        net.datagram = self.delay  # type: ignore[method-assign]

    def delay(self, now: float, source: str, target: str) -> float | None:
        cut = source.startswith("10.0.") and target.startswith("10.0.") and source != target
        return None if cut and self.isolated & {source, target} else 0.005


@virtual
async def test_change_is_in_force_on_all_proxies_and_configuration_does_not_override_it(
    loop: VirtualLoop, net: Net, tmp_path: Path
) -> None:
    fleet = Fleet(loop, tmp_path, proxies=4)  # the last proxy is a non-voter
    await asyncio.sleep(2)
    assert [await fleet.get(p) for p in range(4)] == [(200, 1)] * 4
    assert await fleet.propose(3, LONG) == "+OK open\n"
    assert await fleet.outcome(3, LONG) == "+OK in force: epoch 2\n"
    assert [await fleet.get(p, b"long") for p in range(4)] == [(200, 2)] * 4
    # A class that the policy no longer contains is rejected at once, with the epoch in the answer.
    assert [await fleet.get(p) for p in range(4)] == [(404, 2)] * 4
    activated_at = [
        [at for at, event, _ in log.entries if event == "policy_activated"][-1] for log in fleet.logs
    ]
    assert max(activated_at) - min(activated_at) <= Timing().activation_tolerance_s
    proxy = fleet.proxies[0].proxy
    assert proxy
    later = replace(fleet.config(0).settings, classes=fleet.config(0).settings.classes[:1])
    proxy.reload(lambda: replace(fleet.config(0), settings=later))
    assert "policy_overrides_config" in fleet.logs[0].events() and await fleet.get(0, b"long") == (200, 2)
    await asyncio.sleep(5)
    figures = [fields for _, event, fields in fleet.logs[0].entries if event == "figures"]
    assert (figures[0]["epoch"], figures[-1]["epoch"]) == (1, 2)
    for p in (0, 3):
        lines = (await fleet.call(p, "policy-history")).splitlines()
        assert [line.split()[:3] for line in lines[:-1]] == [
            [str(n + 1), digest_of(text).hex(), "0,1,2"] for n, text in enumerate((fleet.text, LONG))
        ]
    assert "epoch 2\n" in await fleet.call(0, "policy-status")


def use_late(self: PolicyConsensus, value: Value) -> None:
    self.loop.call_later(2.0, PolicyConsensus._use, self, value)


@pytest.mark.parametrize(
    ("owner", "name", "broken"),
    [
        (Proxy, "apply_policy", Proxy._apply_settings),  # removed classes are still accepted
        (PolicyConsensus, "_activate", use_late),  # the policy in use is not the reported one
        (PolicyConsensus, "on_datagram", lambda self, sender, payload: True),  # datagrams are ignored
        (PolicyConsensus, "_fetch", lambda self, action: None),  # texts are not downloaded
    ],
)
def test_mutants_of_a_change_are_detected(
    owner: type, name: str, broken: Any, tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(owner, name, broken)
    with pytest.raises(AssertionError):
        test_change_is_in_force_on_all_proxies_and_configuration_does_not_override_it(tmp_path)


@pytest.mark.parametrize("without_lease", ["refuse", "serve"])
@virtual
async def test_isolated_proxy_refuses_requests_or_continues_as_configured(
    loop: VirtualLoop, net: Net, tmp_path: Path, without_lease: str
) -> None:
    network, serves = IsolatingNet(net), without_lease == "serve"
    fleet = Fleet(loop, tmp_path, serve_without_lease=serves)
    await asyncio.sleep(2)
    assert await fleet.up(2) and (await fleet.call(2, "ready")).startswith("+OK")
    network.isolated.add(fleet.hosts[2])
    await asyncio.sleep(LEASE + 0.1)
    began = loop.time()
    assert await fleet.get(2) == ((200, 1) if serves else (503, 0))
    assert loop.time() - began < 0.1 and fleet.logs[2].events().count("policy_lease_lost") == 1
    assert await fleet.up(2) is serves and (await fleet.call(2, "ready")).startswith("+OK") is serves
    assert await fleet.get(0) == (200, 1)
    assert await fleet.propose(0, OTHER) == "+OK open\n"  # two of three voters are enough
    assert await fleet.outcome(0, OTHER) == "+OK in force: epoch 2\n"
    assert await fleet.get(2) == ((200, 1) if serves else (503, 0))
    network.isolated.clear()
    await asyncio.sleep(2)
    assert await fleet.get(2, b"other") == (200, 2)


class StaleLeaseCheck(PolicyConsensus):
    """Mutant: uses the lease status of the last event, without reading the clock."""

    def may_accept(self) -> bool:
        assert self.member
        return self.has_lease


class NoLeaseCheck(PolicyConsensus):
    """Mutant: serves requests without a lease."""

    def may_accept(self) -> bool:
        return self.value is not None


@pytest.mark.parametrize("mutant", [None, StaleLeaseCheck, NoLeaseCheck])
def test_proxy_does_not_serve_under_an_expired_lease_after_a_suspension(
    mutant: type[PolicyConsensus] | None, tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    if mutant:
        monkeypatch.setattr(driver, "PolicyConsensus", mutant)

    @virtual
    async def work(loop: VirtualLoop, net: Net) -> None:
        fleet = Fleet(loop, tmp_path)
        await asyncio.sleep(2)
        client, at = Noted(), (fleet.hosts[1], 8080)
        loop.memory.connect(CLIENT, at, lambda: client, lambda *up: None, lambda error: None)
        await asyncio.sleep(0.05)
        # The request arrives before any datagram that the proxy could receive when it resumes.
        fleet.proxies[1].stall(True)
        client.transport.write(REQUEST % (b"read", 1))
        await asyncio.sleep(20)
        fleet.proxies[1].stall(False)
        await asyncio.sleep(0.1)
        assert client.data.startswith(b"HTTP/1.1 503 ") and b"X-Policy-Epoch" not in client.data
        assert 0.1 < float(client.data.split(b"Retry-After: ")[1].split(b"\r\n")[0]) < 2.0
        await asyncio.sleep(2)
        assert await fleet.get(1) == (200, 1)

    if mutant:
        with pytest.raises(AssertionError):
            work()
    else:
        work()


@virtual
async def test_restarted_proxy_is_ready_once_it_has_the_policy_in_force(
    loop: VirtualLoop, net: Net, tmp_path: Path
) -> None:
    network = IsolatingNet(net)
    fleet = Fleet(loop, tmp_path, proxies=4)
    await asyncio.sleep(2)
    for gone in (2, 3):
        fleet.proxies[gone].kill()
    await fleet.propose(0, OTHER)
    assert await fleet.outcome(0, OTHER) == "+OK in force: epoch 2\n"
    network.isolated = set(fleet.hosts[2:])
    for back in (2, 3):  # with an outdated folder, and without one
        fleet.start(back)
    await asyncio.sleep(2 * LEASE)
    for back in (2, 3):
        assert await fleet.get(back) == (503, 0) and not await fleet.up(back)
        assert "standing" in await fleet.call(back, "policy-status")
    network.isolated.clear()
    await asyncio.sleep(3)
    for back in (2, 3):
        assert await fleet.get(back, b"other") == (200, 2) and await fleet.up(back)
    fleet.proxies[1].kill()
    (tmp_path / "1" / "votes").write_bytes(b"damaged")
    fleet.start(1)
    await asyncio.sleep(3)
    assert await fleet.get(1, b"other") == (200, 2)
    assert "policy_file_rejected" in fleet.logs[1].events()
    assert "votes yes" in await fleet.call(1, "policy-status")


@virtual
async def test_invalid_unfit_or_aborted_text_changes_nothing(
    loop: VirtualLoop, net: Net, tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    fleet = Fleet(loop, tmp_path)
    await asyncio.sleep(2)
    assert (await fleet.propose(0, b"probes = 3\n")).startswith("-ERR policy: probes: unknown key")
    greedy = b"[limits]\nopen_flows = 1000000\n"
    assert "limits.open_flows: is 1000000" in await fleet.propose(0, greedy)
    answer = await fleet.call(0, f"policy-propose {digest_of(OTHER).hex()}")
    assert answer.startswith("-ERR its text is not here")
    # A single proxy lacks the capacity, and its rejection ends the proposal.
    proxy = fleet.proxies[2].proxy
    assert proxy
    proxy.unfit_reason = lambda settings: "limits.open_flows: lower it"  # type: ignore[method-assign]
    assert await fleet.propose(0, OTHER) == "+OK open\n"
    answer = await fleet.outcome(0, OTHER)
    assert answer == "+OK failed: proxy 2 says no: limits.open_flows: lower it\n"
    assert await fleet.propose(1, LONG) == "+OK open\n"
    abort = f"policy-abort {digest_of(LONG).hex()}"
    assert (await fleet.call(1, abort)).startswith("+OK failed: it was aborted")
    assert (await fleet.call(1, f"policy-abort {digest_of(fleet.text).hex()}")).startswith("-ERR in force")
    late = (CLASS % "late").encode()
    abort = f"policy-abort {digest_of(late).hex()}"
    with monkeypatch.context() as patch:  # also before the proposal has started
        patch.setattr(store.Store, "save_text", lambda *arguments: None)
        await fleet.propose(1, late)
        assert "open: its text is being written" in await fleet.call(1, abort.replace("abort", "outcome"))
        assert (await fleet.call(1, abort)).startswith("+OK failed: it was aborted")
    await asyncio.sleep(8)
    assert fleet.epochs() == [1] * 3 and [await fleet.get(p) for p in range(3)] == [(200, 1)] * 3


@virtual
async def test_proxy_that_receives_no_datagrams_does_not_block_a_change(
    loop: VirtualLoop, net: Net, tmp_path: Path
) -> None:
    fleet = Fleet(loop, tmp_path, proxies=5)
    await asyncio.sleep(2)
    deaf = {fleet.hosts[2], fleet.hosts[4]}  # a voter and a non-voter
    net.datagram = lambda now, source, target: None if target in deaf else 0.005  # type: ignore[method-assign]
    assert await fleet.propose(0, OTHER) == "+OK open\n"
    assert await fleet.outcome(0, OTHER) == "+OK in force: epoch 2\n"
    assert [(await fleet.get(p, b"other"))[0] for p in range(5)] == [200, 200, 503, 200, 503]


@virtual
async def test_voter_with_a_full_disk_rejects_changes_until_it_has_space(
    loop: VirtualLoop, net: Net, tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    fleet = Fleet(loop, tmp_path)
    await asyncio.sleep(2)
    write = store.write_atomically

    def full(path: Any, data: bytes) -> None:
        if f"{tmp_path}/1/" in str(path):
            raise OSError(errno.ENOSPC, os.strerror(errno.ENOSPC))
        write(path, data)

    with monkeypatch.context() as patch:
        patch.setattr(store, "write_atomically", full)
        await fleet.propose(0, OTHER)
        assert "failed: proxy 1 says no: a voter cannot keep its text" in await fleet.outcome(0, OTHER)
        assert "failed: a voter cannot keep its text" in (
            await fleet.propose(1, LONG) and await fleet.outcome(1, LONG)
        )
    await asyncio.sleep(text_library.SAVE_RETRY_INTERVAL_S + 1)
    assert await fleet.propose(0, OTHER) == "+OK open\n"
    assert await fleet.outcome(0, OTHER) == "+OK in force: epoch 2\n"
    assert fleet.logs[1].events().count("policy_file_save_failed") == 1


@virtual
async def test_texts_that_were_in_force_are_retained_above_the_limit(
    loop: VirtualLoop, net: Net, tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(text_library, "MAX_TEXTS", 3)
    fleet = Fleet(loop, tmp_path, proxies=1, voters=(0,), lease_duration_s=0.5, max_round_trip_s=0.05)
    await asyncio.sleep(1)
    texts = [(CLASS % f"c{n}").encode() for n in range(4)]
    for text in texts:
        assert await fleet.propose(0, text) == "+OK open\n"
    assert "another change is under way" in await fleet.outcome(0, texts[3])
    assert "in force" in await fleet.outcome(0, texts[0])
    stored = {file.name for file in (tmp_path / "0").glob("text-*")}
    assert stored == {f"text-{digest_of(text).hex()}" for text in (fleet.text, texts[0], texts[3])}


def test_single_proxy_changes_its_policy_with_real_clock_sockets_and_disk(tmp_path: Path) -> None:
    # Covers what virtual time omits: a clock besides the loop's, the writer thread, and its callbacks.
    async def work() -> None:
        loop = asyncio.get_running_loop()
        tier = Tier(tmp_path, proxies=1, voters=(0,), lease_duration_s=0.5, max_round_trip_s=0.05)
        here = ("127.0.0.1", 0)
        config = replace(tier.config(0), listen=here, ops=here, peer_listen=here)
        proxy = Proxy(loop, config, log=Lines(loop.time), policy_agreement=PolicyConsensus)  # type: ignore[arg-type]
        await proxy.start()
        at, agreement = proxy.admin_acceptor.address(), proxy.policy_agreement
        assert agreement
        lines = [*calls.format_put_calls(digest_of(OTHER), OTHER), f"policy-propose {digest_of(OTHER).hex()}"]
        assert [(await call_admin(at, line.encode() + b"\n"))[:3] for line in lines] == [b"+OK"] * len(lines)
        # If the lease expires on a busy machine it is renewed later; wait for that and for the new epoch.
        while agreement.epoch == 1 or not agreement.may_accept():
            await asyncio.sleep(0.02)
        assert agreement.epoch == 2
        assert await call_admin(at, b"policy-outcome " + digest_of(OTHER).hex().encode() + b"\n") != b""
        with pytest.raises(OSError, match="another process"):
            store.Store(tmp_path / "0", Lines(), loop.call_soon).load()  # type: ignore[arg-type]
        proxy._stop()
        state, texts, _ = store.Store(tmp_path / "0", Lines(), loop.call_soon).load()  # type: ignore[arg-type]
        assert state and state.decided.digest == digest_of(OTHER) in texts

    run(work())

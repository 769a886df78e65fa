"""Live runs on loopback: real proxies, killed and started again, nothing left behind however a run ends."""

from __future__ import annotations

import asyncio
import os
import signal
import subprocess
import sys
from collections.abc import Callable
from pathlib import Path

import pytest
from msgspec.structs import replace

from firvane.simulation.emulation.records import Answered, Arrived, Asked, ProxyState, Record, Told, Used
from firvane.simulation.emulation.scenario import Boxes, Load, Proxies, Scenario, Trouble
from firvane.simulation.emulation.timeline import Action, Step
from firvane.simulation.emulation.verdict import Rule
from firvane.simulation.runner.live import Health, LiveRun, excuse
from firvane.simulation.runner.machines import used
from firvane.simulation.runner.pipe import KINDS, Merger, pack, unpack
from firvane.simulation.runner.plan import claim_net
from firvane.simulation.runner.result import Witness
from firvane.simulation.runner.run import rehearse
from firvane.simulation.runner.stand_ins import serve_stand_ins
from tests.proxy.net.helpers import run
from tests.simulation.runner.virtual_helpers import Noted

ROOT = Path(__file__).parents[3]
SMALL = Scenario(
    name="small",
    seconds=3.0,
    warm_up_s=0.5,
    boxes=Boxes(count=4),
    load=Load(rate=60.0),
    proxies=Proxies(count=2, back_s=0.3),
    troubles=(
        Trouble(kind="kill", at_s=0.5, proxy=0),
        Trouble(kind="restart", at_s=0.5, proxy=1),
        Trouble(kind="drain", at_s=0.1, part=0.25, drain_s=1.0),
    ),
)


def children(pid: int) -> list[int]:
    """All processes that descend from this one."""
    parents: dict[int, int] = {}
    for entry in Path("/proc").iterdir():
        if entry.name.isdigit():
            try:
                parents[int(entry.name)] = int((entry / "stat").read_text().rpartition(")")[2].split()[1])
            except OSError:
                continue
    found = [pid]
    for parent in found:
        found += [child for child, its in parents.items() if its == parent]
    return found[1:]


def test_a_live_run_kills_and_restarts_and_has_no_verdict_where_a_stand_in_stalls(tmp_path: Path) -> None:
    async def work() -> None:
        seen: list[Record] = []
        net, claim = claim_net()
        live = LiveRun(asyncio.get_running_loop(), SMALL, 1, seen.append, tmp_path, net)
        try:
            playing = asyncio.ensure_future(live.play())
            await live.all_ready
            began = children(os.getpid())
            assert len(began) == 4  # two proxies, boxes, clients
            clients = live.helpers[1].process.pid
            while not any(isinstance(record, Answered) for record in seen):
                await asyncio.sleep(0.01)
            os.kill(clients, signal.SIGSTOP)
            asyncio.get_running_loop().call_later(0.5, os.kill, clients, signal.SIGCONT)
            await playing
            assert "ran short of CPU" in excuse([helper.health() for helper in live.helpers])
        finally:
            live.close()
            claim.close()
        assert not children(os.getpid()) and not any(map(used, began))
        lives = {
            name: [r.state for r in seen if isinstance(r, ProxyState) and r.proxy == name]
            for name in ("proxy-0", "proxy-1")
        }
        assert lives["proxy-0"] == ["started", "ready", "killed", "started", "ready"]
        assert lives["proxy-1"][:4] == ["started", "ready", "ending", "ended"]
        assert [record.at for record in seen] == sorted(record.at for record in seen)
        asked = {r.call for r in seen if isinstance(r, Asked)}
        arrived = [r for r in seen if isinstance(r, Arrived)]
        assert len(asked) > 100 and arrived and {r.call for r in arrived} <= asked
        assert {r.verdict for r in arrived} <= {"taken", "turned away"}
        assert {r.state for r in seen if isinstance(r, Told)} >= {"up"}
        samples = [r for r in seen if isinstance(r, Used)]
        assert max(r.memory for r in samples) > 5e6 and max(r.sockets for r in samples) > 10

    run(work())


@pytest.mark.parametrize("here", ["heeded", "ignored", "held"])
def test_ctrl_c_leaves_no_process_behind(here: str) -> None:
    """Whatever SIGINT does to the tests: a script's shell has what it starts in the background ignore it, and
    a test that plays a command of the program in this process may leave it blocked."""
    code = (
        "from msgspec.structs import replace\n"
        "from tests.simulation.runner.test_live import SMALL, shown\n"
        "from firvane.simulation.runner.live import live\n"
        "live(replace(SMALL, seconds=3600.0), 1, shown)\n"  # it ends by the signal alone
    )
    before = signal.getsignal(signal.SIGINT)
    mask = signal.pthread_sigmask(signal.SIG_BLOCK, {signal.SIGINT} if here == "held" else ())
    try:
        if here == "ignored":
            signal.signal(signal.SIGINT, signal.SIG_IGN)
        running = subprocess.Popen(
            [sys.executable, "-c", code],
            cwd=ROOT,
            stdout=subprocess.PIPE,
            stderr=subprocess.DEVNULL,
            text=True,
            preexec_fn=as_before_a_terminal,
        )
    finally:
        signal.signal(signal.SIGINT, before)
        signal.pthread_sigmask(signal.SIG_SETMASK, mask)
    assert running.stdout
    try:
        for line in running.stdout:
            if "killed" in line:  # in the midst of it
                break
        began = children(running.pid)
        assert len(began) >= 3
        running.send_signal(signal.SIGINT)
        assert running.wait(60) != 0  # it ends processes, and a busy machine takes its time
        assert not any(map(used, began))
    finally:
        running.kill()
        running.wait()
        running.stdout.close()


@pytest.mark.parametrize("is_killed", [True, False], ids=["killed", "all over"])
def test_what_was_to_start_when_its_end_came_never_starts(tmp_path: Path, is_killed: bool) -> None:
    """A start waits for a word of the fleet's process; an end in between has nobody to kill yet."""

    async def work() -> None:
        seen: list[Record] = []
        net, claim = claim_net()
        live = LiveRun(asyncio.get_running_loop(), SMALL, 1, seen.append, tmp_path, net)
        answers: list[Callable[[dict[str, object]], None]] = []
        live.tier.ask_known = lambda proxy, answer: answers.append(answer)
        try:
            live.tier.open()
            if is_killed:
                for name in ("proxy-0", "proxy-1"):
                    live.tier.strike(Step(0.0, Action.KILL, proxy=name))
            else:
                live.close()
            for answer in answers:
                answer({})
            assert len(answers) == 2 and not live.machines.processes
        finally:
            live.close()
            claim.close()

    run(work())


def as_before_a_terminal() -> None:
    """A process that is to hear Ctrl-C must not inherit that it is ignored or held: Python leaves it so."""
    signal.signal(signal.SIGINT, signal.SIG_DFL)
    signal.pthread_sigmask(signal.SIG_UNBLOCK, {signal.SIGINT})


def shown(record: Record) -> None:
    """Says what befalls the proxies."""
    if isinstance(record, ProxyState):
        print(record.state, flush=True)


def test_a_live_rehearsal_is_judged() -> None:
    calm = replace(SMALL, seconds=1.5, troubles=(), proxies=Proxies(count=1))
    calm = replace(calm, proxies=replace(calm.proxies, recovery=True))
    result = rehearse(calm, 1, "live")
    assert "growing (recovery)" in {shade.name for shade in result.recovery}
    assert result.clock == "live" and result.requests.asked > 20 and not result.broken_rules
    assert result.proxies["proxy-0"].memory_most > 5e6


def test_what_is_too_large_to_be_live_is_said_before_anything_starts() -> None:
    with pytest.raises(ValueError, match="play it in virtual time"):
        rehearse(replace(SMALL, boxes=Boxes(count=10**7)), 1, "live")


def test_a_proxy_over_its_memory_is_killed_which_is_a_crash(tmp_path: Path) -> None:
    # The least memory that a proxy starts with, and less than it holds: with any less it would end by itself,
    # and the run could be over before the one or the other has come.
    tight = replace(SMALL, troubles=(), proxies=Proxies(count=1, memory_mb=21, back_s=3600.0))

    async def work() -> None:
        seen: list[Record] = []
        net, claim = claim_net()
        live = LiveRun(asyncio.get_running_loop(), tight, 1, seen.append, tmp_path, net)
        ended = asyncio.Event()
        hear = live.machines.on_ended

        def heard(number: int, code: int) -> None:
            hear(number, code)
            ended.set()

        live.machines.on_ended = heard
        playing = asyncio.ensure_future(live.play())
        try:
            await ended.wait()
        finally:
            playing.cancel()
            live.close()
            claim.close()
        live.merger.add(0, 0.0, live.batch)
        live.merger.end()
        lives = [(record.state, record.code) for record in seen if isinstance(record, ProxyState)]
        assert lives[0] == ("started", 0) and lives[-1] == ("ended", -signal.SIGKILL)
        witness = Witness(tight, 1, "live")
        for record in seen:
            # Where it came to serve before it was killed, the stand-ins had more to tell when the run was cut
            # off: an arrival may be there without its question. What this process saw itself is whole.
            if isinstance(record, ProxyState | Used):
                witness.see(record)
        assert {breach.rule for breach in witness.result().broken_rules} == {Rule.CRASHED, Rule.OVER}

    run(work())


def test_boxes_alone_serve_any_client_and_discovery_tells_of_them() -> None:
    async def work() -> None:
        net, claim = claim_net()
        up = asyncio.Event()
        where = (f"127.{net}.0.1", 9000), (f"127.{net}.0.2", 8500)
        serving = serve_stand_ins(SMALL, 1, *where, lambda record: None, lambda fleet: up.set())
        standing = asyncio.ensure_future(serving)
        await up.wait()
        loop = asyncio.get_running_loop()
        for address, asked, answer in (
            ((where[0][0], 9003), b"GET /any HTTP/1.1\r\nX-Call-Cost: 1000\r\n\r\n", b"served"),
            (
                where[1],
                b"GET /discovery/hosts HTTP/1.1\r\n\r\n",
                b'"address":"%s:9003"' % where[0][0].encode(),
            ),
        ):
            _, client = await loop.create_connection(Noted, *address)
            client.transport.write(asked)
            while answer not in client.data:
                await asyncio.sleep(0.001)
        standing.cancel()
        await asyncio.wait([standing])
        claim.close()

    run(work())


def test_records_survive_the_pipe_and_come_out_in_the_order_of_their_times() -> None:
    batch: list[Record] = [kind(*(range(len(kind._fields)))) for kind in KINDS]
    assert unpack(pack(batch)) == batch
    out: list[float] = []
    merger = Merger(2, lambda record: out.append(record.at))

    def state(at: float) -> Record:
        return ProxyState(at, "n", "ready")

    merger.add(0, 3.0, [state(1.0), state(3.5), state(2.0)])
    assert out == []
    merger.add(1, 2.5, [state(1.5), state(2.7)])
    assert out == [1.0, 1.5, 2.0]
    merger.end()
    assert out == [1.0, 1.5, 2.0, 2.7, 3.5]


def test_a_stand_in_that_is_late_or_busy_is_an_excuse() -> None:
    well = Health("fleet", 0.5, 0.001, 0.03)
    assert excuse([well]) == ""
    assert "fleet" in excuse([well, well._replace(late=0.02)]) and excuse([well._replace(busy=0.95)])

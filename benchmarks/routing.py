"""What routing costs by the size of the fleet: decisions alone, changes of the list, rows, keys moved.

    python -m benchmarks.routing [--json FILE] [--plot FILE] [--only PART] [--quick]

No sockets: the balancer is handed its events, and beside it the structures of `firvane/proxy/routing` alone
do the routing of a request (`routing_model.py`). Times are CPU time of this process, the best of several:
others can only add to it. A decision is a keyed request and its answer. With `--only` the rest of FILE
is kept.
"""

from __future__ import annotations

import argparse
import gc
import json
import sys
import time
import tracemalloc
from bisect import bisect_left
from collections import deque
from collections.abc import Callable, Iterator
from functools import partial
from itertools import accumulate
from pathlib import Path
from random import Random
from typing import Any
from zlib import crc32

from benchmarks.routing_model import CAP, Model, hash_of, power
from firvane.core import interface as api
from firvane.core.balancing.records import Backend, mix
from firvane.proxy.balancer import Balancer
from firvane.proxy.routing.hash_ring import POINTS, Ring
from firvane.proxy.routing.load_index import LoadIndex
from firvane.proxy.routing.peer_load import PeerLoads
from firvane.proxy.routing.row_codec import RowHeader, pack_v1, pack_v2, unpack
from firvane.proxy.routing.subset import Assignment, SliceAssigner, reachable_fractions
from firvane.proxy.routing.timer_wheel import TimerWheel

ZONES, LIMIT, NOW, OUT = 3, 128, 1000.0, 16  # OUT: attempts out at a time
FLEETS, TIERS = (10, 32, 128, 512, 2048, 10_000), (1, 50, 500)
KEYS = [f"member-{number}" for number in range(5000)]
KEY_HASHES = [hash_of(number) for number in range(200)]
CLASS = api.RequestClass("view", latency_target=0.5, deadline=2.5, idempotency=api.Idempotency.SAFE)
RULES = api.Rules(0.02, 1.0, 0.13, 22.0, 2.5, 3.0)


def entry(number: int) -> api.Server:
    kind = number // ZONES % 2
    return api.Server(f"s-{mix(number, 5):08x}", kind=kind, zone=number % ZONES, weight=4.0 - 2.0 * kind)


def backend(server: api.Server) -> Backend:
    return Backend(server, crc32(server.id.encode()), server.weight, None)


def head(sequence: int) -> RowHeader:
    return RowHeader(0, sequence % ZONES, 2_000_000 + sequence, 20, 40.0, 20.0, 20.0, 80.0, 30)


def best(call: Callable[[], Any], times: int = 3, fresh: Callable[[], Any] | None = None) -> float:
    """Seconds of CPU that a call takes at the least; `fresh` is called before each."""
    found = []
    for _ in range(times):
        if fresh:
            fresh()
        gc.collect()
        begun = time.process_time()
        call()
        found.append(time.process_time() - begun)
    return min(found)


def tier(boxes: int, proxies: int) -> Balancer:
    """A balancer that has heard of all boxes and of all other proxies."""
    limits = api.Limits(max_attempts=3, cancel=True, hedging=True, peers=True, max_retry_after=1.2)
    settings = api.Settings(0, proxies, 0.005, (CLASS,), RULES, limits, zones=ZONES, key_affinity=True)
    balancer = Balancer(settings, 7, NOW)
    balancer.start(NOW)
    balancer.handle(api.ServerList(api.ListKind.COMPLETE, 1, tuple(map(entry, range(boxes)))), NOW)
    for peer in range(1, proxies):
        balancer.handle(api.PeerMessage(peer, pack_v1(head(peer), [])), NOW)
    balancer.handle(api.TimerFired(0), NOW)
    return balancer


def decide(balancer: Balancer, count: int) -> int:
    """Keyed requests, each answered once as many others are out; how many were sent."""
    out, now, sent = deque[tuple[int, str]](), NOW + 1.0, 0
    for number in range(count):
        now += 0.00025
        request = api.Request(number, 0, 2.4, KEYS[number * 7919 % len(KEYS)], work=0.03)
        for action in balancer.handle(request, now):
            if isinstance(action, api.Send):
                out.append((number, action.server))
                sent += 1
        if len(out) > OUT:
            done, server = out.popleft()
            balancer.handle(api.Outcome(done, 0, server, api.Result.OK, 0.2, True), now)
    while out:
        done, server = out.popleft()
        balancer.handle(api.Outcome(done, 0, server, api.Result.OK, 0.2, True), now)
    return sent


def model(boxes: int, proxies: int) -> tuple[Model, Assignment]:
    zones = {number: number % ZONES for number in range(proxies)}
    dealt = SliceAssigner(proxies, ZONES).assign([backend(entry(number)) for number in range(boxes)], zones)
    return Model(dealt.slices, reachable_fractions(0, dealt, LIMIT), NOW), dealt


def route(made: Model, count: int) -> None:
    """The same requests with the structures alone, with the timers of each set and cancelled."""
    out, now, wheel = deque[tuple[Backend, int, int]](), NOW + 1.0, TimerWheel()
    for number in range(count):
        now += 0.00025
        key = crc32(KEYS[number * 7919 % len(KEYS)].encode())
        wheel.expire(now)
        if server := made.choose(key, now, 1.0):
            made.send(server, now)
            out.append((server, wheel.set(now, now + 2.4, number), wheel.set(now, now + 0.2, number)))
        if len(out) > OUT:
            server, first, second = out.popleft()
            wheel.cancel(first)
            wheel.cancel(second)
            made.done(server, now, 1.0)
    for server, _, _ in out:
        made.done(server, now, 1.0)


def decisions(quick: bool) -> Iterator[dict[str, Any]]:
    """Microseconds for a decision, and what a window of 250 ms takes beside."""
    for proxies in TIERS:
        for boxes in FLEETS[:3] if quick else FLEETS:
            count = 200 if quick else min(10_000, max(60, 500_000 // boxes))
            balancer = tier(boxes, proxies)
            at = best(lambda b=balancer, n=count: decide(b, n)) / count
            window = best(lambda b=balancer: b.handle(api.TimerFired(0), NOW + 1.0))
            made, _ = model(boxes, proxies)
            count = 1000 if quick else 20_000
            with_structures = best(lambda m=made, n=count: route(m, n)) / count
            yield {"proxies": proxies, "boxes": boxes, "balancer_us": at * 1e6, "window_ms": window * 1e3,
                   "structures_us": with_structures * 1e6}  # fmt: skip


def listed(quick: bool) -> Iterator[dict[str, Any]]:
    """Milliseconds for a change of a list of 2,000 boxes, of which the proxy reaches part: one stall each."""
    boxes, proxies = 400 if quick else 2000, 50
    gone, zones = boxes * 7 // 20, {number: number % ZONES for number in range(proxies)}
    entries = [entry(number) for number in range(boxes)]
    leaving = [api.Server(e.id, e.kind, 0, api.ServerState.GONE, None, e.weight, e.zone) for e in entries]
    state: dict[str, Any] = {}

    def fresh(count: int) -> None:
        backends = [backend(e) for e in entries]
        state["balancer"], state["dealer"] = tier(count, proxies), SliceAssigner(proxies, ZONES)
        dealt = state["dealer"].assign(backends[:count], zones)
        state["backends"], state["model"] = (
            backends,
            Model(dealt.slices, reachable_fractions(0, dealt, LIMIT), NOW),
        )

    def told(news: list[api.Server]) -> None:
        state["balancer"].handle(api.ServerList(api.ListKind.INCREMENTAL, 2, tuple(news)), NOW + 1.0)

    def leave(count: int) -> None:
        for server in state["backends"][:count]:
            if server in state["model"].where:
                state["model"].drop(server)
        state["model"].ring.settle()

    def come() -> None:
        dealt = state["dealer"].assign(state["backends"], zones)
        Model(dealt.slices, reachable_fractions(0, dealt, LIMIT), NOW)

    def deal(count: int) -> None:
        state["dealer"].assign(state["backends"][count:], zones)

    times = 2 if quick else 3
    for count, name in ((1, "one leaves"), (gone, f"{gone} leave")):
        start = partial(fresh, boxes)
        yield {"change": name, "balancer_ms": 1e3 * best(partial(told, leaving[:count]), times, start),
               "ring_and_index_ms": 1e3 * best(partial(leave, count), times, start),
               "deal_ms": 1e3 * best(partial(deal, count), times, start)}  # fmt: skip
    yield {"change": "all come", "balancer_ms": 1e3 * best(partial(told, entries), times, partial(fresh, 0)),
           "all_structures_ms": 1e3 * best(come, times, partial(fresh, 0))}  # fmt: skip


def rows(quick: bool) -> Iterator[dict[str, Any]]:
    """Milliseconds for a row from each of 500 proxies of 2,000 boxes, 45 of them named in each."""
    boxes, proxies = 200 if quick else 2000, 50 if quick else 500
    entries, random = [entry(number) for number in range(boxes)], Random(3)
    salts = [crc32(e.id.encode()) for e in entries]
    picked = [[(salt, 2) for salt in random.sample(salts, 45)] for _ in range(proxies)]
    balancer, heard = tier(boxes, proxies), PeerLoads()
    for e in entries:
        heard.add_server(backend(e))
    payloads = [pack_v1(head(10**6 + n), out) for n, out in enumerate(picked)]
    named = [pack_v2(head(n), True, out, []) for n, out in enumerate(picked)]
    messages = [api.PeerMessage(n, payload) for n, payload in enumerate(payloads) if n]
    before, after = list[float](), list[float]()
    gc.collect()
    for n, message in enumerate(messages, 1):
        begun = time.process_time()
        balancer.handle(message, NOW + 1.0)
        middle = time.process_time()
        heard.apply_row(n, unpack(named[n], NOW))
        after.append(time.process_time() - middle)
        before.append(middle - begun)
    yield {"proxies": proxies, "boxes": boxes, "balancer_ms": sum(before) * 1e3,
            "balancer_longest_ms": max(before) * 1e3, "structures_ms": sum(after) * 1e3,
            "structures_longest_ms": max(after) * 1e3}  # fmt: skip


def rounded(servers: list[Backend]) -> Callable[[int], Backend]:
    """The ring with points rounded, as it was built before."""
    mean = sum(s.weight for s in servers) / len(servers)
    ring = sorted(
        (mix(s.id_hash, i + 1), s.id_hash, s)
        for s in servers
        for i in range(round(POINTS * s.weight / mean) or 1)
    )
    points = [point for point, _, _ in ring]
    return lambda key: ring[bisect_left(points, key) % len(ring)][2]


def moved(quick: bool) -> Iterator[dict[str, Any]]:
    """Keys moved where one of n boxes leaves, times n: of some in turn, and as big ones go for good."""
    keys = [hash_of(number) for number in range(2000 if quick else 5000)]
    for boxes in (14, 128) if quick else (14, 128, 512):
        servers = [backend(entry(number)) for number in range(boxes)]
        big, small = ([s for s in servers if s.entry.kind == kind] for kind in (0, 1))
        count = min(len(big), len(small), 5 if quick else 10)
        for name, leavers, back in (("and returns", big[:count] + small[:count], True),
                                    ("one big after another", big[: 4 * count], False)):  # fmt: skip
            ring, here, found = Ring(), list(servers), dict[str, list[float]](rounded=[], ring=[])
            for server in servers:
                ring.put(server, server.weight)
            old, new = list(map(rounded(here), keys)), list(map(ring.owner, keys))
            for leaver in leavers:
                ring.drop(leaver)
                here.remove(leaver)
                after_old, after = list(map(rounded(here), keys)), list(map(ring.owner, keys))
                found["rounded"].append(sum(a is not b for a, b in zip(old, after_old, strict=True)))
                found["ring"].append(sum(a is not b for a, b in zip(new, after, strict=True)))
                if back:
                    ring.put(leaver, leaver.weight)
                    here.append(leaver)
                else:
                    old, new = after_old, after
            for rule, counts in found.items():
                parts = [each * boxes / len(keys) for each in counts]
                yield {"boxes": boxes, "leaves": name, "rule": rule, "mean": sum(parts) / len(parts),
                       "worst": max(parts)}  # fmt: skip


def subsets(quick: bool) -> Iterator[dict[str, Any]]:
    """Connections, on how many boxes a key is warm, and what moves where a box or a proxy leaves."""
    for boxes, proxies in ((300, 30),) if quick else ((14, 3), (300, 30), (2000, 50), (2000, 200)):
        servers = [backend(entry(number)) for number in range(boxes)]
        zones = {number: number % ZONES for number in range(proxies)}

        def view(servers: list[Backend], zones: dict[int, int], proxies: int = proxies) -> dict[str, Any]:
            dealt, owners, connections = SliceAssigner(proxies, ZONES).assign(servers, zones), {}, 0
            by_team: dict[int, list[Backend | None]] = {}  # a team reaches the same
            for proxy, team in dealt.groups.items():
                parts = reachable_fractions(proxy, dealt, LIMIT)
                connections += len(parts)
                if team[0] not in by_team:
                    ring = Ring()
                    for server, part in parts.items():
                        ring.put(server, server.weight, fraction=part)
                    by_team[team[0]] = list(map(ring.owner, KEY_HASHES))
                owners[proxy] = by_team[team[0]]
            homes = {s: proxy for proxy, slice_ in dealt.slices.items() for s in slice_}
            return {"owners": owners, "connections": connections, "homes": homes}

        def change(before: dict[str, Any], after: dict[str, Any]) -> tuple[float, int]:
            pairs = [
                p for n, row in after["owners"].items() for p in zip(row, before["owners"][n], strict=True)
            ]
            return sum(a is not b for a, b in pairs) / len(pairs), sum(
                before["homes"][server] != home for server, home in after["homes"].items()
            )

        whole = view(servers, zones)
        box = [
            change(whole, view(servers[:n] + servers[n + 1 :], zones))
            for n in Random(2).sample(range(boxes), 14)
        ]
        proxy = change(whole, view(servers, {n: zone for n, zone in zones.items() if n != proxies // 2}))
        copies = sum(len({row[i] for row in whole["owners"].values()}) for i in range(len(KEY_HASHES)))
        yield {"boxes": boxes, "proxies": proxies, "connections": whole["connections"],
               "product": boxes * proxies, "key_on_boxes": copies / len(KEY_HASHES),
               "box_leaves_keys_times_n": boxes * sum(keys for keys, _ in box) / len(box),
               "box_leaves_homes": sum(homes for _, homes in box) / len(box),
               "proxy_leaves_keys": proxy[0], "proxy_leaves_homes": proxy[1]}  # fmt: skip


def zipf(quick: bool) -> Iterator[dict[str, Any]]:
    """The fullest box under popular keys, by load and power over the mean, and sends beyond the cap."""
    for boxes, exponent in ((14, 0.84), (128, 0.84), (128, 1.1), (2048, 1.1)):
        random, made = Random(2), model(boxes, 1)[0]
        weights = list(accumulate((rank + 1) ** -exponent for rank in range(3000)))
        servers, out = list(made.where), deque[Backend]()
        for server in servers:
            server.capacity = 40.0
        fullest, over, count, level = 0.0, 0, 2000 if quick else 20_000, 6 * boxes
        for number in range(count + level):
            now = NOW + number / 4000
            key = hash_of(bisect_left(weights, random.random() * weights[-1]))
            server = made.choose(key, now, 1.0)
            assert server
            made.send(server, now)
            out.append(server)
            if len(out) > level:  # in any order: answers take their time
                out.rotate(random.randrange(level))
                made.done(out.popleft(), now, 1.0)
            if number >= level:
                mean = made.slices[0].mean()
                fullest = max(fullest, server.in_flight / power(server, now) / mean)
                over += server.in_flight > CAP * mean * power(server, now) + 2.01  # the send itself is one
        yield {"boxes": boxes, "exponent": exponent, "fullest_by_mean": fullest, "over_the_cap": over / count}


def memory(quick: bool) -> Iterator[dict[str, Any]]:
    """Bytes for a box in each structure, and for a timer."""
    servers = [backend(entry(number)) for number in range(200 if quick else 2000)]

    def ring(made: Ring) -> None:
        for server in servers:
            made.put(server, server.weight)
        made.settle()

    def index(made: LoadIndex) -> None:
        for server in servers:
            made.update(server, NOW, 1, server.weight, 0.1)
        made.apply_updates()

    def heard(made: PeerLoads) -> None:
        for server in servers:
            made.add_server(server)

    def wheel(made: TimerWheel) -> None:
        for number in range(len(servers)):
            made.set(NOW, NOW + number / 4000, number)

    for made, fill in ((Ring(), ring), (LoadIndex(), index), (PeerLoads(), heard), (TimerWheel(), wheel)):
        tracemalloc.start()
        fill(made)
        yield {"of": type(made).__name__, "bytes": tracemalloc.get_traced_memory()[0] / len(servers)}
        tracemalloc.stop()


def plot(found: list[dict[str, Any]], file: Path) -> None:
    try:
        import matplotlib

        matplotlib.use("Agg")
        from matplotlib import pyplot
    except ImportError:
        raise SystemExit("the plot needs matplotlib") from None
    figure, axes = pyplot.subplots(figsize=(7, 4.5))
    for which, style in (("balancer_us", "o-"), ("structures_us", "s--")):
        for proxies in TIERS:
            points = [(one["boxes"], one[which]) for one in found if one["proxies"] == proxies]
            label = f"{which.split('_')[0]}, {proxies} prox{'y' if proxies == 1 else 'ies'}"
            axes.plot(*zip(*points, strict=True), style, label=label)
    axes.set(xscale="log", yscale="log", xlabel="boxes", ylabel="us for a request and its answer")
    axes.legend(fontsize=8)
    axes.grid(alpha=0.3)
    figure.savefig(file, bbox_inches="tight", dpi=120)


def show(title: str, lines: list[dict[str, Any]]) -> None:
    print(title)
    for line in lines:
        print(
            "  " + ", ".join(f"{k} {v:.4g}" if isinstance(v, float) else f"{k} {v}" for k, v in line.items())
        )


PARTS: dict[str, Callable[[bool], Iterator[dict[str, Any]]]] = {
    "decisions": decisions, "list": listed, "rows": rows, "keys": moved, "subsets": subsets, "zipf": zipf,
    "bytes": memory,
}  # fmt: skip


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__.split("\n")[0])
    parser.add_argument("--json", type=Path, metavar="FILE", help="write all figures there")
    parser.add_argument("--plot", type=Path, metavar="FILE", help="draw cost by size there; needs matplotlib")
    parser.add_argument("--only", choices=PARTS, metavar="PART", help=f"one of {', '.join(PARTS)}")
    parser.add_argument("--quick", action="store_true", help="small, to see that it runs")
    options = parser.parse_args()
    kept = options.json and options.json.exists() and options.only
    found: dict[str, Any] = json.loads(options.json.read_text()) if kept else {}
    compiled = not (sys.modules["firvane.proxy.routing.hash_ring"].__file__ or "").endswith(".py")
    found |= {"python": sys.version.split()[0], "compiled": compiled}
    for name, lines in PARTS.items():
        if options.only in (None, name):
            found[name] = list(lines(options.quick))
            show(name, found[name])
    if options.json:
        options.json.write_text(json.dumps(found, indent=1) + "\n")
    if options.plot and "decisions" in found:
        plot(found["decisions"], options.plot)


if __name__ == "__main__":
    main()

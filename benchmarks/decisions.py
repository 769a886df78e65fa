"""What a decision costs: requests that a core can decide, with nothing but the decision module at work.

    python benchmarks/decisions.py --boxes 14,200,2000
    python benchmarks/decisions.py --seconds 5 --json decisions.json

A bank of proxies' decisions lives in virtual time: requests come evenly, each box answers after a while, and
rows go from proxy to proxy. Only the time inside `Balancer.handle` counts. The sources run compiled, where
they are (`make native`), and interpreted, each in a process of its own; both must take the same actions.
"""

from __future__ import annotations

import argparse
import hashlib
import heapq
import json
import os
import random
import subprocess
import sys
import time
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parents[1]
sys.path[0] = str(ROOT)  # in place of this folder

from firvane.proxy import native  # noqa: E402

PROXIES, KEYS = 3, 500
TOOK = 0.05  # s that a box takes to answer, in the mean
RATE, MOST = 16.0, 1000.0  # requests a second for each box; and for all of them at the most
WARM = 1.5  # s of virtual time before what counts: rooms are learnt, rows are out
SEEN = 2_000  # actions that are compared: as many come on any machine


def settings(api: Any, me: int) -> Any:
    """A proxy of the bank; half of the requests have keys, which are worth going by."""
    classes = (
        api.RequestClass(
            "read", latency_target=0.5, deadline=2.0, value=2.0, idempotency=api.Idempotency.SAFE
        ),
        api.RequestClass("pay", latency_target=0.5, deadline=2.0, idempotency=api.Idempotency.UNSAFE),
    )
    rules = api.Rules(
        0.02, drain_grace=1.0, start_capacity=0.3, slow_start=8.0, fall_multiple=3.0, fall_window=1.0
    )
    limits = api.Limits(max_attempts=3, cancel=True, hedging=True, peers=True, max_retry_after=1.0)
    return api.Settings(
        me=me, proxies=PROXIES, tick=0.005, classes=classes, rules=rules, limits=limits, key_affinity=True
    )


def measure(boxes: int, seconds: float, seed: int) -> dict[str, Any]:
    """Decide for so many CPU seconds; requests a second of it, and a digest of the first actions."""
    from firvane.core import interface as api
    from firvane.proxy.balancer import Balancer

    rng = random.Random(seed)
    now, spent, numbers, requests = 1000.0, 0.0, 0, 0
    bank = [Balancer(settings(api, me), seed + me, now) for me in range(PROXIES)]
    due: list[tuple[float, int, int, Any]] = []  # when, order, proxy, event
    seen, kept = hashlib.blake2b(digest_size=8), 0

    def take(me: int, actions: list[Any]) -> None:
        nonlocal numbers, kept
        for action in actions:
            numbers += 1
            if kept < SEEN:
                kept += 1
                seen.update(repr(action).encode())
            if type(action) is api.SetTimer:
                heapq.heappush(due, (now + action.delay, numbers, me, api.TimerFired(action.token)))
            elif type(action) is api.Send:
                tries[action.id] = tries.get(action.id, -1) + 1
                took = TOOK * rng.uniform(0.5, 1.5)
                end = api.Outcome(action.id, tries[action.id], action.server, api.Result.OK, took, True)
                heapq.heappush(due, (now + took, numbers, me, end))
            elif type(action) is api.SendToPeer:
                for other in range(PROXIES):
                    if other != me:
                        row = api.PeerMessage(me, action.payload)
                        heapq.heappush(due, (now + 0.001, numbers + other, other, row))

    tries: dict[int, int] = {}
    entries = tuple(api.Server(f"web-{i}", zone=0, cell=i % 4) for i in range(boxes))
    for me, balancer in enumerate(bank):
        take(me, balancer.start(now))
        take(me, balancer.handle(api.ServerList(api.ListKind.COMPLETE, 1, entries), now))
    gap, warm, next_at = 1.0 / min(MOST, RATE * boxes), now + WARM, now
    clock = time.process_time
    while warm or spent < seconds:
        while due and due[0][0] <= next_at:
            now, _, me, event = heapq.heappop(due)
            if type(event) is api.Outcome:
                tries.pop(event.id, None)
            at = clock()
            actions = bank[me].handle(event, now)
            spent += clock() - at
            take(me, actions)
        now = next_at
        requests += 1
        key = f"k{rng.randrange(KEYS)}" if requests % 2 else None
        event = api.Request(requests, requests % 4 == 0, 2.0, key)
        event.class_id = int(event.class_id)
        at = clock()
        actions = bank[requests % PROXIES].handle(event, now)
        spent += clock() - at
        take(requests % PROXIES, actions)
        next_at += gap
        if warm and now > warm:
            warm, spent, requests = 0.0, 0.0, 0
    return {
        "native": native.state().on,
        "boxes": boxes,
        "per_second": requests / spent,
        "us": 1e6 * spent / requests,
        "actions": seen.hexdigest(),
    }


def main() -> int:
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawTextHelpFormatter)
    parser.add_argument("--boxes", default="14,200,2000", help="numbers of boxes (%(default)s)")
    parser.add_argument("--seconds", type=float, default=2.0, help="CPU time of each (%(default)s)")
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--json", type=Path, help="where the figures are written")
    parser.add_argument("--here", action="store_true", help=argparse.SUPPRESS)
    arguments = parser.parse_args()
    numbers = [int(number) for number in arguments.boxes.split(",")]
    if arguments.here:
        native.activate()
        for boxes in numbers:
            print(json.dumps(measure(boxes, arguments.seconds, arguments.seed)), flush=True)
        return 0
    rows = []
    for switch in ("0", "1"):
        again = [sys.executable, __file__, *sys.argv[1:], "--here"]
        done = subprocess.run(again, env={**os.environ, native.SWITCH: switch}, stdout=-1, check=True)
        rows += [json.loads(line) for line in done.stdout.splitlines()]
    print("boxes  form         decided a second  us each  actions")
    for row in sorted(rows, key=lambda row: (row["boxes"], row["native"])):
        form = "compiled" if row["native"] else "interpreted"
        print(f"{row['boxes']:5}  {form:11}  {row['per_second']:16,.0f}  {row['us']:7.1f}  {row['actions']}")
    if arguments.json:
        arguments.json.write_text(json.dumps(rows, indent=1) + "\n")
    return 0 if len({(row["boxes"], row["actions"]) for row in rows}) == len(numbers) else 1


if __name__ == "__main__":
    sys.exit(main())

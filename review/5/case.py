# ruff: noqa: D103, PLR2004
"""The first seed loses its disk while the whole system starts for the first time: no group is ever formed."""

from __future__ import annotations

import asyncio
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "stand_ins"))

from fleet import Fleet, Record, configuration, main, route

START_GAP_S = 0.28  # each machine starts within 0.3 s of the others
LOSS_AT_S = 0.30  # after the start of the first machine
DOWN_S = 1.0
CATCH_UP_S, CONTACT_S, ACK_S = 4.0, 3.0, 4.0
ROUTE_S = 0.003  # more time to acknowledge an order, for each route
PATIENCE_S = 60.0  # the order is sent on for this time, to tell late from never


async def start(fleet: Fleet) -> None:
    """Start all machines for the first time, the third controller 0.28 s after the others."""
    await fleet.start_stand_ins()
    *others, last = fleet.controllers
    for node in (*others, *fleet.routers):
        await fleet.start_node(node, first_start=True)
    await asyncio.sleep(START_GAP_S)
    await fleet.start_node(last, first_start=True)


async def lose_disk_of_first_seed(fleet: Fleet) -> None:
    """The machine of the first seed goes down, and starts again at its address with an empty disk."""
    first = fleet.controllers[0]
    await asyncio.sleep(LOSS_AT_S - START_GAP_S)
    await fleet.kill_node(first)
    fleet.wipe_disk(first)
    await asyncio.sleep(DOWN_S)
    await fleet.start_node(first, first_start=False)


async def play(fleet: Fleet, record: Record, trouble: bool) -> bool:
    await start(fleet)
    if trouble:
        await lose_disk_of_first_seed(fleet)
    complete_at = time.monotonic()
    status = await fleet.send_order(configuration(1, [route("letters", "/letters/")]), 0, PATIENCE_S)
    took = time.monotonic() - complete_at
    allowed = CATCH_UP_S + CONTACT_S + ACK_S + ROUTE_S
    record.write(f"the first order: {status or 'no answer'}, {took:.1f} s after all machines ran")
    for node in fleet.controllers:
        for line in fleet.log_of(node).splitlines():
            record.write(f"log of {node.name}: {line[line.find('event=') :]}")
    record.write(f"{allowed:.1f} s are allowed: the time to catch up, to be in touch, and to acknowledge")
    return status == 200 and took <= allowed


async def case(record: Record, trouble: bool) -> bool:
    fleet = Fleet(record, controllers=3, routers=1)
    try:
        return await play(fleet, record, trouble)
    finally:
        await fleet.close()


if __name__ == "__main__":
    main(case)

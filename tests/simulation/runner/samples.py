"""Results made from records written by hand, for the tests of what shows them."""

from __future__ import annotations

from firvane.simulation.emulation.records import Record, Shaded, Used
from firvane.simulation.emulation.scenario import Scenario, Trouble
from firvane.simulation.runner.result import Result, Witness
from tests.simulation.emulation import histories as h

SILENT = Trouble(kind="silent", at_s=10.0, for_s=8.0)
DAY = Scenario(name="sample", about="<b>Some</b> boxes fall silent.", seconds=40.0, troubles=(SILENT,))
COMMUNITIES = ("lagos", "abuja", "kano")


def history(slow: float = 0.0, lost: bool = False) -> list[Record]:
    """40 s: two boxes of which one is silent from 10 s and back cold at 18, ten requests a second."""
    records: list[Record] = [h.proxy(0.0, "started"), h.box(0.0, "warm"), h.box(0.0, "warm", "far")]
    records += [Shaded(10.0, 18.0, "silent <yaba>"), h.box(10.0, "silent", "far", capacity=0.0)]
    records += [h.box(18.0, "cold", "far", 1, 0.5), h.told(19.0, "up", "far", 1)]
    for n in range(400):
        at, call = n / 10, f"c{n}"
        hit = 10.0 <= at < 18.0
        took = 0.05 + 0.001 * (n % 37) + slow * (n % 3)
        records.append(h.asked(at, call, community=COMMUNITIES[n % 3], zone="ikeja" if n % 2 else "yaba"))
        records.append(h.arrived(at + 0.01, call, "far" if n % 2 and not hit else "b", start=int(at >= 18.0)))
        records.append(h.finished(at + took - 0.01, call, "far" if n % 2 and not hit else "b"))
        records.append(h.answered(at + took, call, 503 if hit and n % 4 == 0 else 200))
        if n % 10 == 0:
            records.append(Used(at, "p", 0.02 * at, 20 << 20, 40 + n % 7))
    if lost:
        records += [h.asked(20.0, "gone <i>", deadline=21.0), h.asked(38.5, "held", deadline=39.0)]
        records.append(h.answered(38.9, "held", 503))
    return h.in_order(records)


def sample(seed: int = 1, slow: float = 0.0, lost: bool = False, scenario: Scenario = DAY) -> Result:
    witness = Witness(scenario, seed, "virtual")
    for record in history(slow, lost):
        witness.see(record)
    return witness.result()

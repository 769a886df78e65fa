"""`firvane boxes`: an emulated fleet to point a proxy or a client at."""

from __future__ import annotations

import sys
from collections import Counter
from typing import TYPE_CHECKING

import click

if TYPE_CHECKING:
    from firvane.simulation.emulation.records import Record
    from firvane.simulation.emulation.scenario import Scenario
    from firvane.simulation.runner.emulated_fleet import Fleet


class AddressType(click.ParamType[tuple[str, int]]):
    """A numeric address with a port."""

    name = "ADDRESS:PORT"

    def convert(
        self, value: str, param: click.Parameter | None, ctx: click.Context | None
    ) -> tuple[str, int]:
        from firvane.core.address import parse_address

        try:
            return parse_address(value)
        except ValueError as error:
            self.fail(str(error), param, ctx)


ADDRESS = AddressType()


@click.command("boxes")
@click.argument("name", default="quiet-sunday")
@click.option(
    "--boxes", type=ADDRESS, default="127.0.0.1:9001", help="Of the first; each next one has the next port."
)
@click.option("--discovery", type=ADDRESS, default="127.0.0.1:8500", help="Where the list is told.")
@click.option("--seed", type=click.IntRange(0, 2**63 - 1), help="For all that is drawn; else the scenario's.")
@click.option("--config", type=click.Path(dir_okay=False), help="Write a firvane.toml for a proxy here.")
def command(
    name: str, boxes: tuple[str, int], discovery: tuple[str, int], seed: int | None, config: str | None
) -> None:
    """Stand up the boxes of a scenario, with discovery, for a proxy and a client of your own.

    NAME is one of `firvane scenarios`, or a TOML file; what befalls its boxes comes at its times from the
    start. A box serves whatever it is asked: the work is what X-Call-Cost says in microseconds, or else drawn
    from the path; X-Route-Hash is the key that it may have met. All ends with Ctrl-C.

    \b
    Examples:
      firvane boxes --config firvane.toml
      firvane serve firvane.toml                     (in another terminal)
      curl -H 'X-Call-Id: 1' -H 'X-Budget-Ms: 2000' 127.0.0.1:8080/profile-view/ada
    """
    from firvane.cli.files import scenario
    from firvane.simulation.runner.stand_ins import run_stand_ins

    found = scenario(name)
    if config:
        with open(config, "w", encoding="utf-8") as file:
            file.write(configuration(found, discovery))
    seen = Seen()

    def up(fleet: Fleet) -> None:
        last = boxes[1] + len(fleet.hosts) - 1
        click.echo(f"{len(fleet.hosts)} boxes at {boxes[0]}:{boxes[1]} to {last}")
        click.echo(f"discovery at {discovery[0]}:{discovery[1]}")
        if config:
            click.echo(f"firvane serve {config}")
        seen.start(fleet)

    run_stand_ins(found, found.seed if seed is None else seed, boxes, discovery, seen, up)


class Seen:
    """Counts what comes to the boxes, and shows it: each second on a terminal, else every 10 s."""

    def __init__(self) -> None:
        self.counts: Counter[str] = Counter()
        self.states: dict[str, str] = {}
        self.changes = sys.stderr.isatty()
        self.every = 1.0 if self.changes else 10.0

    def __call__(self, record: Record) -> None:
        from firvane.simulation.emulation.records import Arrived, BoxState

        if isinstance(record, Arrived):
            self.counts[record.verdict] += 1
        elif isinstance(record, BoxState):
            self.states[record.box] = record.state

    def start(self, fleet: Fleet) -> None:
        fleet.clock.call_at(self.every, self._show, fleet)

    def _show(self, now: float, fleet: Fleet) -> None:
        states = ", ".join(f"{n} {state}" for state, n in sorted(Counter(self.states.values()).items()))
        taken, away = (self.counts[verdict] / self.every for verdict in ("taken", "turned away"))
        line = f"{now:5.0f} s  taken {taken:.0f}/s  turned away {away:.0f}/s  boxes: {states}"
        click.echo(f"\r{line}\033[K" if self.changes else line, err=True, nl=not self.changes)
        self.counts.clear()
        fleet.clock.call_at(now + self.every, self._show, fleet)


def configuration(scenario: Scenario, discovery: tuple[str, int]) -> str:
    """A `firvane.toml` for one proxy before these boxes."""
    boxes, load, network = scenario.boxes, scenario.load, scenario.network

    def texts(values: list[str]) -> str:
        return "[" + ", ".join(f'"{value}"' for value in values) + "]"

    return f"""\
listen = "127.0.0.1:8080"
zone = "{network.zones[0]}"
zones = {texts(list(network.zones))}
kinds = {texts([kind.name for kind in boxes.kinds])}

[target_group]
discovery = "{discovery[0]}:{discovery[1]}"

[[classes]]
name = "{load.request_class}"
aim_ms = {1000 * load.aim_s:g}
deadline_ms = {1000 * load.deadline_s:g}
repeat = "{"safe" if load.may_repeat else "unsafe"}"

[rules]
start_capacity = {boxes.cold_share:g}
cold_s = {boxes.warm_s:g}
fall_multiple = {boxes.fall_multiple:g}
fall_s = {boxes.fall_s:g}

[limits]
second_copies = true
target_idle_s = {boxes.idle_s:g}
"""

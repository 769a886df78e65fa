"""`firvane boxes`: runs emulated backends with discovery, for tests of a proxy or a client."""

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
    "--boxes",
    type=ADDRESS,
    default="127.0.0.1:9001",
    help="Address of the first backend; each further one has the next port.",
)
@click.option("--discovery", type=ADDRESS, default="127.0.0.1:8500", help="Address of discovery.")
@click.option(
    "--seed", type=click.IntRange(0, 2**63 - 1), help="Seed of all random values; else the scenario's."
)
@click.option("--config", type=click.Path(dir_okay=False), help="Write a firvane.toml for a proxy here.")
def command(
    name: str, boxes: tuple[str, int], discovery: tuple[str, int], seed: int | None, config: str | None
) -> None:
    """Stand up the boxes of a scenario, with discovery, for a proxy and a client of your own.

    NAME is one of `firvane scenarios`, or a TOML file; its faults happen at their times. A box
    answers every request: the work is X-Call-Cost in microseconds, or else a value derived from the path;
    X-Route-Hash is the key, which the box may have cached. Ctrl-C ends everything.

    \b
    Examples:
      firvane boxes --config firvane.toml
      firvane serve firvane.toml                     (in another terminal)
      curl -H 'X-Call-Id: 1' -H 'X-Budget-Ms: 2000' 127.0.0.1:8080/profile-view/ada
    """
    from firvane.cli.files import scenario
    from firvane.simulation.runner.stand_ins import run_stand_ins

    chosen = scenario(name)
    if config:
        with open(config, "w", encoding="utf-8") as file:
            file.write(configuration(chosen, discovery))
    counter = RequestCounter()

    def on_started(fleet: Fleet) -> None:
        last = boxes[1] + len(fleet.hosts) - 1
        click.echo(f"{len(fleet.hosts)} boxes at {boxes[0]}:{boxes[1]} to {last}")
        click.echo(f"discovery at {discovery[0]}:{discovery[1]}")
        if config:
            click.echo(f"firvane serve {config}")
        counter.start(fleet)

    run_stand_ins(chosen, chosen.seed if seed is None else seed, boxes, discovery, counter, on_started)


class RequestCounter:
    """Counts requests at the backends, and prints rates: each second on a terminal, else each 10 s."""

    def __init__(self) -> None:
        self.counts: Counter[str] = Counter()
        self.states: dict[str, str] = {}
        self.rewrites_line = sys.stderr.isatty()
        self.interval_s = 1.0 if self.rewrites_line else 10.0

    def __call__(self, record: Record) -> None:
        from firvane.simulation.emulation.records import Arrived, BoxState

        if isinstance(record, Arrived):
            self.counts[record.verdict] += 1
        elif isinstance(record, BoxState):
            self.states[record.box] = record.state

    def start(self, fleet: Fleet) -> None:
        fleet.clock.call_at(self.interval_s, self._show, fleet)

    def _show(self, now: float, fleet: Fleet) -> None:
        states = ", ".join(
            f"{count} {state}" for state, count in sorted(Counter(self.states.values()).items())
        )
        taken, rejected = (self.counts[verdict] / self.interval_s for verdict in ("taken", "turned away"))
        line = f"{now:5.0f} s  taken {taken:.0f}/s  turned away {rejected:.0f}/s  boxes: {states}"
        click.echo(f"\r{line}\033[K" if self.rewrites_line else line, err=True, nl=not self.rewrites_line)
        self.counts.clear()
        fleet.clock.call_at(now + self.interval_s, self._show, fleet)


def configuration(scenario: Scenario, discovery: tuple[str, int]) -> str:
    """Return the text of a `firvane.toml` for one proxy in front of these backends."""
    boxes, load, network = scenario.boxes, scenario.load, scenario.network

    def toml_list(values: list[str]) -> str:
        return "[" + ", ".join(f'"{value}"' for value in values) + "]"

    return f"""\
listen = "127.0.0.1:8080"
zone = "{network.zones[0]}"
zones = {toml_list(list(network.zones))}
kinds = {toml_list([kind.name for kind in boxes.kinds])}

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

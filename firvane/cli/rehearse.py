"""`firvane rehearse`: simulates a scenario and checks the rules on the result."""

from __future__ import annotations

import os
import shlex
from pathlib import Path
from typing import TYPE_CHECKING

import click

if TYPE_CHECKING:
    from click.shell_completion import CompletionItem

    from firvane.simulation.emulation.scenario import Scenario


def _complete(ctx: click.Context, param: click.Parameter, incomplete: str) -> list[CompletionItem]:
    from click.shell_completion import CompletionItem

    from firvane.cli.files import names_for_completion

    files = [CompletionItem(incomplete, type="file")]
    return [CompletionItem(name) for name in names_for_completion(incomplete)] or files


@click.command("rehearse")
@click.argument("name", required=False, shell_complete=_complete)
@click.option("--virtual/--live", default=True, help="In virtual time (the default), or with real processes.")
@click.option(
    "--seed", type=click.IntRange(0, 2**63 - 1), help="Seed of all random values; else the scenario's."
)
@click.option("--draw", type=click.IntRange(0, 2**63 - 1), help="Draw a scenario from this seed.")
@click.option("--json", "json_file", type=click.Path(dir_okay=False), help="Keep the result here.")
@click.option("--html", "html_file", type=click.Path(dir_okay=False), help="Write the report here.")
@click.option("--logs", type=click.Path(file_okay=False), help="--live: keep the proxies' logs here.")
@click.option("--quiet", is_flag=True, help="Print no progress.")
@click.pass_context
def command(
    ctx: click.Context,
    name: str | None,
    virtual: bool,
    seed: int | None,
    draw: int | None,
    json_file: str | None,
    html_file: str | None,
    logs: str | None,
    quiet: bool,
) -> None:
    """Play a scenario against emulated boxes and clients, and judge it.

    NAME is one of `firvane scenarios`, or a TOML file. In virtual time the real proxies run on a clock that
    moves only when nothing is ready: a run is a function of program, scenario and seed, and its result hash
    the same each time. Live, they are processes on loopback, and a machine too busy for it gets no verdict.

    Exit code 0 where all rules are kept, 1 where one is broken or there is no verdict.

    \b
    Examples:
      firvane rehearse rolling-deploy
      firvane rehearse quiet-sunday --live --json now.json --html now.html
      firvane rehearse mine.toml --seed 7
      firvane rehearse --draw 42
    """
    scenario, scenario_argument = _scenario(name, draw)
    for file in (json_file, html_file):
        _check_writable(file)
    if logs:
        os.makedirs(logs, exist_ok=True)
    effective_seed = scenario.seed if seed is None else seed
    clock = "virtual" if virtual else "live"

    from firvane.cli import InvalidInputError
    from firvane.cli.progress import ProgressDisplay
    from firvane.simulation.runner.result import write
    from firvane.simulation.runner.run import rehearse
    from firvane.simulation.runner.summary import page

    display = ProgressDisplay()
    try:
        result = rehearse(
            scenario,
            effective_seed,
            "virtual" if virtual else "live",
            replay=f"firvane rehearse {scenario_argument} --{clock} --seed {effective_seed}",
            watch=None if quiet else display,
            folder=Path(logs) if logs else None,
        )
    except ValueError as error:
        raise InvalidInputError(f"firvane: {scenario_argument} cannot be played: {error}") from None
    finally:
        display.end()
    click.echo(page(result))
    if json_file:
        write(json_file, result)
    if html_file:
        from firvane.simulation.runner.report import write_html

        write_html([result], html_file)
    ctx.exit(0 if result.well else 1)


def _scenario(name: str | None, draw: int | None) -> tuple[Scenario, str]:
    """Return the scenario, and the arguments that select it on the command line."""
    if (name is None) is (draw is None):
        raise click.UsageError("give either the NAME of a scenario or --draw SEED")
    if name is not None:
        from firvane.cli.files import scenario

        return scenario(name), shlex.quote(name)
    from firvane.simulation.emulation.random_scenarios import draw as draw_scenario

    assert draw is not None
    return draw_scenario(draw), f"--draw {draw}"


def _check_writable(file: str | None) -> None:
    """Raise `click.UsageError` before a long run if its result could not be written to a file."""
    if file is not None:
        folder = Path(file).absolute().parent
        if not folder.is_dir() or not os.access(folder, os.W_OK):
            raise click.UsageError(f"{file} cannot be written: {folder} is not a writable folder")

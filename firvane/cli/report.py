"""`firvane report`: prints a stored result, or compares two."""

from __future__ import annotations

from typing import TYPE_CHECKING

import click

if TYPE_CHECKING:
    from firvane.simulation.runner.result import Result


@click.command("report")
@click.argument("first", metavar="A.json", type=click.Path(dir_okay=False))
@click.argument("second", metavar="[B.json]", required=False, type=click.Path(dir_okay=False))
@click.option("--html", type=click.Path(dir_okay=False), help="Write the page of HTML here as well.")
@click.pass_context
def command(ctx: click.Context, first: str, second: str | None, html: str | None) -> None:
    """Show a result that `rehearse --json` has kept, or what is different from A to B.

    With two results each difference has its interval of 95% and says whether they can be told apart.

    Exit code 0 where all rules are kept in what is shown last, 1 where one is broken.

    \b
    Examples:
      firvane report now.json
      firvane report before.json after.json --html change.html
    """
    from firvane.simulation.runner.summary import page

    results = [_read(file) for file in (first, second) if file]
    if len(results) == 1:
        click.echo(page(results[0]))
    else:
        _differences(first, results[0], str(second), results[1])
    if html:
        from firvane.simulation.runner.report import write_html

        write_html(results, html, [file for file in (first, second) if file])
    ctx.exit(0 if results[-1].well else 1)


def _read(file: str) -> Result:
    from firvane.cli import InvalidInputError
    from firvane.simulation.runner.result import ResultError, read

    try:
        return read(file)
    except OSError as error:
        raise InvalidInputError(f"{file}: cannot be read: {error.strerror or error}") from None
    except RecursionError:
        raise InvalidInputError(f"{file}: nested too deep") from None
    except ValueError as error:  # includes ResultError
        raise InvalidInputError(
            str(error) if isinstance(error, ResultError) else f"{file}: {error}"
        ) from None


def _differences(first: str, a: Result, second: str, b: Result) -> None:
    from firvane.simulation.emulation.compare import differences

    paired = a.scenario.troubles == b.scenario.troubles and a.seed == b.seed
    for name, file, result in (("A", first, a), ("B", second, b)):
        rules = ", ".join(f"{rule} ({n})" for rule, n in result.broken_counts.items())
        verdict = result.no_verdict or (f"BROKEN {rules}" if rules else "all rules kept")
        click.echo(f"{name}  {file}: {result.scenario.name}, seed {result.seed}, {result.clock}; {verdict}")
        click.echo(
            f"   score {result.score:.3f}  service {result.service:.3f}  worst 10 s {result.worst_10_s:.3f}"
            f"  worst community {result.worst_community:.3f}"
        )
    click.echo(f"\n{'':<26}{'A':>10}{'B':>10}{'B less A':>11}  {'95% interval':<22}")
    for difference in differences(a, b, a.scenario.warm_up_s, paired):
        interval = f"{difference.low:+.3f} to {difference.high:+.3f}"
        click.echo(
            f"{difference.what:<26}{difference.first:>10.3f}{difference.second:>10.3f}"
            f"{difference.change:>+11.3f}  {interval:<22}"
            f"{difference.unit:<3} {difference.verdict}"
        )

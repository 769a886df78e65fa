"""`firvane scenarios`: those that come along."""

from __future__ import annotations

import click


@click.command("scenarios")
@click.argument("name", required=False)
def command(name: str | None) -> None:
    """List the scenarios that come along, or print the file of the one called NAME.

    \b
    Examples:
      firvane scenarios
      firvane scenarios rolling-deploy > mine.toml
    """
    from importlib.resources import files

    from firvane.cli.files import scenario
    from firvane.simulation.emulation import scenarios

    if name is not None:
        scenario(name)  # says what is wrong where there is none
        if name not in scenarios.scenario_names():
            raise click.UsageError(f"{name!r} is a file of your own; the names are those that come along")
        click.echo(files(scenarios).joinpath(f"{name}.toml").read_text("utf-8"), nl=False)
        return
    shown = {each: scenarios.load_named(each) for each in scenarios.scenario_names()}
    width = max(map(len, shown))
    for each, found in shown.items():
        indent = " " * (width + 2)
        about = click.wrap_text(" ".join(found.about.split()), 100, indent, indent)
        click.echo(f"{each:<{width}}  {about.lstrip()}")

"""`firvane scenarios`: lists the bundled scenarios."""

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
        scenario(name)  # raises an error if there is none
        if name not in scenarios.scenario_names():
            raise click.UsageError(f"{name!r} is a file of your own; the names are those that come along")
        click.echo(files(scenarios).joinpath(f"{name}.toml").read_text("utf-8"), nl=False)
        return
    bundled = {
        scenario_name: scenarios.load_named(scenario_name) for scenario_name in scenarios.scenario_names()
    }
    width = max(map(len, bundled))
    for scenario_name, loaded in bundled.items():
        indent = " " * (width + 2)
        about = click.wrap_text(" ".join(loaded.about.split()), 100, indent, indent)
        click.echo(f"{scenario_name:<{width}}  {about.lstrip()}")

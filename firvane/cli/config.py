"""`firvane config`: prints the schemas of the file formats."""

from __future__ import annotations

import click


@click.group("config")
def command() -> None:
    """Tell about the configuration format."""


@command.command("schema")
@click.argument("kind", type=click.Choice(["configuration", "scenario", "policy"]), default="configuration")
def schema(kind: str) -> None:
    """Print the JSON schema of firvane.toml, of a scenario or of a policy, for an editor.

    It does not contain checks across several keys; firvane check performs these.

    \b
    Examples:
      firvane config schema > firvane.schema.json
      firvane config schema scenario > scenario.schema.json
    With the schema beside it, a first line such as this one lets many editors use it:
      #:schema ./firvane.schema.json
    """
    import json

    import msgspec

    from firvane.proxy.config.model import File
    from firvane.proxy.config.policy import Policy
    from firvane.simulation.emulation.scenario import Scenario

    document = msgspec.json.schema({"configuration": File, "scenario": Scenario, "policy": Policy}[kind])
    document = {"$schema": "https://json-schema.org/draft/2020-12/schema", **document}
    click.echo(json.dumps(document, indent=2))

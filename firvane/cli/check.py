"""`firvane check`: every fault of a file at once."""

from __future__ import annotations

import click


@click.command("check")
@click.argument("files", nargs=-1, required=True, type=click.Path())
@click.pass_context
def command(ctx: click.Context, files: tuple[str, ...]) -> None:
    """Name every fault of FILES: configurations (firvane.toml or the platform's JSON), policies,
    plans of a rolling change or scenarios.

    Which of them a file is meant to be is told by its content. Each fault is one line: file, key, what is
    wrong, what was given, and for an unknown key the one that was probably meant. Exit code 2 for any.

    \b
    Examples:
      firvane check firvane.toml
      firvane check scenarios/*.toml
    """
    from firvane.core import validation

    faults: list[str] = []
    for file in files:
        try:
            click.echo(f"{file}: {look(file)}")
        except validation.ValidationError as found:
            faults += found.lines()
    for line in faults:
        click.echo(line, err=True)
    ctx.exit(2 if faults else 0)


def look(file: str) -> str:
    """What a file holds, in a few words; raises `validation.ValidationError`."""
    from firvane.cli.files import form_of
    from firvane.core import validation

    raw = validation.load(file)
    form = form_of(raw)
    if form == "scenario":
        from firvane.simulation.emulation.checks import CHECKS as SCENARIO_CHECKS
        from firvane.simulation.emulation.scenario import Scenario

        scenario = validation.build(raw, Scenario, file, SCENARIO_CHECKS)
        return f"scenario {scenario.name}, {scenario.seconds:g} s, {len(scenario.troubles)} troubles"
    if form == "platform":
        from firvane.proxy.config.platform import read_config

        try:
            told = read_config({"NODE_CONFIG": file})
        except (ValueError, OSError) as error:
            why = str(error).removeprefix(file).lstrip(": ")
            raise validation.ValidationError([validation.Violation(file, "", why)]) from None
        return f"the platform's configuration of {told.name}, {len(told.settings.classes)} classes"
    if form == "policy":
        from pathlib import Path

        from firvane.proxy.config.policy import parse

        policy = parse(Path(file).read_bytes(), file)  # of its text there may be less than of other files
        said = (key for key in policy.__struct_fields__ if getattr(policy, key) is not None)
        return f"policy that says {', '.join(said)}"
    if form == "plan":
        from firvane.proxy.rollout.plan import CHECKS as PLAN_CHECKS
        from firvane.proxy.rollout.plan import Plan

        plan = validation.build(raw, Plan, file, PLAN_CHECKS)
        stages = ", ".join(str(plan.target_count(n)) for n in range(len(plan.stage)))
        change = f"{plan.roll.old} to {plan.roll.version}"
        return f"plan of a rolling change from {change}: {stages} of {len(plan.place)} places"
    if form == "place":
        from firvane.proxy.rollout.supervisor_config import CHECKS as SUPERVISOR_CHECKS
        from firvane.proxy.rollout.supervisor_config import SupervisorConfig

        site = validation.build(raw, SupervisorConfig, file, SUPERVISOR_CHECKS)
        return f"place {site.name}, versions {', '.join(sorted(site.versions))}"
    from firvane.proxy.config.checks import CHECKS
    from firvane.proxy.config.model import File

    config = validation.build(raw, File, file, CHECKS)
    where = config.target_group.discovery
    targets = f"discovery at {where}" if where else f"{len(config.target_group.targets)} targets"
    return f"configuration of {config.name}, {len(config.classes)} classes, {targets}"

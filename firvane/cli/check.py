"""`firvane check`: prints all errors of files."""

from __future__ import annotations

import click


@click.command("check")
@click.argument("files", nargs=-1, required=True, type=click.Path())
@click.pass_context
def command(ctx: click.Context, files: tuple[str, ...]) -> None:
    """Name every fault of FILES: configurations (firvane.toml or the platform's JSON), policies,
    plans of a rolling change or scenarios.

    The kind of a file is detected by its content. Each fault is one line: file, key, error, given value, and
    for an unknown key a similar known one. Exit code 2 for any fault.

    \b
    Examples:
      firvane check firvane.toml
      firvane check scenarios/*.toml
    """
    from firvane.core import validation

    error_lines: list[str] = []
    for file in files:
        try:
            click.echo(f"{file}: {describe(file)}")
        except validation.ValidationError as error:
            error_lines += error.lines()
    for line in error_lines:
        click.echo(line, err=True)
    ctx.exit(2 if error_lines else 0)


def describe(file: str) -> str:
    """Return a short description of a valid file; raises `validation.ValidationError`."""
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
            config_read = read_config({"NODE_CONFIG": file})
        except (ValueError, OSError) as error:
            reason = str(error).removeprefix(file).lstrip(": ")
            raise validation.ValidationError([validation.Violation(file, "", reason)]) from None
        return (
            f"the platform's configuration of {config_read.name}, {len(config_read.settings.classes)} classes"
        )
    if form == "policy":
        from pathlib import Path

        from firvane.proxy.config.policy import parse

        policy = parse(Path(file).read_bytes(), file)  # a policy has a lower size limit than other files
        keys = (key for key in policy.__struct_fields__ if getattr(policy, key) is not None)
        return f"policy that says {', '.join(keys)}"
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

        place = validation.build(raw, SupervisorConfig, file, SUPERVISOR_CHECKS)
        return f"place {place.name}, versions {', '.join(sorted(place.versions))}"
    from firvane.proxy.config.checks import CHECKS
    from firvane.proxy.config.model import File

    config = validation.build(raw, File, file, CHECKS)
    discovery_address = config.target_group.discovery
    targets = (
        f"discovery at {discovery_address}"
        if discovery_address
        else f"{len(config.target_group.targets)} targets"
    )
    return f"configuration of {config.name}, {len(config.classes)} classes, {targets}"

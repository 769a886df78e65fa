"""`firvane rollout`: deploys a version of the proxy or its settings in stages, and stops if it is worse.

Exit codes: 0 done; 1 rolled back or given up; 2 bad usage or an invalid file; 3 paused, in progress, or
unknown.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, NoReturn

import click

from firvane.cli import InvalidInputError
from firvane.core.printable import plain

if TYPE_CHECKING:
    from firvane.proxy.rollout.plan import Plan
    from firvane.proxy.rollout.rollout_files import RolloutFiles
    from firvane.proxy.rollout.rollout_state import OperatorCommand, RolloutState, StoredRollout

PLAN_ARGUMENT = click.argument("plan", type=click.Path())
COURSE_OPTION = click.option(
    "--course", type=click.Path(), help="the course's file; PLAN with .course otherwise"
)
EXIT_UNKNOWN = 3
EXIT_CODES = {"done": 0, "back": 1, "given up": 1}  # by final state
COMMAND_TIMEOUT_S = 5.0  # for the owner of the rollout to receive a command
POLL_INTERVAL_S = 0.1


@click.group("rollout", context_settings={"help_option_names": ["-h", "--help"]})
def command() -> None:
    """Replace a tier's proxies in stages, compare old and new ones, and stop where the new ones are worse.

    Each proxy runs in a place, under a supervisor (`place`). A controller (`run`) executes a plan; it may
    be killed at any time, and a new one continues from the file of the course.

    \b
    Examples:
      firvane rollout place proxy-0.toml        the supervisor of one place, until SIGTERM
      firvane check roll.toml
      firvane rollout run roll.toml             exit code 0: done; 1: rolled back; 3: paused or unknown
      firvane rollout back roll.toml            roll it back; also pause, go, status
      firvane rollout report roll.toml --html roll.html
    """


@command.command("place")
@click.argument("file", type=click.Path())
def place(file: str) -> int:
    """Supervise the place in FILE: hold its listening socket, start its proxy, and replace it on request.

    SIGTERM ends the place with its processes. If only the supervisor is killed they continue to serve, and
    the next supervisor takes them over.
    """
    from firvane.core import logs
    from firvane.proxy.rollout import supervisor

    return supervisor.supervise(file, logs.make())


@command.command("run")
@PLAN_ARGUMENT
@COURSE_OPTION
@click.option("--take-over", is_flag=True, help="take the course over from another controller")
@click.option("--no-wait", is_flag=True, help="end with exit code 3 at a pause")
@click.pass_context
def run(ctx: click.Context, plan: str, course: str | None, take_over: bool, no_wait: bool) -> None:
    """Start or continue PLAN, until it is done, rolled back or given up."""
    from firvane.core.checksum import DamagedDataError
    from firvane.proxy.rollout.errors import ControllerStoppedError, OwnershipLostError

    parsed, digest = _read_plan(plan)
    files = _open_files(plan, course)
    resume_command = f"firvane rollout run {plan}" + (f" --course {course}" if course else "")
    try:
        files.acquire(take_over)
        state = _control(parsed, digest, files, not no_wait)
        stored = files.read_state()
    except OwnershipLostError as error:
        _exit(
            ctx,
            EXIT_UNKNOWN,
            f"{plan}: cannot tell: {error}; that controller owns the rollout now, and this one has ended",
        )
    except ControllerStoppedError as error:
        _exit(ctx, EXIT_UNKNOWN, f"{plan}: cannot tell: {error}; go on: {resume_command}")
    except (DamagedDataError, OSError) as error:
        _exit(ctx, EXIT_UNKNOWN, f"{plan}: cannot tell where the roll is: {files.path}: {error}")
    except ValueError as error:
        raise InvalidInputError(f"{plan}: {error}") from None
    finally:
        files.release()
    if state is None:
        _exit(ctx, EXIT_UNKNOWN, f"{plan}: left under way, places stay as they are; go on: {resume_command}")
    _exit(ctx, _exit_code(state), f"{plan}: {_describe(stored)}")


def _control(plan: Plan, digest: str, files: RolloutFiles, waits: bool) -> RolloutState | None:
    """Run a controller until the rollout ends; None if SIGTERM or SIGINT ends it earlier."""
    import asyncio
    import signal

    import uvloop

    from firvane.proxy.rollout.controller import Controller

    async def work() -> RolloutState | None:
        loop = asyncio.get_running_loop()
        controller = Controller(plan, digest, files, _report, waits)
        task = asyncio.current_task()
        assert task
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, task.cancel)
        try:
            return await controller.run()
        except asyncio.CancelledError:
            return None

    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        return runner.run(work())


@command.command("status")
@PLAN_ARGUMENT
@COURSE_OPTION
@click.pass_context
def status(ctx: click.Context, plan: str, course: str | None) -> None:
    """Show the state of the rollout of PLAN, its controller, and the state of each place."""
    from firvane.cli import admin_connection
    from firvane.proxy.rollout import supervisor_calls

    parsed, digest = _read_plan(plan)
    files = _open_files(plan, course)
    stored = _read_stored(ctx, plan, files)
    if stored and stored.plan != digest:
        raise InvalidInputError(
            f"{plan}: {files.path} is the course of another plan, or this one was changed since"
        )
    owner_pid = files.owner()
    owner_text = f"process {owner_pid} carries it out" if owner_pid else "nobody carries it out now"
    click.echo(plain(f"{plan}: {_describe(stored)}; {owner_text}"))
    supervisor_addresses = admin_connection.addresses("rollout status", [slot.door for slot in parsed.place])
    for slot, address in zip(parsed.place, supervisor_addresses, strict=True):
        try:
            answer = supervisor_calls.parse_status(
                admin_connection.call(address, supervisor_calls.format_call(supervisor_calls.Command.STATUS))
            )
            text = f"{answer.get('state')}, version {answer.get('version')}"
            if answer.get("failed", "-") != "-":
                text += f"; failed: {answer['failed']}"
        except (OSError, ValueError) as error:
            text = f"its supervisor does not answer: {error}"
        click.echo(plain(f"  {slot.name} ({slot.zone}): {text}"))
    ctx.exit(_exit_code(stored.state) if stored else EXIT_UNKNOWN)


def _add_command(name: str, help_text: str) -> None:
    @command.command(name, help=help_text)
    @PLAN_ARGUMENT
    @COURSE_OPTION
    @click.pass_context
    def send(ctx: click.Context, plan: str, course: str | None) -> None:
        from firvane.proxy.rollout.rollout_state import OperatorCommand

        _read_plan(plan)
        _send_command(ctx, plan, _open_files(plan, course), OperatorCommand(name))


_add_command("pause", "Pause the rollout of PLAN; places stay as they are.")
_add_command("go", "Continue a paused rollout of PLAN.")
_add_command("back", "Roll PLAN back: each place gets the old version again, in steps.")


def _send_command(ctx: click.Context, plan: str, files: RolloutFiles, requested: OperatorCommand) -> NoReturn:
    """Store a command for the rollout, and wait until its owner has received it."""
    import time

    from firvane.proxy.rollout.rollout_state import FINAL_STATES

    stored = _read_stored(ctx, plan, files)
    if stored and stored.state in FINAL_STATES:
        _exit(ctx, EXIT_UNKNOWN, f"{plan}: {requested.value} has no effect any more: {_describe(stored)}")
    files.write_command(requested)
    until = time.monotonic() + COMMAND_TIMEOUT_S
    pending = f"{plan}: {requested.value} waits"
    while files.command_path.exists():
        if not files.owner():
            reason = f"nobody carries the roll out: firvane rollout run {plan}"
            _exit(ctx, EXIT_UNKNOWN, f"{pending}, and {reason}")
        if time.monotonic() > until:
            _exit(ctx, EXIT_UNKNOWN, f"{pending}: process {files.owner()} has not received it yet")
        time.sleep(POLL_INTERVAL_S)
    _exit(ctx, 0, f"{plan}: received; {_describe(files.read_state())}")


@command.command("report")
@PLAN_ARGUMENT
@COURSE_OPTION
@click.option("--html", type=click.Path(), help="write a page with plots there")
@click.pass_context
def report(ctx: click.Context, plan: str, course: str | None, html: str | None) -> None:
    """Show the events, a comparison of old and new for each stage, and why the rollout stopped."""
    from firvane.cli import rollout_report
    from firvane.core.atomic_write import write_atomically

    _read_plan(plan)
    files = _open_files(plan, course)
    stored = _read_stored(ctx, plan, files)
    report_data = rollout_report.gather(plan, f"{_describe(stored)}", files.read_events())
    for line in rollout_report.render_text(report_data):
        click.echo(plain(line))
    if html:
        write_atomically(html, rollout_report.render_html(report_data).encode())
    ctx.exit(_exit_code(stored.state) if stored else EXIT_UNKNOWN)


def _read_plan(file: str) -> tuple[Plan, str]:
    """Return the plan in a file and the digest of its text; raises `ValidationError`."""
    from pathlib import Path

    from firvane.core import validation
    from firvane.proxy.rollout import plan

    validation.load(file)  # reports an unreadable or too large file like the other commands do
    text = Path(file).read_bytes()
    return plan.parse(text, file), plan.digest(text)


def _open_files(plan: str, course: str | None) -> RolloutFiles:
    from importlib import import_module

    try:
        module = import_module("firvane.proxy.rollout.rollout_files")
    except ModuleNotFoundError:
        raise InvalidInputError(
            "rollouts need additional packages: pip install 'firvane[snapshots]'"
        ) from None
    opened: RolloutFiles = module.RolloutFiles(course or f"{plan}.course")
    return opened


def _read_stored(ctx: click.Context, plan: str, files: RolloutFiles) -> StoredRollout | None:
    from firvane.core.checksum import DamagedDataError

    try:
        return files.read_state()
    except (DamagedDataError, OSError) as error:
        _exit(ctx, EXIT_UNKNOWN, f"{plan}: cannot tell where the roll is: {files.path}: {error}")


def _describe(stored: StoredRollout | None) -> str:
    if stored is None:
        return "not begun"
    where = f", stage {stored.stage + 1}" if stored.state.value in ("replacing", "comparing") else ""
    return f"{stored.state.value}{where}" + (f": {stored.why}" if stored.why else "")


def _exit_code(state: RolloutState) -> int:
    return EXIT_CODES.get(state.value, EXIT_UNKNOWN)


def _report(text: str) -> None:
    import time

    click.echo(plain(f"{time.strftime('%H:%M:%S')} {text}"))


def _exit(ctx: click.Context, code: int, line: str) -> NoReturn:
    click.echo(plain(line), err=code != 0)
    ctx.exit(code)

"""`firvane rollout`: another version of the program or its settings, in stages, stopped where it does worse.

Exit codes: 0 done; 1 it went back, or was given up; 2 bad usage or a file of no use; 3 it is paused or under
way, or nobody can tell.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, NoReturn

import click

from firvane.cli import Bad
from firvane.core.printable import plain

if TYPE_CHECKING:
    from firvane.proxy.rollout.event_log import Chronicle
    from firvane.proxy.rollout.messages import Call, Kept, State
    from firvane.proxy.rollout.plan import Plan

PLAN = click.argument("plan", type=click.Path())
COURSE = click.option("--course", type=click.Path(), help="the course's file; PLAN with .course otherwise")
HEARD_S = 5.0  # for which a call waits to be heard
LOOK_S = 0.1


@click.group("rollout", context_settings={"help_option_names": ["-h", "--help"]})
def command() -> None:
    """Replace a tier's proxies in stages, old and new side by side, and stop where the new ones do worse.

    Each proxy's place has a keeper (`place`). One controller (`run`) carries out a plan; it may be killed at
    any time and started again by anyone who has the course's file.

    \b
    Examples:
      firvane rollout place proxy-0.toml        the keeper of one place, until SIGTERM
      firvane check roll.toml
      firvane rollout run roll.toml             exit code 0: done; 1: went back; 3: paused or cannot tell
      firvane rollout back roll.toml            send it back; also pause, go, status
      firvane rollout report roll.toml --html roll.html
    """


@command.command("place")
@click.argument("file", type=click.Path())
def place(file: str) -> int:
    """Keep one place by FILE: hold its listening socket, start its proxy, replace it when called.

    SIGTERM ends the place with its processes. Where the keeper alone is killed they serve on, and the keeper
    that is started next takes them over.
    """
    from firvane.core import logs
    from firvane.proxy.rollout import supervisor

    return supervisor.supervise(file, logs.make())


@command.command("run")
@PLAN
@COURSE
@click.option("--take-over", is_flag=True, help="have the course although another controller holds it")
@click.option("--no-wait", is_flag=True, help="end with exit code 3 at a pause")
@click.pass_context
def run(ctx: click.Context, plan: str, course: str | None, take_over: bool, no_wait: bool) -> None:
    """Carry out PLAN, or go on with it, until it is done, has gone back, or is given up."""
    import asyncio
    import signal

    import uvloop

    from firvane.core.checksum import Damaged
    from firvane.proxy.rollout.controller import Controller
    from firvane.proxy.rollout.event_log import Ended, Taken

    read, digest = _plan(plan)
    chronicle = _chronicle(plan, course)
    again = f"firvane rollout run {plan}" + (f" --course {course}" if course else "")

    async def work() -> State | None:
        loop = asyncio.get_running_loop()
        controller = Controller(read, digest, chronicle, _say, not no_wait)
        ours = asyncio.current_task()
        assert ours
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, ours.cancel)
        try:
            return await controller.run()
        except asyncio.CancelledError:
            return None

    try:
        chronicle.take(take_over)
        with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
            state = runner.run(work())
        kept = chronicle.read()
    except Taken as error:
        _end(ctx, 3, f"{plan}: cannot tell: {error}; its words count, and this one has ended")
    except Ended as error:
        _end(ctx, 3, f"{plan}: cannot tell: {error}; go on: {again}")
    except (Damaged, OSError) as error:
        _end(ctx, 3, f"{plan}: cannot tell where the roll is: {chronicle.path}: {error}")
    except ValueError as error:
        raise Bad(f"{plan}: {error}") from None
    finally:
        chronicle.release()
    if state is None:
        _end(ctx, 3, f"{plan}: left under way, places stay as they are; go on: {again}")
    _end(ctx, _code(state), f"{plan}: {_sentence(kept)}")


@command.command("status")
@PLAN
@COURSE
@click.pass_context
def status(ctx: click.Context, plan: str, course: str | None) -> None:
    """Tell where the roll of PLAN is, who carries it out, and what each place says."""
    from firvane.cli import admin_connection
    from firvane.proxy.rollout import supervisor_calls

    read, digest = _plan(plan)
    chronicle = _chronicle(plan, course)
    kept = _kept(ctx, plan, chronicle)
    if kept and kept.plan != digest:
        raise Bad(f"{plan}: {chronicle.path} is the course of another plan, or this one was changed since")
    holder = chronicle.holder()
    who = f"process {holder} carries it out" if holder else "nobody carries it out now"
    click.echo(plain(f"{plan}: {_sentence(kept)}; {who}"))
    doors = admin_connection.addresses("rollout status", [one.door for one in read.place])
    for one, address in zip(read.place, doors, strict=True):
        try:
            said = supervisor_calls.parse_status(
                admin_connection.call(address, supervisor_calls.format_call(supervisor_calls.Command.STATUS))
            )
            told = f"{said.get('state')}, version {said.get('version')}"
            if said.get("failed", "-") != "-":
                told += f"; failed: {said['failed']}"
        except (OSError, ValueError) as error:
            told = f"its keeper does not answer: {error}"
        click.echo(plain(f"  {one.name} ({one.zone}): {told}"))
    ctx.exit(_code(kept.state) if kept else 3)


def _call(word: str, help_: str) -> None:
    @command.command(word, help=help_)
    @PLAN
    @COURSE
    @click.pass_context
    def said(ctx: click.Context, plan: str, course: str | None) -> None:
        from firvane.proxy.rollout.messages import Call

        _plan(plan)
        _tell(ctx, plan, _chronicle(plan, course), Call(word))


_call("pause", "Let the roll of PLAN go no further for now; places stay as they are.")
_call("go", "Let a paused roll of PLAN go on.")
_call("back", "Send the roll of PLAN back: each place gets the old version again, in steps.")


def _tell(ctx: click.Context, plan: str, chronicle: Chronicle, call: Call) -> NoReturn:
    """Leave a call for the roll, and wait until whoever carries it out has heard it."""
    import time

    from firvane.proxy.rollout.messages import ENDS

    kept = _kept(ctx, plan, chronicle)
    if kept and kept.state in ENDS:
        _end(ctx, 3, f"{plan}: {call.value} says nothing any more: {_sentence(kept)}")
    chronicle.say(call)
    until = time.monotonic() + HEARD_S
    while chronicle.call_path.exists():
        if not chronicle.holder():
            _end(
                ctx,
                3,
                f"{plan}: {call.value} waits, and nobody carries the roll out: firvane rollout run {plan}",
            )
        if time.monotonic() > until:
            _end(ctx, 3, f"{plan}: {call.value} waits: process {chronicle.holder()} has not heard it yet")
        time.sleep(LOOK_S)
    _end(ctx, 0, f"{plan}: heard; {_sentence(chronicle.read())}")


@command.command("report")
@PLAN
@COURSE
@click.option("--html", type=click.Path(), help="write a page with plots there")
@click.pass_context
def report(ctx: click.Context, plan: str, course: str | None, html: str | None) -> None:
    """Tell what came to pass, with old and new side by side for each stage, and why it stopped."""
    from firvane.cli import rollout_report
    from firvane.core.atomic_write import write_atomically

    _plan(plan)
    chronicle = _chronicle(plan, course)
    kept = _kept(ctx, plan, chronicle)
    told = rollout_report.gathered(plan, f"{_sentence(kept)}", chronicle.noted())
    for line in rollout_report.text(told):
        click.echo(plain(line))
    if html:
        write_atomically(html, rollout_report.page(told).encode())
    ctx.exit(_code(kept.state) if kept else 3)


def _plan(file: str) -> tuple[Plan, str]:
    """The plan in a file, and what its text goes by; raises `validation.ValidationError`."""
    from pathlib import Path

    from firvane.core import validation
    from firvane.proxy.rollout import plan

    validation.load(file)  # tells a file that cannot be read, or is too long, as all others are told
    text = Path(file).read_bytes()
    return plan.parse(text, file), plan.digest(text)


def _chronicle(plan: str, course: str | None) -> Chronicle:
    from importlib import import_module

    try:
        chronicle = import_module("firvane.proxy.rollout.event_log")
    except ModuleNotFoundError:
        raise Bad("rolls need more than a proxy does: pip install 'firvane[snapshots]'") from None
    made: Chronicle = chronicle.Chronicle(course or f"{plan}.course")
    return made


def _kept(ctx: click.Context, plan: str, chronicle: Chronicle) -> Kept | None:
    from firvane.core.checksum import Damaged

    try:
        return chronicle.read()
    except (Damaged, OSError) as error:
        _end(ctx, 3, f"{plan}: cannot tell where the roll is: {chronicle.path}: {error}")


def _sentence(kept: Kept | None) -> str:
    if kept is None:
        return "not begun"
    where = f", stage {kept.stage + 1}" if kept.state.value in ("replacing", "comparing") else ""
    return f"{kept.state.value}{where}" + (f": {kept.why}" if kept.why else "")


def _code(state: State) -> int:
    return {"done": 0, "back": 1, "given up": 1}.get(state.value, 3)


def _say(text: str) -> None:
    import time

    click.echo(plain(f"{time.strftime('%H:%M:%S')} {text}"))


def _end(ctx: click.Context, code: int, line: str) -> NoReturn:
    click.echo(plain(line), err=code != 0)
    ctx.exit(code)

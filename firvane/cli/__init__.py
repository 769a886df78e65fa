"""The `firvane` command: a thin file for each subcommand, loaded when it is called.

Exit codes: 0 well; 1 a broken rule, a worse result or a failure; 2 bad usage or a file of no use; 3 nobody
could say what has become of a policy. Whatever is wrong with what was given is told in one line each, on
standard error.
"""

from __future__ import annotations

import sys
from collections.abc import Sequence
from importlib import import_module

import click

from firvane import __version__
from firvane.core.printable import plain

# What --help shows of each, so that it need load none of them.
COMMANDS = {
    "serve": "Run one proxy.",
    "control": "Hand decisions out to other proxies through xDS.",
    "check": "Name every fault of a configuration or a scenario.",
    "rehearse": "Play a scenario against emulated boxes and clients, and judge it.",
    "boxes": "Stand up emulated boxes with discovery, for a client of your own.",
    "report": "Show one result, or two side by side.",
    "scenarios": "List the scenarios that come along.",
    "recovery": "Ask a proxy where it is on its way back from a loss of power.",
    "rollout": "Change the program of all proxies of a tier in stages, and stop where it does worse.",
    "policy": "Change the policy of all proxies of a tier, and ask which is in force.",
    "snapshot": "Show or check what a proxy has kept on disk.",
    "config": "Tell about the configuration format.",
}


class Lazy(click.Group):
    """Loads a subcommand's module when it is asked for."""

    def list_commands(self, ctx: click.Context) -> list[str]:
        return list(COMMANDS)

    def get_command(self, ctx: click.Context, cmd_name: str) -> click.Command | None:
        if cmd_name not in COMMANDS:
            return None
        command: click.Command = import_module(f"firvane.cli.{cmd_name}").command
        return command

    def resolve_command(
        self, ctx: click.Context, args: list[str]
    ) -> tuple[str | None, click.Command | None, list[str]]:
        if args and args[0] not in COMMANDS and not args[0].startswith("-"):
            from difflib import get_close_matches

            near = get_close_matches(args[0], COMMANDS, 1)
            meant = f"; did you mean {near[0]}?" if near else f", but one of {', '.join(COMMANDS)}"
            raise click.UsageError(f"{args[0]!r} is no command{meant}", ctx)
        return super().resolve_command(ctx, args)

    def format_commands(self, ctx: click.Context, formatter: click.HelpFormatter) -> None:
        with formatter.section("Commands"):
            formatter.write_dl(list(COMMANDS.items()))


@click.group(cls=Lazy, context_settings={"help_option_names": ["-h", "--help"]})
@click.version_option(__version__, prog_name="firvane", message="%(prog)s %(version)s")
def cli() -> None:
    """A balancing HTTP proxy, and its rehearsal against an emulated fleet.

    \b
    Examples:
      firvane rehearse rolling-deploy            a deploy in virtual time, judged
      firvane check firvane.toml                 every fault of a file at once
      firvane serve firvane.toml                 one proxy, until SIGTERM
      firvane config schema > firvane.schema.json

    \b
    Completion for the shell (bash; zsh and fish alike):
      eval "$(_FIRVANE_COMPLETE=bash_source firvane)"
    """


class Bad(click.ClickException):
    """What was given is of no use: a line for each reason, exit code 2."""

    exit_code = 2

    def __init__(self, *lines: str) -> None:
        super().__init__("\n".join(plain(line) for line in lines))


def main(args: Sequence[str] | None = None) -> int:
    """The command as a function; returns its exit code."""
    try:
        code = cli.main(args, prog_name="firvane", standalone_mode=False)
        return code if isinstance(code, int) else 0
    except Bad as error:
        return _tell(error.message.split("\n"), 2)
    except click.exceptions.NoArgsIsHelpError as error:
        return _tell([error.format_message()], 2)
    except click.ClickException as error:
        ctx = getattr(error, "ctx", None)
        path = ctx.command_path if ctx else "firvane"
        return _tell([f"{path}: {plain(error.format_message()).rstrip('.')} (see {path} --help)"], 2)
    except (click.Abort, KeyboardInterrupt):
        return _tell(["firvane: interrupted"], 1)
    except BrokenPipeError:  # whoever read standard output has had enough
        sys.stderr.close()  # or Python complains of it at its end
        return 1
    except OSError as error:
        where = f"{error.filename}: " if error.filename else ""
        return _tell([f"firvane: {plain(f'{where}{error.strerror or error}')}"], 1)
    except ValueError as error:
        from firvane.core.validation import ValidationError  # a command has loaded it where it raises any

        if isinstance(error, ValidationError):
            return _tell(list(error.lines()), 2)
        raise


def _tell(lines: Sequence[str], code: int) -> int:
    for line in lines:
        click.echo(line, err=True)
    return code


def run() -> None:
    """The entry point of the installed command."""
    sys.exit(main())

"""The `firvane` command: one module for each subcommand, imported when the subcommand runs.

Exit codes: 0 success; 1 a violated rule, a worse result or a failure; 2 bad usage or an invalid file; 3 the
outcome of a change of policy is unknown. Each error in arguments and files is one line on standard error.
"""

from __future__ import annotations

import sys
from collections.abc import Sequence
from importlib import import_module

import click

from firvane import __version__
from firvane.core.printable import plain

# The help line of each subcommand, so that --help need not import their modules.
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


class LazyGroup(click.Group):
    """Imports the module of a subcommand when the subcommand is looked up."""

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

            close_matches = get_close_matches(args[0], COMMANDS, 1)
            hint = (
                f"; did you mean {close_matches[0]}?"
                if close_matches
                else f", but one of {', '.join(COMMANDS)}"
            )
            raise click.UsageError(f"{args[0]!r} is no command{hint}", ctx)
        return super().resolve_command(ctx, args)

    def format_commands(self, ctx: click.Context, formatter: click.HelpFormatter) -> None:
        with formatter.section("Commands"):
            formatter.write_dl(list(COMMANDS.items()))


@click.group(cls=LazyGroup, context_settings={"help_option_names": ["-h", "--help"]})
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


class InvalidInputError(click.ClickException):
    """Arguments or a file are invalid: one line for each error, exit code 2."""

    exit_code = 2

    def __init__(self, *lines: str) -> None:
        super().__init__("\n".join(plain(line) for line in lines))


def main(args: Sequence[str] | None = None) -> int:
    """Run the command, and return its exit code."""
    try:
        code = cli.main(args, prog_name="firvane", standalone_mode=False)
        return code if isinstance(code, int) else 0
    except InvalidInputError as error:
        return _print_errors(error.message.split("\n"), 2)
    except click.exceptions.NoArgsIsHelpError as error:
        return _print_errors([error.format_message()], 2)
    except click.ClickException as error:
        ctx = getattr(error, "ctx", None)
        path = ctx.command_path if ctx else "firvane"
        return _print_errors([f"{path}: {plain(error.format_message()).rstrip('.')} (see {path} --help)"], 2)
    except (click.Abort, KeyboardInterrupt):
        return _print_errors(["firvane: interrupted"], 1)
    except BrokenPipeError:  # the reader of standard output has closed it
        sys.stderr.close()  # prevents an error message of Python at exit
        return 1
    except OSError as error:
        prefix = f"{error.filename}: " if error.filename else ""
        return _print_errors([f"firvane: {plain(f'{prefix}{error.strerror or error}')}"], 1)
    except ValueError as error:
        from firvane.core.validation import ValidationError  # already imported by the command that raised it

        if isinstance(error, ValidationError):
            return _print_errors(list(error.lines()), 2)
        raise


def _print_errors(lines: Sequence[str], code: int) -> int:
    for line in lines:
        click.echo(line, err=True)
    return code


def run() -> None:
    """The entry point of the installed command."""
    sys.exit(main())

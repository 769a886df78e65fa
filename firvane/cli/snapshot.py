"""`firvane snapshot`: shows and checks snapshot files."""

from __future__ import annotations

from typing import TYPE_CHECKING

import click

if TYPE_CHECKING:
    from firvane.proxy.snapshots.types import Snapshot


@click.group("snapshot", context_settings={"help_option_names": ["-h", "--help"]})
def command() -> None:
    """Show or check what a proxy has kept on disk ([recovery] snapshot in firvane.toml).

    \b
    Examples:
      firvane snapshot show /var/lib/firvane/edge-1.snapshot
      firvane snapshot check /var/lib/firvane/*.snapshot
    """


@command.command("show")
@click.argument("file", type=click.Path())
@click.option("--json", "as_json", is_flag=True, help="As one line of JSON.")
def show(file: str, as_json: bool) -> None:
    """Show what FILE holds, and how each field is read back. Exit code 2 where it cannot be read."""
    import json
    import time

    from firvane.proxy.snapshots.file import describe
    from firvane.proxy.snapshots.types import RESTORE_RULES, age_s

    snapshot = _read(file)
    fields = describe(snapshot, age_s(snapshot, time.time()))
    if as_json:
        click.echo(json.dumps(fields))
        return
    for name, value in fields.items():
        click.echo(f"{name:13} {value}")
    click.echo("\nfield   read back                              until, and confirmed by")
    for row in RESTORE_RULES:
        click.echo(f"{row.field:7} {row.mode.value:38} {row.until}; {row.confirmed_by}")


@command.command("check")
@click.argument("files", nargs=-1, required=True, type=click.Path())
@click.pass_context
def check(ctx: click.Context, files: tuple[str, ...]) -> None:
    """Say of each of FILES whether a proxy would read it. Exit code 2 for any that it would not."""
    from firvane.cli import InvalidInputError

    errors: list[str] = []
    for file in files:
        try:
            snapshot = _read(file)
        except InvalidInputError as error:
            errors.append(error.message)
        else:
            target_count = len((snapshot.listed or {}).get("endpoints", []))
            click.echo(f"{file}: a snapshot of {snapshot.proxy}, {target_count} boxes listed")
    for line in errors:
        click.echo(line, err=True)
    ctx.exit(2 if errors else 0)


def _read(file: str) -> Snapshot:
    from firvane.cli import InvalidInputError

    try:
        from firvane.core.checksum import DamagedDataError
        from firvane.proxy.snapshots import file as files
    except ModuleNotFoundError:
        raise InvalidInputError(
            "snapshots need additional packages: pip install 'firvane[snapshots]'"
        ) from None
    try:
        return files.read(file)
    except OSError as error:
        raise InvalidInputError(f"{file}: cannot be read: {error.strerror or error}") from None
    except DamagedDataError as error:
        raise InvalidInputError(f"{file}: {error}") from None

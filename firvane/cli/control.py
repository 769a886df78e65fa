"""`firvane control`: runs the control service, and queries a running one."""

from __future__ import annotations

from datetime import UTC, datetime
from typing import Any

import click

from firvane.cli import InvalidInputError

MISSING_EXTRA = "firvane control needs additional packages: pip install 'firvane[control]'"
CALL_TIMEOUT_S = 5.0


class RunByDefaultGroup(click.Group):
    """A group that runs a service if its first argument is a file instead of a subcommand."""

    def resolve_command(
        self, ctx: click.Context, args: list[str]
    ) -> tuple[str | None, click.Command | None, list[str]]:
        """Insert the subcommand `run` before a file."""
        if args and args[0] not in self.commands and not args[0].startswith("-"):
            args = ["run", *args]
        return super().resolve_command(ctx, args)


@click.group("control", cls=RunByDefaultGroup)
def command() -> None:
    """Hand decisions out to other proxies through xDS, from the configuration in a FILE with [control].

    Receivers connect to `listen` of the file by ADS (state of the world or delta). SIGTERM shuts it down
    gracefully, SIGHUP reloads FILE. The log goes to standard error.

    \b
    Examples:
      firvane control deploy/control.example.toml
      firvane control status 127.0.0.1:18000
      firvane control diff 127.0.0.1:18000 12 14 --node envoy-lagos-1
      firvane control keys certs --name control --host 127.0.0.1 --name envoy-lagos-1
    """


@command.command("run", hidden=True)
@click.argument("file", type=click.Path())
@click.pass_context
def run(ctx: click.Context, file: str) -> None:
    """Run the service in FILE, in the foreground."""
    from firvane.proxy import native

    native.activate()  # before any compiled module is imported
    try:
        import envoy  # noqa: F401
        import grpc  # noqa: F401
    except ImportError:
        raise InvalidInputError(MISSING_EXTRA) from None

    from firvane.proxy.control.main import read, serve

    ctx.exit(serve(file, read(file)))


CONNECTION_OPTIONS = (
    click.option(
        "--authority", type=click.Path(exists=True), help="the authority that signs the service's certificate"
    ),
    click.option(
        "--certificate",
        type=click.Path(exists=True),
        help="the client's certificate, if the service requires one",
    ),
    click.option("--key", type=click.Path(exists=True), help="the key of the client's certificate"),
    click.option("--name", "host", default="", help="the name in the service's certificate"),
    click.option("--json", "as_json", is_flag=True, help="the whole answer as JSON"),
)


def connection_options(function: Any) -> Any:
    """Add the options of a connection to a command."""
    for option in reversed(CONNECTION_OPTIONS):
        function = option(function)
    return function


@command.command("status")
@click.argument("address")
@connection_options
def status(address: str, as_json: bool, **tls: str) -> None:
    """Show the state of the service at ADDRESS, and its receivers."""
    response = query(address, {"what": "status"}, **tls)
    if as_json:
        _json(response)
        return
    click.echo(f"{response['service']}: list {response['list']}, {len(response['receivers'])} receivers")
    for group in response["groups"]:
        at = datetime.fromtimestamp(group["at"], UTC)
        click.echo(
            f"  zone {group['zone'] or '(none)'}: serial {group['serial']}, version {group['version']} of "
            f"{at:%H:%M:%S}Z, {group['boxes']} boxes, {100 * group['dropped']:g}% dropped; "
            f"why: {', '.join(group['why'])}; kept: {group['serials'][0]} to {group['serials'][-1]}"
        )
    for receiver in response["receivers"]:
        state = "current" if receiver["current"] else "behind"
        refused = "".join(f"; REFUSED {name}: {reason}" for name, reason in receiver["refused"].items())
        click.echo(
            f"  {receiver['id']} ({receiver['agent'] or 'unnamed'}, zone {receiver['zone'] or 'none'}, "
            f"{receiver['protocol']}): "
            f"{state}, {receiver['told']} answers, last ACK after {receiver['ack_ms']:g} ms, "
            f"{receiver['rps']:g} requests a second{refused}"
        )
    for name in response["left"]:
        click.echo(f"  {name}: no stream; its share is reserved")


@command.command("diff")
@click.argument("address")
@click.argument("before")
@click.argument("after")
@click.option("--node", default="", help="a receiver of the group to show; default: the group without a zone")
@connection_options
def diff(address: str, before: str, after: str, node: str, as_json: bool, **tls: str) -> None:
    """Show the differences of the states BEFORE and AFTER (serials or versions), and their causes."""
    response = query(address, {"what": "diff", "node": node, "before": before, "after": after}, **tls)
    if as_json:
        _json(response)
        return
    for line in response["differences"] or ["the same"]:
        click.echo(line)
    for cause in response["causes"]:
        at = datetime.fromtimestamp(cause["at"], UTC)
        click.echo(f"  {cause['serial']} at {at:%H:%M:%S}Z: {', '.join(cause['why'])}")


def query(address: str, request: dict[str, str], **tls: str) -> dict[str, Any]:
    """Return the response of the service to a query.

    Raises:
        InvalidInputError: The service does not answer, or answers with an error.
    """
    try:
        import grpc
    except ImportError:
        raise InvalidInputError(MISSING_EXTRA) from None
    import json
    from pathlib import Path

    from firvane.proxy.control.ads import SHOW_METHOD

    options = [("grpc.ssl_target_name_override", tls["host"])] if tls.get("host") else []
    options_set = [name for name in ("authority", "key", "certificate") if tls.get(name)]
    files = {name: Path(tls[name]).read_bytes() for name in options_set}
    if files:
        credentials = grpc.ssl_channel_credentials(
            files.get("authority"), files.get("key"), files.get("certificate")
        )
        channel = grpc.secure_channel(address, credentials, options)
    else:
        channel = grpc.insecure_channel(address)
    with channel:
        call = channel.unary_unary(SHOW_METHOD)
        try:
            response: dict[str, Any] = json.loads(call(json.dumps(request).encode(), timeout=CALL_TIMEOUT_S))
        except grpc.RpcError as error:
            raise InvalidInputError(
                f"firvane control: {address}: {error.code().name.lower()}: {error.details()}"
            ) from None
    if "error" in response:
        raise InvalidInputError(f"firvane control: {response['error']}")
    return response


def _json(response: dict[str, Any]) -> None:
    import json

    click.echo(json.dumps(response, indent=2))


@command.command("keys")
@click.argument("folder", type=click.Path())
@click.option("--name", "names", multiple=True, help="a certificate of that name; may be repeated")
@click.option("--host", "hosts", multiple=True, help="a host or address that certificates hold as well")
@click.option("--days", default=30, show_default=True, type=click.IntRange(1, 3650))
def keys(folder: str, names: tuple[str, ...], hosts: tuple[str, ...], days: int) -> None:
    """Make a test authority in FOLDER, and certificates that it signs. For rehearsals: keys lie open there.

    An authority that is there already is used.
    """
    try:
        from firvane.proxy.control.certificates import make_authority, make_certificate
    except ImportError:
        raise InvalidInputError(MISSING_EXTRA) from None
    from pathlib import Path

    directory = Path(folder)
    directory.mkdir(parents=True, exist_ok=True)
    if not (directory / "authority.pem").exists():
        make_authority(directory, days=days)
        click.echo(f"{directory / 'authority.pem'}")
    for name in names:
        make_certificate(directory, name, hosts, days)
        click.echo(f"{directory / name}.pem")

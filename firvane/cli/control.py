"""`firvane control`: the control service, and what operators ask of one that runs."""

from __future__ import annotations

from datetime import UTC, datetime
from typing import Any

import click

from firvane.cli import Bad

MISSING_EXTRA = "firvane control needs more than the proxy: pip install 'firvane[control]'"
CALL_TIMEOUT_S = 5.0


class RunByDefaultGroup(click.Group):
    """A group whose first argument is the file of a service to run, if it is not a subcommand."""

    def resolve_command(
        self, ctx: click.Context, args: list[str]
    ) -> tuple[str | None, click.Command | None, list[str]]:
        """Insert `run` before a file."""
        if args and args[0] not in self.commands and not args[0].startswith("-"):
            args = ["run", *args]
        return super().resolve_command(ctx, args)


@click.group("control", cls=RunByDefaultGroup)
def command() -> None:
    """Hand decisions out to other proxies through xDS, from the configuration in a FILE with [control].

    Receivers ask at the file's `listen`, by ADS in either form. SIGTERM ends it in order, SIGHUP reads FILE
    anew. The log goes to standard error.

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

    native.activate()  # before anything that is compiled is imported
    try:
        import envoy  # noqa: F401
        import grpc  # noqa: F401
    except ImportError:
        raise Bad(MISSING_EXTRA) from None

    from firvane.proxy.control.main import read, serve

    ctx.exit(serve(file, read(file)))


CONNECTION_OPTIONS = (
    click.option("--authority", type=click.Path(exists=True), help="who signs the service's certificate"),
    click.option("--certificate", type=click.Path(exists=True), help="one's own, where the service asks"),
    click.option("--key", type=click.Path(exists=True), help="and its key"),
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
    """What the service at ADDRESS tells, and who follows it."""
    found = ask(address, {"what": "status"}, **tls)
    if as_json:
        _json(found)
        return
    click.echo(f"{found['service']}: list {found['list']}, {len(found['receivers'])} receivers")
    for group in found["groups"]:
        at = datetime.fromtimestamp(group["at"], UTC)
        click.echo(
            f"  zone {group['zone'] or '(none)'}: serial {group['serial']}, version {group['version']} of "
            f"{at:%H:%M:%S}Z, {group['boxes']} boxes, {100 * group['dropped']:g}% dropped; "
            f"why: {', '.join(group['why'])}; kept: {group['serials'][0]} to {group['serials'][-1]}"
        )
    for one in found["receivers"]:
        state = "current" if one["current"] else "behind"
        refused = "".join(f"; REFUSED {name}: {why}" for name, why in one["refused"].items())
        click.echo(
            f"  {one['id']} ({one['agent'] or 'unnamed'}, zone {one['zone'] or 'none'}, {one['protocol']}): "
            f"{state}, {one['told']} answers, last ACK after {one['ack_ms']:g} ms, "
            f"{one['rps']:g} requests a second{refused}"
        )
    for name in found["left"]:
        click.echo(f"  {name}: no stream; its part is kept for it")


@command.command("diff")
@click.argument("address")
@click.argument("before")
@click.argument("after")
@click.option("--node", default="", help="the receiver whose group is meant; else those of no zone")
@connection_options
def diff(address: str, before: str, after: str, node: str, as_json: bool, **tls: str) -> None:
    """What differs between the states BEFORE and AFTER (serials or versions) and the decisions behind it."""
    found = ask(address, {"what": "diff", "node": node, "before": before, "after": after}, **tls)
    if as_json:
        _json(found)
        return
    for line in found["differences"] or ["the same"]:
        click.echo(line)
    for cause in found["causes"]:
        at = datetime.fromtimestamp(cause["at"], UTC)
        click.echo(f"  {cause['serial']} at {at:%H:%M:%S}Z: {', '.join(cause['why'])}")


def ask(address: str, question: dict[str, str], **tls: str) -> dict[str, Any]:
    """Call the service; raises `Bad` if it does not answer, or answers with an error."""
    try:
        import grpc
    except ImportError:
        raise Bad(MISSING_EXTRA) from None
    import json
    from pathlib import Path

    from firvane.proxy.control.ads import SHOW_METHOD

    options = [("grpc.ssl_target_name_override", tls["host"])] if tls.get("host") else []
    given = [name for name in ("authority", "key", "certificate") if tls.get(name)]
    files = {name: Path(tls[name]).read_bytes() for name in given}
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
            found: dict[str, Any] = json.loads(call(json.dumps(question).encode(), timeout=CALL_TIMEOUT_S))
        except grpc.RpcError as error:
            raise Bad(f"firvane control: {address}: {error.code().name.lower()}: {error.details()}") from None
    if "error" in found:
        raise Bad(f"firvane control: {found['error']}")
    return found


def _json(found: dict[str, Any]) -> None:
    import json

    click.echo(json.dumps(found, indent=2))


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
        raise Bad(MISSING_EXTRA) from None
    from pathlib import Path

    place = Path(folder)
    place.mkdir(parents=True, exist_ok=True)
    if not (place / "authority.pem").exists():
        make_authority(place, days=days)
        click.echo(f"{place / 'authority.pem'}")
    for name in names:
        make_certificate(place, name, hosts, days)
        click.echo(f"{place / name}.pem")

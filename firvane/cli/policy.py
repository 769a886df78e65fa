"""`firvane policy`: one policy for all proxies of a tier, in force on all of them or none.

Exit codes: 0 in force, or success; 1 failed or rejected; 2 bad usage or an invalid file; 3 the outcome is
unknown, and the message says how to query it again.
"""

from __future__ import annotations

import re
from collections.abc import Iterator, Mapping
from typing import TYPE_CHECKING, Any, NamedTuple, NoReturn

import click

from firvane.cli import InvalidInputError
from firvane.core.address import Address
from firvane.core.printable import plain

if TYPE_CHECKING:
    from firvane.proxy.config.policy import Policy
    from firvane.proxy.config.proxy_config import Config

EXIT_FAILED = 1
EXIT_UNKNOWN = 3
FINAL_OUTCOMES = {"in force": 0, "failed": EXIT_FAILED}  # and their exit codes
POLL_INTERVAL_S = 0.1
UNSET_TEXT = "what each proxy's own file says"
AT = click.option("--at", required=True, metavar="ADDRESS", help="the `ops` of any proxy of the tier")


@click.group("policy", context_settings={"help_option_names": ["-h", "--help"]})
def command() -> None:
    """Change the policy (classes, tenants, rules, limits of requests) of all proxies of a tier at once.

    It is in force everywhere or nowhere, also while some proxies are down: [policy] in firvane.toml.

    \b
    Examples:
      firvane policy found firvane.toml first.toml           once on each voter, before the first start
      firvane policy propose next.toml --at 127.0.0.1:9100   waits: in force, failed or unknown
      firvane policy status 127.0.0.1:9100 127.0.0.1:9101
      firvane policy diff next.toml 127.0.0.1:9100
    """


@command.command("found")
@click.argument("config", type=click.Path())
@click.argument("policy", type=click.Path())
def found(config: str, policy: str) -> None:
    """Create the votes of epoch 1, with POLICY in force, in the folder that CONFIG's [policy] names.

    Run this once on each voter, with the same POLICY, before the first start of the tier. Do not run it for
    a voter that has lost its folder: it starts without one and learns from the others. Exit code 1 if there
    are votes already.
    """
    from firvane.proxy.config.policy import settings
    from firvane.proxy.policy_text import digest_of

    config_read = _read_config(config)
    if config_read.policy is None:
        raise InvalidInputError(f"{config}: policy: is missing: it names the folder in which votes are kept")
    text, parsed = _read_policy(policy)
    settings(parsed, config_read.settings, policy)
    voters = parsed.voters or config_read.policy.voters
    me, folder = config_read.settings.me, config_read.policy.folder
    if me not in voters:
        known = ", ".join(map(str, voters))
        raise InvalidInputError(
            f"{config}: is proxy {me}, and only the voters ({known}) keep votes: it needs no founding"
        )
    try:
        _bootstrap(folder, text, voters)
    except FileExistsError:
        raise FileExistsError(
            f"{folder}: holds votes already, which a second founding would overwrite"
        ) from None
    click.echo(f"{folder}: epoch 1 is {digest_of(text).hex()}, voted on by {', '.join(map(str, voters))}")


def _bootstrap(folder: str, text: bytes, voters: tuple[int, ...]) -> None:
    from importlib import import_module

    try:
        store = import_module("firvane.proxy.quorum.store")
    except ModuleNotFoundError:
        raise InvalidInputError("votes need additional packages: pip install 'firvane[snapshots]'") from None
    store.bootstrap(folder, text, voters)


def _read_config(file: str) -> Config:
    import os

    from firvane.cli.files import form_of
    from firvane.core import validation
    from firvane.proxy.config.file import read_file
    from firvane.proxy.config.platform import read_config

    if form_of(validation.load(file)) != "platform":
        return read_file(file)
    try:
        return read_config({**os.environ, "NODE_CONFIG": file})
    except ValueError as error:
        raise InvalidInputError(str(error)) from None


@command.command("propose")
@click.argument("file", type=click.Path())
@AT
@click.option("--voters", metavar="N,N,...", help="the new voters; default: those in FILE, or no change")
@click.option(
    "--timeout", type=click.FloatRange(0, 86_400), default=60.0, show_default=True, help="s to wait"
)
@click.pass_context
def propose(ctx: click.Context, file: str, at: str, voters: str | None, timeout: float) -> None:
    """Put the policy in FILE in force on all proxies, and wait until this has succeeded or failed.

    Exit code 0: it is in force. 1: it has failed, and is in force nowhere. 3: not known yet; the same FILE
    proposed again is the same change and not a second one. 2: FILE is of no use.
    """
    import time

    from firvane.cli import admin_connection
    from firvane.proxy.policy_text import digest_of

    (address,) = admin_connection.addresses("policy propose", [at])
    text, policy = _read_policy(file)
    if voters is None and policy.voters:
        voters = ",".join(map(str, policy.voters))
    change = _Change(ctx, file, at, address, text, _proposal(digest_of(text), voters))
    until = time.monotonic() + timeout
    try:
        _submit(change, until)
        _wait_for_outcome(change, until)
    except OSError as error:
        change.unknown(f"{at} does not answer: {error.strerror or error}")
    except KeyboardInterrupt:  # the change may still succeed
        change.unknown("interrupted")


class _Change(NamedTuple):
    """A proposed change: its file, the admin API that receives it, and the call that proposes it."""

    ctx: click.Context
    file: str
    at: str
    address: Address
    text: bytes
    proposal: str

    def unknown(self, reason: str) -> NoReturn:
        """Exit with code 3 and a message that says how to query the outcome again."""
        again = (
            f"ask again: firvane policy propose {self.file} --at {self.at} (the same text is the same change)"
        )
        _exit(self.ctx, EXIT_UNKNOWN, f"{self.file}: unknown: {reason}; {again}")


def _proposal(digest: bytes, voters: str | None) -> str:
    """Return the call that proposes a text; raises `InvalidInputError` for invalid voters."""
    from firvane.proxy.admin_api import calls
    from firvane.proxy.config.proxy_config import voter_errors

    line = f"{calls.Call.POLICY_PROPOSE.value} {digest.hex()}" + (f" {voters}" if voters is not None else "")
    try:
        given = calls.parse_call(line.encode()).arguments
    except calls.InvalidCallError as error:
        raise InvalidInputError(f"policy propose: --voters: {error}") from None
    if voters is not None and isinstance(given, calls.ProposePolicy):
        if given.voters is None:
            raise InvalidInputError("policy propose: --voters: names none")
        for _, reason in voter_errors(given.voters, max(given.voters) + 1):
            raise InvalidInputError(f"policy propose: --voters: {reason}")
    return line


def _submit(change: _Change, until: float) -> None:
    """Upload the text and propose it; all calls but the first are retried until a time."""
    from firvane.proxy.admin_api import calls
    from firvane.proxy.policy_text import digest_of

    retry_until = 0.0
    for line in (*calls.format_put_calls(digest_of(change.text), change.text), change.proposal):
        answer = _call(change.address, line, retry_until)
        retry_until = until
        if not answer.startswith("+OK"):
            _exit(change.ctx, EXIT_FAILED, f"{change.file}: not proposed: {_message(answer)}")


def _wait_for_outcome(change: _Change, until: float) -> NoReturn:
    """Poll the outcome until it is final or the deadline passes, and exit with its code."""
    import time

    from firvane.proxy.admin_api.calls import Call
    from firvane.proxy.policy_text import digest_of

    file, last = change.file, ""
    while True:
        answer = _call(change.address, f"{Call.POLICY_OUTCOME.value} {digest_of(change.text).hex()}", until)
        outcome, _, reason = _message(answer).partition(": ")
        if answer.startswith("+OK") and outcome in FINAL_OUTCOMES:
            _exit(change.ctx, FINAL_OUTCOMES[outcome], f"{file}: {outcome}: {reason}")
        if not answer.startswith("+OK"):  # the proxy no longer knows the change
            change.unknown(_message(answer))
        if time.monotonic() >= until:
            change.unknown(reason or outcome)
        if answer != last:
            click.echo(plain(f"{file}: {_message(answer)}"), err=True)
            last = answer
        time.sleep(POLL_INTERVAL_S)


def _call(address: Address, line: str, until: float) -> str:
    """Return the answer to an idempotent call; retried until a time, then raises `OSError`."""
    import time

    from firvane.cli import admin_connection

    while True:
        try:
            return admin_connection.call(address, line)
        except OSError:
            if time.monotonic() >= until:
                raise
        time.sleep(POLL_INTERVAL_S)


def _message(answer: str) -> str:
    """Return the text of a one-line answer without its status."""
    return answer.removeprefix("+OK").removeprefix("-ERR").strip()


def _exit(ctx: click.Context, code: int, line: str) -> NoReturn:
    click.echo(plain(line), err=code != 0)
    ctx.exit(code)


@command.command("abort")
@click.argument("change", metavar="FILE|DIGEST")
@AT
@click.pass_context
def abort(ctx: click.Context, change: str, at: str) -> None:
    """Give up the change to the policy in FILE, or with DIGEST, that was proposed at ADDRESS.

    Exit code 1 where it can no longer be stopped, or there is none; 3 where nobody answers.
    """
    from pathlib import Path

    from firvane.cli import admin_connection
    from firvane.proxy.admin_api.calls import Call
    from firvane.proxy.policy_text import digest_of

    (address,) = admin_connection.addresses("policy abort", [at])
    digest = change
    if Path(change).exists() or not re.fullmatch("[0-9a-f]{32}", change):
        digest = digest_of(_read_text(change)).hex()
    try:
        answer = admin_connection.call(address, f"{Call.POLICY_ABORT.value} {digest}")
    except OSError as error:
        reason = f"{at} does not answer: {error.strerror or error}"
        _exit(ctx, 3, f"{change}: unknown: {reason}; ask again: firvane policy abort {digest} --at {at}")
    if not answer.startswith("+OK"):
        _exit(ctx, 1, f"{change}: not given up: {_message(answer)}")
    _exit(ctx, 0, f"{change}: given up: {_message(answer)}".removesuffix(": "))


@command.command("status")
@click.argument("doors", nargs=-1, required=True, metavar="ADDRESS...")
@click.pass_context
def status(ctx: click.Context, doors: tuple[str, ...]) -> None:
    """Show the policy in force, the voters, and the awaited proxies with deadlines, as known at ADDRESS.

    Exit code 1 where a proxy does not answer or has no [policy].
    """
    from firvane.cli import admin_connection

    ctx.exit(admin_connection.show("policy status", doors, "policy-status"))


@command.command("history")
@click.argument("address")
@click.pass_context
def history(ctx: click.Context, address: str) -> None:
    """Show the policies that have been in force, as far as the proxy at ADDRESS knows them."""
    from firvane.cli import admin_connection

    ctx.exit(admin_connection.show("policy history", [address], "policy-history"))


@command.command("diff")
@click.argument("a")
@click.argument("b")
def diff(a: str, b: str) -> None:
    """Show the differences of the policies A and B: files, or an ADDRESS for the one in force there."""
    first, second = _resolve(a), _resolve(b)
    for line in list(differences(first, second)) or ["the same"]:
        click.echo(plain(line))


def _resolve(given: str) -> Policy:
    """Return the policy in a file, or in force at an admin API."""
    from pathlib import Path

    from firvane.core.address import parse_address
    from firvane.proxy.config.policy import parse

    try:
        address = parse_address(given)
    except ValueError:
        return _read_policy(given)[1]
    if Path(given).exists():
        return _read_policy(given)[1]
    try:
        return parse(_fetch_text_in_force(address), given)
    except OSError as error:
        raise OSError(f"{given}: tells no policy: {error.strerror or error}") from None


def _fetch_text_in_force(address: Address) -> bytes:
    """Return the text in force at an admin API, by the first digest in its status.

    Raises:
        OSError: There is no answer, no digest, or no text of that digest.
    """
    from firvane.cli import admin_connection
    from firvane.proxy.admin_api.calls import Call, parse_chunk
    from firvane.proxy.policy_text import digest_of

    answer = admin_connection.call(address, Call.POLICY_STATUS.value)
    digest = re.search(r"\b[0-9a-f]{32}\b", answer)
    if answer.startswith("-") or digest is None:
        raise OSError(_message(answer) if answer.startswith("-") else "its status names no digest")
    text, length = b"", 1
    while len(text) < length:
        try:
            length, piece = parse_chunk(
                admin_connection.call(address, f"{Call.POLICY_GET.value} {digest[0]} {len(text)}")
            )
        except ValueError as error:
            raise OSError(str(error)) from None
        text += piece
    if digest_of(text).hex() != digest[0]:
        raise OSError("the text is not the one that its digest names")
    return text


def differences(a: Policy, b: Policy) -> Iterator[str]:
    """Yield a line for each key that differs."""
    before, after = _flatten(a), _flatten(b)
    for key in [*before, *(key for key in after if key not in before)]:
        old, new = before.get(key), after.get(key)
        if isinstance(old, dict) and isinstance(new, dict):
            for name in [*old, *(name for name in new if name not in old)]:
                yield from _entry_differences(f"{key}.{name}", old.get(name), new.get(name))
        elif old != new:
            yield f"{key}: {_format(old)} becomes {_format(new)}"


def _entry_differences(
    key: str, old: Mapping[str, Any] | None, new: Mapping[str, Any] | None
) -> Iterator[str]:
    """Yield the differences of a class or a tenant, which one of the two policies may lack."""
    if new is None:
        yield f"{key}: is gone"
    elif old is None:
        yield f"{key}: is new: " + ", ".join(f"{name} {_format(new[name])}" for name in new if name != "name")
    else:
        yield from (
            f"{key}.{n}: {_format(old[n])} becomes {_format(new[n])}" for n in new if old[n] != new[n]
        )


def _flatten(policy: Policy) -> dict[str, Any]:
    """Return a policy as one table: classes and tenants by name, keys of sections by dotted path."""
    import msgspec

    table: dict[str, Any] = {}
    for key, value in msgspec.to_builtins(policy).items():
        if key in ("rules", "limits"):
            table.update({f"{key}.{name}": setting for name, setting in (value or {}).items()})
        elif key in ("classes", "tenants") and value is not None:
            table[key] = {entry["name"]: entry for entry in value}
        else:
            table[key] = value
    return table


def _format(value: Any) -> str:
    from firvane.core.validation import format_value

    if value is None:
        return UNSET_TEXT
    if isinstance(value, list | tuple):
        return ", ".join(map(str, value))
    if isinstance(value, dict):
        return ", ".join(value) or "none"
    return f"{value:.10g}" if isinstance(value, float) else format_value(value)


def _read_policy(file: str) -> tuple[bytes, Policy]:
    """Return the text of a file and the policy in it; raises `ValidationError` or `InvalidInputError`."""
    from firvane.proxy.config.policy import parse

    text = _read_text(file)
    return text, parse(text, file)


def _read_text(file: str) -> bytes:
    from pathlib import Path

    from firvane.proxy.policy_text import MAX_TEXT_BYTES

    try:
        with Path(file).open("rb") as opened:
            return opened.read(MAX_TEXT_BYTES + 1)
    except (OSError, ValueError) as error:  # ValueError: the path contains a null byte
        raise InvalidInputError(
            f"{file}: cannot be read: {getattr(error, 'strerror', None) or error}"
        ) from None

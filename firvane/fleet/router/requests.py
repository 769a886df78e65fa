"""A client's request as the router holds it, and what its headers say of its prompt."""

from __future__ import annotations

from collections.abc import Callable

from msgspec import Struct, field

from firvane.core.net.http_message import HttpError, Message
from firvane.fleet.configuration.routes import Route

REQUEST_ID = b"x-request-id"
DEADLINE = b"x-deadline-ms"
MAX_DEADLINE_DIGITS = 9
MAX_PARTS = 64  # of a prompt that are looked at
SINGLE_FIELDS = frozenset((REQUEST_ID, DEADLINE, b"host", b"content-length", b"transfer-encoding"))


class ProxiedRequest(Struct):
    """A client's message, its route, and how much of the answer the client has been given."""

    message: Message
    route: Route
    request_id: bytes
    last_event_id: int | None = None  # of the last whole event that the client was given
    flow_id: int = -1  # of the engine's flow
    tenant: bytes | None = None  # the name of the tenant that asks
    is_private: bool = False  # its key, and what it says of its tenant, are not passed on
    priority: int = 0  # rank, 0 is highest
    runs: int = 0  # times that it was sent to a backend and not turned away
    on_repeat: Callable[[], None] | None = None  # told of each run after the first

    def note_sent(self) -> None:
        """It goes out to a backend."""
        self.runs += 1
        if self.runs > 1 and self.on_repeat:
            self.on_repeat()

    def note_turned_away(self) -> None:
        """The backend has not run it."""
        self.runs -= 1


class PromptShape(Struct, frozen=True):
    """What the headers say of a prompt: its parts in order, and tokens in and out at the most."""

    chain: tuple[tuple[int, int], ...] = field(default=())
    tokens_in: int = 0
    tokens_out: int = 0


def check_framing(message: Message) -> None:
    """Raise `HttpError` where a message could be read in two ways, or names itself twice."""
    if not SINGLE_FIELDS.isdisjoint(message.repeated_fields):
        raise HttpError(400)
    coding = message.fields.get(b"transfer-encoding")
    if coding is not None and (coding.lower() != b"chunked" or b"content-length" in message.fields):
        raise HttpError(400)


def client_deadline_ms(message: Message) -> int | None:
    """Milliseconds that the client will wait, where it says so in a form that can be read."""
    given = message.fields.get(DEADLINE, b"")
    if not given.isdigit() or len(given) > MAX_DEADLINE_DIGITS:
        return None
    return int(given)


def prompt_shape(message: Message) -> PromptShape:
    """The prompt as its headers describe it; what cannot be read counts as not there."""
    tokens_in, tokens_out = _counts(message.fields.get(b"x-token-count", b""))
    return PromptShape(_chain(message.fields.get(b"x-prompt-prefix", b"")), tokens_in, tokens_out)


def prompt_tokens(message: Message) -> int | None:
    """Tokens in and out together; None where the request tells no number that can be read."""
    text = message.fields.get(b"x-token-count")
    if text is None:
        return None
    tokens = sum(_counts(text))
    return tokens or None


def _counts(text: bytes) -> tuple[int, int]:
    first, _, second = text.partition(b",")
    try:
        return max(0, int(first)), max(0, int(second or b"0"))
    except ValueError:
        return 0, 0


def _chain(text: bytes) -> tuple[tuple[int, int], ...]:
    if not text:
        return ()
    parts: list[tuple[int, int]] = []
    for part in text.split(b",")[:MAX_PARTS]:
        name, _, tokens = part.strip().partition(b":")
        try:
            parts.append((int(name, 16), max(0, int(tokens))))
        except ValueError:
            return ()
    return tuple(parts)

"""A client's request in the router, and what its headers tell of its prompt."""

from __future__ import annotations

from collections.abc import Callable

from msgspec import Struct, field

from firvane.core.net.http_message import HttpError, Message
from firvane.fleet.configuration.routes import Route
from firvane.fleet.router.resumption import ResponseProgress, ResumeObstacle

REQUEST_ID = b"x-request-id"
DEADLINE = b"x-deadline-ms"
TOKEN_COUNT = b"x-token-count"
PROMPT_PREFIX = b"x-prompt-prefix"
MAX_DEADLINE_DIGITS = 9
MAX_BLOCKS = 64  # of a prompt that are read
SINGLE_FIELDS = frozenset((REQUEST_ID, DEADLINE, b"host", b"content-length", b"transfer-encoding"))
BAD_REQUEST = 400


class ProxiedRequest(Struct):
    """A client's request, its route, and how much of the response the client has.

    Attributes:
        message: The request as it came.
        route: Its route.
        request_id: Its id, as the client gave it.
        progress: How much of the response the client has.
        flow_id: Id of the engine's flow.
        tenant: Name of the tenant.
        is_private: Whether the key, and what it tells of the tenant, are not forwarded.
        priority: Rank; 0 is the highest.
        runs: Attempts that a backend did not reject.
        on_retry: Called at each run after the first.
    """

    message: Message
    route: Route
    request_id: bytes
    progress: ResponseProgress = field(default_factory=ResponseProgress)
    flow_id: int = -1
    tenant: bytes | None = None
    is_private: bool = False
    priority: int = 0
    runs: int = 0
    on_retry: Callable[[], None] | None = None

    def resume_obstacle(self) -> ResumeObstacle | None:
        """Return why another backend cannot continue the response that has begun; None where it can."""
        return self.progress.resume_obstacle(allowed=self.route.stream_resume)

    def can_resume(self) -> bool:
        """Return whether another backend can continue the response that has begun."""
        return self.resume_obstacle() is None

    def record_sent(self) -> None:
        """Count an attempt that is sent to a backend."""
        self.runs += 1
        if self.runs > 1 and self.on_retry:
            self.on_retry()

    def record_rejected(self) -> None:
        """Discount an attempt that the backend rejected without running it."""
        self.runs -= 1


class PromptShape(Struct, frozen=True):
    """What the headers tell of a prompt.

    Attributes:
        chain: (identity, tokens) of its prefix blocks in order.
        tokens_in: Tokens of the prompt.
        tokens_out: Most tokens of the response.
    """

    chain: tuple[tuple[int, int], ...] = ()
    tokens_in: int = 0
    tokens_out: int = 0


def check_framing(message: Message) -> None:
    """Check that a message can be read in one way only.

    Raises:
        Fault: Its framing is ambiguous, or a field that must be single is repeated.
    """
    if not SINGLE_FIELDS.isdisjoint(message.repeated_fields):
        raise HttpError(BAD_REQUEST)
    coding = message.fields.get(b"transfer-encoding")
    if coding is not None and (coding.lower() != b"chunked" or b"content-length" in message.fields):
        raise HttpError(BAD_REQUEST)


def client_deadline_ms(message: Message) -> int | None:
    """Return the milliseconds that the client will wait; None where it does not tell them legibly."""
    given = message.fields.get(DEADLINE, b"")
    if not given.isdigit() or len(given) > MAX_DEADLINE_DIGITS:
        return None
    return int(given)


def prompt_shape(message: Message) -> PromptShape:
    """Return the prompt as its headers describe it; what is illegible counts as absent."""
    tokens_in, tokens_out = _parse_token_counts(message.fields.get(TOKEN_COUNT, b""))
    return PromptShape(_parse_chain(message.fields.get(PROMPT_PREFIX, b"")), tokens_in, tokens_out)


def prompt_tokens(message: Message) -> int | None:
    """Return the tokens in and out together; None where the request tells no legible number."""
    text = message.fields.get(TOKEN_COUNT)
    if text is None:
        return None
    tokens = sum(_parse_token_counts(text))
    return tokens or None


def _parse_token_counts(text: bytes) -> tuple[int, int]:
    """Return the tokens in and the tokens out."""
    first, _, second = text.partition(b",")
    try:
        return max(0, int(first)), max(0, int(second or b"0"))
    except ValueError:
        return 0, 0


def _parse_chain(text: bytes) -> tuple[tuple[int, int], ...]:
    """Return (identity, tokens) of each prefix block."""
    if not text:
        return ()
    blocks: list[tuple[int, int]] = []
    for block in text.split(b",")[:MAX_BLOCKS]:
        identity, _, tokens = block.strip().partition(b":")
        try:
            blocks.append((int(identity, 16), max(0, int(tokens))))
        except ValueError:
            return ()
    return tuple(blocks)

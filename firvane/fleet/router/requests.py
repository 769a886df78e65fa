"""A client's request in the router, and the parsing of the headers that describe its prompt."""

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
MAX_BLOCKS = 64  # prefix blocks parsed per prompt; the rest are ignored
SINGLE_FIELDS = frozenset((REQUEST_ID, DEADLINE, b"host", b"content-length", b"transfer-encoding"))
BAD_REQUEST = 400


class ProxiedRequest(Struct):
    """A client's request, its route, and how much of the response has been sent to the client.

    Attributes:
        message: The request as received.
        route: Route of the request.
        request_id: Value of the client's `X-Request-Id`.
        progress: How much of the response has been sent to the client.
        flow_id: Id of the engine's flow; -1 until the engine has accepted the request.
        tenant: Name of the tenant.
        is_private: Whether the key and tenant headers are removed before forwarding.
        priority: Priority of the request; 0 is the highest.
        runs: Attempts sent to a backend and not rejected by it.
        on_retry: Called for each such attempt after the first.
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
        """Return why another backend cannot resume the response that has begun; None if it can."""
        return self.progress.resume_obstacle(allowed=self.route.stream_resume)

    def can_resume(self) -> bool:
        """Return whether another backend can resume the response that has begun."""
        return self.resume_obstacle() is None

    def record_sent(self) -> None:
        """Count an attempt when it is sent to a backend."""
        self.runs += 1
        if self.runs > 1 and self.on_retry:
            self.on_retry()

    def record_rejected(self) -> None:
        """Subtract an attempt that the backend rejected without running it."""
        self.runs -= 1


class PromptHeaders(Struct, frozen=True):
    """Description of a prompt by the request's headers.

    Attributes:
        prefix_blocks: (identity, tokens) of each prefix block, in order.
        prompt_tokens: Tokens in the prompt.
        max_response_tokens: Maximum number of tokens in the response.
    """

    prefix_blocks: tuple[tuple[int, int], ...] = ()
    prompt_tokens: int = 0
    max_response_tokens: int = 0


def check_framing(message: Message) -> None:
    """Check that a message has unambiguous framing.

    Raises:
        HttpError: The framing is ambiguous, or a field that must occur only once is repeated.
    """
    if not SINGLE_FIELDS.isdisjoint(message.repeated_fields):
        raise HttpError(BAD_REQUEST)
    coding = message.fields.get(b"transfer-encoding")
    if coding is not None and (coding.lower() != b"chunked" or b"content-length" in message.fields):
        raise HttpError(BAD_REQUEST)


def client_deadline_ms(message: Message) -> int | None:
    """Return the client's deadline in milliseconds; None if the header is absent or invalid."""
    value = message.fields.get(DEADLINE, b"")
    if not value.isdigit() or len(value) > MAX_DEADLINE_DIGITS:
        return None
    return int(value)


def parse_prompt_headers(message: Message) -> PromptHeaders:
    """Return the prompt as described by the headers; invalid headers count as absent."""
    prompt_tokens, max_response_tokens = _parse_token_counts(message.fields.get(TOKEN_COUNT, b""))
    return PromptHeaders(
        _parse_prefix_blocks(message.fields.get(PROMPT_PREFIX, b"")), prompt_tokens, max_response_tokens
    )


def total_tokens(message: Message) -> int | None:
    """Return the sum of prompt and response tokens; None if the header is absent, invalid or zero."""
    text = message.fields.get(TOKEN_COUNT)
    if text is None:
        return None
    tokens = sum(_parse_token_counts(text))
    return tokens or None


def _parse_token_counts(text: bytes) -> tuple[int, int]:
    """Return the tokens of the prompt and the maximum tokens of the response; zeros if invalid."""
    first, _, second = text.partition(b",")
    try:
        return max(0, int(first)), max(0, int(second or b"0"))
    except ValueError:
        return 0, 0


def _parse_prefix_blocks(text: bytes) -> tuple[tuple[int, int], ...]:
    """Return (identity, tokens) of each prefix block; empty if any block is invalid."""
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

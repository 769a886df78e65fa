"""Requests that have no final answer yet, and their attempts. All times are in seconds."""

from __future__ import annotations

from msgspec import Struct, field

from firvane.fleet.placement.events import PromptRequest
from firvane.fleet.placement.prompt_homes import Prompt
from firvane.fleet.placement.server_view import ServerView


class Attempt(Struct, eq=False):
    """One attempt of a request that is in flight.

    Attributes:
        number: Index among the attempts of the request.
        service: Name of the service.
        server: The server that it was sent to.
        sequence: Number that is unique while this router process lives.
        prefill_tokens: Tokens that the server is believed to prefill for it.
        backlog: Seconds of prefill that were ahead of it.
        sent_at: When it was sent.
        expected: Seconds until its first event is expected.
        expires_at: When it is forgotten although no end was reported.
        is_retry: Whether it was paid from the retry budget.
        started: Whether its first event has come.
    """

    number: int
    service: str
    server: ServerView
    sequence: int
    prefill_tokens: float
    backlog: float
    sent_at: float
    expected: float
    expires_at: float
    is_retry: bool
    started: bool = False


class PendingRequest(Struct, eq=False):
    """A request that has no final answer yet.

    Attributes:
        request: The request as it came.
        prompt: Its prompt.
        service: Name of the service that was drawn for it.
        deadline: When its final answer is due.
        queue_until: When it leaves the queue at the latest.
        attempts_made: All attempts, those that reached no backend included.
        attempts_reached: Attempts that reached a backend or may have.
        may_have_run: Attempts that may run or may have run.
        response_started: Whether the client got the head of a response.
        in_flight: Open attempts by number.
        attempted_servers: Ids of the servers that were tried.
    """

    request: PromptRequest
    prompt: Prompt
    service: str
    deadline: float
    queue_until: float
    attempts_made: int = 0
    attempts_reached: int = 0
    may_have_run: int = 0
    response_started: bool = False
    in_flight: dict[int, Attempt] = field(default_factory=dict)
    attempted_servers: set[str] = field(default_factory=set)

    @property
    def may_retry(self) -> bool:
        """Whether a further attempt does no harm, whatever the earlier ones did."""
        return self.may_have_run == 0 or self.request.retryable

    @property
    def has_attempts_left(self) -> bool:
        """Whether the request may reach one more backend."""
        return self.attempts_reached < self.request.max_attempts

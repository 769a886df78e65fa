"""Requests that have no final response yet, and their attempts. All times are in seconds."""

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
        server: The server that the attempt was sent to.
        sequence: Sequence number, unique within this router process.
        prefill_tokens: Estimated tokens that the server prefills for the attempt.
        backlog: Seconds of prefill that were outstanding at the server when the attempt was sent.
        sent_at: When the attempt was sent.
        expected: Seconds from `sent_at` to the expected first event.
        expires_at: When the attempt is dropped if its end was not reported.
        is_retry: Whether the attempt was paid from the retry budget.
        started: Whether the first event was received.
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
    """A request that has no final response yet.

    Attributes:
        request: The request as received from the client.
        prompt: The request's prompt.
        service: Name of the service that was drawn for the request.
        deadline: When the final response is due.
        queue_until: When the request leaves the queue at the latest.
        attempts_made: Number of attempts, including those that reached no backend.
        attempts_reached: Number of attempts that reached a backend or may have done so.
        may_have_run: Number of attempts that may be running or may have run.
        response_started: Whether the client has received the head of a response.
        in_flight: Open attempts by number.
        attempted_servers: Ids of the servers that attempts were sent to.
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
        """Whether another attempt is allowed in view of earlier attempts that may have run."""
        return self.may_have_run == 0 or self.request.retryable

    @property
    def has_attempts_left(self) -> bool:
        """Whether another backend may be tried under `max_attempts`."""
        return self.attempts_reached < self.request.max_attempts

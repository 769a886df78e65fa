"""Open requests and their attempts."""

from __future__ import annotations

from typing import TYPE_CHECKING

from msgspec import Struct, field

from firvane.fleet.placement.events import PromptRequest
from firvane.fleet.placement.homes import Prompt
from firvane.fleet.placement.server_view import Server

if TYPE_CHECKING:
    from firvane.fleet.placement.service import Service


class Attempt(Struct, eq=False):
    """One attempt of a request that is out."""

    request: int
    number: int
    service: Service
    server: Server
    tag: int  # unique in this router's life
    tokens: float  # to read there, as believed
    backlog: float  # s of work that was ahead of it
    sent_at: float
    expected: float  # s to its first event
    expires: float  # when it is over in any case
    repeat: bool  # it was paid from the retry budget
    started: bool = False


class Job(Struct, eq=False):
    """A request that has no final answer yet."""

    request: PromptRequest
    prompt: Prompt
    service: Service
    deadline: float  # s
    hold_until: float  # nothing is held for room beyond
    sends: int = 0  # attempts made
    reached: int = 0  # of these, those that reached a backend or may have
    may_have_run: int = 0  # of these, those that may run or have run
    begun: bool = False  # its client was given the head of an answer
    resumed: bool = False  # that answer broke off and is to be continued
    out: dict[int, Attempt] = field(default_factory=dict)
    tried: set[str] = field(default_factory=set)

    @property
    def may_repeat(self) -> bool:
        """Whether a further attempt does no harm, whatever the earlier ones did."""
        return self.may_have_run == 0 or self.request.repeatable

    @property
    def attempts_left(self) -> bool:
        return self.reached < self.request.max_attempts

"""Every way in which an attempt or health check can end, and what each means to the decisions."""

from __future__ import annotations

from enum import Enum

from firvane.core.interface import Result


class Termination(Enum):
    """How one attempt or health check ended; the values are names in the log."""

    SERVED = "served"
    SERVER_ERROR = "server error"  # the target says that it failed
    REJECTED = "turned away"  # the target says that it never started the request
    CONNECTION_REJECTED = "no place for a connection"  # rejected on a new connection, which is closed
    BAD_REQUEST = "request at fault"  # the target says that the request is invalid, as any other would
    BAD_RESPONSE = "bad answer"  # what came back is no valid HTTP, too large, or of no agreed meaning
    CONNECTION_REFUSED = "connection refused"
    CONNECT_TIMEOUT = "dial expired"
    BROKEN_BEFORE_SENT = "broke before the request was written"
    BROKEN_AFTER_SENT = "broke after the request was written"
    DEADLINE_EXCEEDED = "overdue"
    CANCELLED = "cancelled"
    NO_FREE_SOCKET = "no socket free"
    TARGET_DRAINED = "target drained before the send"
    NOT_SENT = "given up before it was written"  # its client is gone, or its deadline is over
    NOT_ALLOWED = "not allowed"  # over a cap, after the answer, or to a target that no list holds


# What may have run must never pass for what never ran: an invalid answer of the target, or a connection that
# broke after the last byte was sent, leaves that open.
RESULTS: dict[Termination, Result] = {
    Termination.SERVED: Result.OK,
    Termination.SERVER_ERROR: Result.ERROR,
    Termination.REJECTED: Result.OVERLOADED,
    Termination.CONNECTION_REJECTED: Result.CONNECTIONS_FULL,
    Termination.BAD_REQUEST: Result.ERROR,
    Termination.BAD_RESPONSE: Result.ERROR,
    Termination.CONNECTION_REFUSED: Result.CONNECT_FAILED,
    Termination.CONNECT_TIMEOUT: Result.CONNECT_FAILED,
    Termination.BROKEN_BEFORE_SENT: Result.CONNECT_FAILED,
    Termination.BROKEN_AFTER_SENT: Result.RESET,
    Termination.DEADLINE_EXCEEDED: Result.TIMEOUT,
    Termination.CANCELLED: Result.CANCELLED,
    Termination.NO_FREE_SOCKET: Result.NOT_SENT,
    Termination.TARGET_DRAINED: Result.NOT_SENT,
    Termination.NOT_SENT: Result.NOT_SENT,
    Termination.NOT_ALLOWED: Result.NOT_SENT,
}

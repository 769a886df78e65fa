"""The ways in which an attempt or health check can end, and the result of each for the decisions."""

from __future__ import annotations

from enum import Enum

from firvane.core.interface import Result


class Termination(Enum):
    """How one attempt or health check ended; the values are written to the log."""

    SERVED = "served"
    SERVER_ERROR = "server error"  # the target reports an error
    REJECTED = "turned away"  # the target reports that it did not start the request
    CONNECTION_REJECTED = "no place for a connection"  # rejected on a new connection, which the target closes
    BAD_REQUEST = "request at fault"  # the target reports that the request is invalid; any other would, too
    BAD_RESPONSE = "bad answer"  # the response is not valid HTTP, too large, or has an unknown status
    CONNECTION_REFUSED = "connection refused"
    CONNECT_TIMEOUT = "dial expired"
    BROKEN_BEFORE_SENT = "broke before the request was written"
    BROKEN_AFTER_SENT = "broke after the request was written"
    DEADLINE_EXCEEDED = "overdue"
    CANCELLED = "cancelled"
    NO_FREE_SOCKET = "no socket free"
    TARGET_DRAINED = "target drained before the send"
    NOT_SENT = "given up before it was written"  # its client has disconnected, or its deadline has passed
    NOT_ALLOWED = "not allowed"  # above a limit, after the final answer, or to an unlisted target


# An attempt that may have run must not map to a result that counts as never run: after an invalid response,
# or when the connection broke after the last byte was sent, it is unknown whether the request ran.
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

"""Every way in which a connection's use can end, and what each means to the decisions."""

from __future__ import annotations

from enum import Enum

from firvane.core.interface import Result


class Ending(Enum):
    """How one forward or probe came to its end."""

    SERVED = "served"
    SERVER_ERROR = "server error"  # the target says that it failed
    TURNED_AWAY = "turned away"  # the target says that it never began
    NO_PLACE = "no place for a connection"  # turned away on a new connection that ends with that
    AT_FAULT = "request at fault"  # the target says that it will not have such a request, and no other will
    BAD_ANSWER = "bad answer"  # what came back is no HTTP, too large, or of no agreed meaning
    REFUSED = "connection refused"
    DIAL_EXPIRED = "dial expired"
    BROKE_UNSENT = "broke before the request was written"
    BROKE_SENT = "broke after the request was written"
    OVERDUE = "overdue"
    CANCELLED = "cancelled"
    NO_SOCKET = "no socket free"
    TOO_LATE = "target drained before the send"
    WITHDRAWN = "given up before it was written"  # nobody waits for it any more, or its time is over
    NOT_ALLOWED = "not allowed"  # over a cap, after the answer, or to a target that no list holds


# The only place that translates them. What may have run must never pass for what never ran: a wrong answer
# from the target, or a break after its last byte was written, leaves that open.
RESULTS: dict[Ending, Result] = {
    Ending.SERVED: Result.OK,
    Ending.SERVER_ERROR: Result.ERROR,
    Ending.TURNED_AWAY: Result.OVERLOADED,
    Ending.NO_PLACE: Result.CONNECTIONS_FULL,
    Ending.AT_FAULT: Result.ERROR,
    Ending.BAD_ANSWER: Result.ERROR,
    Ending.REFUSED: Result.CONNECT_FAILED,
    Ending.DIAL_EXPIRED: Result.CONNECT_FAILED,
    Ending.BROKE_UNSENT: Result.CONNECT_FAILED,
    Ending.BROKE_SENT: Result.RESET,
    Ending.OVERDUE: Result.TIMEOUT,
    Ending.CANCELLED: Result.CANCELLED,
    Ending.NO_SOCKET: Result.NOT_SENT,
    Ending.TOO_LATE: Result.NOT_SENT,
    Ending.WITHDRAWN: Result.NOT_SENT,
    Ending.NOT_ALLOWED: Result.NOT_SENT,
}

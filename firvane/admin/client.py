"""Sends a call over HTTP/1.1, with failover between addresses."""

from __future__ import annotations

import http.client
import time
from collections.abc import Callable, Mapping
from dataclasses import dataclass, field

from firvane.admin.calls import Answered, Attempt, CallFailover, NoClearAnswer, Reply, Step

TIMEOUT_S = 5.0


@dataclass(frozen=True, slots=True)
class Request:
    """Method, body and headers of a call; `CallFailover` has its path."""

    method: str
    body: bytes | None = None
    headers: Mapping[str, str] = field(default_factory=dict)


def call(
    failover: CallFailover,
    request: Request,
    send: Callable[[Attempt, Request], Reply] | None = None,
    sleep: Callable[[float], None] = time.sleep,
) -> Answered | NoClearAnswer:
    """Send the call until it has a final answer or all attempts have failed."""
    send = send or send_over_http
    step: Step = failover.begin()
    while isinstance(step, Attempt):
        if step.pause:
            sleep(step.pause)
        try:
            reply = send(step, request)
        except (OSError, http.client.HTTPException) as error:
            step = failover.failure(str(error) or type(error).__name__)
        else:
            step = failover.answer(reply)
    return step


def send_over_http(attempt: Attempt, request: Request) -> Reply:
    """Send one request on a new connection; raises `OSError` or `HTTPException` on failure."""
    host, port = attempt.address
    connection = http.client.HTTPConnection(host, port, timeout=TIMEOUT_S)
    try:
        connection.request(request.method, attempt.path, request.body, dict(request.headers))
        response = connection.getresponse()
        return Reply(response.status, response.read(), response.getheader("Location"))
    finally:
        connection.close()

"""Composes the requests of clients, and the records to check them against."""

from __future__ import annotations

from firvane.simulation.localfleet.profiles import MODEL
from firvane.simulation.localfleet.run_ledger import PROMPT_HEADERS, SentAttempt, fingerprint
from firvane.simulation.localfleet.schedule import PlannedRequest


def compose_request(
    planned: PlannedRequest, request_id: bytes, last_event: int, left_ms: int
) -> tuple[bytes, SentAttempt]:
    """The bytes of a request and its record; `last_event` is 0 if no stream is resumed."""
    kind, body = planned.kind, planned.body()
    target = f"{kind.path_prefix}{planned.number % kind.subjects}"
    prompt = {
        "x-model": MODEL,
        "x-token-count": planned.prompt.token_count_header,
        "x-prompt-prefix": planned.prompt.prefix_header,
    }
    headers = {
        "Host": kind.host,
        "X-Request-Id": request_id.decode(),
        **prompt,
        "X-Deadline-Ms": str(max(1, left_ms)),
        "Content-Length": str(len(body)),
    }
    if last_event:
        headers["Last-Event-Id"] = str(last_event)
    lines = [f"POST {target} HTTP/1.1", *(f"{name}: {value}" for name, value in headers.items())]
    values = [prompt[name].encode() for name in PROMPT_HEADERS]
    request_fingerprint = fingerprint(b"POST", target.encode(), values, body)
    return "\r\n".join([*lines, "", ""]).encode() + body, SentAttempt(kind.resumable, request_fingerprint)

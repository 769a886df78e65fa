"""Formats heads and framing of HTTP/1.1 messages, as lists of buffers for `writelines`."""

from __future__ import annotations

from collections.abc import Iterable

from firvane.core.net.http_message import BytesLike, Message

LAST_CHUNK = b"0\r\n\r\n"
CLOSE_FIELD = b"Connection: close\r\n"
REASONS = {
    200: b"OK",
    400: b"Bad Request",
    401: b"Unauthorized",
    404: b"Not Found",
    405: b"Method Not Allowed",
    408: b"Request Timeout",
    409: b"Conflict",
    413: b"Content Too Large",
    429: b"Too Many Requests",
    431: b"Request Header Fields Too Large",
    502: b"Bad Gateway",
    503: b"Service Unavailable",
}
STATUS_LINES = {code: b"HTTP/1.1 %d %s\r\n" % (code, reason) for code, reason in REASONS.items()}
BUDGET_FIELD = frozenset((b"x-budget-ms",))
# Retry-After of successive rejections in sixteenths of the mean, above the minimum: a permutation.
RETRY_AFTER_STEPS = (3, 11, 7, 15, 1, 9, 5, 13, 0, 8, 4, 12, 2, 10, 6, 14)
MIN_RETRY_AFTER_PART = 0.53


def frame_chunk(buffers: list[BytesLike], chunked: bool) -> list[BytesLike]:
    """Return body data with its framing: one chunk if the transfer coding is chunked."""
    if not chunked:
        return buffers
    return [b"%x\r\n" % sum(map(len, buffers)), *buffers, b"\r\n"]


def status_line(status: int) -> bytes:
    """Return the status line of a response, with its line end."""
    return STATUS_LINES.get(status) or b"HTTP/1.1 %d Status\r\n" % status


def format_body_framing(length: int | None) -> bytes:
    """Return the header line for a body of `length` bytes, or with chunked transfer coding for None."""
    return b"Transfer-Encoding: chunked\r\n" if length is None else b"Content-Length: %d\r\n" % length


def format_response_head(message: Message, chunked: bool, close: bool) -> list[BytesLike]:
    """Return the head of a forwarded response whose body follows as it arrives.

    Args:
        message: The response as received from the target.
        chunked: Whether the body is written with chunked transfer coding. Without it, a body without a length
            ends with the connection.
        close: Whether the connection is closed after the response.
    """
    buffers: list[BytesLike] = [status_line(message.status), *message.end_to_end_fields()]
    length = message.content_length()
    if chunked or length is not None:
        buffers.append(format_body_framing(length))
    if close:
        buffers.append(CLOSE_FIELD)
    buffers.append(b"\r\n")
    return buffers


def format_request_head(request: Message, budget_ms: int, host: bytes) -> list[bytes]:
    """Return the head of a forwarded request: the client's end-to-end fields and the remaining budget."""
    return format_forwarded_head(request, host, BUDGET_FIELD, (b"X-Budget-Ms: %d\r\n" % budget_ms,))


def format_forwarded_head(
    request: Message, host: bytes, without: frozenset[bytes], written: Iterable[bytes]
) -> list[bytes]:
    """Return the head of a forwarded request.

    Args:
        request: The client's request.
        host: The value of the Host field if the client sent none.
        without: Lower-case names of the client's fields to leave out.
        written: Header lines to add.
    """
    buffers = [request.method, b" ", request.url, b" HTTP/1.1\r\n"]
    if b"host" not in request.fields:
        buffers += (b"Host: ", host, b"\r\n")
    buffers += request.end_to_end_fields(without)
    buffers += written
    if request.stream:
        buffers.append(format_body_framing(request.content_length()))
    elif request.is_framed:
        buffers.append(b"Content-Length: %d\r\n" % request.size)
    buffers.append(b"\r\n")
    return buffers


def format_response(
    status: int, body: list[BytesLike], size: int, close: bool, headers: Iterable[bytes]
) -> list[BytesLike]:
    """Return a complete response.

    Args:
        status: The status code.
        body: The body.
        size: Bytes of the body.
        close: Whether the connection is closed after the response.
        headers: Further header lines.
    """
    buffers: list[BytesLike] = [status_line(status), *headers, b"Content-Length: %d\r\n" % size]
    if close:
        buffers.append(CLOSE_FIELD)
    buffers.append(b"\r\n")
    buffers += body
    return buffers


def make_rejections(retry_after: float, most: float) -> list[bytes]:
    """Return complete rejections to be sent in turn, spread so that clients do not retry simultaneously.

    Args:
        retry_after: The mean Retry-After in seconds; 0 for none.
        most: The largest Retry-After in seconds.
    """
    if retry_after <= 0:
        return [b"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 8\r\n\r\nrefused\n"]
    return [
        b"HTTP/1.1 503 Service Unavailable\r\nRetry-After: %.3f\r\nContent-Length: 8\r\n\r\nrefused\n"
        % min(most, retry_after * (MIN_RETRY_AFTER_PART + step / len(RETRY_AFTER_STEPS)))
        for step in RETRY_AFTER_STEPS
    ]

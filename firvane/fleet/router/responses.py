"""Classification of a backend's response by its head."""

from __future__ import annotations

from firvane.core.net.http_message import Message
from firvane.core.terminations import Termination
from firvane.fleet.router.resumption import has_event_stream_type

MAX_BUFFERED_RESPONSE_BYTES = 64 * 1024  # larger responses are streamed
STATUS_OK = 200
STATUS_MULTIPLE_CHOICES = 300
STATUS_MISDIRECTED = 421


def is_streamed(response: Message) -> bool:
    """Return whether a response is streamed to the client instead of being buffered until complete."""
    length = response.content_length()
    return has_event_stream_type(response) or length is None or length > MAX_BUFFERED_RESPONSE_BYTES


def is_success(response: Message) -> bool:
    """Return whether the status of a response is 2xx."""
    return STATUS_OK <= response.status < STATUS_MULTIPLE_CHOICES


def response_termination(response: Message) -> Termination:
    """Return how an attempt ended, according to the head of its response."""
    if is_success(response):
        return Termination.SERVED
    if response.status == STATUS_MISDIRECTED or b"x-not-executed" in response.fields:
        return Termination.REJECTED
    return Termination.SERVER_ERROR

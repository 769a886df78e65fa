"""Fetches: one source at a time, another source after a time-out or a rejection."""

from __future__ import annotations

from firvane.fleet.dissemination.codec import Version
from firvane.fleet.dissemination.items import Item
from firvane.fleet.dissemination.requests import (
    MAX_ATTEMPTS,
    MAX_FETCHES,
    MAX_WAITERS,
    RESPONSE_TIMEOUT_S,
    SLOWEST_LINK_BYTES_PER_S,
    FetchResult,
    Request,
    Requests,
)
from firvane.fleet.dissemination.uploads import MAX_UPLOADS, RESEND_DELAY_S, Uploads

ONE, TWO, THREE = (("10.0.0.1", 1), ("10.0.0.2", 1), ("10.0.0.3", 1))
KEY = b"configuration"
ANNOUNCED = Version(KEY, 7, 60_000)


def test_the_first_announcer_is_requested_and_the_second_is_recorded_as_a_source() -> None:
    requests = Requests()
    assert requests.add_announcement(ANNOUNCED, ONE, None, 0.0) == Request(ONE, ANNOUNCED)
    assert requests.add_announcement(ANNOUNCED, TWO, None, 0.01) is None
    assert requests.overdue(RESPONSE_TIMEOUT_S - 0.01) == []
    assert requests.overdue(RESPONSE_TIMEOUT_S) == [Request(TWO, ANNOUNCED)]


def test_the_preferred_source_is_requested_first_and_then_the_announcer() -> None:
    requests = Requests()
    assert requests.add_announcement(ANNOUNCED, ONE, THREE, 0.0) == Request(THREE, ANNOUNCED)
    assert requests.overdue(requests.deadline()) == [Request(ONE, ANNOUNCED)]


def test_the_time_out_of_an_accepted_request_includes_the_transfer_on_a_slow_link() -> None:
    requests = Requests()
    requests.add_announcement(Version(KEY, 7), ONE, None, 0.0)
    requests.accepted(ANNOUNCED, TWO, 0.1)
    assert requests.deadline() == RESPONSE_TIMEOUT_S
    requests.accepted(ANNOUNCED, ONE, 0.1)
    assert requests.deadline() == 0.1 + RESPONSE_TIMEOUT_S + 60_000 / SLOWEST_LINK_BYTES_PER_S


def test_after_a_rejection_another_source_is_requested_at_once_or_the_fetch_ends() -> None:
    requests = Requests()
    requests.add_announcement(ANNOUNCED, ONE, THREE, 0.0)
    assert requests.rejected(ANNOUNCED, ONE, 0.01) is None  # no request was sent to it
    assert requests.rejected(ANNOUNCED, THREE, 0.01) == Request(ONE, ANNOUNCED)
    assert requests.rejected(ANNOUNCED, ONE, 0.02) is None
    assert requests.deadline() == float("inf")
    assert requests.add_announcement(ANNOUNCED, TWO, None, 0.03) == Request(TWO, ANNOUNCED)


def test_a_newer_version_replaces_an_older_one_and_keeps_the_waiters() -> None:
    requests = Requests()
    requests.add_announcement(ANNOUNCED, ONE, None, 0.0)
    assert requests.add_waiter(ANNOUNCED, THREE)
    newer = Version(KEY, 8, 10)
    assert requests.add_announcement(newer, TWO, None, 0.01) == Request(TWO, newer)
    assert requests.add_announcement(ANNOUNCED, ONE, None, 0.02) is None
    assert requests.complete(KEY, 7) == FetchResult()
    assert requests.complete(KEY, 9).waiters == [THREE]
    assert requests.deadline() == float("inf")


def test_waiters_are_accepted_only_for_versions_being_fetched() -> None:
    requests = Requests()
    assert not requests.add_waiter(ANNOUNCED, ONE)
    requests.add_announcement(ANNOUNCED, ONE, None, 0.0)
    assert not requests.add_waiter(Version(KEY, 8), TWO)
    assert requests.add_waiter(Version(KEY, 6), TWO)
    assert requests.add_waiter(ANNOUNCED, TWO)
    assert requests.complete(KEY, 7).waiters == [TWO]


def test_an_announcement_is_forwarded_once() -> None:
    requests = Requests()
    requests.add_announcement(ANNOUNCED, ONE, None, 0.0)
    assert requests.mark_forwarded([ANNOUNCED, Version(b"other", 1)]) == [ANNOUNCED]
    assert requests.mark_forwarded([ANNOUNCED]) == []
    assert requests.complete(KEY, 7).is_forwarded


def test_attempts_waiters_and_keys_are_bounded() -> None:
    requests = Requests()
    requests.add_announcement(ANNOUNCED, ONE, None, 0.0)
    request_count = 1
    while (due := requests.deadline()) < 1000:
        request_count += len(requests.overdue(due))
    assert request_count == MAX_ATTEMPTS
    requests.add_announcement(ANNOUNCED, ONE, None, 0.0)
    accepted = [requests.add_waiter(ANNOUNCED, ("10.0.0.9", port)) for port in range(MAX_WAITERS + 2)]
    assert accepted.count(False) == 2
    for number in range(MAX_FETCHES):
        requests.add_announcement(Version(str(number).encode(), 1), ONE, None, 0.0)
    assert requests.add_announcement(Version(b"one more", 1), ONE, None, 0.0) is None


def test_an_upload_is_not_repeated_while_it_may_be_in_flight() -> None:
    uploads, item = Uploads(), Item(KEY, 7, bytes(30_000))
    resend_after = RESEND_DELAY_S + 30_000 / SLOWEST_LINK_BYTES_PER_S
    assert uploads.start(ONE, item, 0.0)
    assert uploads.start(TWO, item, 0.0)
    assert not uploads.start(ONE, item, resend_after - 0.01)
    assert uploads.start(ONE, Item(KEY, 8, b""), 0.01)
    assert not uploads.start(ONE, item, 0.02)
    assert uploads.start(TWO, item, resend_after)


def test_the_number_of_recorded_uploads_is_bounded() -> None:
    uploads, item = Uploads(), Item(KEY, 7, b"")
    for number in range(3 * MAX_UPLOADS):
        assert uploads.start(("10.0.0.1", number), item, number * 0.01)
    assert len(uploads) <= MAX_UPLOADS

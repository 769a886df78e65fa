"""Fetching: one source at a time, another one after silence or a refusal."""

from __future__ import annotations

from firvane.fleet.dissemination.codec import Version
from firvane.fleet.dissemination.items import Item
from firvane.fleet.dissemination.requests import (
    ANSWER_TIMEOUT,
    MAX_ATTEMPTS,
    MAX_WAITERS,
    MAX_WANTED,
    SLOWEST_LINK,
    Arrival,
    Request,
    Requests,
)
from firvane.fleet.dissemination.uploads import MAX_UPLOADS, RESEND_PAUSE, Uploads

ONE, TWO, THREE = (("10.0.0.1", 1), ("10.0.0.2", 1), ("10.0.0.3", 1))
KEY = b"configuration"
NEWS = Version(KEY, 7, 60_000)


def test_the_first_announcement_is_asked_for_and_the_second_one_kept() -> None:
    requests = Requests()
    assert requests.announced(NEWS, ONE, None, 0.0) == Request(ONE, NEWS)
    assert requests.announced(NEWS, TWO, None, 0.01) is None
    assert requests.overdue(ANSWER_TIMEOUT - 0.01) == []
    assert requests.overdue(ANSWER_TIMEOUT) == [Request(TWO, NEWS)]


def test_the_preferred_source_is_asked_first_and_then_who_announced() -> None:
    requests = Requests()
    assert requests.announced(NEWS, ONE, THREE, 0.0) == Request(THREE, NEWS)
    assert requests.overdue(requests.deadline()) == [Request(ONE, NEWS)]


def test_an_accepted_request_has_the_time_of_a_slow_link() -> None:
    requests = Requests()
    requests.announced(Version(KEY, 7), ONE, None, 0.0)
    requests.accepted(NEWS, TWO, 0.1)
    assert requests.deadline() == ANSWER_TIMEOUT
    requests.accepted(NEWS, ONE, 0.1)
    assert requests.deadline() == 0.1 + ANSWER_TIMEOUT + 60_000 / SLOWEST_LINK


def test_a_refusal_turns_to_another_source_at_once_or_ends_it() -> None:
    requests = Requests()
    requests.announced(NEWS, ONE, THREE, 0.0)
    assert requests.refused(NEWS, ONE, 0.01) is None  # it was not asked
    assert requests.refused(NEWS, THREE, 0.01) == Request(ONE, NEWS)
    assert requests.refused(NEWS, ONE, 0.02) is None
    assert requests.deadline() == float("inf")
    assert requests.announced(NEWS, TWO, None, 0.03) == Request(TWO, NEWS)


def test_a_newer_version_replaces_an_older_one_and_keeps_who_waits() -> None:
    requests = Requests()
    requests.announced(NEWS, ONE, None, 0.0)
    assert requests.wait(NEWS, THREE)
    newer = Version(KEY, 8, 10)
    assert requests.announced(newer, TWO, None, 0.01) == Request(TWO, newer)
    assert requests.announced(NEWS, ONE, None, 0.02) is None
    assert requests.arrived(KEY, 7) == Arrival()
    assert requests.arrived(KEY, 9).waiters == [THREE]
    assert requests.deadline() == float("inf")


def test_only_what_is_being_fetched_can_be_waited_for() -> None:
    requests = Requests()
    assert not requests.wait(NEWS, ONE)
    requests.announced(NEWS, ONE, None, 0.0)
    assert not requests.wait(Version(KEY, 8), TWO)
    assert requests.wait(Version(KEY, 6), TWO)
    assert requests.wait(NEWS, TWO)
    assert requests.arrived(KEY, 7).waiters == [TWO]


def test_an_announcement_is_passed_on_once() -> None:
    requests = Requests()
    requests.announced(NEWS, ONE, None, 0.0)
    assert requests.pass_on([NEWS, Version(b"other", 1)]) == [NEWS]
    assert requests.pass_on([NEWS]) == []
    assert requests.arrived(KEY, 7).is_passed_on


def test_attempts_waiters_and_keys_are_bounded() -> None:
    requests = Requests()
    requests.announced(NEWS, ONE, None, 0.0)
    asked = 1
    while (due := requests.deadline()) < 1000:
        asked += len(requests.overdue(due))
    assert asked == MAX_ATTEMPTS
    requests.announced(NEWS, ONE, None, 0.0)
    taken = [requests.wait(NEWS, ("10.0.0.9", port)) for port in range(MAX_WAITERS + 2)]
    assert taken.count(False) == 2
    for number in range(MAX_WANTED):
        requests.announced(Version(str(number).encode(), 1), ONE, None, 0.0)
    assert requests.announced(Version(b"one more", 1), ONE, None, 0.0) is None


def test_an_upload_is_not_repeated_while_it_may_be_on_its_way() -> None:
    uploads, item = Uploads(), Item(KEY, 7, bytes(30_000))
    span = RESEND_PAUSE + 30_000 / SLOWEST_LINK
    assert uploads.begin(ONE, item, 0.0)
    assert uploads.begin(TWO, item, 0.0)
    assert not uploads.begin(ONE, item, span - 0.01)
    assert uploads.begin(ONE, Item(KEY, 8, b""), 0.01)
    assert not uploads.begin(ONE, item, 0.02)
    assert uploads.begin(TWO, item, span)


def test_uploads_are_forgotten_beyond_a_bound() -> None:
    uploads, item = Uploads(), Item(KEY, 7, b"")
    for number in range(3 * MAX_UPLOADS):
        assert uploads.begin(("10.0.0.1", number), item, number * 0.01)
    assert len(uploads) <= MAX_UPLOADS

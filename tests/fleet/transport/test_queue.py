"""The bounded queue, compared with a list."""

from __future__ import annotations

from hypothesis import given, settings
from hypothesis import strategies as st

from firvane.fleet.transport.queue import FrameQueue

MAX_BYTES, MAX_FRAMES = 50, 5


@settings(derandomize=True, deadline=None)
@given(st.lists(st.one_of(st.binary(max_size=60), st.none()), max_size=40))
def test_the_oldest_frames_are_dropped_when_a_limit_is_exceeded(steps: list[bytes | None]) -> None:
    """The step `None` removes the oldest frame."""
    queue, expected, dropped = FrameQueue(MAX_BYTES, MAX_FRAMES), [], 0
    for frame in steps:
        if frame is None:
            if expected:
                assert queue.pop() == expected.pop(0)
            continue
        queue.push(frame)
        expected.append(frame)
        while len(expected) > 1 and (len(expected) > MAX_FRAMES or sum(map(len, expected)) > MAX_BYTES):
            expected.pop(0)
            dropped += 1
        assert (len(queue), queue.size, queue.dropped) == (len(expected), sum(map(len, expected)), dropped)
    assert [queue.pop() for _ in range(len(queue))] == expected


def test_clear_counts_the_dropped_frames() -> None:
    queue = FrameQueue()
    queue.push(b"a")
    queue.push(b"b")
    queue.clear()
    assert (len(queue), queue.size, queue.dropped) == (0, 0, 2)

"""The histogram of event-loop delays."""

from firvane.core.loop_delay import BOUNDS_MS, LONG_DELAY_S, LoopDelays


def test_each_delay_is_counted_once_in_its_bucket_and_the_longest_is_kept() -> None:
    delays = LoopDelays()
    for delay in (0.0, 0.005, 0.006, 0.3, 2.0):
        delays.record(delay)
    assert delays.take() == {
        "loop_delay_max_ms": 2000.0,
        "loop_delay_to_5_ms": 2,
        "loop_delay_to_20_ms": 1,
        "loop_delay_to_500_ms": 1,
        "loop_delay_longer": 1,
    }
    assert delays.take() == {"loop_delay_max_ms": 0.0}


def test_only_a_long_delay_is_reported() -> None:
    delays = LoopDelays()
    assert not delays.record(LONG_DELAY_S) and delays.record(LONG_DELAY_S + 0.001)
    assert int(1000 * LONG_DELAY_S) in BOUNDS_MS

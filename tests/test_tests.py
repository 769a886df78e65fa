"""What one test does to its process is undone before the next."""

from __future__ import annotations

import signal

from firvane.core import process_signals

BEFORE = signal.pthread_sigmask(signal.SIG_BLOCK, ())


def test_signals_may_be_held() -> None:
    process_signals.block()
    assert signal.pthread_sigmask(signal.SIG_BLOCK, ()) >= set(process_signals.SIGNALS)


def test_and_are_not_in_the_next() -> None:
    assert signal.pthread_sigmask(signal.SIG_BLOCK, ()) == BEFORE

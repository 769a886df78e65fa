"""Whether a process survives a signal, according to /proc."""

from __future__ import annotations

import signal
import subprocess
import sys

import pytest

from firvane.simulation.localfleet.signal_state import SignalField, signals_in, survives

STATUS = "Name:\tx\nSigBlk:\t0000000000004001\nSigIgn:\t0000000000000000\nSigCgt:\t0000000000000002\n"
DEALS = {
    "by default": "",
    "blocked": "signal.pthread_sigmask(signal.SIG_BLOCK, [signal.SIGTERM])",
    "ignored": "signal.signal(signal.SIGTERM, signal.SIG_IGN)",
    "caught": "signal.signal(signal.SIGTERM, print)",
}


def test_masks_are_parsed() -> None:
    assert signals_in(STATUS, SignalField.BLOCKED) == {signal.SIGHUP, signal.SIGTERM}
    assert signals_in(STATUS, SignalField.CAUGHT) == {signal.SIGINT}
    assert not signals_in(STATUS, SignalField.IGNORED)


@pytest.mark.parametrize("deals", DEALS)
def test_a_process_survives_signals_that_it_handles(deals: str) -> None:
    code = f"import signal; {DEALS[deals]}\nprint('here', flush=True); input()"
    with subprocess.Popen(
        [sys.executable, "-c", code], stdin=subprocess.PIPE, stdout=subprocess.PIPE
    ) as process:
        assert process.stdout and process.stdout.readline() == b"here\n"
        assert survives(process.pid, signal.SIGTERM) is (deals != "by default")
        process.kill()
    assert not survives(process.pid, signal.SIGTERM)

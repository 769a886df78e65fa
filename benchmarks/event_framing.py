"""Measures the processor time of framing an event, for this code and another version of it in one run.

Usage: python -m benchmarks.event_framing [OTHER]

OTHER is the path of another version of `firvane/fleet/router/events.py`. The versions take turns, and the
shortest time of each counts.
"""

from __future__ import annotations

import importlib.util
import sys
import time
from types import ModuleType

from firvane.fleet.router import events

EVENTS = 5_000
ROUNDS = 40
PADDING_BYTES = (60, 1_400)
PIECE_BYTES = 700  # of the streams whose events are split
LINE_ENDS = {"LF": b"\n", "CRLF": b"\r\n", "CR": b"\r"}


def load(path: str) -> ModuleType:
    """Return the module in a file."""
    spec = importlib.util.spec_from_file_location("other_events", path)
    assert spec is not None and spec.loader is not None
    module = importlib.util.module_from_spec(spec)
    spec.loader.exec_module(module)
    return module


def make_events(line_end: bytes, padding: int) -> list[bytes]:
    """Return events with rising ids, one per piece."""
    data = b"x" * padding
    return [line_end.join((b"id: %d" % number, b"data: " + data, b"", b"")) for number in range(EVENTS)]


def resplit(pieces: list[bytes]) -> list[bytes]:
    """Return the same bytes in pieces of `PIECE_BYTES`."""
    body = b"".join(pieces)
    return [body[start : start + PIECE_BYTES] for start in range(0, len(body), PIECE_BYTES)]


def time_once(module: ModuleType, pieces: list[bytes]) -> float:
    """Return the microseconds of processor time per event of one pass."""
    framer = module.EventFramer()
    started = time.process_time()
    for piece in pieces:
        framer.feed(piece)
    return (time.process_time() - started) / EVENTS * 1e6


def main() -> None:
    """Print a row for each kind of stream."""
    versions = {"this": events, **{name: load(name) for name in sys.argv[1:]}}
    print("us per event:", ", ".join(versions))
    for name, line_end in LINE_ENDS.items():
        for padding in PADDING_BYTES:
            whole = make_events(line_end, padding)
            for form, pieces in (("whole", whole), ("split", resplit(whole))):
                best = dict.fromkeys(versions, float("inf"))
                for _ in range(ROUNDS):
                    for version, module in versions.items():
                        best[version] = min(best[version], time_once(module, pieces))
                print(f"{name:4} {padding:5} {form}:", ", ".join(f"{figure:.2f}" for figure in best.values()))


if __name__ == "__main__":
    main()

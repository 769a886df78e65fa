"""Metrics of the router's own process."""

from __future__ import annotations

import gc

from firvane.fleet.router.router import cyclic_garbage_total


def test_objects_freed_by_the_garbage_collector_are_counted() -> None:
    # Guards against: ended requests stayed in memory until a garbage collection, and no metric showed it.
    gc.collect()
    before = cyclic_garbage_total()
    first: list[object] = []
    first.append([first])
    del first
    gc.collect()
    assert cyclic_garbage_total() - before >= 2

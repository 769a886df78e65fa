"""The tests run the sources as they are; with `--native`, the compiled modules instead (docs/native.md)."""

from __future__ import annotations

import signal
from collections.abc import Iterator

import pytest

from firvane.proxy import native

pytest_plugins = ("tests.known_reds",)


def pytest_addoption(parser: pytest.Parser) -> None:
    parser.addoption("--native", action="store_true", help="run the compiled modules")


def pytest_configure(config: pytest.Config) -> None:
    if config.getoption("--native") and not (found := native.activate()).on:
        raise pytest.UsageError(f"nothing compiled can be run: {found.why}")


@pytest.fixture(autouse=True)
def signals_as_they_were() -> Iterator[None]:
    """`firvane serve` blocks signals from its first line on (`firvane.core.process_signals`).

    Played in this process, on a file of no use, it would leave them blocked for all tests that follow, and
    for every process they start.
    """
    before = signal.pthread_sigmask(signal.SIG_BLOCK, ())
    yield
    signal.pthread_sigmask(signal.SIG_SETMASK, before)

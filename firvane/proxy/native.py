"""Compiled modules in place of the interpreted ones, where they were made from these very sources.

`tools/build_native.py` compiles `MODULES` into `.native/<digest>/` beside the package (docs/native.md).

Rules that hold here and nowhere else:

1. The digest covers the sources, this Python, and the recipe (the build's script and what it pins). What was
   not compiled from exactly these is not used: there is no stale one.
2. The compiled modules lie outside the package, so that only a program that calls `activate` gets them.
3. All of them are used or none. Where they cannot be, the sources run as they are, and `state` says why.
"""

from __future__ import annotations

import hashlib
import os
import sys
from collections.abc import Mapping, Sequence
from importlib.machinery import EXTENSION_SUFFIXES, ExtensionFileLoader, ModuleSpec
from types import ModuleType
from typing import NamedTuple

# In the order of the floors; which ones pay was measured, see docs/native.md.
MODULES = (
    "firvane.core.interface",
    "firvane.core.balancing.records",
    "firvane.core.balancing.rows",
    "firvane.core.terminations",
    "firvane.proxy.capacity.backend_estimates",
    "firvane.proxy.routing.hash_ring",
    "firvane.proxy.routing.load_index",
    "firvane.proxy.routing.bounded_load",
    "firvane.proxy.routing.large_slices",
    "firvane.proxy.routing.server_list",
    "firvane.core.balancing.greedy_pairing",
    "firvane.core.balancing.slices",
    "firvane.core.balancing.window",
    "firvane.proxy.limits.memory_account",
    "firvane.proxy.limits.descriptors",
    "firvane.proxy.limits.admission_gate",
    "firvane.proxy.limits.loop_budget",
    "firvane.proxy.slice_table",
    "firvane.proxy.server_selection",
    "firvane.proxy.balancer",
    "firvane.core.engine_protocols",
    "firvane.core.flows",
    "firvane.core.engine",
    "firvane.core.net.http_message",
    "firvane.core.net.request_scan",
    "firvane.core.net.http_reader",
    "firvane.core.net.http_writer",
    "firvane.core.net.upstream_exchange",
    "firvane.proxy.net.upstream_pool",
    "firvane.proxy.net.managed_connection",
    "firvane.proxy.net.client_context",
    "firvane.proxy.net.client_responses",
    "firvane.proxy.net.client_connection",
    "firvane.proxy.net.connection_limiter",
)
ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
RECIPE = ("requirements-build.txt", "tools/build_native.py", "tools/compile_native.py")
GROUP = "firvane_native"  # the library that holds the code of all of them is GROUP__mypyc
SWITCH = "FIRVANE_NATIVE"  # 0 in the environment: as it is, interpreted
SUFFIX = EXTENSION_SUFFIXES[0]


class Native(NamedTuple):
    """Whether compiled modules are in use, and why (where they are: which)."""

    on: bool
    why: str


def source(module: str, root: str = ROOT) -> str:
    """The path of a module's source."""
    return os.path.join(root, *module.split(".")) + ".py"


def digest(root: str = ROOT) -> str:
    """What names the compiled form of the sources as they are now; `OSError` where one cannot be read."""
    known = hashlib.blake2b(f"{sys.version} {SUFFIX}".encode(), digest_size=10)
    for path in (*(os.path.join(root, name) for name in RECIPE), *(source(name, root) for name in MODULES)):
        with open(path, "rb") as file:
            content = file.read()
        known.update(b"%d " % len(content))
        known.update(content)
    return known.hexdigest()


def place(root: str = ROOT) -> str:
    """Where compiled modules lie, a folder for each digest."""
    return os.path.join(root, ".native")


class Finder:
    """Finds the compiled modules before the interpreted ones; a finder of `sys.meta_path`."""

    def __init__(self, folder: str) -> None:
        names = (*MODULES, f"{GROUP}__mypyc")
        self.files = {name: os.path.join(folder, *name.split(".")) + SUFFIX for name in names}

    def find_spec(
        self, name: str, path: Sequence[str] | None, target: ModuleType | None = None
    ) -> ModuleSpec | None:
        if file := self.files.get(name):
            return ModuleSpec(name, ExtensionFileLoader(name, file), origin=file)
        return None


_state = Native(False, "never asked for")


def state() -> Native:
    """What `activate` has come to in this process."""
    return _state


def activate(environment: Mapping[str, str] = os.environ, root: str = ROOT) -> Native:
    """Use the compiled modules from now on, where there are such for the sources as they are now.

    To be called before any of them is imported. Never fails: what keeps them out is in `why`.
    """
    global _state
    if not _state.on:
        _state = _activated(environment, root)
    return _state


def _activated(environment: Mapping[str, str], root: str) -> Native:
    if environment.get(SWITCH) == "0":
        return Native(False, f"{SWITCH}=0")
    if early := [name for name in MODULES if name in sys.modules]:
        return Native(False, f"{early[0]} was imported before")
    if not os.path.isdir(place(root)):
        return Native(False, "nothing is compiled")
    try:
        folder = os.path.join(place(root), digest(root))
        if not os.path.isdir(folder):
            return Native(False, "the sources are not those that were compiled")
        finder = Finder(folder)
        sys.meta_path.insert(0, finder)
        try:
            __import__(f"{GROUP}__mypyc")  # what cannot be loaded shows here, before any module is half in
        except BaseException:
            sys.meta_path.remove(finder)
            raise
    except (ImportError, OSError) as error:
        return Native(False, str(error))
    return Native(True, os.path.basename(folder))

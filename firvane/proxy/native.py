"""Imports compiled modules instead of the interpreted ones, if they were compiled from the same sources.

`tools/build_native.py` compiles `MODULES` into `.native/<digest>/` beside the package (docs/native.md).

Invariants:

1. The digest covers the sources, the Python version, and the recipe (the build scripts and pinned
   requirements). Modules compiled from anything else are not used, so that stale ones never are.
2. The compiled modules are outside the package, so that only a program that calls `activate` uses them.
3. Either all of them are used or none. If they cannot be used, the sources are interpreted, and `state`
   returns the reason.
"""

from __future__ import annotations

import hashlib
import os
import sys
from collections.abc import Mapping, Sequence
from importlib.machinery import EXTENSION_SUFFIXES, ExtensionFileLoader, ModuleSpec
from types import ModuleType
from typing import NamedTuple

# Lower layers first. Only modules that are measurably faster when compiled, see docs/native.md.
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
GROUP = "firvane_native"  # name of the mypyc group; the shared library with the code is GROUP__mypyc
SWITCH = "FIRVANE_NATIVE"  # environment variable; 0 disables the compiled modules
SUFFIX = EXTENSION_SUFFIXES[0]


class Native(NamedTuple):
    """Whether compiled modules are in use, and the reason if not, or else their digest."""

    on: bool
    why: str


def source_path(module: str, root: str = ROOT) -> str:
    """Return the path of a module's source."""
    return os.path.join(root, *module.split(".")) + ".py"


def digest(root: str = ROOT) -> str:
    """Return the digest of the current sources and recipe; raises `OSError` if a file cannot be read."""
    hasher = hashlib.blake2b(f"{sys.version} {SUFFIX}".encode(), digest_size=10)
    for path in (
        *(os.path.join(root, name) for name in RECIPE),
        *(source_path(name, root) for name in MODULES),
    ):
        with open(path, "rb") as file:
            content = file.read()
        hasher.update(b"%d " % len(content))
        hasher.update(content)
    return hasher.hexdigest()


def compiled_folder(root: str = ROOT) -> str:
    """Return the folder of compiled modules, which has a subfolder for each digest."""
    return os.path.join(root, ".native")


class Finder:
    """A finder for `sys.meta_path` that finds the compiled modules."""

    def __init__(self, folder: str) -> None:
        names = (*MODULES, f"{GROUP}__mypyc")
        self.files = {name: os.path.join(folder, *name.split(".")) + SUFFIX for name in names}

    def find_spec(
        self, name: str, path: Sequence[str] | None, target: ModuleType | None = None
    ) -> ModuleSpec | None:
        if file := self.files.get(name):
            return ModuleSpec(name, ExtensionFileLoader(name, file), origin=file)
        return None


_state = Native(False, "activate was not called")


def state() -> Native:
    """Return the outcome of `activate` in this process."""
    return _state


def activate(environment: Mapping[str, str] = os.environ, root: str = ROOT) -> Native:
    """Use the compiled modules from now on, if there are any for the current sources.

    Must be called before any of them is imported. Never raises: the reason of a failure is in `why`.
    """
    global _state
    if not _state.on:
        _state = _try_activate(environment, root)
    return _state


def _try_activate(environment: Mapping[str, str], root: str) -> Native:
    if environment.get(SWITCH) == "0":
        return Native(False, f"{SWITCH}=0")
    if early := [name for name in MODULES if name in sys.modules]:
        return Native(False, f"{early[0]} was imported before")
    if not os.path.isdir(compiled_folder(root)):
        return Native(False, "nothing is compiled")
    try:
        folder = os.path.join(compiled_folder(root), digest(root))
        if not os.path.isdir(folder):
            return Native(False, "the sources are not those that were compiled")
        finder = Finder(folder)
        sys.meta_path.insert(0, finder)
        try:
            __import__(f"{GROUP}__mypyc")  # fails here, before any module is imported, if it cannot be loaded
        except BaseException:
            sys.meta_path.remove(finder)
            raise
    except (ImportError, OSError) as error:
        return Native(False, str(error))
    return Native(True, os.path.basename(folder))

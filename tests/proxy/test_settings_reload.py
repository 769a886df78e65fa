"""Other settings while the proxy serves: who keeps which number, and that a useless file changes nothing."""

from __future__ import annotations

import asyncio
import json
from dataclasses import replace
from functools import partial
from pathlib import Path
from typing import Any

import pytest

from firvane.core import interface as api
from firvane.core.logs import QUIET
from firvane.core.net.http_message import HttpError, Message
from firvane.proxy.config.platform import read_config
from firvane.proxy.proxy import Proxy
from firvane.proxy.settings_reload import merged, retired
from tests.helpers import settings
from tests.proxy.net.helpers import PAY, READ, run
from tests.proxy.test_program import config


def test_a_number_stands_for_one_class_as_long_as_the_process_lives() -> None:
    # Guards against an open flow that is suddenly held to another class's rules.
    first = settings(classes=(READ, PAY))
    changed = replace(READ, deadline=1.0)
    second, now = merged(first, (0, 1), settings(classes=(changed,)))
    assert second.classes == (READ, PAY, changed) and now == (2,)
    third, now = merged(second, now, settings(classes=(PAY, changed)))  # dropped, and there again
    assert third.classes == (READ, PAY, changed, PAY) and now == (3, 2)
    assert [cls.value for cls in retired(third, now).classes] == [0.0, 0.0, 1.0, 1.0]
    assert retired(third, now).classes[:2] == (replace(READ, value=0.0), replace(PAY, value=0.0))


def test_tenants_keep_their_numbers_and_the_place_in_the_tier_is_the_same() -> None:
    old = settings(tenants=(api.Tenant("a", 0.5, 9.0), api.Tenant("b")))
    new, _ = merged(
        old, (0,), replace(settings(tenants=(api.Tenant("c"), api.Tenant("b", 0.1))), me=0, proxies=9)
    )
    assert new.tenants == (api.Tenant("a"), api.Tenant("b", 0.1), api.Tenant("c"))
    assert new.proxies == old.proxies


def request(path: bytes, method: bytes) -> Message:
    message = Message()
    message.method, message.url = method, path
    message.fields = {b"x-call-id": b"1", b"x-budget-ms": b"500", b"x-caller": b"t1"}
    return message


class Files:
    """A proxy whose configuration is written anew."""

    def __init__(self, folder: Path) -> None:
        self.environment = config(folder)
        self.path = Path(self.environment["NODE_CONFIG"])
        self.data = json.loads(self.path.read_text())
        self.proxy = Proxy(
            asyncio.get_running_loop(), replace(read_config(self.environment), discovery=None), log=QUIET
        )
        self.start = self.proxy.engine.settings

    def write(self, text: str) -> None:
        self.path.write_text(text)
        self.proxy.reload(partial(read_config, self.environment, again=True))

    def settings(self, **changes: Any) -> str:
        return json.dumps({**self.data, "settings": {**self.data["settings"], **changes}})


def test_a_class_is_added_and_another_dropped_while_both_are_asked_for(tmp_path: Path) -> None:
    # Guards the swap: new requests by the new classes, and for a while those of before as they were.
    async def work() -> None:
        files = Files(tmp_path)
        limiter, old = files.proxy.limiter, files.data["settings"]["classes"]
        first = old[0]["name"].encode()
        safe = b"GET" if files.start.classes[0].idempotency is api.Idempotency.SAFE else b"POST"
        files.write(files.settings(classes=[{**old[0], "name": "fresh"}, *old[1:]]))
        assert files.proxy.reload_counts.taken == 1
        assert files.proxy.config.discovery is None  # where the list comes from waits for the next start
        number = limiter.parse_request(request(b"/fresh/1", safe))[0].class_id
        assert files.proxy.engine.settings.classes[number].name == "fresh"
        assert limiter.parse_request(request(b"/" + first, safe))[0].class_id == 0
        files.proxy._retire_settings(files.proxy.settings_changed_at)
        with pytest.raises(HttpError):
            limiter.parse_request(request(b"/" + first, safe))

    run(work())


def test_a_useless_file_changes_nothing(tmp_path: Path) -> None:
    # Guards against settings half old and half new, from a file cut at any place or short of any key.
    async def work() -> None:
        files = Files(tmp_path)
        proxy, given = files.proxy, files.data["settings"]
        whole = files.settings()
        useless = ["", "{}", "[]", "null", *(whole[:end] for end in range(0, len(whole) - 1, 97))]
        for key in files.data["settings"]:
            short = {name: value for name, value in given.items() if name != key}
            useless.append(json.dumps({**files.data, "settings": short}))
        for part in ("limits", "obligations"):
            for key in given[part]:
                short = {name: value for name, value in given[part].items() if name != key}
                useless.append(files.settings(**{part: short}))
        for key in set.intersection(*map(set, given["classes"])):
            classes = [{k: v for k, v in given["classes"][0].items() if k != key}, *given["classes"][1:]]
            useless.append(files.settings(classes=classes))
        for bad in (0, -1, "1", None, float("nan"), True):
            useless.append(files.settings(limits={**given["limits"], "send-cap": bad}))
            useless.append(files.settings(classes=[{**given["classes"][0], "give-up-ns": bad}]))
        for text in useless:
            files.write(text)
        assert (proxy.reload_counts.taken, proxy.reload_counts.errors) == (0, len(useless))
        assert proxy.engine.settings is files.start and proxy.limiter.settings is files.start
        files.write(whole)
        assert proxy.reload_counts.taken == 1

    run(work())

"""Reload of settings in a running proxy: classes keep their indices, and an invalid file changes nothing."""

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
from firvane.proxy.settings_reload import merge_settings, retire_classes
from tests.helpers import settings
from tests.proxy.net.helpers import PAY, READ, run
from tests.proxy.test_program import config


def test_a_class_keeps_its_index_for_the_lifetime_of_the_process() -> None:
    # Guards against an open flow that is suddenly decided by the settings of another class.
    first = settings(classes=(READ, PAY))
    changed = replace(READ, deadline=1.0)
    second, now = merge_settings(first, (0, 1), settings(classes=(changed,)))
    assert second.classes == (READ, PAY, changed) and now == (2,)
    third, now = merge_settings(second, now, settings(classes=(PAY, changed)))  # removed, then added again
    assert third.classes == (READ, PAY, changed, PAY) and now == (3, 2)
    assert [cls.value for cls in retire_classes(third, now).classes] == [0.0, 0.0, 1.0, 1.0]
    assert retire_classes(third, now).classes[:2] == (replace(READ, value=0.0), replace(PAY, value=0.0))


def test_tenants_keep_their_indices_and_the_number_of_proxies_does_not_change() -> None:
    old = settings(tenants=(api.Tenant("a", 0.5, 9.0), api.Tenant("b")))
    new, _ = merge_settings(
        old, (0,), replace(settings(tenants=(api.Tenant("c"), api.Tenant("b", 0.1))), me=0, proxies=9)
    )
    assert new.tenants == (api.Tenant("a"), api.Tenant("b", 0.1), api.Tenant("c"))
    assert new.proxies == old.proxies


def request(path: bytes, method: bytes) -> Message:
    message = Message()
    message.method, message.url = method, path
    message.fields = {b"x-call-id": b"1", b"x-budget-ms": b"500", b"x-caller": b"t1"}
    return message


class ReloadedProxy:
    """A proxy, and its configuration file, which the test rewrites."""

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


def test_requests_name_added_classes_and_for_a_while_removed_ones(tmp_path: Path) -> None:
    # After a reload, requests name the new classes, and for a while also the previous ones, unchanged.
    async def work() -> None:
        reloaded = ReloadedProxy(tmp_path)
        limiter, old = reloaded.proxy.limiter, reloaded.data["settings"]["classes"]
        first = old[0]["name"].encode()
        safe = b"GET" if reloaded.start.classes[0].idempotency is api.Idempotency.SAFE else b"POST"
        reloaded.write(reloaded.settings(classes=[{**old[0], "name": "fresh"}, *old[1:]]))
        assert reloaded.proxy.reload_counts.taken == 1
        assert reloaded.proxy.config.discovery is None  # the kind of discovery changes at the next start only
        number = limiter.parse_request(request(b"/fresh/1", safe))[0].class_id
        assert reloaded.proxy.engine.settings.classes[number].name == "fresh"
        assert limiter.parse_request(request(b"/" + first, safe))[0].class_id == 0
        reloaded.proxy._retire_settings(reloaded.proxy.settings_changed_at)
        with pytest.raises(HttpError):
            limiter.parse_request(request(b"/" + first, safe))

    run(work())


def test_an_invalid_file_changes_nothing(tmp_path: Path) -> None:
    # Guards against partly applied settings from a file that is truncated or lacks a key.
    async def work() -> None:
        reloaded = ReloadedProxy(tmp_path)
        proxy, settings_data = reloaded.proxy, reloaded.data["settings"]
        whole = reloaded.settings()
        invalid = ["", "{}", "[]", "null", *(whole[:end] for end in range(0, len(whole) - 1, 97))]
        for key in reloaded.data["settings"]:
            short = {name: value for name, value in settings_data.items() if name != key}
            invalid.append(json.dumps({**reloaded.data, "settings": short}))
        for part in ("limits", "obligations"):
            for key in settings_data[part]:
                short = {name: value for name, value in settings_data[part].items() if name != key}
                invalid.append(reloaded.settings(**{part: short}))
        for key in set.intersection(*map(set, settings_data["classes"])):
            classes = [
                {k: v for k, v in settings_data["classes"][0].items() if k != key},
                *settings_data["classes"][1:],
            ]
            invalid.append(reloaded.settings(classes=classes))
        for bad in (0, -1, "1", None, float("nan"), True):
            invalid.append(reloaded.settings(limits={**settings_data["limits"], "send-cap": bad}))
            invalid.append(reloaded.settings(classes=[{**settings_data["classes"][0], "give-up-ns": bad}]))
        for text in invalid:
            reloaded.write(text)
        assert (proxy.reload_counts.taken, proxy.reload_counts.errors) == (0, len(invalid))
        assert proxy.engine.settings is reloaded.start and proxy.limiter.settings is reloaded.start
        reloaded.write(whole)
        assert proxy.reload_counts.taken == 1

    run(work())

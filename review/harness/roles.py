"""The platform's list and the operator."""

from __future__ import annotations

import asyncio
import json
import time
from collections.abc import Callable
from urllib.parse import urlsplit

from harness.http1 import Address, Message, Server, call, encode

CALL_TIMEOUT_S = 1.0
MAX_REDIRECTS = 2
FIRST_PAUSE_S, LONGEST_PAUSE_S = 0.05, 0.8
OK, REDIRECT, SERVER_ERROR = 200, 307, 500
MOVE_ON = (408, 429)
SERVICE = "sarathi-llm"
Document = dict[str, object]


class Platform:
    """Serves the list of backends, `lag_s` late."""

    def __init__(self, address: Address, lag_s: float = 0.8) -> None:
        self._server = Server(address, self._answer)
        self._lag_s = lag_s
        self._current: dict[str, Document] = {}
        self._history: list[tuple[float, list[Document]]] = []

    async def start(self) -> None:
        """Listen."""
        await self._server.start()

    def close(self) -> None:
        """End."""
        self._server.close()

    def put(self, identity: str, address: Address, zone: str, state: str = "ready") -> None:
        """Add or change a backend."""
        self._current[identity] = {
            "id": identity,
            "service": SERVICE,
            "address": f"{address[0]}:{address[1]}",
            "zone": zone,
            "config_version": "v1",
            "slots": 64,
            "state": state,
            "cold_remaining_ms": 0,
            "stage": "both",
            "models": [{"name": "m", "config_version": 1, "adapters": []}],
        }
        self._history.append((time.monotonic(), list(self._current.values())))

    async def _answer(self, request: Message, writer: asyncio.StreamWriter) -> bool:
        until = time.monotonic() - self._lag_s
        shown = next((listed for at, listed in reversed(self._history) if at <= until), [])
        body = json.dumps({"instances": shown, "next_token": None}).encode()
        writer.write(encode("HTTP/1.1 200 OK", {"Content-Type": "application/json"}, body))
        return True


def route(name: str, prefix: str, kind: str, **changed: object) -> Document:
    """One route of the small deployment."""
    return {
        "name": name,
        "host": "dispatch.example",
        "path_prefix": prefix,
        "kind": kind,
        "timeout_ms": 5000,
        "target_latency_ms": 400,
        "priority": 0,
        "service": SERVICE,
        "max_attempts": 2,
        "session_affinity": False,
        "stream_resume": False,
        "gap_aim_ms": 200,
        **changed,
    }


def configuration(version: int, routes: list[Document], **limits: int) -> Document:
    """A whole configuration."""
    service = {"name": SERVICE, "health_path": "/health", "connection_limit": 370, "protocol": "h1"}
    return {
        "config_version": version,
        "routes": routes,
        "services": [{**service, "tls": False}],
        "limits": {
            "max_header_bytes": 16_384,
            "max_body_bytes": 4_194_304,
            "header_timeout_ms": 3000,
            "idle_timeout_ms": 15_000,
            **limits,
        },
    }


class Operator:
    """Calls the controllers as the pages say; `note` gets a line where a controller's answer changes."""

    def __init__(self, controls: list[Address], note: Callable[[str], None]) -> None:
        self._controls, self._note = controls, note
        self._told: dict[Address, str] = {}

    async def replace(self, document: Document, base: int, until: float) -> float | None:
        """Send an order until it is acknowledged; returns when, None where it is not by `until`."""
        body = json.dumps(document).encode()
        headers = {"X-Base-Version": str(base), "Content-Type": "application/json"}
        return await self._send("POST", "/v1/config/replace", headers, body, until)

    async def _send(
        self, method: str, path: str, headers: dict[str, str], body: bytes, until: float
    ) -> float | None:
        position, pause = 0, FIRST_PAUSE_S
        while time.monotonic() < until:
            address = self._controls[position % len(self._controls)]
            answer = await self._try(address, method, path, headers, body)
            if answer is not None and answer.status == OK:
                return time.monotonic()
            if answer is not None and answer.status < SERVER_ERROR and answer.status not in MOVE_ON:
                return None
            position += 1
            await asyncio.sleep(pause)
            pause = min(2 * pause, LONGEST_PAUSE_S)
        return None

    async def _try(
        self, address: Address, method: str, path: str, headers: dict[str, str], body: bytes
    ) -> Message | None:
        for _ in range(MAX_REDIRECTS + 1):
            try:
                answer = await call(address, method, path, headers, body, CALL_TIMEOUT_S)
            except (OSError, TimeoutError) as error:
                self._say(address, f"{method} {path}: no answer ({type(error).__name__})")
                return None
            self._say(address, f"{method} {path}: {answer.status} {answer.body[:120]!r}")
            if answer.status != REDIRECT:
                return answer
            location = urlsplit(answer.headers.get("location", ""))
            address = (location.hostname or "", location.port or 0)
        return None

    def _say(self, address: Address, line: str) -> None:
        if self._told.get(address) != line:
            self._told[address] = line
            self._note(f"{address[0]} {line}")

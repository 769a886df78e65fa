"""Fake controllers on loopback with fixed answers, and builders of reports."""

from __future__ import annotations

import contextlib
import threading
from collections.abc import Iterator
from dataclasses import dataclass, field
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer

import msgspec

from firvane.fleet.cluster.reports import (
    MemberReport,
    MembersResponse,
    PartReport,
    PartsResponse,
    ReplicaReport,
)
from firvane.fleet.configuration.codes import ResultCode

HOST = "127.0.0.1"


@dataclass(frozen=True)
class FixedAnswer:
    """A fixed answer to a request."""

    status: int
    body: bytes = b""
    location: str = ""


@dataclass
class FakeController:
    """The answers of a fake controller by path, and the requests that it has received."""

    address: str = ""
    answers: dict[str, FixedAnswer] = field(default_factory=dict)
    received: list[tuple[str, str, bytes]] = field(default_factory=list)

    @property
    def internal(self) -> str:
        """The internal address in reports."""
        return f"10.0.0.9:{self.address.rpartition(':')[2]}"

    def set_members(self, version: int, *members: MemberReport) -> None:
        answer = MembersResponse(**head(version, self.internal), members=list(members))
        self.answers["/v1/fleet/members"] = FixedAnswer(200, msgspec.json.encode(answer))

    def set_parts(self, *parts: PartReport) -> None:
        answer = PartsResponse(**head(7, self.internal), parts=list(parts))
        self.answers["/v1/fleet/parts"] = FixedAnswer(200, msgspec.json.encode(answer))


def head(version: int, asked: str) -> dict[str, object]:
    code = ResultCode.FLEET_STATE
    return {"code": code.value, "result": code.name.lower(), "config_version": version, "asked": asked}


@contextlib.contextmanager
def running() -> Iterator[FakeController]:
    """Run a fake controller on a free port."""
    controller = FakeController()

    class Handler(BaseHTTPRequestHandler):
        def do_GET(self) -> None:
            length = int(self.headers.get("Content-Length") or 0)
            controller.received.append((self.command, self.path, self.rfile.read(length)))
            answer = controller.answers.get(self.path, FixedAnswer(404))
            self.send_response(answer.status)
            if answer.location:
                self.send_header("Location", answer.location)
            self.send_header("Content-Length", str(len(answer.body)))
            self.end_headers()
            self.wfile.write(answer.body)

        do_POST = do_GET  # noqa: N815

        def log_message(self, *_: object) -> None: ...

    with ThreadingHTTPServer((HOST, 0), Handler) as server:
        controller.address = f"{HOST}:{server.server_port}"
        thread = threading.Thread(target=server.serve_forever, args=(0.01,))
        thread.start()
        try:
            yield controller
        finally:
            server.shutdown()
            thread.join()


def member(
    address: str,
    version: int | None = None,
    *,
    role: str = "router",
    state: str = "alive",
    control: str | None = None,
    age: float | None = 0.5,
    incarnation: int = 1,
) -> MemberReport:
    return MemberReport(
        address=address,
        role=role,
        zone="east",
        state=state,
        state_age_s=65.04,
        incarnation=f"{incarnation:016x}",
        control=control,
        config_version=version,
        report_age_s=age if version is not None else None,
    )


def part(
    number: int, *, owned: bool, owner: str | None, control: str | None = None, term: int = 4
) -> PartReport:
    return PartReport(
        part=number,
        role="leader" if owned else "follower",
        owned=owned,
        owner=owner,
        owner_control=control,
        term=term,
        last_index=40,
        commit_index=39,
        applied_index=38,
        applied_version=7,
        replicas=[
            ReplicaReport("10.0.0.1:7300", "000000000000000b", "voter", 40, 0 if owned else None, 0.0, []),
            ReplicaReport("10.0.0.2:7300", "000000000000000c", "learner", 30, 10, 2.04, ["disk", "leaving"]),
        ],
    )

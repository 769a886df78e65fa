"""Endpoints on real sockets of loopback addresses; tests wait for events, not for fixed times."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Awaitable, Callable
from typing import Any

import pytest

from firvane.core import logs
from firvane.core.address import Address
from firvane.fleet.transport import endpoint as endpoint_module
from firvane.fleet.transport.endpoint import MAX_DATAGRAM_PAYLOAD_BYTES, Endpoint
from firvane.fleet.transport.frames import Frame, encode_frame, encode_header

TIMEOUT = 5.0
LARGE = bytes(range(256)) * 400


def free_port() -> int:
    with socket.socket() as sock:
        sock.bind(("127.0.0.1", 0))
        return int(sock.getsockname()[1])


class Peer:
    """An endpoint, the payloads it received, and the lines it logged."""

    def __init__(self, address: Address) -> None:
        self.address = address
        self.received: list[tuple[Address, int, bytes]] = []
        self.lines: list[str] = []
        self.changed = asyncio.Event()
        log = logs.make(level="debug", write=self._log)
        self.endpoint = Endpoint(asyncio.get_running_loop(), address, log, self._on_payload)

    def _log(self, line: str) -> None:
        self.lines.append(line)
        self.changed.set()

    def _on_payload(self, sender: Address, channel: int, payload: bytes) -> None:
        self.received.append((sender, channel, payload))
        self.changed.set()

    async def until(self, condition: Callable[[], Any]) -> None:
        async with asyncio.timeout(TIMEOUT):
            while not condition():
                self.changed.clear()
                await self.changed.wait()

    def logged(self, event: str) -> list[str]:
        return [line for line in self.lines if f"event=transport_{event} " in line]


def run_scenario(scenario: Callable[[Peer, Peer], Awaitable[None]]) -> None:
    async def run() -> None:
        port = free_port()
        first, second = Peer(("127.0.0.1", port)), Peer(("127.0.0.2", port))
        try:
            await first.endpoint.start()
            await second.endpoint.start()
            await scenario(first, second)
        finally:
            first.endpoint.close()
            second.endpoint.close()

    asyncio.run(run())


def test_payloads_up_to_the_datagram_limit_and_above_it_are_delivered() -> None:
    async def scenario(first: Peer, second: Peer) -> None:
        sizes = (0, MAX_DATAGRAM_PAYLOAD_BYTES, MAX_DATAGRAM_PAYLOAD_BYTES + 1, 1_000_000)
        for size in sizes:
            first.endpoint.send(second.address, 7, b"x" * size)
        await second.until(lambda: len(second.received) == len(sizes))
        assert sorted(len(payload) for _, _, payload in second.received) == sorted(sizes)
        assert {(sender, channel) for sender, channel, _ in second.received} == {(first.address, 7)}

    run_scenario(scenario)


def test_a_link_is_used_in_both_directions() -> None:
    async def scenario(first: Peer, second: Peer) -> None:
        first.endpoint.send(second.address, 1, LARGE)
        await second.until(lambda: second.received)
        second.endpoint.send(first.address, 2, LARGE)
        await first.until(lambda: first.received)
        assert first.endpoint.link_count == second.endpoint.link_count == 1

    run_scenario(scenario)


def test_an_idle_link_is_closed_and_reopened_on_demand() -> None:
    async def scenario(first: Peer, second: Peer) -> None:
        first.endpoint.send(second.address, 1, LARGE)
        await second.until(lambda: second.received)
        first.endpoint.sweep(idle_since=asyncio.get_running_loop().time() + 1)
        await second.until(lambda: second.logged("link_closed"))
        assert second.endpoint.link_count == 0
        first.endpoint.send(second.address, 1, LARGE)
        await second.until(lambda: len(second.received) == 2)

    run_scenario(scenario)


def test_corrupt_bytes_close_the_link_and_log_one_line() -> None:
    async def scenario(first: Peer, second: Peer) -> None:
        reader, writer = await asyncio.open_connection(*first.address)
        writer.write(encode_frame(Frame(second.address, 3, b"good")) + b"GET / HTTP/1.1\r\n\r\n")
        async with asyncio.timeout(TIMEOUT):
            assert await reader.read() == b""
        writer.close()
        await first.until(lambda: first.logged("link_closed"))
        assert len(first.logged("link_closed")) == 1
        assert "magic is wrong" in first.logged("link_closed")[0]
        assert first.endpoint.incomplete_bytes == 0

    run_scenario(scenario)


def test_frames_received_before_corrupt_bytes_are_delivered() -> None:
    async def scenario(first: Peer, second: Peer) -> None:
        _, writer = await asyncio.open_connection(*first.address)
        writer.write(encode_frame(Frame(second.address, 3, b"good")))
        await first.until(lambda: first.received)
        writer.write(b"\0" * 100)
        await first.until(lambda: first.logged("link_closed"))
        assert first.received == [(second.address, 3, b"good")]
        writer.close()

    run_scenario(scenario)


def test_the_incomplete_frames_of_all_links_are_bounded(monkeypatch: Any) -> None:
    monkeypatch.setattr(endpoint_module, "MAX_INCOMPLETE_BYTES", 10_000)

    async def scenario(first: Peer, second: Peer) -> None:
        _, writer = await asyncio.open_connection(*first.address)
        writer.write(encode_header(second.address, 1, 8_000_000) + b"x" * 20_000)
        await first.until(lambda: first.logged("link_closed"))
        assert "too many bytes" in first.logged("link_closed")[0]
        assert first.endpoint.incomplete_bytes == 0
        writer.close()

    run_scenario(scenario)


def test_damaged_datagrams_are_dropped_and_logged_with_decreasing_frequency() -> None:
    async def scenario(first: Peer, second: Peer) -> None:
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sock:
            for _ in range(10):
                sock.sendto(b"nonsense", first.address)
            sock.sendto(encode_frame(Frame(second.address, 1, b"good")), first.address)
        await first.until(lambda: first.received)
        assert len(first.logged("datagram_damaged")) == 4  # the first, second, fourth and eighth

    run_scenario(scenario)


def test_an_unreachable_peer_is_logged_once_and_not_contacted_during_the_backoff() -> None:
    async def scenario(first: Peer, second: Peer) -> None:
        unreachable = ("127.0.0.3", second.address[1])
        first.endpoint.send(unreachable, 1, LARGE)
        await first.until(lambda: first.logged("connect_failed"))
        for _ in range(100):
            first.endpoint.send(unreachable, 1, LARGE)
            first.endpoint.send(unreachable, 1, b"small")
        assert first.endpoint.connecting_count == 0
        assert len(first.logged("connect_failed")) == 1

    run_scenario(scenario)


def test_a_message_from_a_peer_ends_the_backoff() -> None:
    async def scenario(first: Peer, second: Peer) -> None:
        second.endpoint.close()
        first.endpoint.send(second.address, 1, LARGE)
        await first.until(lambda: first.logged("connect_failed"))
        restarted = Peer(second.address)
        await restarted.endpoint.start()  # immediately, on the same port
        restarted.endpoint.send(first.address, 1, b"back")
        await first.until(lambda: first.received)
        first.endpoint.send(second.address, 1, LARGE)
        await restarted.until(lambda: restarted.received)
        restarted.endpoint.close()

    run_scenario(scenario)


def test_a_failed_start_can_be_retried() -> None:
    async def scenario(first: Peer, second: Peer) -> None:
        third = Peer(("127.0.0.3", first.address[1]))
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as blocker:
            blocker.bind(third.address)
            with pytest.raises(OSError):
                await third.endpoint.start()
        await third.endpoint.start()
        third.endpoint.send(first.address, 1, b"here")
        await first.until(lambda: first.received)
        third.endpoint.close()

    run_scenario(scenario)


def test_send_never_raises() -> None:
    async def scenario(first: Peer, second: Peer) -> None:
        for to in (("0.0.0.0", 0), ("127.0.0.9", 0), ("127.0.0.9", 9)):
            first.endpoint.send(to, 1, b"small")
            first.endpoint.send(to, 1, LARGE)
        first.endpoint.send(second.address, 1, b"x" * (9 * 1024 * 1024))
        first.endpoint.send(second.address, 300, b"x")
        assert len(first.logged("frame_not_sent")) == 2
        first.endpoint.close()
        first.endpoint.send(second.address, 1, b"after the end")

    run_scenario(scenario)

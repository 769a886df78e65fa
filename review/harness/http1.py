"""HTTP/1.1 for the stand-ins: messages read from a stream, one call on a connection of its own, a server."""

from __future__ import annotations

import asyncio
import contextlib
import socket
import struct
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field

Address = tuple[str, int]
LINGER_RESET = struct.pack("ii", 1, 0)
END_OF_HEAD = b"\r\n\r\n"
MAX_HEAD_BYTES = 256 * 1024


@dataclass
class Message:
    """A request or a response; header names are in lower case."""

    start: str
    headers: dict[str, str] = field(default_factory=dict)
    body: bytes = b""

    @property
    def status(self) -> int:
        """The status code of a response."""
        return int(self.start.split(" ")[1])

    @property
    def method(self) -> str:
        """The method of a request."""
        return self.start.split(" ")[0]

    @property
    def target(self) -> str:
        """The target of a request."""
        return self.start.split(" ")[1]


async def read_head(reader: asyncio.StreamReader) -> Message | None:
    """Read a start line and headers; None where the connection has ended before them."""
    try:
        head = await reader.readuntil(END_OF_HEAD)
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    start, *lines = head[: -len(END_OF_HEAD)].decode("latin-1").split("\r\n")
    pairs = (line.partition(":") for line in lines)
    return Message(start, {name.strip().lower(): value.strip() for name, _, value in pairs})


async def read_body(reader: asyncio.StreamReader, message: Message) -> None:
    """Read the body that the headers announce; a response without a length lasts until the end."""
    if message.headers.get("transfer-encoding", "").lower() == "chunked":
        while size := int((await reader.readuntil(b"\r\n")).split(b";")[0], 16):
            message.body += await reader.readexactly(size)
            await reader.readexactly(2)
        await reader.readuntil(b"\r\n")
    elif "content-length" in message.headers:
        message.body = await reader.readexactly(int(message.headers["content-length"]))
    elif message.start.startswith("HTTP/"):
        message.body = await reader.read()


def encode(start: str, headers: dict[str, str], body: bytes = b"") -> bytes:
    """Encode a message with a length."""
    lines = [start, *(f"{name}: {value}" for name, value in headers.items())]
    lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join(lines).encode("latin-1") + END_OF_HEAD + body


async def call(
    address: Address, method: str, target: str, headers: dict[str, str], body: bytes, timeout_s: float
) -> Message:
    """One call on a connection of its own; `OSError` where no complete response comes in time."""
    async with asyncio.timeout(timeout_s):
        reader, writer = await asyncio.open_connection(*address, limit=MAX_HEAD_BYTES)
        try:
            host = {"Host": f"{address[0]}:{address[1]}"}
            writer.write(encode(f"{method} {target} HTTP/1.1", {**host, **headers}, body))
            message = await read_head(reader)
            if message is None:
                raise ConnectionError("closed before an answer")
            await read_body(reader, message)
        except asyncio.IncompleteReadError as error:
            raise ConnectionError("cut in the answer") from error
        else:
            return message
        finally:
            writer.transport.abort()


def reset(writer: asyncio.StreamWriter) -> None:
    """End a connection with a reset."""
    sock = writer.get_extra_info("socket")
    with contextlib.suppress(OSError):
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER_RESET)
    writer.transport.abort()


Handler = Callable[[Message, asyncio.StreamWriter], Awaitable[bool]]
"""Answers one complete request; returns whether the connection stays open."""


class Server:
    """Serves one request at a time on each connection."""

    def __init__(self, address: Address, handler: Handler) -> None:
        self.address = address
        self._handler = handler
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()

    async def start(self) -> None:
        """Listen."""
        self._server = await asyncio.start_server(self._serve, *self.address, limit=MAX_HEAD_BYTES)

    def close(self) -> None:
        """End, with all connections."""
        if self._server:
            self._server.close()
        for writer in list(self._writers):
            writer.transport.abort()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._writers.add(writer)
        try:
            while (request := await read_head(reader)) is not None:
                await read_body(reader, request)
                if not await self._handler(request, writer):
                    break
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass  # the last of these at the end of the case
        finally:
            self._writers.discard(writer)
            writer.close()

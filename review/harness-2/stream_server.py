# ruff: noqa: D101, D102, D103
"""A backend as a process of its own: answers each request with an event stream that has no length.

Usage: python3 stream_server.py NAME HOST PORT EVENTS PAUSE_AT

The answer ends with its connection. An event is written in two parts, as one that a kernel has split. With
PAUSE_AT above 0 the server writes the first part of that event of each stream, prints `half REQUEST`, and
waits a second before it writes the rest; it is meant to be killed in that time.
"""

from __future__ import annotations

import asyncio
import sys

from fleet import answer_headers, read_body, read_head, write_response

EVENT_GAP_S = 0.03
PAUSE_S = 1.0


def event(number: int, *, last: bool) -> bytes:
    return f"id: {number}\ndata: piece {number}{' last' if last else ''}\n\n".encode()


class Server:
    def __init__(self, name: str, events: int, pause_at: int) -> None:
        self.name, self.events, self.pause_at = name, events, pause_at

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            request = await read_head(reader)
            await read_body(reader, request)
            if request.headers.get("x-target-instance", self.name) != self.name:
                write_response(writer, 421, b"", answer_headers(request, {"X-Not-Executed": "1"}))
            else:
                await self.stream(request.headers, writer)
            await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        writer.close()

    async def stream(self, headers: dict[str, str], writer: asyncio.StreamWriter) -> None:
        request_id = headers["x-request-id"]
        after = int(headers.get("last-event-id", "0"))
        print(f"run {request_id} after {after}", flush=True)
        head = [
            "HTTP/1.1 200 OK",
            "Content-Type: text/event-stream",
            f"X-Request-Id: {request_id}",
            f"X-Server-Seal: seal-{request_id}",
        ]
        writer.write("\r\n".join(head).encode() + b"\r\n\r\n")
        for number in range(after + 1, self.events + 1):
            data = event(number, last=number == self.events)
            middle = len(data) // 2
            writer.write(data[:middle])
            await writer.drain()
            if number == self.pause_at:
                print(f"half {request_id}", flush=True)
                await asyncio.sleep(PAUSE_S)
            writer.write(data[middle:])
            await writer.drain()
            await asyncio.sleep(EVENT_GAP_S)


async def run() -> None:
    name, host, port, events, pause_at = sys.argv[1:]
    server = await asyncio.start_server(Server(name, int(events), int(pause_at)).serve, host, int(port))
    await server.serve_forever()


if __name__ == "__main__":
    asyncio.run(run())

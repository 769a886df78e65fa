"""Transfer of policy texts in chunks: uploads, and downloads from proxies, some with a wrong text."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from firvane.core.net.dialer import SocketDialer
from firvane.core.net.transport_pool import TransportPool
from firvane.proxy.admin_api import calls
from firvane.proxy.policy_text import MAX_TEXT_BYTES, digest_of
from firvane.proxy.quorum.text_fetch import CHUNK_TIMEOUT_S, TextFetch
from firvane.proxy.quorum.uploads import MAX_UPLOADS, UPLOAD_TIMEOUT_S, UploadError, Uploads
from firvane.simulation.runner.process import Process
from firvane.simulation.runner.virtual import VirtualLoop
from firvane.simulation.runner.virtual_proxy import MemoryDialer
from tests.proxy.net.helpers import run
from tests.simulation.runner.virtual_helpers import Net, Noted, virtual

TEXT = random.Random(1).randbytes(MAX_TEXT_BYTES)
DIGEST = digest_of(TEXT)
Answer = Callable[[int], bytes]


def correct_chunk(offset: int) -> bytes:
    return calls.format_chunk(TEXT, offset)


def corrupted_chunk(offset: int) -> bytes:
    return calls.format_chunk(TEXT[:-1] + bytes((TEXT[-1] ^ 1,)), offset)


class AdminEndpoint(Noted):
    """An admin endpoint that answers requests for one text."""

    def __init__(self, answer: Answer) -> None:
        super().__init__()
        self.answer = answer

    def data_received(self, data: bytes) -> None:
        request = calls.parse_call(data.strip())
        assert isinstance(request.arguments, calls.GetText) and request.arguments.digest == DIGEST
        if answer := self.answer(request.arguments.offset):
            self.transport.write(answer)
            self.transport.write_eof()


# Answers of the first holder, and the maximum delay that it may cause, in seconds.
HOLDERS: dict[str, tuple[Answer | None, float]] = {
    "gone": (None, 0.1),
    "silent": (lambda offset: b"", CHUNK_TIMEOUT_S + 0.1),
    "has none": (lambda offset: calls.format_error("its text is not here"), 0.1),
    "has another": (corrupted_chunk, 1.0),
    "goes on and on": (lambda offset: b"x" * 100_000, 0.1),
    "changes its length": (
        lambda offset: calls.format_chunk(TEXT[: MAX_TEXT_BYTES - offset // 2], offset),
        0.2,
    ),
    "drips": (lambda offset: calls.format_ok(f"{len(TEXT)} AAAA"), 1.0),
    "dies half way": (
        lambda offset: calls.format_chunk(TEXT, offset) if offset < 20_000 else b"",
        CHUNK_TIMEOUT_S + 0.3,
    ),
}


@pytest.mark.parametrize("first", HOLDERS)
@virtual
async def test_faulty_holder_is_skipped(loop: VirtualLoop, net: Net, first: str) -> None:
    answer, max_delay_s = HOLDERS[first]
    for host, answers in (("10.0.0.1", answer), ("10.0.1.1", correct_chunk)):
        if answers:
            Process(loop, host, host).call(
                loop.memory.listen, (host, 9100), lambda answers=answers: AdminEndpoint(answers)
            )
    results: list[tuple[bytes | None, str]] = []
    doors = [("10.0.0.1", 9100), ("10.0.1.1", 9100)]

    def start(holders: tuple[int, ...]) -> TextFetch:
        dialer = MemoryDialer(loop.memory, "10.0.2.1")
        return TextFetch(loop, dialer, doors, DIGEST, holders, lambda *result: results.append(result))

    started_at = loop.time()
    fetch = start((0,))
    fetch.add_holders((0, 1, 7))  # duplicates and unknown proxies are ignored
    await asyncio.sleep(max_delay_s + 0.5)
    assert results == [(TEXT, "")] and loop.time() - started_at < max_delay_s + 0.6
    start((0,))
    await asyncio.sleep(max_delay_s + 0.5)
    assert results[1:] and results[1][0] is None and results[1][1].startswith("proxy 0: ")
    start((0, 1)).close()
    await asyncio.sleep(max_delay_s + 0.5)
    assert len(results) == 2


def test_missing_digest_check_is_detected(monkeypatch: pytest.MonkeyPatch) -> None:
    # Mutant: every text matches its digest. The test above detects it in the case "has another".
    monkeypatch.setattr("firvane.proxy.quorum.uploads.digest_of", lambda text: DIGEST)
    with pytest.raises(AssertionError):
        test_faulty_holder_is_skipped("has another")


def test_download_over_sockets() -> None:
    async def work() -> None:
        loop = asyncio.get_running_loop()

        class SocketEndpoint(AdminEndpoint):
            def note(self, what: object) -> None: ...

        server = await loop.create_server(lambda: SocketEndpoint(correct_chunk), "127.0.0.1", 0)
        transports = TransportPool(loop)
        transports.start()
        result: asyncio.Future[tuple[bytes | None, str]] = loop.create_future()
        doors = [server.sockets[0].getsockname()]
        dialer = SocketDialer(loop, transports)
        TextFetch(loop, dialer, doors, DIGEST, (0,), lambda *outcome: result.set_result(outcome))
        assert await result == (TEXT, "")
        transports.close()
        server.close()

    run(work())


@settings(derandomize=True, max_examples=50, deadline=None)
@given(st.integers(1, 600), st.integers(0, 1 << 32))
def test_pieces_in_any_order_make_the_text_or_nothing(length: int, seed: int) -> None:
    dice = random.Random(seed)
    text = dice.randbytes(length)
    uploads, its = Uploads(), digest_of(text)
    held = 0
    while held < len(text):
        offset, size = dice.randrange(length), dice.randint(1, 200)
        piece = text[offset : offset + size]
        if offset > held:
            with pytest.raises(UploadError, match=f"from {held} on"):
                uploads.add_chunk(its, len(text), offset, piece, 0.0)
            offset, piece = held, text[held : held + size]
        held = max(held, offset + len(piece))
        assert uploads.add_chunk(its, len(text), offset, piece, 0.0) is (held == len(text))
    assert uploads.get(its) == text and uploads.add_chunk(its, len(text), 0, b"again", 0.0)


@pytest.mark.parametrize(
    ("length", "offset", "data", "reason"),
    [
        (0, 0, b"x", "1 to"),
        (MAX_TEXT_BYTES + 1, 0, b"x", "1 to"),
        (9, 0, b"", "empty"),
        (9, 8, b"xx", "from 4 on"),
        (9, 4, b"xxxxxx", "beyond"),
        (8, 4, b"x", "9 before"),
        (9, 4, b"xxxxx", "not of that digest"),
    ],
)
def test_invalid_chunk_is_rejected(length: int, offset: int, data: bytes, reason: str) -> None:
    text, uploads = b"some text", Uploads()
    uploads.add_chunk(digest_of(text), 9, 0, text[:4], 0.0)
    with pytest.raises(UploadError, match=reason):
        uploads.add_chunk(digest_of(text), length, offset, data, 0.0)
    assert uploads.get(digest_of(text)) is None
    next_offset = 0 if "digest" in reason else 4
    assert uploads.add_chunk(digest_of(text), 9, next_offset, text[next_offset:], 0.0)


def test_uploads_of_unproposed_texts_are_bounded() -> None:
    uploads, texts = Uploads(), [b"text %d" % n for n in range(3 * MAX_UPLOADS)]
    for text in texts:
        uploads.add_chunk(digest_of(text), len(text), 0, text[:3], 0.0)
    assert len(uploads.in_progress) == MAX_UPLOADS
    for text in texts:
        uploads.add_chunk(digest_of(text), len(text), 0, text, 1.0)
    assert len(uploads.completed) == MAX_UPLOADS and uploads.get(digest_of(texts[-1])) == texts[-1]
    uploads.add_chunk(digest_of(b"late"), 4, 0, b"l", 2.0)
    uploads.expire(1.0 + UPLOAD_TIMEOUT_S)
    assert not uploads.completed and len(uploads.in_progress) == 1
    uploads.expire(2.0 + UPLOAD_TIMEOUT_S)
    assert not uploads.in_progress

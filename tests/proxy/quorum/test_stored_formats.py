"""The bytes of datagrams and of stored files are fixed: proxies and files of other versions stay readable."""

from __future__ import annotations

from pathlib import Path

import pytest

from firvane.core.logs import QUIET
from firvane.proxy.quorum import messages
from firvane.proxy.quorum.messages import (
    Accept,
    Accepted,
    Ask,
    Candidate,
    Decided,
    Here,
    Message,
    Prepare,
    Promise,
    Told,
    Verdict,
    Who,
)
from firvane.proxy.quorum.store import Past, Store
from firvane.proxy.quorum.types import Ballot, Kept, Value

DIGEST = bytes(range(16))
VALUE = Value(7, DIGEST, (0, 2, 5))
BALLOT = Ballot(9, 2, 0xFFFFFFFF)
VOTE = (BALLOT, Value(8, DIGEST[::-1], (0, 2)))
LIVES = ((0, 3), (5, 1))

DATAGRAMS: list[tuple[Message, str]] = [
    (Ask(nonce=4_000_000_000, incarnation=3, deaf=True), "059401ceee6b280003c3"),
    (
        Told(
            nonce=1, age=0.25, votes=True, decided=VALUE, settled=False, ends=1.5, begins=None,
            promised=BALLOT, accepted=VOTE, incarnation=2, lives=LIVES, candidate=(DIGEST, 4),
        ),
        "059d0201cb3fd0000000000000c39307c410000102030405060708090a0b0c0d0e0f93000205c2cb3ff8000000000000c0"
        "930902ceffffffff92930902ceffffffff9308c4100f0e0d0c0b0a09080706050403020100920002029292000392050192"
        "c410000102030405060708090a0b0c0d0e0f04",
    ),
    (
        Prepare(nonce=2, ballot=BALLOT, decided=VALUE),
        "05940302930902ceffffffff9307c410000102030405060708090a0b0c0d0e0f93000205",
    ),
    (
        Promise(
            nonce=2, ballot=BALLOT, yes=True, promised=BALLOT, accepted=VOTE, incarnation=1, lives=LIVES,
            clock=12345.5,
        ),
        "05990402930902ceffffffffc3930902ceffffffff92930902ceffffffff9308c4100f0e0d0c0b0a090807060504030201"
        "009200020192920003920501cb40c81cc000000000",
    ),
    (
        Accept(ballot=BALLOT, value=VALUE, at=77.25),
        "059405930902ceffffffff9307c410000102030405060708090a0b0c0d0e0f93000205cb4053500000000000",
    ),
    (
        Accepted(ballot=BALLOT, yes=False, late=True, incarnation=1, lives=LIVES),
        "059606930902ceffffffffc2c30192920003920501",
    ),
    (
        Decided(ballot=BALLOT, value=VALUE, at=None),
        "059407930902ceffffffff9307c410000102030405060708090a0b0c0d0e0f93000205c0",
    ),
    (Candidate(digest=DIGEST, on=True), "059308c410000102030405060708090a0b0c0d0e0fc3"),
    (Verdict(digest=DIGEST, why="no room"), "059309c410000102030405060708090a0b0c0d0e0fa76e6f20726f6f6d"),
    (Who(nonce=5), "05920a05"),
    (Here(nonce=5, since=9.5, bits=b"\x25"), "05940b05cb4023000000000000c40125"),
]  # fmt: skip

STATE = Kept(3, VALUE, True, BALLOT, VOTE, LIVES)
VOTES = {
    "with an accepted value": (
        STATE,
        "4656505601004a00000000001550cbd496039307c410000102030405060708090a0b0c0d0e0f93000205c3930902ceffff"
        "ffff92930902ceffffffff9308c4100f0e0d0c0b0a0908070605040302010092000292920003920501",
    ),
    "without": (
        STATE._replace(settled=False, accepted=None, met=()),
        "46565056010025000000000049396b2a96039307c410000102030405060708090a0b0c0d0e0f93000205c2930902ceffff"
        "ffffc090",
    ),
}
HISTORY = (
    (Past(VALUE, 1.7e9),),
    "4656504801002300000000002c4f104a91929307c410000102030405060708090a0b0c0d0e0f93000205cb41d954fc40000000",
)


@pytest.mark.parametrize(("message", "encoded"), DATAGRAMS, ids=lambda value: type(value).__name__)
def test_datagrams_keep_their_bytes(message: Message, encoded: str) -> None:
    assert messages.pack(message).hex() == encoded
    assert messages.unpack(bytes.fromhex(encoded)) == message


@pytest.mark.parametrize("name", VOTES)
def test_voter_state_files_keep_their_bytes(name: str, tmp_path: Path) -> None:
    state, stored = VOTES[name]
    store = Store(tmp_path, QUIET, lambda work: work(), aside=lambda work: work())
    store.votes(state, lambda: None, pytest.fail)
    assert (tmp_path / "votes").read_bytes().hex() == stored
    assert store.read().kept == state


def test_history_files_keep_their_bytes(tmp_path: Path) -> None:
    history, stored = HISTORY
    store = Store(tmp_path, QUIET, lambda work: work(), aside=lambda work: work())
    store.history(history)
    assert (tmp_path / "history").read_bytes().hex() == stored
    assert store.read().history == history

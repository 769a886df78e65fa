"""The bytes of datagrams and files are fixed, so that proxies and files of other versions stay compatible."""

from __future__ import annotations

from pathlib import Path

import pytest

from firvane.core.logs import QUIET
from firvane.proxy.quorum import messages
from firvane.proxy.quorum.messages import (
    Accept,
    Accepted,
    ActiveProxiesReply,
    ActiveProxiesRequest,
    CandidateOffer,
    CandidateReply,
    Learn,
    LeaseReply,
    LeaseRequest,
    Message,
    Prepare,
    Promise,
)
from firvane.proxy.quorum.store import HistoryEntry, Store
from firvane.proxy.quorum.types import ProposalNumber, Value, VoterState

DIGEST = bytes(range(16))
VALUE = Value(7, DIGEST, (0, 2, 5))
NUMBER = ProposalNumber(9, 2, 0xFFFFFFFF)
VOTE = (NUMBER, Value(8, DIGEST[::-1], (0, 2)))
INCARNATIONS = ((0, 3), (5, 1))

DATAGRAMS: list[tuple[Message, str]] = [
    (LeaseRequest(nonce=4_000_000_000, incarnation=3, isolated=True), "059401ceee6b280003c3"),
    (
        LeaseReply(
            nonce=1,
            age_s=0.25,
            has_state=True,
            decided=VALUE,
            activated=False,
            previous_end_s=1.5,
            start_s=None,
            promised=NUMBER,
            accepted=VOTE,
            incarnation=2,
            known_incarnations=INCARNATIONS,
            candidate=(DIGEST, 4),
        ),
        "059d0201cb3fd0000000000000c39307c410000102030405060708090a0b0c0d0e0f93000205c2cb3ff8000000000000c0"
        "930902ceffffffff92930902ceffffffff9308c4100f0e0d0c0b0a09080706050403020100920002029292000392050192"
        "c410000102030405060708090a0b0c0d0e0f04",
    ),
    (
        Prepare(nonce=2, number=NUMBER, decided=VALUE),
        "05940302930902ceffffffff9307c410000102030405060708090a0b0c0d0e0f93000205",
    ),
    (
        Promise(
            nonce=2,
            number=NUMBER,
            granted=True,
            promised=NUMBER,
            accepted=VOTE,
            incarnation=1,
            known_incarnations=INCARNATIONS,
            clock_s=12345.5,
        ),
        "05990402930902ceffffffffc3930902ceffffffff92930902ceffffffff9308c4100f0e0d0c0b0a090807060504030201"
        "009200020192920003920501cb40c81cc000000000",
    ),
    (
        Accept(number=NUMBER, value=VALUE, activate_at=77.25),
        "059405930902ceffffffff9307c410000102030405060708090a0b0c0d0e0f93000205cb4053500000000000",
    ),
    (
        Accepted(number=NUMBER, granted=False, too_late=True, incarnation=1, known_incarnations=INCARNATIONS),
        "059606930902ceffffffffc2c30192920003920501",
    ),
    (
        Learn(number=NUMBER, value=VALUE, activate_at=None),
        "059407930902ceffffffff9307c410000102030405060708090a0b0c0d0e0f93000205c0",
    ),
    (CandidateOffer(digest=DIGEST, active=True), "059308c410000102030405060708090a0b0c0d0e0fc3"),
    (
        CandidateReply(digest=DIGEST, reason="no room"),
        "059309c410000102030405060708090a0b0c0d0e0fa76e6f20726f6f6d",
    ),
    (ActiveProxiesRequest(nonce=5), "05920a05"),
    (ActiveProxiesReply(nonce=5, observed_s=9.5, bitmap=b"\x25"), "05940b05cb4023000000000000c40125"),
]

STATE = VoterState(3, VALUE, True, NUMBER, VOTE, INCARNATIONS)
STATES = {
    "with an accepted value": (
        STATE,
        "4656505601004a00000000001550cbd496039307c410000102030405060708090a0b0c0d0e0f93000205c3930902ceffff"
        "ffff92930902ceffffffff9308c4100f0e0d0c0b0a0908070605040302010092000292920003920501",
    ),
    "without": (
        STATE._replace(activated=False, accepted=None, known_incarnations=()),
        "46565056010025000000000049396b2a96039307c410000102030405060708090a0b0c0d0e0f93000205c2930902ceffff"
        "ffffc090",
    ),
}
HISTORY = (
    (HistoryEntry(VALUE, 1.7e9),),
    "4656504801002300000000002c4f104a91929307c410000102030405060708090a0b0c0d0e0f93000205cb41d954fc40000000",
)


@pytest.mark.parametrize(("message", "encoded"), DATAGRAMS, ids=lambda value: type(value).__name__)
def test_datagrams_keep_their_bytes(message: Message, encoded: str) -> None:
    assert messages.encode(message).hex() == encoded
    assert messages.decode(bytes.fromhex(encoded)) == message


@pytest.mark.parametrize("name", STATES)
def test_voter_state_files_keep_their_bytes(name: str, tmp_path: Path) -> None:
    state, stored = STATES[name]
    store = Store(tmp_path, QUIET, lambda work: work(), run_off_loop=lambda work: work())
    store.save_state(state, lambda: None, pytest.fail)
    assert (tmp_path / "votes").read_bytes().hex() == stored
    assert store.load().state == state


def test_history_files_keep_their_bytes(tmp_path: Path) -> None:
    history, stored = HISTORY
    store = Store(tmp_path, QUIET, lambda work: work(), run_off_loop=lambda work: work())
    store.save_history(history)
    assert (tmp_path / "history").read_bytes().hex() == stored
    assert store.load().history == history

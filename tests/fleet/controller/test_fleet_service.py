"""Reports of the fleet to operators, and transfers of leadership."""

from __future__ import annotations

import asyncio
import json
from typing import Any

import msgspec
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from firvane.core.address import Address
from firvane.fleet.cluster.reports import MembersResponse, PartsResponse, ReplicaReport
from firvane.fleet.configuration.codes import ResultCode
from firvane.fleet.controller.configuration_service import Outcome
from firvane.fleet.controller.replication_host import TransferStart
from firvane.fleet.controller.transfer_order import (
    MAX_ORDER_BYTES,
    InvalidTransferOrderError,
    TransferOrder,
    parse_transfer_order,
)
from firvane.fleet.membership.members import Status
from firvane.fleet.membership.view import MAX_MEMBERS
from tests.fleet.controller.fleet_rig import (
    CLOSED_PARTITION,
    OTHER,
    OTHER_PARTITION,
    OWN_PARTITION,
    TERM,
    FleetRig,
    controller,
    known,
)


def transfer_leadership(rig: FleetRig, **order: Any) -> Outcome:
    body = {"part": OWN_PARTITION, "term": TERM} | order
    return asyncio.run(rig.service.transfer_leadership(json.dumps(body).encode()))


def test_members_are_reported_with_role_zone_state_and_version() -> None:
    outcome = FleetRig().service.members()
    assert outcome.code is ResultCode.FLEET_STATE
    assert json.loads(outcome.document) == {
        "code": 1003,
        "result": "fleet_state",
        "config_version": 8,
        "asked": "10.0.0.1:7300",
        "members": [
            {
                "address": "10.0.0.1:7300",
                "role": "controller",
                "zone": "east",
                "state": "alive",
                "state_age_s": 12.346,
                "incarnation": "0000000000000005",
                "control": "10.0.0.1:8262",
                "config_version": 7,
                "report_age_s": 0.25,
            },
            {
                "address": "10.0.0.2:7300",
                "role": "controller",
                "zone": "east",
                "state": "suspect",
                "state_age_s": 12.346,
                "incarnation": "0000000000000005",
                "control": "10.0.0.2:8262",
                "config_version": None,
                "report_age_s": None,
            },
            {
                "address": "10.0.0.9:7300",
                "role": "router",
                "zone": "west",
                "state": "alive",
                "state_age_s": 12.346,
                "incarnation": "8000000000000000",
                "control": None,
                "config_version": 6,
                "report_age_s": 0.25,
            },
        ],
    }


def test_the_newest_version_is_the_applied_or_the_published_one() -> None:
    rig = FleetRig()
    rig.cluster.published = 2
    assert rig.service.members().version == 7


def test_the_report_of_the_largest_fleet_is_bounded() -> None:
    rig = FleetRig()
    rig.cluster.known = [
        known(controller((f"10.1.{number >> 8}.{number & 255}", 65535), 2**64 - 1), Status.SUSPECT, 2**63)
        for number in range(MAX_MEMBERS)
    ]
    document = rig.service.members().document
    assert len(msgspec.json.decode(document, type=MembersResponse).members) == MAX_MEMBERS
    assert len(document) < 1_200_000


def test_partitions_are_reported_with_owner_term_and_lag_of_replicas() -> None:
    outcome = FleetRig().service.partitions()
    answer = msgspec.json.decode(outcome.document, type=PartsResponse)
    own, other, closed = answer.parts
    assert (own.role, own.owned, own.owner, own.owner_control) == (
        "leader",
        True,
        "10.0.0.1:7300",
        "10.0.0.1:8262",
    )
    assert (own.term, own.last_index, own.commit_index, own.applied_index) == (TERM, 40, 39, 38)
    assert (own.applied_version, other.applied_version) == (7, 3)
    assert own.replicas == [
        ReplicaReport("10.0.0.1:7300", "000000000000000b", "voter", 40, 0, 0.0, []),
        ReplicaReport("10.0.0.2:7300", "000000000000000c", "voter", 37, 3, 0.05, ["disk", "leaving"]),
        ReplicaReport("10.0.0.9:7300", "000000000000000d", "learner", 0, 40, 2.0, ["superseded"]),
    ]
    assert (other.role, other.owned, other.owner_control) == ("follower", False, "10.0.0.2:8262")
    assert [(each.synced_index, each.lag) for each in other.replicas] == [(40, None), (None, None)]
    assert (closed.role, closed.owner, closed.replicas) == ("closed", None, [])


@pytest.mark.parametrize(
    ("named", "internal"),
    [(None, None), ("10.0.0.2:7300", OTHER), ("10.0.0.2:8262", OTHER), ("10.0.0.7:1", ("10.0.0.7", 1))],
)
def test_the_owner_transfers_to_the_successor_in_the_order(
    named: str | None, internal: Address | None
) -> None:
    rig = FleetRig()
    outcome = transfer_leadership(rig, successor=named)
    assert outcome.code is ResultCode.HANDED_OVER
    assert rig.groups.transfers == [(OWN_PARTITION, internal)]
    assert json.loads(outcome.document) == {
        "code": 1004,
        "result": "handed_over",
        "config_version": 8,
        "asked": "10.0.0.1:7300",
        "part": OWN_PARTITION,
        "owner": "10.0.0.2:7300",
    }


def test_a_partition_already_owned_by_the_successor_is_not_transferred() -> None:
    rig = FleetRig()
    for named in ("10.0.0.1:7300", "10.0.0.1:8262"):
        assert transfer_leadership(rig, successor=named, term=1).code is ResultCode.HANDED_OVER
    assert rig.groups.transfers == []


@pytest.mark.parametrize("term", [TERM - 1, TERM + 1])
def test_an_order_for_another_term_changes_nothing(term: int) -> None:
    rig = FleetRig()
    outcome = transfer_leadership(rig, term=term)
    assert (outcome.code, outcome.code.http_status) == (ResultCode.OTHER_TERM, 412)
    assert rig.groups.transfers == []


def test_only_the_owner_transfers_a_partition() -> None:
    rig = FleetRig()
    elsewhere = transfer_leadership(rig, part=OTHER_PARTITION)
    assert (elsewhere.code, elsewhere.owner) == (ResultCode.OTHER_PART_OWNER, OTHER)
    assert transfer_leadership(rig, part=CLOSED_PARTITION).code is ResultCode.NO_OWNER
    rig.groups.is_owner = lambda group: False  # type: ignore[method-assign]
    assert transfer_leadership(rig).code is ResultCode.NO_OWNER  # its lease has expired
    assert rig.groups.transfers == []


@pytest.mark.parametrize(
    ("start", "code"),
    [
        (TransferStart.NOT_LEADER, ResultCode.NO_OWNER),
        (TransferStart.IN_PROGRESS, ResultCode.NO_SUCCESSOR),
        (TransferStart.UNKNOWN_VOTER, ResultCode.UNKNOWN_MEMBER),
        (TransferStart.NO_HEALTHY_VOTER, ResultCode.NO_SUCCESSOR),
    ],
)
def test_a_transfer_that_did_not_start_is_answered_with_the_reason(
    start: TransferStart, code: ResultCode
) -> None:
    rig = FleetRig()
    rig.groups.start = start
    outcome = transfer_leadership(rig, successor="10.0.0.2:7300")
    assert outcome.code is code
    assert outcome.problems[0].detail == start.value


def test_a_transfer_without_a_known_new_owner_is_unclear() -> None:
    rig = FleetRig()
    rig.groups.successor = None
    assert transfer_leadership(rig).code is ResultCode.UNCLEAR


@pytest.mark.parametrize(
    ("body", "code", "place"),
    [
        (b"", ResultCode.NOT_JSON, ""),
        (b"{", ResultCode.NOT_JSON, ""),
        (b"\xff\xfe", ResultCode.NOT_JSON, ""),
        (b"[" * 1000, ResultCode.WRONG_TYPE, ""),
        (b"[]", ResultCode.WRONG_TYPE, ""),
        (b"{}", ResultCode.WRONG_TYPE, ""),
        (b'{"part":0}', ResultCode.WRONG_TYPE, ""),
        (b'{"part":"0","term":1}', ResultCode.WRONG_TYPE, ""),
        (b'{"part":0,"term":1.5}', ResultCode.WRONG_TYPE, ""),
        (b'{"part":0,"term":1,"force":true}', ResultCode.WRONG_TYPE, ""),
        (b'{"part":-1,"term":1}', ResultCode.OUT_OF_RANGE, "part"),
        (b'{"part":3,"term":1}', ResultCode.OUT_OF_RANGE, "part"),
        (b'{"part":0,"term":0}', ResultCode.OUT_OF_RANGE, "term"),
        (b'{"part":0,"term":9223372036854775808}', ResultCode.OUT_OF_RANGE, "term"),
        (b'{"part":0,"term":1,"successor":""}', ResultCode.WRONG_TYPE, "successor"),
        (b'{"part":0,"term":1,"successor":"core-2:80"}', ResultCode.WRONG_TYPE, "successor"),
        (b'{"part":0,"term":1}' + b" " * MAX_ORDER_BYTES, ResultCode.OUT_OF_RANGE, ""),
    ],
)
def test_a_malformed_order_is_rejected_with_its_problem(body: bytes, code: ResultCode, place: str) -> None:
    with pytest.raises(InvalidTransferOrderError) as raised:
        parse_transfer_order(body)
    assert (raised.value.problem.code, raised.value.problem.place) == (code, place)
    rig = FleetRig()
    outcome = asyncio.run(rig.service.transfer_leadership(body))
    assert (outcome.code, outcome.problems) == (ResultCode.BAD_ARGUMENT, (raised.value.problem,))
    assert rig.groups.transfers == []


@settings(derandomize=True, deadline=None)
@given(st.one_of(st.binary(max_size=60), st.text(max_size=60).map(str.encode)))
def test_any_bytes_raise_the_same_error(body: bytes) -> None:
    with pytest.raises(InvalidTransferOrderError):
        parse_transfer_order(body)


def test_a_valid_order_is_parsed() -> None:
    body = b'{"part":2,"term":9,"successor":"10.0.0.2:8262"}'
    assert parse_transfer_order(body) == TransferOrder(2, 9, ("10.0.0.2", 8262))
    assert parse_transfer_order(b'{"part":0,"term":1,"successor":null}') == TransferOrder(0, 1, None)

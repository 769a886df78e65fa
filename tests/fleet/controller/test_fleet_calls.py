"""Fleet endpoints of complete controllers on loopback: members, partitions, transfers, lost controllers."""

from __future__ import annotations

import json
from pathlib import Path

import msgspec

from firvane.fleet.cluster.reports import MemberReport, MembersResponse, PartReport, PartsResponse
from firvane.fleet.configuration.codes import ResultCode
from firvane.fleet.partitions import ALL_PARTITIONS
from tests.fleet.controller.test_controller import ControllerCluster, run_cluster, until, until_true

HAND_OVER = "/v1/fleet/hand-over"


async def members(cluster: ControllerCluster, number: int) -> dict[str, MemberReport]:
    status, body = await cluster.call(number, "GET", "/v1/fleet/members")
    assert status == 200
    answer = msgspec.json.decode(body, type=MembersResponse)
    assert answer.asked == answer.members[0].address == f"127.0.0.{number}:{cluster.port}"
    return {each.address.partition(":")[0]: each for each in answer.members}


async def partitions(cluster: ControllerCluster, number: int) -> list[PartReport]:
    status, body = await cluster.call(number, "GET", "/v1/fleet/parts")
    assert status == 200
    return msgspec.json.decode(body, type=PartsResponse).parts


async def until_owned(cluster: ControllerCluster) -> None:
    async def owned() -> bool:
        return all(cluster.owner(partition) for partition in ALL_PARTITIONS)

    await until(owned)


def test_all_controllers_report_the_same_members_and_owners(tmp_path: Path) -> None:
    async def scenario(cluster: ControllerCluster) -> None:
        await cluster.start(1, 2, 3, first=True)
        await cluster.replace(5, 0)
        await until_owned(cluster)

        async def reported() -> bool:
            known = await members(cluster, 1)
            return [known[f"127.0.0.{number}"].config_version for number in (1, 2, 3)] == [5, 5, 5]

        await until(reported)
        for number in (1, 2, 3):
            known = await members(cluster, number)
            assert sorted(known) == ["127.0.0.1", "127.0.0.2", "127.0.0.3"]
            for host, member in known.items():
                assert (member.role, member.zone, member.state) == ("controller", f"zone-{host[-1]}", "alive")
                assert member.control == f"{host}:{cluster.port + 1}"
        for partition in ALL_PARTITIONS:
            owner = cluster.owner(partition)
            views = {number: (await partitions(cluster, number))[partition] for number in (1, 2, 3)}
            assert {view.owner for view in views.values()} == {f"127.0.0.{owner}:{cluster.port}"}
            assert {view.owner_control for view in views.values()} == {f"127.0.0.{owner}:{cluster.port + 1}"}
            assert [number for number, view in views.items() if view.owned] == [owner]
            assert len({view.term for view in views.values()}) == 1
            assert {replica.kind for replica in views[owner or 0].replicas} == {"voter"}
        assert (await partitions(cluster, 1))[0].applied_version == 5

    run_cluster(tmp_path, scenario)


def test_a_partition_is_transferred_to_the_named_controller(tmp_path: Path) -> None:
    async def scenario(cluster: ControllerCluster) -> None:
        await cluster.start(1, 2, 3, first=True)
        await cluster.replace(5, 0)
        await until_owned(cluster)
        owner = cluster.owner()
        assert owner
        successor = next(number for number in (1, 2, 3) if number != owner)
        term = (await partitions(cluster, owner))[0].term
        order = {"part": 0, "term": term, "successor": f"127.0.0.{successor}:{cluster.port + 1}"}
        body = json.dumps(order).encode()
        asked = next(number for number in (1, 2, 3) if number not in (owner, successor))
        status, answer = await cluster.call(asked, "POST", HAND_OVER, body)
        assert (status, json.loads(answer)["code"]) == (200, ResultCode.HANDED_OVER)

        async def is_transferred() -> bool:
            return cluster.owner() == successor

        await until(is_transferred)
        # A repeated order does not move the partition.
        status, answer = await cluster.call(asked, "POST", HAND_OVER, body)
        assert (status, json.loads(answer)["code"]) == (200, ResultCode.HANDED_OVER)
        body = json.dumps({"part": 0, "term": term}).encode()
        status, answer = await cluster.call(successor, "POST", HAND_OVER, body)
        assert (status, json.loads(answer)["code"]) == (412, ResultCode.OTHER_TERM)
        await cluster.replace(6, 5)
        assert cluster.owner() == successor
        assert {replica.kind for replica in (await partitions(cluster, successor))[0].replicas} == {"voter"}

    cluster = run_cluster(tmp_path, scenario)
    for event in ("leadership_transfer_started", "leadership_transferred"):
        assert any(f"event={event} " in line for line in cluster.lines)
    assert any("leadership_transfer_ended" in line for line in cluster.lines)


def test_malformed_calls_are_rejected_and_change_nothing(tmp_path: Path) -> None:
    calls = [
        ("POST", HAND_OVER, b"", 400),
        ("POST", HAND_OVER, b"\xff" * 100, 400),
        ("POST", HAND_OVER, b"[" * 100_000, 400),
        ("POST", HAND_OVER, b" " * 2_000_000, 400),
        ("POST", HAND_OVER, b'{"part":0,"term":1,"successor":"' + b"1" * 900 + b'"}', 400),
        ("GET", HAND_OVER, b"", 405),
        ("POST", "/v1/fleet/members", b"", 405),
        ("POST", "/v1/fleet/parts", b"", 405),
        ("GET", "/v1/fleet/", b"", 404),
        ("GET", "/v1/fleet/members/", b"", 404),
        ("POST", "/v1/fleet/remove", b"{}", 404),
    ]

    async def scenario(cluster: ControllerCluster) -> None:
        await cluster.start(1, 2, 3, first=True)
        await cluster.replace(5, 0)
        await until_owned(cluster)
        owners = [cluster.owner(partition) for partition in ALL_PARTITIONS]
        for number in (1, 2, 3):
            for method, path, body, expected in calls:
                status, answer = await cluster.call(number, method, path, body)
                assert status == expected, (method, path, answer)
                assert 2000 <= json.loads(answer)["code"] < 3000
        assert [cluster.owner(partition) for partition in ALL_PARTITIONS] == owners

    cluster = run_cluster(tmp_path, scenario)
    assert not any("leadership_transfer_ended" in line for line in cluster.lines)


def test_lost_controllers_are_reported_by_the_remaining_one(tmp_path: Path) -> None:
    async def scenario(cluster: ControllerCluster) -> None:
        await cluster.start(1, 2, 3, first=True)
        await cluster.replace(5, 0)
        await until_owned(cluster)
        await until_true(lambda: cluster.controllers[3].state.version == 5)
        cluster.kill(1, 2)

        async def noticed() -> bool:
            known = await members(cluster, 3)
            return all(not known[f"127.0.0.{number}"].is_live for number in (1, 2))

        await until(noticed)

        async def unowned() -> bool:
            return not any(partition.owned or partition.owner for partition in await partitions(cluster, 3))

        await until(unowned)
        assert (await partitions(cluster, 3))[0].applied_version == 5
        body = json.dumps({"part": 0, "term": 1}).encode()
        status, answer = await cluster.call(3, "POST", HAND_OVER, body)
        assert (status, json.loads(answer)["code"]) == (503, ResultCode.NO_OWNER)

    run_cluster(tmp_path, scenario)

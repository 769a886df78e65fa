"""The control service on real sockets: list changes, lost streams, NACKs, restarts, TLS and limits."""

from __future__ import annotations

import asyncio
import os
import socket
from datetime import UTC, datetime
from pathlib import Path
from typing import Any

import grpc
import pytest
from click.testing import CliRunner

from firvane.cli.control import command
from firvane.proxy.config.model import Tls
from firvane.proxy.control.certificates import (
    TlsCredentials,
    TlsFileError,
    load,
    make_authority,
    make_certificate,
)
from firvane.proxy.control.service import Control
from firvane.proxy.control.types import ResourceType
from firvane.simulation.runner.receiver import ENDPOINTS, Way
from firvane.simulation.runner.receiver_link import ADS
from tests.proxy.control.live import Stage, ports, stage
from tests.proxy.net.helpers import run


def is_converged(service: Control) -> bool:
    snapshot = service.snapshot(0)
    return snapshot is not None and all(
        session.stream.is_converged(snapshot) for session in service.ads.sessions
    )


def replace_key(folder: Path) -> None:
    make_certificate(folder, "x")
    os.replace(folder / "x.key", folder / "control.key")


UP = {"b1": 9001, "b2": 9002, "b3": 9003}


@pytest.mark.parametrize("delta", [False, True])
def test_receivers_follow_list_changes_and_reconnect(delta: bool) -> None:
    async def scenario() -> None:
        async with stage() as here:
            service = await here.service()
            link = here.receiver(delta=delta)
            client = here.receiver(delta=delta, target="web")
            assert await link.call_is_up()
            assert not link.receiver.heard  # no response before the first server list
            here.discovery.update(**UP)
            await here.until(lambda: ports(link) == ports(client) == {9001, 9002, 9003})
            assert isinstance(client.receiver.way("/read/x", "k"), Way)
            here.discovery.update(b2="draining")
            await here.until(lambda: ports(link) == ports(client) == {9001, 9003})
            assert here.logged("assignments_published")[-1].count("b2 gone or draining")
            before = link.streams
            link.hang_up()
            here.discovery.update(b1="removed", b4=9004)
            await here.until(lambda: link.streams > before and ports(link) == {9003, 9004})
            here.discovery.close()  # the last snapshot is still served
            link.hang_up()
            late = here.receiver(delta=delta)
            await here.until(lambda: ports(late) == ports(link) == {9003, 9004})
            await here.until(lambda: is_converged(service))
            assert service.ads.nacks == 0

    run(scenario())


def test_a_complete_list_that_omits_all_backends_is_held_back_until_confirmed() -> None:
    async def scenario() -> None:
        async with stage() as here:
            service = await here.service(control={"confirm_s": 600.0})
            link = here.receiver()
            here.discovery.update(**UP)
            await here.until(lambda: len(ports(link)) == 3)
            here.discovery.send_complete_list()
            await here.until(lambda: here.logged("list_held_back"))
            assert len(ports(link)) == 3
            here.discovery.update(b9=9009)
            await here.until(lambda: 9009 in ports(link))
            assert len(ports(link)) == 4  # the omitted backends are retained until the list is confirmed
            service.core.panic.retained_until = 0.0  # confirmed now
            await here.until(lambda: ports(link) == {9009})

    run(scenario())


def test_a_nack_is_logged_and_does_not_affect_other_receivers() -> None:
    async def scenario() -> None:
        async with stage() as here:
            service = await here.service()
            link = here.receiver()
            rejecting = here.receiver(taste=lambda url, message: "never" if url == ENDPOINTS else "")
            here.discovery.update(**UP)
            await here.until(lambda: len(ports(link)) == 3 and here.logged("response_rejected"))
            assert (
                "why=never" in here.logged("response_rejected")[0]
                and "receiver=r1" in here.logged("response_rejected")[0]
            )
            here.discovery.update(b1="draining")
            await here.until(lambda: len(ports(link)) == 2 and service.ads.nacks == 2)
            # Once for each snapshot: no endless resending.
            assert len(rejecting.receiver.refused) == 2 and not ports(rejecting)

    run(scenario())


def test_two_services_send_the_same_versions_and_neither_an_older_snapshot() -> None:
    async def scenario() -> None:
        async with stage() as here:
            first, second = await here.service(), await here.service()
            link = here.receiver(first, second)
            here.discovery.update(**UP)
            await here.until(lambda: len(ports(link)) == 3)
            await here.until(lambda: second.snapshot(0) is not None)
            # Versions are digests of the content.
            assert first.snapshot(0).versions == second.snapshot(0).versions
            # The second service has lost discovery, and the receiver has resources of a newer list.
            second.group.stop()
            await here.until(lambda: second.group.task and second.group.task.done())
            here.discovery.update(b3="draining")
            await here.until(lambda: len(ports(link)) == 2)
            streams = link.streams
            link.hang_up()
            await here.until(lambda: link.streams > streams and second.ads.sessions)
            session = next(iter(second.ads.sessions))
            await here.until(lambda: session.stream.known_list_version == 2)
            assert len(ports(link)) == 2 and not session.stream.subscriptions[ResourceType.ENDPOINTS].sent
            second.group.start()
            await here.until(
                lambda: (
                    second.snapshot(0).list_version == 2 and session.stream.is_converged(second.snapshot(0))
                )
            )
            assert len(ports(link)) == 2

    run(scenario())


def test_load_reports_eject_backends_and_demand_is_reserved_until_expiry() -> None:
    async def scenario() -> None:
        async with stage() as here:
            service = await here.service(control={"assumed_rps": 3.0, "keep_s": 3600.0})
            link = here.receiver(loads=True)
            here.discovery.update(**UP)
            await here.until(lambda: isinstance(link.receiver.way("/read/x"), Way))
            assert service.core.registry.demand() == {0: 3.0}

            def send_requests() -> bool:
                for n in range(20):
                    way = link.receiver.way("/read/x", str(n))
                    assert isinstance(way, Way)
                    link.receiver.sent(way.address)
                    link.receiver.ended(way.address, way.address[1] != 9003)
                balancer = service.core.balancers[0]
                return (
                    balancer.servers["b3"].error_rate > 0.5
                    and balancer.estimates.served_counts.get(0, 0) > 20
                )

            await here.until(send_requests)
            # The decision module ejects the third backend.
            await here.until(lambda: (send_requests(), ports(link) == {9001, 9002})[1])
            assert any("b3 doubted" in line for line in here.logged("assignments_published"))
            rate = service.core.registry.demand()[0]
            assert rate > 10.0
            await link.stop()
            await here.until(lambda: not service.ads.sessions)
            # The receiver still uses its last assignment, and may reconnect.
            assert service.core.registry.demand()[0] > 0.0
            service.core.registry.retention_s = 0.0  # expires at once
            await here.until(lambda: here.logged("receiver_expired"))
            assert service.core.registry.demand() == {}

    run(scenario())


def test_a_service_may_count_as_several_members_of_a_tier() -> None:
    async def scenario() -> None:
        async with stage() as here:
            sockets = [socket.socket(type=socket.SOCK_DGRAM) for _ in range(3)]
            for one in sockets:
                one.bind(("127.0.0.1", 0))
            at = ["{}:{}".format(*one.getsockname()) for one in sockets]
            for one in sockets:
                one.close()
            services = [
                await here.service(peers={"listen": at[0], "addresses": at}, control={"counts_as": 2}),
                await here.service(peers={"listen": at[2], "addresses": at}),
            ]
            here.discovery.update(**UP)
            balancers = [balancer for service in services for balancer in service.core.balancers]
            await here.until(lambda: [set(one.rows) for one in balancers] == [{0, 1, 2}] * 3)
            assert [one.settings.me for one in balancers] == [0, 1, 2]
            await here.until(lambda: {one.owner_count for one in balancers[0].up} == {1})

    run(scenario())


def test_operators_can_list_receivers_and_compare_assignments() -> None:
    async def scenario() -> None:
        async with stage() as here:
            service = await here.service()
            link = here.receiver()
            here.discovery.update(**UP)
            await here.until(lambda: len(ports(link)) == 3)
            here.discovery.update(b2="draining")
            await here.until(lambda: len(ports(link)) == 2)
            await here.until(lambda: is_converged(service))
            address = f"127.0.0.1:{service.port}"

            def call(*arguments: str) -> Any:
                return CliRunner().invoke(command, arguments, standalone_mode=False)

            status = await asyncio.to_thread(call, "status", address)
            assert "r0 (stand-in, zone a, state of the world): current" in status.output
            assert "b2 gone or draining" in status.output
            serials = [str(entry.serial) for entry in service.core.catalog.history[0]]
            diff = await asyncio.to_thread(call, "diff", address, serials[0], serials[-1], "--node", "r0")
            assert "b2: taken away" in diff.output and "b2 gone or draining" in diff.output
            unknown = await asyncio.to_thread(call, "diff", address, "1", "2", "--node", "nobody")
            assert "no receiver 'nobody'" in str(unknown.exception)

    run(scenario())


def credentials(folder: Path, name: str) -> Any:
    files = [(folder / file).read_bytes() for file in ("authority.pem", f"{name}.key", f"{name}.pem")]
    return grpc.ssl_channel_credentials(*files)


def test_only_allowed_certificates_are_accepted_and_keys_are_reloaded(tmp_path: Path) -> None:
    make_authority(tmp_path)
    for name in ("control", "r-good", "r-other"):
        make_certificate(tmp_path, name, ["127.0.0.1"])
    foreign = tmp_path / "foreign"
    foreign.mkdir()
    make_authority(foreign)
    make_certificate(foreign, "r-good")
    (foreign / "authority.pem").write_bytes((tmp_path / "authority.pem").read_bytes())
    tls = {
        "certificate": str(tmp_path / "control.pem"),
        "key": str(tmp_path / "control.key"),
        "authority": str(tmp_path / "authority.pem"),
        "allow": ["r-good"],
    }

    async def scenario(here: Stage) -> None:
        service = await here.service(control={"tls": tls})
        good = here.receiver(credentials=credentials(tmp_path, "r-good"))
        other = here.receiver(credentials=credentials(tmp_path, "r-other"))
        forged = here.receiver(credentials=credentials(foreign, "r-good"))
        here.discovery.update(**UP)
        await here.until(lambda: len(ports(good)) == 3)
        await here.until(lambda: other.errors and forged.errors)
        assert (
            "PERMISSION_DENIED" in other.errors[0] and "r-other" in here.logged("certificate_not_allowed")[0]
        )
        assert not ports(other) and not ports(forged)
        # A new certificate is used for the next connection; the existing stream stays open.
        make_certificate(tmp_path, "control-2", ["127.0.0.1", "control"])
        for end in ("pem", "key"):
            os.replace(tmp_path / f"control-2.{end}", tmp_path / f"control.{end}")
        streams = good.streams
        late = here.receiver(credentials=credentials(tmp_path, "r-good"))
        await here.until(lambda: len(ports(late)) == 3)
        assert here.logged("tls_files_reloaded") and good.streams == streams
        (tmp_path / "control.key").write_text("half a key")
        last = here.receiver(credentials=credentials(tmp_path, "r-good"))
        await here.until(lambda: len(ports(last)) == 3)  # the last valid files stay in use
        assert "control.tls.key" in here.logged("tls_files_invalid")[0]
        assert len(service.ads.sessions) == 3

    async def run_scenario() -> None:
        async with stage() as here:
            await scenario(here)

    run(run_scenario())


@pytest.mark.parametrize(
    ("damage", "message"),
    [
        (lambda at: (at / "control.key").unlink(), "control.tls.key"),
        (lambda at: (at / "control.pem").write_text("no"), "no certificate in PEM"),
        (lambda at: make_certificate(at, "control", days=-0.5), "ended"),
        (lambda at: replace_key(at), "is not the key"),
    ],
)
def test_invalid_tls_files_are_reported_in_one_line(damage: Any, message: str, tmp_path: Path) -> None:
    make_authority(tmp_path)
    make_certificate(tmp_path, "control")
    tls = Tls(
        certificate=str(tmp_path / "control.pem"),
        key=str(tmp_path / "control.key"),
        authority=str(tmp_path / "authority.pem"),
    )
    assert load(tls, datetime.now(UTC)) and TlsCredentials(tls)
    damage(tmp_path)
    with pytest.raises(TlsFileError, match=message):
        load(tls, datetime.now(UTC))


def test_receivers_without_an_id_or_over_a_limit_get_the_reason() -> None:
    async def scenario() -> None:
        async with stage() as here:
            await here.service()
            here.discovery.update(**UP)
            without_id = here.receiver(name="")
            await here.until(lambda: without_id.errors)
            assert "names no node.id" in without_id.errors[0]
            over_limit = here.receiver()
            over_limit.receiver._want(ENDPOINTS, {str(n) for n in range(10_001)})
            # The client's error text may be that of a failed write.
            await here.until(lambda: over_limit.errors)
            channel = grpc.aio.insecure_channel(f"127.0.0.1:{here.services[0].port}")
            for _ in range(3):  # an undecodable request ends only its own stream
                call = channel.stream_stream(f"{ADS}StreamAggregatedResources")()
                await call.write(b"\xff\xff\xff")
                assert await call.code() is not grpc.StatusCode.OK
            await channel.close()
            plain = here.receiver()
            await here.until(lambda: len(ports(plain)) == 3)
            disconnections = here.logged("receiver_disconnected")
            assert any("receiver=r1" in line and "10001 names" in line for line in disconnections)

    run(scenario())

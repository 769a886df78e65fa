"""The service on real sockets: discovery's word to receivers, over whatever goes wrong between them."""

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


def at_rest(service: Control) -> bool:
    state = service.snapshot(0)
    return state is not None and all(one.stream.converged(state) for one in service.ads.sessions)


def other_key(folder: Path) -> None:
    make_certificate(folder, "x")
    os.replace(folder / "x.key", folder / "control.key")


UP = {"b1": 9001, "b2": 9002, "b3": 9003}


@pytest.mark.parametrize("delta", [False, True])
def test_receivers_hear_of_drains_returns_and_lost_streams(delta: bool) -> None:
    async def work() -> None:
        async with stage() as here:
            service = await here.service()
            link = here.receiver(delta=delta)
            client = here.receiver(delta=delta, target="web")
            assert await link.call_is_up()
            assert not link.receiver.heard  # there is no list: nothing is told
            here.discovery.tell(**UP)
            await here.until(lambda: ports(link) == ports(client) == {9001, 9002, 9003})
            assert isinstance(client.receiver.way("/read/x", "k"), Way)
            here.discovery.tell(b2="draining")
            await here.until(lambda: ports(link) == ports(client) == {9001, 9003})
            assert here.logged("assignments_published")[-1].count("b2 gone or draining")
            before = link.streams
            link.hang_up()
            here.discovery.tell(b1="removed", b4=9004)
            await here.until(lambda: link.streams > before and ports(link) == {9003, 9004})
            here.discovery.cut()  # the last good state is served on
            link.hang_up()
            late = here.receiver(delta=delta)
            await here.until(lambda: ports(late) == ports(link) == {9003, 9004})
            await here.until(lambda: at_rest(service))
            assert service.ads.nacks == 0

    run(work())


def test_a_whole_list_that_leaves_nothing_is_held_back_until_it_stands() -> None:
    async def work() -> None:
        async with stage() as here:
            service = await here.service(control={"confirm_s": 600.0})
            link = here.receiver()
            here.discovery.tell(**UP)
            await here.until(lambda: len(ports(link)) == 3)
            here.discovery.whole()
            await here.until(lambda: here.logged("list_held_back"))
            assert len(ports(link)) == 3
            here.discovery.tell(b9=9009)
            await here.until(lambda: 9009 in ports(link))
            assert len(ports(link)) == 4  # kept beside what is new, until the list has stood
            service.core.panic.until = 0.0  # which it has now
            await here.until(lambda: ports(link) == {9009})

    run(work())


def test_a_refusal_is_told_to_operators_and_leaves_the_others_alone() -> None:
    async def work() -> None:
        async with stage() as here:
            service = await here.service()
            link = here.receiver()
            picky = here.receiver(taste=lambda url, message: "never" if url == ENDPOINTS else "")
            here.discovery.tell(**UP)
            await here.until(lambda: len(ports(link)) == 3 and here.logged("response_rejected"))
            assert (
                "why=never" in here.logged("response_rejected")[0]
                and "receiver=r1" in here.logged("response_rejected")[0]
            )
            here.discovery.tell(b1="draining")
            await here.until(lambda: len(ports(link)) == 2 and service.ads.nacks == 2)
            assert len(picky.receiver.refused) == 2 and not ports(picky)  # once for each state: no loop

    run(work())


def test_two_services_hand_out_the_same_and_neither_an_older_state() -> None:
    async def work() -> None:
        async with stage() as here:
            one, other = await here.service(), await here.service()
            link = here.receiver(one, other)
            here.discovery.tell(**UP)
            await here.until(lambda: len(ports(link)) == 3)
            await here.until(lambda: other.snapshot(0) is not None)
            assert one.snapshot(0).versions == other.snapshot(0).versions  # by content
            # The other is cut off from discovery, and the receiver has heard of a newer list.
            other.group.stop()
            await here.until(lambda: other.group.task and other.group.task.done())
            here.discovery.tell(b3="draining")
            await here.until(lambda: len(ports(link)) == 2)
            streams = link.streams
            link.hang_up()
            await here.until(lambda: link.streams > streams and other.ads.sessions)
            session = next(iter(other.ads.sessions))
            await here.until(lambda: session.stream.known_list_version == 2)
            assert len(ports(link)) == 2 and not session.stream.subscriptions[ResourceType.ENDPOINTS].sent
            other.group.start()
            await here.until(
                lambda: other.snapshot(0).number == 2 and session.stream.converged(other.snapshot(0))
            )
            assert len(ports(link)) == 2

    run(work())


def test_what_receivers_report_counts_in_the_module_and_silent_ones_keep_their_part() -> None:
    async def work() -> None:
        async with stage() as here:
            service = await here.service(control={"assumed_rps": 3.0, "keep_s": 3600.0})
            link = here.receiver(loads=True)
            here.discovery.tell(**UP)
            await here.until(lambda: isinstance(link.receiver.way("/read/x"), Way))
            assert service.core.registry.demand() == {0: 3.0}

            def ask() -> bool:
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

            await here.until(ask)
            await here.until(lambda: (ask(), ports(link) == {9001, 9002})[1])  # doubted, by the module
            assert any("b3 doubted" in line for line in here.logged("assignments_published"))
            rate = service.core.registry.demand()[0]
            assert rate > 10.0
            await link.stop()
            await here.until(lambda: not service.ads.sessions)
            assert (
                service.core.registry.demand()[0] > 0.0
            )  # it may come back, and goes on by what it was told
            service.core.registry.retention_s = 0.0  # no longer
            await here.until(lambda: here.logged("receiver_expired"))
            assert service.core.registry.demand() == {}

    run(work())


def test_several_places_in_a_tier_hear_and_are_heard() -> None:
    async def work() -> None:
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
            here.discovery.tell(**UP)
            balancers = [balancer for service in services for balancer in service.core.balancers]
            await here.until(lambda: [set(one.rows) for one in balancers] == [{0, 1, 2}] * 3)
            assert [one.settings.me for one in balancers] == [0, 1, 2]
            await here.until(lambda: {one.owner_count for one in balancers[0].up} == {1})

    run(work())


def test_operators_see_who_follows_and_why_states_differ() -> None:
    async def work() -> None:
        async with stage() as here:
            service = await here.service()
            link = here.receiver()
            here.discovery.tell(**UP)
            await here.until(lambda: len(ports(link)) == 3)
            here.discovery.tell(b2="draining")
            await here.until(lambda: len(ports(link)) == 2)
            await here.until(lambda: at_rest(service))
            at = f"127.0.0.1:{service.port}"

            def call(*control_settings: str) -> Any:
                return CliRunner().invoke(command, control_settings, standalone_mode=False)

            status = await asyncio.to_thread(call, "status", at)
            assert "r0 (stand-in, zone a, state of the world): current" in status.output
            assert "b2 gone or draining" in status.output
            serials = [str(entry.serial) for entry in service.core.catalog.history[0]]
            diff = await asyncio.to_thread(call, "diff", at, serials[0], serials[-1], "--node", "r0")
            assert "b2: taken away" in diff.output and "b2 gone or draining" in diff.output
            nobody = await asyncio.to_thread(call, "diff", at, "1", "2", "--node", "nobody")
            assert "no receiver 'nobody'" in str(nobody.exception)

    run(work())


def credentials(folder: Path, name: str) -> Any:
    files = [(folder / file).read_bytes() for file in ("authority.pem", f"{name}.key", f"{name}.pem")]
    return grpc.ssl_channel_credentials(*files)


def test_only_allowed_certificates_see_it_and_keys_change_under_streams(tmp_path: Path) -> None:
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

    async def work(here: Stage) -> None:
        service = await here.service(control={"tls": tls})
        good = here.receiver(credentials=credentials(tmp_path, "r-good"))
        other = here.receiver(credentials=credentials(tmp_path, "r-other"))
        forged = here.receiver(credentials=credentials(foreign, "r-good"))
        here.discovery.tell(**UP)
        await here.until(lambda: len(ports(good)) == 3)
        await here.until(lambda: other.errors and forged.errors)
        assert (
            "PERMISSION_DENIED" in other.errors[0] and "r-other" in here.logged("certificate_not_allowed")[0]
        )
        assert not ports(other) and not ports(forged)
        # A new certificate under the stream that stands: the next connection is served by it.
        make_certificate(tmp_path, "control-2", ["127.0.0.1", "control"])
        for end in ("pem", "key"):
            os.replace(tmp_path / f"control-2.{end}", tmp_path / f"control.{end}")
        streams = good.streams
        late = here.receiver(credentials=credentials(tmp_path, "r-good"))
        await here.until(lambda: len(ports(late)) == 3)
        assert here.logged("tls_files_reloaded") and good.streams == streams
        (tmp_path / "control.key").write_text("half a key")
        last = here.receiver(credentials=credentials(tmp_path, "r-good"))
        await here.until(lambda: len(ports(last)) == 3)  # by the last keys that were of use
        assert "control.tls.key" in here.logged("tls_files_invalid")[0]
        assert len(service.ads.sessions) == 3

    async def staged() -> None:
        async with stage() as here:
            await work(here)

    run(staged())


@pytest.mark.parametrize(
    ("spoil", "says"),
    [
        (lambda at: (at / "control.key").unlink(), "control.tls.key"),
        (lambda at: (at / "control.pem").write_text("no"), "no certificate in PEM"),
        (lambda at: make_certificate(at, "control", days=-0.5), "ended"),
        (lambda at: other_key(at), "is not the key"),
    ],
)
def test_keys_of_no_use_are_named_in_one_line(spoil: Any, says: str, tmp_path: Path) -> None:
    make_authority(tmp_path)
    make_certificate(tmp_path, "control")
    tls = Tls(
        certificate=str(tmp_path / "control.pem"),
        key=str(tmp_path / "control.key"),
        authority=str(tmp_path / "authority.pem"),
    )
    assert load(tls, datetime.now(UTC)) and TlsCredentials(tls)
    spoil(tmp_path)
    with pytest.raises(TlsFileError, match=says):
        load(tls, datetime.now(UTC))


def test_a_receiver_that_says_no_name_or_asks_for_too_much_is_told_why() -> None:
    async def work() -> None:
        async with stage() as here:
            await here.service()
            here.discovery.tell(**UP)
            nameless = here.receiver(name="")
            await here.until(lambda: nameless.errors)
            assert "names no node.id" in nameless.errors[0]
            greedy = here.receiver()
            greedy.receiver._want(ENDPOINTS, {str(n) for n in range(10_001)})
            await here.until(lambda: greedy.errors)  # its own words may be of the write that met the end
            channel = grpc.aio.insecure_channel(f"127.0.0.1:{here.services[0].port}")
            for _ in range(3):  # bytes that are no request end their stream alone
                call = channel.stream_stream(f"{ADS}StreamAggregatedResources")()
                await call.write(b"\xff\xff\xff")
                assert await call.code() is not grpc.StatusCode.OK
            await channel.close()
            plain = here.receiver()
            await here.until(lambda: len(ports(plain)) == 3)
            left = here.logged("receiver_disconnected")
            assert any("receiver=r1" in line and "10001 names" in line for line in left)

    run(work())

"""Who is where, and what a proxy is told at its start: the platform's JSON, with a scenario's figures.

Every address lies in one 127.N.0.0/16, so that runs side by side do not meet. Each proxy has addresses of its
own for every box, for its agent and for its peers:

    127.N.P.1        proxy P, and where its datagrams come from
    127.N.P.2        its agent
    127.N.64+P.Q+1   its peer Q, and .255 for all of them
    127.N.128+P.B    its box B, several ports to an address where there are many
"""

from __future__ import annotations

import socket
from typing import Any

from firvane.simulation.emulation.network import Seat
from firvane.simulation.emulation.scenario import Scenario

Address = tuple[str, int]

PORT, PEER_PORT, AGENT_PORT, LOCK_PORT, OPS_PORT = 8080, 7946, 8500, 8081, 9090
MOST_PROXIES, MOST_BOXES = 64, 250
NETS = range(20, 250)
TICK_S, SLACK_S, DRAIN_GRACE_S, ASK_WITHIN_S = 0.005, 0.02, 1.0, 10.0
DIAL_S, MOST_RETRY_AFTER_S = 0.25, 1.2
ATTEMPTS, OPEN_CAP, CPU_PART = 3, 20_000, 0.8


def text(address: Address) -> str:
    return f"{address[0]}:{address[1]}"


class Plan:
    """The addresses of one run, in 127.`net`.0.0/16."""

    def __init__(self, net: int, proxies: int) -> None:
        if proxies > MOST_PROXIES:
            raise ValueError(f"{proxies} proxies, {MOST_PROXIES} is the most that there are addresses for")
        self.net, self.proxies = net, proxies

    def _at(self, third: int, fourth: int, port: int) -> Address:
        return f"127.{self.net}.{third}.{fourth}", port

    def listen(self, proxy: int) -> Address:
        return self._at(proxy, 1, PORT)

    def ops(self, proxy: int) -> Address:
        """Where operators call, where they do."""
        return self._at(proxy, 1, OPS_PORT)

    def peer_listen(self, proxy: int) -> Address:
        return self._at(proxy, 1, PEER_PORT)

    def agent(self, proxy: int) -> Address:
        return self._at(proxy, 2, AGENT_PORT)

    def peer(self, proxy: int, other: int) -> Address:
        """Where `proxy` finds `other`."""
        return self._at(64 + proxy, 1 + other, PEER_PORT)

    def peers_all(self, proxy: int) -> Address:
        return self._at(64 + proxy, 255, PEER_PORT)

    def box(self, proxy: int, number: int) -> Address:
        """Where `proxy` finds the box of this number, counted over the whole run."""
        return self._at(128 + proxy, 1 + number % MOST_BOXES, PORT + number // MOST_BOXES)


def claim_net() -> tuple[int, socket.socket]:
    """A net that no other run on this machine has, and the socket that keeps it; `OSError` if none is."""
    for net in NETS:
        sock = socket.socket()
        try:
            sock.bind((f"127.{net}.255.254", LOCK_PORT))
        except OSError:
            sock.close()
            continue
        return net, sock
    raise OSError("all of 127.0.0.0/8 is taken by other runs")


def _ns(seconds: float) -> int:
    return round(seconds * 1e9)


def settings(scenario: Scenario, number: int, zone: str, attempts: int = ATTEMPTS) -> dict[str, Any]:
    """The settings of one proxy, as the platform names them."""
    boxes, load, network = scenario.boxes, scenario.load, scenario.network
    return {
        "az": network.zones.index(zone),
        "classes": [
            {
                "name": load.request_class,
                "slo-ns": _ns(load.aim_s),
                "give-up-ns": _ns(load.deadline_s),
                "repeat": "pure" if load.may_repeat else "side_effect",
                "dedup-scope": "all",
                "window-ns": _ns(2 * load.deadline_s),
                "late-share": 0.0,
                "stream": False,
                "worth": 1.0,
            }
        ],
        "client-habits": {"marks-retry": load.retries.marked},
        "costs": {"cross-zone": 0.02, "late-fail": 0.08, "peer": 0.01, "probe": 0.01, "waste": 0.04},
        "counted-by": "work",
        "dcs": list(network.zones),
        "discovery": "push",
        "family": "proxy",
        "family-info": {"warm-keys": True},
        "goal": {"whole": 0.6, "worst-class": 0.0, "worst-tenant": 0.25, "worst-window": 0.15},
        "limits": {
            "cancel": scenario.proxies.cancel,
            "conn-idle-ns": _ns(boxes.idle_s),
            "cpu-us-per-request": 0.0,
            "cpu-us-per-s": round(CPU_PART * 1e6),
            "dial-timeout-ns": _ns(DIAL_S),
            "max-retry-after-ns": _ns(MOST_RETRY_AFTER_S),
            "open-cap": OPEN_CAP,
            "peers": network.peers,
            "probing": True,
            "retry-after": True,
            "second-copies": True,
            "send-cap": attempts,
            "streams-per-conn": 1,
        },
        "machine-types": [kind.name for kind in boxes.kinds],
        "me": number,
        "obligations": {
            "answer-slack-ns": _ns(SLACK_S),
            "ask-within-ns": _ns(ASK_WITHIN_S),
            "cold-ns": _ns(boxes.warm_s),
            "drain-grace-ns": _ns(DRAIN_GRACE_S),
            "fall-multiple": boxes.fall_multiple,
            "fall-ns": _ns(boxes.fall_s),
            "start-capacity": boxes.cold_share,
        },
        "over-share-worth": load.over_share_worth,
        "report": {"fields": [], "how": "silent"},
        "siblings": scenario.proxies.count,
        "stage": 0,
        "tenants": [
            {"fraction": c.share, "name": c.name, "quota-rps": round(c.share * load.rate * load.quota, 1)}
            for c in load.communities
        ],
        "tick-ns": _ns(TICK_S),
        "tiers": ["web"],
        "weights": "silent",
    }


def configuration(
    scenario: Scenario, plan: Plan, seat: Seat, number: int, seed: int, known: dict[str, Any],
    folder: str = "", attempts: int = ATTEMPTS,
) -> dict[str, Any]:  # fmt: skip
    """The platform's JSON for one start of a proxy; `seed` is below 2^64 and new with each. `folder` is the
    proxies' disk, `attempts` the most of one request."""
    limits = scenario.proxies
    told: dict[str, Any] = {
        "name": seat.name,
        "listen": text(plan.listen(number)),
        "discovery": text(plan.agent(number)),
        "seed": f"{seed:016x}",
        "limits": {"cores": limits.cores, "memory_mb": limits.memory_mb, "sockets": limits.sockets},
        "known": known,
        "settings": settings(scenario, number, seat.zone, attempts),
    }
    if limits.recovery or limits.voters:
        told["ops"] = text(plan.ops(number))
    if limits.voters:
        told["policy"] = {
            "folder": f"{folder}/{seat.name}.policy",
            "voters": list(range(limits.voters)),
            "doors": [text(plan.ops(other)) for other in range(plan.proxies)],
            "lease_s": limits.lease_s,
            "tell": True,
        }
    if limits.recovery:
        told["recovery"] = {limits.without.replace("-", "_"): False} if limits.without else {}
        if folder and limits.snapshots:
            told["recovery"]["snapshot"] = f"{folder}/{seat.name}.snapshot"
    if scenario.roll:
        told["measures"] = True
    if scenario.network.peers:
        told["peer_listen"] = text(plan.peer_listen(number))
        told["peers"] = [text(plan.peer(number, other)) for other in range(plan.proxies)]
        told["peers_all"] = text(plan.peers_all(number))
    return told

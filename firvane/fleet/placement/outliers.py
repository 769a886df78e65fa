"""Outlier ejection of servers that fail a higher ratio of requests than the other servers of their service.

1. Counts of failures decay within about a second. Each router announces its own counts to its peers.
2. Once per window the failure ratio of each server is compared with that of the service's median server. A
   server far above the median is ejected; the ejection time doubles with each further ejection.
3. A router that sees failures at many servers is assumed to be faulty itself, and its counts are ignored.
4. Servers that fail all requests are ejected sooner, by consecutive failures (`health.py`).
5. After its ejection time a server is on trial: for a limited time only the routers whose slice contains it
   send requests to it. The first failure in a trial is announced to all routers and ends the trial, so that
   not every router loses requests.
"""

from __future__ import annotations

import math
from collections import Counter
from collections.abc import Sequence

from firvane.fleet.placement.server_view import ServerView

MIN_FAILURES = 3.0  # an outlier has at least this many decayed failures, over all routers
MIN_FAILURE_RATIO = 0.25  # an outlier fails at least this ratio of its requests
MEDIAN_FACTOR = 3.0  # an outlier's failure ratio is at least this multiple of the median
MIN_ANNOUNCED_FAILURES = 0.25  # decayed failures at which a row reports the server
MAX_FAILING_RATIO = 0.34  # a router that sees failures at a higher ratio of the servers is itself faulty
MIN_FAILING_SERVERS = 3  # but not if it sees them at no more servers than this
FIRST_EJECTION_S = 0.8
MAX_EJECTION_S = 4.0
EJECTION_RESET_S = 10.0  # time without an ejection after which the ejection time starts over
TRIAL_DURATION_S = 1.0  # time in which only the routers whose slice contains the server use it
TRIAL_FAILURE_ANNOUNCED_S = 0.3  # longer than a window, so that the next row contains the failure
SAME_TRIAL_S = 0.4  # trial failures that peers report this soon after an ejection belong to the same trial


def eject_outliers(servers: Sequence[ServerView], routers: int, now: float) -> list[ServerView]:
    """Eject the outliers among a service's ready servers, and return the servers ejected by this call.

    Args:
        servers: The ready servers.
        routers: The number of live routers.
        now: The current time in seconds.
    """
    if len(servers) < MIN_FAILING_SERVERS:
        return []
    failures = failures_by_server(servers, now)
    if not any(count >= MIN_FAILURES for count in failures):
        return []
    successes = sum(server.outcomes.successes(now) for server in servers) * routers / len(servers)
    ratios = [count / (count + max(1.0, successes)) for count in failures]
    threshold = max(MIN_FAILURE_RATIO, MEDIAN_FACTOR * sorted(ratios)[len(ratios) // 2])
    ejected = list[ServerView]()
    for server, count, ratio in zip(servers, failures, ratios, strict=True):
        if count >= MIN_FAILURES and ratio >= threshold and server.outlier_until <= now:
            eject(server, now)
            ejected.append(server)
    return ejected


def failures_by_server(servers: Sequence[ServerView], now: float) -> list[float]:
    """Return the decayed failures of each server, summed over this router and all peers but faulty ones."""
    failing_servers = Counter(
        number for server in servers for number, load in server.peer_loads.items() if load.failures
    )
    max_failing_servers = max(MIN_FAILING_SERVERS, MAX_FAILING_RATIO * len(servers))
    own_failures = [server.outcomes.failures(now) for server in servers]
    if sum(count >= MIN_ANNOUNCED_FAILURES for count in own_failures) > max_failing_servers:
        own_failures = [0.0] * len(servers)
    if not failing_servers:
        return own_failures
    return [
        count
        + sum(
            load.failures_at(now)
            for number, load in server.peer_loads.items()
            if failing_servers[number] <= max_failing_servers
        )
        for server, count in zip(servers, own_failures, strict=True)
    ]


def eject(server: ServerView, now: float) -> None:
    """Eject a server as an outlier for its ejection time, which doubles with each ejection."""
    if now - server.outlier_until > EJECTION_RESET_S:
        server.outlier_ejections = 0
    duration = min(MAX_EJECTION_S, FIRST_EJECTION_S * math.pow(2.0, server.outlier_ejections))
    server.outlier_ejected_at, server.trial_starts_at = now, now + duration
    server.outlier_until = server.trial_starts_at + (0.0 if server.in_own_slice else TRIAL_DURATION_S)
    server.outlier_ejections += 1


def record_failure(server: ServerView, sent_at: float, now: float) -> bool:
    """Record the failure of a request sent at `sent_at`; return whether this ended the server's trial."""
    if not server.trial_starts_at <= sent_at < server.trial_starts_at + TRIAL_DURATION_S:
        return False
    eject(server, now)
    server.trial_failed_at = now
    return True


def has_failed_trial(server: ServerView, now: float) -> bool:
    """Return whether a trial by this router failed recently, which the next row announces."""
    return now - server.trial_failed_at < TRIAL_FAILURE_ANNOUNCED_S


def apply_peer_trial_failure(server: ServerView, now: float) -> None:
    """Eject a server whose trial at a peer has failed."""
    if server.outlier_ejected_at + SAME_TRIAL_S <= now < server.trial_starts_at + TRIAL_DURATION_S:
        eject(server, now)

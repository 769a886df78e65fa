"""Server selection for prompts: a function of the view of a service's servers and of the request.

1. A long prompt goes to its home while it surely meets its latency target there, or while the home's load is
   within the bound over the mean. Otherwise it follows the window's moves, or goes where it costs least.
   A request that would wait for most of its client's time-out leaves its home, whatever is prefilled twice.
2. A short prompt goes where it costs least: the expected time to its first event, plus the cost of prefilling
   its shared blocks again anywhere but at its home (or where the moves send it).
3. The home is the first server in the key's order, unless others are believed to cache the shared blocks and
   it is not: a server that joins takes over new keys only. Where the home is not usable, the next in the
   order stands in for it, so that all routers agree again.
"""

from __future__ import annotations

from collections.abc import Sequence

from firvane.fleet.placement import health
from firvane.fleet.placement.events import PromptRequest
from firvane.fleet.placement.pending_request import PendingRequest
from firvane.fleet.placement.prompt_homes import Prompt
from firvane.fleet.placement.server_view import STREAM_TOKENS, ServerView
from firvane.fleet.placement.service_view import ServiceView

LOAD_BOUND = 1.25  # times the mean load that a home may have, and one stream more
SURE_TARGET_RATIO = 0.5  # of the latency target, up to which an expected first event is surely in time
LONG_PROMPT_TOKENS = 2000  # to prefill
SHARED_PREFILL_COST = 20.0  # times its duration that prefilling shared blocks again costs
MIN_CLIENT_TIMEOUT_S = 2.0
CLIENT_TIMEOUT_TARGETS = 4.0  # latency targets
CLIENT_TIMEOUT_EVENT_GAPS = 8.0  # event gap targets
SAFE_TIMEOUT_RATIO = 0.75  # of a client's time-out, beyond which waiting puts the request at risk
RISK_COST = 20.0  # times the time beyond that
CROSS_ZONE_COST_S = 0.004
CONNECTION_RATIO = 0.9  # of a backend's connection limit that all routers together use
MIN_ATTEMPT_LIMIT = 2.0  # open attempts that a router may have at a server in any case


def choose(view: ServiceView, pending: PendingRequest, now: float) -> ServerView | None:
    """Return the server for the next attempt of a request; None where none has capacity."""
    candidates = find_candidates(view, pending, now)
    if not candidates:
        return None
    home = find_home(view, pending, candidates, now)
    is_long = is_long_prompt(view, pending.prompt, home)
    if is_long and stays_at_home(view, pending, home, candidates, now):
        return home
    moved = view.slices.moved_to(home.id, pending.prompt.home_key, is_long)
    target = view.servers.get(moved, home) if moved else home
    if is_long and target is not home and target in candidates:
        return target
    return find_cheapest(view, pending, target, candidates, now)


def find_candidates(view: ServiceView, pending: PendingRequest, now: float) -> list[ServerView]:
    """Return the usable servers with capacity, in the order of the home key."""
    limit = attempt_limit(view)
    usable = health.usable(view.candidates_for(pending.prompt.home_key), now)
    able = [server for server in usable if server.in_flight < limit and server.saturated_until <= now]
    found = [server for server in able if server.id not in pending.attempted_servers]
    if not found and len(view.ready) == 1:
        return [server for server in able if not health.is_ejected(server)]  # there is no other
    if not pending.request.retryable:  # never the trial of an ejected server, if avoidable
        found = [server for server in found if not health.is_ejected(server)] or found
    return found


def find_home(
    view: ServiceView, pending: PendingRequest, candidates: Sequence[ServerView], now: float
) -> ServerView:
    """Return the home of a prompt: the first candidate, or one that caches its shared blocks."""
    home = candidates[0]
    if not pending.prompt.shared_blocks or caches_shared_blocks(view, pending.prompt, home):
        return home
    caching = [server for server in candidates if caches_shared_blocks(view, pending.prompt, server)]
    return find_cheapest(view, pending, caching[0], caching, now) if caching else home


def caches_shared_blocks(view: ServiceView, prompt: Prompt, server: ServerView) -> bool:
    """Return whether a server is believed to cache the shared blocks of a prompt."""
    return prompt.total_tokens - view.prefill_tokens(prompt, server) >= prompt.cacheable_tokens


def attempt_limit(view: ServiceView) -> float:
    """Return the open attempts that this router may have at one server, by the connection limit."""
    limit = view.info.connection_limit
    if limit <= 0:
        return float("inf")
    return max(MIN_ATTEMPT_LIMIT, CONNECTION_RATIO * limit / max(1, len(view.routers)))


def is_long_prompt(view: ServiceView, prompt: Prompt, home: ServerView) -> bool:
    """Return whether a prompt takes long to prefill, at its home or anywhere else."""
    if prompt.total_tokens <= LONG_PROMPT_TOKENS:
        return False
    return max(prompt.shared_tokens, view.prefill_tokens(prompt, home)) > LONG_PROMPT_TOKENS


def stays_at_home(
    view: ServiceView,
    pending: PendingRequest,
    home: ServerView,
    candidates: Sequence[ServerView],
    now: float,
) -> bool:
    """Return whether a long prompt goes to its home: surely in time, or the load is within the bound."""
    expected = view.expected_first_event(home, view.prefill_tokens(pending.prompt, home), now)
    if expected <= SURE_TARGET_RATIO * pending.request.latency_target:
        return True
    prefill_rate = view.throughput.prefill_rate.value
    mean = sum(server.load_tokens(prefill_rate, now) for server in candidates) / len(candidates)
    return home.load_tokens(prefill_rate, now) <= LOAD_BOUND * mean + STREAM_TOKENS


def find_cheapest(
    view: ServiceView,
    pending: PendingRequest,
    home: ServerView,
    candidates: Sequence[ServerView],
    now: float,
) -> ServerView:
    """Return the candidate of the least cost, in seconds to the first event and what else counts as much."""
    best, least = home, float("inf")
    prompt, zone = pending.prompt, view.zone
    shared_prefill_cost = SHARED_PREFILL_COST / view.throughput.prefill_rate.value
    own_tokens = prompt.total_tokens - prompt.shared_tokens
    safe_wait = SAFE_TIMEOUT_RATIO * client_timeout(pending.request)
    for server in candidates:
        prefill_tokens = view.prefill_tokens(prompt, server)
        expected = cost = view.expected_first_event(server, prefill_tokens, now)
        if expected > safe_wait:
            cost += RISK_COST * (expected - safe_wait)
        if server is not home:
            cost += shared_prefill_cost * max(0, prefill_tokens - own_tokens)
        if zone and server.zone != zone:
            cost += CROSS_ZONE_COST_S
        if cost < least:
            best, least = server, cost
    return best


def client_timeout(request: PromptRequest) -> float:
    """Return the seconds without an event after which a client gives up a stream."""
    return max(
        MIN_CLIENT_TIMEOUT_S,
        CLIENT_TIMEOUT_TARGETS * request.latency_target,
        CLIENT_TIMEOUT_EVENT_GAPS * request.event_gap_target,
    )

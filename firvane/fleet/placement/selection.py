"""Server selection for prompts, a pure function of the view of a service's servers and of the request.

The home of a prompt is the server that is expected to cache its prefix (`prompt_homes.py`).

1. A long prompt goes to its home if the home certainly meets the latency target, or if the home's load is
   at most `LOAD_BOUND` times the mean. Otherwise it follows this window's moves between slices (`slices.py`),
   or goes to the server with the least cost. If its wait would take up most of its client's time-out, the
   prompt leaves its home even though its prefix is then prefilled twice.
2. A short prompt goes to the server with the least cost: the expected time to the first event, plus the cost
   of prefilling shared blocks again at any server other than its home (or the target of a move).
3. The home is the first server in the key's rendezvous order. If that server is not believed to cache the
   shared blocks and others are, the cheapest of these is the home: a server that joins receives new keys
   only. If the home is not usable, the next server in the order replaces it on all routers alike.
"""

from __future__ import annotations

from collections.abc import Sequence

from firvane.fleet.placement import health
from firvane.fleet.placement.events import PromptRequest
from firvane.fleet.placement.pending_request import PendingRequest
from firvane.fleet.placement.prompt_homes import Prompt
from firvane.fleet.placement.server_view import STREAM_TOKENS, ServerView
from firvane.fleet.placement.service_view import ServiceView

LOAD_BOUND = 1.25  # a home's load may be this many times the mean load, plus one stream
SAFE_TARGET_RATIO = 0.5  # a first event expected within this ratio of the latency target is certainly in time
LONG_PROMPT_TOKENS = 2000  # prompts with more tokens to prefill are long
SHARED_PREFILL_COST = 20.0  # cost of prefilling shared blocks again, as a multiple of its duration
MIN_CLIENT_TIMEOUT_S = 2.0
CLIENT_TIMEOUT_TARGETS = 4.0  # a client's time-out in latency targets
CLIENT_TIMEOUT_EVENT_GAPS = 8.0  # a client's time-out in event gap targets
SAFE_TIMEOUT_RATIO = 0.75  # a client may abandon a request that waits longer than this part of its time-out
RISK_COST = 20.0  # cost of a longer wait, as a multiple of the excess
CROSS_ZONE_COST_S = 0.004
CONNECTION_RATIO = 0.9  # part of a backend's connection limit that all routers together use
MIN_ATTEMPT_LIMIT = 2.0  # a router may always have this many open attempts at a server


def choose(view: ServiceView, pending: PendingRequest, now: float) -> ServerView | None:
    """Return the server for the next attempt of a request, or None if none has capacity."""
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
    """Return the usable servers with capacity, in the rendezvous order of the prompt's home key."""
    limit = attempt_limit(view)
    usable = health.usable(view.candidates_for(pending.prompt.home_key), now)
    available = [server for server in usable if server.in_flight < limit and server.saturated_until <= now]
    candidates = [server for server in available if server.id not in pending.attempted_servers]
    if not candidates and len(view.ready) == 1:
        return [server for server in available if not health.is_ejected(server)]  # retry at the only server
    if not pending.request.retryable:  # use it as the trial of an ejected server only if unavoidable
        candidates = [server for server in candidates if not health.is_ejected(server)] or candidates
    return candidates


def find_home(
    view: ServiceView, pending: PendingRequest, candidates: Sequence[ServerView], now: float
) -> ServerView:
    """Return the home of a prompt: the first candidate, or another one that caches its shared blocks."""
    home = candidates[0]
    if not pending.prompt.shared_blocks or caches_shared_blocks(view, pending.prompt, home):
        return home
    caching = [server for server in candidates if caches_shared_blocks(view, pending.prompt, server)]
    return find_cheapest(view, pending, caching[0], caching, now) if caching else home


def caches_shared_blocks(view: ServiceView, prompt: Prompt, server: ServerView) -> bool:
    """Return whether a server is believed to cache the shared blocks of a prompt."""
    return prompt.total_tokens - view.prefill_tokens(prompt, server) >= prompt.cacheable_tokens


def attempt_limit(view: ServiceView) -> float:
    """Return how many open attempts this router may have at one server under its connection limit."""
    limit = view.info.connection_limit
    if limit <= 0:
        return float("inf")
    return max(MIN_ATTEMPT_LIMIT, CONNECTION_RATIO * limit / max(1, len(view.routers)))


def is_long_prompt(view: ServiceView, prompt: Prompt, home: ServerView) -> bool:
    """Return whether a prompt takes long to prefill, at its home or at another server."""
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
    """Return whether a long prompt goes to its home: it is certainly in time, or its load is in bounds."""
    expected = view.expected_first_event(home, view.prefill_tokens(pending.prompt, home), now)
    if expected <= SAFE_TARGET_RATIO * pending.request.latency_target:
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
    """Return the candidate with the least cost: seconds to the first event, plus penalties in seconds."""
    cheapest, least_cost = home, float("inf")
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
        if cost < least_cost:
            cheapest, least_cost = server, cost
    return cheapest


def client_timeout(request: PromptRequest) -> float:
    """Return the seconds without an event after which a client presumably abandons a stream."""
    return max(
        MIN_CLIENT_TIMEOUT_S,
        CLIENT_TIMEOUT_TARGETS * request.latency_target,
        CLIENT_TIMEOUT_EVENT_GAPS * request.event_gap_target,
    )

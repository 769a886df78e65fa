"""The invariants that the engine maintains for any decisions."""

from __future__ import annotations

import pytest

from firvane.core import interface as api
from firvane.core import logs
from firvane.core.engine import Engine
from firvane.core.flows import Flow
from firvane.core.terminations import RESULTS, Termination
from tests.helpers import changes, full_list, server, settings
from tests.proxy.net.helpers import Clock, Parties


class Script:
    """Decisions that return the actions given by the test for each type of event."""

    def __init__(self, **replies: list[api.Action]) -> None:
        self.replies = replies
        self.events: list[api.Event] = []
        self.actions: list[api.Action] = []

    def handle(self, event: api.Event, now: float) -> list[api.Action]:
        self.events.append(event)
        reply = self.replies.get(type(event).__name__, [])
        if any(isinstance(action, Exception) for action in reply):
            raise RuntimeError("a fault in the decisions")
        return reply


def engine(script: Script, **limits: object) -> tuple[Engine[str, str], Parties, Clock]:
    clock, parties = Clock(), Parties()
    base: dict[str, object] = {"max_attempts": 2, "cancel": True, "hedging": True}
    config = settings(limits=api.Limits(**{**base, **limits}))  # type: ignore[arg-type]
    made: Engine[str, str] = Engine(
        config,
        script,  # type: ignore[arg-type]
        clock,  # type: ignore[arg-type]
        parties,
        parties,
        parties,
    )
    made.update_server_list(full_list(server("a"), server("b")))
    return made, parties, clock


def accept_flow(made: Engine[str, str], parties: Parties, time_limit: float = 1.0) -> Flow[str, str]:
    flow: Flow[str, str] = Flow("request", parties, made.clock.time() + time_limit)
    made.accept_request(flow, api.Request(-1, 0, 0.0))
    return flow


def results(script: Script) -> list[api.Result]:
    return [event.result for event in script.events if isinstance(event, api.Outcome)]


def test_every_termination_has_a_result_and_no_attempt_that_may_have_run_counts_as_never_run() -> None:
    assert set(RESULTS) == set(Termination)
    never = {ending for ending, result in RESULTS.items() if result.never_ran}
    assert never.isdisjoint(
        {
            Termination.BROKEN_AFTER_SENT,
            Termination.BAD_RESPONSE,
            Termination.SERVER_ERROR,
            Termination.DEADLINE_EXCEEDED,
        }
    )


def test_a_served_flow_is_answered_once_and_removed() -> None:
    script = Script(Request=[api.Send(1, "a")], Outcome=[api.Reject(1), api.Fail(1)])
    made, parties, _ = engine(script)
    accept_flow(made, parties)
    _, exchange, _ = parties.forwards[0]
    exchange.on_ended(Termination.SERVED, "body")
    exchange.on_ended(Termination.BROKEN_AFTER_SENT)
    assert parties.answers == [("served", "body")]
    assert results(script) == [api.Result.OK] and not made.flows and not made.unanswered


def test_timers_of_a_request_are_cancelled_with_it() -> None:
    # Two timers per request that fired long after its answer took a tenth of its CPU time.
    timers: list[api.Action] = [api.SetTimer(0.5, 2, request=1), api.SetTimer(0.5, 0)]
    made, parties, clock = engine(script := Script(Request=[api.Send(1, "a"), *timers]))
    accept_flow(made, parties)
    parties.forwards[0][1].on_ended(Termination.SERVED, "body")
    clock.advance(1.0)
    assert [event.token for event in script.events if isinstance(event, api.TimerFired)] == [0]


def test_attempts_over_the_cap_and_after_the_answer_are_not_sent() -> None:
    made, parties, _ = engine(script := Script(Request=[api.Send(1, "a")] * 3 + [api.Reject(1, 0.1)]))
    accept_flow(made, parties)
    assert len(parties.forwards) == 2 and results(script) == [api.Result.NOT_SENT]
    script.replies["TimerFired"] = [api.Send(1, "b")]
    made.dispatch(api.TimerFired(0))
    assert len(parties.forwards) == 2 and results(script)[-1] is api.Result.NOT_SENT


def test_nothing_is_sent_to_unlisted_targets() -> None:
    made, parties, _ = engine(script := Script(Request=[api.Send(1, "nowhere")]))
    accept_flow(made, parties)
    assert not parties.forwards and results(script) == [api.Result.NOT_SENT]


def test_targets_removed_from_the_list_are_not_known() -> None:
    # Guards against a leak: on a long day every server is replaced many times.
    made, _, _ = engine(Script())
    made.update_server_list(changes(server("b", state=api.ServerState.GONE), server("c")))
    assert made.known_targets == {"a", "c"}
    made.update_server_list(full_list(server("d")))
    assert made.known_targets == {"d"}


def test_a_request_that_a_target_finds_invalid_is_not_retried() -> None:
    script = Script(Request=[api.Send(1, "a")], Outcome=[api.Send(1, "b")])
    made, parties, _ = engine(script)
    accept_flow(made, parties)
    parties.forwards[0][1].on_ended(Termination.BAD_REQUEST)
    assert parties.answers == [("at fault", None)] and len(parties.forwards) == 1
    assert results(script)[0] is api.Result.ERROR and not made.flows


@pytest.mark.parametrize(
    ("ending", "answer"), [(Termination.SERVED, "another body"), (Termination.BAD_REQUEST, None)]
)
def test_the_response_of_another_attempt_is_not_mixed_into_a_started_one(
    ending: Termination, answer: str | None
) -> None:
    # Guards against a hedged attempt, which the settings forbid to cancel, whose response was written into a
    # streamed one.
    script = Script(Request=[api.Send(1, "a"), api.Send(1, "b")])
    made, parties, _ = engine(script, cancel=False)
    flow = accept_flow(made, parties)
    (_, first, _), (_, second, _) = parties.forwards
    for exchange in (first, second):
        exchange.on_request_sent()
    first.on_response_started("head")
    second.on_ended(ending, answer)
    assert flow.open and parties.answers == [("started", "head")]
    first.on_ended(Termination.SERVED, "head")
    assert parties.answers == [("started", "head"), ("finished", None)]
    assert not made.flows and not made.unanswered


def test_an_unstreamed_response_never_continues_a_truncated_one() -> None:
    # Guards against a frontend that continues a truncated response with one that is not streamed.
    script = Script(Request=[api.Send(1, "a")])
    made, parties, _ = engine(script)
    flow = accept_flow(made, parties)
    flow.can_resume = lambda: True
    _, first, _ = parties.forwards[0]
    first.on_response_started("head")
    script.replies["Outcome"] = [api.Send(1, "b")]
    first.on_ended(Termination.BROKEN_AFTER_SENT)
    script.replies["Outcome"] = [api.Fail(1)]
    parties.forwards[1][1].on_ended(Termination.SERVED, "body")
    assert parties.answers == [("started", "head"), ("failed", None)] and not made.flows


def test_no_hedging_if_the_settings_forbid_it() -> None:
    made, parties, _ = engine(Script(Request=[api.Send(1, "a"), api.Send(1, "b")]), hedging=False)
    accept_flow(made, parties)
    assert [target for target, _, _ in parties.forwards] == ["a"]


def test_a_flow_without_a_decision_fails_at_its_deadline() -> None:
    # Guards the final answer of each request against decisions that never give one.
    made, parties, clock = engine(script := Script(Request=[api.Send(1, "a")]))
    accept_flow(made, parties)
    clock.advance(0.99)
    assert not parties.answers
    clock.advance(0.02)
    assert parties.answers == [("failed", None)] and parties.forwards[0][2].cancelled
    assert results(script) == [api.Result.TIMEOUT] and not made.flows


def test_deadlines_are_shortened_at_shutdown_with_one_event() -> None:
    script = Script(Request=[api.Send(1, "a")])
    made, parties, clock = engine(script)
    late, soon = accept_flow(made, parties, 9.0), accept_flow(made, parties, 1.0)
    made.shorten_deadlines(clock.time() + 2.0)
    assert [event for event in script.events if isinstance(event, api.DeadlineShortened)] == [
        api.DeadlineShortened(1, 2.0)
    ]
    clock.advance(1.5)
    assert late.open and not soon.open
    clock.advance(0.6)  # the decisions do nothing: the engine answers instead
    assert not late.open and made.unanswered == 0


def test_an_attempts_own_deadline_ends_it_alone() -> None:
    made, parties, clock = engine(script := Script(Request=[api.Send(1, "a", 0.2)]))
    accept_flow(made, parties)
    clock.advance(0.21)
    assert results(script) == [api.Result.TIMEOUT] and not parties.answers


def test_an_attempt_can_be_cancelled_after_the_answer() -> None:
    made, parties, _ = engine(
        script := Script(Request=[api.Send(1, "a"), api.Reject(1, 0.1), api.Cancel(1, 0)]), retry_after=True
    )
    accept_flow(made, parties)
    assert parties.answers == [("refused", 0.1)] and parties.forwards[0][2].cancelled
    assert results(script) == [api.Result.CANCELLED] and not made.flows


def test_a_disconnected_client_gets_no_answer() -> None:
    made, parties, clock = engine(script := Script(Request=[api.Send(1, "a")], ClientGone=[api.Cancel(1, 0)]))
    made.on_client_disconnected(accept_flow(made, parties))
    clock.advance(2.0)
    assert not parties.answers and not made.unanswered and not made.flows
    assert results(script) == [api.Result.CANCELLED]


def test_flows_over_the_cap_are_rejected_without_a_decision() -> None:
    made, parties, _ = engine(script := Script(), max_open_requests=1)
    accept_flow(made, parties)
    accept_flow(made, parties)
    assert parties.answers == [("refused", 0.0)]
    assert sum(isinstance(event, api.Request) for event in script.events) == 1


def test_an_exception_in_the_decisions_does_not_stop_the_proxy() -> None:
    made, parties, clock = engine(Script(Request=[RuntimeError()]))  # type: ignore[list-item]
    lines: list[str] = []
    made.log = logs.make(write=lines.append)
    accept_flow(made, parties)
    clock.advance(1.1)
    assert parties.answers == [("failed", None)]
    assert "event=decisions_failed" in lines[0] and "RuntimeError" in lines[0]


def test_log_lines_of_a_flow_have_the_client_s_request_id() -> None:
    made, parties, _ = engine(Script(Request=[api.Send(1, "a")]))
    lines: list[str] = []
    made.log, made.tracing = logs.make("debug", write=lines.append), True
    made.accept_request(Flow("request", parties, made.clock.time() + 1.0, b"9b1f"), api.Request(-1, 0, 0.0))
    parties.forwards[0][1].on_ended(Termination.SERVED, "body")
    assert "event=flow_accepted flow=1 call=9b1f" in lines[0]
    assert "event=attempt_ended flow=1 call=9b1f" in lines[1] and "target=a" in lines[1]


def test_the_decisions_clock_starts_at_unix_time_and_advances_with_the_loop() -> None:
    made, _, clock = engine(Script())
    before = made.now()
    clock.advance(5.0)
    assert made.now() == pytest.approx(before + 5.0) and before > 1e9

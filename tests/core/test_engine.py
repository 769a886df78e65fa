"""What the engine upholds whatever the decisions do."""

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
    """Decisions that answer each event with what the test put down for its kind."""

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


def take(made: Engine[str, str], parties: Parties, span: float = 1.0) -> Flow[str, str]:
    flow: Flow[str, str] = Flow("request", parties, made.clock.time() + span)
    made.accept_request(flow, api.Request(-1, 0, 0.0))
    return flow


def results(script: Script) -> list[api.Result]:
    return [event.result for event in script.events if isinstance(event, api.Outcome)]


def test_every_ending_has_one_result_and_only_what_never_ran_says_so() -> None:
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


def test_a_served_flow_is_answered_once_and_forgotten() -> None:
    script = Script(Request=[api.Send(1, "a")], Outcome=[api.Reject(1), api.Fail(1)])
    made, parties, _ = engine(script)
    take(made, parties)
    _, exchange, _ = parties.forwards[0]
    exchange.on_ended(Termination.SERVED, "body")
    exchange.on_ended(Termination.BROKEN_AFTER_SENT)
    assert parties.answers == [("served", "body")]
    assert results(script) == [api.Result.OK] and not made.flows and not made.unanswered


def test_what_the_decisions_are_to_be_woken_for_ends_with_the_request() -> None:
    # Two timers a request that fired long after its answer cost a tenth of it.
    wakes: list[api.Action] = [api.SetTimer(0.5, 2, request=1), api.SetTimer(0.5, 0)]
    made, parties, clock = engine(script := Script(Request=[api.Send(1, "a"), *wakes]))
    take(made, parties)
    parties.forwards[0][1].on_ended(Termination.SERVED, "body")
    clock.advance(1.0)
    assert [event.token for event in script.events if isinstance(event, api.TimerFired)] == [0]


def test_attempts_over_the_cap_and_after_the_answer_are_moot() -> None:
    made, parties, _ = engine(script := Script(Request=[api.Send(1, "a")] * 3 + [api.Reject(1, 0.1)]))
    take(made, parties)
    assert len(parties.forwards) == 2 and results(script) == [api.Result.NOT_SENT]
    script.replies["TimerFired"] = [api.Send(1, "b")]
    made.dispatch(api.TimerFired(0))
    assert len(parties.forwards) == 2 and results(script)[-1] is api.Result.NOT_SENT


def test_targets_that_no_list_named_get_nothing() -> None:
    made, parties, _ = engine(script := Script(Request=[api.Send(1, "nowhere")]))
    take(made, parties)
    assert not parties.forwards and results(script) == [api.Result.NOT_SENT]


def test_only_targets_that_the_list_still_names_are_known() -> None:
    # On a long day every backend is replaced many times over.
    made, _, _ = engine(Script())
    made.update_server_list(changes(server("b", state=api.ServerState.GONE), server("c")))
    assert made.known_targets == {"a", "c"}
    made.update_server_list(full_list(server("d")))
    assert made.known_targets == {"d"}


def test_a_request_that_a_target_finds_fault_with_is_tried_nowhere_else() -> None:
    script = Script(Request=[api.Send(1, "a")], Outcome=[api.Send(1, "b")])
    made, parties, _ = engine(script)
    take(made, parties)
    parties.forwards[0][1].on_ended(Termination.BAD_REQUEST)
    assert parties.answers == [("at fault", None)] and len(parties.forwards) == 1
    assert results(script)[0] is api.Result.ERROR and not made.flows


@pytest.mark.parametrize(
    ("ending", "answer"), [(Termination.SERVED, "another body"), (Termination.BAD_REQUEST, None)]
)
def test_the_answer_of_another_attempt_never_joins_one_that_has_begun(
    ending: Termination, answer: str | None
) -> None:
    # Guards against: a second copy, which the settings forbid to cancel, put its answer into a streamed one.
    script = Script(Request=[api.Send(1, "a"), api.Send(1, "b")])
    made, parties, _ = engine(script, cancel=False)
    flow = take(made, parties)
    (_, first, _), (_, second, _) = parties.forwards
    for exchange in (first, second):
        exchange.on_request_sent()
    first.on_response_started("head")
    second.on_ended(ending, answer)
    assert flow.open and parties.answers == [("started", "head")]
    first.on_ended(Termination.SERVED, "head")
    assert parties.answers == [("started", "head"), ("finished", None)]
    assert not made.flows and not made.unanswered


def test_a_whole_answer_never_continues_one_that_broke_off() -> None:
    # Guards against: a front that takes a broken answer up again with one that is not streamed.
    script = Script(Request=[api.Send(1, "a")])
    made, parties, _ = engine(script)
    flow = take(made, parties)
    flow.can_resume = lambda: True
    _, first, _ = parties.forwards[0]
    first.on_response_started("head")
    script.replies["Outcome"] = [api.Send(1, "b")]
    first.on_ended(Termination.BROKEN_AFTER_SENT)
    script.replies["Outcome"] = [api.Fail(1)]
    parties.forwards[1][1].on_ended(Termination.SERVED, "body")
    assert parties.answers == [("started", "head"), ("failed", None)] and not made.flows


def test_no_second_copy_where_the_settings_forbid_it() -> None:
    made, parties, _ = engine(Script(Request=[api.Send(1, "a"), api.Send(1, "b")]), hedging=False)
    take(made, parties)
    assert [target for target, _, _ in parties.forwards] == ["a"]


def test_a_forgotten_flow_is_failed_at_its_deadline() -> None:
    # Guards the first rule against decisions that never answer.
    made, parties, clock = engine(script := Script(Request=[api.Send(1, "a")]))
    take(made, parties)
    clock.advance(0.99)
    assert not parties.answers
    clock.advance(0.02)
    assert parties.answers == [("failed", None)] and parties.forwards[0][2].cancelled
    assert results(script) == [api.Result.TIMEOUT] and not made.flows


def test_a_flow_is_hastened_to_the_proxy_s_end_and_told_so_once() -> None:
    script = Script(Request=[api.Send(1, "a")])
    made, parties, clock = engine(script)
    late, soon = take(made, parties, 9.0), take(made, parties, 1.0)
    made.shorten_deadlines(clock.time() + 2.0)
    assert [event for event in script.events if isinstance(event, api.DeadlineShortened)] == [
        api.DeadlineShortened(1, 2.0)
    ]
    clock.advance(1.5)
    assert late.open and not soon.open
    clock.advance(0.6)  # decisions that do nothing: the engine answers in their place
    assert not late.open and made.unanswered == 0


def test_an_attempts_own_deadline_ends_it_alone() -> None:
    made, parties, clock = engine(script := Script(Request=[api.Send(1, "a", 0.2)]))
    take(made, parties)
    clock.advance(0.21)
    assert results(script) == [api.Result.TIMEOUT] and not parties.answers


def test_a_cancel_after_the_answer_still_reaches_the_attempt() -> None:
    made, parties, _ = engine(
        script := Script(Request=[api.Send(1, "a"), api.Reject(1, 0.1), api.Cancel(1, 0)]), retry_after=True
    )
    take(made, parties)
    assert parties.answers == [("refused", 0.1)] and parties.forwards[0][2].cancelled
    assert results(script) == [api.Result.CANCELLED] and not made.flows


def test_a_client_that_leaves_is_owed_nothing() -> None:
    made, parties, clock = engine(script := Script(Request=[api.Send(1, "a")], ClientGone=[api.Cancel(1, 0)]))
    made.on_client_disconnected(take(made, parties))
    clock.advance(2.0)
    assert not parties.answers and not made.unanswered and not made.flows
    assert results(script) == [api.Result.CANCELLED]


def test_flows_over_the_cap_are_refused_unseen() -> None:
    made, parties, _ = engine(script := Script(), max_open_requests=1)
    take(made, parties)
    take(made, parties)
    assert parties.answers == [("refused", 0.0)]
    assert sum(isinstance(event, api.Request) for event in script.events) == 1


def test_a_fault_in_the_decisions_keeps_the_proxy_alive() -> None:
    made, parties, clock = engine(Script(Request=[RuntimeError()]))  # type: ignore[list-item]
    told: list[str] = []
    made.log = logs.make(write=told.append)
    take(made, parties)
    clock.advance(1.1)
    assert parties.answers == [("failed", None)]
    assert "event=decisions_failed" in told[0] and "RuntimeError" in told[0]


def test_a_flow_s_lines_carry_what_its_client_calls_it() -> None:
    made, parties, _ = engine(Script(Request=[api.Send(1, "a")]))
    told: list[str] = []
    made.log, made.tracing = logs.make("debug", write=told.append), True
    made.accept_request(Flow("request", parties, made.clock.time() + 1.0, b"9b1f"), api.Request(-1, 0, 0.0))
    parties.forwards[0][1].on_ended(Termination.SERVED, "body")
    assert "event=flow_accepted flow=1 call=9b1f" in told[0]
    assert "event=attempt_ended flow=1 call=9b1f" in told[1] and "target=a" in told[1]


def test_a_target_s_start_is_told_on_the_decisions_clock() -> None:
    made, _, clock = engine(Script())
    before = made.now()
    clock.advance(5.0)
    assert made.now() == pytest.approx(before + 5.0) and before > 1e9

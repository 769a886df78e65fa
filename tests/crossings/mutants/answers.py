"""Mutants of response resumption, of the memory held by requests, and of fairness between connections."""

from __future__ import annotations

from tests.crossings.mutants import Mutant

RESUMPTION = "firvane/fleet/router/resumption.py"
RESUMED = "tests/fleet/router/test_resumption.py"
MEMORY = "tests/fleet/router/test_request_memory.py"
FRAMING = "tests/fleet/router/test_event_framing.py"
TURNS = "firvane/core/turn_budget.py"
EVENTS = "firvane/fleet/router/events.py"
LIMITS = "tests/fleet/router/test_configured_limits.py"
END_CHECK = "tests/fleet/router/test_end_check.py"
ENDS = "tests/fleet/router/test_stream_ends.py"
UPSTREAM = "firvane/fleet/router/upstream_connection.py"
BODIES = "tests/fleet/router/test_long_bodies.py"

MUTANTS = [
    Mutant(
        "what keeps an answer from being continued is counted",
        RESUMPTION,
        "if not self.is_event_stream:",
        "if False:",
        f"{RESUMED}::test_a_truncated_response_is_counted_by_the_reason_why_it_was_not_resumed",
    ),
    Mutant(
        "what announced its length is not continued",
        RESUMPTION,
        "if self.has_length:",
        "if False:",
        f"{RESUMED}::test_a_response_that_is_not_resumable_is_truncated_and_not_retried",
    ),
    Mutant(
        "a stream is continued from a position that is known",
        RESUMPTION,
        "if not self.is_position_known:",
        "if False:",
        f"{RESUMED}::test_a_response_that_is_not_resumable_is_truncated_and_not_retried",
    ),
    Mutant(
        "only a stream of events continues another",
        RESUMPTION,
        "return not self.has_started or is_event_stream(response)",
        "return True",
        f"{RESUMED}::test_only_an_event_stream_resumes_another",
    ),
    Mutant(
        "a head goes out with the first event",
        UPSTREAM,
        "should_start = bool(buffers) or not self.framer or (message.complete and not is_incomplete)",
        "should_start = True",
        f"{RESUMED}::test_a_stream_that_breaks_before_its_first_event_is_replaced_by_the_next_run",
    ),
    Mutant(
        "events are dropped only where a response continues another",
        EVENTS,
        "if self.is_catching_up and not is_higher:",
        "if not is_higher:",
        "tests/fleet/router/test_events.py::test_no_event_is_dropped_from_a_stream_that_is_not_resumed",
    ),
    Mutant(
        "one attempt alone decides once its answer has begun",
        "firvane/core/engine.py",
        "if flow.response_started and flow.responding is not attempt:",
        "if False:",
        "tests/core/test_engine.py -k another_attempt",
    ),
    Mutant(
        "a flow lets go of the attempt that was passed on",
        "firvane/core/flows.py",
        "if self.responding is attempt:",
        "if False:",
        f"{MEMORY}::test_all_objects_of_a_request_are_freed_when_it_ends",
    ),
    Mutant(
        "a reader lets go of its parser",
        "firvane/core/net/http_reader.py",
        "            del self._parser  # its callbacks",
        "            pass  # its callbacks",
        f"{MEMORY}::test_all_objects_of_a_request_are_freed_when_it_ends",
    ),
    Mutant(
        "a long body waits for memory",
        "firvane/fleet/router/body_receiver.py",
        "if is_long and not self._lease(message, length):",
        "if False:",
        f"{BODIES}::test_long_bodies_wait_for_memory_while_short_requests_are_served",
    ),
    Mutant(
        "a rejected upload's client reads its answer",
        "firvane/fleet/router/client.py",
        "if not self.keep_alive and self.receiving:",
        "if False:",
        f"{BODIES}::test_a_client_that_is_still_sending_receives_the_rejection",
    ),
    Mutant(
        "the most urgent body goes on first",
        "firvane/core/body_leases.py",
        "next_owner = min(self.queue, key=lambda waiting: self.queue[waiting].priority)",
        "next_owner = next(iter(self.queue))",
        f"{BODIES}::test_the_most_urgent_waiting_body_gets_memory_first",
    ),
    Mutant(
        "nothing of an order is left once it is checked",
        "firvane/fleet/configuration/schema.py",
        "            _release_values(validator)",
        "            pass",
        "tests/fleet/configuration/test_checker.py::test_a_checked_order_is_released_from_memory",
    ),
    Mutant(
        "what was searched of an event is not searched again",
        EVENTS,
        "        if self._is_single_event(data):",
        "        data = self.finish() + data\n        if self._is_single_event(data):",
        f"{FRAMING}::test_each_byte_is_visited_a_bounded_number_of_times",
    ),
    Mutant(
        "an LF behind a CR that was cut off belongs to the event before",
        EVENTS,
        "self._ends_with_cr = offset + 1 == len(data)",
        "self._ends_with_cr = False",
        f"{FRAMING}::test_an_lf_after_a_forwarded_cr_belongs_to_the_event_before",
    ),
    Mutant(
        "a turn has a bound",
        TURNS,
        "            if share <= 0 or self._units_left <= 0:",
        "            if False:",
        "tests/core/test_turn_budget.py::test_all_work_is_done_and_the_work_of_a_turn_is_limited",
    ),
    Mutant(
        "a connection has a share of a round",
        TURNS,
        "            if share <= 0 or self._units_left <= 0:",
        "            if self._units_left <= 0:",
        "tests/core/test_turn_budget.py::test_each_connection_has_one_share_per_round",
    ),
    Mutant(
        "who has had its share joins the next round",
        TURNS,
        "queue = self._next_round if worker in self._served_this_round else self._round",
        "queue = self._round",
        "tests/core/test_turn_budget.py::test_urgent_connections_with_constant_work_do_not_starve_others",
    ),
    Mutant(
        "what waits for a later turn is not read on",
        UPSTREAM,
        "should_read = not (self.paused or self.unparsed)",
        "should_read = not self.paused",
        "tests/fleet/router/test_payload_turns.py -k for_a_later_turn_is_not_read",
    ),
    Mutant(
        "a connection whose stream has ended is read again",
        UPSTREAM,
        "        self.paused = False\n        self._update_reading()",
        "        pass",
        "tests/fleet/router/test_slow_clients.py -k read_again",
    ),
    Mutant(
        "a client that reads nothing draws no more than a bound",
        "firvane/fleet/router/client_listener.py",
        "            limit_unsent(sock)",
        "            pass",
        "tests/fleet/router/test_slow_clients.py -k is_bounded",
    ),
    Mutant(
        "a continued stream is complete only behind a whole new event",
        UPSTREAM,
        "not self.framer.may_end(is_framed=True)",
        "False",
        f"{RESUMED}::test_a_resumed_stream_must_end_after_a_complete_new_event",
    ),
    Mutant(
        "what follows the last whole event of a continued stream makes it short",
        EVENTS,
        "return not self.is_catching_up and self._is_between_events()",
        "return not self.is_catching_up",
        f"{RESUMED}::test_a_resumed_stream_must_end_after_a_complete_new_event",
    ),
    Mutant(
        "a stream without a length that ends inside an event has broken",
        UPSTREAM,
        "self.framer is None or self.framer.may_end(is_framed=False)",
        "True",
        f"{ENDS} -k inside_an_event_is_resumed",
    ),
    Mutant(
        "a body without framing is complete only if its backend runs",
        UPSTREAM,
        "        if is_running:\n",
        "        if True:\n",
        f"{END_CHECK} -k killed_backend",
    ),
    Mutant(
        "a dial that times out is repeated",
        "firvane/fleet/router/end_check.py",
        "termination is Termination.CONNECT_TIMEOUT and",
        "False and",
        f"{END_CHECK} -k accepts_one_of_several",
    ),
    Mutant(
        "the connection of a check is kept",
        "firvane/fleet/router/end_check.py",
        "        self._connector.keep(connection)\n",
        "        pass\n",
        f"{END_CHECK} -k carries_the_next_request",
    ),
    Mutant(
        "a check ends with its connection",
        UPSTREAM,
        "        if end_check:\n            end_check.cancel()",
        "        pass",
        "tests/fleet/router/test_request_memory.py -k disconnects and check",
    ),
    Mutant(
        "a stream without a length is complete only after an event",
        EVENTS,
        "(self._has_event() and self._is_between_events())",
        "self._is_between_events()",
        f"{ENDS} -k each_prefix",
    ),
    Mutant(
        "what follows the last event may be comments and empty lines",
        EVENTS,
        "return not partial or (partial[-1:] in LINE_ENDS and is_comment(partial))",
        "return not partial",
        f"{ENDS} -k ends_between_events",
    ),
    Mutant(
        "an event is held back until the LF of its last line has come",
        EVENTS,
        "if self._ends_with_cr and end == len(data) and self._has_lf(event):",
        "if False:",
        f"{ENDS} -k inside_an_event_is_resumed",
    ),
    Mutant(
        "the rest of a large event is held back as well",
        EVENTS,
        "return LF in event or (self.is_inside_event and self._large_part_has_lf)",
        "return LF in event",
        "tests/fleet/router/test_event_framing.py -k rest_of_a_large_event",
    ),
    Mutant(
        "the limits in force are applied to each request",
        "firvane/fleet/router/request_receiver.py",
        "        if not self.receiving:\n            self._apply_limits()\n",
        "        if self.limits is None:\n            self._apply_limits()\n",
        f"{LIMITS} -k body_limit",
    ),
    Mutant(
        "a request that came before the first configuration is checked against it",
        "firvane/fleet/router/client.py",
        "message.size > context.limits.max_body_bytes",
        "False",
        f"{LIMITS} -k before_the_first_configuration",
    ),
    Mutant(
        "the rest of a rejected request is read",
        "firvane/fleet/router/client.py",
        "        self.receiving = True  # the client may still be sending\n",
        "",
        f"{LIMITS} -k reads_the_rejection",
    ),
    Mutant(
        "a client that goes on sending is read on",
        "firvane/fleet/router/request_receiver.py",
        "            self.discarded_at = self.context.loop.time()\n",
        "",
        f"{LIMITS} -k reads_the_rejection",
    ),
    Mutant(
        "a client that goes on sending is not read for ever",
        "firvane/fleet/router/client.py",
        "end = min(deadline, self.discarded_at + LINGER_S)",
        "end = self.discarded_at + LINGER_S",
        f"{LIMITS} -k never_stops_sending",
    ),
    Mutant(
        "a body in chunks has memory for all that has come",
        "firvane/fleet/router/body_receiver.py",
        "if size < message.size or not leases.extend(self, size):",
        "if not leases.extend(self, size):",
        f"{LIMITS} -k whatever_the_limit",
    ),
    Mutant(
        "no more problems are made than are told",
        "firvane/fleet/configuration/structure.py",
        "islice(_all_problems(document, current_version, accepted or {}), MAX_PROBLEMS)",
        "_all_problems(document, current_version, accepted or {})",
        "tests/fleet/configuration/test_checker.py -k than_are_reported",
    ),
]

"""What is given to a client of an answer that breaks off, what requests hold, and what holds up others."""

from __future__ import annotations

from tests.crossings.mutants import Mutant

RESUMPTION = "firvane/fleet/router/resumption.py"
RESUMED = "tests/fleet/router/test_resumption.py"
MEMORY = "tests/fleet/router/test_request_memory.py"
FRAMING = "tests/fleet/router/test_event_framing.py"
TURNS = "firvane/core/turn_budget.py"
UPSTREAM = "firvane/fleet/router/upstream_connection.py"
BODIES = "tests/fleet/router/test_long_bodies.py"

MUTANTS = [
    Mutant(
        "what keeps an answer from being continued is counted",
        RESUMPTION,
        "if not self.is_event_stream:",
        "if False:",
        f"{RESUMED}::test_a_truncated_response_is_counted_by_what_kept_it_from_being_continued",
    ),
    Mutant(
        "what announced its length is not continued",
        RESUMPTION,
        "if self.has_length:",
        "if False:",
        f"{RESUMED}::test_a_response_that_cannot_be_continued_ends_short_and_no_second_run_is_joined",
    ),
    Mutant(
        "a stream is continued from a position that is known",
        RESUMPTION,
        "if not self.is_position_known:",
        "if False:",
        f"{RESUMED}::test_a_response_that_cannot_be_continued_ends_short_and_no_second_run_is_joined",
    ),
    Mutant(
        "only a stream of events continues another",
        RESUMPTION,
        "return not self.has_started or is_event_stream(response)",
        "return True",
        f"{RESUMED}::test_what_is_no_stream_of_events_continues_none",
    ),
    Mutant(
        "a head goes out with the first event",
        UPSTREAM,
        "is_due = bool(pieces) or not self.framer or (message.complete and not is_short)",
        "is_due = True",
        f"{RESUMED}::test_a_stream_that_breaks_off_before_its_first_event_leaves_the_whole_of_the_next",
    ),
    Mutant(
        "events are dropped only where a response continues another",
        "firvane/fleet/router/events.py",
        "if self.is_catching_up and not rises:",
        "if not rises:",
        "tests/fleet/router/test_events.py::test_nothing_is_dropped_of_a_stream_that_continues_none",
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
        f"{MEMORY}::test_nothing_of_a_request_is_left_once_it_has_ended",
    ),
    Mutant(
        "a reader lets go of its parser",
        "firvane/core/net/http_reader.py",
        "            del self._parser  # it holds",
        "            pass  # it holds",
        f"{MEMORY}::test_nothing_of_a_request_is_left_once_it_has_ended",
    ),
    Mutant(
        "a long body waits for memory",
        "firvane/fleet/router/body_receiver.py",
        "if is_long and not self._lease(message, length):",
        "if False:",
        f"{BODIES}::test_long_bodies_wait_for_memory_while_short_requests_pass",
    ),
    Mutant(
        "a rejected upload's client reads its answer",
        "firvane/fleet/router/client.py",
        "if not self.keep_alive and self.receiving:",
        "if False:",
        f"{BODIES}::test_a_client_that_still_sends_can_read_why_it_was_rejected",
    ),
    Mutant(
        "the most urgent body goes on first",
        "firvane/core/body_leases.py",
        "next_owner = min(self.queue, key=lambda waiting: self.queue[waiting].priority)",
        "next_owner = next(iter(self.queue))",
        f"{BODIES}::test_the_most_urgent_body_goes_on_first",
    ),
    Mutant(
        "nothing of an order is left once it is checked",
        "firvane/fleet/configuration/schema.py",
        "            _release_values(validator)",
        "            pass",
        "tests/fleet/configuration/test_checker.py::test_nothing_of_an_order_is_left_once_it_is_checked",
    ),
    Mutant(
        "what was searched of an event is not searched again",
        "firvane/fleet/router/events.py",
        "        if self._is_single_event(data):",
        "        data = self.finish() + data\n        if self._is_single_event(data):",
        f"{FRAMING}::test_each_byte_is_looked_at_a_bounded_number_of_times",
    ),
    Mutant(
        "an LF behind a CR that was cut off belongs to the event before",
        "firvane/fleet/router/events.py",
        "self._ends_with_cr = at + 1 == len(data)",
        "self._ends_with_cr = False",
        f"{FRAMING}::test_the_lf_behind_a_cr_belongs_to_the_event_that_ended",
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
        "reads = not (self.paused or self.unparsed)",
        "reads = not self.paused",
        "tests/fleet/router/test_payload_turns.py -k not_read_on",
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
        "tests/fleet/router/test_slow_clients.py -k draws",
    ),
    Mutant(
        "a continued stream is complete only behind a whole new event",
        UPSTREAM,
        "is_short = message.complete and self.framer is not None and not self.framer.is_whole()",
        "is_short = False",
        f"{RESUMED}::test_what_brings_no_whole_new_event_does_not_complete_a_stream",
    ),
    Mutant(
        "what follows the last whole event of a continued stream makes it short",
        "firvane/fleet/router/events.py",
        "is_short = self.is_catching_up or self.is_inside_event or self.partial_bytes > 0",
        "is_short = self.is_catching_up",
        f"{RESUMED}::test_what_brings_no_whole_new_event_does_not_complete_a_stream",
    ),
    Mutant(
        "no more problems are made than are told",
        "firvane/fleet/configuration/structure.py",
        "islice(_all_problems(document, current_version, accepted or {}), MAX_PROBLEMS)",
        "_all_problems(document, current_version, accepted or {})",
        "tests/fleet/configuration/test_checker.py -k than_are_told",
    ),
]

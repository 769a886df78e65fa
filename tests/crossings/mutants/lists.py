"""What breaks a promise about the list."""

from __future__ import annotations

from tests.crossings.mutants import Mutant

TARGETS = "firvane/proxy/net/target_group.py"
WATCH = "firvane/proxy/net/discovery_watch.py"
LIST = "firvane/proxy/net/endpoint_list.py"
PAUSES = "firvane/proxy/limits/discovery_timing.py"
FORWARD = "firvane/proxy/net/upstream_pool.py"
TESTS = "tests/crossings/test_lists.py"

MUTANTS = [
    Mutant(
        "a call that could go out only after the loop stood still has its time at the start", TARGETS,
        "        while not self.list_received.is_set():\n", "        while False:\n",
        f"{TESTS}::test_a_start_over_which_the_loop_stood_still_reads_what_the_agent_said",
    ),
    Mutant(
        "a name with half a character is a bad list", LIST,
        "            name.encode()\n", "            pass\n",
        f"{TESTS}::test_a_name_with_half_a_character_is_a_bad_list",
    ),
    Mutant(
        "no weight of a list is divided by as 0", "firvane/core/balancing/records.py",
        "min(MAX_WEIGHT, max(MIN_WEIGHT, weight))", "min(MAX_WEIGHT, weight)",
        f"{TESTS}::test_no_weight_of_a_list_stops_a_proxy",
    ),
    Mutant(
        "a proxy can read its own row, whatever a list's weights are", "firvane/core/balancing/rows.py",
        "    rates = [min(rate, MAX_RATE) for rate in rates]\n", "",
        f"{TESTS}::test_no_weight_of_a_list_stops_a_proxy",
    ),
    Mutant(
        "a list may come indented", WATCH,
        "                if self.open_brackets > 0:\n", "                if False:\n",
        f"{TESTS}::test_a_list_comes_whole_however_it_is_indented_and_cut",
    ),
    Mutant(
        "what a string holds is no bracket", WATCH,
        'b"".join(parts[::2]).translate', 'b"".join(parts).translate',
        f"{TESTS}::test_a_list_comes_whole_however_it_is_indented_and_cut",
    ),
    Mutant(
        "a list is looked at once", WATCH,
        "        self.partial_line += rest\n",
        "        scan_brackets([bytes(self.partial_line + rest)])\n        self.partial_line += rest\n",
        f"{TESTS}::test_a_list_that_comes_byte_by_byte_is_looked_at_once",
    ),
    Mutant(
        "garbage ends the watch at once", WATCH,
        "    return [None] if len(lines) == 1 else", '    return [b"{"] if len(lines) == 1 else',
        f"{TESTS}::test_what_cannot_become_a_list_is_told_at_once",
    ),
    Mutant(
        "a list of many lines is bounded", WATCH,
        "if len(self.partial_object) + size > self.max_bytes", "if size > self.max_bytes",
        f"{TESTS}::test_a_list_of_many_lines_is_bounded_as_one_of_one_line_is",
    ),
    Mutant(
        "a silent watch is opened anew", PAUSES,
        "return progress.last_line_at + WATCH_TIMEOUT_S", "return progress.last_line_at + 100.0",
        f"{TESTS}::test_a_watch_that_falls_silent_is_opened_anew",
    ),
    Mutant(
        "an answer that stops after its head is called again", PAUSES,
        "return min(progress.last_byte_at + self.stall_timeout_s, sent_at + WATCH_TIMEOUT_S)",
        "return sent_at + 100.0",
        f"{TESTS}::test_a_watch_that_falls_silent_is_opened_anew",
    ),
    Mutant(
        "a call that is not answered is made again soon", PAUSES,
        "        return sent_at + FIRST_BYTE_TIMEOUT_S\n", "        return sent_at + WATCH_TIMEOUT_S\n",
        f"{TESTS}::test_a_call_that_is_not_answered_is_made_again_until_one_is",
    ),
    Mutant(
        "a call that may wait in a queue does", PAUSES,
        "        if self.span:\n            return progress.started_at + WATCH_TIMEOUT_S\n", "",
        f"{TESTS}::test_a_call_that_may_wait_in_a_queue_is_not_made_again_so_soon",
    ),
    Mutant(
        "a loop that stood still reads before it judges", TARGETS,
        "            await asyncio.sleep(SETTLE_DELAY_S)\n", "            pass\n",
        f"{TESTS}::test_a_loop_that_stood_still_reads_before_it_judges",
    ),
    Mutant(
        "an answer that ends in order is no watch any more", WATCH,
        "            if self.response_complete:\n", "            if False:\n",
        f"{TESTS}::test_a_watch_that_ends_is_opened_from_where_it_was",
    ),
    Mutant(
        "an answer other than 200 ends the watch at once", WATCH,
        "if self.head_complete and self.parser", "if False and self.parser",
        f"{TESTS}::test_an_answer_of_no_use_ends_the_watch_at_once",
    ),
    Mutant(
        "an agent that was away is called again soon", PAUSES,
        "MAX_BACKOFF_S = 0.2", "MAX_BACKOFF_S = 2.0",
        "tests/proxy/limits/test_discovery_timing.py::test_a_free_request_is_made_at_once_and_repeated_soon",
    ),
    Mutant(
        "a watch that was given up while dialled asks nothing", WATCH,
        "        if self.over:  # ended while connecting\n", "        if False:\n",
        f"{TESTS}::test_who_was_given_up_while_dialled_asks_nothing",
    ),
    Mutant(
        "nothing that has come is learnt after the end", WATCH,
        "if self.over:  # ended by `on_line`\n", "if False:\n",
        f"{TESTS}::test_nothing_that_has_come_is_learnt_after_the_end",
    ),
    Mutant(
        "a list that was not taken in is asked for again", TARGETS,
        "except BaseException:\n                self.index = 0\n", "except BaseException:\n",
        f"{TESTS}::test_a_list_that_the_proxy_failed_to_take_in_is_asked_for_again",
    ),
    Mutant(
        "the old discovery is not heard after a move", TARGETS,
        "        if self.watch:  # at once: it could be read before the task is cancelled\n",
        "        if False and self.watch:\n",
        f"{TESTS}::test_what_the_old_discovery_said_last_is_not_heard_after_a_move",
    ),
    Mutant(
        "changes up to an older version are not taken", TARGETS,
        "if isinstance(index, int) and index < current:", "if False:",
        f"{TESTS}::test_a_whole_list_is_taken_whatever_its_version_and_changes_only_onwards",
    ),
    Mutant(
        "a whole list is taken whatever its version", TARGETS,
        'if isinstance(data, dict) and data.get("snapshot") is not True:', "if isinstance(data, dict):",
        f"{TESTS}::test_a_whole_list_is_taken_whatever_its_version_and_changes_only_onwards",
    ),
    Mutant(
        "who started at another time is another", TARGETS,
        "if old and up and old.up_since != server.up_since:", "if False:",
        f"{TESTS}::test_who_started_at_another_time_is_another",
    ),
    Mutant(
        "a dial that comes up late sends nothing to what drains by then", FORWARD,
        "elif reason := self._reason_not_to_send(run, self.loop.time()):\n",
        "elif (reason := self._reason_not_to_send(run, self.loop.time())) and False:\n",
        f"{TESTS}::test_a_dial_that_comes_up_late_sends_nothing_to_what_drains_by_then",
    ),
    Mutant(
        "nothing is begun after the grace, whoever asks for it", FORWARD,
        "if draining_since is not None and now >= draining_since",
        "if draining_since is not None and now < draining_since",
        f"{TESTS}::test_whoever_asks_for_it_nothing_is_begun_after_the_grace",
    ),
    Mutant(
        "an idle connection to what drains is closed", FORWARD,
        "            pool.draining_since = self.loop.time()\n            pool.close_idle()\n",
        "            pool.draining_since = self.loop.time()\n",
        f"{TESTS}::test_an_idle_connection_to_what_drains_is_closed_and_not_used",
    ),
    Mutant(
        "a connection that was busy when its target began to drain is not used again", FORWARD,
        "        if pool.draining_since is not None:\n            connection.close()\n",
        "        if False:\n            connection.close()\n",
        f"{TESTS}::test_a_connection_that_was_busy_when_its_target_began_to_drain_is_not_used_again",
    ),
]  # fmt: skip

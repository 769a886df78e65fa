"""Of connections that the proxy ends while bytes cross its end."""

from __future__ import annotations

from tests.crossings.mutants import Mutant

HERE = "tests/crossings/test_closes.py::"
ANSWERS = "firvane/proxy/net/client_responses.py"
MUTANTS = [
    Mutant(
        "an answer that ends with its connection does not pass for whole where it was cut",
        ANSWERS,
        "            reset_on_close(self.transport)",
        "            pass",
        f"{HERE}test_a_client_can_tell_that_a_long_answer_without_a_length_was_cut",
    ),
    Mutant(
        "bytes unread behind a last answer do not destroy it",
        ANSWERS,
        "if self.discarding or self.reading_paused or long or not self.has_no_input():",
        "if self.discarding or self.reading_paused or long:",
        f"{HERE}test_bytes_behind_a_last_answer_do_not_destroy_it",
    ),
    Mutant(
        "nor do bytes that come while it is still here",
        ANSWERS,
        "if self.discarding or self.reading_paused or long or not self.has_no_input():",
        "if self.discarding or self.reading_paused or not self.has_no_input():",
        f"{HERE}test_bytes_behind_a_last_answer_do_not_destroy_it",
    ),
    Mutant(
        "who stays behind its last answer is closed on",
        ANSWERS,
        "            self.expires_at = context.loop.time() + patience\n            if",
        "            self.expires_at = context.loop.time() + 2 * IDLE_TIMEOUT_S\n            if",
        f"{HERE}test_a_client_that_stays_behind_its_last_answer_is_closed_on",
    ),
]

"""Mutants of what docs/crossings.md promises of attempts."""

from __future__ import annotations

from tests.crossings.mutants import Mutant

FILE = "tests/crossings/test_attempts.py"
ENGINE, FLOWS = "firvane/core/engine.py", "firvane/core/flows.py"
FORWARD = "firvane/proxy/net/upstream_pool.py"

MUTANTS = [
    Mutant(
        "a lost attempt is given up only where another may follow",
        "firvane/proxy/balancer.py",
        "            job.attempts = in_flight\n",
        "            self.actions.append(api.Cancel(job.request.id, number))\n",
        f"{FILE} -k lost_attempt",
    ),
    Mutant(
        "and not before its end is told where two may not be out",
        "firvane/proxy/balancer.py",
        "if other and limits.hedging:  # without",
        "if other:  # without",
        "tests/proxy/test_balancer.py -k lost_attempt",
    ),
    Mutant(
        "no repeat is written after the time in which it is known again",
        "firvane/core/balancing/records.py",
        "            return self.dedup_until\n",
        "            return math.inf\n",
        f"{FILE} -k time_for_repeats",
    ),
    Mutant(
        "what is not written when its client leaves is not written at all",
        ENGINE,
        """            self.dispatch(api.ClientGone(flow.id))
            self._withdraw(flow)
            self._forget(flow)

    def shorten_deadlines""",
        """            self.dispatch(api.ClientGone(flow.id))
            self._forget(flow)

    def shorten_deadlines""",
        f"{FILE} -k half_written",
    ),
    Mutant(
        "a copy that comes up after the answer is not written",
        ENGINE,
        "        if flow.attempts_in_flight and not flow.open:\n            self._withdraw(flow)\n",
        "",
        f"{FILE} -k after_the_answer",
    ),
    Mutant(
        "nor one that comes up after a long answer has begun",
        ENGINE,
        "attempt.time_to_response))\n        self._withdraw(flow, attempt)\n",
        "attempt.time_to_response))\n",
        f"{FILE} -k after_the_answer",
    ),
    Mutant(
        "a long body goes out on one attempt alone",
        ENGINE,
        "            self.dispatch(api.BodyConsumed(flow.id))\n            self._withdraw(flow, attempt)\n",
        "            self.dispatch(api.BodyConsumed(flow.id))\n",
        f"{FILE} -k long_body",
    ),
    Mutant(
        "a body arrives as it was sent, whatever connection it goes on",
        "firvane/proxy/net/client_connection.py",
        "        self.upload.feed(message.take_body())\n",
        "",
        f"{FILE} -k arrives_as_it_was_sent",
    ),
    Mutant(
        "what is sent behind a body in chunks is none of it",
        "firvane/core/net/http_reader.py",
        "        if not (message and message.status):",
        "        if not self.in_unsized_body():",
        f"{FILE} -k none_of_it",
    ),
    Mutant(
        "nothing is written once its time is over",
        FORWARD,
        "            now >= min(run.exchange.deadline, run.exchange.start_before)\n"
        "            or not run.request.sender_is_connected()\n",
        "            not run.request.sender_is_connected()\n",
        f"{FILE} -k time_is_over",
    ),
    Mutant(
        "a connection that stands as its run is given up is closed unused",
        FORWARD,
        "if run.over or connection.transport.is_closing():",
        "if connection.transport.is_closing():",
        f"{FILE} -k withdrawn_while",
    ),
    Mutant(
        "a connection that has just been given back is not used yet",
        FORWARD,
        "            if self.idle[position].idle_since <= idle_before:\n",
        "            if self.idle[position].idle_since <= idle_before or not position:\n",
        f"{FILE} -k second_answer",
    ),
    Mutant(
        "what was written whole may have run, whatever broke then",
        FORWARD,
        "run.end(Termination.BROKEN_AFTER_SENT if self.written else Termination.BROKEN_BEFORE_SENT)",
        "run.end(Termination.BROKEN_BEFORE_SENT)",
        f"{FILE} -k reset-before-the-answer",
    ),
    Mutant(
        "what was not written whole never ran",
        FORWARD,
        "run.end(Termination.BROKEN_AFTER_SENT if self.written else Termination.BROKEN_BEFORE_SENT)",
        "run.end(Termination.BROKEN_AFTER_SENT)",
        f"{FILE} -k broken_before_its_last_byte",
    ),
    Mutant(
        "a write that fails has not written",
        FORWARD,
        "if not self.transport.is_closing() and not self.transport.get_write_buffer_size():",
        "if not self.transport.get_write_buffer_size():",
        f"{FILE} -k look_and_write",
    ),
    Mutant(
        "a rest that the kernel has not taken is not written",
        FORWARD,
        "if not self.transport.is_closing() and not self.transport.get_write_buffer_size():",
        "if not self.transport.is_closing():",
        f"{FILE} -k broken_before_its_last_byte",
    ),
    Mutant(
        "an idle connection is looked at before it is used",
        FORWARD,
        "return not self.transport.is_closing() and self.has_no_input()",
        "return not self.transport.is_closing()",
        f"{FILE} -k turns_out_closed",
    ),
    Mutant(
        "a turn-away has to say that it never began",
        FORWARD,
        """and message.fields.get(b"x-rejected") == b"1":""",
        "and True:",
        f"{FILE} -k 503-unsaid",
    ),
    Mutant(
        "an answer cut short is no answer",
        FORWARD,
        "self._end(Termination.SERVED if announced else Termination.BROKEN_AFTER_SENT, message)",
        "self._end(Termination.SERVED, message)",
        f"{FILE} -k fin-without-a-length",
    ),
    Mutant(
        "an answer before the last byte of its request ends the connection",
        FORWARD,
        "self.reader.message or not self.written\n",
        "self.reader.message\n",
        f"{FILE} -k answer_before_the_last_byte",
    ),
    Mutant(
        "send-cap holds over all of these",
        ENGINE,
        "attempt.number < limits.max_attempts and",
        "True and",
        "tests/core/test_engine.py -k over_the_cap",
    ),
    Mutant(
        "a class that is unsafe to repeat is not sent again where it may have run",
        "firvane/proxy/server_selection.py",
        "        return cls.idempotency is Idempotency.KEYED and is_deduplicated\n",
        "        return True\n",
        f"{FILE} -k reset-in-mid-body",
    ),
    Mutant(
        "what is given up in its dial never ran",
        FLOWS,
        "unsent = termination is Termination.CANCELLED and not self.request_sent",
        "unsent = False",
        f"{FILE} -k given_up",
    ),
    Mutant(
        "and what is given up once it is written may have",
        FLOWS,
        "unsent = termination is Termination.CANCELLED and not self.request_sent",
        "unsent = termination is Termination.CANCELLED",
        f"{FILE} -k given_up",
    ),
    Mutant(
        "a target that moves leaves nothing to its new address",
        FORWARD,
        "            self.update_target(name, None, False)\n            pool = Pool(name)\n",
        "            pool.close_idle()\n",
        f"{FILE} -k moves",
    ),
    Mutant(
        "nothing is written to a target whose grace is over",
        FORWARD,
        "            return Termination.TARGET_DRAINED\n",
        "            return None\n",
        f"{FILE} -k grace_is_over",
    ),
]

"""The end of a process, a start that is crossed, hand-overs and reloads."""

from tests.crossings.mutants import Mutant

ENDS, HANDS = "tests/crossings/test_ends.py::", "tests/crossings/test_handovers.py::"
PROXY = "firvane/proxy/proxy.py"
TIMING = "firvane/proxy/shutdown_timing.py"
MAIN = "firvane/__main__.py"
DOOR = "firvane/proxy/net/listening_socket.py"
STATES = "firvane/proxy/admin_api/lifecycle.py"

MUTANTS = [
    Mutant(
        "a SIGHUP before the program's first line ends nobody",
        "deploy/balancer.toml",
        "trap '' HUP; ",
        "",
        f"{ENDS}test_a_new_configuration_is_taken_in_from_the_first_moment_on",
    ),
    Mutant(
        "an order in the start is not lost",
        MAIN,
        "    process_signals.block()  # before the imports",
        "    pass  # before the imports",
        f"{ENDS}test_a_new_configuration_while_the_first_is_read_is_taken_in",
    ),
    Mutant(
        "SIGTERM in the start ends it in order",
        MAIN,
        "    process_signals.block()  # before the imports",
        "    pass  # before the imports",
        f"{ENDS}test_an_order_to_end_in_the_start_is_obeyed_in_order",
    ),
    Mutant(
        "an order after the end changes nothing",
        MAIN,
        "    process_signals.block()\n\n",
        "    process_signals.unblock()\n\n",
        f"{ENDS}test_orders_that_come_until_the_process_is_gone_change_nothing",
    ),
    Mutant(
        "what comes up to 0.7 s after the order has most of its time",
        TIMING,
        "margin = min(RESPONSE_MARGIN_S, MAX_MARGIN_PART * longest)",
        "margin = RESPONSE_MARGIN_S",
        f"{ENDS}test_who_goes_on_asking_gets_an_answer_to_each[100]",
    ),
    Mutant(
        "clients that are here are served on after 0.7 s",
        PROXY,
        "        while self._has_clients() and self.loop.time() < timing.serve_until",
        "        while False and self._has_clients() and self.loop.time() < timing.serve_until",
        f"{ENDS}test_who_is_here_is_served_on_after_the_door_is_closed",
    ),
    Mutant(
        "a target that hangs does not hold the answer beyond SIGKILL",
        PROXY,
        "        self.engine.shorten_deadlines(limiter.drain_deadline)",
        "        self.engine.shutdown_deadline",
        f"{ENDS}test_a_target_that_hangs_costs_the_request_and_not_its_answer",
    ),
    Mutant(
        "half a request is answered before the end",
        "firvane/proxy/net/client_connection.py",
        "        if self.request_started and not self.has_pending_work():",
        "        if False:",
        f"{ENDS}test_half_a_request_is_refused_before_the_end",
    ),
    Mutant(
        "half a request may become whole until the very last",
        PROXY,
        "        while self._has_clients() and self.loop.time() < timing.close_idle_until:",
        "        while False:",
        f"{ENDS}test_who_is_here_is_served_on_after_the_door_is_closed",
    ),
    Mutant(
        "a class that is gone does not lengthen the end",
        PROXY,
        "max(classes[number].deadline for number in self.classes)",
        "max(cls.deadline for cls in classes)",
        f"{ENDS}test_a_class_that_is_gone_does_not_lengthen_the_end",
    ),
    Mutant(
        "an end in the start ends the start",
        PROXY,
        "            self.start_task.cancel()",
        "            pass",
        f"{ENDS}test_an_end_before_the_list_is_here_stays_one",
    ),
    Mutant(
        "who ends before the start is over is not ready",
        STATES,
        "    State.UNSTARTED: Availability(up=False, serves_requests=False),",
        "    State.UNSTARTED: Availability(up=False, serves_requests=True),",
        f"{ENDS}test_an_end_before_the_list_is_here_stays_one",
    ),
    Mutant(
        "who stands in the queue of an own door is let in as it closes",
        DOOR,
        "        if self.reading and not self.inherited and self._accept():",
        "        if False:",
        f"{ENDS}test_who_stands_in_the_queue_as_the_door_closes_is_answered",
    ),
    Mutant(
        "so are all that stand there, however many",
        DOOR,
        "        if self.reading and not self.inherited and self._accept():\n            return False",
        "        if self.reading and not self.inherited and self._accept():\n            pass",
        f"{ENDS}test_so_are_all_that_stand_there_however_many",
    ),
    Mutant(
        "a request that arrives as idle connections close is answered",
        "firvane/proxy/net/connection_limiter.py",
        "            if connection.request_count and connection.is_idle() and connection.has_no_input():",
        "            if connection.request_count and connection.is_idle():",
        f"{ENDS}test_a_request_that_arrives_as_idle_connections_are_closed_is_answered",
    ),
    Mutant(
        "who has yet to ask its first is left to do so",
        "firvane/proxy/net/connection_limiter.py",
        "            if connection.request_count and connection.is_idle() and connection.has_no_input():",
        "            if connection.is_idle() and connection.has_no_input():",
        f"{ENDS}test_who_has_yet_to_ask_is_served_up_to_the_end",
    ),
    Mutant(
        "a fault at a connection costs no hand",
        "firvane/core/net/transport_pool.py",
        "        except Exception as error:\n            # An error",
        "        except OSError as error:\n            # An error",
        f"{ENDS}test_a_fault_at_a_connection_costs_none_of_the_makers",
    ),
    Mutant(
        "what comes after the last moment is answered at once",
        "firvane/proxy/net/client_connection.py",
        "min(context.loop.time() + budget_s + upload_time, context.drain_deadline)",
        "context.loop.time() + budget_s + upload_time",
        f"{ENDS}test_what_comes_after_the_last_moment_is_refused_at_once",
    ),
    Mutant(
        "who comes after the order is the successor's",
        PROXY,
        "        if successor:  # new connections",
        "        if False:  # new connections",
        f"{HANDS}test_a_connection_accepted_in_the_turn_of_the_order_is_served",
    ),
    Mutant(
        "a successor takes nobody before it is ready",
        PROXY,
        "        if config.inherited is None:\n            await self.acceptor.open",
        "        if True:\n            await self.acceptor.open",
        f"{HANDS}test_who_comes_while_there_is_no_process_waits_for_the_next",
    ),
    Mutant(
        "who has been accepted is served though the door is closed",
        PROXY,
        "        return bool(self.limiter.connections) or self.transports.has_work()",
        "        return bool(self.limiter.connections)",
        f"{HANDS}test_a_connection_accepted_in_the_turn_of_the_order_is_served",
    ),
    Mutant(
        "a resume serves on whoever is here",
        PROXY,
        "            limiter.closing = False\n",
        "",
        f"{HANDS}test_drain_and_resume_cross_each_kind_of_connection",
    ),
    Mutant(
        "a drain that was taken back sends nobody away",
        PROXY,
        "self.lifecycle.state is State.DRAINING and self.drain_started_at == since",
        "self.lifecycle.state is State.DRAINING",
        f"{HANDS}test_a_drain_that_was_taken_back_sends_nobody_away",
    ),
    Mutant(
        "nobody resumes from the end",
        STATES,
        "    State.ENDING: {Event.TERMINATE: State.ENDING},",
        "    State.ENDING: {Event.TERMINATE: State.ENDING, Event.RESUME: State.READY},",
        f"{HANDS}test_a_drain_that_was_taken_back_sends_nobody_away",
    ),
    Mutant(
        "a class that is dropped keeps its number",
        "firvane/proxy/settings_reload.py",
        "    classes, indices = list(old.classes), list[int]()",
        "    classes, indices = [], list[int]()\n    known_indices = {}",
        f"{HANDS}test_a_class_that_is_dropped_keeps_what_is_open_and_what_is_being_read",
    ),
    Mutant(
        "a file of no use changes nothing",
        PROXY,
        "        except (ValueError, OSError) as error:",
        "        except ValueError as error:",
        f"{HANDS}test_a_file_of_no_use_changes_nothing",
    ),
    Mutant(
        "a list of no use is turned down with the rest",
        PROXY,
        "            if static and old.discovery is None:\n",
        "            if False:\n",
        f"{HANDS}test_a_list_of_no_use_in_the_file_is_turned_down_with_the_rest",
    ),
    Mutant(
        "settings that come in the start stay in force",
        PROXY,
        "        config = self._restore_snapshot(self.config)",
        "        config = self._restore_snapshot(config)",
        f"{HANDS}test_settings_that_come_in_the_start_are_those_in_force",
    ),
]

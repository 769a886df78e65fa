"""Settings of other customers."""

from __future__ import annotations

from tests.crossings.mutants import Mutant

TEST = "tests/crossings/test_others.py"

MUTANTS = [
    Mutant(
        "classes of no worth are served alike",
        "firvane/proxy/settings.py",
        "if not any(cls.value for cls in classes):",
        "if False:",
        f"{TEST}::test_settings_of_a_customer_start_and_serve",
    ),
    Mutant(
        "0 is a value, null is none",
        "firvane/proxy/settings.py",
        "        value = default if value is None else value\n        if value is None:\n"
        '            raise ValueError(f"settings: {self._name(key)} is missing: give a number',
        "        value = value or default\n        if value is None:\n"
        '            raise ValueError(f"settings: {self._name(key)} is missing: give a number',
        f"{TEST}::test_settings_of_a_customer_start_and_serve",
    ),
    Mutant(
        "an aim of nothing is turned down",
        "firvane/proxy/settings.py",
        'latency_target=section.positive("slo-ns"),',
        'latency_target=section.duration("slo-ns"),',
        f"{TEST}::test_bad_settings_are_one_line_that_names_file_and_key",
    ),
    Mutant(
        "two classes of one name are turned down",
        "firvane/proxy/settings.py",
        '    _require_unique_names("classes", [cls.name for cls in classes])\n',
        "",
        f"{TEST}::test_bad_settings_are_one_line_that_names_file_and_key",
    ),
    Mutant(
        "a name is one that a request can hold",
        "firvane/proxy/settings.py",
        "            text.encode()\n",
        "            text\n",
        f"{TEST}::test_bad_settings_are_one_line_that_names_file_and_key",
    ),
    Mutant(
        "a zone has its place in a row",
        "firvane/proxy/settings.py",
        "    if zone > MAX_ZONE:",
        "    if zone > 10 * MAX_ZONE:",
        f"{TEST}::test_bad_settings_are_one_line_that_names_file_and_key",
    ),
    Mutant(
        "a line names the file",
        "firvane/proxy/config/platform.py",
        "raise ValueError(f\"{path}: {' '.join(str(error).split())}\") from None",
        "raise",
        f"{TEST}::test_bad_settings_are_one_line_that_names_file_and_key",
    ),
    Mutant(
        "the door's descriptors are counted before the start",
        "firvane/proxy/config/platform.py",
        "    if ops and sockets < (minimum := MIN_DESCRIPTORS + ADMIN_DESCRIPTORS):",
        "    if ops and sockets < (minimum := MIN_DESCRIPTORS):",
        f"{TEST}::test_the_program_says_it_and_ends_with_2",
    ),
    Mutant(
        "a key that has become null at SIGHUP is missing",
        "firvane/proxy/settings.py",
        "return {key for key, value in part.items() if value is not None}",
        "return set(part)",
        f"{TEST}::test_a_key_that_has_become_null_at_sighup_is_missing",
    ),
    Mutant(
        "Retry-After only where it is allowed",
        "firvane/core/engine.py",
        "flow.client.on_rejected(action.retry_after if self.settings.limits.retry_after else 0.0)",
        "flow.client.on_rejected(action.retry_after)",
        f"{TEST}::test_retry_after_only_where_it_is_allowed",
    ),
    Mutant(
        "an attempt is given up only where that is allowed",
        "firvane/proxy/balancer.py",
        "        if self.settings.limits.cancel:\n            self.actions.extend(",
        "        if True:\n            self.actions.extend(",
        f"{TEST}::test_cancel_only_where_it_is_allowed",
    ),
    Mutant(
        "peers are told something only where that is allowed",
        "firvane/proxy/slice_table.py",
        "        if self.settings.limits.peers and self.settings.proxies > 1:",
        "        if self.settings.proxies > 1:",
        f"{TEST}::test_peers_hear_something_only_where_it_is_allowed",
    ),
    Mutant(
        "a deadline holds whatever it is",
        "firvane/proxy/net/client_context.py",
        "return request, min(int(budget) / 1000, cls.deadline)",
        "return request, int(budget) / 1000",
        f"{TEST}::test_a_deadline_holds_whatever_it_is",
    ),
    Mutant(
        "a class that comes percent-encoded is served",
        "firvane/proxy/net/client_context.py",
        "            name = percent_decode(name)\n",
        "",
        f"{TEST}::test_so_is_one_that_comes_percent_encoded",
    ),
    Mutant(
        "a short aim is no overload",
        "firvane/proxy/net/resource_monitor.py",
        "max(MIN_LAG_S, LAG_FRACTION * target)",
        "LAG_FRACTION * target",
        f"{TEST}::test_what_any_turn_takes_is_no_pressure_however_short_the_aim",
    ),
    Mutant(
        "equal boxes are not taken in one order by all",
        "firvane/proxy/routing/large_slices.py",
        "in self.rng.sample(servers, len(servers)):",
        "in servers:",
        "tests/proxy/routing/test_wiring.py::test_proxies_without_peer_rows_do_not_go_through_the_list_together",
    ),
    Mutant(
        "a cold box has its turn among its equals",
        "firvane/proxy/routing/load_index.py",
        "same = is_recheck and record.usable",
        "same = False and record.usable",
        "tests/proxy/routing/test_wiring.py::test_cold_servers_get_requests_among_many_without_peer_rows",
    ),
    Mutant(
        "a usual answer is no silence",
        "firvane/proxy/capacity/backend_estimates.py",
        "max(\n            server.last_response_at, "
        "server.attempts[0].sent_at if server.attempts else attempt.sent_at\n        )",
        "server.last_response_at",
        "tests/proxy/test_balancer.py::test_a_rarely_used_server_is_not_silent_before_its_usual_duration",
    ),
    Mutant(
        "one's own answers are not taken for those of all",
        "firvane/proxy/capacity/backend_estimates.py",
        "self.is_pooled, self.kind_windows = self.is_large_fleet and settings.limits.peers, {}",
        "pass",
        "tests/proxy/capacity/test_backend_estimates.py::test_response_counts_are_pooled_only_while_proxies_exchange_them",
    ),
    Mutant(
        "a share is granted once, not by each proxy",
        "firvane/proxy/capacity/tenant_admission.py",
        "return max(even, arrival_rate",
        "return max(1.0, arrival_rate",
        "tests/proxy/capacity/test_backend_estimates.py::test_a_quota_is_divided_among_proxies_that_exchange_no_rows",
    ),
    Mutant(
        "a cold box's budget is of what all do",
        "firvane/proxy/capacity/backend_estimates.py",
        "return 1 if self.settings.limits.peers else self.settings.proxies",
        "return 1",
        "tests/proxy/capacity/test_backend_estimates.py::test_proxies_without_peer_counts_together_keep_to_the_budget_of_a_cold_server",
    ),
]

"""Promises of docs/control-guarantees.md beside those of the log: orders, members, hand-out, answers."""

from tests.crossings.mutants import Mutant

CONTROLLER, CONFIGURATION = "tests/fleet/controller/", "tests/fleet/configuration/"
MAJORITY_LOSS, STATE = f"{CONTROLLER}test_majority_loss.py::", f"{CONFIGURATION}test_state.py::"
POLICY = "tests/fleet/replication/test_membership_policy.py"
UPSTREAM = "tests/fleet/router/test_upstream_model.py"

MUTANTS = [
    Mutant(
        "a controller without a majority hands nothing out",
        "firvane/fleet/dissemination/machine.py",
        "Version(key, version) for key, version in self._store.versions() if not self._is_withheld(key)",
        "Version(key, version) for key, version in self._store.versions()",
        "tests/fleet/dissemination/test_machine.py -k withheld",
    ),
    Mutant(
        "what is withheld is not sent when it is asked for",
        "firvane/fleet/dissemination/machine.py",
        "if item is not None and is_stored and not self._is_withheld(item.key):",
        "if item is not None and is_stored:",
        "tests/fleet/dissemination/test_machine.py -k withheld",
    ),
    Mutant(
        "what is withheld is not sent as a repair",
        "firvane/fleet/dissemination/machine.py",
        "if item.version > known.get(item.key, -1) and not self._is_withheld(item.key)",
        "if item.version > known.get(item.key, -1)",
        "tests/fleet/dissemination/test_machine.py -k withheld",
    ),
    Mutant(
        "a state from the disk is published once it is current",
        "firvane/fleet/controller/configuration_publisher.py",
        "        if not self._is_current():\n",
        "        if False:\n",
        f"{CONTROLLER}test_configuration_publisher.py",
    ),
    Mutant(
        "records of services are withheld like the configuration",
        "firvane/fleet/controller/controller.py",
        "            return not self.host.has_quorum_contact(partition_of(service))\n",
        "            return False\n",
        f"{MAJORITY_LOSS}test_a_controller_without_a_majority_disseminates_nothing",
    ),
    Mutant(
        "a controller without a majority refuses nothing",
        "firvane/fleet/controller/configuration_service.py",
        "        if not result.code.is_acknowledgement:\n",
        "        if False:\n",
        f"{CONTROLLER}test_operator_api.py",
    ),
    Mutant(
        "an order that was taken is never refused, however long ago",
        "firvane/fleet/configuration/order_history.py",
        "return OrderStatus.NOT_APPLIED if order.base >= self._complete_from else OrderStatus.UNKNOWN",
        "return OrderStatus.NOT_APPLIED",
        f"{STATE}test_the_order_history_is_bounded",
    ),
    Mutant(
        "of two orders on one base one is taken",
        "firvane/fleet/configuration/state.py",
        "        if order.base < self._version:\n",
        "        if order.base < 0:\n",
        f"{CONFIGURATION}test_oracle.py",
    ),
    Mutant(
        "an order that was taken is known in the next life",
        "firvane/fleet/configuration/state.py",
        "        self._history, draft = read(snapshot)\n",
        "        _, draft = read(snapshot)\n",
        f"{CONFIGURATION}test_state.py",
    ),
    Mutant(
        "what is remembered of an order is its bytes",
        "firvane/fleet/configuration/order_history.py",
        "if self._digests.get(order.base) == digest or digest in self._digests_without_base:",
        "if order.base in self._digests:",
        f"{CONFIGURATION}test_state.py",
    ),
    Mutant(
        "a single voter is never left by a removal",
        "firvane/fleet/replication/membership_policy.py",
        "MAX_VOTERS_TO_ADD_FIRST = 2",
        "MAX_VOTERS_TO_ADD_FIRST = 1",
        POLICY,
    ),
    Mutant(
        "nobody is removed for silence without a successor",
        "firvane/fleet/replication/membership_policy.py",
        "        if ready and unresponsive:\n",
        "        if unresponsive:\n",
        POLICY,
    ),
    Mutant(
        "voters are spread over zones",
        "firvane/fleet/replication/membership_policy.py",
        "(draining or (not has_suspects and spread.improves(ready)))",
        "draining",
        POLICY,
    ),
    Mutant(
        "a journal of another version is left as it is",
        "firvane/fleet/storage/journal.py",
        '        raise UnsupportedFormatError(f"a segment of version {version}")',
        '        raise CorruptJournalError(f"a segment of version {version}")',
        f"{CONTROLLER}test_old_formats.py",
    ),
    Mutant(
        "a request that was turned away never uses that connection again",
        "firvane/fleet/router/connection_pool.py",
        "            elif request_id not in connection.rejected_ids:\n",
        "            else:\n",
        UPSTREAM,
    ),
    Mutant(
        "an answer counts only for the request whose id it echoes",
        "firvane/fleet/router/upstream_connection.py",
        "return run is not None and echoed is not None and echoed != run.request.request_id",
        "return False",
        UPSTREAM,
    ),
    Mutant(
        "an answer without an id belongs to nobody",
        "firvane/fleet/router/upstream_connection.py",
        "        if REQUEST_ID not in message.fields:\n",
        "        if False:\n",
        UPSTREAM,
    ),
    Mutant(
        "a break after the last byte may have run",
        "firvane/fleet/router/upstream_connection.py",
        "run.end(Termination.BROKEN_AFTER_SENT if self.written else Termination.BROKEN_BEFORE_SENT)",
        "run.end(Termination.BROKEN_BEFORE_SENT)",
        UPSTREAM,
    ),
    Mutant(
        "a connection on which a request is not written whole is not used again",
        "firvane/fleet/router/upstream_connection.py",
        "is_clean = message.is_framed and self.written and not",
        "is_clean = message.is_framed and not",
        UPSTREAM,
    ),
]

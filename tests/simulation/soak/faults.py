"""Deliberate faults of the daemons, each of which the soak must detect within ten seeds.

    .venv/bin/python -m tests.simulation.soak.faults [--seeds N] [--jobs N] [NAME ...]

Each fault is applied to a copy of the package, which is played seed by seed until a run violates the expected
rule. The command prints a table, and exits with 1 if a fault is not detected. `test_faults.py` checks that
the faults match the sources.
"""

from __future__ import annotations

import shutil
import subprocess
import sys
import tempfile
from collections.abc import Sequence
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass
from pathlib import Path

import defopt

from firvane.simulation.soak.plan import SIZES, FaultMode, Plan, Size, Step, StepKind

ROOT = Path(__file__).resolve().parents[3]
SEEDS = 10
RUN_LIMIT = 180.0  # s for one seed


@dataclass(frozen=True, slots=True)
class Fault:
    """One change of one source file, and the rule that it violates."""

    name: str
    rule: str
    file: str  # relative to the root of the repository
    old: str  # occurs there exactly once
    new: str
    steps: tuple[Step, ...] = ()  # a fixed plan, if drawn plans of the small size are too short
    size: Size = SIZES["small"]


LONGER_RUN = Size(routers=3, controllers=3, backends=4, clients=40, seconds=30.0, rate=70.0)
FAIL_LATE = (Step(16.0, StepKind.BACKEND_FAULT, span=14.0, share=0.95, mode=FaultMode.ERROR),)
RESET_ALL = (Step(2.0, StepKind.BACKEND_FAULT, span=11.0, share=0.9, mode=FaultMode.RESET),)
SERIAL_RESTARTS = tuple(
    Step(begin + number, StepKind.TERM, f"router-{number}")
    for begin in (1.0, 11.0, 20.0)
    for number in (1, 2, 3)
)
HANG_AND_RESTART = (
    Step(1.0, StepKind.BACKEND_FAULT, span=12.0, share=0.9, mode=FaultMode.HANG),
    *(Step(2.0 + number, StepKind.TERM, f"router-{number}") for number in (1, 2, 3)),
)

FAULTS = (
    Fault(
        "accepts requests until the end of the grace period after SIGTERM",
        "LOST",
        "firvane/fleet/router/drain.py",
        "started_at + min(\n"
        "            ACCEPT_REQUESTS_S, ACCEPT_REQUESTS_RATIO * (deadline - started_at)\n"
        "        )",
        "deadline",
    ),
    Fault(
        "closes connections with requests accepted after SIGTERM",
        "LOST",
        "firvane/fleet/router/client_listener.py",
        "            if connection.is_idle():\n                connection.close()\n",
        "            connection.close()\n",
    ),
    Fault(
        "announces the closing of a connection although a pipelined request has arrived",
        "LOST",
        "firvane/fleet/router/client.py",
        "return self.keep_alive and (not self.context.drain.has_started or self.has_unparsed())",
        "return self.keep_alive and not self.context.drain.has_started",
        SERIAL_RESTARTS,
        LONGER_RUN,
    ),
    Fault(
        "acknowledges both of two orders with one number",
        "CONFIG",
        "firvane/fleet/configuration/state.py",
        "    OrderStatus.NOT_APPLIED: ResultCode.CONFLICT,\n",
        "    OrderStatus.NOT_APPLIED: ResultCode.ACCEPTED,\n",
    ),
    Fault(
        "a retry budget per process instead of per fleet",
        "BUDGET",
        "firvane/fleet/placement/retry_budget.py",
        "CAPACITY_RATIO * self.slack / self.routers.count(now)",
        "CAPACITY_RATIO * self.slack",
        FAIL_LATE,
        LONGER_RUN,
    ),
    Fault(
        "a retry budget that each new configuration refills",
        "BUDGET",
        "firvane/fleet/placement/service_view.py",
        "        self.info = info\n",
        "        self.info = info\n        self.retry_budget._tokens = self.retry_budget.slack\n",
    ),
    Fault(
        "a retry budget that is full when a process starts",
        "BUDGET",
        "firvane/fleet/placement/retry_budget.py",
        "        self._tokens = 0.0\n",
        "        self._tokens = slack\n",
    ),
    Fault(
        "a retry is not counted if its connection broke before the head of the response",
        "BUDGET",
        "firvane/fleet/placement/balancer.py",
        "        if outcome.result.never_ran and outcome",
        "        if (outcome.result.never_ran or outcome.result is api.Result.RESET) and outcome",
        RESET_ALL,
    ),
    Fault(
        "one backend more than max_attempts",
        "ATTEMPTS",
        "firvane/fleet/placement/pending_request.py",
        "        return self.attempts_reached < self.request.max_attempts\n",
        "        return self.attempts_reached <= self.request.max_attempts\n",
    ),
    Fault(
        "retries requests that must not run twice",
        "TWICE",
        "firvane/fleet/placement/pending_request.py",
        "        return self.may_have_run == 0 or self.request.retryable\n",
        "        return True\n",
    ),
    Fault(
        "responds that a request has not run although it may have",
        "REFUSED",
        "firvane/fleet/placement/balancer.py",
        "        if pending.may_have_run or pending.response_started:\n",
        "        if pending.response_started:\n",
    ),
    Fault(
        "a truncated response ends like a complete one",
        "MIXED",
        "firvane/fleet/router/client.py",
        "        self._log_truncated()\n        self.flow",
        "        self._log_truncated()\n        self.last()\n        self.flow",
    ),
    Fault(
        "exits after its grace period",
        "END",
        "firvane/fleet/router/router.py",
        "DRAIN_MARGIN_S = 0.8 ",
        "DRAIN_MARGIN_S = -1.5 ",
        HANG_AND_RESTART,
    ),
)


@dataclass(frozen=True, slots=True)
class FaultResult:
    """The result for one fault."""

    fault: Fault
    seed: int  # that detected the fault; 0 if none did
    rules: str

    def line(self) -> str:
        """The row of the table."""
        plan = "told" if self.fault.steps else "drawn"
        return f"| {self.fault.name} | {self.fault.rule} | {plan} | {self.seed or 'missed'} | {self.rules} |"


def play(fault: Fault, seeds: int) -> FaultResult:
    """Play a fault until a seed detects it."""
    folder = Path(tempfile.mkdtemp(prefix="firvane-fault-"))
    try:
        shutil.copytree(ROOT / "firvane", folder / "firvane", ignore=shutil.ignore_patterns("__pycache__"))
        path = folder / fault.file
        path.write_text(path.read_text().replace(fault.old, fault.new))
        violated = ""
        for seed in range(1, seeds + 1):
            violated = _soak(fault, seed, folder)
            if f"{fault.rule}:" in violated:
                return FaultResult(fault, seed, violated)
        return FaultResult(fault, 0, violated)
    finally:
        shutil.rmtree(folder, ignore_errors=True)


def _soak(fault: Fault, seed: int, program_root: Path) -> str:
    """The rules that one seed violates with the package in `program_root`."""
    command = [sys.executable, "-m", "firvane.simulation.soak", "--program-root", str(program_root)]
    if fault.steps:
        plan = program_root / "plan.json"
        plan.write_text(Plan(seed, fault.size, fault.steps).to_json())
        command += ["--replay", str(plan)]
    else:
        command += ["--size", "small", "--seed", str(seed)]
    completed = subprocess.run(
        command,
        cwd=ROOT,
        capture_output=True,
        text=True,
        timeout=RUN_LIMIT,
    )
    first = completed.stdout.partition("\n")[0]
    return first.partition("broken ")[2].partition(";")[0] or completed.stderr[-200:]


def faults(*names: str, seeds: int = SEEDS, jobs: int = 1) -> int:
    """Play deliberate faults; exits with 1 if one is not detected.

    :param names: parts of the names of the faults to play; default: all
    :param seeds: maximum number of seeds for each fault
    :param jobs: number of faults played concurrently
    """
    chosen = [each for each in FAULTS if not names or any(name in each.name for name in names)]
    with ThreadPoolExecutor(jobs) as pool:
        results = list(pool.map(lambda fault: play(fault, seeds), chosen))
    print("| fault | rule | plan | seed | broken in that run |\n| --- | --- | --- | --- | --- |")
    for each in results:
        print(each.line())
    return int(not all(each.seed for each in results))


def main(arguments: Sequence[str] | None = None) -> None:
    """Run the command."""
    sys.exit(int(defopt.run(faults, argv=arguments)))


if __name__ == "__main__":
    main()

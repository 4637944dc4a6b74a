"""Runs one scenario under every policy at the same time, each with its own fleet."""

import os
import sys
import time
from pathlib import Path

import msgspec
from msgspec import Struct

from standins._fleet import Fleet
from standins._load_results import LoadResult
from standins._processes import ChildProcess
from standins._summary import RunSummary, summarize_run
from standins.load import LoadJob

from ._cpu import read_cpu_s
from ._deployments import Deployment
from ._policies import POLICY_VARIABLE, PolicyName
from ._scenarios import Scenario, ScheduledFault, build_load

LAST_ANSWER_TIMEOUT_S = 25.0
POLL_INTERVAL_S = 0.02
DRAIN_TIMEOUT_S = 60.0


class RunKey(Struct, frozen=True, kw_only=True):
    """The parameters of a run."""

    deployment: str
    scenario: str
    level: float
    seed: int
    duration_s: float


class PolicyRun(Struct, frozen=True, kw_only=True):
    """The result of one policy in one run.

    Attributes:
        machine_load: The machine's load average at the end, divided by the number of processors.
            Above 1, engine steps are late in the fleets of all policies.
        entry_cpu_share: The CPU time of the busiest entry process, divided by the duration of
            the run.
    """

    key: RunKey
    policy: PolicyName
    summary: RunSummary
    machine_load: float
    entry_cpu_share: float


class _PolicyRunner:
    """A fleet under one policy, and its load generator."""

    def __init__(
        self, *, policy: PolicyName, deployment: Deployment, scenario: Scenario, directory: Path
    ) -> None:
        self.policy = policy
        self.fleet = Fleet(
            shape=deployment.build_shape(scenario.engine_options), directory=directory
        )
        self._result_file = directory / "result.json"
        self._job_file = directory / "job.json"
        self._load: ChildProcess | None = None
        self._started_s = 0.0

    def launch_hosts(self) -> None:
        """Start the hosts' processes under this policy."""
        os.environ[POLICY_VARIABLE] = self.policy.value
        self.fleet.launch_hosts()

    def start_load(self, job: LoadJob) -> None:
        """Start the load generator."""
        self._job_file.write_bytes(msgspec.json.encode(job))
        command = [sys.executable, "-m", "standins.load"]
        command += ["--job", str(self._job_file), "--result", str(self._result_file)]
        self._load = ChildProcess(
            name="load", command=command, directory=self.fleet.directory, url=""
        )
        self._load.start()
        self._started_s = time.monotonic()

    @property
    def is_load_running(self) -> bool:
        """Whether the load generator is still running."""
        return self._load is not None and self._load.running

    def measure_entry_cpu_share(self) -> float:
        """Return the CPU time of the busiest entry process, divided by the duration of the load.

        The CPU time counts from the start of the process.
        """
        pids = [self.fleet.process(f"entry-{host.name}").pid for host in self.fleet.shape.hosts]
        return max(map(read_cpu_s, pids)) / (time.monotonic() - self._started_s)

    def read_result(self) -> LoadResult:
        """Return the results that the load generator recorded."""
        return msgspec.json.decode(self._result_file.read_bytes(), type=LoadResult)


def run_policies(
    deployment: Deployment, scenario: Scenario, *, seed: int, duration_s: float, directory: Path
) -> list[PolicyRun]:
    """Run one scenario with one seed under every policy at the same time.

    Every policy receives the same arrivals.
    """
    runners = [
        _PolicyRunner(
            policy=policy,
            deployment=deployment,
            scenario=scenario,
            directory=directory / policy.value,
        )
        for policy in PolicyName
    ]
    shape = build_load(deployment, scenario, seed=seed, duration_s=duration_s)
    key = RunKey(
        deployment=deployment.name,
        scenario=scenario.name,
        level=scenario.level,
        seed=seed,
        duration_s=duration_s,
    )
    try:
        _start_fleets(runners)
        for runner in runners:
            entries = tuple(runner.fleet.entry_urls())
            runner.start_load(
                LoadJob(entries=entries, shape=shape, patience_s=LAST_ANSWER_TIMEOUT_S)
            )
        _inject_faults(runners, scenario, duration_s)
        return [_summarize(runner, deployment, key) for runner in runners]
    finally:
        for runner in runners:
            runner.fleet.request_entries_stop()
        for runner in runners:
            runner.fleet.close()


def _start_fleets(runners: list[_PolicyRunner]) -> None:
    for runner in runners:
        runner.fleet.launch_upstreams()
    for runner in runners:
        runner.fleet.wait_for_upstreams()
    for runner in runners:
        runner.launch_hosts()
    for runner in runners:
        runner.fleet.wait_for_hosts()


def _inject_faults(runners: list[_PolicyRunner], scenario: Scenario, duration_s: float) -> None:
    """Inject the scenario's faults at their times until all load generators have ended."""
    started_s = time.monotonic()
    steps = _list_fault_steps(scenario.scheduled_faults, duration_s)
    while any(runner.is_load_running for runner in runners):
        elapsed_s = time.monotonic() - started_s
        if elapsed_s > duration_s + LAST_ANSWER_TIMEOUT_S + DRAIN_TIMEOUT_S:
            raise TimeoutError("a load generator did not end in time")
        while steps and steps[0][0] <= elapsed_s:
            _, restart, scheduled_fault = steps.pop(0)
            for runner in runners:
                _apply_fault(runner.fleet, scheduled_fault, restart=restart)
        time.sleep(POLL_INTERVAL_S)


def _list_fault_steps(
    scheduled_faults: tuple[ScheduledFault, ...], duration_s: float
) -> list[tuple[float, bool, ScheduledFault]]:
    steps = [(scheduled.at * duration_s, False, scheduled) for scheduled in scheduled_faults]
    steps += [
        (scheduled.restart_at * duration_s, True, scheduled)
        for scheduled in scheduled_faults
        if scheduled.restart_at is not None
    ]
    return sorted(steps, key=lambda step: step[:2])


def _apply_fault(fleet: Fleet, scheduled_fault: ScheduledFault, *, restart: bool) -> None:
    if restart:
        fleet.restart(scheduled_fault.engine)
    else:
        fleet.set_fault(scheduled_fault.engine, scheduled_fault.fault)


def _summarize(runner: _PolicyRunner, deployment: Deployment, key: RunKey) -> PolicyRun:
    summary = summarize_run(
        runner.read_result(), deployment.classes, runner.fleet.read_engine_ledgers()
    )
    return PolicyRun(
        key=key,
        policy=runner.policy,
        summary=summary,
        machine_load=os.getloadavg()[0] / (os.cpu_count() or 1),
        entry_cpu_share=runner.measure_entry_cpu_share(),
    )

"""One scenario, one seed, every policy: fleets of their own, side by side, the same arrivals."""

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
from ._scenarios import Disturbance, Scenario, build_load

PATIENCE_S = 25.0
POLL_INTERVAL_S = 0.02
DRAIN_TIMEOUT_S = 60.0


class RunKey(Struct, frozen=True, kw_only=True):
    """What a run was made of."""

    deployment: str
    scenario: str
    level: float
    seed: int
    duration_s: float


class PolicyRun(Struct, frozen=True, kw_only=True):
    """One policy's figures in one run.

    Attributes:
        machine_load: The machine's load average at the end, divided by its processors; above
            1 the engines' steps come late, in all policies' fleets.
        entry_cpu_share: The busiest entry process's CPU time over the run's time.
    """

    key: RunKey
    policy: PolicyName
    summary: RunSummary
    machine_load: float
    entry_cpu_share: float


class _Contestant:
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
        """Start sending."""
        self._job_file.write_bytes(msgspec.json.encode(job))
        command = [sys.executable, "-m", "standins.load"]
        command += ["--job", str(self._job_file), "--result", str(self._result_file)]
        self._load = ChildProcess(
            name="load", command=command, directory=self.fleet.directory, url=""
        )
        self._load.start()
        self._started_s = time.monotonic()

    @property
    def sending(self) -> bool:
        """Whether the load generator still runs."""
        return self._load is not None and self._load.running

    def measure_entry_cpu_share(self) -> float:
        """Return the busiest entry process's CPU time since its start, over the load's time."""
        pids = [self.fleet.process(f"entry-{host.name}").pid for host in self.fleet.shape.hosts]
        return max(map(read_cpu_s, pids)) / (time.monotonic() - self._started_s)

    def read_result(self) -> LoadResult:
        """Return what the callers saw."""
        return msgspec.json.decode(self._result_file.read_bytes(), type=LoadResult)


def run_policies(
    deployment: Deployment, scenario: Scenario, *, seed: int, duration_s: float, directory: Path
) -> list[PolicyRun]:
    """Run one scenario with one seed under every policy at the same time."""
    contestants = [
        _Contestant(
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
        _start_fleets(contestants)
        for contestant in contestants:
            entries = tuple(contestant.fleet.entry_urls())
            contestant.start_load(LoadJob(entries=entries, shape=shape, patience_s=PATIENCE_S))
        _disturb(contestants, scenario, duration_s)
        return [_summarize(contestant, deployment, key) for contestant in contestants]
    finally:
        for contestant in contestants:
            contestant.fleet.request_entries_stop()
        for contestant in contestants:
            contestant.fleet.close()


def _start_fleets(contestants: list[_Contestant]) -> None:
    for contestant in contestants:
        contestant.fleet.launch_upstreams()
    for contestant in contestants:
        contestant.fleet.wait_for_upstreams()
    for contestant in contestants:
        contestant.launch_hosts()
    for contestant in contestants:
        contestant.fleet.wait_for_hosts()


def _disturb(contestants: list[_Contestant], scenario: Scenario, duration_s: float) -> None:
    """Carry out the scenario's disturbances at their times, until all loads have ended."""
    started_s = time.monotonic()
    steps = _list_steps(scenario.disturbances, duration_s)
    while any(contestant.sending for contestant in contestants):
        elapsed_s = time.monotonic() - started_s
        if elapsed_s > duration_s + PATIENCE_S + DRAIN_TIMEOUT_S:
            raise TimeoutError("a load generator did not end")
        while steps and steps[0][0] <= elapsed_s:
            _, restart, disturbance = steps.pop(0)
            for contestant in contestants:
                _apply(contestant.fleet, disturbance, restart=restart)
        time.sleep(POLL_INTERVAL_S)


def _list_steps(
    disturbances: tuple[Disturbance, ...], duration_s: float
) -> list[tuple[float, bool, Disturbance]]:
    steps = [(each.at * duration_s, False, each) for each in disturbances]
    steps += [
        (each.restart_at * duration_s, True, each)
        for each in disturbances
        if each.restart_at is not None
    ]
    return sorted(steps, key=lambda step: step[:2])


def _apply(fleet: Fleet, disturbance: Disturbance, *, restart: bool) -> None:
    if restart:
        fleet.restart(disturbance.engine)
    else:
        fleet.set_fault(disturbance.engine, disturbance.fault)


def _summarize(contestant: _Contestant, deployment: Deployment, key: RunKey) -> PolicyRun:
    summary = summarize_run(
        contestant.read_result(), deployment.classes, contestant.fleet.read_engine_ledgers()
    )
    return PolicyRun(
        key=key,
        policy=contestant.policy,
        summary=summary,
        machine_load=os.getloadavg()[0] / (os.cpu_count() or 1),
        entry_cpu_share=contestant.measure_entry_cpu_share(),
    )

"""One run of the soak: sets the system up, injects faults, checks and cleans up."""

import os
import shutil
import subprocess
import sys
from collections import Counter
from dataclasses import dataclass
from pathlib import Path
from random import Random
from typing import Any

from twisted.internet.defer import Deferred, DeferredList
from twisted.internet.error import ConnectError

from ._answer_checks import AnswerChecks
from ._arrival_checks import ArrivalChecks
from ._bounds import RECOVERY_S
from ._crash_checks import CrashChecks
from ._deadline_checks import DeadlineChecks
from ._dialing import dial
from ._disturbances import Disturbances
from ._duty_checks import DutyChecks
from ._excuses import JudgedShare, LossExcuses, write_excuses
from ._faults import Fault, draw_schedule
from ._findings import Findings, Rule
from ._fleet import VERSIONS, Member, UpstreamFleet
from ._host_fleet import HostFleet
from ._injection import Injector
from ._lag import Lag
from ._ledger import Ending, Ledger
from ._limit_checks import LimitChecks
from ._notice_checks import NoticeChecks
from ._operator import Operator
from ._retry_checks import RetryChecks
from ._special_callers import ConnectingCaller, CrashingCaller, PipeliningCaller
from ._store import StoreControl
from ._traffic import Caller, TrafficContext, sleep

STORE_PORT = 20_070
CONTROL_PORT = 20_071
START_TIMEOUT_S = 30.0
CONNECT_PAUSE_S = 0.05
WARM_UP_S = 1.5
MEASURED_S = 3.0
MIN_SERVED_SHARE = 0.25
DEADLY_PART_CHANCE = 0.5
LIMITS_CHANCE = 0.5
CRASHING_REQUEST_CHANCE = 0.5
CALLERS_PER_HOST = 6
CONNECTING_CALLERS_PER_HOST = 3


@dataclass(frozen=True, slots=True, kw_only=True)
class RunOptions:
    """What a run is started with.

    Attributes:
        kinds: Kinds of faults; if empty, the seed draws them.
        pause_s: Mean time between the beginnings of two faults; None if the seed draws it.
        deadly_share: Share of the prompts with a part that crashes upstreams, from the first fault
            to the end; None if the seed draws it.
        equal_callers: Number of callers that send the same request, which crashes upstreams; None
            if the seed draws whether one does.
        equal_pause_s: Mean time between two of its tries by one of them; None for the usual one.
        product: Checkout whose code the hosts run, to compare landings; None for this one.
    """

    seed: int
    hosts: int
    upstreams: int
    seconds: float
    directory: Path
    faults: bool = True
    kinds: tuple[Fault, ...] = ()
    pause_s: float | None = None
    deadly_share: float | None = None
    equal_callers: int | None = None
    equal_pause_s: float | None = None
    product: Path | None = None


class SoakRun:
    """One run in this process's reactor."""

    def __init__(self, options: RunOptions, reactor: Any) -> None:
        self._options = options
        self._reactor = reactor
        self._network = f"127.{1 + os.getpid() // 250 % 250}.{os.getpid() % 250}"
        self._disturbances = Disturbances()
        self._ledger = Ledger()
        self._findings = Findings(began_s=self._reactor.seconds(), disturbances=self._disturbances)
        self._hosts = HostFleet(
            reactor=self._reactor,
            disturbances=self._disturbances,
            findings=self._findings,
            product=options.product,
        )
        self._crashes = CrashChecks(findings=self._findings, disturbances=self._disturbances)
        self._limits = LimitChecks(findings=self._findings, disturbances=self._disturbances)
        self._duties = DutyChecks(
            reactor=self._reactor,
            findings=self._findings,
            ledger=self._ledger,
            random=Random(f"{options.seed}/duties"),
        )
        self._lag = Lag()
        self._answers: AnswerChecks | None = None
        self._deadlines: DeadlineChecks | None = None
        self._retries: RetryChecks | None = None
        self._store_process: subprocess.Popen[bytes] | None = None
        self._upstreams: UpstreamFleet | None = None
        self._closed = False
        self._callers: list[Deferred[None]] = []

    @property
    def findings(self) -> Findings:
        """The findings so far."""
        return self._findings

    def summarize(self) -> str:
        """Return the numbers of requests by ending, and how many were judged."""
        attempts = self._ledger.attempts.values()
        counts = Counter(
            str(each.status) if each.ending is Ending.COMPLETE else each.ending.value
            for each in attempts
        )
        judged = JudgedShare()
        judged.count(self._disturbances, self._ledger)
        losses = "none" if self._answers is None else self._answers.loss_excuses.summarize()
        deadlines = "none" if self._deadlines is None else self._deadlines.summarize()
        endings = ", ".join(f"{name}: {count}" for name, count in sorted(counts.items()))
        early = self._hosts.early_ends
        return (
            f"{len(attempts)} requests ({endings});\n{judged.summarize()};\n"
            f"losses excused: {losses};\n{deadlines}; "
            f"{0 if self._upstreams is None else self._upstreams.repeated_refusals} refusals "
            "sent once more; "
            f"{early} processes ended by a signal before they listened; "
            f"{0 if self._retries is None else self._retries.repeats} repeats, "
            f"{0.0 if self._retries is None else self._retries.largest_use:.2f} of the allowed "
            f"used at most; {self._crashes.summarize(self._findings.began_s)}"
        )

    def write_excuses(self) -> None:
        """Write each excused request with its reason, and all disturbances, beside the logs."""
        directory, began_s = self._options.directory, self._findings.began_s
        losses = LossExcuses() if self._answers is None else self._answers.loss_excuses
        write_excuses(directory, self._disturbances, self._ledger, losses, began_s)

    async def play(self) -> None:
        """Run from the first start to the measured recovery."""
        options = self._options
        store = await self._start_store()
        notices = NoticeChecks(findings=self._findings, disturbances=self._disturbances)
        operator = Operator(
            reactor=self._reactor, store=store, random=Random(f"{options.seed}/operator")
        )
        deadlines = self._deadlines = self._build_deadline_checks(operator)
        retries = self._retries = self._build_retry_checks(operator)
        arrivals = self._build_arrival_checks(operator, notices, retries)
        upstreams = self._start_upstreams(store, arrivals)
        await operator.publish_first()
        self._start_hosts()
        await self._wait_ready()
        self._lag.watch(self._reactor)
        answers = self._answers = self._build_answer_checks(operator, notices, upstreams)
        traffic = self._start_traffic(operator, answers)
        await sleep(self._reactor, WARM_UP_S)
        self._duties.begin()
        if options.faults:
            self._duties.schedule_faults(options.seconds)
            self._schedule_faults(upstreams, operator, store)
            self._schedule_deadly_part(traffic)
            self._schedule_limits(upstreams)
        await sleep(self._reactor, options.seconds)
        await self._check_recovery()
        traffic.stopped = True
        await DeferredList(self._callers)
        answers.finish(self._reactor.seconds())
        retries.finish(self._reactor.seconds())
        deadlines.finish()
        self._duties.finish(calm=not options.faults)

    def close(self) -> None:
        """End all processes and upstreams of the run; what breaks by that is not checked."""
        self._closed = True
        self._hosts.close()
        self._duties.close()
        if self._upstreams is not None:
            self._upstreams.close()
        process = self._store_process
        if process is not None and process.poll() is None:
            process.kill()
            process.wait()

    def _build_retry_checks(self, operator: Operator) -> RetryChecks:
        return RetryChecks(
            ledger=self._ledger,
            findings=self._findings,
            operator=operator,
            disturbances=self._disturbances,
            get_slack=lambda: self._hosts.largest_slack,
        )

    def _build_deadline_checks(self, operator: Operator) -> DeadlineChecks:
        return DeadlineChecks(
            ledger=self._ledger,
            findings=self._findings,
            operator=operator,
            disturbances=self._disturbances,
            lag=self._lag,
        )

    def _build_arrival_checks(
        self, operator: Operator, notices: NoticeChecks, retries: RetryChecks
    ) -> ArrivalChecks:
        return ArrivalChecks(
            ledger=self._ledger,
            findings=self._findings,
            operator=operator,
            disturbances=self._disturbances,
            notices=notices,
            crashes=self._crashes,
            limits=self._limits,
            retries=retries,
        )

    def _build_answer_checks(
        self, operator: Operator, notices: NoticeChecks, upstreams: UpstreamFleet
    ) -> AnswerChecks:
        return AnswerChecks(
            ledger=self._ledger,
            findings=self._findings,
            operator=operator,
            disturbances=self._disturbances,
            notices=notices,
            crashes=self._crashes,
            limits=self._limits,
            lag=self._lag,
            count_version=upstreams.count_version,
            has_logged=self._hosts.has_logged,
        )

    async def _start_store(self) -> StoreControl:
        directory = self._options.directory
        shutil.rmtree(directory, ignore_errors=True)
        directory.mkdir(parents=True)
        command = [sys.executable, "-m", "soak", "store", "--address", f"{self._network}.251"]
        with (directory / "store.log").open("wb") as log:
            self._store_process = subprocess.Popen(
                [*command, "--port", str(STORE_PORT), "--control-port", str(CONTROL_PORT)],
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=subprocess.STDOUT,
                start_new_session=True,
            )
        give_up_s = self._reactor.seconds() + START_TIMEOUT_S
        while True:
            try:
                control: StoreControl = await dial(
                    self._reactor, StoreControl, (f"{self._network}.251", CONTROL_PORT)
                )
                return control
            except ConnectError:
                if self._reactor.seconds() > give_up_s:
                    raise
                await sleep(self._reactor, CONNECT_PAUSE_S)

    def _start_upstreams(self, store: StoreControl, arrivals: ArrivalChecks) -> UpstreamFleet:
        upstreams = UpstreamFleet(
            reactor=self._reactor,
            address=f"{self._network}.252",
            store=store,
            random=Random(f"{self._options.seed}/upstreams"),
            observer=arrivals,
            disturbances=self._disturbances,
            crash_checks=self._crashes,
        )
        arrivals.fleet = self._upstreams = upstreams
        for number in range(self._options.upstreams):
            service = ("engines", "archive", "engines", "annex")[number % 4]
            upstreams.add(service, VERSIONS[number // 4 % len(VERSIONS)])
        return upstreams

    def _schedule_faults(
        self, upstreams: UpstreamFleet, operator: Operator, store: StoreControl
    ) -> None:
        options = self._options
        injector = Injector(
            reactor=self._reactor,
            disturbances=self._disturbances,
            hosts=self._hosts,
            upstreams=upstreams,
            operator=operator,
            store=store,
        )
        schedule = draw_schedule(
            Random(f"{options.seed}/faults"),
            0.0,
            options.seconds,
            kinds=options.kinds,
            mean_pause_s=options.pause_s,
        )
        injector.schedule(schedule)

    def _schedule_deadly_part(self, traffic: TrafficContext) -> None:
        """Let some prompts have a part that crashes upstreams, from some time on in some runs."""
        if self._options.deadly_share is not None:
            traffic.deadly_share = self._options.deadly_share
            return
        random = Random(f"{self._options.seed}/deadly part")
        if random.random() < DEADLY_PART_CHANCE:
            begins_s = random.uniform(0.0, self._options.seconds / 2)
            share = random.choice((0.05, 0.15, 0.4))
            self._reactor.callLater(begins_s, setattr, traffic, "deadly_share", share)

    def _schedule_limits(self, upstreams: UpstreamFleet) -> None:
        """Let single upstreams name a limit now and then while there are faults, in some runs."""
        random = Random(f"{self._options.seed}/limits")
        if random.random() > LIMITS_CHANCE:
            return

        ended_s = self._reactor.seconds() + self._options.seconds

        def begin() -> None:
            left_s = ended_s - self._reactor.seconds()
            if self._closed or left_s <= 0:
                return
            member = random.choice(upstreams.list_alive())
            instance = member.upstream.identity.instance
            if member.upstream.limit_per_s is None:
                member.upstream.limit_per_s = random.choice((0.5, 1.0, 2.8))
                now_s = self._reactor.seconds()
                self._limits.begin(instance, member.upstream.limit_per_s, now_s)
                self._reactor.callLater(min(random.uniform(5.0, 12.0), left_s), end, member)
            self._reactor.callLater(random.uniform(1.0, 4.0), begin)

        def end(member: Member) -> None:
            member.upstream.limit_per_s = None
            self._limits.end(member.upstream.identity.instance)

        self._reactor.callLater(random.uniform(0.0, 3.0), begin)

    def _start_hosts(self) -> None:
        duties = self._duties.open(f"{self._network}.253")
        store = f"{self._network}.251", STORE_PORT
        for number in range(self._options.hosts):
            self._hosts.add(number, self._network, store, self._options.directory, duties)
        self._hosts.start()

    async def _wait_ready(self) -> None:
        give_up_s = self._reactor.seconds() + START_TIMEOUT_S
        await sleep(self._reactor, WARM_UP_S)
        while not all(host.in_rotation for host in self._hosts.hosts):
            if self._reactor.seconds() > give_up_s:
                raise TimeoutError("the hosts did not become ready")
            await sleep(self._reactor, CONNECT_PAUSE_S)

    def _start_traffic(self, operator: Operator, answers: AnswerChecks) -> TrafficContext:
        context = TrafficContext(
            reactor=self._reactor,
            ledger=self._ledger,
            operator=operator,
            hosts=self._hosts.hosts,
            on_end=lambda attempt: None if self._closed else answers.check(attempt),
            on_stray=lambda attempt, data: answers.check_stray(
                attempt, data, self._reactor.seconds()
            ),
        )
        hosts = len(self._hosts.hosts)
        kinds = [Caller] * (CALLERS_PER_HOST * hosts) + [PipeliningCaller] * hosts
        kinds += [CrashingCaller] * self._count_crashing_callers()
        kinds += [ConnectingCaller] * (CONNECTING_CALLERS_PER_HOST * hosts)
        for number, kind in enumerate(kinds):
            caller = kind(
                context=context,
                random=Random(f"{self._options.seed}/caller/{number}"),
                hazard_random=Random(f"{self._options.seed}/hazards/{number}"),
                ids_random=Random(f"{self._options.seed}/ids/{number}"),
            )
            if isinstance(caller, CrashingCaller) and self._options.equal_pause_s is not None:
                caller.mean_pause_s = self._options.equal_pause_s
            running: Deferred[None] = Deferred.fromCoroutine(caller.run())
            running.addErrback(lambda failure: self._fail(failure))
            self._callers.append(running)
        return context

    def _count_crashing_callers(self) -> int:
        if self._options.equal_callers is not None:
            return self._options.equal_callers
        drawn = Random(f"{self._options.seed}/crashing request").random()
        return int(self._options.faults and drawn < CRASHING_REQUEST_CHANCE)

    def _fail(self, failure: Any) -> None:
        failure.printTraceback()
        self._findings.add(Rule.OWN_END, self._reactor.seconds(), "soak", str(failure.value))

    async def _check_recovery(self) -> None:
        """Measure the share of served requests once the bound of recovery has passed."""
        await sleep(self._reactor, RECOVERY_S if self._options.faults else 0.0)
        began_s = self._reactor.seconds()
        await sleep(self._reactor, MEASURED_S)
        sent = [
            attempt
            for attempt in self._ledger.attempts.values()
            if attempt.sent_s >= began_s
            and attempt.ending not in (Ending.OPEN, Ending.LEFT)
            and attempt.status not in (401, 404)
            and not attempt.plan.deadly
            and not attempt.plan.crashing
        ]
        served = sum(attempt.served for attempt in sent)
        if not sent or served / len(sent) < MIN_SERVED_SHARE:
            text = f"{served} of {len(sent)} requests served after all faults"
            self._findings.add(Rule.RECOVER, self._reactor.seconds(), "-", text)

"""The routing decisions of one host."""

from collections.abc import Callable, Iterable, Mapping
from dataclasses import replace
from enum import Enum

from greengagestage.catalog import Bounds, RegisteredUpstream, RouteTable, Service
from greengagestage.ids import AttemptId, FailureDomain, InstanceId, ServiceName
from greengagestage.results import ResultCode

from ._demand import Demand, DemandMeter, EngineSplit
from ._jobs import Job, Placement, Refused, Waiting
from ._loads import UpstreamLoad, WorkItem
from ._placement import Choice, EngineChooser, choose_plain, is_sensitive
from ._retries import RetryBudget
from ._upstreams import UpstreamState

NO_UPSTREAM_RETRY_S = 0.4
"""When to come back while a service has no upstream: new ones register within seconds."""

OVERLOAD_RETRY_S = 2.0
"""When to come back to engines that cannot finish another answer in time, spread by half: in this
time each finishes several answers."""

DISMISSAL_S = 3.0
"""How long an entry is left out after another upstream answered at its address; the registry
drops an entry after three missed heartbeats."""

DEMAND_REFRESH_S = 0.1
"""The demand on all hosts is summed up this often: it changes over more than a second."""

DEFAULT_REPORT_DELAY_S = 0.1
"""Time after which the work of other hosts is known, until the interval of their reports is."""

CONNECTIONS_SHARE = 0.8
"""Part of an upstream's connections that the hosts share, so that new hosts find some free."""


class AttemptEnd(Enum):
    """How an attempt ended, as far as it says something about its upstream."""

    ANSWERED = "answered"
    FAILED = "failed"
    LOST = "lost"
    UNREACHABLE = "unreachable"
    FULL = "full"
    MISDIRECTED = "elsewhere"
    CANCELLED = "cancelled"


class Router:
    """Knows the upstreams and the work there, and places jobs.

    Args:
        draw: Returns random numbers from 0 up to 1; the same numbers repeat a run.
    """

    def __init__(self, *, domain: FailureDomain, bounds: Bounds, draw: Callable[[], float]) -> None:
        self._domain = domain
        self._bounds = bounds
        self._draw = draw
        self._services: Mapping[ServiceName, Service] = {}
        self._strictest_gap_s: dict[ServiceName, float] = {}
        self._upstreams: dict[InstanceId, UpstreamState] = {}
        self._choosers: dict[ServiceName, EngineChooser] = {}
        self._meters: dict[ServiceName, DemandMeter] = {}
        self._others: Mapping[InstanceId, UpstreamLoad] = {}
        self._others_demand: Mapping[ServiceName, Demand] = {}
        self._demand_cache: dict[ServiceName, tuple[float, Demand]] = {}
        self._splits: dict[ServiceName, EngineSplit] = {}
        self._budgets: dict[ServiceName, RetryBudget] = {}
        self.hosts: int | None = None
        self.report_delay_s = DEFAULT_REPORT_DELAY_S

    @property
    def upstreams(self) -> Mapping[InstanceId, UpstreamState]:
        """All registered upstreams."""
        return self._upstreams

    def update_bounds(self, bounds: Bounds) -> None:
        """Take over changed bounds; what was spent of the old budgets stays spent."""
        self._bounds = bounds
        for budget in self._budgets.values():
            budget.adopt(
                ratio=bounds.retry_ratio, slack=bounds.retry_slack, window_s=bounds.retry_window_s
            )

    def update_routes(self, table: RouteTable) -> None:
        """Take over the services and the pauses that their routes allow."""
        self._services = table.services
        self._strictest_gap_s = {}
        for route in table.routes:
            for destination in route.destinations:
                gap_s = route.gap_target_s
                if gap_s is not None:
                    known_s = self._strictest_gap_s.get(destination.service, gap_s)
                    self._strictest_gap_s[destination.service] = min(known_s, gap_s)
        self._choosers.clear()

    def update_upstreams(self, records: Iterable[RegisteredUpstream], now_s: float) -> None:
        """Take over the registry; a new incarnation starts without a past."""
        known, self._upstreams = self._upstreams, {}
        for record in records:
            state = known.get(record.instance)
            if state is None or state.record.incarnation != record.incarnation:
                state = UpstreamState(record=record, now_s=now_s)
                state.update_peer_loads(self._others.get(record.instance))
            elif state.record != record:
                state.record = record
            self._upstreams[record.instance] = state
        self._choosers.clear()

    def count_request(self, job: Job, now_s: float) -> None:
        """Count a caller's request for the retry budget and the demand."""
        self._find_budget(job.service).note_request(now_s)
        if job.prompt is not None:
            meter = self._meters.setdefault(job.service, DemandMeter())
            meter.note(job.prompt, sensitive=self._is_sensitive(job), now_s=now_s)

    def try_acquire_retry(self, service: ServiceName, now_s: float) -> bool:
        """Return whether a request may be sent once more, and count it."""
        budget = self._find_budget(service)
        if not budget.allows_repeat(now_s, self.hosts):
            return False
        budget.note_repeat(now_s)
        return True

    def place(
        self, job: Job, now_s: float, tried: frozenset[InstanceId] = frozenset()
    ) -> Placement | Refused | Waiting:
        """Choose an upstream that was not tried and book the job there."""
        service = self._services.get(job.service)
        ready = [
            state
            for state in self._upstreams.values()
            if state.record.service == job.service and state.takes_work(now_s)
        ]
        candidates = [state for state in ready if state.record.instance not in tried]
        if service is None or not candidates:
            return self._refuse_without_upstream(ready)
        trusted = [state for state in candidates if state.is_trusted(now_s)] or candidates
        roomy = [state for state in trusted if self._has_connection(state, service)] or trusted
        choice = self._choose(job, service, ready, roomy, now_s)
        if isinstance(choice, Waiting):
            return replace(choice, delay_s=choice.delay_s * (0.75 + 0.5 * self._draw()))
        if not self._is_sensitive(job) and now_s + choice.least_whole_s > job.deadline_s:
            return self._refuse_hopeless(job, choice)
        self._book(job, choice, now_s)
        return Placement(
            upstream=choice.state.record,
            reason=choice.reason,
            expected_s=choice.expected_s,
            prefill_s=choice.prefill_s,
        )

    def record_event(self, attempt_id: AttemptId, instance: InstanceId, now_s: float) -> None:
        """Take in that an upstream sent something for an attempt."""
        state = self._upstreams.get(instance)
        if state is not None:
            state.record_event(attempt_id, now_s)

    def end(
        self, attempt_id: AttemptId, instance: InstanceId, end: AttemptEnd, now_s: float
    ) -> None:
        """Take an attempt out of the books and learn from its end."""
        state = self._upstreams.get(instance)
        if state is None:
            return
        item = state.end(attempt_id)
        match end:
            case AttemptEnd.ANSWERED | AttemptEnd.FAILED:
                state.note_heard(now_s)
                state.health.note_answer(failed=end is AttemptEnd.FAILED)
                if item is not None and end is AttemptEnd.ANSWERED:
                    state.note_answer_time(now_s - item.sent_s)
            case AttemptEnd.LOST:
                state.health.note_lost(now_s)
            case AttemptEnd.UNREACHABLE:
                state.health.note_unreachable(now_s)
            case AttemptEnd.FULL:
                state.note_heard(now_s)
                state.health.note_full(now_s)
            case AttemptEnd.MISDIRECTED:
                state.dismissed_until_s = now_s + DISMISSAL_S
            case AttemptEnd.CANCELLED:
                pass

    def update_peer_loads(
        self,
        loads: Mapping[InstanceId, UpstreamLoad],
        demands: Mapping[ServiceName, Demand],
    ) -> None:
        """Take in the work of all other hosts, in place of what was heard before."""
        self._others, self._others_demand = loads, demands
        for instance, state in self._upstreams.items():
            state.update_peer_loads(loads.get(instance))

    def measure_local_demand(self, now_s: float) -> dict[ServiceName, Demand]:
        """Return the demand that reaches this host."""
        return {service: meter.measure(now_s) for service, meter in self._meters.items()}

    def measure_local_loads(self, now_s: float) -> dict[InstanceId, UpstreamLoad]:
        """Return this host's work, where there is any."""
        return {
            instance: state.measure_local_loads(now_s)
            for instance, state in self._upstreams.items()
            if state.local_requests
        }

    def _choose(
        self,
        job: Job,
        service: Service,
        ready: list[UpstreamState],
        candidates: list[UpstreamState],
        now_s: float,
    ) -> Choice | Waiting:
        if service.engine is None or job.prompt is None:
            return choose_plain(candidates, domain=self._domain, now_s=now_s, draw=self._draw)
        chooser = self._choosers.get(service.name)
        if chooser is None:
            chooser = EngineChooser(
                engine=service.engine,
                engines=ready,
                split=self._splits.setdefault(service.name, EngineSplit()),
                draw=self._draw,
            )
            self._choosers[service.name] = chooser
        return chooser.choose(
            job,
            job.prompt,
            candidates,
            sensitive=self._is_sensitive(job),
            demand=self._measure_demand(job.service, now_s),
            report_delay_s=self.report_delay_s,
            now_s=now_s,
        )

    def _measure_demand(self, service: ServiceName, now_s: float) -> Demand:
        """Return the demand on all hosts, as far as it is known."""
        cached = self._demand_cache.get(service)
        if cached is not None and now_s - cached[0] < DEMAND_REFRESH_S:
            return cached[1]
        meter = self._meters.get(service)
        own = Demand() if meter is None else meter.measure(now_s)
        total = own + self._others_demand.get(service, Demand())
        self._demand_cache[service] = (now_s, total)
        return total

    def _is_sensitive(self, job: Job) -> bool:
        return is_sensitive(job.route.gap_target_s, self._strictest_gap_s.get(job.service))

    def _book(self, job: Job, choice: Choice, now_s: float) -> None:
        prompt = job.prompt
        item = WorkItem(
            sent_s=now_s,
            prefill_s=choice.prefill_s,
            tokens=0 if prompt is None else prompt.tokens + prompt.output_tokens,
            sensitive=self._is_sensitive(job),
            expected_s=choice.expected_s,
        )
        choice.state.start(job.attempt_id, item, prompt)

    def _has_connection(self, state: UpstreamState, service: Service) -> bool:
        share = CONNECTIONS_SHARE * service.max_connections / max(self.hosts or 1, 1)
        return state.local_requests < max(share, 1)

    def _refuse_without_upstream(self, ready: list[UpstreamState]) -> Refused:
        reason = "all upstreams tried" if ready else "no upstream is registered"
        retry_after_s = NO_UPSTREAM_RETRY_S * (0.5 + self._draw())
        return Refused(code=ResultCode.NO_UPSTREAM, retry_after_s=retry_after_s, reason=reason)

    def _refuse_hopeless(self, job: Job, choice: Choice) -> Refused:
        return Refused(
            code=ResultCode.TARGET_UNREACHABLE,
            retry_after_s=OVERLOAD_RETRY_S * (0.5 + self._draw()),
            reason=f"whole after {choice.least_whole_s:.1f} s at {choice.state.record.instance}",
        )

    def _find_budget(self, service: ServiceName) -> RetryBudget:
        budget = self._budgets.get(service)
        if budget is None:
            budget = RetryBudget(
                ratio=self._bounds.retry_ratio,
                slack=self._bounds.retry_slack,
                window_s=self._bounds.retry_window_s,
            )
            self._budgets[service] = budget
        return budget

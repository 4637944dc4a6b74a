"""The router of one host: tracks upstreams, load and demand, and places jobs."""

from collections import Counter
from collections.abc import Callable, Iterable, Mapping
from dataclasses import replace
from enum import Enum
from functools import partial

from greengagestage.catalog import (
    Availability,
    Bounds,
    RegisteredUpstream,
    RouteTable,
    Service,
)
from greengagestage.ids import (
    AttemptId,
    FailureDomain,
    Incarnation,
    InstanceId,
    ServiceName,
)
from greengagestage.results import ResultCode

from ._candidates import filter_roomy, filter_usable
from ._choices import UpstreamChooser
from ._demand import Demand
from ._domain_traffic import DomainTraffic
from ._engine_choice import Choice, NoRoom
from ._jobs import Job, Placement, Refused, Waiting
from ._links import ForwardingHost, LinkMonitor
from ._loads import InFlightRequest, UpstreamLoad
from ._notices import NoticeBoard
from ._overload import UrgencyTraffic
from ._overload_control import OVERDUE_TARGETS, OverloadControl, may_wait
from ._rejection_guard import RejectionGuard
from ._request_pacer import RequestPacer
from ._retries import ASSUMED_HOSTS, RetryBudgets
from ._route_groups import hash_route
from ._service_demand import ServiceDemand
from ._slot_shares import divide_slots
from ._software_versions import StreamVersions
from ._stream_start import await_record, filter_beginnings
from ._upstreams import UpstreamState

NO_UPSTREAM_RETRY_S = 0.4
"""Mean retry delay for callers while a service has no upstream. New ones register within
seconds."""

ROOM_RECHECK_S = 0.05
"""Time until a request that waits for room at brittle upstreams is placed again, on average."""

MISDIRECTED_EXCLUSION_S = 3.0
"""Time for which an upstream gets no requests after a different one answered at its address. The
registry drops an entry after three missed heartbeats."""

DEFAULT_REPORT_DELAY_S = 0.1
"""Assumed delay of other hosts' load reports until the actual delay is known."""

CONNECTIONS_SHARE = 0.8
"""Share of an upstream's connections that the known hosts divide among them; the rest is left for
new hosts."""


class AttemptEnd(Enum):
    """How an attempt ended, as far as it says something about its upstream.

    Attributes:
        ANSWERED: The upstream sent a complete answer.
        FAILED: The upstream sent an error, or a malformed or unproven answer.
        LOST: The answer was lost or did not arrive in time.
        UNREACHABLE: No connection could be opened.
        FULL: The upstream stated that it did not run the request; it is taken to be at capacity.
        MISDIRECTED: A different upstream answered at the address.
        CANCELLED: This host stopped the attempt, which says nothing about the upstream.
    """

    ANSWERED = "answered"
    FAILED = "failed"
    LOST = "lost"
    UNREACHABLE = "unreachable"
    FULL = "full"
    MISDIRECTED = "elsewhere"
    CANCELLED = "cancelled"


class Router:
    """Tracks the upstreams and their load, and places jobs.

    Args:
        domain: Failure domain of this host.
        bounds: Limits on retries.
        draw: Returns random numbers from 0 up to 1; the same numbers give the same decisions.

    Attributes:
        hosts: Number of known hosts; None until the host list has been read.
        position: Place of this host among the known hosts, in the order of their ids.
        silent_hosts: Number of known hosts that have not reported lately.
        report_delay_s: Usual delay until this host knows the load that other hosts add.
        stream_versions: The software versions of the upstreams, and those that began streams.
        links: The links from this host to the upstreams.
        retries: The retry budgets by service.
    """

    def __init__(self, *, domain: FailureDomain, bounds: Bounds, draw: Callable[[], float]) -> None:
        self._bounds = bounds
        self._draw = draw
        self._services: Mapping[ServiceName, Service] = {}
        self._upstreams: dict[InstanceId, UpstreamState] = {}
        self._notices = NoticeBoard()
        self._staying: dict[ServiceName, list[UpstreamState]] = {}
        self._overload = OverloadControl(draw=draw)
        self._demand = ServiceDemand(measure_urgencies=self._measure_urgencies)
        self._chooser = UpstreamChooser(
            domain=domain,
            demand=self._demand,
            cost_s_per_gb=bounds.cross_domain_cost_s_per_gb,
            draw=draw,
        )
        self._peer_loads: Mapping[InstanceId, UpstreamLoad] = {}
        self.retries = RetryBudgets(bounds)
        self.hosts: int | None = None
        self.position = 0
        self.silent_hosts = 0
        self.report_delay_s = DEFAULT_REPORT_DELAY_S
        self.stream_versions = StreamVersions()
        self.links = LinkMonitor(draw=draw)

    @property
    def upstreams(self) -> Mapping[InstanceId, UpstreamState]:
        """All registered upstreams by instance."""
        return self._upstreams

    @property
    def domain_traffic(self) -> DomainTraffic:
        """The traffic by route and between failure domains."""
        return self._chooser.traffic

    def update_bounds(self, bounds: Bounds) -> None:
        """Apply changed bounds; retries that were already counted stay counted."""
        self._bounds = bounds
        self._chooser.update_cost(bounds.cross_domain_cost_s_per_gb)
        self.retries.update_bounds(bounds)

    def update_routes(self, table: RouteTable) -> None:
        """Apply the services and routes of a configuration."""
        self._services = table.services
        self._demand.update_routes(table)
        self._chooser.reset_upstreams()

    def update_upstreams(self, records: Iterable[RegisteredUpstream], now_s: float) -> None:
        """Apply the entries of the registry.

        State is kept for known incarnations; a new incarnation starts without any history. One that
        was listed as leaving stays so, since the registry may come back from an older copy.
        """
        previous, self._upstreams = self._upstreams, {}
        for record in records:
            if record.availability is Availability.LEAVING:
                self._notices.get(record.incarnation).leaving = True
            state = previous.get(record.instance)
            if state is None or state.record.incarnation != record.incarnation:
                notice = self._notices.get(record.incarnation)
                state = UpstreamState(record=record, now_s=now_s, notice=notice)
                state.set_peer_load(self._peer_loads.get(record.instance))
            elif state.record != record:
                state.record = record
            self._upstreams[record.instance] = state
        self._notices.forget_except(
            {state.record.incarnation for state in self._upstreams.values()}, now_s
        )
        self._staying.clear()
        self.links.update_upstreams(
            {instance: state.record.service for instance, state in self._upstreams.items()}
        )
        self.stream_versions.history.observe(
            (state.record for state in self._upstreams.values()), now_s
        )
        self._chooser.reset_upstreams()

    def record_leaving(self, incarnation: Incarnation) -> bool:
        """Record that an upstream states that it leaves; return whether this was not known.

        It gets no more requests, whatever the registry says. The notice ends with the incarnation.
        """
        notice = self._notices.get(incarnation)
        if notice.leaving:
            return False
        notice.leaving = True
        self._staying.clear()
        self._chooser.reset_upstreams()
        return True

    def record_pause(self, incarnation: Incarnation, pause_s: float, now_s: float) -> bool:
        """Record that an upstream wants no requests from this host for a while.

        Returns whether it was not paused already. A longer pause is not shortened.
        """
        notice = self._notices.get(incarnation)
        begins = now_s >= notice.paused_until_s
        notice.paused_until_s = max(notice.paused_until_s, now_s + pause_s)
        return begins

    def record_limit(self, incarnation: Incarnation, rate_per_s: float, now_s: float) -> bool:
        """Record the requests per second that an upstream takes from all hosts together.

        Returns whether it has not named the same rate before.
        """
        notice = self._notices.get(incarnation)
        notice.limited_s = now_s
        if notice.pacer is None:
            notice.pacer = RequestPacer(rate_per_s=rate_per_s, draw=self._draw)
            return True
        changed = notice.pacer.rate_per_s != rate_per_s
        notice.pacer.rate_per_s = rate_per_s
        return changed

    def end_limit(self, incarnation: Incarnation, sent_s: float) -> bool:
        """Record that an upstream names no rate any more; return whether it did before.

        Args:
            sent_s: When the request was sent whose answer names none. Answers can overtake each
                other, so that one to an earlier request says nothing.
        """
        notice = self._notices.get(incarnation)
        if notice.pacer is None or sent_s < notice.limited_s:
            return False
        notice.pacer = None
        return True

    def record_brittle(self, incarnation: Incarnation, allowance: int, now_s: float) -> bool:
        """Record how many requests a second an upstream can turn away before it falls over.

        Returns whether it has not said the same before.
        """
        notice = self._notices.get(incarnation)
        if notice.guard is None:
            notice.guard = RejectionGuard(allowance=allowance, named_s=now_s, draw=self._draw)
            return True
        changed = notice.guard.allowance != allowance
        notice.guard.allowance, notice.guard.named_s = allowance, now_s
        return changed

    def end_brittle(self, incarnation: Incarnation, sent_s: float) -> bool:
        """Record that an upstream is brittle no more; return whether it was before.

        Args:
            sent_s: When the request was sent whose answer says nothing of it. Answers can overtake
                each other, so that one to an earlier request says nothing.
        """
        notice = self._notices.get(incarnation)
        if notice.guard is None or sent_s < notice.guard.named_s:
            return False
        notice.guard = None
        return True

    def record_rejection(self, incarnation: Incarnation, now_s: float) -> None:
        """Record that a brittle upstream has turned a request away, here or at another host."""
        guard = self._notices.get(incarnation).guard
        if guard is not None:
            guard.record_rejection(now_s)

    def measure_pause_s(self, service: ServiceName, now_s: float) -> float:
        """Return the time until the first paused upstream accepts requests; 0 if one already does.

        It is also 0 if none is paused.
        """
        pauses_s = (
            state.measure_pause_s(self.hosts, now_s) for state in self._list_staying(service)
        )
        return min(pauses_s, default=0.0)

    def accepts_requests(self, incarnation: Incarnation, now_s: float) -> bool:
        """Whether a request that was placed at an upstream may still be sent to it."""
        state = self._upstreams.get(incarnation[0])
        if state is not None and state.record.incarnation == incarnation:
            return state.accepts_requests(now_s)
        return self._notices.get(incarnation).allows_requests(now_s)

    def count_request(self, job: Job, now_s: float) -> None:
        """Count a caller's request in the retry budget and the demand."""
        self.retries.record_request(job.service, now_s)
        self._overload.record_arrival(job, now_s)
        self._demand.record_request(job, now_s)
        self._chooser.record_request(job, now_s)

    def try_reserve_retry(self, service: ServiceName, now_s: float) -> bool:
        """Reserve a retry if the budget allows it; return whether it does."""
        return self.retries.try_reserve(service, self.hosts, now_s)

    def place(
        self,
        job: Job,
        now_s: float,
        tried: frozenset[InstanceId] = frozenset(),
        unreached: frozenset[InstanceId] = frozenset(),
    ) -> Placement | Refused | Waiting:
        """Choose an upstream for a job and add the job to its load.

        Args:
            tried: Upstreams that already got the job and are not used again.
            unreached: Upstreams to which this host could not connect for the job. They are used
                again only through another host.
        """
        kept = self._overload.keep_in_line(job, now_s)
        if kept is not None:
            return kept
        placed = self._place(job, now_s, tried, unreached)
        if isinstance(placed, Waiting):
            upstreams = len(self._list_staying(job.service))
            urgencies = self._demand.measure(job.service, now_s).urgencies
            refused = self._overload.refuse_if_queue_is_full(job, urgencies, upstreams, now_s)
            placed = refused or placed
        self._overload.record_placed(job, placed, now_s)
        return placed

    def _list_candidates(
        self,
        job: Job,
        upstreams: list[UpstreamState],
        tried: frozenset[InstanceId],
        unreached: frozenset[InstanceId],
        now_s: float,
    ) -> list[UpstreamState]:
        """Return the upstreams to which a job may be sent; see ``place``."""
        candidates = [
            state
            for state in upstreams
            if state.record.instance not in tried
            and (state.record.instance not in unreached or self._can_forward(state, now_s))
        ]
        if job.began_at is not None:
            version = job.began_at.software_version
            return [state for state in candidates if state.record.software_version == version]
        if job.route.resumable:
            return filter_beginnings(candidates, self.stream_versions, now_s)
        return candidates

    def _divide_slots(self, staying: list[UpstreamState]) -> dict[InstanceId, int]:
        """Return how many slots of each upstream belong to this host; none if that is unknown."""
        if self.hosts is None:
            return {}
        slots = [(state.sort_key, state.record.instance, state.record.slots) for state in staying]
        hosts = max(self.hosts, self.position + 1)
        return divide_slots(slots, position=self.position, hosts=hosts)

    def _place(
        self,
        job: Job,
        now_s: float,
        tried: frozenset[InstanceId],
        unreached: frozenset[InstanceId],
    ) -> Placement | Refused | Waiting:
        service = self._services.get(job.service)
        staying = self._list_staying(job.service)
        ready = [state for state in staying if state.is_open(self.hosts, now_s)]
        roomy = filter_roomy(
            ready,
            partial(self._divide_slots, staying),
            hosts=self.hosts or ASSUMED_HOSTS,
            silent_hosts=self.silent_hosts,
            now_s=now_s,
        )
        if ready and not roomy:
            return self._wait_for_room(job, now_s)
        candidates = self._list_candidates(job, roomy, tried, unreached, now_s)
        if service is None or not candidates:
            waiting = await_record(job, ready, self.stream_versions, now_s)
            return waiting or self._refuse_without_upstream(job, ready, now_s)
        choice = self._chooser.choose(
            job,
            service,
            staying,
            self._list_usable(job, service, candidates, now_s),
            is_retry=bool(tried or unreached),
            report_delay_s=self.report_delay_s,
            now_s=now_s,
        )
        match choice:
            case Waiting(delay_s=delay_s):
                return replace(choice, delay_s=delay_s * (0.75 + 0.5 * self._draw()))
            case NoRoom(first_event_s=first_event_s):
                reason = f"the first event is expected after {first_event_s:.1f} s"
                return self._overload.reject(job, ResultCode.TARGET_UNREACHABLE, reason, now_s)
            case Choice():
                return self._use_choice(job, choice, now_s)

    def _list_usable(
        self, job: Job, service: Service, candidates: list[UpstreamState], now_s: float
    ) -> list[UpstreamState]:
        """Return the candidates of which the best is chosen."""
        any_cut = self.links.any_failed
        return filter_usable(
            candidates,
            is_reachable=partial(self._is_reachable, now_s=now_s) if any_cut else None,
            choose_brittle=self._draw_upstream if job.prompt is None else None,
            max_requests=self._limit_connections(service),
            now_s=now_s,
        )

    def _draw_upstream(self, upstreams: list[UpstreamState]) -> UpstreamState:
        return upstreams[int(self._draw() * len(upstreams))]

    def _use_choice(self, job: Job, choice: Choice, now_s: float) -> Placement | Refused | Waiting:
        """Place a job at the chosen upstream, unless it would be late or leaves room to others."""
        is_late = now_s + choice.min_completion_s > job.deadline_s
        if is_late and not self._demand.is_sensitive(job, now_s):
            return self._refuse_late(job, choice, now_s)
        if not choice.begins_at_once:
            urgencies = self._demand.measure(job.service, now_s).urgencies
            kept = self._overload.keep_back(job, urgencies, now_s)
            if kept is not None:
                return kept
        via = self._choose_via(choice.state, now_s)
        placement = choice.build_placement(via=via, now_s=now_s)
        self._track(job, choice, now_s)
        return placement

    def record_data(self, attempt_id: AttemptId, instance: InstanceId, now_s: float) -> None:
        """Record that a response head or a piece of a body arrived for an attempt."""
        state = self._upstreams.get(instance)
        if state is None:
            return
        begun = state.record_data(attempt_id, now_s)
        if begun is not None and begun.sample_tokens is not None:
            model = self._demand.get_model(state.record.service)
            model.observe(instance, begun.sample_tokens, now_s - begun.sent_s, now_s)

    def record_end(
        self, attempt_id: AttemptId, instance: InstanceId, end: AttemptEnd, now_s: float
    ) -> None:
        """Record how an attempt ended.

        The attempt is removed from its upstream's load, and the upstream's health is updated.
        """
        state = self._upstreams.get(instance)
        if state is None:
            return
        request = state.remove_request(attempt_id)
        match end:
            case AttemptEnd.ANSWERED | AttemptEnd.FAILED:
                state.record_activity(now_s)
                state.health.record_answer(failed=end is AttemptEnd.FAILED)
                if request is not None and end is AttemptEnd.ANSWERED:
                    state.record_answer_time(now_s - request.sent_s)
                    duration_s = now_s - request.sent_s
                    self._demand.record_stream(
                        state.record.service, request.route, duration_s, now_s
                    )
            case AttemptEnd.LOST:
                state.health.record_lost_answer(now_s)
            case AttemptEnd.UNREACHABLE:
                self._record_unreachable(state, now_s)
            case AttemptEnd.FULL:
                if request is not None:
                    self._overload.record_rejection(state.record.service, request.urgency, now_s)
                state.record_activity(now_s)
                state.health.record_full(now_s)
            case AttemptEnd.MISDIRECTED:
                state.misdirected_until_s = now_s + MISDIRECTED_EXCLUSION_S
            case AttemptEnd.CANCELLED:
                if request is not None and request.is_overdue(now_s):
                    self._overload.record_rejection(state.record.service, request.urgency, now_s)

    def update_peer_loads(
        self,
        loads: Mapping[InstanceId, UpstreamLoad],
        demands: Mapping[ServiceName, Demand],
    ) -> None:
        """Replace the known load and demand of all other hosts."""
        self._peer_loads = loads
        self._demand.update_peers(demands)
        for instance, state in self._upstreams.items():
            state.set_peer_load(loads.get(instance))

    def measure_local_demand(self, now_s: float) -> dict[ServiceName, Demand]:
        """Return the demand that reaches this host."""
        services = self._overload.list_services()
        return {service: self._demand.measure_local(service, now_s) for service in services}

    def measure_local_loads(self, now_s: float) -> dict[InstanceId, UpstreamLoad]:
        """Return the load that this host puts on each upstream with open requests."""
        return {
            instance: state.measure_local_load(now_s)
            for instance, state in self._upstreams.items()
            if state.local_requests
        }

    def _list_staying(self, service: ServiceName) -> list[UpstreamState]:
        """Return the upstreams of a service that are not leaving."""
        staying = self._staying.get(service)
        if staying is None:
            staying = self._staying[service] = [
                state
                for state in self._upstreams.values()
                if state.record.service == service and not state.is_leaving
            ]
        return staying

    def _measure_urgencies(self, service: ServiceName, now_s: float) -> dict[int, UrgencyTraffic]:
        """Return this host's requests by urgency; links that are cut say nothing about room."""
        overdue: Counter[int] = Counter()
        for instance, state in self._upstreams.items():
            is_concerned = state.local_requests and state.record.service == service
            if is_concerned and not self.links.is_cut(instance):
                overdue.update(state.count_overdue(now_s))
        return self._overload.measure(service, overdue, now_s)

    def _track(self, job: Job, choice: Choice, now_s: float) -> None:
        prompt = job.prompt
        request = InFlightRequest(
            sent_s=now_s,
            prefill_s=choice.prefill_s,
            tokens=0 if prompt is None else prompt.tokens + prompt.output_tokens,
            sensitive=self._demand.is_sensitive(job, now_s),
            route=hash_route(job.route),
            sample_tokens=choice.sample_tokens,
            expected_s=choice.expected_s,
            urgency=job.urgency,
            overdue_s=OVERDUE_TARGETS * job.route.target_s,
        )
        choice.state.add_request(job.attempt_id, request, prompt)
        choice.state.use_slot(self.hosts, now_s)

    def _record_unreachable(self, state: UpstreamState, now_s: float) -> None:
        """Blame the upstream, or this host's links if these count as cut."""
        for instance in self.links.record_unreachable(state.record.instance, now_s):
            self._upstreams[instance].forget_connection_failures(now_s)
        if not self.links.is_cut(state.record.instance):
            state.health.record_connection_failure(now_s)

    def _is_reachable(self, state: UpstreamState, now_s: float) -> bool:
        return not self.links.is_cut(state.record.instance) or self._can_forward(state, now_s)

    def _can_forward(self, state: UpstreamState, now_s: float) -> bool:
        instance = state.record.instance
        return self.links.is_cut(instance) and self.links.can_forward(instance, now_s)

    def _choose_via(self, state: UpstreamState, now_s: float) -> ForwardingHost | None:
        if not self._can_forward(state, now_s):
            return None
        return self.links.choose_host(state.record.instance, now_s)

    def _limit_connections(self, service: Service) -> float:
        """Return the connections that this host may have to each upstream of a service."""
        return max(CONNECTIONS_SHARE * service.max_connections / max(self.hosts or 1, 1), 1)

    def _wait_for_room(self, job: Job, now_s: float) -> Waiting | Refused:
        """Keep a job here: an upstream without room would turn it away, and may end by it."""
        reason = "the upstreams of the service are brittle and have no room"
        if may_wait(job, now_s):
            return Waiting(delay_s=ROOM_RECHECK_S * (0.5 + self._draw()), reason=reason)
        return self._overload.reject(job, ResultCode.NO_UPSTREAM, reason, now_s)

    def _refuse_without_upstream(
        self, job: Job, ready: list[UpstreamState], now_s: float
    ) -> Refused:
        pause_s = self.measure_pause_s(job.service, now_s)
        if not ready and pause_s:
            reason = f"the upstreams of the service want no requests for {pause_s:.1f} s"
        elif not ready:
            reason = "no upstream of the service is ready"
        elif job.began_at is not None:
            reason = "no other upstream of the version that began the stream is ready"
        else:
            reason = "all ready upstreams were tried, or the service is not configured"
        # A named time needs no spread over the time in which new upstreams may register.
        spread_s = NO_UPSTREAM_RETRY_S / 2 if pause_s else NO_UPSTREAM_RETRY_S
        if pause_s:
            self._overload.record_rejection(job.service, job.urgency, now_s)
        retry_after_s = max(pause_s, NO_UPSTREAM_RETRY_S / 2) + spread_s * self._draw()
        return Refused(code=ResultCode.NO_UPSTREAM, retry_after_s=retry_after_s, reason=reason)

    def _refuse_late(self, job: Job, choice: Choice, now_s: float) -> Refused:
        """Refuse a job that even a short answer could not complete by its deadline.

        ``TARGET_UNREACHABLE`` stands for the deadline here; a job that can only miss the target of
        its route is not refused.
        """
        reason = (
            f"even a short answer is expected to take {choice.min_completion_s:.1f} s "
            f"at {choice.state.record.instance}"
        )
        return self._overload.reject(job, ResultCode.TARGET_UNREACHABLE, reason, now_s)

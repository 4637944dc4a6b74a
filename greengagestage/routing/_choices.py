"""The choice among the upstreams that may get a job, by failure domain and then by forecast."""

from collections import defaultdict
from collections.abc import Callable, Container, Mapping, Sequence
from dataclasses import dataclass, replace

from greengagestage.catalog import EngineProfile, Prompt, Service
from greengagestage.ids import FailureDomain, ServiceName

from ._domain_shares import (
    BYTES_PER_GB,
    CACHE_RETENTION_S,
    MIN_GAIN_SHARE,
    DomainLoad,
    LeavingCosts,
    LeavingReason,
    LeavingShare,
    RouteShares,
    choose_domain,
    find_exemption,
)
from ._domain_traffic import Crossing, DomainTraffic, estimate_redundant_share
from ._engine_choice import Choice, NoRoom
from ._engine_split import EngineSplit
from ._forecasts import SLOT_WAIT_S
from ._jobs import Job, Waiting
from ._placement import EngineChooser
from ._plain_choice import choose_plain
from ._route_groups import RouteTraffic, hash_route
from ._service_demand import ServiceDemand
from ._slot_reserve import SlotReserve
from ._upstreams import UpstreamState

SHARE_INTERVAL_S = 0.05
"""Time for which a route's share is used before the loads are summed again: about the interval of
the load reports."""

LOCAL = "local"


@dataclass(frozen=True, slots=True, kw_only=True)
class _Selection:
    """The candidates to try first for a job, and those to try if these have no room.

    Attributes:
        reason: Why the first ones are in another domain, if they are.
    """

    first: Sequence[UpstreamState]
    second: Sequence[UpstreamState] = ()
    reason: LeavingReason


class UpstreamChooser:
    """Chooses the upstreams of all services.

    Args:
        domain: Failure domain of this host.
        cost_s_per_gb: Price of a gigabyte between domains in engine seconds; None if requests may
            go to any domain.
        draw: Returns random numbers from 0 up to 1.

    Attributes:
        traffic: Traffic by route and by pair of domains.
    """

    def __init__(
        self,
        *,
        domain: FailureDomain,
        demand: ServiceDemand,
        cost_s_per_gb: float | None,
        draw: Callable[[], float],
    ) -> None:
        self.traffic = DomainTraffic()
        self._cost_s_per_gb = cost_s_per_gb
        self._domain = domain
        self._demand = demand
        self._draw = draw
        self._choosers: dict[ServiceName, EngineChooser] = {}
        self._splits: dict[ServiceName, EngineSplit] = {}
        self._reserves: dict[ServiceName, SlotReserve] = {}
        self._exemptions: dict[ServiceName, LeavingReason | None] = {}
        self._shares: dict[tuple[ServiceName, int], RouteShares] = {}
        self._leaving: dict[tuple[ServiceName, int], tuple[float, LeavingShare | None]] = {}

    def update_cost(self, cost_s_per_gb: float | None) -> None:
        """Follow a change of the price."""
        if cost_s_per_gb != self._cost_s_per_gb:
            self._cost_s_per_gb = cost_s_per_gb
            self.reset_upstreams()

    def reset_upstreams(self) -> None:
        """Follow a change of the upstreams or of the configuration."""
        self._choosers.clear()
        self._exemptions.clear()
        self._leaving.clear()

    def record_request(self, job: Job, now_s: float) -> None:
        """Count a caller's request."""
        if job.prompt is not None:
            self.traffic.record_prompt(hash_route(job.route), job.prompt, now_s)

    def choose(
        self,
        job: Job,
        service: Service,
        staying: Sequence[UpstreamState],
        candidates: Sequence[UpstreamState],
        *,
        is_retry: bool,
        report_delay_s: float,
        now_s: float,
    ) -> Choice | Waiting | NoRoom:
        """Choose an upstream; the candidates must not be empty.

        Args:
            staying: The service's upstreams that are not leaving.
            is_retry: Whether an attempt to send the job has already failed.
            report_delay_s: Usual delay of other hosts' load reports.
        """
        if service.engine is None or job.prompt is None:
            plain = choose_plain(candidates, domain=self._domain, now_s=now_s, draw=self._draw)
            return self._explain(job, plain, LeavingReason.UNRESTRICTED)
        chooser = self._get_chooser(service.name, service.engine, staying)
        sensitive = self._demand.is_sensitive(job, now_s)
        groups = self._demand.measure_groups(job.service, now_s)

        def choose_among(states: Sequence[UpstreamState]) -> Choice | Waiting | NoRoom:
            assert job.prompt is not None
            return chooser.choose(
                job,
                job.prompt,
                states,
                sensitive=sensitive,
                groups=groups,
                speed=self._demand.get_model(job.service).speed,
                report_delay_s=report_delay_s,
                waiting=self._demand.count_waiting(job, now_s),
                alike=self._demand.measure_urgency(job, now_s),
                now_s=now_s,
            )

        if is_retry or job.began_at is not None:
            return self._explain(job, choose_among(candidates), LeavingReason.RETRY)
        exemption = self._find_exemption(service.name, staying)
        if exemption is not None:
            return self._explain(job, choose_among(candidates), exemption)
        leaving = self._update_share(job, job.prompt, chooser, candidates, now_s)
        selection = self._select(job, job.prompt, candidates, leaving)
        choice = choose_among(selection.first)
        if not selection.second or _is_in_time(job, choice, now_s):
            return self._explain(job, choice, selection.reason)
        other = choose_among(selection.second)
        if isinstance(other, Choice) and _is_worth_leaving(job, other, choice):
            return self._explain(job, other, LeavingReason.OVERLOAD)
        return self._explain(job, choice, selection.reason)

    def _get_chooser(
        self, service: ServiceName, engine: EngineProfile, staying: Sequence[UpstreamState]
    ) -> EngineChooser:
        chooser = self._choosers.get(service)
        if chooser is None:
            chooser = self._choosers[service] = EngineChooser(
                engine=engine,
                engines=staying,
                divides_domains=self._cost_s_per_gb is not None,
                split=self._splits.setdefault(service, EngineSplit()),
                reserve=self._get_reserve(service, engine),
                draw=self._draw,
            )
        return chooser

    def _get_reserve(self, service: ServiceName, engine: EngineProfile) -> SlotReserve:
        reserve = self._reserves.get(service)
        if reserve is None or reserve.slots != engine.slots:
            reserve = self._reserves[service] = SlotReserve(slots=engine.slots)
        return reserve

    def _find_exemption(
        self, service: ServiceName, staying: Sequence[UpstreamState]
    ) -> LeavingReason | None:
        if self._cost_s_per_gb is None:
            return LeavingReason.UNRESTRICTED
        if service not in self._exemptions:
            self._exemptions[service] = find_exemption(staying, self._domain)
        return self._exemptions[service]

    def _select(
        self,
        job: Job,
        prompt: Prompt,
        candidates: Sequence[UpstreamState],
        leaving: LeavingShare | None,
    ) -> _Selection:
        """Return the candidates of the domains to which a job may go."""
        if leaving is None:
            return _Selection(first=candidates, reason=LeavingReason.NO_ENGINE)
        if leaving.ignores_domains:
            return _Selection(first=candidates, reason=LeavingReason.SHARED_PARTS)
        destination = choose_domain(leaving, job.attempt_id, prompt.affinity_key)
        if destination is None:
            own = _list_in(candidates, {self._domain})
            reason = LeavingReason.OVERLOAD if own else LeavingReason.NO_ENGINE
            return _Selection(first=own or candidates, second=candidates, reason=reason)
        first = _list_in(candidates, {destination}) or candidates
        return _Selection(first=first, second=candidates, reason=LeavingReason.OVERLOAD)

    def _update_share(
        self,
        job: Job,
        prompt: Prompt,
        chooser: EngineChooser,
        candidates: Sequence[UpstreamState],
        now_s: float,
    ) -> LeavingShare | None:
        """Return the share of a job's route that leaves; None if the domain has no engine for it.

        It is kept for a short time, in which many requests are placed.
        """
        key = (job.service, hash_route(job.route))
        updated_s, leaving = self._leaving.get(key, (-SHARE_INTERVAL_S, None))
        if now_s - updated_s < SHARE_INTERVAL_S:
            return leaving
        sensitive = self._demand.is_sensitive(job, now_s)
        groups = self._demand.measure_groups(job.service, now_s)
        urgent = groups[0] is not None and groups[0].is_more_urgent
        group = chooser.list_group(candidates, sensitive, groups)
        loads = _measure_loads(group, sensitive_first=sensitive and urgent, now_s=now_s)
        own = loads.pop(self._domain, None)
        leaving = None
        if own is not None:
            engines = own.engines + sum(each.engines for each in loads.values())
            leaving = self._shares.setdefault(key, RouteShares()).update(
                own,
                loads,
                costs=self._estimate_costs(job, prompt, own.engines / engines, now_s),
                target_s=job.route.target_s,
                now_s=now_s,
            )
        self._leaving[key] = (now_s, leaving)
        return leaving

    def _estimate_costs(
        self, job: Job, prompt: Prompt, own_share: float, now_s: float
    ) -> LeavingCosts:
        """Return the costs of a usual request of a job's route."""
        route = hash_route(job.route)
        everywhere = self._demand.measure(job.service, now_s).routes.get(route, RouteTraffic())
        here = self._demand.measure_local(job.service, now_s).routes.get(route, RouteTraffic())
        shared_s, factor = 0.0, 1.0
        if everywhere.prompts and here.prompts:
            shared_s = (everywhere.whole_prefill_s - everywhere.prefill_s) / everywhere.prompts
            factor = max(everywhere.prompts / here.prompts, 1.0)
        redundant_share = estimate_redundant_share(
            self.traffic.estimate_repeats_per_s(route) * factor, own_share, CACHE_RETENTION_S
        )
        transferred = self.traffic.estimate_bytes(route, prompt)
        return LeavingCosts(
            transfer_s=transferred * (self._cost_s_per_gb or 0.0) / BYTES_PER_GB,
            recomputed_s=redundant_share * shared_s,
        )

    def _explain(
        self, job: Job, choice: Choice | Waiting | NoRoom, reason: LeavingReason
    ) -> Choice | Waiting | NoRoom:
        """Add to a choice where the job goes, and why if it leaves its domain."""
        if not isinstance(choice, Choice):
            return choice
        destination = choice.state.record.failure_domain
        leaves = destination != self._domain
        crossing = Crossing(
            route=hash_route(job.route),
            source=self._domain,
            destination=destination,
            reason=reason.value if leaves else LOCAL,
        )
        text = choice.reason
        if leaves and reason not in (LeavingReason.UNRESTRICTED, LeavingReason.RETRY):
            text = f"{text}, in another domain: {reason.value}"
        return replace(choice, reason=text, crossing=crossing)


def _list_in(
    candidates: Sequence[UpstreamState], domains: Container[FailureDomain]
) -> list[UpstreamState]:
    return [state for state in candidates if state.record.failure_domain in domains]


def _measure_loads(
    group: Sequence[UpstreamState], *, sensitive_first: bool, now_s: float
) -> dict[FailureDomain, DomainLoad]:
    """Return the load of each domain that has an engine in a group."""
    by_domain: Mapping[FailureDomain, list[UpstreamState]] = defaultdict(list)
    for state in group:
        by_domain[state.record.failure_domain].append(state)
    loads = {}
    for domain, states in by_domain.items():
        ahead_s, free_slots = 0.0, 0
        for state in states:
            requests, prefill_s = state.measure(now_s).estimate_ahead(
                state.record.slots, sensitive_first=sensitive_first
            )
            ahead_s += prefill_s
            free_slots += state.record.slots - requests - 1
        ahead_s += max(-free_slots, 0) * SLOT_WAIT_S
        loads[domain] = DomainLoad(engines=len(states), delay_s=ahead_s / len(states))
    return loads


def _is_in_time(job: Job, choice: Choice | Waiting | NoRoom, now_s: float) -> bool:
    """Whether a job is sent, and its first event is expected within its target."""
    if not isinstance(choice, Choice):
        return False
    return now_s + choice.expected_s <= job.arrived_s + job.route.target_s


def _is_worth_leaving(job: Job, choice: Choice, other: Choice | Waiting | NoRoom) -> bool:
    """Whether a choice elsewhere begins a job that would wait, or begins it clearly sooner."""
    if not isinstance(other, Choice):
        return True
    return choice.expected_s + MIN_GAIN_SHARE * job.route.target_s < other.expected_s

"""The choice of an upstream for a job, from forecasts of its latency on each candidate.

A job's target is the time that its route sets for the first event. Sensitive jobs are those whose
routes need short gaps between events, and whose own prompts leave others that need; all others are
tolerant.
"""

from collections.abc import Callable, Sequence

from greengagestage.catalog import EngineProfile, Prompt

from ._affinity import AffinityOrders
from ._domain_shares import sort_engines
from ._engine_choice import Choice, NoRoom, build_choice, find_least_cost
from ._engine_model import EngineSpeed
from ._engine_split import EngineSplit, GroupDemand
from ._forecasts import Forecast, Forecaster
from ._jobs import Job, Waiting
from ._overload import UrgencyTraffic
from ._room import (
    TOTAL_DELAY_SHARE,
    RoomDecision,
    RoomRequest,
    is_contended,
    may_use_room,
)
from ._slot_reserve import SlotReserve
from ._upstreams import UpstreamState
from ._waiting_line import RECHECK_INTERVAL_S

CACHED_DELAY_SHARE = 0.6
"""Share of the target that a tolerant job may be delayed at an engine that has its prefix cached,
before other engines are considered. Computing a long shared prefix again costs about as much as the
answer is worth."""

SENSITIVE_CACHED_DELAY_SHARE = 0.3
"""The same share for sensitive jobs, whose prompts are short and cheap to compute again."""

MIN_REPLICAS = 2
REPLICA_SHARE = 0.06
"""Number of engines that cache the same prefix of long prompts, usually those with the highest
affinity to it: this minimum, or this share of a large number of engines. More replicas waste
prefill time; a single one could be slow or lost."""

NEW_REPLICA_DELAY_SHARE = 0.3
"""Share of the target within which a further engine must be expected to begin a job before the
prefix is computed there as well."""

SENSITIVE_CANDIDATES = 4
"""Number of engines from which a sensitive job takes the best one while its preferred engine is
busy. With a single candidate, all hosts of a large fleet would send to the same best engine before
they receive each other's load reports."""

MAX_IMBALANCE = 1.25
IMBALANCE_SLACK_REQUESTS = 2
"""An engine gets sensitive jobs for their cached prefix until its number of requests exceeds the
mean by this factor plus this number. More concurrent requests mean longer gaps for all of them."""

COMPLETION_TIME_SHARE = 0.8
"""Share of the time left within which a tolerant job's stream must be expected to complete on an
engine that has its prefix cached."""

SPILLOVER_DELAY_SHARE = 0.7
"""Share of the target above which a sensitive job is placed outside the engines for its kind."""


class EngineChooser:
    """Chooses among the engines of one service.

    Every host sorts the engines in the same order. Sensitive jobs go to the first engines of the
    order and tolerant jobs to the rest, so that the prefill of long prompts does not delay the
    events of sensitive streams.

    Args:
        divides_domains: Whether requests of large failure domains prefer the engines there.
    """

    def __init__(
        self,
        *,
        engine: EngineProfile,
        engines: Sequence[UpstreamState],
        divides_domains: bool,
        split: EngineSplit,
        reserve: SlotReserve,
        draw: Callable[[], float],
    ) -> None:
        self._engine = engine
        self._engines = engines
        ordered = sort_engines(engines, divides_domains=divides_domains)
        self._ranks = {state.sort_key: rank for rank, state in enumerate(ordered)}
        self._split = split
        self._reserve = reserve
        self._orders = AffinityOrders(ordered)
        self._draw = draw

    def choose(
        self,
        job: Job,
        prompt: Prompt,
        candidates: Sequence[UpstreamState],
        *,
        sensitive: bool,
        groups: tuple[GroupDemand | None, GroupDemand | None],
        speed: EngineSpeed,
        report_delay_s: float,
        waiting: float,
        alike: UrgencyTraffic,
        now_s: float,
    ) -> Choice | Waiting | NoRoom:
        """Choose an engine; the candidates must not be empty.

        Args:
            sensitive: Whether the job's route is latency-sensitive.
            groups: Demand of sensitive and of tolerant routes from all hosts; None without any.
            speed: Learned speed of the service's engines.
            report_delay_s: Usual delay of other hosts' load reports.
            waiting: Number of jobs on all hosts that wait and are at least as urgent.
            alike: Jobs on all hosts that are as urgent.
        """
        urgent = groups[0] if groups[0] is not None and groups[0].is_more_urgent else None
        forecaster = Forecaster(
            prompt=prompt,
            engine=self._engine,
            speed=speed,
            sensitive_first=sensitive and urgent is not None,
            now_s=now_s,
        )
        if urgent is not None:
            self._reserve.update(self._engines, now_s)
        partition = self.list_group(candidates, sensitive, groups)
        if sensitive:
            return self._choose_sensitive(job, prompt, partition, candidates, forecaster)
        engines: Sequence[UpstreamState] = partition or candidates
        leaves_room = urgent is not None and self._reserve.is_scarce
        request = RoomRequest(
            waited_s=now_s - job.arrived_s,
            target_s=job.route.target_s,
            time_left_s=job.deadline_s - now_s,
            contended=is_contended(alike, len(engines), job.route.target_s),
            leaves_room=leaves_room,
        )
        new_s, backlog_s = _estimate_unreported_s(groups[1], waiting, report_delay_s, len(engines))
        if leaves_room and job.began_at is None:
            pool = self.list_group(self._engines, sensitive, groups) or self._engines
            open_engines = self._reserve.list_open(engines, pool, now_s)
            if not open_engines:
                best = forecaster.forecast(self._rank(prompt, engines)[0], is_first=True)
                return _wait_for_slot(request, best)
            # New work counts at engines with a cached prefix, too: none may have to wait there.
            engines, backlog_s, new_s = open_engines, backlog_s + new_s, 0.0
        return self._choose_tolerant(
            request, self._rank(prompt, engines), forecaster, new_s + backlog_s, backlog_s
        )

    def list_group(
        self,
        candidates: Sequence[UpstreamState],
        sensitive: bool,
        groups: tuple[GroupDemand | None, GroupDemand | None],
    ) -> list[UpstreamState]:
        """Adjust the split to the demand; return the candidates that serve a job's kind."""
        engines = len(self._ranks)
        if engines == 1:
            return list(candidates)
        split = self._split.update_split(engines, self._engine.slots, *groups)
        return [
            state
            for state in candidates
            if (self._ranks.get(state.sort_key, engines) < split) == sensitive
        ]

    def _choose_sensitive(
        self,
        job: Job,
        prompt: Prompt,
        partition: Sequence[UpstreamState],
        candidates: Sequence[UpstreamState],
        forecaster: Forecaster,
    ) -> Choice:
        if partition:
            ranked = self._rank(prompt, partition)
            preferred = forecaster.forecast(ranked[0], is_first=True)
            mean_requests = forecaster.count_mean_requests(ranked)
            is_balanced = (
                preferred.requests <= MAX_IMBALANCE * mean_requests + IMBALANCE_SLACK_REQUESTS
            )
            if (
                is_balanced
                and preferred.first_event_s <= SENSITIVE_CACHED_DELAY_SHARE * job.route.target_s
            ):
                return build_choice(preferred, "cached prompt")
            best = find_least_cost(forecaster.forecast_ranked(ranked[:SENSITIVE_CANDIDATES]))
            if best.first_event_s <= SPILLOVER_DELAY_SHARE * job.route.target_s:
                return build_choice(best, "least delay")
        everywhere = forecaster.forecast_ranked(self._rank(prompt, candidates))
        return build_choice(find_least_cost(everywhere), "least delay anywhere")

    def _choose_tolerant(
        self,
        request: RoomRequest,
        ranked: Sequence[UpstreamState],
        forecaster: Forecaster,
        unreported_s: float,
        backlog_s: float,
    ) -> Choice | Waiting | NoRoom:
        """Choose an engine for a tolerant job, or let the job wait.

        The engines with the highest affinity to the prompt's prefix are tried first: those that
        have the prefix cached, or are assumed to, then all of them. Next comes an idle one of the
        other engines, which may have to compute the prefix. A job that would be late anyway waits
        on this host and not in an engine's queue, where it would make the next jobs late as well.

        Args:
            ranked: The engines, by descending affinity to the prompt's prefix.
            unreported_s: Work per engine that other hosts have probably sent but not reported yet.
            backlog_s: The part of it that waited on hosts before.
        """
        replicas = max(MIN_REPLICAS, round(REPLICA_SHARE * len(self._ranks)))
        preferred = forecaster.forecast_ranked(ranked[:replicas])
        completion_limit_s = COMPLETION_TIME_SHARE * request.time_left_s
        cached_limit_s = request.limit_delay_s(CACHED_DELAY_SHARE)
        for rank, forecast in enumerate(preferred):
            if rank and forecast.redundant_prefill_s > 0:
                continue
            if (
                self._should_send(forecast, cached_limit_s, backlog_s)
                and forecast.completion_s <= completion_limit_s
            ):
                return build_choice(forecast, "cached prompt")
        limit_s = request.limit_delay_s(TOTAL_DELAY_SHARE)
        preferred.sort(key=lambda forecast: forecast.cost_s)
        for forecast in preferred:
            if self._should_send(forecast, limit_s, unreported_s * len(preferred)):
                return build_choice(forecast, "least delay")
        replica_limit_s = NEW_REPLICA_DELAY_SHARE * request.target_s
        others = ranked[replicas:]
        idle = self._find_idle(others, forecaster, replica_limit_s, unreported_s)
        if idle is not None:
            return build_choice(idle, "additional replica")
        return self._wait_or_give_up(request, preferred[0])

    def _wait_or_give_up(self, request: RoomRequest, best: Forecast) -> Choice | Waiting | NoRoom:
        """Decide about a job that no engine begins within its limit.

        Args:
            best: Forecast for the engine with the least cost.
        """
        match request.decide(delay_s=best.delay_s, completion_s=best.completion_s):
            case RoomDecision.WAIT:
                reason = f"expected first event after {best.first_event_s:.2f} s"
                return Waiting(delay_s=RECHECK_INTERVAL_S, reason=reason)
            case RoomDecision.REFUSE:
                return NoRoom(first_event_s=best.first_event_s)
            case RoomDecision.SEND:
                return build_choice(best, "wait limit reached")

    def _find_idle(
        self,
        engines: Sequence[UpstreamState],
        forecaster: Forecaster,
        limit_s: float,
        unreported_s: float,
    ) -> Forecast | None:
        """Return an engine that is idle enough for a new replica of the prefix, or None.

        The fewer idle engines there are, the more hosts would send to each of them.
        """
        idle = []
        for state in engines:
            if forecaster.measure_slot_wait_s(state) <= limit_s:
                forecast = forecaster.forecast(state)
                if forecast.delay_s <= limit_s:
                    idle.append(forecast)
        if not idle or not self._should_send(
            idle[0], limit_s, unreported_s * len(engines) / len(idle)
        ):
            return None
        return idle[0]

    def _should_send(self, forecast: Forecast, limit_s: float, unreported_s: float) -> bool:
        return may_use_room(limit_s - forecast.delay_s, unreported_s, self._draw())

    def _rank(self, prompt: Prompt, engines: Sequence[UpstreamState]) -> Sequence[UpstreamState]:
        return self._orders.sort(engines, prompt.affinity_key)


def _estimate_unreported_s(
    tolerant: GroupDemand | None, waiting: float, report_delay_s: float, engines: int
) -> tuple[float, float]:
    """Return the seconds of work per engine that other hosts have probably sent but not reported.

    The first part is of new requests, the second of those that waited on hosts before.
    """
    if tolerant is None:
        return 0.0, 0.0
    placed_again = waiting * min(report_delay_s / RECHECK_INTERVAL_S, 1.0)
    new_s = tolerant.work * report_delay_s / engines
    return new_s, tolerant.request_s * placed_again / engines


def _wait_for_slot(request: RoomRequest, best: Forecast) -> Waiting | NoRoom:
    """Decide about a job while the free slots are kept for more urgent ones."""
    if request.may_wait:
        reason = "the free slots are kept for more urgent requests"
        return Waiting(delay_s=RECHECK_INTERVAL_S, reason=reason)
    return NoRoom(first_event_s=best.first_event_s)

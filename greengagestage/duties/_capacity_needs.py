"""Sizing: how many engines the demand for a service needs."""

import math
from collections.abc import Mapping
from dataclasses import dataclass, replace

from greengagestage.catalog import EngineProfile
from greengagestage.routing import Demand, UrgencyTraffic, fit_speed

UTILIZATION = 0.65
"""Utilization of engines at which the most urgent requests still begin within their targets."""

SLOT_UTILIZATION = 0.75
"""Share of the slots that streams may occupy on average, since they are not spread evenly."""

KV_UTILIZATION = 0.6
"""Share of the KV cache that running requests may occupy; the rest keeps shared prompt parts."""

RECOMPUTED_SHARE = 0.2
"""Share of the work on shared prompt parts that is taken to be done again, because the part is not
cached at the engine that gets the request."""

BURST_RESERVE = 2.0
"""The slow average is multiplied by this if servers take longer to boot than callers wait for an
answer: what is ordered in a burst serves too late for the first requests of it."""

RECLAIM_RESERVE = 1.8
"""The same without the largest group of spot servers, since a burst may come while these are being
replaced. With 1.4 times the need, half of the long prompts of a burst miss their target."""

SLOW_TIME_CONSTANT_S = 12.0
"""Time constant of the slow average, which is longer than a period of the demand."""

BURST_RATIO = 1.3
MAX_BURST_S = 20.0
"""A load of more than this multiple of the slow average enters it as that multiple until it has
lasted for this time: a reserve on top of a burst serves nobody and is paid for long after it."""

HOLD_S = 12.0
"""A lower need is followed only after this time, so that periodic demand causes no orders."""

MIN_SEEN_S = 6.0
"""No count is lowered before demand has been seen for this time."""

FULLY_REPORTED_ENGINES = 40
"""The loads of at least this many engines fit into a datagram besides the demand. Those of others
are left out of the reports of hosts, so that fewer requests are counted than there are."""

BACKLOG_DRAIN_S = 2.0
"""Time within which the work of waiting requests should be done."""

USUAL_BACKLOG_TARGETS = 0.25
"""Prefill time at an engine that counts as usual, as a multiple of the strictest target."""

MAX_GAP_S = 3.0
"""After a longer time without decisions, the history says nothing about the need."""

FORGOTTEN_ARRIVALS = 0.05
"""Decayed number of arrivals below which an urgency has no requests."""


@dataclass(frozen=True, slots=True, kw_only=True)
class ServiceLoad:
    """What callers request of a service's engines, from all hosts.

    Attributes:
        work: Work of new requests, in engine seconds per second.
        streams: Requests that are at engines or wait on hosts.
        tokens: KV-cache tokens that requests at engines occupy.
        backlog_s: Prefill time of all requests that have not begun, in engine seconds.
        urgent_work: The part of the work that is of the most urgent requests.
        urgent_streams: The part of the requests that are of the most urgent ones.
    """

    work: float = 0.0
    streams: float = 0.0
    tokens: float = 0.0
    backlog_s: float = 0.0
    urgent_work: float = 0.0
    urgent_streams: float = 0.0

    def scale(self, factor: float) -> "ServiceLoad":
        """Return the load multiplied by a factor."""
        return ServiceLoad().blend(self, factor)

    def blend(self, other: "ServiceLoad", weight: float) -> "ServiceLoad":
        """Return the average with another load, which counts with a weight from 0 to 1."""
        kept = 1.0 - weight
        return ServiceLoad(
            work=kept * self.work + weight * other.work,
            streams=kept * self.streams + weight * other.streams,
            tokens=kept * self.tokens + weight * other.tokens,
            backlog_s=kept * self.backlog_s + weight * other.backlog_s,
            urgent_work=kept * self.urgent_work + weight * other.urgent_work,
            urgent_streams=kept * self.urgent_streams + weight * other.urgent_streams,
        )


def measure_load(
    demand: Demand, *, engines: int, requests: int, tokens: int, prefill_s: float
) -> ServiceLoad:
    """Return the load of a service.

    Args:
        demand: Demand on all hosts.
        engines: Number of engines of the service, also of those that leave.
        requests: Requests from all hosts at all of them, as far as reported.
        tokens: KV-cache tokens that they occupy.
        prefill_s: Forecast of their remaining prefill time.
    """
    s_per_token = fit_speed(demand.prefill).s_per_token
    work = (demand.sensitive + demand.tolerant) * _compute_recompute_factor(demand)
    waiting = sum(traffic.waiting for traffic in demand.urgencies.values())
    waiting_tokens = sum(
        traffic.waiting * traffic.mean_size for traffic in demand.urgencies.values()
    )
    streams = requests + waiting
    if engines > FULLY_REPORTED_ENGINES:
        streams = max(streams, sum(route.concurrency for route in demand.routes.values()))
    arrivals = sum(traffic.arrivals for traffic in demand.urgencies.values())
    size = sum(traffic.size for traffic in demand.urgencies.values())
    urgent = _find_most_urgent(demand.urgencies)
    return ServiceLoad(
        work=work,
        streams=streams,
        tokens=tokens,
        backlog_s=prefill_s + waiting_tokens * s_per_token,
        urgent_work=max(work * urgent.size / size, urgent.size * s_per_token) if size else 0.0,
        urgent_streams=streams * urgent.arrivals / arrivals if arrivals else 0.0,
    )


def _compute_recompute_factor(demand: Demand) -> float:
    """Return the ratio of the expected work to that without any recomputed shared parts."""
    prefill_s = sum(route.prefill_s for route in demand.routes.values())
    whole_s = sum(route.whole_prefill_s for route in demand.routes.values())
    return 1.0 + RECOMPUTED_SHARE * max(whole_s - prefill_s, 0.0) / prefill_s if prefill_s else 1.0


def _find_most_urgent(urgencies: Mapping[int, UrgencyTraffic]) -> UrgencyTraffic:
    present = [rank for rank, each in urgencies.items() if each.arrivals > FORGOTTEN_ARRIVALS]
    return urgencies[min(present)] if present else UrgencyTraffic()


@dataclass(frozen=True, slots=True, kw_only=True)
class EngineNeed:
    """Numbers of engines that a service needs.

    Attributes:
        total: All engines.
        without_largest_spot: Engines without those of the largest group of spot servers in one
            failure domain, which can be reclaimed at once.
        on_demand: Engines that cannot be reclaimed. They carry the most urgent requests should
            the spot servers of several domains be lost.
    """

    total: int = 0
    without_largest_spot: int = 0
    on_demand: int = 0


@dataclass(frozen=True, slots=True, kw_only=True)
class NeedHistory:
    """What one decision about a service leaves for the next one.

    Attributes:
        begun_s: Time of the first decision; None before it.
        seen_s: Time of the first decision with any demand; None before it.
        updated_s: Time of the last decision.
        slow: Slow average of the load since the first decision, in which bursts are limited.
        risen_s: Time since when the load exceeds the slow average by far; None if it does not.
        needs: Needs of the last ``HOLD_S`` with their times.
    """

    begun_s: float | None = None
    seen_s: float | None = None
    updated_s: float = 0.0
    slow: ServiceLoad = ServiceLoad()
    risen_s: float | None = None
    needs: tuple[tuple[float, EngineNeed], ...] = ()

    def allows_lowering(self, now_s: float) -> bool:
        """Whether enough demand has been seen to lower a count."""
        if self.begun_s is None or self.seen_s is None:
            return False
        return now_s - self.begun_s >= HOLD_S and now_s - self.seen_s >= MIN_SEEN_S

    def allows_replacing(self, now_s: float) -> bool:
        """Whether enough demand has been seen to order servers that replace others."""
        return self.seen_s is not None and now_s - self.seen_s >= MIN_SEEN_S

    @property
    def held_need(self) -> EngineNeed:
        """The largest needs within ``HOLD_S``."""
        needs = [need for _, need in self.needs] or [EngineNeed()]
        return EngineNeed(
            total=max(need.total for need in needs),
            without_largest_spot=max(need.without_largest_spot for need in needs),
            on_demand=max(need.on_demand for need in needs),
        )


def update_history(
    history: NeedHistory,
    load: ServiceLoad,
    *,
    engines: int,
    engine: EngineProfile,
    boot_time_s: float,
    target_s: float,
    now_s: float,
) -> NeedHistory:
    """Add a measured load to the history, and what it needs.

    Args:
        engines: Number of engines that serve now.
        engine: Slots and KV-cache size of one engine.
        boot_time_s: Time from an order until a server serves.
        target_s: Strictest target for the time to the first event.
    """
    if now_s - history.updated_s > MAX_GAP_S:
        history = NeedHistory()
    begun_s = now_s if history.begun_s is None else history.begun_s
    seen_s = history.seen_s
    if seen_s is None and load.work > 0:
        seen_s = now_s
    usual_backlog_s = USUAL_BACKLOG_TARGETS * target_s * engines
    load = _limit_to_capacity(load, engines, usual_backlog_s)
    ratio = _measure_rise(history, load, engine)
    risen_s = None
    if ratio > BURST_RATIO:
        risen_s = now_s if history.risen_s is None else history.risen_s
    is_burst = risen_s is not None and now_s - risen_s < MAX_BURST_S
    is_averaged = now_s - begun_s >= SLOW_TIME_CONSTANT_S
    limited = load.scale(BURST_RATIO / ratio) if is_burst and is_averaged else load
    slow = _update_average(history, limited, now_s)
    backlog_rate = max(load.backlog_s - usual_backlog_s, 0.0) / BACKLOG_DRAIN_S
    need = _compute_need(
        load, slow, engine, backlog_rate=backlog_rate, boots_late=boot_time_s > target_s
    )
    recent = tuple(each for each in history.needs if now_s - each[0] <= HOLD_S)
    return NeedHistory(
        begun_s=begun_s,
        seen_s=seen_s,
        updated_s=now_s,
        slow=slow,
        risen_s=risen_s,
        needs=(*recent, (now_s, need)),
    )


def _limit_to_capacity(load: ServiceLoad, engines: int, usual_backlog_s: float) -> ServiceLoad:
    """Return a load with no more work than the engines can do, if they keep up with it.

    The estimated work can be several times too high until the speed of the engines is known.
    """
    if load.backlog_s > usual_backlog_s:
        return load
    return replace(
        load,
        work=min(load.work, float(engines)),
        urgent_work=min(load.urgent_work, float(engines)),
    )


def _compute_need(
    load: ServiceLoad,
    slow: ServiceLoad,
    engine: EngineProfile,
    *,
    backlog_rate: float,
    boots_late: bool,
) -> EngineNeed:
    """Return the engines for a load, with reserves on its slow average.

    Args:
        backlog_rate: Work that ends the backlog in time, in engine seconds per second.
        boots_late: Whether servers take longer to boot than callers wait for an answer.
    """
    burst_reserve, reclaim_reserve = (BURST_RESERVE, RECLAIM_RESERVE) if boots_late else (1.0, 1.0)
    fast_engines = _count_engines(
        engine, work=load.work + backlog_rate, streams=load.streams, tokens=load.tokens
    )
    slow_engines = _count_engines(engine, work=slow.work, streams=slow.streams, tokens=slow.tokens)
    fast_urgent = _count_engines(engine, work=load.urgent_work, streams=load.urgent_streams)
    slow_urgent = _count_engines(engine, work=slow.urgent_work, streams=slow.urgent_streams)
    urgent = max(fast_urgent, burst_reserve * slow_urgent)
    return EngineNeed(
        total=math.ceil(max(fast_engines, burst_reserve * slow_engines)),
        without_largest_spot=math.ceil(max(reclaim_reserve * slow_engines, urgent)),
        on_demand=math.ceil(slow_urgent),
    )


def _measure_rise(history: NeedHistory, load: ServiceLoad, engine: EngineProfile) -> float:
    """Return the ratio of the need of a load to that of the slow average."""
    need, average = (
        _count_engines(engine, work=each.work, streams=each.streams, tokens=each.tokens)
        for each in (load, history.slow)
    )
    return need / average if average else 1.0


def _update_average(history: NeedHistory, load: ServiceLoad, now_s: float) -> ServiceLoad:
    """Return the slow average; the first loads count as if they had always been so."""
    if history.begun_s is None:
        return load
    elapsed_s = max(now_s - history.updated_s, 0.0)
    age_s = max(now_s - history.begun_s, elapsed_s)
    weight = -math.expm1(-elapsed_s / SLOW_TIME_CONSTANT_S)
    total_weight = -math.expm1(-age_s / SLOW_TIME_CONSTANT_S)
    return history.slow.blend(load, weight / total_weight if total_weight else 0.0)


def _count_engines(
    engine: EngineProfile, *, work: float, streams: float, tokens: float = 0.0
) -> float:
    return max(
        work / UTILIZATION,
        streams / (SLOT_UTILIZATION * engine.slots),
        tokens / (KV_UTILIZATION * max(engine.kv_capacity_tokens, 1)),
    )

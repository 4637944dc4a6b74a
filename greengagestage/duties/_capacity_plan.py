"""The decision how many engines of each kind a service should have in each failure domain.

The module does no I/O and reads no clock.
"""

from collections.abc import Mapping, Sequence
from dataclasses import dataclass, replace

from greengagestage.catalog import EngineProfile, Scaling
from greengagestage.ids import FailureDomain

from ._capacity_needs import EngineNeed, NeedHistory, ServiceLoad, update_history
from ._capacity_placement import (
    DomainCounts,
    DomainLimits,
    EnginePool,
    FleetLimits,
    compute_cost,
    compute_shortfall,
    place_servers,
)

MAX_STEP_SHARE = 0.2
"""Largest share of the serving engines, in all and in each failure domain, by which their number
is lowered at once."""

STEP_INTERVAL_S = 3.0
"""Time between two steps down, in which the load shows whether the rest suffices. Draining engines
finish their streams meanwhile."""

WORTHWHILE_COST_RATIO = 1.1
"""Present servers are kept while they cost at most this multiple of the cheapest sufficient ones:
the need varies by several percent at random."""

MIN_LOWERING_COVERAGE = 0.9
"""Share of the hosts whose demand must be known before a count is lowered."""

ASSUMED_PRICE = 1.0
"""Price of a server in a failure domain for which the configuration names none."""


@dataclass(frozen=True, slots=True, kw_only=True)
class PoolState:
    """The engines of one kind in one failure domain.

    Attributes:
        serving: Engines that accept requests.
        booting: Engines that were ordered and do not serve yet.
        reclaimed: Engines that the platform is taking away.
        blocked: Whether an order of more was refused lately.
    """

    serving: int = 0
    booting: int = 0
    reclaimed: int = 0
    blocked: bool = False

    @property
    def present(self) -> int:
        """Engines that serve or will soon."""
        return self.serving + self.booting


@dataclass(frozen=True, slots=True, kw_only=True)
class CapacityInputs:
    """What a decision about one service is based on.

    Attributes:
        engine: Slots and KV-cache size of one engine.
        target_s: Strictest target of its routes for the time to the first event.
        load: Load from all hosts.
        pools: Present engines; pools without any may be left out.
        caller_shares: Share of all callers by the failure domain of their hosts.
        coverage: Share of the known hosts whose demand is included, from 0 to 1.
    """

    now_s: float
    scaling: Scaling
    engine: EngineProfile
    target_s: float
    load: ServiceLoad
    pools: Mapping[EnginePool, PoolState]
    caller_shares: Mapping[FailureDomain, float]
    coverage: float = 1.0


@dataclass(frozen=True, slots=True, kw_only=True)
class CapacityState:
    """What one decision leaves for the next one.

    Attributes:
        lowered_s: Time of the last step down; None before it.
    """

    history: NeedHistory = NeedHistory()
    lowered_s: float | None = None


@dataclass(frozen=True, slots=True, kw_only=True)
class CapacityPlan:
    """The decision.

    Attributes:
        counts: Desired number of servers of each pool.
        need: Need that the counts meet as far as possible.
        cost: Price of the present servers per second.
        reason: Why counts differ from the present ones; empty if none does.
    """

    counts: Mapping[EnginePool, int]
    need: EngineNeed
    cost: float
    reason: str
    state: CapacityState


def plan_capacity(inputs: CapacityInputs, state: CapacityState) -> CapacityPlan:
    """Return the desired number of servers of each pool.

    Missing servers are ordered at once. Cheaper servers are ordered before those that they replace
    are drained, and counts are lowered in steps, as far as the serving engines suffice.
    """
    now_s = inputs.now_s
    history = update_history(
        state.history,
        inputs.load,
        engines=sum(pool.serving for pool in inputs.pools.values()),
        engine=inputs.engine,
        boot_time_s=inputs.scaling.boot_time_s,
        target_s=inputs.target_s,
        now_s=now_s,
    )
    state = replace(state, history=history)
    need = history.held_need
    domains = sorted({*inputs.scaling.domain_prices, *(pool.domain for pool in inputs.pools)})
    present = _list_counts(inputs, domains, only_serving=False)
    cost = compute_cost(_build_limits(inputs, domains, present, keep=True), present)
    raised = place_servers(need, _build_limits(inputs, domains, present, keep=True))
    counts, reason = raised, "need" if raised != tuple(present) else ""
    if not reason and history.allows_replacing(now_s):
        limits = _build_limits(inputs, domains, present, keep=False)
        cheapest = place_servers(need, limits)
        if cost > WORTHWHILE_COST_RATIO * compute_cost(limits, cheapest):
            counts = _take_larger(present, cheapest, inputs.scaling.max_servers)
            if _may_lower(inputs, state):
                serving = _list_counts(inputs, domains, only_serving=True)
                lowered = _lower(need, limits, serving, cheapest)
                counts = tuple(map(_lower_counts, counts, serving, lowered))
                if lowered != serving:
                    state = replace(state, lowered_s=now_s)
            reason = "cost" if counts != tuple(present) else ""
    return CapacityPlan(
        counts={
            EnginePool(domain, spot): each.spot if spot else each.on_demand
            for domain, each in zip(domains, counts, strict=True)
            for spot in (False, True)
        },
        need=need,
        cost=cost,
        reason=reason,
        state=state,
    )


def _may_lower(inputs: CapacityInputs, state: CapacityState) -> bool:
    """Whether a count may be lowered now; not while servers are being taken away."""
    now_s = inputs.now_s
    if inputs.coverage < MIN_LOWERING_COVERAGE or not state.history.allows_lowering(now_s):
        return False
    if any(pool.reclaimed for pool in inputs.pools.values()):
        return False
    return state.lowered_s is None or now_s - state.lowered_s >= STEP_INTERVAL_S


def _lower(
    need: EngineNeed,
    limits: FleetLimits,
    serving: list[DomainCounts],
    target: Sequence[DomainCounts],
) -> list[DomainCounts]:
    """Return the serving engines after one step towards cheaper counts.

    The dearest engines go first, and only engines without which the rest still meets the need.
    """
    left = _limit_step(sum(each.total for each in serving))
    lowest = [each.total - _limit_step(each.total) for each in serving]
    counts = list(serving)
    shortfall = compute_shortfall(need, limits, counts)
    candidates = {(i, spot) for i in range(len(counts)) for spot in (False, True)}
    while left and candidates:
        i, spot = max(candidates, key=lambda each: _rank_for_lowering(limits, counts, *each))
        before, aim = counts[i], target[i]
        if spot:
            after, surplus = replace(before, spot=before.spot - 1), before.spot > aim.spot
        else:
            after = replace(before, on_demand=before.on_demand - 1)
            surplus = before.on_demand > aim.on_demand
        lowered = [*counts[:i], after, *counts[i + 1 :]]
        suffices = not any(shortfall) and not any(compute_shortfall(need, limits, lowered))
        if surplus and suffices and after.total >= lowest[i]:
            counts, left = lowered, left - 1
        else:
            candidates.discard((i, spot))
    return counts


def _limit_step(engines: int) -> int:
    return max(int(MAX_STEP_SHARE * engines), 1)


def _rank_for_lowering(
    limits: FleetLimits, counts: Sequence[DomainCounts], i: int, spot: bool
) -> tuple[float, int, int]:
    price = limits.domains[i].price * (limits.spot_price if spot else 1.0)
    count = counts[i].spot if spot else counts[i].on_demand
    return price, count, -i


def _lower_counts(
    wanted: DomainCounts, serving: DomainCounts, lowered: DomainCounts
) -> DomainCounts:
    return DomainCounts(
        on_demand=wanted.on_demand - (serving.on_demand - lowered.on_demand),
        spot=wanted.spot - (serving.spot - lowered.spot),
    )


def _take_larger(
    present: Sequence[DomainCounts], wanted: Sequence[DomainCounts], max_servers: int
) -> tuple[DomainCounts, ...]:
    """Return the present servers and, as far as there is room, what is missing of the wanted."""
    counts = []
    for here, aim in zip(present, wanted, strict=True):
        room = max(max_servers - here.total, 0)
        spot = min(max(aim.spot - here.spot, 0), room)
        on_demand = min(max(aim.on_demand - here.on_demand, 0), room - spot)
        counts.append(DomainCounts(on_demand=here.on_demand + on_demand, spot=here.spot + spot))
    return tuple(counts)


def _list_counts(
    inputs: CapacityInputs, domains: Sequence[FailureDomain], *, only_serving: bool
) -> list[DomainCounts]:
    counts = []
    for domain in domains:
        on_demand = inputs.pools.get(EnginePool(domain, False), PoolState())
        spot = inputs.pools.get(EnginePool(domain, True), PoolState())
        counts.append(
            DomainCounts(
                on_demand=on_demand.serving if only_serving else on_demand.present,
                spot=spot.serving if only_serving else spot.present,
            )
        )
    return counts


def _build_limits(
    inputs: CapacityInputs,
    domains: Sequence[FailureDomain],
    present: Sequence[DomainCounts],
    *,
    keep: bool,
) -> FleetLimits:
    """Return the limits of a plan.

    Args:
        keep: Whether all present servers are part of the plan.
    """
    scaling = inputs.scaling
    has_spot = scaling.spot_price is not None
    limits = []
    for domain, counts in zip(domains, present, strict=True):
        on_demand = inputs.pools.get(EnginePool(domain, False), PoolState())
        spot = inputs.pools.get(EnginePool(domain, True), PoolState())
        # While the platform takes servers away, it has no others of the kind there.
        spot_blocked = spot.blocked or spot.reclaimed > 0
        share = inputs.caller_shares.get(domain, 0.0)
        limits.append(
            DomainLimits(
                domain=domain,
                price=scaling.domain_prices.get(domain, ASSUMED_PRICE),
                caller_share=0.0 if spot_blocked else share,
                min_on_demand=counts.on_demand if keep else 0,
                max_on_demand=counts.on_demand if on_demand.blocked else scaling.max_servers,
                min_spot=counts.spot if keep else 0,
                max_spot=counts.spot if spot_blocked or not has_spot else scaling.max_servers,
            )
        )
    return FleetLimits(
        domains=tuple(limits),
        spot_price=1.0 if scaling.spot_price is None else scaling.spot_price,
        min_servers=scaling.min_servers,
        max_servers=scaling.max_servers,
    )

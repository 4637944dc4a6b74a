"""Orders of servers by the holder of the duty, from the inputs of a decision to its calls."""

import math
from collections import Counter
from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass, field
from typing import Any, Protocol

from eliot import log_message
from twisted.internet.defer import Deferred

from greengagestage.catalog import Duty, RouteTable, Scaling, Service
from greengagestage.ids import FailureDomain, ServiceName
from greengagestage.platform import Accepted, Busy, DutyOutcome, Refused
from greengagestage.routing import Demand, Router
from greengagestage.telemetry import LabelledGauge

from ._capacity_needs import ServiceLoad, measure_load
from ._capacity_placement import EnginePool
from ._capacity_plan import CapacityInputs, CapacityPlan, CapacityState, PoolState, plan_capacity
from ._holder import DutyHolder
from ._server_orders import OrderResponse, ServerOrders

DECISION_INTERVAL_S = 0.5

MAX_REGISTRY_AGE_S = 3.0
"""No order is made on an older copy of the registry."""

MIN_COVERAGE = 0.5
"""No order is made while the demand of fewer of the known hosts is known."""

ASSUMED_TARGET_S = 1.0
"""Target of a service without routes that describe prompts."""


@dataclass(frozen=True, slots=True, kw_only=True)
class FleetView:
    """What this host knows about the fleet.

    Attributes:
        router: Tracks the engines, their loads and the demand on this host.
        read_table: Returns the configuration; None before the first one.
        read_registry_age_s: Returns the age of the copy of the registry; None before the first.
        read_coverage: Returns the share of the known hosts whose demand is known, from 0 to 1.
        count_hosts: Returns the number of known hosts by failure domain.
    """

    router: Router
    read_table: Callable[[], RouteTable | None]
    read_registry_age_s: Callable[[], float | None]
    read_coverage: Callable[[], float]
    count_hosts: Callable[[], Mapping[FailureDomain, int]]


class OrderCalls(Protocol):
    """Sends orders of servers to the platform."""

    def order_servers(
        self, token: int, service: ServiceName, domain: FailureDomain, count: int, spot: bool
    ) -> Deferred[DutyOutcome]:
        """Order the number of servers of a service and kind in a domain, until the next order."""


@dataclass(slots=True, kw_only=True)
class _ServiceState:
    """What is known about a service that this host scales.

    Attributes:
        calling: Failure domains with an order under way.
        pools: Engines at the last decision.
        cost: Price of the servers per second at the last decision.
    """

    orders: ServerOrders
    state: CapacityState = CapacityState()
    calling: set[FailureDomain] = field(default_factory=set)
    pools: Mapping[EnginePool, PoolState] = field(default_factory=dict)
    cost: float = 0.0


class Autoscaler:
    """Orders servers for all services with limits and prices while this host holds the duty.

    Args:
        on_refused: Handles that the platform has refused a token.
        seconds: Returns the monotonic time.
    """

    def __init__(
        self,
        *,
        fleet: FleetView,
        calls: OrderCalls,
        holder: DutyHolder,
        on_refused: Callable[[Duty, int], None],
        seconds: Callable[[], float],
    ) -> None:
        self._fleet = fleet
        self._calls = calls
        self._holder = holder
        self._on_refused = on_refused
        self._seconds = seconds
        self._peer_demand: Mapping[ServiceName, Demand] = {}
        self._services: dict[ServiceName, _ServiceState] = {}
        self._token: int | None = None
        self._decides_from_s = -math.inf
        self._pause_reason: str | None = None

    def update_peer_demand(self, demands: Mapping[ServiceName, Demand]) -> None:
        """Replace the known demand on all other hosts."""
        self._peer_demand = demands

    def act(self) -> None:
        """As the holder, decide and send orders if a decision is due."""
        token = self._holder.get_token(Duty.AUTOSCALING)
        if token != self._token:
            self._token = token
            self._services.clear()
        now_s = self._seconds()
        if token is None or now_s < self._decides_from_s:
            return
        self._decides_from_s = now_s + DECISION_INTERVAL_S
        table = self._fleet.read_table()
        if table is None or self._is_paused():
            return
        demands = self._fleet.router.measure_local_demand(now_s)
        for service in table.services.values():
            if service.scaling is not None and service.engine is not None:
                local = demands.get(service.name, Demand())
                demand = local + self._peer_demand.get(service.name, Demand())
                target_s = _find_strictest_target(table, service.name)
                self._decide(service, service.scaling, demand, target_s, now_s)

    def list_gauges(self) -> Iterable[LabelledGauge]:
        """Return the engines by service, domain and kind, and the cost of each service."""
        for name, service in self._services.items():
            ordered = service.orders.count_ordered()
            for pool in sorted({*ordered, *service.pools}):
                kind = "spot" if pool.spot else "on_demand"
                labels = {"service": name, "domain": pool.domain, "kind": kind}
                serving = service.pools.get(pool, PoolState()).serving
                yield LabelledGauge(
                    name="engines_ordered", labels=labels, value=ordered.get(pool, 0)
                )
                yield LabelledGauge(name="engines_serving", labels=labels, value=serving)
            yield LabelledGauge(
                name="engine_cost_per_second", labels={"service": name}, value=service.cost
            )

    def _is_paused(self) -> bool:
        """Whether too little is known for a decision; the reason is logged when it changes."""
        age_s = self._fleet.read_registry_age_s()
        coverage = self._fleet.read_coverage()
        reason = None
        if age_s is None or age_s > MAX_REGISTRY_AGE_S:
            reason = "registry not read lately"
        elif coverage < MIN_COVERAGE:
            reason = "demand of too few hosts known"
        if reason != self._pause_reason:
            self._pause_reason = reason
            log_message(
                message_type="autoscaling: paused" if reason else "autoscaling: continues",
                reason=reason,
                registry_age_s=age_s,
                coverage=round(coverage, 2),
            )
        return reason is not None

    def _decide(
        self, service: Service, scaling: Scaling, demand: Demand, target_s: float, now_s: float
    ) -> None:
        assert service.engine is not None
        known = self._services.get(service.name)
        if known is None:
            orders = ServerOrders(boot_time_s=scaling.boot_time_s, begun_s=now_s)
            known = self._services[service.name] = _ServiceState(orders=orders)
        known.orders.boot_time_s = scaling.boot_time_s
        load = self._measure_engines(service.name, known, demand, now_s)
        hosts = self._fleet.count_hosts()
        total = sum(hosts.values())
        inputs = CapacityInputs(
            now_s=now_s,
            scaling=scaling,
            engine=service.engine,
            target_s=target_s,
            load=load,
            pools=known.pools,
            caller_shares={domain: count / total for domain, count in hosts.items()},
            coverage=self._fleet.read_coverage(),
        )
        plan = plan_capacity(inputs, known.state)
        known.state, known.cost = plan.state, plan.cost
        for pool, wanted in sorted(
            plan.counts.items(), key=lambda each: self._get_pool(known, each[0]).present - each[1]
        ):
            self._order(service.name, known, pool, wanted, inputs, plan)

    def _measure_engines(
        self, service: ServiceName, known: _ServiceState, demand: Demand, now_s: float
    ) -> ServiceLoad:
        """Update the engines of a service, and return its load."""
        serving: Counter[EnginePool] = Counter()
        reclaimed: Counter[EnginePool] = Counter()
        engines, requests, tokens, prefill_s = 0, 0, 0, 0.0
        for state in self._fleet.router.upstreams.values():
            record = state.record
            if record.service != service:
                continue
            pool = EnginePool(record.failure_domain, record.spot)
            if not state.is_leaving:
                serving[pool] += 1
            elif record.spot and record.leaves_s is not None:
                reclaimed[pool] += 1
            total = state.measure(now_s)
            engines += 1
            requests += total.requests
            tokens += total.tokens
            prefill_s += total.prefill_s
        known.pools = known.orders.describe(serving, reclaimed, now_s)
        return measure_load(
            demand, engines=engines, requests=requests, tokens=tokens, prefill_s=prefill_s
        )

    def _order(
        self,
        service: ServiceName,
        known: _ServiceState,
        pool: EnginePool,
        wanted: int,
        inputs: CapacityInputs,
        plan: CapacityPlan,
    ) -> None:
        """Send an order if one is due and none is under way for the domain."""
        state = self._get_pool(known, pool)
        if pool.domain in known.calling:
            return
        count = known.orders.choose_count(pool, wanted, state, inputs.now_s)
        token = self._holder.get_token(Duty.AUTOSCALING)
        if count is None or token is None or token != self._token:
            return
        known.calling.add(pool.domain)
        known.orders.record_sent(pool, count, inputs.now_s)
        details = {
            "service": service,
            "domain": pool.domain,
            "spot": pool.spot,
            "count": count,
            "wanted": wanted,
            "serving": state.serving,
            "booting": state.booting,
            "reason": plan.reason or "repeated",
            "need": plan.need.total,
            "need_without_largest_spot": plan.need.without_largest_spot,
            "need_on_demand": plan.need.on_demand,
            "work": round(inputs.load.work, 2),
            "streams": round(inputs.load.streams),
            "backlog_s": round(inputs.load.backlog_s, 2),
            "cost_per_s": round(plan.cost, 2),
            "token": token,
        }
        call = self._calls.order_servers(token, service, pool.domain, count, pool.spot)
        call.addCallback(self._end_order, token, service, known, pool, state, details)

    def _end_order(
        self,
        outcome: DutyOutcome,
        token: int,
        service: ServiceName,
        known: _ServiceState,
        pool: EnginePool,
        state: PoolState,
        details: Mapping[str, Any],
    ) -> None:
        known.calling.discard(pool.domain)
        response = _classify(outcome)
        if not (isinstance(outcome, Busy) and not outcome.sent):
            log_message(message_type="autoscaling: order", response=response.value, **details)
        if self._services.get(service) is not known:
            return
        known.orders.record_response(pool, response, state, self._seconds())
        if known.orders.is_token_refused:
            self._services.clear()
            self._on_refused(Duty.AUTOSCALING, token)
        elif response is OrderResponse.REFUSED:
            # The need goes to other domains or to the other kind without delay.
            self._decides_from_s = self._seconds()

    @staticmethod
    def _get_pool(known: _ServiceState, pool: EnginePool) -> PoolState:
        return known.pools.get(pool, PoolState())


def _classify(outcome: DutyOutcome) -> OrderResponse:
    match outcome:
        case Accepted():
            return OrderResponse.ACCEPTED
        case Refused():
            return OrderResponse.REFUSED
        case Busy():
            return OrderResponse.BUSY
        case _:
            return OrderResponse.UNANSWERED


def _find_strictest_target(table: RouteTable, service: ServiceName) -> float:
    """Return the shortest target for the first event of all routes to a service's engines."""
    return min(
        (
            route.target_s
            for route in table.routes
            if route.carries_prompt and any(each.service == service for each in route.destinations)
        ),
        default=ASSUMED_TARGET_S,
    )

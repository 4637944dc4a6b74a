"""What callers request of each service, and which of its routes can share engines."""

from collections.abc import Callable, Mapping, Sequence
from dataclasses import replace

from greengagestage.catalog import Route, RouteTable, Service
from greengagestage.ids import RouteName, ServiceName

from ._demand import Demand, DemandMeter
from ._engine_model import EngineModel
from ._engine_split import GroupDemand, build_group
from ._jobs import Job
from ._overload import UrgencyTraffic
from ._route_groups import RouteTraffic, TrafficMeter, hash_route, is_tolerant
from ._upstreams import DECODE_STEP_S

DEMAND_CACHE_S = 0.1
"""Time for which the total demand of all hosts is cached: it takes over a second to change."""


class ServiceDemand:
    """Tracks the demand that reaches this host, and adds that of all others.

    Args:
        measure_urgencies: Returns this host's requests for a service by urgency, at a time.
    """

    def __init__(
        self, *, measure_urgencies: Callable[[ServiceName, float], dict[int, UrgencyTraffic]]
    ) -> None:
        self._measure_urgencies = measure_urgencies
        self._services: Mapping[ServiceName, Service] = {}
        self._routes: tuple[Route, ...] = ()
        self._strictest_gap_s: dict[ServiceName, float] = {}
        self._demand_meters: dict[ServiceName, DemandMeter] = {}
        self._traffic_meters: dict[ServiceName, TrafficMeter] = {}
        self._models: dict[ServiceName, EngineModel] = {}
        self._peer_demand: Mapping[ServiceName, Demand] = {}
        self._total_cache: dict[ServiceName, tuple[float, Demand]] = {}
        self._sensitive_cache: dict[tuple[ServiceName, RouteName], bool] = {}
        self._group_cache: dict[ServiceName, tuple[GroupDemand | None, GroupDemand | None]] = {}

    def update_routes(self, table: RouteTable) -> None:
        """Apply the routes of a configuration, and the shortest gap target of each service."""
        self._services = table.services
        self._routes = tuple(route for route in table.routes if route.carries_prompt)
        self._group_cache.clear()
        self._strictest_gap_s = {}
        for route in table.routes:
            for destination in route.destinations:
                gap_s = route.gap_target_s
                if gap_s is not None:
                    strictest_s = self._strictest_gap_s.get(destination.service, gap_s)
                    self._strictest_gap_s[destination.service] = min(strictest_s, gap_s)

    def update_peers(self, demands: Mapping[ServiceName, Demand]) -> None:
        """Replace the known demand on all other hosts."""
        self._peer_demand = demands
        for service, demand in demands.items():
            self.get_model(service).set_peer_samples(demand.prefill)

    def record_request(self, job: Job, now_s: float) -> None:
        """Count a caller's request if it describes a prompt."""
        if job.prompt is None:
            return
        speed = self.get_model(job.service).speed
        prefill_s = speed.estimate_prompt_prefill_s(job.prompt, job.prompt.shared_tokens)
        self._get_traffic_meter(job.service).record_prompt(
            hash_route(job.route),
            whole_prefill_s=speed.estimate_prompt_prefill_s(job.prompt, 0),
            prefill_s=prefill_s,
            now_s=now_s,
        )
        meter = self._demand_meters.setdefault(job.service, DemandMeter())
        sensitive = self.is_sensitive(job, now_s)
        meter.record(job.prompt, speed=speed, sensitive=sensitive, now_s=now_s)

    def record_stream(
        self, service: ServiceName, route: int, duration_s: float, now_s: float
    ) -> None:
        """Count a completed stream.

        Args:
            route: Number by which hosts identify its route.
        """
        self._get_traffic_meter(service).record_stream(route, duration_s, now_s)

    def get_model(self, service: ServiceName) -> EngineModel:
        """Return the model of the speed of a service's engines."""
        return self._models.setdefault(service, EngineModel())

    def measure(self, service: ServiceName, now_s: float) -> Demand:
        """Return the demand on all hosts, as far as it has been reported."""
        cached = self._total_cache.get(service)
        if cached is not None and now_s - cached[0] < DEMAND_CACHE_S:
            return cached[1]
        total = self.measure_local(service, now_s) + self._peer_demand.get(service, Demand())
        self._total_cache[service] = (now_s, total)
        self._sensitive_cache.clear()
        self._group_cache.pop(service, None)
        return total

    def measure_local(self, service: ServiceName, now_s: float) -> Demand:
        """Return the demand that reaches this host."""
        urgencies = self._measure_urgencies(service, now_s)
        meter = self._demand_meters.get(service)
        if meter is None:
            return Demand(urgencies=urgencies)
        return replace(
            meter.measure(now_s),
            urgencies=urgencies,
            routes=self._get_traffic_meter(service).measure(now_s),
            prefill=self.get_model(service).measure(now_s),
        )

    def count_waiting(self, job: Job, now_s: float) -> float:
        """Return how many requests wait on all hosts that are at least as urgent as a job."""
        urgencies = self.measure(job.service, now_s).urgencies
        return sum(
            requests.waiting for urgency, requests in urgencies.items() if urgency <= job.urgency
        )

    def measure_urgency(self, job: Job, now_s: float) -> UrgencyTraffic:
        """Return the requests on all hosts that are as urgent as a job."""
        urgencies = self.measure(job.service, now_s).urgencies
        return urgencies.get(job.urgency, UrgencyTraffic())

    def is_sensitive(self, job: Job, now_s: float) -> bool:
        """Whether long prompts must be kept away from a job's route."""
        key = (job.service, job.route.name)
        demand = self.measure(job.service, now_s)
        if key not in self._sensitive_cache:
            whole_s = _estimate_whole_prefill_s(job.route, demand)
            self._sensitive_cache[key] = not self._is_tolerant(job.service, job.route, whole_s)
        return self._sensitive_cache[key]

    def measure_groups(
        self, service: ServiceName, now_s: float
    ) -> tuple[GroupDemand | None, GroupDemand | None]:
        """Return the demand of a service's sensitive and of its tolerant routes."""
        demand = self.measure(service, now_s)
        if service not in self._group_cache:
            sensitive: list[Route] = []
            tolerant: list[Route] = []
            for route in self._routes:
                if any(each.service == service for each in route.destinations):
                    whole_s = _estimate_whole_prefill_s(route, demand)
                    is_tolerant_route = self._is_tolerant(service, route, whole_s)
                    (tolerant if is_tolerant_route else sensitive).append(route)
            is_urgent = _is_more_urgent(sensitive, tolerant)
            self._group_cache[service] = (
                build_group(sensitive, demand.sensitive, demand.routes, is_more_urgent=is_urgent),
                build_group(tolerant, demand.tolerant, demand.routes),
            )
        return self._group_cache[service]

    def _is_tolerant(self, service: ServiceName, route: Route, whole_s: float | None) -> bool:
        engine = self._services[service].engine if service in self._services else None
        return is_tolerant(
            route.gap_target_s,
            self._strictest_gap_s.get(service),
            step_s=0.0 if engine is None else engine.tokens_per_event * DECODE_STEP_S,
            whole_prefill_s=whole_s,
        )

    def _get_traffic_meter(self, service: ServiceName) -> TrafficMeter:
        return self._traffic_meters.setdefault(service, TrafficMeter())


def _estimate_whole_prefill_s(route: Route, demand: Demand) -> float | None:
    """Return the mean time to prefill a whole prompt of a route; None before any prompt."""
    traffic = demand.routes.get(hash_route(route), RouteTraffic())
    return traffic.whole_prefill_s / traffic.prompts if traffic.prompts else None


def _is_more_urgent(routes: Sequence[Route], others: Sequence[Route]) -> bool:
    """Whether the most urgent of some routes is more urgent than the most urgent of others."""
    if not routes or not others:
        return False
    return min(route.priority for route in routes) < min(route.priority for route in others)

"""The split of a service's engines between sensitive and tolerant requests.

The split with the fewest expected late requests is chosen, from queueing approximations: each group
of engines prefills one prompt at a time on each engine, and runs one stream in each slot.
"""

import math
from collections.abc import Mapping, Sequence
from dataclasses import dataclass

from greengagestage.catalog import Route

from ._route_groups import RouteTraffic, hash_route

URGENT_WEIGHT = 2.0
"""Weight of a late request of the more urgent group, in late requests of the other."""

MIN_WORK = 0.02
"""Work of both groups in engine seconds per second, below which the split stays."""

MOVE_FACTOR = 1.25
MOVE_LATE_SHARE = 0.01
"""The split changes only if the expected late requests exceed the lowest possible ones by this
factor, and by this share of all requests. An engine that moves to the other group has to prefill
its shared prompt prefixes again."""

PRIOR_PREFILL_S = 0.03
PRIOR_DISPERSION = 8.0
"""Prefill time of a prompt, and its mean square over its squared mean, that are assumed until some
prompts have been seen. A few long prompts usually make up most of the work."""

DEFAULT_SHARE = 0.4
"""Share of the engines for sensitive requests until there is enough demand to compute one."""


@dataclass(frozen=True, slots=True, kw_only=True)
class GroupDemand:
    """The requests of one group of routes, over all hosts.

    Attributes:
        work: Work in engine seconds per second.
        requests_per_s: Arrivals per second.
        residual_s: Mean remaining prefill time of a prompt that is found under way.
        target_s: Shortest delay of a first event or pause that makes a request late.
        stream_s: Mean time for which a request occupies a slot.
        weight: Weight of a late request.
        is_more_urgent: Whether engines begin these requests before those of the other group.
    """

    work: float = 0.0
    requests_per_s: float = 0.0
    residual_s: float = 0.0
    target_s: float = 1.0
    stream_s: float = 0.0
    weight: float = 1.0
    is_more_urgent: bool = False

    @property
    def request_s(self) -> float:
        """Mean work of a request in engine seconds; 0 without any requests."""
        return self.work / self.requests_per_s if self.requests_per_s else 0.0

    def forecast_late(self, engines: int, slots: int) -> float:
        """Return the expected late requests per second, weighted, on a number of engines."""
        prefill_late = _forecast_prefill_late(self.work / engines, self.target_s, self.residual_s)
        slot_load = self.requests_per_s * self.stream_s / (engines * slots)
        slot_late = _forecast_slot_late(slot_load, slots, self.target_s, self.stream_s)
        return self.weight * self.requests_per_s * (prefill_late + slot_late)


def _forecast_prefill_late(load: float, target_s: float, residual_s: float) -> float:
    """Return the share of requests that wait longer than the target for one server's queue.

    Beyond capacity, it grows with the load so that more overload is always worse.
    """
    if load >= 1.0:
        return load
    return load * math.exp(-(1.0 - load) * target_s / max(residual_s, 1e-3))


def _forecast_slot_late(load: float, slots: int, target_s: float, stream_s: float) -> float:
    """Return the share of requests that wait longer than the target for one of several slots.

    The exponent is Sakasegawa's approximation of the probability that all slots are occupied.
    """
    if load >= 1.0:
        return load
    occupied = math.pow(load, math.sqrt(2.0 * (slots + 1)))
    return occupied * math.exp(-(1.0 - load) * slots * target_s / max(stream_s, 1e-3))


def build_group(
    routes: Sequence[Route],
    work: float,
    traffic: Mapping[int, RouteTraffic],
    *,
    is_more_urgent: bool = False,
) -> GroupDemand | None:
    """Return the demand of some routes, or None without any routes.

    Args:
        work: Work of these routes in engine seconds per second.
        traffic: Recent traffic by the number of each route, from all hosts.
    """
    if not routes:
        return None
    total = RouteTraffic()
    for route in routes:
        total += traffic.get(hash_route(route), RouteTraffic())
    prefill_s = total.prefill_s / total.prompts if total.prompts else PRIOR_PREFILL_S
    prior_squares_s2 = PRIOR_DISPERSION * PRIOR_PREFILL_S**2
    squares_s2 = total.prefill_squares_s2 / total.prompts if total.prompts else prior_squares_s2
    return GroupDemand(
        work=work,
        requests_per_s=work / prefill_s,
        residual_s=squares_s2 / (2 * prefill_s),
        target_s=min(min(each.target_s, each.gap_target_s or each.target_s) for each in routes),
        stream_s=total.stream_s / total.streams if total.streams else 0.0,
        weight=URGENT_WEIGHT if is_more_urgent else 1.0,
        is_more_urgent=is_more_urgent,
    )


class EngineSplit:
    """Splits a service's engines between sensitive and tolerant requests, with hysteresis."""

    def __init__(self) -> None:
        self._share = DEFAULT_SHARE
        self._inputs: tuple[int, int, GroupDemand | None, GroupDemand | None] | None = None

    def update_split(
        self,
        engines: int,
        slots: int,
        sensitive: GroupDemand | None,
        tolerant: GroupDemand | None,
    ) -> int:
        """Adjust the split to the demand, and return the number of engines for sensitive requests.

        Args:
            slots: Number of requests that an engine runs at once.
            sensitive: None, like ``tolerant``, if no route is in the group. The other group then
                gets all engines.
        """
        if sensitive is None:
            return 0
        if tolerant is None or engines <= 1:
            return engines
        if sensitive.work + tolerant.work < MIN_WORK:
            return self._round_to_engines(engines)
        inputs = (engines, slots, sensitive, tolerant)
        if inputs == self._inputs:
            return self._round_to_engines(engines)  # the same demand moves nothing further
        self._inputs = inputs
        current = self._round_to_engines(engines)
        late = {
            split: sensitive.forecast_late(split, slots)
            + tolerant.forecast_late(engines - split, slots)
            for split in range(1, engines)
        }
        best = min(late, key=lambda split: (late[split], abs(split - current)))
        requests_per_s = sensitive.requests_per_s + tolerant.requests_per_s
        if late[current] > MOVE_FACTOR * late[best] + MOVE_LATE_SHARE * requests_per_s:
            self._share = best / engines
        return self._round_to_engines(engines)

    def _round_to_engines(self, engines: int) -> int:
        return min(max(round(self._share * engines), 1), max(engines - 1, 1))

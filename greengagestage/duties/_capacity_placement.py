"""Placement: the cheapest servers, by failure domain and kind, that meet a need."""

import math
from collections.abc import Sequence
from dataclasses import dataclass
from functools import lru_cache
from typing import NamedTuple

from greengagestage.ids import FailureDomain

from ._capacity_needs import EngineNeed

MIN_DOMAIN_SHARE = 0.5
"""Part of its share of the callers that a failure domain has engines for at least: traffic between
domains costs money and is slower."""


class EnginePool(NamedTuple):
    """The engines of one kind in one failure domain, which are ordered together."""

    domain: FailureDomain
    spot: bool


@dataclass(frozen=True, slots=True, kw_only=True)
class DomainLimits:
    """Limits on the engines in one failure domain.

    Attributes:
        price: Price of an on-demand server per second.
        caller_share: Share of all callers that use the hosts in this domain.
        min_on_demand: Least number of on-demand servers.
        max_on_demand: Largest number of them; it is not larger than the present number while no
            more can be had.
        min_spot: Least number of spot servers.
        max_spot: Largest number of them.
    """

    domain: FailureDomain
    price: float
    caller_share: float
    min_on_demand: int
    max_on_demand: int
    min_spot: int
    max_spot: int


@dataclass(frozen=True, slots=True, kw_only=True)
class FleetLimits:
    """Limits on all engines of a service.

    Attributes:
        spot_price: Price of a spot server as a share of the on-demand price.
        min_servers: Least number of servers in each domain, of both kinds together.
        max_servers: Largest number of servers in each domain, of both kinds together.
    """

    domains: tuple[DomainLimits, ...]
    spot_price: float
    min_servers: int
    max_servers: int


@dataclass(frozen=True, slots=True, kw_only=True)
class DomainCounts:
    """Numbers of servers in one failure domain."""

    on_demand: int
    spot: int

    @property
    def total(self) -> int:
        """Number of servers of both kinds."""
        return self.on_demand + self.spot


def compute_cost(limits: FleetLimits, counts: Sequence[DomainCounts]) -> float:
    """Return the price of servers per second."""
    return sum(
        domain.price * (each.on_demand + limits.spot_price * each.spot)
        for domain, each in zip(limits.domains, counts, strict=True)
    )


def compute_shortfall(
    need: EngineNeed, limits: FleetLimits, counts: Sequence[DomainCounts]
) -> tuple[int, int]:
    """Return how many engines are missing, in all and in failure domains below their least number.

    The engines that are missing without the largest group of spot servers are included.
    """
    total = sum(each.total for each in counts)
    largest_spot = max((each.spot for each in counts), default=0)
    missing = max(
        need.total - total,
        need.without_largest_spot + largest_spot - total,
        need.on_demand - sum(each.on_demand for each in counts),
        0,
    )
    missing_in_domains = sum(
        max(_compute_floor(need, limits, domain) - each.total, 0)
        for domain, each in zip(limits.domains, counts, strict=True)
    )
    return missing, missing_in_domains


@lru_cache(maxsize=32)
def place_servers(need: EngineNeed, limits: FleetLimits) -> tuple[DomainCounts, ...]:
    """Return the cheapest numbers of servers that meet a need, or that miss it by least.

    Every limit on the largest group of spot servers is tried, since a larger group needs more
    servers elsewhere. Of plans at the same price, the one with the smallest such group is taken.
    """
    largest = max((each.max_spot for each in limits.domains), default=0)
    plans = [
        _fill(need, limits, largest_spot)
        for largest_spot in range(min(largest, need.total + limits.min_servers) + 1)
    ]
    return min(
        plans,
        key=lambda plan: (
            sum(compute_shortfall(need, limits, plan)),
            round(compute_cost(limits, plan), 6),
            max((each.spot for each in plan), default=0),
        ),
    )


def _fill(need: EngineNeed, limits: FleetLimits, largest_spot: int) -> tuple[DomainCounts, ...]:
    """Return numbers that meet a need with at most a number of spot servers in each domain.

    On-demand servers for the most urgent requests are spread like the callers. All others are spot
    servers as far as possible, in the cheapest domains first.
    """
    filling = _Filling(limits, largest_spot)
    domains = limits.domains
    positions = range(len(domains))
    while sum(filling.on_demand) < need.on_demand:
        roomy = [i for i in positions if filling.get_room(i, spot=False)]
        if not roomy:
            break
        i = max(roomy, key=lambda i: (domains[i].caller_share / (filling.on_demand[i] + 1), -i))
        filling.add(i, 1, spot=False)
    is_spot_cheaper = limits.spot_price < 1
    for i in positions:
        for spot in (is_spot_cheaper, not is_spot_cheaper):
            missing = _compute_floor(need, limits, domains[i]) - filling.get_total(i)
            filling.add(i, missing, spot=spot)
    by_price = sorted(positions, key=lambda i: (domains[i].price, -domains[i].caller_share))
    for spot in (True, False):
        for i in by_price:
            while (missing := filling.count_missing(need)) > 0 and filling.get_room(i, spot=spot):
                # A larger group of spot servers needs more engines besides it.
                filling.add(i, missing, spot=spot)
    return tuple(
        DomainCounts(on_demand=on_demand, spot=spot)
        for on_demand, spot in zip(filling.on_demand, filling.spot, strict=True)
    )


class _Filling:
    """Numbers of servers by position of their domain, while they are being chosen."""

    def __init__(self, limits: FleetLimits, largest_spot: int) -> None:
        self._limits = limits
        self._largest_spot = largest_spot
        self.on_demand = [each.min_on_demand for each in limits.domains]
        self.spot = [each.min_spot for each in limits.domains]

    def get_total(self, i: int) -> int:
        return self.on_demand[i] + self.spot[i]

    def get_room(self, i: int, *, spot: bool) -> int:
        """Return how many more servers a domain may have."""
        domain = self._limits.domains[i]
        if spot:
            room = min(domain.max_spot, self._largest_spot) - self.spot[i]
        else:
            room = domain.max_on_demand - self.on_demand[i]
        return max(min(room, self._limits.max_servers - self.get_total(i)), 0)

    def add(self, i: int, count: int, *, spot: bool) -> None:
        """Add servers to a domain as far as its limits allow."""
        counts = self.spot if spot else self.on_demand
        counts[i] += min(max(count, 0), self.get_room(i, spot=spot))

    def count_missing(self, need: EngineNeed) -> int:
        total = sum(self.on_demand) + sum(self.spot)
        largest_spot = max(self.spot, default=0)
        return max(need.total, need.without_largest_spot + largest_spot) - total


def _compute_floor(need: EngineNeed, limits: FleetLimits, domain: DomainLimits) -> int:
    """Return the least number of servers of both kinds in a domain."""
    share = math.ceil(MIN_DOMAIN_SHARE * domain.caller_share * need.total)
    return min(max(limits.min_servers, share), limits.max_servers)

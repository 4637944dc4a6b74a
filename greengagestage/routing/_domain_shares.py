"""Which share of a route's requests leaves a failure domain, and for which domains.

Each group of engines that may serve a route is described by the delay that a request finds there.
Requests leave for the work that the own domain cannot do in time, until the delays differ by no
more than what leaving costs.
"""

import math
from collections import Counter
from collections.abc import Mapping, Sequence
from dataclasses import dataclass, field, replace
from enum import Enum

import xxhash

from greengagestage.ids import AttemptId, FailureDomain, PromptPartId

from ._upstreams import UpstreamState

MIN_OWN_ENGINES = 12
"""Number of a service's engines in a domain from which its requests prefer them. With fewer, the
domain cannot keep apart the groups of engines that sensitive and tolerant requests need."""

DEFAULT_LINK_DELAY_S = 0.002
"""Assumed delay of a link between domains, in one direction."""

COMFORT_SHARE = 0.15
"""Share of a route's target up to which a delay in the own domain costs its callers nothing."""

MIN_GAIN_SHARE = 0.15
"""Share of a route's target by which leaving must shorten the delay. The loads of domains that are
equally busy differ by chance, and requests that cross between these gain nothing."""

MIN_GAIN_RATIO = 0.25
"""Share of the delay in the own domain by which leaving must shorten it: the longer the queues are,
the more they differ by chance."""

SHRINK_TIME_CONSTANT_S = 3.0
"""Time constant with which a share shrinks. Demand may swing with periods of 11 to 17 s, and a
share that followed each fall would be too small at the next rise."""

RESPONSE_TIME_S = 1.6
"""Time constant with which the load of a domain follows a change of its share: load reports, and
the requests that are already under way."""

CACHE_RETENTION_S = 10.0
"""Time for which engines keep a prompt part at least."""

SMOOTHING_S = 0.6
"""Time constant with which the delays of the domains are averaged. At any moment, the queues of a
few engines differ by some prompts without any lasting difference in load."""

MODE_FACTOR = 1.5
"""Factor by which one way must be cheaper than the other before a route changes to it. A change
moves the shared parts of its prompts to other engines."""

BYTES_PER_GB = 1e9


class LeavingReason(Enum):
    """Why a request went to another failure domain than that of its host.

    Attributes:
        OVERLOAD: The engines of the own domain cannot do all its work in time.
        SHARED_PARTS: Computing the shared parts of its prompt in each domain costs more.
        NO_ENGINE: No engine of the own domain can be used.
        RETRY: It was sent before, or continues a stream, and may go to any upstream.
        UNRESTRICTED: The domains of the service are not kept apart.
    """

    OVERLOAD = "overload"
    SHARED_PARTS = "shared parts"
    NO_ENGINE = "no engine"
    RETRY = "retry"
    UNRESTRICTED = "unrestricted"


@dataclass(frozen=True, slots=True, kw_only=True)
class DomainLoad:
    """The engines of one domain that may serve a route.

    Attributes:
        delay_s: Mean time that a request waits at one of them before its own prefill.
    """

    engines: int
    delay_s: float


@dataclass(frozen=True, slots=True, kw_only=True)
class LeavingCosts:
    """What it costs to send a request to another domain, and to keep it, in engine seconds.

    Attributes:
        delay_s: Time that the links between the domains add to the first event.
        transfer_s: Price of the bytes that the request sends and receives.
        recomputed_s: Expected prefill of shared parts that another domain has cached, if each
            domain computes them on its own.
    """

    delay_s: float = 2 * DEFAULT_LINK_DELAY_S
    transfer_s: float = 0.0
    recomputed_s: float = 0.0


@dataclass(frozen=True, slots=True, kw_only=True)
class LeavingShare:
    """The requests of a route that leave their domain.

    Attributes:
        share: Share of the requests that leave.
        weights: Free capacity of the domains that they go to; none if all domains are as loaded.
        ignores_domains: Whether all requests go to the engines that have their shared parts cached,
            wherever these are.
    """

    share: float = 0.0
    weights: Mapping[FailureDomain, float] = field(default_factory=dict)
    ignores_domains: bool = False


class RouteShares:
    """Determines the share of one route's requests that leaves, with hysteresis."""

    def __init__(self) -> None:
        self._share = 0.0
        self._effective_share = 0.0
        self._ignores_domains = False
        self._own_delay_s: float | None = None
        self._delays_s: dict[FailureDomain, float] = {}
        self._updated_s: float | None = None

    def update(
        self,
        own: DomainLoad,
        others: Mapping[FailureDomain, DomainLoad],
        *,
        costs: LeavingCosts,
        target_s: float,
        now_s: float,
    ) -> LeavingShare:
        """Adjust the share to the loads and return it.

        Args:
            own: Load of the own domain, in which there must be an engine.
            others: Loads of the other domains that have an engine.
            target_s: The route's target for the first event.
        """
        elapsed_s = 0.0 if self._updated_s is None else max(now_s - self._updated_s, 0.0)
        self._updated_s = now_s
        response = 1.0 - math.exp(-elapsed_s / RESPONSE_TIME_S)
        self._effective_share += response * (self._share - self._effective_share)
        own, others = self._smooth(own, others, elapsed_s)
        self._update_mode(costs, target_s)
        leaving_s = costs.delay_s + costs.transfer_s - costs.recomputed_s
        gain_s = max(MIN_GAIN_SHARE * target_s, MIN_GAIN_RATIO * own.delay_s)
        margin_s = max(leaving_s, gain_s)
        level_s = compute_common_delay_s(own, list(others.values()), margin_s)
        own_level_s = max(level_s + margin_s, COMFORT_SHARE * target_s)
        share = self._share * math.exp(-elapsed_s / SHRINK_TIME_CONSTANT_S)
        if own.delay_s > own_level_s:
            moved = (1.0 - self._effective_share) * (1.0 - own_level_s / own.delay_s)
            share = max(share, self._effective_share + moved)
        self._share = share
        # A share that still shrinks needs room too, which need not be less loaded than its own.
        room_s = max(level_s, COMFORT_SHARE * target_s)
        return LeavingShare(
            share=share,
            weights={
                domain: load.engines * (room_s - load.delay_s)
                for domain, load in others.items()
                if load.delay_s < room_s
            },
            ignores_domains=self._ignores_domains,
        )

    def _smooth(
        self, own: DomainLoad, others: Mapping[FailureDomain, DomainLoad], elapsed_s: float
    ) -> tuple[DomainLoad, dict[FailureDomain, DomainLoad]]:
        """Return the loads with their averaged delays; a new domain starts with its load."""
        kept = math.exp(-elapsed_s / SMOOTHING_S)
        previous_s = own.delay_s if self._own_delay_s is None else self._own_delay_s
        self._own_delay_s = own.delay_s + kept * (previous_s - own.delay_s)
        self._delays_s = {
            domain: load.delay_s + kept * (self._delays_s.get(domain, load.delay_s) - load.delay_s)
            for domain, load in others.items()
        }
        return replace(own, delay_s=self._own_delay_s), {
            domain: replace(load, delay_s=self._delays_s[domain]) for domain, load in others.items()
        }

    def _update_mode(self, costs: LeavingCosts, target_s: float) -> None:
        """Follow the cheaper of computing shared parts once in each domain and once in all.

        Callers hardly notice a delay that is short in comparison with their target.
        """
        noticed = min(costs.delay_s / (MIN_GAIN_SHARE * target_s), 1.0)
        leaving_s = noticed * costs.delay_s + costs.transfer_s
        if self._ignores_domains:
            self._ignores_domains = costs.recomputed_s * MODE_FACTOR > leaving_s
        else:
            self._ignores_domains = costs.recomputed_s > MODE_FACTOR * leaving_s


def compute_common_delay_s(own: DomainLoad, others: Sequence[DomainLoad], margin_s: float) -> float:
    """Return the delay in other domains from which no more requests should leave.

    It is reached when work has moved from the own domain until its delay exceeds that of the others
    by the margin only. Domains that are busier get nothing.
    """
    engines, delay_sum_s = own.engines, own.engines * (own.delay_s - margin_s)
    for load in sorted(others, key=lambda each: each.delay_s):
        if load.delay_s >= delay_sum_s / engines:
            break
        engines += load.engines
        delay_sum_s += load.engines * load.delay_s
    return delay_sum_s / engines


def choose_domain(
    leaving: LeavingShare, attempt_id: AttemptId, prompt_key: PromptPartId | None
) -> FailureDomain | None:
    """Return the domain that a request leaves for; None if it stays.

    All hosts that know the same share choose the same requests, and send those with the same shared
    parts to the same domain.
    """
    if not leaving.weights or _hash_to_fraction(attempt_id) >= leaving.share:
        return None
    key = attempt_id if prompt_key is None else prompt_key
    return max(
        leaving.weights,
        key=lambda domain: leaving.weights[domain]
        / -math.log(_hash_to_fraction(f"{domain}/{key}")),
    )


def find_exemption(engines: Sequence[UpstreamState], domain: FailureDomain) -> LeavingReason | None:
    """Return why a domain's requests may go to any engine of a service; None if they prefer theirs.

    Args:
        engines: All engines of the service.
    """
    sizes = _count_engines(engines)
    if not _is_divided(sizes):
        return LeavingReason.UNRESTRICTED
    if not sizes[domain]:
        return LeavingReason.NO_ENGINE
    return None if sizes[domain] >= MIN_OWN_ENGINES else LeavingReason.UNRESTRICTED


def sort_engines(engines: Sequence[UpstreamState], *, divides_domains: bool) -> list[UpstreamState]:
    """Return a service's engines in an order that is the same on every host.

    Where a domain is large enough to be kept apart, the domains take turns, so that each has its
    share of the first engines.
    """
    ordered = sorted(engines, key=lambda state: state.sort_key)
    sizes = _count_engines(ordered)
    if not divides_domains or not _is_divided(sizes):
        return ordered
    seen: Counter[FailureDomain] = Counter()
    turns: dict[int, float] = {}
    for state in ordered:
        domain = state.record.failure_domain
        turns[state.sort_key] = (seen[domain] + 0.5) / sizes[domain]
        seen[domain] += 1
    return sorted(ordered, key=lambda state: (turns[state.sort_key], state.sort_key))


def _count_engines(engines: Sequence[UpstreamState]) -> Counter[FailureDomain]:
    return Counter(state.record.failure_domain for state in engines)


def _is_divided(sizes: Counter[FailureDomain]) -> bool:
    """Whether some domain of a service is large enough to be kept apart from the others."""
    return len(sizes) > 1 and max(sizes.values()) >= MIN_OWN_ENGINES


def _hash_to_fraction(text: str) -> float:
    """Return a number between 0 and 1, both excluded."""
    return (xxhash.xxh32_intdigest(text.encode()) + 0.5) / 2**32

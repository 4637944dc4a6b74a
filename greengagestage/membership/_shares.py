"""Splits the slots of each upstream over the entry hosts. No I/O.

A host's share of an upstream is a number of slots. Every host computes the same table from the same
inputs. A host with more demand gets more slots, and each host gets at least one slot in every pool.
The shares of an upstream never add up to more than its slots, with one exception: if a host would
be left without a slot in a pool where no share is larger than one slot, it gets one extra slot
there. That is so in a pool with fewer slots than hosts, for example.
"""

from collections import defaultdict
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from functools import lru_cache

from xxhash import xxh64_intdigest

from greengagestage.ids import HostId, PoolName, UpstreamName

SLOTS_PER_HOST = 4
"""An upstream is shared by one host for each this many slots, if that gives more than
``MIN_HOSTS_PER_UPSTREAM``."""
MIN_HOSTS_PER_UPSTREAM = 8
EVEN_FRACTION = 0.5
"""Fraction of the spare slots that is split evenly, so that every host has slots for a burst."""

HOST_CHOICE_CACHE_SIZE = 2048

Shares = dict[HostId, dict[UpstreamName, int]]


@dataclass(frozen=True, slots=True, kw_only=True)
class SharedUpstream:
    """An upstream that accepts work, with its slots and the pools it belongs to."""

    name: UpstreamName
    slots: int
    pools: tuple[PoolName, ...]


@dataclass(frozen=True, slots=True, kw_only=True)
class HostDemand:
    """An entry host and its demand in each pool.

    Demand is weighted by class. Its unit has to be the same for all hosts (``HostReport.demand``
    has tenths of a request of the highest class), because only the proportions count.
    """

    host: HostId
    demand: Mapping[PoolName, float] = field(default_factory=dict)


def compute_shares(hosts: Iterable[HostDemand], upstreams: Iterable[SharedUpstream]) -> Shares:
    """Return the slots of every host at every upstream, including shares of 0."""
    by_host = {item.host: item for item in sorted(hosts, key=lambda item: item.host)}
    host_ids = tuple(by_host)
    ordered_upstreams = sorted(upstreams, key=lambda item: item.name)
    zeros = {upstream.name: 0 for upstream in ordered_upstreams}
    shares: Shares = {name: dict(zeros) for name in host_ids}
    if not host_ids:
        return shares
    for upstream in ordered_upstreams:
        split = _split_slots(upstream, _choose_hosts(upstream, by_host, host_ids))
        for name, slots in split.items():
            shares[name][upstream.name] = slots
    _ensure_slot_in_every_pool(shares, ordered_upstreams)
    return shares


def _compute_score(upstream: UpstreamName, host: HostId) -> int:
    """Return the rendezvous hash of an upstream and a host; the lowest scores are chosen."""
    return xxh64_intdigest(f"{upstream}\0{host}".encode())


@lru_cache(maxsize=HOST_CHOICE_CACHE_SIZE)
def _choose_host_ids(
    upstream: UpstreamName, count: int, hosts: tuple[HostId, ...]
) -> frozenset[HostId]:
    """Return the hosts with the lowest scores. Cached, since hosts change rarely."""
    return frozenset(sorted(hosts, key=lambda host: _compute_score(upstream, host))[:count])


def _choose_hosts(
    upstream: SharedUpstream, hosts: dict[HostId, HostDemand], host_ids: tuple[HostId, ...]
) -> list[HostDemand]:
    """Return the hosts that share an upstream. Few change when a host joins or leaves."""
    min_hosts = min(upstream.slots, MIN_HOSTS_PER_UPSTREAM)
    count = min(len(hosts), max(min_hosts, upstream.slots // SLOTS_PER_HOST))
    return [hosts[name] for name in sorted(_choose_host_ids(upstream.name, count, host_ids))]


def _split_slots(upstream: SharedUpstream, hosts: list[HostDemand]) -> dict[HostId, int]:
    """Give each host one slot and split the rest by weight, largest remainders first."""
    spare = upstream.slots - len(hosts)
    weights = _compute_weights(upstream, hosts)
    quotas = {item.host: spare * weights[item.host] for item in hosts}
    split = {host: 1 + int(quota) for host, quota in quotas.items()}
    unassigned = upstream.slots - sum(split.values())
    by_remainder = sorted(
        quotas,
        key=lambda host: (int(quotas[host]) - quotas[host], _compute_score(upstream.name, host)),
    )
    for host in by_remainder[:unassigned]:
        split[host] += 1
    return split


def _compute_weights(upstream: SharedUpstream, hosts: list[HostDemand]) -> dict[HostId, float]:
    """Return the fraction of the spare slots that each host gets; the fractions add up to 1."""
    demands = {
        item.host: sum(item.demand.get(pool, 0.0) for pool in upstream.pools) for item in hosts
    }
    total = sum(demands.values())
    even_weight = 1 / len(hosts)
    if total <= 0:
        return dict.fromkeys(demands, even_weight)
    return {
        host: EVEN_FRACTION * even_weight + (1 - EVEN_FRACTION) * (demand / total)
        for host, demand in demands.items()
    }


def _ensure_slot_in_every_pool(shares: Shares, upstreams: list[SharedUpstream]) -> None:
    """Give each host without a slot in a pool one slot there.

    It is taken from the largest share in the pool, or is an extra slot if that share is one slot.
    """
    pools: dict[PoolName, list[SharedUpstream]] = defaultdict(list)
    for upstream in upstreams:
        for pool in upstream.pools:
            pools[pool].append(upstream)
    for pool in sorted(pools):
        for host in shares:
            if not any(shares[host][upstream.name] for upstream in pools[pool]):
                _assign_one_slot(shares, host, pools[pool])


def _assign_one_slot(shares: Shares, host: HostId, upstreams: list[SharedUpstream]) -> None:
    by_score = sorted(upstreams, key=lambda upstream: _compute_score(upstream.name, host))
    largest = max(by_score, key=lambda upstream: _find_largest_share(shares, upstream.name)[0])
    donor_slots, donor = _find_largest_share(shares, largest.name)
    if donor_slots > 1:
        shares[donor][largest.name] -= 1
        shares[host][largest.name] += 1
    else:
        shares[host][by_score[0].name] += 1


def _find_largest_share(shares: Shares, upstream: UpstreamName) -> tuple[int, HostId]:
    return max((split[upstream], host) for host, split in shares.items())

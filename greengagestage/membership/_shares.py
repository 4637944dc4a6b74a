"""Splits the slots of each upstream over the entry hosts. No I/O.

Every host computes the same table from the same facts. A host with demand gets more slots; each
host gets at least one slot in every pool. The slots given out for an upstream are never more than
it has, but for a pool with fewer slots than hosts: there the last hosts get one slot over.
"""

from collections import defaultdict
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from functools import lru_cache

from xxhash import xxh64_intdigest

from greengagestage.ids import HostId, PoolName, UpstreamName

SLOTS_PER_HOST = 4
"""Slots of one upstream that a host gets before another host is given a part of it."""
MIN_HOSTS_PER_UPSTREAM = 8
EVEN_PART = 0.5
"""Part of the slots that is split evenly, so that a burst finds slots at every host."""

RANKINGS_KEPT = 2048

Shares = dict[HostId, dict[UpstreamName, int]]


@dataclass(frozen=True, slots=True, kw_only=True)
class SharedUpstream:
    """An upstream that takes work."""

    name: UpstreamName
    slots: int
    pools: tuple[PoolName, ...]


@dataclass(frozen=True, slots=True, kw_only=True)
class HostDemand:
    """An entry host and its weighted demand by pool."""

    host: HostId
    demand: Mapping[PoolName, float] = field(default_factory=dict)


def compute_shares(hosts: Iterable[HostDemand], upstreams: Iterable[SharedUpstream]) -> Shares:
    """Return the slots of every host at every upstream, also those that are 0."""
    by_name = {item.host: item for item in sorted(hosts, key=lambda item: item.host)}
    names = tuple(by_name)
    ordered_upstreams = sorted(upstreams, key=lambda item: item.name)
    zeros = {upstream.name: 0 for upstream in ordered_upstreams}
    shares: Shares = {name: dict(zeros) for name in names}
    if not names:
        return shares
    for upstream in ordered_upstreams:
        split = _split_slots(upstream, _choose_hosts(upstream, by_name, names))
        for name, slots in split.items():
            shares[name][upstream.name] = slots
    _serve_every_pool(shares, ordered_upstreams)
    return shares


def _score(upstream: UpstreamName, host: HostId) -> int:
    """Return the rendezvous score of a host at an upstream."""
    return xxh64_intdigest(f"{upstream}\0{host}".encode())


@lru_cache(maxsize=RANKINGS_KEPT)
def _choose_names(
    upstream: UpstreamName, number: int, hosts: tuple[HostId, ...]
) -> frozenset[HostId]:
    """Return the hosts with the lowest scores; kept, since hosts change seldom."""
    return frozenset(sorted(hosts, key=lambda host: _score(upstream, host))[:number])


def _choose_hosts(
    upstream: SharedUpstream, hosts: dict[HostId, HostDemand], names: tuple[HostId, ...]
) -> list[HostDemand]:
    """Return the hosts that share an upstream. Few change when a host comes or goes."""
    least = min(upstream.slots, MIN_HOSTS_PER_UPSTREAM)
    number = min(len(hosts), max(least, upstream.slots // SLOTS_PER_HOST))
    return [hosts[name] for name in sorted(_choose_names(upstream.name, number, names))]


def _split_slots(upstream: SharedUpstream, hosts: list[HostDemand]) -> dict[HostId, int]:
    """Give each host one slot and split the rest by weight, largest remainders first."""
    spare = upstream.slots - len(hosts)
    weights = _weigh_hosts(upstream, hosts)
    parts = {item.host: spare * weights[item.host] for item in hosts}
    split = {host: 1 + int(part) for host, part in parts.items()}
    left = upstream.slots - sum(split.values())
    by_remainder = sorted(
        parts, key=lambda host: (int(parts[host]) - parts[host], _score(upstream.name, host))
    )
    for host in by_remainder[:left]:
        split[host] += 1
    return split


def _weigh_hosts(upstream: SharedUpstream, hosts: list[HostDemand]) -> dict[HostId, float]:
    """Return each host's part of the spare slots; the parts add up to 1."""
    demands = {
        item.host: sum(item.demand.get(pool, 0.0) for pool in upstream.pools) for item in hosts
    }
    total = sum(demands.values())
    even = 1 / len(hosts)
    if total <= 0:
        return dict.fromkeys(demands, even)
    return {
        host: EVEN_PART * even + (1 - EVEN_PART) * demand / total
        for host, demand in demands.items()
    }


def _serve_every_pool(shares: Shares, upstreams: list[SharedUpstream]) -> None:
    """See to it that each host has a slot in each pool, taken from the host with the most."""
    pools: dict[PoolName, list[SharedUpstream]] = defaultdict(list)
    for upstream in upstreams:
        for pool in upstream.pools:
            pools[pool].append(upstream)
    for pool in sorted(pools):
        for host in shares:
            if not any(shares[host][upstream.name] for upstream in pools[pool]):
                _give_one_slot(shares, host, pools[pool])


def _give_one_slot(shares: Shares, host: HostId, upstreams: list[SharedUpstream]) -> None:
    by_score = sorted(upstreams, key=lambda upstream: _score(upstream.name, host))
    richest = max(by_score, key=lambda upstream: _find_most(shares, upstream.name)[0])
    most, giver = _find_most(shares, richest.name)
    if most > 1:
        shares[giver][richest.name] -= 1
        shares[host][richest.name] += 1
    else:
        shares[host][by_score[0].name] += 1


def _find_most(shares: Shares, upstream: UpstreamName) -> tuple[int, HostId]:
    return max((split[upstream], host) for host, split in shares.items())

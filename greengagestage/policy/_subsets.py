"""Selection of the subset of a pool's upstreams that one host uses.

Every host ranks a pool's upstreams by rendezvous hashing and uses the first ones. Each host thus
needs few connections while each upstream is used by many hosts, even after hosts or upstreams
leave.
"""

import math
from collections.abc import Sequence

import xxhash

from greengagestage.ids import HostId, UpstreamName

MINIMUM_SUBSET = 16
HOSTS_PER_UPSTREAM = 24


def rank_upstreams(host: HostId, upstreams: Sequence[UpstreamName]) -> list[UpstreamName]:
    """Return upstreams in a host's order of preference."""
    seed = xxhash.xxh64_intdigest(host.encode())
    return sorted(upstreams, key=lambda name: (xxhash.xxh64_intdigest(name.encode(), seed), name))


def compute_subset_size(upstreams: int, entry_hosts: int) -> int:
    """Return how many of a pool's upstreams a host uses."""
    covering_size = math.ceil(HOSTS_PER_UPSTREAM * upstreams / max(entry_hosts, 1))
    return min(upstreams, max(MINIMUM_SUBSET, covering_size))


def choose_subset(
    host: HostId, upstreams: Sequence[UpstreamName], entry_hosts: int
) -> list[UpstreamName]:
    """Return the upstreams of a pool that a host uses."""
    size = compute_subset_size(len(upstreams), entry_hosts)
    return rank_upstreams(host, upstreams)[:size]

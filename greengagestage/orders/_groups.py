"""Groups of upstreams under one lease each, and the hosts that may hold it."""

from collections.abc import Collection

import xxhash

from greengagestage.ids import HostId, UpstreamName

UPSTREAMS_PER_GROUP = 16
CANDIDATES = 3


def count_lease_groups(upstreams: int) -> int:
    """Return the number of groups for so many upstreams."""
    return max(1, -(-upstreams // UPSTREAMS_PER_GROUP))


def name_group(upstream: UpstreamName, groups: int) -> str:
    """Return the lease of an upstream's group."""
    return f"orders-{xxhash.xxh64_intdigest(upstream.encode()) % groups}"


def divide_upstreams(upstreams: Collection[UpstreamName]) -> dict[str, tuple[UpstreamName, ...]]:
    """Return the upstreams of each lease."""
    groups = count_lease_groups(len(upstreams))
    divided: dict[str, list[UpstreamName]] = {}
    for upstream in sorted(upstreams):
        divided.setdefault(name_group(upstream, groups), []).append(upstream)
    return {name: tuple(members) for name, members in divided.items()}


def choose_candidates(lease: str, hosts: Collection[HostId]) -> tuple[HostId, ...]:
    """Return the few hosts that watch a lease, the same on every host."""
    ranked = sorted(hosts, key=lambda host: xxhash.xxh64_intdigest(f"{lease}/{host}".encode()))
    return tuple(ranked[:CANDIDATES])

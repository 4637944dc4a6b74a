"""Divides upstreams into groups with one lease each, and chooses the hosts that may hold it."""

from collections.abc import Collection

import xxhash

from greengagestage.ids import HostId, UpstreamName

TARGET_UPSTREAMS_PER_GROUP = 16
"""Limit of the average group size. Groups are formed by hash, so one group may be larger."""
CANDIDATES_PER_LEASE = 3


def count_lease_groups(upstreams: int) -> int:
    """Return the number of groups for a number of upstreams."""
    return max(1, -(-upstreams // TARGET_UPSTREAMS_PER_GROUP))


def compute_lease_name(upstream: UpstreamName, groups: int) -> str:
    """Return the name of the lease of an upstream's group."""
    return f"orders-{xxhash.xxh64_intdigest(upstream.encode()) % groups}"


def group_upstreams(upstreams: Collection[UpstreamName]) -> dict[str, tuple[UpstreamName, ...]]:
    """Return the upstreams of each lease."""
    groups = count_lease_groups(len(upstreams))
    grouped: dict[str, list[UpstreamName]] = {}
    for upstream in sorted(upstreams):
        grouped.setdefault(compute_lease_name(upstream, groups), []).append(upstream)
    return {name: tuple(members) for name, members in grouped.items()}


def choose_candidates(lease: str, hosts: Collection[HostId]) -> tuple[HostId, ...]:
    """Return the few hosts that watch a lease; every host computes the same ones."""
    ranked = sorted(hosts, key=lambda host: xxhash.xxh64_intdigest(f"{lease}/{host}".encode()))
    return tuple(ranked[:CANDIDATES_PER_LEASE])

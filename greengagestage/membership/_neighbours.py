"""Chooses the gossip neighbours of a host; their number does not depend on the fleet's size."""

from collections.abc import Iterable

from xxhash import xxh64_intdigest

from greengagestage.ids import HostId
from greengagestage.wire import HostRecord

RING_SUCCESSORS = 2
RENDEZVOUS_NEIGHBOURS = 2
OTHER_DOMAIN_NEIGHBOURS = 1


def choose_neighbours(own: HostRecord, others: Iterable[HostRecord]) -> list[HostRecord]:
    """Return the neighbours to which a host sends its gossip.

    The successors on a hash ring of host names keep the fleet connected. One host of another
    failure domain and some other hosts, all chosen by rendezvous hashing, keep the paths short: an
    update reaches all of ``n`` hosts in about ``log n`` steps. Few neighbours change when a host
    joins or leaves.
    """
    candidates = [record for record in others if record.host != own.host]
    chosen = _list_successors(own, candidates)[:RING_SUCCESSORS]
    other_domain = [r for r in candidates if r.failure_domain != own.failure_domain]
    chosen += _choose_by_rendezvous(own, other_domain, chosen, OTHER_DOMAIN_NEIGHBOURS)
    chosen += _choose_by_rendezvous(own, candidates, chosen, RENDEZVOUS_NEIGHBOURS)
    return chosen


def _compute_ring_position(host: HostId) -> int:
    return xxh64_intdigest(host.encode())


def _list_successors(own: HostRecord, candidates: list[HostRecord]) -> list[HostRecord]:
    start = _compute_ring_position(own.host)
    return sorted(
        candidates, key=lambda record: (_compute_ring_position(record.host) - start) % 2**64
    )


def _choose_by_rendezvous(
    own: HostRecord, candidates: list[HostRecord], chosen: list[HostRecord], count: int
) -> list[HostRecord]:
    taken = {record.host for record in chosen}
    remaining = [record for record in candidates if record.host not in taken]
    return sorted(
        remaining, key=lambda record: xxh64_intdigest(f"{own.host}\0{record.host}".encode())
    )[:count]

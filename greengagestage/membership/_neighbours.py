"""Chooses the neighbours of a host: few, whatever the size of the fleet."""

from collections.abc import Iterable

from xxhash import xxh64_intdigest

from greengagestage.ids import HostId
from greengagestage.wire import HostRecord

RING_SUCCESSORS = 2
DISTANT_NEIGHBOURS = 2
OTHER_DOMAIN_NEIGHBOURS = 1


def choose_neighbours(own: HostRecord, others: Iterable[HostRecord]) -> list[HostRecord]:
    """Return the neighbours that a host writes to.

    The successors on a ring of hashed names keep the fleet connected. One host of another failure
    domain and some distant ones, chosen by rendezvous hashing, keep the ways short: news reaches
    all of ``n`` hosts in about ``log n`` steps. Few neighbours change when a host comes or goes.
    """
    candidates = [record for record in others if record.host != own.host]
    chosen = _list_successors(own, candidates)[:RING_SUCCESSORS]
    foreign = [r for r in candidates if r.failure_domain != own.failure_domain]
    chosen += _pick_distant(own, foreign, chosen, OTHER_DOMAIN_NEIGHBOURS)
    chosen += _pick_distant(own, candidates, chosen, DISTANT_NEIGHBOURS)
    return chosen


def _find_place(host: HostId) -> int:
    return xxh64_intdigest(host.encode())


def _list_successors(own: HostRecord, candidates: list[HostRecord]) -> list[HostRecord]:
    start = _find_place(own.host)
    return sorted(candidates, key=lambda record: (_find_place(record.host) - start) % 2**64)


def _pick_distant(
    own: HostRecord, candidates: list[HostRecord], chosen: list[HostRecord], number: int
) -> list[HostRecord]:
    taken = {record.host for record in chosen}
    free = [record for record in candidates if record.host not in taken]
    return sorted(free, key=lambda record: xxh64_intdigest(f"{own.host}\0{record.host}".encode()))[
        :number
    ]

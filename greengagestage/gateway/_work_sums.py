"""Sums and differences of hosts' work."""

from collections.abc import Callable, Iterable
from operator import add, sub

from greengagestage.ids import ServiceName

from ._peer_messages import DemandEntry, LoadEntry, Work

MAX_ENTRIES = 75
"""Upstreams named in a datagram: entries take up to 17 bytes, beside 100 of the rest."""

_Counts = tuple[int, ...]


def add_work(parts: Iterable[Work]) -> Work:
    """Return the sum of several hosts' work."""
    loads: dict[int, _Counts] = {}
    demands: dict[ServiceName, _Counts] = {}
    for part in parts:
        _merge(loads, demands, part, add)
    return _build_work(loads, demands)


def subtract_work(total: Work, part: Work) -> Work:
    """Return a sum without one of its parts."""
    loads = {entry.upstream: _count_load(entry) for entry in total.loads}
    demands = {entry.service: _count_demand(entry) for entry in total.demands}
    _merge(loads, demands, part, sub)
    return _build_work(loads, demands)


def _merge(
    loads: dict[int, _Counts],
    demands: dict[ServiceName, _Counts],
    part: Work,
    combine: Callable[[int, int], int],
) -> None:
    for load in part.loads:
        known = loads.get(load.upstream, (0,) * 6)
        loads[load.upstream] = tuple(map(combine, known, _count_load(load)))
    for demand in part.demands:
        known = demands.get(demand.service, (0, 0))
        demands[demand.service] = tuple(map(combine, known, _count_demand(demand)))


def _build_work(loads: dict[int, _Counts], demands: dict[ServiceName, _Counts]) -> Work:
    """Return work without empty entries; nothing is below 0 where a part was not in the sum."""
    entries = [
        LoadEntry(upstream, *(max(count, 0) for count in counts))
        for upstream, counts in loads.items()
        if any(count > 0 for count in counts)
    ]
    entries.sort(key=lambda entry: (-entry.prefill_ms, entry.upstream))
    return Work(
        entries[:MAX_ENTRIES],
        [
            DemandEntry(service, *(max(count, 0) for count in counts))
            for service, counts in demands.items()
            if any(count > 0 for count in counts)
        ],
    )


def _count_load(entry: LoadEntry) -> _Counts:
    return (
        entry.prefill_ms,
        entry.sensitive,
        entry.tolerant,
        entry.kilotokens,
        entry.gap_weight_ms,
        entry.stalled,
    )


def _count_demand(entry: DemandEntry) -> _Counts:
    return (entry.sensitive_ms, entry.tolerant_ms)

"""Addition and subtraction of the load and demand that hosts report."""

from collections.abc import Callable, Iterable
from operator import add, sub

from greengagestage.ids import ServiceName

from ._peer_messages import DemandEntry, LoadEntry, Work

MAX_LOAD_ENTRIES = 75
"""Maximum number of upstreams in a datagram: each takes up to 17 bytes, and the rest 100 bytes."""

_Counts = tuple[int, ...]


def add_work(parts: Iterable[Work]) -> Work:
    """Return the sum of several hosts' load and demand."""
    loads: dict[int, _Counts] = {}
    demands: dict[ServiceName, _Counts] = {}
    for part in parts:
        _combine_counts(loads, demands, part, add)
    return _build_work(loads, demands)


def subtract_work(total: Work, part: Work) -> Work:
    """Return a sum without one of the reports that it includes."""
    loads = {entry.upstream: _list_load_counts(entry) for entry in total.loads}
    demands = {entry.service: _list_demand_counts(entry) for entry in total.demands}
    _combine_counts(loads, demands, part, sub)
    return _build_work(loads, demands)


def _combine_counts(
    loads: dict[int, _Counts],
    demands: dict[ServiceName, _Counts],
    part: Work,
    combine: Callable[[int, int], int],
) -> None:
    for load in part.loads:
        counts = loads.get(load.upstream, (0,) * 6)
        loads[load.upstream] = tuple(map(combine, counts, _list_load_counts(load)))
    for demand in part.demands:
        counts = demands.get(demand.service, (0, 0))
        demands[demand.service] = tuple(map(combine, counts, _list_demand_counts(demand)))


def _build_work(loads: dict[int, _Counts], demands: dict[ServiceName, _Counts]) -> Work:
    """Return work without empty entries.

    Counts below 0, which arise if a subtracted part was not in the sum, become 0. Upstreams beyond
    the entry limit are left out, those with the least prefill time first.
    """
    entries = [
        LoadEntry(upstream, *(max(count, 0) for count in counts))
        for upstream, counts in loads.items()
        if any(count > 0 for count in counts)
    ]
    entries.sort(key=lambda entry: (-entry.prefill_ms, entry.upstream))
    return Work(
        entries[:MAX_LOAD_ENTRIES],
        [
            DemandEntry(service, *(max(count, 0) for count in counts))
            for service, counts in demands.items()
            if any(count > 0 for count in counts)
        ],
    )


def _list_load_counts(entry: LoadEntry) -> _Counts:
    return (
        entry.prefill_ms,
        entry.sensitive,
        entry.tolerant,
        entry.kilotokens,
        entry.gap_weight_ms,
        entry.stalled,
    )


def _list_demand_counts(entry: DemandEntry) -> _Counts:
    return (entry.sensitive_ms, entry.tolerant_ms)

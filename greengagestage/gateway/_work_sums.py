"""Addition and subtraction of the load and demand that hosts report."""

from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from itertools import starmap, zip_longest
from operator import add, sub

from msgspec.structs import astuple

from greengagestage.ids import ServiceName

from ._peer_messages import DemandEntry, LoadEntry, RouteEntry, Work

MAX_LOAD_ENTRIES = 70
"""Maximum number of upstreams in a datagram: each takes up to 17 bytes, and the rest 200 bytes."""

_Counts = tuple[int, ...]


@dataclass(slots=True, kw_only=True)
class _DemandSum:
    """The demand for one service, with sums by position and by route."""

    work: _Counts = (0, 0)
    prefill: _Counts = ()
    routes: dict[int, _Counts] = field(default_factory=dict)

    def combine(self, entry: DemandEntry, combine: Callable[[int, int], int]) -> None:
        self.work = _combine(self.work, (entry.sensitive_ms, entry.tolerant_ms), combine)
        self.prefill = _combine(self.prefill, tuple(entry.prefill), combine)
        for each in entry.routes:
            counts = self.routes.get(each.route, ())
            self.routes[each.route] = _combine(counts, astuple(each)[1:], combine)

    def build_entry(self, service: ServiceName) -> DemandEntry | None:
        """Return the sum as an entry; None if it is empty."""
        routes = [
            RouteEntry(route, *_limit(counts))
            for route, counts in sorted(self.routes.items())
            if any(_limit(counts))
        ]
        prefill = list(_limit(self.prefill)) if any(_limit(self.prefill)) else []
        if not (any(_limit(self.work)) or routes or prefill):
            return None
        sensitive_ms, tolerant_ms = _limit(self.work)
        return DemandEntry(service, sensitive_ms, tolerant_ms, routes, prefill)


def _combine(one: _Counts, other: _Counts, combine: Callable[[int, int], int]) -> _Counts:
    """Combine counts position by position; missing ones count as 0."""
    return tuple(starmap(combine, zip_longest(one, other, fillvalue=0)))


def _limit(counts: _Counts) -> _Counts:
    """Replace counts below 0, which arise if a subtracted part was not in the sum."""
    return tuple(max(count, 0) for count in counts)


def add_work(parts: Iterable[Work]) -> Work:
    """Return the sum of several hosts' load and demand."""
    loads: dict[int, _Counts] = {}
    demands: dict[ServiceName, _DemandSum] = {}
    for part in parts:
        _combine_counts(loads, demands, part, add)
    return _build_work(loads, demands)


def subtract_work(total: Work, part: Work) -> Work:
    """Return a sum without one of the reports that it includes."""
    loads = {entry.upstream: _list_load_counts(entry) for entry in total.loads}
    demands: dict[ServiceName, _DemandSum] = {}
    _combine_counts({}, demands, Work(demands=total.demands), add)
    _combine_counts(loads, demands, part, sub)
    return _build_work(loads, demands)


def _combine_counts(
    loads: dict[int, _Counts],
    demands: dict[ServiceName, _DemandSum],
    part: Work,
    combine: Callable[[int, int], int],
) -> None:
    for load in part.loads:
        counts = loads.get(load.upstream, ())
        loads[load.upstream] = _combine(counts, _list_load_counts(load), combine)
    for demand in part.demands:
        demands.setdefault(demand.service, _DemandSum()).combine(demand, combine)


def _build_work(loads: dict[int, _Counts], demands: dict[ServiceName, _DemandSum]) -> Work:
    """Return work without empty entries.

    Upstreams beyond the entry limit are left out, those with the least prefill time first.
    """
    entries = [
        LoadEntry(upstream, *_limit(counts))
        for upstream, counts in loads.items()
        if any(count > 0 for count in counts)
    ]
    entries.sort(key=lambda entry: (-entry.prefill_ms, entry.upstream))
    return Work(
        entries[:MAX_LOAD_ENTRIES],
        [
            entry
            for service, demand in demands.items()
            if (entry := demand.build_entry(service)) is not None
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

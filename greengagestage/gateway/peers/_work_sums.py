"""Addition and subtraction of the load and demand that hosts report."""

from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from itertools import starmap, zip_longest
from operator import add, sub

import msgspec
from msgspec.structs import astuple

from greengagestage.ids import ServiceName

from ._peer_messages import DemandEntry, LoadEntry, RouteEntry, UrgencyEntry, Work

MAX_WORK_BYTES = 1_280
"""Size of the load and demand in a datagram."""

MAX_LOADS = 192
"""Maximum number of upstreams in a report and the parts that follow it."""

REQUEST_MS = 100
"""Prefill time in milliseconds that counts as much as a request where loads are compared."""

_Counts = tuple[int, ...]


@dataclass(slots=True, kw_only=True)
class _DemandSum:
    """The demand for one service, with sums by position, by route and by urgency."""

    work: _Counts = (0, 0)
    prefill: _Counts = ()
    routes: dict[int, _Counts] = field(default_factory=dict)
    urgencies: dict[int, _Counts] = field(default_factory=dict)

    def combine(self, entry: DemandEntry, combine: Callable[[int, int], int]) -> None:
        self.work = _combine(self.work, (entry.sensitive_ms, entry.tolerant_ms), combine)
        self.prefill = _combine(self.prefill, tuple(entry.prefill), combine)
        for each in entry.routes:
            counts = self.routes.get(each.route, ())
            self.routes[each.route] = _combine(counts, astuple(each)[1:], combine)
        for requests in entry.urgencies:
            counts = self.urgencies.get(requests.urgency, ())
            self.urgencies[requests.urgency] = _combine(counts, astuple(requests)[1:], combine)

    def build_entry(self, service: ServiceName) -> DemandEntry | None:
        """Return the sum as an entry; None if it is empty."""
        routes = [
            RouteEntry(route, *_limit(counts))
            for route, counts in sorted(self.routes.items())
            if any(_limit(counts))
        ]
        prefill = list(_limit(self.prefill)) if any(_limit(self.prefill)) else []
        urgencies = [
            UrgencyEntry(urgency, *_limit(counts))
            for urgency, counts in sorted(self.urgencies.items())
            if any(_limit(counts))
        ]
        if not (any(_limit(self.work)) or routes or prefill or urgencies):
            return None
        sensitive_ms, tolerant_ms = _limit(self.work)
        return DemandEntry(service, sensitive_ms, tolerant_ms, routes, prefill, urgencies)


def _combine(one: _Counts, other: _Counts, combine: Callable[[int, int], int]) -> _Counts:
    """Combine counts position by position; missing ones count as 0."""
    if len(one) == len(other):
        return tuple(map(combine, one, other))
    return tuple(starmap(combine, zip_longest(one, other, fillvalue=0)))


def _limit(counts: _Counts) -> _Counts:
    """Replace counts below 0, which arise if a subtracted part was not in the sum."""
    if not counts or min(counts) >= 0:
        return counts
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


def split_work(work: Work) -> tuple[Work, list[list[LoadEntry]]]:
    """Split work into what fits into one datagram and the loads for further ones."""
    encoder = msgspec.msgpack.Encoder()
    demand_bytes = len(encoder.encode(work.demands)) if work.demands else 0
    parts: list[list[LoadEntry]] = [[]]
    free_bytes = MAX_WORK_BYTES - demand_bytes
    for entry in work.loads:
        entry_bytes = len(encoder.encode(entry))
        if entry_bytes > free_bytes:
            parts.append([])
            free_bytes = MAX_WORK_BYTES
        parts[-1].append(entry)
        free_bytes -= entry_bytes
    first, further = parts[0], parts[1:]
    return Work(first, work.demands, len(further)) if further else work, further


def count_parts(work: Work) -> int:
    """Return the number of datagrams that a report of work takes."""
    return 1 + len(split_work(work)[1])


def _build_work(loads: dict[int, _Counts], demands: dict[ServiceName, _DemandSum]) -> Work:
    """Return work without empty entries, those of the busiest upstreams first.

    Upstreams beyond ``MAX_LOADS`` are left out.
    """
    demand_entries = [
        entry
        for service, demand in sorted(demands.items())
        if (entry := demand.build_entry(service)) is not None
    ]
    entries = [
        LoadEntry(upstream, *_limit(counts))
        for upstream, counts in loads.items()
        if any(count > 0 for count in counts)
    ]
    entries.sort(key=_order_by_load)
    return Work(entries[:MAX_LOADS], demand_entries)


def _order_by_load(entry: LoadEntry) -> tuple[int, int]:
    requests = entry.sensitive + entry.tolerant
    return -(entry.prefill_ms + REQUEST_MS * requests), entry.upstream


def _list_load_counts(entry: LoadEntry) -> _Counts:
    return (
        entry.prefill_ms,
        entry.sensitive,
        entry.tolerant,
        entry.kilotokens,
        entry.gap_weight_ms,
        entry.stalled,
        entry.tolerant_prefill_cs,
    )

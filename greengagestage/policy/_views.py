"""The subset of each pool's upstreams that this host uses, cached until an upstream changes."""

from dataclasses import dataclass

from greengagestage.ids import HostId, PoolName

from ._subsets import compute_subset_size, rank_upstreams
from ._upstreams import UpstreamEntry, UpstreamTable


@dataclass(frozen=True, slots=True, kw_only=True)
class PoolView:
    """The upstreams of a pool to which this host may send new work.

    Attributes:
        revision: Revision of the upstream table from which the view was built.
        used: This host's subset of the live upstreams.
        live: All upstreams of the pool that accept new work.
        slots: Slots that this host may fill in its subset.
    """

    revision: int
    used: tuple[UpstreamEntry, ...]
    live: tuple[UpstreamEntry, ...]
    slots: int


class PoolViews:
    """A cache of the views of all pools."""

    def __init__(self, *, host: HostId, upstreams: UpstreamTable) -> None:
        self._host = host
        self._upstreams = upstreams
        self._views: dict[PoolName, PoolView] = {}
        self._ranked: dict[PoolName, tuple[int, list[UpstreamEntry]]] = {}

    def find(self, pool: PoolName) -> PoolView:
        """Return the current view of a pool."""
        view = self._views.get(pool)
        if view is None or view.revision != self._upstreams.revision:
            view = self._views[pool] = self._build(pool)
        return view

    def _build(self, pool: PoolName) -> PoolView:
        ranked = self._rank(pool)
        live = tuple(entry for entry in ranked if entry.takes_work)
        used = tuple(entry for entry in live if entry.assigned_slots)
        if not used:
            size = compute_subset_size(len(ranked), self._upstreams.entry_hosts)
            used = live[:size]
        return PoolView(
            revision=self._upstreams.revision,
            used=used,
            live=live,
            slots=sum(entry.slots for entry in used),
        )

    def _rank(self, pool: PoolName) -> list[UpstreamEntry]:
        known = self._ranked.get(pool)
        if known is None or known[0] != self._upstreams.declared_revision:
            entries = {entry.name: entry for entry in self._upstreams.list_pool(pool)}
            ranked = [entries[name] for name in rank_upstreams(self._host, list(entries))]
            known = self._ranked[pool] = (self._upstreams.declared_revision, ranked)
        return known[1]

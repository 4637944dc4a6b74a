"""All upstreams as known to this host, and the requests that it has in flight at each."""

import math
from collections.abc import Iterable, Iterator, Mapping
from dataclasses import dataclass, field

import xxhash

from greengagestage.configuration import Declaration, Upstream, UpstreamKind
from greengagestage.ids import AttemptId, PoolName, UpstreamName

from ._events import UpstreamReport, UpstreamState
from ._health import Health
from ._prefixes import SentPrefixes
from ._records import RequestRecord

LEAVING_HOLD_S = 30.0
"""How long an upstream's announcement that it is leaving takes precedence over reports that do not
include it yet. Ten times the 3 s within which every host has received the announcement."""
STALL_TIMEOUT_S = 0.75


@dataclass(slots=True, kw_only=True, eq=False)
class UpstreamEntry:
    """An upstream as this host sees it.

    Attributes:
        declared: The declaration of the upstream, None once it is no longer declared.
        hash_seed: Seed of the upstream's rendezvous scores.
        state: State from the newest report, or leaving if the upstream announced it.
        report: The newest report, None before the first one.
        assigned_slots: Slots assigned to this host, None without an assignment.
        slots: Slots that this host may fill.
        in_flight: This host's requests at the upstream, by attempt.
        suspects: How many of them were suspects when they were sent.
        last_response_s: Time of the last response, or of the first attempt since it was idle.
        leaving_announced_s: Time at which the upstream itself announced that it is leaving.
    """

    name: UpstreamName
    hash_seed: int
    declared: Upstream | None = None
    state: UpstreamState = UpstreamState.LIVE
    report: UpstreamReport | None = None
    assigned_slots: int | None = None
    slots: int = 0
    in_flight: dict[AttemptId, RequestRecord] = field(default_factory=dict)
    suspects: int = 0
    last_response_s: float = 0.0
    leaving_announced_s: float | None = None
    health: Health = field(default_factory=Health)
    prefixes: SentPrefixes = field(default_factory=SentPrefixes)

    @property
    def takes_work(self) -> bool:
        """Whether new work may go to the upstream."""
        if self.declared is None or self.declared.draining:
            return False
        return self.state is UpstreamState.LIVE

    def is_stalled(self, now_s: float) -> bool:
        """Return whether an engine with requests of this host is silent past the stall timeout."""
        return (
            bool(self.in_flight)
            and self.supports_resume
            and now_s - self.last_response_s > STALL_TIMEOUT_S
        )

    @property
    def supports_resume(self) -> bool:
        """Whether an interrupted answer can be resumed at another upstream."""
        return self.declared is not None and self.declared.kind is UpstreamKind.ENGINE

    def compute_slots(self, entry_hosts: int) -> int:
        """Return the number of slots that this host may fill."""
        if self.declared is None:
            return 0
        if self.assigned_slots is not None:
            return min(self.assigned_slots, self.declared.slots)
        return math.ceil(self.declared.slots / max(entry_hosts, 1))

    def note_leaving(self, now_s: float) -> None:
        """Record the upstream's announcement that it is leaving."""
        self.state = UpstreamState.LEAVING
        self.leaving_announced_s = now_s

    def apply_report(self, report: UpstreamReport) -> None:
        """Apply a report, but let a leaving announcement take precedence over live reports.

        The precedence ends for reports measured ``LEAVING_HOLD_S`` after the announcement. It also
        ends with a report that the upstream is leaving or gone: its sender knows of the
        announcement, so its later reports may set the state to live again.
        """
        self.report = report
        if self.leaving_announced_s is not None:
            is_live = report.state is UpstreamState.LIVE
            if is_live and report.measured_at_s < self.leaving_announced_s + LEAVING_HOLD_S:
                return
            self.leaving_announced_s = None
        self.state = report.state


def list_responsive(used: Iterable[UpstreamEntry], now_s: float) -> list[UpstreamEntry]:
    """Return the upstreams that have not stalled, or all of them if every one has."""
    entries = list(used)
    return [entry for entry in entries if not entry.is_stalled(now_s)] or entries


def list_pools(upstream: Upstream) -> tuple[PoolName, ...]:
    """Return the pools that an upstream belongs to."""
    if upstream.kind is UpstreamKind.SERVICE:
        return (PoolName(upstream.service),) if upstream.service else ()
    return tuple(PoolName(model) for model in upstream.models)


class UpstreamTable:
    """All upstreams and the pools that they belong to.

    Attributes:
        revision: Incremented when any upstream changes.
        declared_revision: Incremented when a declaration is adopted.
    """

    def __init__(self) -> None:
        self.entry_hosts = 1
        self.revision = 0
        self.declared_revision = 0
        self._entries: dict[UpstreamName, UpstreamEntry] = {}
        self._pools: dict[PoolName, list[UpstreamEntry]] = {}

    def __iter__(self) -> Iterator[UpstreamEntry]:
        return iter(self._entries.values())

    def find(self, name: UpstreamName) -> UpstreamEntry | None:
        """Return an upstream, or None if it is unknown."""
        return self._entries.get(name)

    def list_pool(self, pool: PoolName) -> list[UpstreamEntry]:
        """Return the declared upstreams of a pool."""
        return self._pools.get(pool, [])

    def list_pool_names(self) -> list[PoolName]:
        """Return the names of all pools."""
        return list(self._pools)

    def list_pools_of(self, entry: UpstreamEntry) -> tuple[PoolName, ...]:
        """Return the pools that an upstream serves, none if it is no longer declared."""
        return list_pools(entry.declared) if entry.declared is not None else ()

    def adopt(self, declaration: Declaration) -> None:
        """Apply the declared upstreams; attempts in flight continue at their upstreams."""
        for entry in self._entries.values():
            entry.declared = None
        self._pools = {}
        for declared in declaration.upstreams:
            entry = self._entries.setdefault(declared.name, _build_entry(declared.name))
            entry.declared = declared
            for pool in list_pools(declared):
                self._pools.setdefault(pool, []).append(entry)
        self._remove_unused()
        self.declared_revision += 1
        self._update_slots()

    def apply_reports(self, reports: tuple[UpstreamReport, ...]) -> None:
        """Apply reports, except those for unknown upstreams."""
        for report in reports:
            entry = self._entries.get(report.upstream)
            if entry is not None:
                entry.apply_report(report)
        self.revision += 1

    def apply_shares(self, slots: Mapping[UpstreamName, int], entry_hosts: int) -> None:
        """Apply the slots assigned to this host for each upstream."""
        self.entry_hosts = max(entry_hosts, 1)
        for entry in self._entries.values():
            entry.assigned_slots = slots.get(entry.name)
        self._update_slots()

    def _update_slots(self) -> None:
        self.revision += 1
        for entry in self._entries.values():
            entry.slots = entry.compute_slots(self.entry_hosts)

    def _remove_unused(self) -> None:
        for entry in list(self._entries.values()):
            if entry.declared is None and not entry.in_flight:
                del self._entries[entry.name]


def _build_entry(name: UpstreamName) -> UpstreamEntry:
    return UpstreamEntry(name=name, hash_seed=xxhash.xxh64_intdigest(name.encode()))

"""What this host knows of every upstream, and what it has in flight there."""

import math
from collections.abc import Iterable, Iterator, Mapping
from dataclasses import dataclass, field

import xxhash

from greengagestage.configuration import Declaration, Upstream, UpstreamKind
from greengagestage.ids import AttemptId, PoolName, UpstreamName

from ._events import UpstreamReport, UpstreamState
from ._health import Health
from ._prefixes import PrefixMemory
from ._records import RequestRecord

LEAVING_HOLD_S = 30.0
"""How long an upstream's own word outweighs reports that do not know of it yet: ten times the
3 s in which every host has heard it."""
STALL_S = 0.75


@dataclass(slots=True, kw_only=True, eq=False)
class UpstreamEntry:
    """An upstream as this host sees it.

    Attributes:
        declared: The declaration of the upstream, None once it is no longer declared.
        hash_seed: Seed of the upstream's rendezvous scores.
        share: Slots that this host may fill as computed for it, None without such a share.
        slots: Slots that this host may fill.
        in_flight: The requests that this host has there, by attempt.
        suspects: How many of them were present at a crash before.
        heard_s: Time at which the upstream last answered, or was idle.
        said_leaving_s: Time at which the upstream itself said that it is leaving.
    """

    name: UpstreamName
    hash_seed: int
    declared: Upstream | None = None
    state: UpstreamState = UpstreamState.LIVE
    report: UpstreamReport | None = None
    share: int | None = None
    slots: int = 0
    in_flight: dict[AttemptId, RequestRecord] = field(default_factory=dict)
    suspects: int = 0
    last_response_s: float = 0.0
    said_leaving_s: float | None = None
    health: Health = field(default_factory=Health)
    prefixes: PrefixMemory = field(default_factory=PrefixMemory)

    @property
    def takes_work(self) -> bool:
        """Whether new work may go to the upstream."""
        if self.declared is None or self.declared.draining:
            return False
        return self.state is UpstreamState.LIVE

    def is_stalled(self, now_s: float) -> bool:
        """Whether an engine has requests of this host and has sent nothing for long."""
        return (
            bool(self.in_flight) and self.supports_resume and now_s - self.last_response_s > STALL_S
        )

    @property
    def supports_resume(self) -> bool:
        """Whether an answer can be cut and continued elsewhere."""
        return self.declared is not None and self.declared.kind is UpstreamKind.ENGINE

    def count_slots(self, entry_hosts: int) -> int:
        """Return the number of slots that this host may fill."""
        if self.declared is None:
            return 0
        if self.share is not None:
            return min(self.share, self.declared.slots)
        return math.ceil(self.declared.slots / max(entry_hosts, 1))

    def say_leaving(self, now_s: float) -> None:
        """Take the upstream's own word that it is leaving."""
        self.state = UpstreamState.LEAVING
        self.said_leaving_s = now_s

    def apply_report(self, report: UpstreamReport) -> None:
        """Take a report over unless the upstream's own word is newer.

        Once a report has said that the upstream leaves, the reporter knows the word, and may take
        it back.
        """
        self.report = report
        if self.said_leaving_s is not None:
            unaware = report.state is UpstreamState.LIVE
            if unaware and report.measured_at_s < self.said_leaving_s + LEAVING_HOLD_S:
                return
            self.said_leaving_s = None
        self.state = report.state


def list_responsive(used: Iterable[UpstreamEntry], now_s: float) -> list[UpstreamEntry]:
    """Return the upstreams that have not stalled, or all where every one has."""
    entries = list(used)
    return [entry for entry in entries if not entry.is_stalled(now_s)] or entries


def list_pools(upstream: Upstream) -> tuple[PoolName, ...]:
    """Return the pools that an upstream belongs to."""
    if upstream.kind is UpstreamKind.SERVICE:
        return (PoolName(upstream.service),) if upstream.service else ()
    return tuple(PoolName(model) for model in upstream.models)


class UpstreamTable:
    """All upstreams and the pools that they form."""

    def __init__(self) -> None:
        self.entry_hosts = 1
        self.revision = 0
        self.declared_revision = 0
        self._entries: dict[UpstreamName, UpstreamEntry] = {}
        self._pools: dict[PoolName, list[UpstreamEntry]] = {}

    def __iter__(self) -> Iterator[UpstreamEntry]:
        return iter(self._entries.values())

    def find(self, name: UpstreamName) -> UpstreamEntry | None:
        """Return an upstream, or None if it was never declared."""
        return self._entries.get(name)

    def list_pool(self, pool: PoolName) -> list[UpstreamEntry]:
        """Return the declared upstreams of a pool."""
        return self._pools.get(pool, [])

    def list_pool_names(self) -> list[PoolName]:
        """Return the names of all pools."""
        return list(self._pools)

    def list_pools_of(self, entry: UpstreamEntry) -> tuple[PoolName, ...]:
        """Return the pools that an upstream serves now."""
        return list_pools(entry.declared) if entry.declared is not None else ()

    def adopt(self, declaration: Declaration) -> None:
        """Take over the declared upstreams; attempts in flight stay where they are."""
        for entry in self._entries.values():
            entry.declared = None
        self._pools = {}
        for declared in declaration.upstreams:
            entry = self._entries.setdefault(declared.name, _create(declared.name))
            entry.declared = declared
            for pool in list_pools(declared):
                self._pools.setdefault(pool, []).append(entry)
        self._forget_unused()
        self.declared_revision += 1
        self._refresh()

    def apply_reports(self, reports: tuple[UpstreamReport, ...]) -> None:
        """Keep the newest report of each upstream."""
        for report in reports:
            entry = self._entries.get(report.upstream)
            if entry is not None:
                entry.apply_report(report)
        self.revision += 1

    def apply_shares(self, slots: Mapping[UpstreamName, int], entry_hosts: int) -> None:
        """Take over the shares of slots computed for this host."""
        self.entry_hosts = max(entry_hosts, 1)
        for entry in self._entries.values():
            entry.share = slots.get(entry.name)
        self._refresh()

    def _refresh(self) -> None:
        self.revision += 1
        for entry in self._entries.values():
            entry.slots = entry.count_slots(self.entry_hosts)

    def _forget_unused(self) -> None:
        for entry in list(self._entries.values()):
            if entry.declared is None and not entry.in_flight:
                del self._entries[entry.name]


def _create(name: UpstreamName) -> UpstreamEntry:
    return UpstreamEntry(name=name, hash_seed=xxhash.xxh64_intdigest(name.encode()))

"""Hosts that keep the table of software versions, with a fake clock and without a network."""

from collections.abc import Iterable
from random import Random
from typing import Any

import msgspec
from twisted.internet.defer import Deferred, succeed
from twisted.internet.task import Clock

from greengagestage.gateway.peers._peer_messages import MAX_DATAGRAM_BYTES, VersionsReport
from greengagestage.gateway.watches._store_clock import read_boot_time_s
from greengagestage.gateway.watches._store_era import StoreEra
from greengagestage.gateway.watches._version_table import VersionTable
from greengagestage.ids import AttemptId, SoftwareVersion
from greengagestage.outcomes import Unavailable
from greengagestage.platform import ClockReading, RowConflict, RowsRead, Transaction
from greengagestage.routing import StreamVersions
from standins._row_tables import RowTables, StoreReply

from .catalog_builders import ENGINES, build_upstream

TABLE = "greengagestage-versions"


class VersionStore:
    """The store's tables on the fake clock.

    Attributes:
        available: Whether calls are answered.
        reads: Number of reads of the table of versions.
        writes: Number of transactions.
    """

    def __init__(self, clock: Clock) -> None:
        self.clock = clock
        self.tables = RowTables(revision=1)
        self.available = True
        self.reads = 0
        self.writes = 0

    @property
    def now_s(self) -> float:
        return 5_000.0 + float(self.clock.seconds())

    def update_clock(self) -> None:
        self.tables.now_ms = round(self.now_s * 1_000)


class VersionRows:
    """A ``RowClient`` of one host."""

    def __init__(self, store: VersionStore, era: StoreEra) -> None:
        self._store = store
        self._era = era

    @property
    def clock(self) -> ClockReading:
        now_s = read_boot_time_s()
        return ClockReading(
            sent_s=now_s, received_s=now_s, store_s=self._store.now_s, era=self._era.number
        )

    def read(self, table: str) -> Deferred[Any]:
        self._store.reads += 1
        if not self._store.available:
            return succeed(Unavailable(reason="test"))
        self._store.update_clock()
        return succeed(self._decode(self._store.tables.read({"Table": table})))

    def transact(self, transaction: Transaction) -> Deferred[Any]:
        self._store.writes += 1
        if not self._store.available:
            return succeed(Unavailable(reason="test"))
        self._store.update_clock()
        return succeed(self._decode(self._store.tables.transact(msgspec.json.encode(transaction))))

    def _decode(self, reply: StoreReply) -> RowsRead | RowConflict:
        era = self._store.tables.era
        self._era.observe(era)
        result_type = RowsRead if reply.status == 200 else RowConflict
        return msgspec.structs.replace(msgspec.json.decode(reply.body, type=result_type), era=era)


class VersionHost:
    """The parts of a host that know the versions of a service."""

    def __init__(self, fleet: "VersionFleet", rank: int, *, first_start: bool) -> None:
        self.fleet = fleet
        self.era = StoreEra()
        self.versions = StreamVersions()
        self.registry_revision = 0
        self.table = VersionTable(
            reactor=fleet.clock,
            rows=VersionRows(fleet.store, self.era),  # type: ignore[arg-type]
            era=self.era,
            versions=self.versions,
            random=Random(rank),
            first_start=first_start,
            list_services=lambda: {ENGINES},
            read_registry_revision=lambda: self.registry_revision,
            get_rank=lambda: rank,
            on_report=lambda report: fleet.deliver(self, report),
        )
        self.watch(fleet.listed)
        self.table.start()

    def watch(self, listed: Iterable[str | None]) -> None:
        """Read the registry."""
        self.registry_revision = self.fleet.store.tables.revision
        self.versions.history.observe(
            [
                build_upstream(
                    number, software_version=None if name is None else SoftwareVersion(name)
                )
                for number, name in enumerate(listed)
            ],
            self.fleet.clock.seconds(),
        )
        self.table.check()

    def find(self, stream: str = "a1") -> str | None:
        """Return the version at which this host would continue a stream; None if it refuses."""
        now_s = self.fleet.clock.seconds()
        origin = self.versions.find_origin(
            AttemptId(stream), ENGINES, is_confirmed=True, now_s=now_s
        )
        return None if origin is None else origin.software_version


class VersionFleet:
    """Several hosts, the store, and what the registry lists.

    Attributes:
        loses_reports: Whether datagrams between hosts are lost.
        reports: Reports that were sent.
    """

    def __init__(self, *listed: str | None) -> None:
        self.clock = Clock()
        self.clock.advance(1_000.0)
        self.store = VersionStore(self.clock)
        self.listed: tuple[str | None, ...] = listed
        self.hosts: list[VersionHost] = []
        self.loses_reports = False
        self.reports: list[VersionsReport] = []

    def start(self, hosts: int = 1, *, first_start: bool = False) -> list[VersionHost]:
        """Start hosts beside those that run."""
        started = [
            VersionHost(self, len(self.hosts) + number, first_start=first_start)
            for number in range(hosts)
        ]
        self.hosts += started
        return started

    def kill_all(self) -> None:
        for host in self.hosts:
            host.table.stop()
        self.hosts.clear()

    def list(self, *listed: str | None) -> None:
        """Change the versions in the registry, which all hosts read within 50 ms."""
        self.listed = listed
        self.store.tables.put("servers", "changed", b"")
        for number, host in enumerate(self.hosts):
            self.clock.callLater(0.05 * number / len(self.hosts), host.watch, listed)

    def run(self, duration_s: float) -> None:
        for _ in range(round(duration_s / 0.05)):
            self.clock.advance(0.05)
            if round(self.clock.seconds() / 0.05) % 15 == 0:
                for host in self.hosts:
                    host.registry_revision = max(host.registry_revision, self.store.tables.revision)

    def deliver(self, sender: VersionHost, report: VersionsReport) -> None:
        data = msgspec.msgpack.encode(report)
        assert len(data) <= MAX_DATAGRAM_BYTES
        self.reports.append(report)
        if self.loses_reports:
            return
        for host in self.hosts:
            if host is not sender:
                host.table.receive_report(msgspec.msgpack.decode(data, type=VersionsReport))

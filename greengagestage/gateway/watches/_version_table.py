"""The software versions of each service in the store, for hosts that start.

A host that starts reads the table once. From it and the registry it knows the versions at which a
stream that is taken up may have begun. A row is written when the listed versions of its service
change.
"""

from collections.abc import Callable, Collection
from dataclasses import dataclass
from random import Random
from typing import Any

from eliot import log_message
from twisted.internet.defer import Deferred, inlineCallbacks

from greengagestage.ids import ServiceName, SoftwareVersion
from greengagestage.outcomes import Unavailable
from greengagestage.platform import (
    VERSION_TABLE,
    ClockReading,
    RowClient,
    RowConflict,
    RowExpectation,
    RowsRead,
    StoredRow,
    Transaction,
    build_put,
)
from greengagestage.routing import StreamVersions, VersionRecord

from .._loops import RepeatingTask, add_jitter
from ..peers import VersionsReport
from ._confirmations import Confirmations
from ._store_clock import read_boot_time_s
from ._store_era import StoreEra
from ._version_rows import build_report, decode_row, encode_row, read_report

CHECK_INTERVAL_S = 0.5
"""Time between two comparisons of the rows with the registry. A change of the registry triggers one
at once."""

REGISTRY_WAIT_S = 0.02
"""Pause until the registry has been read: only then does the table close the gap before it."""

START_DELAY_S = 0.5
START_SPREAD_S = 1.0
"""Time after the start of a host, with a random part, in which it writes no row. Hosts that start
together do not know their ranks yet."""

RANK_DELAY_S = 0.2
RANKED_WRITERS = 3
UNRANKED_SPREAD_S = 0.8
"""A host writes a change after a delay that grows with its rank, so that usually the host that read
it in the registry writes and reports to the others. Hosts beyond the first ranks wait for all of
these, and then for a random time up to the spread. The largest delay stays below the time for which
a new version settles."""

MAX_CLOCK_AGE_S = 30.0
"""An older reading of the store's clock is replaced by a read of the table before a write."""

MIN_EARLIER_S = 3.0
"""A row is also written again if this host's history reaches back further by more than this."""

MAX_ROWS_PER_WRITE = 40
"""Maximum number of rows in a transaction, each of which counts as expected and as written."""

RETRY_S = 0.3
"""Pause after a failed call, with a jitter of 50%."""


@dataclass(frozen=True, slots=True, kw_only=True)
class _KnownRow:
    """A row of the current era; ``record`` is None if it is unreadable or of an older era."""

    revision: int
    record: VersionRecord | None


class VersionTable:
    """Keeps the table of versions and passes what it shows to this host's ``StreamVersions``.

    Args:
        first_start: Whether the settings state that the whole system starts for the first time.
        list_services: Returns the services with resumable streams; others have no rows.
        read_registry_revision: Returns the store's revision of this host's copy of the registry;
            None before the first read.
        get_rank: Returns this host's position among all hosts.
        on_report: Handles the report of a written row, to be sent to the other hosts.
    """

    def __init__(
        self,
        *,
        reactor: Any,
        rows: RowClient,
        era: StoreEra,
        versions: StreamVersions,
        random: Random,
        first_start: bool,
        list_services: Callable[[], Collection[ServiceName]],
        read_registry_revision: Callable[[], int | None],
        get_rank: Callable[[], int],
        on_report: Callable[[VersionsReport], None],
    ) -> None:
        self._reactor = reactor
        self._rows = rows
        self._era = era
        self._versions = versions
        self._random = random
        self._first_start = first_start
        self._list_services = list_services
        self._read_registry_revision = read_registry_revision
        self._get_rank = get_rank
        self._on_report = on_report
        self._task = RepeatingTask(reactor=reactor, name="versions", step=self._step)
        self._was_read = False  # since the start, or the last gap in this host's observation
        self._gaps = 0
        self._confirmations = Confirmations(reactor=reactor)
        self._is_current = False  # False: the revisions of the rows are not known
        self._known: dict[ServiceName, _KnownRow] = {}
        self._due_s: dict[ServiceName, float] = {}
        self._write_after_s = 0.0
        self._writes = 0
        versions.requires_record = True
        era.add_listener(self._begin_era)

    def start(self) -> None:
        """Read the table and start comparing it with the registry."""
        spread_s = START_SPREAD_S * self._random.random()
        self._write_after_s = self._reactor.seconds() + START_DELAY_S + spread_s
        self._task.start()

    def stop(self) -> None:
        """Stop reading and writing."""
        self._task.stop()

    @property
    def writes(self) -> int:
        """Number of rows that this host has written."""
        return self._writes

    def check(self) -> None:
        """Compare the rows with the registry now, since it has changed."""
        self._task.run_within(0.0)

    def confirm(self, service: ServiceName) -> Deferred[bool]:
        """Read the table now; the result is whether that shows a service's row of this era.

        The row contains each version at which a stream began, also one that was listed and removed
        between two reads of the registry.
        """
        self._task.run_within(0.0)
        read = self._confirmations.wait()
        return read.addCallback(lambda was_read: was_read and self._has_record(service))

    def _has_record(self, service: ServiceName) -> bool:
        row = self._known.get(service)
        return row is not None and row.record is not None

    def handle_gap(self) -> None:
        """Read the table again: versions may have come and gone that this host did not see."""
        self._versions.history.restart(self._reactor.seconds())
        self._gaps += 1
        self._was_read = self._is_current = False
        self._task.run_within(0.0)

    def receive_report(self, report: VersionsReport) -> None:
        """Learn a row that another host has written.

        A report that was sent before the end of a gap does not cover it, so that reports are
        ignored until the table has been read.
        """
        self._era.observe(report.era)
        if not self._was_read:
            return
        known = self._known.get(report.service)
        if not self._era.is_current(report.era) or (
            known is not None and known.revision >= report.revision
        ):
            return
        record = read_report(report, now_s=self._reactor.seconds())
        self._learn(report.service, report.revision, record, settled=False)

    def _begin_era(self) -> None:
        """Forget the rows: the store may have lost them, and gives out their revisions again."""
        self._is_current = False
        self._known.clear()
        self._due_s.clear()

    @inlineCallbacks
    def _step(self) -> Any:
        if self._read_registry_revision() is None:
            return REGISTRY_WAIT_S
        self._versions.history.begin(self._reactor.seconds())
        waiters = self._confirmations.take()
        if waiters or not self._was_read:
            was_read = False
            try:
                was_read = yield self._read()
            finally:
                for waiter in waiters:
                    waiter.callback(was_read)
            if not was_read:
                return add_jitter(RETRY_S, self._random)
        due = self._list_due(self._reactor.seconds())
        if not due:
            return self._compute_pause_s()
        if not self._is_current or self._find_clock() is None:
            if not (yield self._read()):
                return add_jitter(RETRY_S, self._random)
            due = self._list_due(self._reactor.seconds())
        if due:
            written = yield self._write(due[:MAX_ROWS_PER_WRITE])
            return 0.0 if written else add_jitter(RETRY_S, self._random)
        return self._compute_pause_s()

    def _compute_pause_s(self) -> float:
        now_s: float = self._reactor.seconds()
        if self._confirmations:
            return 0.0
        next_s = min(self._due_s.values(), default=now_s + CHECK_INTERVAL_S)
        return min(max(next_s - now_s, 0.01), CHECK_INTERVAL_S)

    # Reads.

    @inlineCallbacks
    def _read(self) -> Any:
        """Read the table; return whether that succeeded in the current era and without a gap."""
        gaps = self._gaps
        read = yield self._rows.read(VERSION_TABLE)
        if gaps != self._gaps:
            return False
        if not isinstance(read, RowsRead) or not self._era.is_current(read.era):
            reason = read.reason if isinstance(read, Unavailable) else "history lost or older era"
            log_message(message_type="versions: not read", reason=reason)
            if not self._versions.record_was_read:
                self._versions.requires_record = False  # a record may not come for long
            return False
        self._versions.requires_record = True
        self._versions.record_was_read = True
        is_first = not self._was_read and self._gaps == 0
        self._was_read = self._is_current = True
        if is_first and self._first_start and not read.rows:
            self._versions.history.assume_first_start()
        self._adopt(read.rows, read.store_clock_ms / 1_000, settled=is_first)
        now_s = self._reactor.seconds()
        history = self._versions.history
        log_message(
            message_type="versions: read",
            rows=len(read.rows),
            unknown=sum(row.record is None for row in self._known.values()),
            complete=history.is_all_complete(now_s),
        )
        return True

    def _adopt(self, rows: Collection[StoredRow], store_s: float, *, settled: bool) -> None:
        """Learn rows of the current era, at a lower bound of the store's clock."""
        now_s = self._reactor.seconds()
        for row in rows:
            service = ServiceName(row.key)
            record = decode_row(row.value, era=self._era.number, now_s=now_s, store_s=store_s)
            if record is None:
                log_message(message_type="versions: row of no use", service=service)
                self._known[service] = _KnownRow(revision=row.revision, record=None)
            else:
                self._learn(service, row.revision, record, settled=settled)

    def _learn(
        self, service: ServiceName, revision: int, record: VersionRecord, *, settled: bool
    ) -> None:
        self._known[service] = _KnownRow(revision=revision, record=record)
        self._versions.history.learn(service, record, self._reactor.seconds(), settled=settled)
        self._versions.set_recorded(service, record.listed)

    # Writes.

    def _list_due(self, now_s: float) -> list[ServiceName]:
        """Return the services whose rows this host has to write now."""
        services = [each for each in self._list_services() if self._differs(each, now_s)]
        self._due_s = {
            each: self._due_s.get(each, now_s + self._compute_rank_delay_s()) for each in services
        }
        return [each for each in services if max(self._due_s[each], self._write_after_s) <= now_s]

    def _differs(self, service: ServiceName, now_s: float) -> bool:
        """Whether a service's row lacks what this host knows."""
        own = self._versions.history.describe(service, now_s)
        row = self._known.get(service)
        if row is None or row.record is None:
            return bool(own.last_listed_s)
        if (self._read_registry_revision() or 0) < row.revision:
            return False  # the host that wrote the row may have read a newer registry
        return (
            own.listed != row.record.listed
            or bool(own.last_listed_s.keys() - row.record.last_listed_s.keys())
            or (
                not row.record.is_complete(now_s)
                and row.record.complete_since_s - own.complete_since_s > MIN_EARLIER_S
            )
        )

    def _compute_rank_delay_s(self) -> float:
        rank = self._get_rank()
        delay_s = min(rank, RANKED_WRITERS) * RANK_DELAY_S
        return delay_s + (
            UNRANKED_SPREAD_S * self._random.random() if rank >= RANKED_WRITERS else 0
        )

    def _find_clock(self) -> ClockReading | None:
        """Return a recent reading of the store's clock in the current era."""
        clock = self._rows.clock
        if clock is None or clock.era != self._era.number:
            return None
        return clock if read_boot_time_s() - clock.sent_s <= MAX_CLOCK_AGE_S else None

    @inlineCallbacks
    def _write(self, services: list[ServiceName]) -> Any:
        """Write rows if none has changed since it was known; return whether they were written."""
        clock = self._find_clock()
        if clock is None:
            return False
        now_s, era = self._reactor.seconds(), self._era.number
        store_s = clock.store_s + read_boot_time_s() - clock.sent_s
        records = {each: self._versions.history.describe(each, now_s) for each in services}
        outcome = yield self._rows.transact(
            Transaction(
                expected=[
                    RowExpectation(table=VERSION_TABLE, key=each, revision=self._get_revision(each))
                    for each in services
                ],
                puts=[
                    build_put(
                        VERSION_TABLE,
                        each,
                        encode_row(record, era=era, now_s=now_s, store_s=store_s),
                    )
                    for each, record in records.items()
                ],
            )
        )
        match outcome:
            case RowsRead(era=answered) if answered == era and self._era.number == era:
                self._report(records, outcome.revision)
                return True
            case RowConflict(era=answered) if answered == era and self._era.number == era:
                log_message(message_type="versions: written by another host", services=services)
                for service in services:
                    self._known.pop(service, None)  # a row that was removed is not returned
                age_s = read_boot_time_s() - clock.received_s
                self._adopt(outcome.rows, clock.store_s + age_s, settled=False)
                return True
            case _:
                self._is_current = False  # the row may have been written, or be of another era
                log_message(message_type="versions: not written", services=services)
                return False

    def _get_revision(self, service: ServiceName) -> int:
        known = self._known.get(service)
        return 0 if known is None else known.revision

    def _report(self, records: dict[ServiceName, VersionRecord], revision: int) -> None:
        """Record written rows and tell the other hosts."""
        now_s = self._reactor.seconds()
        self._writes += len(records)
        for service, record in records.items():
            self._known[service] = _KnownRow(revision=revision, record=record)
            self._versions.set_recorded(service, record.listed)
            log_message(
                message_type="versions: written",
                service=service,
                revision=revision,
                listed=[_name(version) for version in record.listed],
                since_s=round(now_s - record.complete_since_s, 1),
            )
            clock = self._rows.clock
            if clock is None or clock.era != self._era.number:
                continue
            report = build_report(service, record, clock, revision=revision, now_s=now_s)
            if report is not None:
                self._on_report(report)


def _name(version: SoftwareVersion | None) -> str:
    return "unstated" if version is None else version

"""Keeps the rows of the duties' leases, and writes the decisions of usage windows, in the store."""

import re
from collections.abc import Callable, Mapping, Sequence
from typing import Any

import msgspec
from eliot import log_message
from msgspec import Struct
from returns.result import Success
from twisted.internet.defer import inlineCallbacks

from greengagestage.catalog import Duty
from greengagestage.decoding import decode_json
from greengagestage.ids import HostId, WorkspaceId
from greengagestage.outcomes import Unavailable, Unknown
from greengagestage.platform import (
    RowClient,
    RowConflict,
    RowExpectation,
    RowId,
    RowPut,
    RowsRead,
    StoredRow,
    Transaction,
    build_put,
)

from ._clocks import Clocks
from ._lease import ABSENT, DutyLease, LeaseRow, decode_lease
from ._link import DutyLink
from ._messages import DutyReport
from ._usage_reporting import UsageReporting
from ._usage_windows import Decision

DUTY_TABLE = "greengagestage-duties"
USAGE_PREFIX = "usage/"

RETRY_S = 0.3
"""Pause after a failed call to the store."""

MAX_REMOVALS = 20
"""Usage rows that are removed in one transaction."""

_WINDOW = re.compile("[0-9]{1,15}")


class UsageRow(Struct, frozen=True, kw_only=True):
    """The decided counts of a usage window as stored in the table."""

    counts: dict[WorkspaceId, int]


Writes = Sequence[tuple[DutyLease, LeaseRow]]


class LeaseKeeper:
    """Reads, acquires, renews and releases leases; its steps must not overlap.

    Args:
        read_era: Returns the store's newest known era; None if the store does not state it.
        knows_hosts: Whether this host has read the list of hosts, which a holder must be able to
            reach.
        usage: The usage reports, if they are a duty.

    Attributes:
        era_since_s: Since when this host knows the store's era, on the boot-time clock.
    """

    def __init__(
        self,
        *,
        host: HostId,
        rows: RowClient,
        leases: Mapping[Duty, DutyLease],
        clocks: Clocks,
        link: DutyLink,
        read_era: Callable[[], int | None],
        knows_hosts: Callable[[], bool],
        usage: UsageReporting | None,
    ) -> None:
        self._host = host
        self._rows = rows
        self._leases = leases
        self._clocks = clocks
        self._link = link
        self._read_era = read_era
        self._knows_hosts = knows_hosts
        self._usage = usage
        self._era = read_era()
        self.era_since_s = clocks.read_boot_s()
        self._standbys: dict[Duty, HostId] = {}
        self._calls_from_s = 0.0

    def receive(self, report: DutyReport) -> None:
        """Learn from the report of another host."""
        lease = self._find_lease(report.duty)
        self._watch_era()
        if lease is None or report.era != self._era:
            return
        self._standbys[lease.duty] = report.standby
        lease.hear(
            holder=report.holder,
            token=report.token,
            revision=report.revision,
            now_s=self._clocks.read_boot_s(),
        )

    @inlineCallbacks
    def step(self) -> Any:
        """Do what is due in the store, one call after the other."""
        self._watch_era()
        if self._clocks.read_boot_s() < self._calls_from_s:
            return
        if any(self._is_read_due(lease) for lease in self._leases.values()):
            yield self._read()
        yield self._release()
        yield self._renew()
        for lease in self._leases.values():
            yield self._acquire(lease)

    def _find_lease(self, name: str) -> DutyLease | None:
        return next((lease for duty, lease in self._leases.items() if duty.value == name), None)

    def _is_read_due(self, lease: DutyLease) -> bool:
        return lease.is_read_due(
            self._clocks.read_boot_s(),
            rank=self._link.rank,
            is_standby=self._standbys.get(lease.duty) == self._host,
        )

    def _watch_era(self) -> None:
        era = self._read_era()
        if era != self._era:
            self._era = era
            self.era_since_s = self._clocks.read_boot_s()
            for lease in self._leases.values():
                lease.begin_era(self.era_since_s)

    @inlineCallbacks
    def _read(self) -> Any:
        outcome = yield self._rows.read(DUTY_TABLE)
        self._watch_era()
        if not isinstance(outcome, RowsRead) or outcome.era != self._era:
            self._pause()
            return
        self._learn_rows(outcome.rows, self._leases.values())

    def _learn_rows(self, rows: Sequence[StoredRow], leases: Any) -> None:
        by_key = {row.key: row for row in rows}
        now_s = self._clocks.read_boot_s()
        for lease in leases:
            was_held = lease.is_held(now_s)
            row = by_key.get(lease.duty.value)
            if row is None:
                lease.observe(ABSENT, None, now_s)
            else:
                lease.observe(row.revision, decode_lease(row.value), now_s)
            if was_held and not lease.is_held(now_s):
                log_message(message_type="duties: lost", duty=lease.duty.value, token=lease.token)
        for key, row in by_key.items():
            self._learn_usage(key, row.value)

    def _learn_usage(self, key: str, value: bytes) -> None:
        window = key.removeprefix(USAGE_PREFIX)
        if self._usage is None or window == key or not _WINDOW.fullmatch(window):
            return
        match decode_json(value, UsageRow):
            case Success(row):
                self._usage.windows.learn_decision(int(window), row.counts)
            case failure:
                log_message(message_type="usage: row unreadable", key=key, fault=failure.failure())

    @inlineCallbacks
    def _release(self) -> Any:
        planned = [(lease, lease.plan_release()) for lease in self._leases.values()]
        writes = [(lease, row) for lease, row in planned if row is not None]
        if writes and (yield self._write(writes)):
            for lease, row in writes:
                log_message(message_type="duties: released", duty=lease.duty.value, token=row.token)

    @inlineCallbacks
    def _renew(self) -> Any:
        now_s = self._clocks.read_boot_s()
        planned = [(lease, lease.plan_renewal(now_s)) for lease in self._leases.values()]
        writes = [(lease, row) for lease, row in planned if row is not None]
        decision = None
        if self._usage is not None and any(x.duty is Duty.USAGE_REPORTING for x, _ in writes):
            decision = self._usage.plan_decision()
        if decision is not None or any(lease.is_renewal_due(now_s) for lease, _ in writes):
            yield self._write(writes, decision)

    @inlineCallbacks
    def _acquire(self, lease: DutyLease) -> Any:
        unix_ms = int(self._clocks.read_unix_s() * 1e3)
        row = lease.plan_acquisition(self._clocks.read_boot_s(), unix_ms)
        if row is None or not self._knows_hosts():
            return
        written = yield self._write([(lease, row)])
        if not written:
            # The holder may have decided windows since the table was read.
            lease.distrust()

    @inlineCallbacks
    def _write(self, writes: Writes, decision: Decision | None = None) -> Any:
        """Write leases and perhaps a decision; return whether that has taken effect."""
        era, sent_s = self._era, self._clocks.read_boot_s()
        transaction = self._build_transaction(writes, decision)
        outcome = yield self._rows.transact(transaction)
        self._watch_era()
        match outcome:
            case RowsRead(revision=revision) if era == self._era:
                self._confirm(writes, decision, revision, sent_s)
                return True
            case RowConflict(rows=rows) if era == self._era:
                self._learn_rows(rows, [lease for lease, _ in writes])
                return False
            case Unavailable():
                pass
            case RowsRead() | RowConflict() | Unknown():
                for lease, _ in writes:
                    lease.distrust()
        self._pause()
        return False

    def _build_transaction(self, writes: Writes, decision: Decision | None) -> Transaction:
        expected = [_expect(lease.duty.value, lease.revision) for lease, _ in writes]
        puts = [_build_put(lease.duty.value, row) for lease, row in writes]
        removals: list[RowId] = []
        if decision is not None:
            key = f"{USAGE_PREFIX}{decision.window}"
            expected.append(_expect(key, ABSENT))
            puts.append(_build_put(key, UsageRow(counts=dict(decision.counts))))
            expired = [] if self._usage is None else self._usage.take_expired(MAX_REMOVALS)
            removals = [RowId(table=DUTY_TABLE, key=f"{USAGE_PREFIX}{each}") for each in expired]
        return Transaction(expected=expected, puts=puts, removals=removals)

    def _confirm(
        self, writes: Writes, decision: Decision | None, revision: int, sent_s: float
    ) -> None:
        now_s = self._clocks.read_boot_s()
        if decision is not None and self._usage is not None:
            self._usage.windows.learn_decision(decision.window, decision.counts)
            log_message(
                message_type="usage: decided",
                window=decision.window,
                total=sum(decision.counts.values()),
                hosts=decision.hosts,
                missing=list(decision.missing),
            )
        for lease, row in writes:
            if lease.confirm(row, revision=revision, sent_s=sent_s, now_s=now_s):
                log_message(message_type="duties: acquired", duty=lease.duty.value, token=row.token)
                if lease.duty is Duty.USAGE_REPORTING and self._usage is not None:
                    self._usage.learn_own_term(row.token)
            self._link.broadcast_duty(self._build_report(lease, row))

    def _build_report(self, lease: DutyLease, row: LeaseRow) -> DutyReport:
        usage = self._usage if lease.duty is Duty.USAGE_REPORTING else None
        return DutyReport(
            duty=lease.duty.value,
            holder=row.holder,
            token=row.token,
            revision=lease.revision,
            era=self._era,
            standby=HostId("") if usage is None else usage.standby,
            decided=-1 if usage is None else usage.windows.newest_decided,
            settled=-1 if usage is None else usage.compute_settled(),
        )

    def _pause(self) -> None:
        self._calls_from_s = self._clocks.read_boot_s() + RETRY_S


def _expect(key: str, revision: int) -> RowExpectation:
    return RowExpectation(table=DUTY_TABLE, key=key, revision=revision)


def _build_put(key: str, row: Struct) -> RowPut:
    return build_put(DUTY_TABLE, key, msgspec.json.encode(row))

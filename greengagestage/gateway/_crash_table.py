"""The store's record of requests and prompt parts that crash upstreams.

Hosts tell each other what they know. The record is for those that start when no other host is left
that knows. The host that finds something out writes it at once, and adds it to what others have
written. The first of all hosts then looks whether it is there, since the other one may have ended
or may not have reached the store, and removes what has expired.
"""

from collections import Counter
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from enum import Enum
from random import Random
from typing import Any

import msgspec
from eliot import log_message
from msgspec import Struct
from twisted.internet.defer import Deferred, inlineCallbacks, succeed

from greengagestage.decoding import Integer, convert_json
from greengagestage.platform import (
    CALL_TIMEOUT_S,
    RowClient,
    RowConflict,
    RowExpectation,
    RowId,
    RowsRead,
    StoredRow,
    Transaction,
    build_put,
)
from greengagestage.routing import (
    CRASHES_TO_QUARANTINE,
    LOSSES_TO_QUARANTINE,
    MAX_QUARANTINE_S,
    CrashSuspects,
    LossRecord,
    LossTracker,
    SuspectRecord,
)

from ._crash_watch import CRASH_CONFIRMATION_S
from ._loops import RepeatingTask, add_jitter
from ._loss_reports import MAX_RECORDS, build_loss_reports, read_loss_report
from ._peer_messages import LossesReport, SuspectsReport
from ._store_clock import read_boot_time_s
from ._suspect_reports import build_suspect_reports, read_suspect_report

CRASH_TABLE = "greengagestage-crashes"

MAX_ROWS_PER_WRITE = 50
"""Half of the rows that a transaction may name: each is expected and written. A row takes some
hundred bytes."""

WRITE_PAUSE_S = CRASH_CONFIRMATION_S
"""Pause between two writes of one host, so that many crashes at once do not crowd the store. What
is found out in between is lost with the host."""

RETRY_S = 0.3
"""Pause after a failed call, with a jitter of 50%."""

MAX_READ_WAIT_S = 2 * CALL_TIMEOUT_S + 1.5 * RETRY_S
"""Time after the start of a host for which it sends nothing while it has not read the record: one
read may be repeated that is not answered. The store usually answers with the configuration."""

CHECK_PAUSE_S = 5.0
"""Time between two checks whether something that this host knows may be missing."""

REQUEST_TOLERANCE_S = 1.0
"""Difference up to which two times of one loss, reckoned from two ages, count as the same."""

MIN_CHECK_PAUSE_S = 1.0
"""Time between two such checks while more and more is found out."""

MAX_AGE_S = 2 * MAX_QUARANTINE_S
"""Age from which a row is removed; what it says has expired by then."""


CrashRecord = LossRecord | SuspectRecord
"""What is known about one request, or one prompt part."""


class CrashRow(Struct, frozen=True, kw_only=True):
    """What is known about one request, or one prompt part; ages count from ``written_ms``.

    Attributes:
        era: The store's era in which the row was written. The clocks of different eras cannot be
            compared: in another one, the row counts as just written for a host that starts, and
            for nothing later, since the other hosts have written again what they know.
        written_ms: Time of the write on the store's clock.
    """

    era: Integer | None
    written_ms: Integer
    losses: LossesReport = LossesReport([])
    suspects: SuspectsReport = SuspectsReport([])


class CrashTable:
    """Reads the record at the start of a host, and adds what is missing.

    A row is only replaced by a host that has read it, so that what others know stays in it.

    Args:
        get_era: Returns the newest known era of the store.
        get_rank: Returns the position of this host among all hosts; 0 is the first.
    """

    def __init__(
        self,
        *,
        reactor: Any,
        rows: RowClient,
        random: Random,
        get_era: Callable[[], int | None],
        losses: LossTracker,
        suspects: CrashSuspects,
        get_rank: Callable[[], int],
    ) -> None:
        self._reactor = reactor
        self._rows = rows
        self._random = random
        self._losses = losses
        self._suspects = suspects
        self._get_era = get_era
        self._get_rank = get_rank
        self._task = RepeatingTask(reactor=reactor, name="crashes", step=self._step)
        self._is_read = False
        self._started_s = 0.0
        self._is_checked = True
        self._next_check_s = 0.0
        self._pending: dict[str, CrashRecord] = {}
        self._recorded: dict[str, CrashRecord] = {}
        self._recorded_era: int | None = None
        self._revisions: dict[str, int] = {}
        self._has_conflict = False

    def start(self) -> None:
        """Read the record."""
        self._started_s = self._reactor.seconds()
        self._task.start()

    def stop(self) -> None:
        """Stop reading and writing."""
        self._task.stop()

    @property
    def is_awaited(self) -> bool:
        """Whether this host should know soon what the record says."""
        wait_s = self._reactor.seconds() - self._started_s
        return not self._is_read and wait_s < MAX_READ_WAIT_S

    def record_request(self, record: LossRecord) -> None:
        """Record a request that is quarantined because of a loss at this host."""
        self._pending[_build_key(record)] = record
        self._task.run_within(0.0)

    def record_parts(self, records: Sequence[SuspectRecord]) -> None:
        """Record the parts of a prompt under which an upstream of this host has crashed again.

        An answer to a prompt with a part is recorded, too, if the part is in the record.
        """
        for record in records:
            key = _build_key(record)
            if _is_known(record) or key in self._recorded:
                self._pending[key] = record
                self._task.run_within(0.0)

    @inlineCallbacks
    def _step(self) -> Any:
        if not self._is_read:
            read = yield self._rows.read(CRASH_TABLE)
            if not isinstance(read, RowsRead):
                after_s = round(self._reactor.seconds() - self._started_s, 3)
                log_message(message_type="crashes: not read", after_s=after_s)
                return add_jitter(RETRY_S, self._random)
            self._is_read = True
            self._recorded_era = read.era
            self._learn(read, any_era=True)
        self._forget_older_era()
        if self._get_rank() == 0 and self._needs_check():
            read = yield self._rows.read(CRASH_TABLE)
            if not isinstance(read, RowsRead):
                return add_jitter(RETRY_S, self._random)
            self._next_check_s = self._reactor.seconds() + MIN_CHECK_PAUSE_S
            old = self._learn(read)
            missing = self._find_missing()
            removed = [each for each in old if each.key not in missing][:MAX_ROWS_PER_WRITE]
            yield self._remove(removed)
            self._is_checked = len(removed) < MAX_ROWS_PER_WRITE
            self._pending = {**missing, **self._pending}
        if not self._pending:
            return CHECK_PAUSE_S
        if self._has_conflict:
            read = yield self._rows.read(CRASH_TABLE)
            if not isinstance(read, RowsRead):
                return add_jitter(RETRY_S, self._random)
            self._has_conflict = False
            self._learn(read)
        is_written = yield self._write()
        return WRITE_PAUSE_S if is_written else add_jitter(RETRY_S, self._random)

    @inlineCallbacks
    def _write(self) -> Any:
        """Write what is pending, unless others have written; return whether it was written."""
        clock = self._rows.clock
        if clock is None or clock.era != self._get_era():
            yield self._rows.read(CRASH_TABLE)  # ages need the clock of the current era
            clock = self._rows.clock
        batch = dict(list(self._pending.items())[:MAX_ROWS_PER_WRITE])
        known = self._list_known()
        current = {key: known.get(key, record) for key, record in batch.items()}
        puts = [build_put(CRASH_TABLE, key, self._encode(each)) for key, each in current.items()]
        expected = [
            RowExpectation(table=CRASH_TABLE, key=key, revision=self._revisions.get(key, 0))
            for key in current
        ]
        outcome = yield self._rows.transact(Transaction(expected=expected, puts=puts))
        self._has_conflict = isinstance(outcome, RowConflict)
        is_written = isinstance(outcome, RowsRead) and (clock is None or outcome.era == clock.era)
        log_message(
            message_type="crashes: written" if is_written else "crashes: not written",
            keys=list(batch),
            waiting=len(self._pending) - len(batch),
        )
        if is_written:
            self._recorded.update(current)
            self._revisions.update(dict.fromkeys(current, outcome.revision))
            for key, record in batch.items():
                if self._pending.get(key) is record:
                    del self._pending[key]
        return is_written

    def _forget_older_era(self) -> None:
        """Take nothing for recorded after the store has come back from an older copy."""
        era = self._get_era()
        if era != self._recorded_era:
            self._recorded_era = era
            self._recorded.clear()
            self._revisions.clear()
            self._is_checked = False

    def _needs_check(self) -> bool:
        if self._reactor.seconds() < self._next_check_s:
            return False
        return not self._is_checked or (not self._pending and bool(self._find_missing()))

    def _list_known(self) -> dict[str, CrashRecord]:
        """Return what this host knows and should be recorded."""
        now_s = self._reactor.seconds()
        requests = self._losses.list_records(now_s, most=MAX_RECORDS)
        records: list[CrashRecord] = [*requests, *self._suspects.list_records(now_s)]
        known = {_build_key(each): each for each in records if _is_known(each)}
        return {**self._list_cleared(), **known}

    def _list_cleared(self) -> dict[str, CrashRecord]:
        """Return the recorded parts to which answers have come since."""
        cleared: dict[str, CrashRecord] = {}
        for key, recorded in self._recorded.items():
            if isinstance(recorded, SuspectRecord) and recorded.losses:
                record = self._suspects.get_record(recorded.part)
                if not _is_covered(record, recorded):
                    cleared[key] = record
        return cleared

    def _find_missing(self) -> dict[str, CrashRecord]:
        """Return what this host knows and has neither written nor read in the store."""
        known = self._list_known()
        self._recorded = {key: each for key, each in self._recorded.items() if key in known}
        return {
            key: each
            for key, each in known.items()
            if not _is_covered(each, self._recorded.get(key))
        }

    def _learn(self, read: RowsRead, *, any_era: bool = False) -> list[StoredRow]:
        """Add what the rows say; return those that say nothing any more.

        Args:
            any_era: Whether rows of another era count as just written. They are returned, too.
        """
        now_s = self._reactor.seconds()
        old: list[StoredRow] = []
        reasons: Counter[str] = Counter()
        self._revisions = {stored.key: stored.revision for stored in read.rows}
        for stored in read.rows:
            known = decode_row(stored.value, read, now_s, any_era=any_era)
            if isinstance(known, IgnoredRow):
                old.append(stored)
                reasons[known.value] += 1
                continue
            if known.is_current:
                records: list[CrashRecord] = [*known.losses, *known.suspects]
                self._recorded.update({_build_key(each): each for each in records})
            else:
                old.append(stored)
                reasons["other era, taken as just written"] += 1
                self._is_checked = False
            self._losses.learn(known.losses, now_s)
            self._suspects.learn(known.suspects)
        log_message(
            message_type="crashes: read",
            rows=len(read.rows),
            ignored=reasons,
            era=read.era,
            after_s=round(now_s - self._started_s, 3),
        )
        return old

    def _remove(self, removed: Sequence[StoredRow]) -> Deferred[Any]:
        """Remove rows, unless one of them has been written again since it was read."""
        if not removed:
            return succeed(None)
        return self._rows.transact(
            Transaction(
                expected=[
                    RowExpectation(table=CRASH_TABLE, key=each.key, revision=each.revision)
                    for each in removed
                ],
                removals=[RowId(table=CRASH_TABLE, key=each.key) for each in removed],
            )
        )

    def _encode(self, record: CrashRecord) -> bytes:
        now_s, clock = self._reactor.seconds(), self._rows.clock
        store_s = 0.0 if clock is None else clock.store_s + read_boot_time_s() - clock.received_s
        row = CrashRow(era=None if clock is None else clock.era, written_ms=round(store_s * 1_000))
        match record:
            case LossRecord():
                (losses,) = build_loss_reports([record], now_s)
                row = msgspec.structs.replace(row, losses=losses)
            case SuspectRecord():
                (suspects,) = build_suspect_reports([record], now_s)
                row = msgspec.structs.replace(row, suspects=suspects)
        return msgspec.json.encode(row)


def _is_known(record: CrashRecord) -> bool:
    """Whether a request or a part may be quarantined. Fewer crashes are mostly a coincidence."""
    match record:
        case LossRecord(losses=losses):
            return len(losses) >= LOSSES_TO_QUARANTINE
        case SuspectRecord(losses=crashes):
            return len(crashes) >= CRASHES_TO_QUARANTINE


def _is_covered(record: CrashRecord, recorded: CrashRecord | None) -> bool:
    """Whether the record in the store says all that is known about a request or a part."""
    match record, recorded:
        case LossRecord(), LossRecord():
            is_as_late = recorded.last_s >= record.last_s - REQUEST_TOLERANCE_S
            return is_as_late and recorded.losses >= record.losses
        case SuspectRecord(), SuspectRecord():
            answered_s = float("-inf") if record.answered_s is None else record.answered_s
            is_blamed = any(loss.lost_s <= answered_s for loss in recorded.losses)
            return not is_blamed and record.crashes <= recorded.crashes
    return False


def _build_key(record: CrashRecord) -> str:
    match record:
        case LossRecord(fingerprint=fingerprint):
            return f"request-{fingerprint}"
        case SuspectRecord(part=part):
            return f"part-{part}"


def _check_numbers(row: CrashRow) -> None:
    """Raise ``ValueError`` for numbers that could not be told to other hosts."""
    entries, suspects = row.losses.entries, row.suspects.suspects
    crashes = [loss for suspect in suspects for loss in suspect.losses]
    hashes = [suspect.part for suspect in suspects] + [loss.crash for loss in crashes]
    hashes += [loss for entry in entries for loss in (*entry.losses, *entry.cleared)]
    ages_ms = [entry.last_ms for entry in entries] + [
        suspect.answered_ms or 0 for suspect in suspects
    ]
    ages_ms += [age_ms for loss in crashes for age_ms in (loss.sent_ms, loss.lost_ms)]
    if any(not 0 <= each < 2**64 for each in hashes):
        raise ValueError("a hash does not have 64 bits")
    if any(abs(each) > MAX_AGE_S * 1_000 for each in ages_ms):
        raise ValueError("an age is out of range")


@dataclass(frozen=True, slots=True, kw_only=True)
class KnownCrashes:
    """What a row says, with times of this host's clock.

    Attributes:
        is_current: Whether the row is of the store's current era.
    """

    is_current: bool
    losses: list[LossRecord]
    suspects: list[SuspectRecord]


class IgnoredRow(Enum):
    """Why a row is ignored."""

    UNREADABLE = "unreadable"
    OTHER_ERA = "other era"
    EXPIRED = "expired"


def decode_row(
    value: bytes, read: RowsRead, now_s: float, *, any_era: bool = False
) -> KnownCrashes | IgnoredRow:
    """Return what a row says, or why it is ignored.

    Args:
        read: The read that has brought the row.
        now_s: This host's monotonic time.
        any_era: Whether a row of another era counts as just written.
    """

    def convert(row: CrashRow) -> KnownCrashes | IgnoredRow:
        is_current = row.era == read.era
        if not is_current and not any_era:
            return IgnoredRow.OTHER_ERA
        age_s = max((read.store_clock_ms - row.written_ms) / 1_000, 0.0) if is_current else 0.0
        if age_s > MAX_AGE_S:
            return IgnoredRow.EXPIRED
        _check_numbers(row)
        losses = read_loss_report(row.losses, now_s - age_s)
        fresh = [each for each in losses if not each.is_expired(now_s)]
        suspects = read_suspect_report(row.suspects, now_s - age_s)
        if not fresh and not suspects:
            return IgnoredRow.EXPIRED
        return KnownCrashes(is_current=is_current, losses=fresh, suspects=suspects)

    return convert_json(value, CrashRow, convert).value_or(IgnoredRow.UNREADABLE)

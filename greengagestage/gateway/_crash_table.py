"""The store's record of requests and prompt parts that crash upstreams.

Hosts tell each other what they know. The record is for those that start when no other host is left
that knows. The host that finds something out writes it at once. The first of all hosts then looks
whether it is there, since the other one may have ended or may not have reached the store, and
removes what has expired.
"""

from collections.abc import Callable, Sequence
from dataclasses import dataclass
from random import Random
from typing import Any

import msgspec
from eliot import log_message
from msgspec import Struct
from twisted.internet.defer import Deferred, inlineCallbacks, succeed

from greengagestage.decoding import Integer, convert_json
from greengagestage.platform import (
    RowClient,
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

from ._loops import RepeatingTask, add_jitter
from ._loss_reports import MAX_RECORDS, build_loss_reports, read_loss_report
from ._peer_messages import LossesReport, SuspectsReport
from ._store_clock import read_boot_time_s
from ._suspect_reports import build_suspect_reports, read_suspect_report

CRASH_TABLE = "greengagestage-crashes"

MAX_ROWS_PER_WRITE = 50
"""Half of the rows that a transaction may hold; a row takes some hundred bytes."""

WRITE_PAUSE_S = 0.5
"""Pause between two writes of one host, so that many crashes at once do not crowd the store."""

RETRY_S = 0.3
"""Pause after a failed call, with a jitter of 50%."""

CHECK_PAUSE_S = 5.0
"""Time between two checks whether something that this host knows may be missing."""

MAX_AGE_S = 2 * MAX_QUARANTINE_S
"""Age from which a row is removed; what it says has expired by then."""


CrashRecord = LossRecord | SuspectRecord
"""What is known about one request, or one prompt part."""


class CrashRow(Struct, frozen=True, kw_only=True):
    """What is known about one request, or one prompt part; ages count from ``written_ms``.

    Attributes:
        era: The store's era in which the row was written. In another one it is ignored, since the
            clocks of different eras cannot be compared.
        written_ms: Time of the write on the store's clock.
    """

    era: Integer | None
    written_ms: Integer
    losses: LossesReport = LossesReport([])
    suspects: SuspectsReport = SuspectsReport([])


class CrashTable:
    """Reads the record at the start of a host, and adds what is missing.

    Args:
        get_rank: Returns the position of this host among all hosts; 0 is the first.
    """

    def __init__(
        self,
        *,
        reactor: Any,
        rows: RowClient,
        random: Random,
        losses: LossTracker,
        suspects: CrashSuspects,
        get_rank: Callable[[], int],
    ) -> None:
        self._reactor = reactor
        self._rows = rows
        self._random = random
        self._losses = losses
        self._suspects = suspects
        self._get_rank = get_rank
        self._task = RepeatingTask(reactor=reactor, name="crashes", step=self._step)
        self._is_read = False
        self._pending: dict[str, CrashRecord] = {}
        self._recorded: set[str] = set()

    def start(self) -> None:
        """Read the record."""
        self._task.start()

    def stop(self) -> None:
        """Stop reading and writing."""
        self._task.stop()

    def record_request(self, record: LossRecord) -> None:
        """Record a request that is quarantined because of a loss at this host."""
        self._pending[_build_key(record)] = record
        self._task.run_within(0.0)

    def record_parts(self, records: Sequence[SuspectRecord]) -> None:
        """Record the parts of a prompt under which an upstream of this host has crashed again."""
        for record in records:
            if _is_known(record):
                self._pending[_build_key(record)] = record
                self._task.run_within(0.0)

    @inlineCallbacks
    def _step(self) -> Any:
        if not self._is_read:
            read = yield self._rows.read(CRASH_TABLE)
            if not isinstance(read, RowsRead):
                return add_jitter(RETRY_S, self._random)
            self._is_read = True
            self._learn(read)
        if not self._pending and self._get_rank() == 0 and self._find_missing():
            read = yield self._rows.read(CRASH_TABLE)
            if not isinstance(read, RowsRead):
                return add_jitter(RETRY_S, self._random)
            yield self._remove(self._learn(read))
            self._pending = {**self._find_missing(), **self._pending}
        if not self._pending:
            return CHECK_PAUSE_S
        batch = dict(list(self._pending.items())[:MAX_ROWS_PER_WRITE])
        puts = [build_put(CRASH_TABLE, key, self._encode(each)) for key, each in batch.items()]
        outcome = yield self._rows.transact(Transaction(puts=puts))
        if not isinstance(outcome, RowsRead):
            return add_jitter(RETRY_S, self._random)
        for key, record in batch.items():
            self._recorded.add(key)
            if self._pending.get(key) is record:
                del self._pending[key]
        return WRITE_PAUSE_S

    def _find_missing(self) -> dict[str, CrashRecord]:
        """Return what this host knows and has neither written nor read in the store."""
        now_s = self._reactor.seconds()
        requests = self._losses.list_records(now_s, most=MAX_RECORDS)
        parts = self._suspects.list_records(now_s)
        records: list[CrashRecord] = [*requests, *parts]
        known = [each for each in records if _is_known(each)]
        self._recorded &= {_build_key(each) for each in known}
        return {_build_key(each): each for each in known if _build_key(each) not in self._recorded}

    def _learn(self, read: RowsRead) -> list[StoredRow]:
        """Add what the rows say; return those that say nothing any more."""
        now_s = self._reactor.seconds()
        old: list[StoredRow] = []
        for stored in read.rows:
            known = decode_row(stored.value, read, now_s)
            if known is None:
                old.append(stored)
                continue
            self._recorded.add(stored.key)
            self._losses.learn(known.losses, now_s)
            self._suspects.learn(known.suspects)
        if read.rows:
            log_message(message_type="crashes: read", rows=len(read.rows), old=len(old))
        return old

    def _remove(self, old: Sequence[StoredRow]) -> Deferred[Any]:
        """Remove rows, unless one of them has been written again since it was read."""
        removed = old[:MAX_ROWS_PER_WRITE]
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
    """What a row says, with times of this host's clock."""

    losses: list[LossRecord]
    suspects: list[SuspectRecord]


def decode_row(value: bytes, read: RowsRead, now_s: float) -> KnownCrashes | None:
    """Return what a row says; None if it is unreadable, of another era or has expired.

    Args:
        read: The read that has brought the row.
        now_s: This host's monotonic time.
    """

    def convert(row: CrashRow) -> KnownCrashes | None:
        age_s = max((read.store_clock_ms - row.written_ms) / 1_000, 0.0)
        if row.era != read.era or age_s > MAX_AGE_S:
            return None
        _check_numbers(row)
        losses = read_loss_report(row.losses, now_s - age_s)
        fresh = [each for each in losses if not each.is_expired(now_s)]
        suspects = read_suspect_report(row.suspects, now_s - age_s)
        return KnownCrashes(losses=fresh, suspects=suspects) if fresh or suspects else None

    return convert_json(value, CrashRow, convert).value_or(None)

"""The store's record of requests and prompt parts that crash upstreams.

Hosts tell each other what they know. The record is for those that start when no other host is left
that knows. The host that finds something out writes it at once, and adds it to what others have
written. The first of all hosts then looks whether it is there, since the other one may have ended
or may not have reached the store, and removes what has expired.
"""

from collections import Counter
from collections.abc import Callable, Iterable, Sequence
from random import Random
from typing import Any

from eliot import log_message
from twisted.internet.defer import Deferred, inlineCallbacks, succeed

from greengagestage.ids import AttemptId, Fingerprint
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
from greengagestage.routing import CrashSuspects, LossTracker, SuspectRecord

from .._loops import RepeatingTask, add_jitter
from ..watches import read_boot_time_s
from ._crash_rows import (
    CRASH_TABLE,
    CrashRecord,
    IgnoredRow,
    build_key,
    build_request_key,
    decode_row,
    encode_row,
)
from ._crash_watch import CRASH_CONFIRMATION_S
from ._recorded_crashes import CrashRows, RecordedCrashes, has_own_row

MAX_ROWS_PER_WRITE = 50
"""Half of the rows that a transaction may name: each is expected and written. Most rows take some
hundred bytes, and the shared one up to 32 KB."""

WRITE_PAUSE_S = CRASH_CONFIRMATION_S
"""Pause between two writes of one host, so that many crashes at once do not crowd the store. What
is found out in between is lost with the host."""

EVIDENCE_PAUSE_S = 0.1
"""Pause, with a jitter of 50%, before a write of what does not suffice for a quarantine. Meanwhile
the other hosts tell of the same crash, and of answers that clear parts."""

RETRY_S = 0.3
"""Pause after a failed call, with a jitter of 50%."""

MAX_READ_WAIT_S = 2 * CALL_TIMEOUT_S + 1.5 * RETRY_S
"""Time after the start of a host for which it sends nothing while it has not read the record: one
read may be repeated that is not answered. The store usually answers with the configuration."""

LONGEST_RETRY_S = 2.4
"""Longest pause between writes that fail one after the other, with the same jitter."""

MAX_VIEW_AGE_S = 1.0
"""Age from which what this host has seen of the record is read again before a write: another host
has often recorded the same crash."""

MAX_VIEW_PAUSE_S = 60.0
"""Time after which the record is read again. Hosts tell each other of changes for a while only, so
that one that could not be told learns the rest from it."""

CHECK_PAUSE_S = 5.0
"""Time between two checks whether something that this host knows may be missing."""

MIN_CHECK_PAUSE_S = 1.0
"""Time between two such checks while more and more is found out."""


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
        self._recorded = RecordedCrashes(losses=losses, suspects=suspects)
        self._get_era = get_era
        self._get_rank = get_rank
        self._task = RepeatingTask(reactor=reactor, name="crashes", step=self._step)
        self._is_read = False
        self._started_s = 0.0
        self._is_checked = True
        self._next_check_s = 0.0
        self._pending: set[str] = set()
        self._has_written = False
        self._recorded_era: int | None = None
        self._revisions: dict[str, int] = {}
        self._viewed_s = float("-inf")
        self._failures = 0

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

    def record_request(self, fingerprint: Fingerprint) -> None:
        """Record a request of which this host has lost the answer, or has cleared the losses."""
        now_s = self._reactor.seconds()
        is_urgent = self._losses.find_quarantined(fingerprint, now_s) is not None
        if is_urgent or self._losses.count_losses(fingerprint) is not None:
            self._record([build_request_key(fingerprint)], is_urgent=is_urgent)

    @inlineCallbacks
    def record_trial(self, fingerprint: Fingerprint, attempt_id: AttemptId) -> Any:
        """Record that a request is about to be sent as a trial; return whether it may be.

        It may not if another host has been first, or if it is not certain that the store has it.
        """
        read = yield self._rows.read(CRASH_TABLE)
        clock = self._rows.clock
        if not isinstance(read, RowsRead) or clock is None or clock.era != self._get_era():
            return False
        self._learn(read)
        now_s = self._reactor.seconds()
        record = self._losses.build_trial_record(fingerprint, attempt_id, now_s)
        if record is None:
            return False
        key = build_request_key(fingerprint)
        outcome = yield self._replace({key: [record]})
        is_recorded = isinstance(outcome, RowsRead) and outcome.era == clock.era
        log_message(
            message_type=(
                "request: trial recorded" if is_recorded else "request: trial not recorded"
            ),
            request=attempt_id,
            fingerprint=fingerprint,
        )
        if isinstance(outcome, RowConflict):
            return False
        self._losses.begin_trial(fingerprint, attempt_id, now_s)
        if is_recorded:
            self._recorded.update({key: [record]})
            self._revisions[key] = outcome.revision
        else:
            # The store may have the trial all the same.
            self._losses.withdraw_trial(fingerprint, attempt_id)
            self.record_request(fingerprint)
        return is_recorded

    def record_parts(self, records: Sequence[SuspectRecord]) -> None:
        """Record the parts of a prompt under which an upstream of this host has crashed.

        An answer to a prompt with a part is recorded, too, if the part is in the record.
        """
        recorded = self._recorded
        changed = [each for each in records if each.losses or recorded.is_recorded(each)]
        if changed:
            self._record(map(build_key, changed), is_urgent=any(map(has_own_row, changed)))

    def _record(self, subjects: Iterable[str], *, is_urgent: bool) -> None:
        self._pending.update(subjects)
        self._task.run_within(0.0 if is_urgent else add_jitter(EVIDENCE_PAUSE_S, self._random))

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
            written = set(missing.values())
            excess = self._recorded.list_excess()
            old += [each for each in read.rows if each.key in excess]
            removed = [each for each in old if each.key not in written][:MAX_ROWS_PER_WRITE]
            yield self._remove(removed)
            self._is_checked = len(removed) < MAX_ROWS_PER_WRITE
            self._pending |= missing.keys()
        if self._has_written:
            self._has_written = False
            self._pending |= self._recorded.find_cleared()
        self._pending &= self._find_missing().keys()
        if not self._pending:
            if self._reactor.seconds() - self._viewed_s >= MAX_VIEW_PAUSE_S:
                read = yield self._rows.read(CRASH_TABLE)
                if isinstance(read, RowsRead):
                    self._learn(read)
            return CHECK_PAUSE_S
        if self._reactor.seconds() - self._viewed_s >= MAX_VIEW_AGE_S:
            read = yield self._rows.read(CRASH_TABLE)
            if not isinstance(read, RowsRead):
                return self._record_failure()
            self._learn(read)
        is_written = yield self._write()
        if not is_written:
            return self._record_failure()
        self._failures = 0
        return WRITE_PAUSE_S

    def _record_failure(self) -> float:
        """Count a call that has failed; return the pause before the next one."""
        pause_s = min(RETRY_S * 2.0 ** min(self._failures, 10), LONGEST_RETRY_S)
        self._failures += 1
        return add_jitter(pause_s, self._random)

    @inlineCallbacks
    def _write(self) -> Any:
        """Write what is pending, unless others have written; return whether it was written."""
        clock = self._rows.clock
        if clock is None or clock.era != self._get_era():
            yield self._rows.read(CRASH_TABLE)  # ages need the clock of the current era
            clock = self._rows.clock
        rows = self._recorded.build_rows(self._reactor.seconds())
        missing = self._recorded.find_missing(rows)
        written = {key for subject, key in missing.items() if subject in self._pending}
        if not written:
            return True
        keys = [key for key in rows if key in written]
        batch = {key: rows[key] for key in keys[:MAX_ROWS_PER_WRITE]}
        outcome = yield self._replace(batch)
        if isinstance(outcome, RowConflict):
            self._viewed_s = float("-inf")
        is_written = isinstance(outcome, RowsRead) and (clock is None or outcome.era == clock.era)
        log_message(
            message_type="crashes: written" if is_written else "crashes: not written",
            keys=list(batch),
            waiting=len(keys) - len(batch),
        )
        if is_written:
            self._has_written = True
            self._viewed_s = self._reactor.seconds()
            self._recorded.update(batch)
            self._revisions.update(dict.fromkeys(batch, outcome.revision))
        return is_written

    def _replace(self, rows: CrashRows) -> Deferred[Any]:
        """Write rows, unless one of them has been written since this host has read it."""
        puts = [build_put(CRASH_TABLE, key, self._encode(row)) for key, row in rows.items()]
        expected = [
            RowExpectation(table=CRASH_TABLE, key=key, revision=self._revisions.get(key, 0))
            for key in rows
        ]
        return self._rows.transact(Transaction(expected=expected, puts=puts))

    def _forget_older_era(self) -> None:
        """Take nothing for recorded after the store has come back from an older copy."""
        era = self._get_era()
        if era != self._recorded_era:
            self._recorded_era = era
            self._recorded.replace({})
            self._revisions.clear()
            self._viewed_s = float("-inf")
            self._is_checked = False

    def _needs_check(self) -> bool:
        now_s = self._reactor.seconds()
        if now_s < self._next_check_s:
            return False
        if not self._is_checked or self._recorded.has_expired_row(now_s):
            return True
        return not self._pending and bool(self._find_missing())

    def _find_missing(self) -> dict[str, str]:
        """Return what this host knows and the record lacks, each with its row."""
        return self._recorded.find_missing(self._recorded.build_rows(self._reactor.seconds()))

    def _learn(self, read: RowsRead, *, any_era: bool = False) -> list[StoredRow]:
        """Add what the rows say; return those that say nothing any more.

        Args:
            any_era: Whether rows of another era count as just written. They are returned, too.
        """
        now_s = self._viewed_s = self._reactor.seconds()
        old: list[StoredRow] = []
        reasons: Counter[str] = Counter()
        rows: dict[str, Sequence[CrashRecord]] = {}
        self._revisions = {stored.key: stored.revision for stored in read.rows}
        for stored in read.rows:
            known = decode_row(stored.value, read, now_s, any_era=any_era)
            if isinstance(known, IgnoredRow):
                old.append(stored)
                reasons[known.value] += 1
                continue
            if known.is_current:
                rows[stored.key] = [*known.losses, *known.suspects]
            else:
                old.append(stored)
                reasons["other era, taken as just written"] += 1
                self._is_checked = False
            self._losses.learn(known.losses, now_s)
            self._suspects.learn(known.suspects)
        self._recorded.replace(rows)
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

    def _encode(self, records: Sequence[CrashRecord]) -> bytes:
        clock = self._rows.clock
        store_s = 0.0 if clock is None else clock.store_s + read_boot_time_s() - clock.received_s
        era = None if clock is None else clock.era
        return encode_row(records, era=era, store_s=store_s, now_s=self._reactor.seconds())

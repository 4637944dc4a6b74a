"""What the store's record of crashes says and lacks, without network input or output."""

from collections.abc import Iterable, Mapping, Sequence
from itertools import groupby

from greengagestage.routing import (
    CRASHES_TO_QUARANTINE,
    EVIDENCE_LIFETIME_S,
    LOSSES_TO_QUARANTINE,
    CrashSuspects,
    LossRecord,
    LossTracker,
    SuspectRecord,
)

from ._crash_rows import EVIDENCE_KEY, CrashRecord, build_key

REQUEST_TOLERANCE_S = 1.0
"""Difference up to which two times of one loss, reckoned from two ages, count as the same."""

MAX_EVIDENCE_PARTS = 240
"""Maximum number of parts in the row of what does not suffice for a quarantine, those of the latest
crashes first. An entry takes some 70 bytes."""

MAX_REQUESTS = 512
"""Maximum number of quarantined requests in the record, those with the most losses first. Each has
a row."""

MAX_EVIDENCE_REQUESTS = 240
"""Maximum number of requests in the row of what does not suffice for a quarantine, with the same
preference. An entry takes some 90 bytes."""

CrashRows = Mapping[str, Sequence[CrashRecord]]
"""Contents of rows by their keys."""


class RecordedCrashes:
    """Compares what the rows say, as last read or written by this host, with what it knows."""

    def __init__(self, *, losses: LossTracker, suspects: CrashSuspects) -> None:
        self._losses = losses
        self._suspects = suspects
        self._rows: dict[str, Sequence[CrashRecord]] = {}
        self._recorded: dict[str, CrashRecord] = {}

    def replace(self, rows: CrashRows) -> None:
        """Note what all rows say."""
        self._rows = {}
        self.update(rows)

    def update(self, rows: CrashRows) -> None:
        """Note what some rows say now."""
        self._rows.update(rows)
        self._recorded = {}
        for record in (record for row in self._rows.values() for record in row):
            key = build_key(record)
            known = self._recorded.get(key)
            self._recorded[key] = record if known is None else _merge(known, record)

    def is_recorded(self, record: CrashRecord) -> bool:
        """Whether a row says something about a request or a part."""
        return build_key(record) in self._recorded

    def build_rows(self, now_s: float) -> dict[str, Sequence[CrashRecord]]:
        """Return the rows that this host would write, the shared one first."""
        requests = self._losses.list_records(now_s, most=MAX_REQUESTS)
        records: list[CrashRecord] = [*requests, *self._suspects.list_records(now_s)]
        rows: dict[str, Sequence[CrashRecord]] = {
            build_key(each): [each] for each in records if has_own_row(each)
        }
        evidence = self._list_answered(now_s)
        for key, record in self._list_cleared():
            if key != EVIDENCE_KEY:
                rows.setdefault(key, [record])
            elif not record.losses:
                evidence[build_key(record)] = record
        evidence |= {build_key(each): each for each in records if not has_own_row(each)}
        if evidence:
            rows = {EVIDENCE_KEY: _select_latest(evidence.values()), **rows}
        return rows

    def find_missing(self, rows: CrashRows) -> dict[str, str]:
        """Return the requests and parts of which the record lacks something, and their rows.

        Args:
            rows: The rows that this host would write.
        """
        return {
            build_key(record): key
            for key, row in rows.items()
            for record in row
            if not _is_covered(record, self._recorded.get(build_key(record)))
        }

    def has_expired_row(self, now_s: float) -> bool:
        """Whether a row says nothing any more."""
        return any(all(each.is_expired(now_s) for each in row) for row in self._rows.values())

    def list_excess(self) -> set[str]:
        """Return the rows of requests beyond ``MAX_REQUESTS``, those with the fewest losses."""
        requests = {
            key: record
            for key, row in self._rows.items()
            for record in row
            if isinstance(record, LossRecord) and has_own_row(record)
        }
        ranked = sorted(requests, key=lambda key: requests[key].weight, reverse=True)
        return set(ranked[MAX_REQUESTS:])

    def find_cleared(self) -> set[str]:
        """Return the recorded parts to which answers have come since."""
        return {build_key(record) for _, record in self._list_cleared()}

    def _list_cleared(self) -> list[tuple[str, SuspectRecord]]:
        """Return the recorded parts to which answers have come since, each with its row."""
        cleared: list[tuple[str, SuspectRecord]] = []
        for key, row in self._rows.items():
            for recorded in row:
                if isinstance(recorded, SuspectRecord) and recorded.losses:
                    record = self._suspects.get_record(recorded.part)
                    if not _is_covered(record, recorded):
                        cleared.append((key, record))
        return cleared

    def _list_answered(self, now_s: float) -> dict[str, CrashRecord]:
        """Return the parts whose clearing is recorded and could be contradicted by other hosts."""
        answered: dict[str, CrashRecord] = {}
        for record in self._rows.get(EVIDENCE_KEY, ()):
            if isinstance(record, SuspectRecord) and not record.losses:
                answered_s = record.answered_s
                if answered_s is not None and now_s - answered_s < EVIDENCE_LIFETIME_S:
                    answered[build_key(record)] = record
        return answered


def has_own_row(record: CrashRecord) -> bool:
    """Whether a request or a part is, or was, quarantined."""
    match record:
        case LossRecord(losses=losses, cleared=cleared):
            return len(losses | cleared) >= LOSSES_TO_QUARANTINE
        case SuspectRecord(losses=crashes):
            return len(crashes) >= CRASHES_TO_QUARANTINE


def _is_covered(record: CrashRecord, recorded: CrashRecord | None) -> bool:
    """Whether the record in the store says all that is known about a request or a part."""
    match record, recorded:
        case LossRecord(losses=losses), LossRecord() if not losses and not has_own_row(record):
            return not record.cleared & recorded.losses
        case LossRecord(losses=losses), None if not losses and not has_own_row(record):
            return True
        case LossRecord(), LossRecord():
            is_as_late = recorded.last_s >= record.last_s - REQUEST_TOLERANCE_S
            is_cleared = record.cleared <= recorded.cleared
            has_trials = record.trials <= recorded.trials
            return is_as_late and is_cleared and has_trials and record.losses <= recorded.losses
        case SuspectRecord(), SuspectRecord():
            answered_s = float("-inf") if record.answered_s is None else record.answered_s
            is_blamed = any(loss.lost_s <= answered_s for loss in recorded.losses)
            return not is_blamed and record.crashes <= recorded.crashes
    return False


def _merge(known: CrashRecord, other: CrashRecord) -> CrashRecord:
    """Return what two rows say about the same request or part."""
    match known, other:
        case LossRecord(), LossRecord():
            cleared = known.cleared | other.cleared
            return LossRecord(
                fingerprint=known.fingerprint,
                losses=(known.losses | other.losses) - cleared,
                cleared=cleared,
                trials=(known.trials | other.trials) - cleared,
                last_s=max(known.last_s, other.last_s),
            )
        case SuspectRecord(), SuspectRecord():
            times_s = [each for each in (known.answered_s, other.answered_s) if each is not None]
            answered_s = max(times_s, default=None)
            losses = {loss.crash: loss for loss in (*known.losses, *other.losses)}
            if answered_s is not None:
                losses = {key: each for key, each in losses.items() if each.lost_s > answered_s}
            return SuspectRecord(
                part=known.part, answered_s=answered_s, losses=tuple(losses.values())
            )
    return other


def _select_latest(records: Iterable[CrashRecord]) -> list[CrashRecord]:
    """Return requests, and the parts of the latest crashes; those of one prompt go together."""
    requests: list[LossRecord] = []
    parts: list[SuspectRecord] = []
    for record in records:
        match record:
            case LossRecord():
                requests.append(record)
            case SuspectRecord():
                parts.append(record)
    requests.sort(key=lambda record: record.weight, reverse=True)
    selected: list[CrashRecord] = [*requests[:MAX_EVIDENCE_REQUESTS]]
    count = 0
    for _, group in groupby(sorted(parts, key=_get_latest_s, reverse=True), key=_get_latest_s):
        crash = list(group)[:MAX_EVIDENCE_PARTS]
        count += len(crash)
        if count > MAX_EVIDENCE_PARTS:
            break
        selected += crash
    return selected


def _get_latest_s(record: SuspectRecord) -> float:
    return max((loss.lost_s for loss in record.losses), default=record.answered_s or 0.0)

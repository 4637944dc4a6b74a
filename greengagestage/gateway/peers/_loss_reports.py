"""Reports between hosts of answers that were lost under equal requests.

A single loss is told to all hosts at once. Besides, hosts tell others what has changed lately
whenever they tell of suspected prompt parts, so that hosts learn what they have missed. What is
older is in the store.
"""

from collections.abc import Iterable

from greengagestage.ids import Fingerprint, LossHash
from greengagestage.routing import LossRecord

from ._peer_messages import FingerprintEntry, LossesReport

MAX_RECORDS = 64
"""Maximum number of fingerprints told at a time, those with the most losses first."""

MAX_REPORT_BYTES = 1_200
ENTRY_BYTES = 45
HASH_BYTES = 9
"""Size of the entries of one datagram, and of one of them: its fingerprint and its hashes."""


def build_loss_reports(records: Iterable[LossRecord], now_s: float) -> list[LossesReport]:
    """Return reports of the records, each of which fits into a datagram."""
    reports: list[list[FingerprintEntry]] = []
    size = MAX_REPORT_BYTES
    for record in records:
        size += _measure(record)
        if size > MAX_REPORT_BYTES:
            reports.append([])
            size = _measure(record)
        reports[-1].append(_encode(record, now_s))
    return [LossesReport(entries) for entries in reports]


def read_loss_report(report: LossesReport, now_s: float) -> list[LossRecord]:
    """Return the records of a report, with times of this host's clock."""
    return [
        LossRecord(
            fingerprint=Fingerprint(entry.fingerprint),
            losses=frozenset(LossHash(loss) for loss in entry.losses),
            cleared=frozenset(LossHash(loss) for loss in entry.cleared),
            trials=frozenset(LossHash(loss) for loss in entry.trials if loss in entry.losses),
            last_s=now_s - max(entry.last_ms, 0) / 1_000,
        )
        for entry in report.entries
    ]


def _measure(record: LossRecord) -> int:
    hashes = len(record.losses) + len(record.cleared) + len(record.trials)
    return ENTRY_BYTES + HASH_BYTES * hashes


def _encode(record: LossRecord, now_s: float) -> FingerprintEntry:
    return FingerprintEntry(
        record.fingerprint,
        sorted(record.losses),
        round((now_s - record.last_s) * 1_000),
        sorted(record.cleared),
        sorted(record.trials),
    )

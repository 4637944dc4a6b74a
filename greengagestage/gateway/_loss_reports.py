"""Reports between hosts of answers that were lost under equal requests.

A single loss is told to all hosts at once. Besides, hosts tell others all that they know whenever
they tell of suspected prompt parts, so that hosts that start learn what they have missed.
"""

from collections.abc import Sequence

from greengagestage.ids import Fingerprint, LossHash
from greengagestage.routing import LossRecord

from ._peer_messages import FingerprintEntry, LossesReport

MAX_RECORDS = 64
"""Maximum number of fingerprints told at a time, those with the most losses first."""

MAX_ENTRIES_PER_REPORT = 16
"""Maximum number of fingerprints in one datagram; one takes up to 70 bytes."""


def build_loss_reports(records: Sequence[LossRecord], now_s: float) -> list[LossesReport]:
    """Return reports of the records, each of which fits into a datagram."""
    entries = [_encode(record, now_s) for record in records]
    return [
        LossesReport(entries[first : first + MAX_ENTRIES_PER_REPORT])
        for first in range(0, len(entries), MAX_ENTRIES_PER_REPORT)
    ]


def read_loss_report(report: LossesReport, now_s: float) -> list[LossRecord]:
    """Return the records of a report, with times of this host's clock."""
    return [
        LossRecord(
            fingerprint=Fingerprint(entry.fingerprint),
            losses=frozenset(LossHash(loss) for loss in entry.losses),
            last_s=now_s - max(entry.last_ms, 0) / 1_000,
        )
        for entry in report.entries
    ]


def _encode(record: LossRecord, now_s: float) -> FingerprintEntry:
    return FingerprintEntry(
        record.fingerprint, sorted(record.losses), round((now_s - record.last_s) * 1_000)
    )

"""Rows of the store's record of crashes, without network input or output.

What is, or was, quarantined has a row of its own. Whatever else is known, as a single crash under a
prompt, is in one row that all hosts share: the parts of a lost prompt are only blamed together, and
many crashes at once need no more rows than one.
"""

from collections.abc import Sequence
from dataclasses import dataclass
from enum import Enum

import msgspec
from msgspec import Struct

from greengagestage.decoding import Integer, convert_json
from greengagestage.ids import Fingerprint
from greengagestage.platform import RowsRead
from greengagestage.routing import LossRecord, SuspectRecord

from ..peers import (
    LossesReport,
    SuspectsReport,
    build_loss_reports,
    build_suspect_reports,
    read_loss_report,
    read_suspect_report,
)

CRASH_TABLE = "greengagestage-crashes"

EVIDENCE_KEY = "evidence"
"""Key of the row for what does not suffice for a quarantine."""

MAX_AGE_S = 10 * 365 * 86_400.0
"""Largest age of what a row says. Losses of equal requests do not expire."""

CrashRecord = LossRecord | SuspectRecord
"""What is known about one request, or one prompt part."""


class CrashRow(Struct, frozen=True, kw_only=True):
    """What is known about requests and prompt parts; ages count from ``written_ms``.

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


def build_key(record: CrashRecord) -> str:
    """Return the name of a request or a part, which is also the key of its own row."""
    match record:
        case LossRecord(fingerprint=fingerprint):
            return build_request_key(fingerprint)
        case SuspectRecord(part=part):
            return f"part-{part}"


def build_request_key(fingerprint: Fingerprint) -> str:
    """Return the name of equal requests."""
    return f"request-{fingerprint}"


def encode_row(
    records: Sequence[CrashRecord], *, era: int | None, store_s: float, now_s: float
) -> bytes:
    """Return the bytes of a row.

    Args:
        store_s: Time on the store's clock at this host's monotonic time ``now_s``.
    """
    losses = [each for each in records if isinstance(each, LossRecord)]
    suspects = [each for each in records if isinstance(each, SuspectRecord)]
    row = CrashRow(
        era=era,
        written_ms=round(store_s * 1_000),
        losses=LossesReport(
            [entry for report in build_loss_reports(losses, now_s) for entry in report.entries]
        ),
        suspects=SuspectsReport(
            [
                suspect
                for report in build_suspect_reports(suspects, now_s)
                for suspect in report.suspects
            ]
        ),
    )
    return msgspec.json.encode(row)


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
        _check_numbers(row)
        losses = read_loss_report(row.losses, now_s - age_s)
        suspects = read_suspect_report(row.suspects, now_s - age_s)
        fresh_losses = [each for each in losses if not each.is_expired(now_s)]
        fresh_suspects = [each for each in suspects if not each.is_expired(now_s)]
        if not fresh_losses and not fresh_suspects:
            return IgnoredRow.EXPIRED
        return KnownCrashes(is_current=is_current, losses=fresh_losses, suspects=fresh_suspects)

    return convert_json(value, CrashRow, convert).value_or(IgnoredRow.UNREADABLE)


def _check_numbers(row: CrashRow) -> None:
    """Raise ``ValueError`` for numbers that could not be told to other hosts."""
    entries, suspects = row.losses.entries, row.suspects.suspects
    crashes = [loss for suspect in suspects for loss in suspect.losses]
    hashes = [suspect.part for suspect in suspects] + [loss.crash for loss in crashes]
    hashes += [loss for entry in entries for loss in (*entry.losses, *entry.cleared, *entry.trials)]
    ages_ms = [entry.last_ms for entry in entries] + [
        suspect.answered_ms or 0 for suspect in suspects
    ]
    ages_ms += [age_ms for loss in crashes for age_ms in (loss.sent_ms, loss.lost_ms)]
    if any(not 0 <= each < 2**64 for each in hashes):
        raise ValueError("a hash does not have 64 bits")
    if any(abs(each) > MAX_AGE_S * 1_000 for each in ages_ms):
        raise ValueError("an age is out of range")

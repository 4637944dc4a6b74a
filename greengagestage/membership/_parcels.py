"""Records sorted by kind, as messages carry them."""

from collections.abc import Iterable
from dataclasses import dataclass

from greengagestage.wire import CrashRecord, HostRecord, QuarantineRecord, UpstreamMark

from ._records import Record

RECORDS_PER_MESSAGE = 256


@dataclass(frozen=True, slots=True, kw_only=True)
class RecordParcel:
    """Records by kind."""

    hosts: tuple[HostRecord, ...]
    marks: tuple[UpstreamMark, ...]
    crashes: tuple[CrashRecord, ...]
    quarantined: tuple[QuarantineRecord, ...]


def sort_records(records: Iterable[Record]) -> RecordParcel:
    """Sort records by kind."""
    listed = list(records)
    return RecordParcel(
        hosts=tuple(record for record in listed if isinstance(record, HostRecord)),
        marks=tuple(record for record in listed if isinstance(record, UpstreamMark)),
        crashes=tuple(record for record in listed if isinstance(record, CrashRecord)),
        quarantined=tuple(record for record in listed if isinstance(record, QuarantineRecord)),
    )

"""Groups records by kind, as the fields of messages carry them."""

from collections.abc import Iterable
from dataclasses import dataclass

from greengagestage.wire import CrashRecord, HostRecord, QuarantineRecord, UpstreamMark

from ._records import Record

RECORDS_PER_MESSAGE = 256


@dataclass(frozen=True, slots=True, kw_only=True)
class RecordGroups:
    """Records of one message, one field for each kind."""

    hosts: tuple[HostRecord, ...]
    marks: tuple[UpstreamMark, ...]
    crashes: tuple[CrashRecord, ...]
    quarantined: tuple[QuarantineRecord, ...]


def group_by_kind(records: Iterable[Record]) -> RecordGroups:
    """Group records by kind and keep their order."""
    listed = list(records)
    return RecordGroups(
        hosts=tuple(record for record in listed if isinstance(record, HostRecord)),
        marks=tuple(record for record in listed if isinstance(record, UpstreamMark)),
        crashes=tuple(record for record in listed if isinstance(record, CrashRecord)),
        quarantined=tuple(record for record in listed if isinstance(record, QuarantineRecord)),
    )

"""Rows of the table of software versions, and the conversion of their times.

Times of a row are on the store's clock, and those of a ``VersionRecord`` on the host's monotonic
clock. Both directions round to later times: a version then counts as listed for longer, and a
record as complete for a shorter time, than is true.
"""

from collections.abc import Iterable

import msgspec
from msgspec import UNSET, Struct, UnsetType

from greengagestage.decoding import convert_json
from greengagestage.ids import ServiceName, SoftwareVersion
from greengagestage.platform import ClockReading
from greengagestage.routing import VersionRecord

from ..peers import MAX_DATAGRAM_BYTES, VersionsReport, VersionTimes

MS_PER_S = 1_000.0

MAX_REPORT_BYTES = MAX_DATAGRAM_BYTES - 200
"""Limit for a report without its sender. Hosts read the row of a longer one in the store."""


class VersionsRow(Struct, frozen=True, kw_only=True):
    """The row of one service.

    Attributes:
        era: The store's era in which the row was written. In another one it proves nothing.
        since_ms: Time since which no listed version is missing.
        versions: When each version was last listed; None while it is.
        unstated_ms: The same for upstreams that do not state their version; unset without any.
    """

    era: int | None
    since_ms: int
    versions: dict[SoftwareVersion, int | None]
    unstated_ms: int | None | UnsetType = UNSET


def encode_row(record: VersionRecord, *, era: int | None, now_s: float, store_s: float) -> bytes:
    """Encode a record.

    Args:
        now_s: Current monotonic time.
        store_s: An upper bound of the store's clock at that time.
    """
    times = {each.version: each.last_listed_ms for each in _convert(record, now_s, store_s)}
    unstated_ms: int | None | UnsetType = times.pop(None, UNSET) if None in times else UNSET
    return msgspec.json.encode(
        VersionsRow(
            era=era,
            since_ms=_convert_time(record.complete_since_s, now_s, store_s),
            versions={version: ms for version, ms in times.items() if version is not None},
            unstated_ms=unstated_ms,
        )
    )


def decode_row(
    value: bytes, *, era: int | None, now_s: float, store_s: float
) -> VersionRecord | None:
    """Decode a row; None if it is unreadable or of another era.

    Args:
        now_s: Current monotonic time.
        store_s: A lower bound of the store's clock at that time.
    """

    def build_record(row: VersionsRow) -> VersionRecord | None:
        if row.era != era:
            return None
        times = [VersionTimes(version, last_ms) for version, last_ms in row.versions.items()]
        if row.unstated_ms is not UNSET:
            times.append(VersionTimes(None, row.unstated_ms))
        return _build_record(row.since_ms, times, now_s=now_s, store_s=store_s)

    return convert_json(value, VersionsRow, build_record).value_or(None)


def build_report(
    service: ServiceName, record: VersionRecord, clock: ClockReading, *, revision: int, now_s: float
) -> VersionsReport | None:
    """Return the report of a written row; None if it does not fit into a datagram."""
    report = VersionsReport(
        service,
        revision,
        clock.store_s,
        _convert_time(record.complete_since_s, now_s, clock.store_s),
        _convert(record, now_s, clock.store_s),
        clock.era,
    )
    return report if len(msgspec.msgpack.encode(report)) <= MAX_REPORT_BYTES else None


def read_report(report: VersionsReport, *, now_s: float) -> VersionRecord:
    """Return the record of a report that has just been received."""
    return _build_record(report.since_ms, report.versions, now_s=now_s, store_s=report.store_s)


def _convert(record: VersionRecord, now_s: float, store_s: float) -> list[VersionTimes]:
    return [
        VersionTimes(version, None if last_s is None else _convert_time(last_s, now_s, store_s))
        for version, last_s in record.last_listed_s.items()
    ]


def _convert_time(time_s: float, now_s: float, store_s: float) -> int:
    return round((store_s - (now_s - time_s)) * MS_PER_S)


def _build_record(
    since_ms: int, times: Iterable[VersionTimes], *, now_s: float, store_s: float
) -> VersionRecord:
    def convert(store_ms: int) -> float:
        return now_s - (store_s - store_ms / MS_PER_S)

    return VersionRecord(
        complete_since_s=convert(since_ms),
        last_listed_s={
            each.version: None if each.last_listed_ms is None else convert(each.last_listed_ms)
            for each in times
        },
    )

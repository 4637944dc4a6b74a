"""The replicated records that a host holds, with digests by bucket for anti-entropy."""

from collections.abc import Iterable, Iterator
from dataclasses import dataclass

from xxhash import xxh32_intdigest

from greengagestage.ids import HostId, UpstreamName
from greengagestage.wire import (
    HostRecord,
    QuarantineRecord,
    UpstreamMark,
)

from ._records import (
    Record,
    RecordKey,
    build_record_key,
    compute_record_digest,
    get_lifetime_s,
    supersedes,
)

BUCKET_COUNT = 32
MAX_RECORDS = 20_000


@dataclass(slots=True, kw_only=True)
class _Entry:
    record: Record
    changed_at_s: float
    digest: int
    bucket: int
    is_propagated: bool = True


class RecordTable:
    """The newest record of each key.

    A record past its lifetime is no longer sent to other hosts, but is kept for as long again, so
    that a copy that still circulates is recognized and not taken as new.

    Attributes:
        rejected_count: Records not taken because the table was full.
    """

    def __init__(self) -> None:
        self._entries: dict[RecordKey, _Entry] = {}
        self._digests = [0] * BUCKET_COUNT
        self.rejected_count = 0

    def merge(self, record: Record, now_s: float) -> bool:
        """Store a record if it supersedes the known one. Return whether it was stored."""
        key = build_record_key(record)
        known = self._entries.get(key)
        if known is None and len(self._entries) >= MAX_RECORDS:
            self.rejected_count += 1
            return False
        if known is not None and not supersedes(record, known.record):
            return False
        self._remove(key)
        bucket = xxh32_intdigest("\0".join(key).encode()) % BUCKET_COUNT
        entry = _Entry(
            record=record,
            changed_at_s=now_s,
            digest=compute_record_digest(record),
            bucket=bucket,
        )
        self._entries[key] = entry
        self._digests[bucket] ^= entry.digest
        return True

    def expire(self, now_s: float) -> None:
        """Stop sending records past their lifetime, and delete those past twice their lifetime."""
        for key, entry in list(self._entries.items()):
            age_s = now_s - entry.changed_at_s
            lifetime_s = get_lifetime_s(entry.record)
            if entry.is_propagated and age_s > lifetime_s:
                entry.is_propagated = False
                self._digests[entry.bucket] ^= entry.digest
            if age_s > 2 * lifetime_s:
                self._remove(key)

    @property
    def digests(self) -> tuple[int, ...]:
        """The digests of all buckets, over the records that are still sent to other hosts."""
        return tuple(self._digests)

    def find_host(self, host: HostId) -> HostRecord | None:
        """Return the record of a host, or None if the host is unknown."""
        entry = self._entries.get(("host", host))
        return entry.record if entry and isinstance(entry.record, HostRecord) else None

    def find_mark(self, upstream: UpstreamName) -> UpstreamMark | None:
        """Return the mark of an upstream, or None if it has none."""
        entry = self._entries.get(("upstream", upstream))
        return entry.record if entry and isinstance(entry.record, UpstreamMark) else None

    def is_quarantined(self, record: QuarantineRecord) -> bool:
        """Return whether the fingerprint of a record is quarantined."""
        return build_record_key(record) in self._entries

    def list_hosts(self) -> list[HostRecord]:
        """Return the records of all known hosts, including those that are gone."""
        return [record for record in self._iterate_records() if isinstance(record, HostRecord)]

    def list_marks(self) -> list[UpstreamMark]:
        """Return the marks of all upstreams that have one."""
        return [record for record in self._iterate_records() if isinstance(record, UpstreamMark)]

    def list_quarantined(self) -> list[QuarantineRecord]:
        """Return the records of all quarantined fingerprints."""
        return [
            record for record in self._iterate_records() if isinstance(record, QuarantineRecord)
        ]

    def list_buckets(self, buckets: Iterable[int]) -> list[Record]:
        """Return the records of the given buckets that are still sent to other hosts."""
        chosen = set(buckets)
        return [
            entry.record
            for entry in self._entries.values()
            if entry.bucket in chosen and entry.is_propagated
        ]

    def get_age_s(self, record: Record, now_s: float) -> float:
        """Return the time since the record of the same key last changed, 0 if there is none."""
        entry = self._entries.get(build_record_key(record))
        return now_s - entry.changed_at_s if entry else 0.0

    def _iterate_records(self) -> Iterator[Record]:
        return (entry.record for entry in self._entries.values())

    def _remove(self, key: RecordKey) -> None:
        entry = self._entries.pop(key, None)
        if entry is not None and entry.is_propagated:
            self._digests[entry.bucket] ^= entry.digest

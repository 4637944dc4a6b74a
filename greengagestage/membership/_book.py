"""All records of a host, with a digest of each bucket for comparison with other hosts."""

from collections.abc import Iterable, Iterator
from dataclasses import dataclass

from xxhash import xxh32_intdigest

from greengagestage.ids import HostId, UpstreamName
from greengagestage.wire import (
    HostRecord,
    QuarantineRecord,
    UpstreamMark,
)

from ._records import Key, Record, build_key, compute_record_digest, get_lifetime_s, supersedes

BUCKETS = 32
RECORDS_LIMIT = 20_000


@dataclass(slots=True, kw_only=True)
class _Entry:
    record: Record
    changed_at_s: float
    digest: int
    bucket: int
    is_passed_on: bool = True


class RecordTable:
    """The newest record about each thing.

    A record past its lifetime is no longer passed on, and is kept as long again, so that a copy
    of it that is still about counts as known.
    """

    def __init__(self) -> None:
        self._entries: dict[Key, _Entry] = {}
        self._digests = [0] * BUCKETS
        self.refused = 0

    def merge(self, record: Record, now_s: float) -> bool:
        """Take a record if it holds instead of the known one; tell whether it does."""
        key = build_key(record)
        known = self._entries.get(key)
        if known is None and len(self._entries) >= RECORDS_LIMIT:
            self.refused += 1
            return False
        if known is not None and not supersedes(record, known.record):
            return False
        self._remove(key)
        bucket = xxh32_intdigest("\0".join(key).encode()) % BUCKETS
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
        """Stop passing on what is past its lifetime, and forget what is twice as old."""
        for key, entry in list(self._entries.items()):
            age_s = now_s - entry.changed_at_s
            lifetime_s = get_lifetime_s(entry.record)
            if entry.is_passed_on and age_s > lifetime_s:
                entry.is_passed_on = False
                self._digests[entry.bucket] ^= entry.digest
            if age_s > 2 * lifetime_s:
                self._remove(key)

    @property
    def digests(self) -> tuple[int, ...]:
        """A digest of each bucket."""
        return tuple(self._digests)

    def find_host(self, host: HostId) -> HostRecord | None:
        """Return the record of a host."""
        entry = self._entries.get(("host", host))
        return entry.record if entry and isinstance(entry.record, HostRecord) else None

    def find_mark(self, upstream: UpstreamName) -> UpstreamMark | None:
        """Return the mark of an upstream."""
        entry = self._entries.get(("upstream", upstream))
        return entry.record if entry and isinstance(entry.record, UpstreamMark) else None

    def is_quarantined(self, record: QuarantineRecord) -> bool:
        """Tell whether a fingerprint is quarantined."""
        return build_key(record) in self._entries

    def list_hosts(self) -> list[HostRecord]:
        """Return the records of all hosts."""
        return [record for record in self._iterate() if isinstance(record, HostRecord)]

    def list_marks(self) -> list[UpstreamMark]:
        """Return the marks of all upstreams."""
        return [record for record in self._iterate() if isinstance(record, UpstreamMark)]

    def list_quarantined(self) -> list[QuarantineRecord]:
        """Return all quarantined fingerprints."""
        return [record for record in self._iterate() if isinstance(record, QuarantineRecord)]

    def list_buckets(self, buckets: Iterable[int]) -> list[Record]:
        """Return the records of some buckets that are passed on."""
        chosen = set(buckets)
        return [
            entry.record
            for entry in self._entries.values()
            if entry.bucket in chosen and entry.is_passed_on
        ]

    def get_age_s(self, record: Record, now_s: float) -> float:
        """Return the time since the record about the same thing last changed."""
        entry = self._entries.get(build_key(record))
        return now_s - entry.changed_at_s if entry else 0.0

    def _iterate(self) -> Iterator[Record]:
        return (entry.record for entry in self._entries.values())

    def _remove(self, key: Key) -> None:
        entry = self._entries.pop(key, None)
        if entry is not None and entry.is_passed_on:
            self._digests[entry.bucket] ^= entry.digest

"""Replicated records: their keys, lifetimes and digests, and which of two versions wins."""

import msgspec
from xxhash import xxh32_intdigest

from greengagestage.wire import (
    CrashRecord,
    HostRecord,
    MemberState,
    QuarantineRecord,
    UpstreamMark,
)

Record = HostRecord | UpstreamMark | CrashRecord | QuarantineRecord
RecordKey = tuple[str, ...]

GONE_HOST_LIFETIME_S = 24 * 3600.0
CRASH_LIFETIME_S = 60.0
QUARANTINE_LIFETIME_S = 24 * 3600.0
UNLIMITED_LIFETIME_S = float("inf")

_ENCODER = msgspec.msgpack.Encoder()


def build_record_key(record: Record) -> RecordKey:
    """Return the key of a record; records about the same subject have the same key."""
    match record:
        case HostRecord(host=host):
            return ("host", host)
        case UpstreamMark(upstream=upstream):
            return ("upstream", upstream)
        case CrashRecord(fingerprint=fingerprint, host=host, number=number):
            return ("crash", fingerprint, host, str(number))
        case QuarantineRecord(fingerprint=fingerprint):
            return ("quarantine", fingerprint)


def supersedes(new: Record, old: Record) -> bool:
    """Return whether a record replaces another one of the same key.

    The order is total over the contents of the records, so that all hosts converge to the same
    records in whatever order they receive them.
    """
    match new, old:
        case HostRecord(), HostRecord():
            return _build_host_sort_key(new) > _build_host_sort_key(old)
        case UpstreamMark(), UpstreamMark():
            return (new.sequence, new.leaving) > (old.sequence, old.leaving)
    return False


def get_lifetime_s(record: Record) -> float:
    """Return how long a record is sent to other hosts after its last change."""
    match record:
        case HostRecord(state=MemberState.GONE):
            return GONE_HOST_LIFETIME_S
        case CrashRecord():
            return CRASH_LIFETIME_S
        case QuarantineRecord():
            return QUARANTINE_LIFETIME_S
    return UNLIMITED_LIFETIME_S


def compute_record_digest(record: Record) -> int:
    """Return a digest of the contents of a record."""
    return xxh32_intdigest(_ENCODER.encode(record))


def _build_host_sort_key(record: HostRecord) -> tuple[int, int, int, str, str]:
    return (
        record.incarnation,
        record.sequence,
        record.state,
        record.address,
        record.failure_domain,
    )

"""Records that last, and which of two records about the same thing holds."""

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
Key = tuple[str, ...]

GONE_HOST_LIFETIME_S = 24 * 3600.0
CRASH_LIFETIME_S = 60.0
QUARANTINE_LIFETIME_S = 24 * 3600.0
UNLIMITED_S = float("inf")

_ENCODER = msgspec.msgpack.Encoder()


def build_key(record: Record) -> Key:
    """Return what a record is about."""
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
    """Tell whether a record holds instead of another about the same thing.

    The order is total on what the records say, so that all hosts end with the same ones
    whatever the order in which they hear them.
    """
    match new, old:
        case HostRecord(), HostRecord():
            return _order_host(new) > _order_host(old)
        case UpstreamMark(), UpstreamMark():
            return (new.sequence, new.leaving) > (old.sequence, old.leaving)
    return False


def get_lifetime_s(record: Record) -> float:
    """Return how long a record is passed on after its last change."""
    match record:
        case HostRecord(state=MemberState.GONE):
            return GONE_HOST_LIFETIME_S
        case CrashRecord():
            return CRASH_LIFETIME_S
        case QuarantineRecord():
            return QUARANTINE_LIFETIME_S
    return UNLIMITED_S


def compute_record_digest(record: Record) -> int:
    """Return a digest of what a record says."""
    return xxh32_intdigest(_ENCODER.encode(record))


def _order_host(record: HostRecord) -> tuple[int, int, int, str, str]:
    return (
        record.incarnation,
        record.sequence,
        record.state,
        record.address,
        record.failure_domain,
    )

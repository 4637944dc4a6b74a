"""Messages between the agents of different hosts. Compact: encoded as arrays."""

from enum import IntEnum

from msgspec import Struct

from greengagestage.configuration import Head
from greengagestage.ids import (
    ConfigurationVersion,
    FailureDomain,
    Fingerprint,
    HostId,
    PoolName,
    UpstreamName,
)


class MemberState(IntEnum):
    """The lifecycle state of a host. At equal (incarnation, sequence) the higher value wins."""

    LIVE = 0
    SUSPECT = 1
    LEAVING = 2
    GONE = 3


class HostRecord(Struct, frozen=True, kw_only=True, array_like=True):
    """A host as the fleet knows it.

    ``incarnation`` increases with each start of the agent, ``sequence`` with each change that the
    host itself makes. Only the host itself increases either, so that an outdated record cannot
    override it.
    """

    host: HostId
    incarnation: int
    sequence: int
    state: MemberState
    address: str
    failure_domain: FailureDomain


class UpstreamMark(Struct, frozen=True, kw_only=True, array_like=True):
    """Whether an upstream is leaving. The higher ``sequence`` wins, then ``leaving``."""

    upstream: UpstreamName
    sequence: int
    leaving: bool


class CrashRecord(Struct, frozen=True, kw_only=True, array_like=True):
    """An upstream was lost while it ran a fingerprint for a host, which assigned ``number``."""

    fingerprint: Fingerprint
    upstream: UpstreamName
    host: HostId
    number: int


class QuarantineRecord(Struct, frozen=True, kw_only=True, array_like=True):
    """A fingerprint that must not run again."""

    fingerprint: Fingerprint


class LoadRecord(Struct, frozen=True, kw_only=True, array_like=True):
    """The load of an engine, ``age_ms`` before the message was sent."""

    upstream: UpstreamName
    running: int
    waiting: int
    age_ms: int


class HostReport(Struct, frozen=True, kw_only=True, array_like=True):
    """Demand and requests in flight of a host; the highest (incarnation, sequence) wins.

    ``demand`` is weighted by class, in tenths of a request of the highest class.
    """

    host: HostId
    incarnation: int
    sequence: int
    version: ConfigurationVersion
    demand: dict[PoolName, int]
    in_flight: dict[UpstreamName, int]


class Gossip(Struct, frozen=True, kw_only=True, array_like=True, tag="g"):
    """Sent to each neighbour at intervals and when records change.

    The first fields are a heartbeat: the sender's incarnation and sequence, and the version in
    force there. ``watched`` tells the receiver to expect further heartbeats.
    """

    incarnation: int
    sequence: int
    version: ConfigurationVersion
    watched: bool = True
    hosts: tuple[HostRecord, ...] = ()
    marks: tuple[UpstreamMark, ...] = ()
    crashes: tuple[CrashRecord, ...] = ()
    quarantined: tuple[QuarantineRecord, ...] = ()
    loads: tuple[LoadRecord, ...] = ()
    reports: tuple[HostReport, ...] = ()


class SyncRequest(Struct, frozen=True, kw_only=True, array_like=True, tag="s"):
    """Starts a comparison of all records: the sender's own record and a digest of each bucket."""

    record: HostRecord
    version: ConfigurationVersion
    digests: tuple[int, ...]


class SyncRecords(Struct, frozen=True, kw_only=True, array_like=True, tag="r"):
    """The sender's records of the buckets that differ.

    ``wanted`` lists the buckets whose records the sender requests in return.
    """

    record: HostRecord
    version: ConfigurationVersion
    wanted: tuple[int, ...] = ()
    hosts: tuple[HostRecord, ...] = ()
    marks: tuple[UpstreamMark, ...] = ()
    crashes: tuple[CrashRecord, ...] = ()
    quarantined: tuple[QuarantineRecord, ...] = ()


class DocumentRequest(Struct, frozen=True, kw_only=True, array_like=True, tag="d"):
    """Requests the document of the version in force, if it is at least ``version``."""

    version: ConfigurationVersion
    address: str


class DocumentAnswer(Struct, frozen=True, kw_only=True, array_like=True, tag="D"):
    """A version and its document, compressed with zlib."""

    head: Head
    compressed: bytes


class QueryRequest(Struct, frozen=True, kw_only=True, array_like=True, tag="q"):
    """Requests a host's rows of an operator's query."""

    query: int
    text: str
    address: str


class QueryAnswer(Struct, frozen=True, kw_only=True, array_like=True, tag="Q"):
    """A host's rows, as JSON. ``truncated`` is set if not all rows fit."""

    query: int
    rows: bytes
    truncated: bool = False


PeerMessage = (
    Gossip
    | SyncRequest
    | SyncRecords
    | DocumentRequest
    | DocumentAnswer
    | QueryRequest
    | QueryAnswer
)
"""Any message that an agent sends to the agent of another host."""

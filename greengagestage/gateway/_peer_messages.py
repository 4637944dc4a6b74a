"""Datagrams between hosts."""

import msgspec
from msgspec import Struct

from greengagestage.catalog import RegisteredUpstream
from greengagestage.ids import FailureDomain, Fingerprint, HostId, InstanceId, ServiceName

MAX_DATAGRAM_BYTES = 1_400
"""Larger datagrams would be sent in pieces, and lost with any of them."""

PROTOCOL_VERSION = 2


class Sender(Struct, frozen=True, array_like=True):
    """Who sent a message.

    Attributes:
        incarnation: Start of the process; a later one replaces an earlier one.
        sequence: Grows with each round of messages of one incarnation.
    """

    version: int
    host: HostId
    incarnation: int
    sequence: int


class LoadEntry(Struct, frozen=True, array_like=True):
    """Work at one upstream, of one host or of several.

    Attributes:
        upstream: Hash of the upstream's instance id, which is longer.
        gap_weight_ms: Usual pause between events, times the requests.
        stalled: Hosts whose requests there have been silent for too long.
    """

    upstream: int
    prefill_ms: int
    sensitive: int
    tolerant: int
    kilotokens: int
    gap_weight_ms: int = 0
    stalled: int = 0


class DemandEntry(Struct, frozen=True, array_like=True):
    """Engine milliseconds a second that callers bring to one service."""

    service: ServiceName
    sensitive_ms: int
    tolerant_ms: int


class Work(Struct, frozen=True, array_like=True):
    """All work of one host or of several; what is not named has none."""

    loads: list[LoadEntry] = []
    demands: list[DemandEntry] = []


class LoadReport(Struct, frozen=True, array_like=True, tag="load"):
    """The sender's own work, for the hub of its failure domain."""

    domain: FailureDomain
    work: Work


class DomainReport(Struct, frozen=True, array_like=True, tag="domain"):
    """The work of all hosts that report to the sender, itself included, for other hubs."""

    domain: FailureDomain
    hosts: int
    work: Work


class TotalsReport(Struct, frozen=True, array_like=True, tag="totals"):
    """The work of all hosts, for one that reports to the sender.

    Attributes:
        included: Sequence of the receiver's own report that is part of the sum.
        rank: The receiver's place among all hosts.
        hosts: Number of hosts in the sum.
    """

    included: int
    rank: int
    hosts: int
    work: Work


class StrikeReport(Struct, frozen=True, array_like=True, tag="strike"):
    """The sender lost an upstream while it ran a request.

    Attributes:
        strike: Names the loss, since the report is sent more than once.
    """

    fingerprint: Fingerprint
    strike: str


class RegistryNews(Struct, frozen=True, array_like=True, tag="registry"):
    """What a host that has read the registry of upstreams tells.

    Attributes:
        digest: Hash of what the registry says, equal on hosts that know the same.
        revision: The store's revision as of the read.
        before: Hash of what it said before the entries below changed; None where they are not
            told.
        listed: Entries that are new or have changed.
        dropped: Entries that are gone.
    """

    digest: int
    revision: int
    before: int | None = None
    listed: list[RegisteredUpstream] = []
    dropped: list[InstanceId] = []


class ConfigurationReport(Struct, frozen=True, array_like=True, tag="configuration"):
    """The store has just confirmed the configuration that the sender uses.

    Attributes:
        revision: Revision of the configuration's row.
        store_s: The store's clock at that moment.
    """

    revision: int
    store_s: float


WorkReport = LoadReport | DomainReport | TotalsReport
PeerBody = WorkReport | StrikeReport | RegistryNews | ConfigurationReport


class PeerMessage(Struct, frozen=True, array_like=True):
    """A datagram."""

    sender: Sender
    body: PeerBody


_DECODER = msgspec.msgpack.Decoder(PeerMessage)
_ENCODER = msgspec.msgpack.Encoder()


def encode_message(message: PeerMessage) -> bytes:
    """Return a message as a datagram."""
    return _ENCODER.encode(message)


def decode_message(data: bytes) -> PeerMessage | None:
    """Return a datagram's message; None where it cannot be read or has another version."""
    if len(data) > MAX_DATAGRAM_BYTES:
        return None
    try:
        message = _DECODER.decode(data)
    except msgspec.DecodeError:
        return None
    return message if message.sender.version == PROTOCOL_VERSION else None

"""Datagrams between hosts."""

import msgspec
from msgspec import Struct

from greengagestage.catalog import RegisteredUpstream
from greengagestage.ids import Fingerprint, HostId, InstanceId, ServiceName

MAX_DATAGRAM_BYTES = 1_400
"""Larger datagrams would be sent in pieces, and lost with any of them."""

PROTOCOL_VERSION = 1


class Sender(Struct, frozen=True, array_like=True):
    """Who sent a message.

    Attributes:
        incarnation: Start of the process; a later one replaces an earlier one.
        sequence: Grows with each message of one incarnation.
    """

    version: int
    host: HostId
    incarnation: int
    sequence: int


class LoadEntry(Struct, frozen=True, array_like=True):
    """The sender's work at one upstream."""

    instance: InstanceId
    prefill_ms: int
    sensitive: int
    tolerant: int
    kilotokens: int
    gap_ms: int = 0
    stalled: bool = False


class DemandEntry(Struct, frozen=True, array_like=True):
    """Engine milliseconds a second that the sender's callers bring to one service."""

    service: ServiceName
    sensitive_ms: int
    tolerant_ms: int


class LoadReport(Struct, frozen=True, array_like=True, tag="load"):
    """All work of the sender; upstreams and services that are not named have none of it."""

    sender: Sender
    loads: list[LoadEntry]
    demands: list[DemandEntry] = []


class StrikeReport(Struct, frozen=True, array_like=True, tag="strike"):
    """The sender lost an upstream while it ran a request.

    Attributes:
        strike: Names the loss, since the report is sent more than once.
    """

    sender: Sender
    fingerprint: Fingerprint
    strike: str


class RegistryNews(Struct, frozen=True, array_like=True):
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


class RegistryReport(Struct, frozen=True, array_like=True, tag="registry"):
    """The sender has just read the registry of upstreams."""

    sender: Sender
    news: RegistryNews


class ConfigurationReport(Struct, frozen=True, array_like=True, tag="configuration"):
    """The store has just confirmed the configuration that the sender uses.

    Attributes:
        revision: Revision of the configuration's row.
        store_s: The store's clock at that moment.
    """

    sender: Sender
    revision: int
    store_s: float


PeerMessage = LoadReport | StrikeReport | RegistryReport | ConfigurationReport

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
        message: PeerMessage = _DECODER.decode(data)
    except msgspec.DecodeError:
        return None
    return message if message.sender.version == PROTOCOL_VERSION else None

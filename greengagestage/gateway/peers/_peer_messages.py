"""Messages that hosts send to each other as datagrams."""

from enum import Enum

import msgspec
from msgspec import Struct

from greengagestage.catalog import RegisteredUpstream
from greengagestage.decoding import DECODE_ERRORS
from greengagestage.duties import DutyReport, UsageReceipt, UsageReport
from greengagestage.ids import (
    FailureDomain,
    Fingerprint,
    HostId,
    InstanceId,
    ServiceName,
    SoftwareVersion,
)

MAX_DATAGRAM_BYTES = 1_400
"""Larger datagrams would be fragmented, and lost if any fragment is lost."""

PROTOCOL_VERSION = 3
"""Raised also with the fields that the registry's digest covers: hosts whose digests always differ
would make each other read the registry with every report."""


class Sender(Struct, frozen=True, array_like=True):
    """The host and process that sent a message.

    Attributes:
        version: Version of this protocol.
        incarnation: Start of the process in Unix milliseconds; a later one replaces an earlier one.
        sequence: Number that grows with each broadcast and each round of load reports of one
            incarnation. Messages to several hosts in one of these share it.
    """

    version: int
    host: HostId
    incarnation: int
    sequence: int


class LoadEntry(Struct, frozen=True, array_like=True):
    """Load that one or several hosts have placed on an upstream.

    Attributes:
        upstream: Hash of the upstream's instance id, to save space.
        prefill_ms: Outstanding prompt processing time.
        sensitive: Number of requests whose events must not be delayed by long prompts.
        tolerant: Number of all other requests.
        kilotokens: Thousands of tokens that the requests occupy.
        gap_weight_ms: Usual time between events multiplied by the number of requests, so that it
            can be summed.
        stalled: Number of hosts whose requests at the upstream have been silent for too long.
        tolerant_prefill_cs: The part of the prompt processing time that is of tolerant requests, in
            hundredths of a second.
    """

    upstream: int
    prefill_ms: int
    sensitive: int
    tolerant: int
    kilotokens: int
    gap_weight_ms: int = 0
    stalled: int = 0
    tolerant_prefill_cs: int = 0


class RouteEntry(Struct, frozen=True, array_like=True):
    """Recent traffic of one route, as sums over some seconds.

    Attributes:
        route: Hash of the route's name, to save space.
        prompts: Number of prompts.
        whole_prefill_ms: Time to prefill them without any cached tokens.
        prefill_ms: Prefill time of the tokens that no other request shares.
        prefill_squares_ms_s: Squares of these times, in milliseconds times seconds.
        streams: Number of completed streams.
        stream_ms: Duration of these.
    """

    route: int
    prompts: int
    whole_prefill_ms: int
    prefill_ms: int
    prefill_squares_ms_s: int
    streams: int
    stream_ms: int


class UrgencyEntry(Struct, frozen=True, array_like=True):
    """Requests of one urgency; numbers are in tenths, so that rounding does not lose them.

    Attributes:
        urgency: Rank among all requests; 0 is the most urgent.
        arrivals: Requests that arrived within about a second.
        size: Sum of their sizes, in hundreds of tokens.
        overdue: Requests that wait for much longer than their target, or found no room.
        waiting: Requests that wait on hosts.
        placed: Requests that were placed within about a second.
    """

    urgency: int
    arrivals: int
    size: int
    overdue: int
    waiting: int
    placed: int


class DemandEntry(Struct, frozen=True, array_like=True):
    """Callers' demand for one service, and samples of the speed of its engines.

    Attributes:
        sensitive_ms: Work of latency-sensitive streams in engine milliseconds per second.
        tolerant_ms: Work of all other requests.
        routes: Recent traffic by route.
        prefill: The sums of ``PrefillSamples`` in the order of its fields; empty without samples.
        urgencies: Recent requests by urgency.
    """

    service: ServiceName
    sensitive_ms: int
    tolerant_ms: int
    routes: list[RouteEntry] = []
    prefill: list[int] = []
    urgencies: list[UrgencyEntry] = []


class Work(Struct, frozen=True, array_like=True):
    """Load and demand of one or several hosts; what is not listed is zero.

    Attributes:
        further_parts: Number of ``LoadsReport`` messages that follow with the loads of further
            upstreams.
    """

    loads: list[LoadEntry] = []
    demands: list[DemandEntry] = []
    further_parts: int = 0


class LoadReport(Struct, frozen=True, array_like=True, tag="load"):
    """The sender's own work, sent to the hub of its failure domain.

    It is also sent to newly learnt hosts of all domains, to announce the sender, and at intervals
    to unresponsive hosts of its domain that would be the hub, to find out whether they are back.
    """

    domain: FailureDomain
    work: Work


class DomainReport(Struct, frozen=True, array_like=True, tag="domain"):
    """The summed work of the sender's failure domain, sent by its hub to other hubs.

    Attributes:
        hosts: Number of hosts in the sum, including the sender.
    """

    domain: FailureDomain
    hosts: int
    work: Work


class TotalsReport(Struct, frozen=True, array_like=True, tag="totals"):
    """The summed work of all hosts, sent by a hub to a host that reports to it.

    Attributes:
        included: Sequence of the receiver's own report that the sum includes.
        rank: The receiver's position among all hosts.
        hosts: Number of hosts in the sum.
    """

    included: int
    rank: int
    hosts: int
    work: Work


class LoadsReport(Struct, frozen=True, array_like=True, tag="loads"):
    """Loads of upstreams that did not fit into the sender's report to the same host.

    Attributes:
        report: Sequence of that report.
    """

    report: int
    loads: list[LoadEntry]


class LossReport(Struct, frozen=True, array_like=True, tag="strike"):
    """Reports that the answer to a request of the sender was lost.

    The connection to the upstream ended before the answer was complete.

    Attributes:
        fingerprint: Fingerprint of the request.
        strike: Unique id of the loss, since the report is sent more than once.
    """

    fingerprint: Fingerprint
    strike: str


class FingerprintEntry(Struct, frozen=True, array_like=True):
    """The answers that were lost under equal requests.

    Attributes:
        losses: Hashes of their ids.
        last_ms: Time since the latest loss.
        cleared: Hashes of the ids of those that an answer to an equal request has cleared since.
        trials: Those of the losses that are trials.
    """

    fingerprint: str
    losses: list[int]
    last_ms: int
    cleared: list[int] = []
    trials: list[int] = []


class LossesReport(Struct, frozen=True, array_like=True, tag="losses"):
    """Reports all that the sender knows about answers lost under equal requests."""

    entries: list[FingerprintEntry]


class EarlyLoss(Struct, frozen=True, array_like=True):
    """An answer that was lost, of which it is not known yet whether a crash is the cause.

    Attributes:
        address: Address of the upstream, and ``port`` its port.
        sent_ms: Time since the request was sent.
        lost_ms: Time since the answer was lost.
    """

    fingerprint: str
    address: str
    port: int
    sent_ms: int
    lost_ms: int


class EarlyLossesReport(Struct, frozen=True, array_like=True, tag="early-losses"):
    """Reports answers that the sender has just lost; hosts of earlier builds ignore it."""

    losses: list[EarlyLoss]


class LossEntry(Struct, frozen=True, array_like=True):
    """The loss of an answer to a prompt in a crash of its upstream.

    Attributes:
        crash: Hash of the upstream's incarnation.
        sent_ms: Time since the request was sent.
        lost_ms: Time since the answer was lost.
    """

    crash: int
    sent_ms: int
    lost_ms: int


class SuspectEntry(Struct, frozen=True, array_like=True):
    """What a host knows about a part of prompts that is suspected of crashing upstreams.

    Attributes:
        part: Hash of the part's id.
        answered_ms: Time since the latest answer to a prompt with the part; None without any.
        losses: One loss for each crash since then.
    """

    part: int
    answered_ms: int | None
    losses: list[LossEntry]


class SuspectsReport(Struct, frozen=True, array_like=True, tag="suspects"):
    """Reports parts of prompts that are, or were, suspected of crashing upstreams."""

    suspects: list[SuspectEntry]


class LimitReport(Struct, frozen=True, array_like=True, tag="limit"):
    """Reports the rate of requests that an upstream takes from all hosts together.

    Attributes:
        instance: The upstream; together with ``started_ms`` its incarnation.
        per_s: Requests per second; None if the upstream names no rate any more.
    """

    instance: InstanceId
    started_ms: int | None
    per_s: float | None


class RejectionReport(Struct, frozen=True, array_like=True, tag="rejection"):
    """Reports that a brittle upstream has turned a request of the sender away.

    Attributes:
        instance: The upstream; together with ``started_ms`` its incarnation.
        allowance: Requests a second that it can turn away before it falls over.
    """

    instance: InstanceId
    started_ms: int | None
    allowance: int


class RegistryReport(Struct, frozen=True, array_like=True, tag="registry"):
    """Reports what the sender has read in the registry of upstreams.

    Attributes:
        digest: Hash of the entries after the changes below. It covers the fields by which hosts
            compare their copies; see ``hash_registry``.
        revision: The store's revision at the time of the read.
        before: The same hash before the changes below; None if the report contains no changes.
        listed: Entries that are new, or changed in one of the compared fields.
        dropped: Entries that were removed.
        era: The store's era at the time of the read; None if the store does not state it.
        is_complete: Whether an entry that is missing is gone, as far as the sender knows: neither
            an outage nor the start of the sender lies just before the read.
    """

    digest: int
    revision: int
    before: int | None = None
    listed: list[RegisteredUpstream] = []
    dropped: list[InstanceId] = []
    era: int | None = None
    is_complete: bool = False


class ConfigurationReport(Struct, frozen=True, array_like=True, tag="configuration"):
    """Reports which configuration the sender has just seen in the store.

    Attributes:
        revision: Revision of the configuration's row.
        store_s: The store's clock at that time, in seconds.
        era: The store's era at that time; None if the store does not state it.
        version: The newest version that the sender knows, which the store may have lost.
        confirms: Whether the sender took this as proof that its version is the newest.
    """

    revision: int
    store_s: float
    era: int | None = None
    version: int = -1
    confirms: bool = True


class RelaySource(Enum):
    """Who sends a report of streams, from which follows to whom it is passed on.

    Attributes:
        DOMAIN_HOST: A host to its hub, which tells its other hosts and the remote hubs.
        REMOTE_HUB: The hub of another domain to this one, which tells its hosts.
        OWN_HUB: A hub to a host of its domain.
    """

    DOMAIN_HOST = 0
    REMOTE_HUB = 1
    OWN_HUB = 2


class VersionStreams(Struct, frozen=True, array_like=True):
    """Streams that one software version has begun.

    Attributes:
        streams: Hashes of the ids of the callers' attempts that brought the first events.
    """

    version: SoftwareVersion | None
    streams: list[int]


class StreamsReport(Struct, frozen=True, array_like=True, tag="streams"):
    """Reports which software versions have begun new streams."""

    source: RelaySource
    versions: list[VersionStreams]


class VersionTimes(Struct, frozen=True, array_like=True):
    """A software version, and when an upstream of it was last listed.

    Attributes:
        version: None for upstreams that do not state their version.
        last_listed_ms: On the store's clock; None while one is listed.
    """

    version: SoftwareVersion | None
    last_listed_ms: int | None


class VersionsReport(Struct, frozen=True, array_like=True, tag="versions"):
    """Reports the row of a service's software versions that the sender has written to the store.

    Attributes:
        revision: Revision of the row.
        store_s: The store's clock after the write, in seconds.
        since_ms: Time on the store's clock since which no listed version is missing.
        era: The store's era at that time; None if the store does not state it.
    """

    service: ServiceName
    revision: int
    store_s: float
    since_ms: int
    versions: list[VersionTimes]
    era: int | None = None


WorkReport = LoadReport | DomainReport | TotalsReport
PeerBody = (
    WorkReport
    | LoadsReport
    | LossReport
    | LossesReport
    | EarlyLossesReport
    | SuspectsReport
    | LimitReport
    | RejectionReport
    | RegistryReport
    | ConfigurationReport
    | StreamsReport
    | VersionsReport
    | DutyReport
    | UsageReport
    | UsageReceipt
)


class PeerMessage(Struct, frozen=True, array_like=True):
    """A message with its sender; encoded as one datagram."""

    sender: Sender
    body: PeerBody


_DECODER = msgspec.msgpack.Decoder(PeerMessage)
_ENCODER = msgspec.msgpack.Encoder()


def encode_message(message: PeerMessage) -> bytes:
    """Encode a message as a datagram."""
    return _ENCODER.encode(message)


def decode_message(data: bytes) -> PeerMessage | None:
    """Decode a datagram; return None if it is malformed, too large, or of another version."""
    if len(data) > MAX_DATAGRAM_BYTES:
        return None
    try:
        message = _DECODER.decode(data)
    except DECODE_ERRORS:
        return None
    return message if message.sender.version == PROTOCOL_VERSION else None

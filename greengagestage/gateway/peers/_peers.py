"""The link to the other hosts: exchanges load reports, and broadcasts what one host has learnt."""

from collections.abc import Callable, Iterable, Mapping, Sequence
from dataclasses import dataclass
from typing import Any

from eliot import log_message
from twisted.internet.protocol import DatagramProtocol

from greengagestage.duties import DutyBody, DutyReport, UsageReceipt, UsageReport
from greengagestage.ids import FailureDomain, Fingerprint, HostId, Incarnation, InstanceId
from greengagestage.routing import LossRecord, ObservedLoss, StreamRecord, SuspectRecord

from .._loops import RepeatingTask
from ._early_losses import EarlyLossReporter, read_early_losses
from ._load_exchange import LoadExchange
from ._loss_reports import build_loss_reports, read_loss_report
from ._peer_messages import (
    PROTOCOL_VERSION,
    ConfigurationReport,
    DomainReport,
    EarlyLossesReport,
    LimitReport,
    LoadReport,
    LoadsReport,
    LossesReport,
    LossReport,
    PeerBody,
    PeerMessage,
    RegistryReport,
    RejectionReport,
    Sender,
    StreamsReport,
    SuspectsReport,
    TotalsReport,
    VersionsReport,
    Work,
    decode_message,
    encode_message,
)
from ._stream_relay import StreamRelay
from ._suspect_reports import SuspectGossip, build_suspect_reports, read_suspect_report
from ._work_codec import Demands, Loads, build_work, read_work
from ._work_sums import add_work

SENDS_PER_REPORT = 2
"""How many times a loss, or a change of a suspicion, of an upstream's rate or of the configuration
is broadcast, since datagrams can be lost."""


@dataclass(slots=True, kw_only=True)
class Peer:
    """Another host, with the incarnation and sequence of its newest message."""

    address: tuple[str, int]
    incarnation: int = 0
    sequence: int = 0


@dataclass(frozen=True, slots=True, kw_only=True)
class PeerCallbacks:
    """Callbacks that supply this host's state and handle the reports of peers.

    Attributes:
        measure_local_loads: Returns this host's load at each upstream, at a time in seconds.
        measure_local_demand: Returns the demand of this host's callers, at a time in seconds.
        list_upstreams: Returns the upstreams known to this host.
        on_work: Handles the load and demand of all other hosts.
        on_loss: Handles the fingerprint of a request whose answer was lost, and the id of the
            loss.
        list_losses: Returns the losses under equal requests, those with the most first, at a time
            in seconds.
        on_losses: Handles what another host knows about such losses.
        on_early_losses: Handles answers that another host has just lost, before they are judged.
        list_suspects: Returns the prompt parts that are suspected of crashing upstreams, those with
            the most evidence first, at a time in seconds.
        on_suspects: Handles what another host knows about such parts; returns what contradicts it.
        on_limit: Handles the requests per second that an upstream takes from all hosts; None if it
            names none any more.
        on_rejection: Handles that a brittle upstream has turned a request away, with the number
            that it bears in a second.
        on_registry: Handles a report about the registry of upstreams.
        on_configuration: Handles a report about the configuration in the store.
        take_streams: Returns the streams, begun at this host, to tell the others of at a time in
            seconds.
        on_streams: Handles the streams that other hosts have begun.
        on_versions: Handles a report about a service's software versions in the store.
        on_peers: Handles the addresses of all known hosts, after a change.
        on_duty: Handles a message about duties of a host's process, which is given by its start in
            Unix milliseconds.
    """

    measure_local_loads: Callable[[float], Loads]
    measure_local_demand: Callable[[float], Demands]
    list_upstreams: Callable[[], Iterable[InstanceId]]
    on_work: Callable[[Loads, Demands], None]
    on_loss: Callable[[Fingerprint, str], None]
    list_losses: Callable[[float], Sequence[LossRecord]]
    on_losses: Callable[[Sequence[LossRecord]], None]
    list_suspects: Callable[[float], Sequence[SuspectRecord]]
    on_suspects: Callable[[Sequence[SuspectRecord]], Sequence[SuspectRecord]]
    on_limit: Callable[[Incarnation, float | None], None]
    on_rejection: Callable[[Incarnation, int], None]
    on_registry: Callable[[RegistryReport], None]
    on_configuration: Callable[[ConfigurationReport], None]
    take_streams: Callable[[float], Sequence[StreamRecord]]
    on_streams: Callable[[Sequence[StreamRecord]], None]
    on_versions: Callable[[VersionsReport], None]
    on_peers: Callable[[Mapping[HostId, str]], None]
    on_early_losses: Callable[[Iterable[ObservedLoss]], None] = lambda losses: None
    on_duty: Callable[[HostId, int, DutyBody], None] = lambda host, started_ms, body: None


class PeerLink(DatagramProtocol):
    """Sends this host's reports and processes those of the other hosts."""

    transport: Any

    def __init__(
        self,
        *,
        reactor: Any,
        host: HostId,
        domain: FailureDomain,
        incarnation: int,
        port: int,
        callbacks: PeerCallbacks,
        draw: Callable[[], float],
    ) -> None:
        self._reactor = reactor
        self._host = host
        self._incarnation = incarnation
        self._port = port
        self._callbacks = callbacks
        self._peers: dict[HostId, Peer] = {}
        self._load_exchange = LoadExchange(host=host, domain=domain)
        self._stream_relay = StreamRelay(exchange=self._load_exchange)
        self._suspect_gossip = SuspectGossip(draw=draw)
        self._early_losses = EarlyLossReporter(reactor=reactor, send=self._broadcast)
        self._logged_hub = host
        self._routed_work: Work | None = None
        self._routed_upstreams: list[InstanceId] = []
        self._task = RepeatingTask(reactor=reactor, name="peers", step=self._send_reports)
        self._sequence = 0
        self.rejected_datagrams = 0

    def start(self) -> None:
        """Start sending reports; the link must already be listening."""
        self._task.start(self._load_exchange.interval_s)

    def stop(self) -> None:
        """Stop sending reports."""
        self._task.stop()

    @property
    def known_hosts(self) -> int:
        """Number of known hosts, including this one."""
        return len(self._peers) + 1

    def list_hosts(self) -> list[HostId]:
        """Return the ids of all known hosts, including this one."""
        return [self._host, *self._peers]

    @property
    def position(self) -> int:
        """Place of this host among the known hosts, in the order of their ids."""
        return sum(host < self._host for host in self._peers)

    @property
    def active_peers(self) -> int:
        """Number of other hosts with recent reports."""
        return self._load_exchange.active_hosts - 1

    @property
    def rank(self) -> int:
        """Position of this host among all hosts; 0 is the first."""
        return self._load_exchange.rank

    @property
    def delay_s(self) -> float:
        """Usual time in seconds until a host's work is known to all others."""
        return self._load_exchange.delay_s

    def add_peer(self, host: HostId, address: str, domain: FailureDomain) -> None:
        """Add a registered host, or update its address."""
        if host == self._host:
            return
        known = self._peers.get(host)
        if known is None or known.address[0] != address:
            self._peers[host] = Peer(address=(address, self._port))
            self._report_addresses()
        self._load_exchange.add_host(host, domain)

    def is_peer_address(self, address: str) -> bool:
        """Whether another host has this address."""
        return any(peer.address[0] == address for peer in self._peers.values())

    def report_loss(self, fingerprint: Fingerprint, loss_id: str) -> None:
        """Tell all peers that the answer to a request was lost."""
        for _ in range(SENDS_PER_REPORT):
            self._broadcast(LossReport(fingerprint, loss_id))

    def report_early_loss(self, loss: ObservedLoss) -> None:
        """Tell all peers of a lost answer, before it is judged what it was lost to."""
        self._early_losses.add(loss)

    def report_suspects(self, records: Sequence[SuspectRecord]) -> None:
        """Tell all peers what has changed about suspected parts of prompts."""
        for report in build_suspect_reports(records, self._reactor.seconds()):
            for _ in range(SENDS_PER_REPORT):
                self._broadcast(report)

    def report_limit(self, incarnation: Incarnation, limit_per_s: float | None) -> None:
        """Tell all peers which rate of requests an upstream takes; None for any."""
        instance, started_ms = incarnation
        for _ in range(SENDS_PER_REPORT):
            self._broadcast(LimitReport(instance, started_ms, limit_per_s))

    def report_rejection(self, incarnation: Incarnation, allowance: int) -> None:
        """Tell all peers that a brittle upstream has turned a request away."""
        instance, started_ms = incarnation
        for _ in range(SENDS_PER_REPORT):
            self._broadcast(RejectionReport(instance, started_ms, allowance))

    def report_registry(self, report: RegistryReport) -> None:
        """Tell all peers what was read in the registry."""
        self._broadcast(report)

    def report_configuration(self, report: ConfigurationReport, *, changed: bool) -> None:
        """Tell all peers which configuration the store has; a change is sent more than once."""
        for _ in range(SENDS_PER_REPORT if changed else 1):
            self._broadcast(report)

    def report_versions(self, report: VersionsReport) -> None:
        """Tell all peers which software versions were written to the store."""
        for _ in range(SENDS_PER_REPORT):
            self._broadcast(report)

    def send_duty(self, host: HostId, body: DutyBody) -> None:
        """Send a message about duties to one host, if it is known."""
        if self.transport is not None:
            self._send(host, PeerMessage(self._take_next_sender(), body))

    def broadcast_duty(self, body: DutyBody) -> None:
        """Send a message about duties to all other hosts."""
        self._broadcast(body)

    def datagramReceived(self, datagram: bytes, addr: tuple[str, int]) -> None:
        """Decode and process a message of a peer; older and invalid messages are ignored."""
        message = decode_message(datagram)
        if message is None or message.sender.host == self._host:
            self.rejected_datagrams += 1
            return
        if self._accept_sender(message.sender, addr):
            self._dispatch(message)

    def _dispatch(self, message: PeerMessage) -> None:
        match message.body:
            case LoadReport() | DomainReport() | TotalsReport() | LoadsReport():
                if self._load_exchange.receive(message, self._reactor.seconds()):
                    self._update_router()
            case LossReport(fingerprint=fingerprint, strike=loss_id):
                self._callbacks.on_loss(fingerprint, loss_id)
            case LossesReport() as losses:
                self._callbacks.on_losses(read_loss_report(losses, self._reactor.seconds()))
            case EarlyLossesReport() as early:
                self._callbacks.on_early_losses(read_early_losses(early, self._reactor.seconds()))
            case SuspectsReport() as suspects:
                self._learn_suspects(suspects)
            case LimitReport(instance=instance, started_ms=started_ms, per_s=per_s):
                self._callbacks.on_limit((instance, started_ms), per_s)
            case RejectionReport(instance=instance, started_ms=started_ms, allowance=allowance):
                self._callbacks.on_rejection((instance, started_ms), allowance)
            case RegistryReport() as report:
                self._callbacks.on_registry(report)
            case ConfigurationReport() as report:
                self._callbacks.on_configuration(report)
            case StreamsReport() as streams:
                self._callbacks.on_streams(self._stream_relay.receive(streams))
            case VersionsReport() as report:
                self._callbacks.on_versions(report)
            case DutyReport() | UsageReport() | UsageReceipt() as body:
                self._callbacks.on_duty(message.sender.host, message.sender.incarnation, body)

    def _accept_sender(self, sender: Sender, addr: tuple[str, int]) -> bool:
        """Record the sender; return whether the message is newer than all earlier ones from it."""
        peer = self._peers.get(sender.host)
        if peer is None:
            peer = self._peers[sender.host] = Peer(address=(addr[0], self._port))
            self._report_addresses()
        position = (sender.incarnation, sender.sequence)
        if position <= (peer.incarnation, peer.sequence):
            return False
        has_started = sender.incarnation != peer.incarnation
        peer.incarnation, peer.sequence = position
        if peer.address[0] != addr[0]:
            peer.address = (addr[0], self._port)
            self._report_addresses()
        if has_started:
            log_message(message_type="peers: heard", peer=sender.host, address=addr[0])
            self._tell_crashes(sender.host)
        return True

    def _report_addresses(self) -> None:
        self._callbacks.on_peers({host: peer.address[0] for host, peer in self._peers.items()})

    def _send_reports(self) -> float:
        now_s = self._reactor.seconds()
        sender = self._take_next_sender()
        own = build_work(
            self._callbacks.measure_local_loads(now_s), self._callbacks.measure_local_demand(now_s)
        )
        work = add_work([own])
        for host, body in self._load_exchange.plan_reports(work, sender.sequence, now_s):
            is_part = isinstance(body, LoadsReport)
            self._send(host, PeerMessage(self._take_next_sender() if is_part else sender, body))
        own_streams = self._callbacks.take_streams(now_s)
        for host, streams in self._stream_relay.plan_reports(own_streams, now_s):
            self._send(host, PeerMessage(self._take_next_sender(), streams))
        self._gossip_crashes(now_s)
        self._update_router()
        self._log_hub_change()
        return self._load_exchange.interval_s

    def _gossip_crashes(self, now_s: float) -> None:
        """Tell some hosts what this one knows about crashing requests and prompt parts."""
        if not self._suspect_gossip.is_due(now_s):
            return
        peers = list(self._peers)
        records = self._callbacks.list_suspects(now_s)
        for host, report in self._suspect_gossip.plan_reports(records, peers, now_s):
            self._send(host, PeerMessage(self._take_next_sender(), report))
        self._tell_losses(self._suspect_gossip.draw_targets(peers), now_s)

    def _learn_suspects(self, suspects: SuspectsReport) -> None:
        """Learn what another host knows, and perhaps tell all hosts what contradicts it."""
        now_s = self._reactor.seconds()
        contradicting = self._callbacks.on_suspects(read_suspect_report(suspects, now_s))
        for report in self._suspect_gossip.plan_reply(contradicting, len(self._peers), now_s):
            self._broadcast(report)

    def _tell_losses(self, hosts: Sequence[HostId], now_s: float) -> None:
        reports = build_loss_reports(self._callbacks.list_losses(now_s), now_s)
        for host in hosts:
            for report in reports:
                self._send(host, PeerMessage(self._take_next_sender(), report))

    def _tell_crashes(self, host: HostId) -> None:
        """Tell a host that has started, or that this host has not heard before."""
        now_s = self._reactor.seconds()
        if self._suspect_gossip.draw_reply(len(self._peers)):
            self._tell_losses([host], now_s)
        records = self._callbacks.list_suspects(now_s)
        for report in self._suspect_gossip.plan_reply(records, len(self._peers), now_s):
            self._send(host, PeerMessage(self._take_next_sender(), report))

    def _update_router(self) -> None:
        """Pass the work of all other hosts to this host's router."""
        work = self._load_exchange.sum_peer_work(self._reactor.seconds())
        upstreams = list(self._callbacks.list_upstreams())
        if work is not self._routed_work or upstreams != self._routed_upstreams:
            self._routed_work, self._routed_upstreams = work, upstreams
            self._callbacks.on_work(*read_work(work, upstreams))

    def _log_hub_change(self) -> None:
        if self._load_exchange.hub != self._logged_hub:
            self._logged_hub = self._load_exchange.hub
            log_message(
                message_type="peers: hub",
                hub=self._logged_hub,
                hosts=self._load_exchange.active_hosts,
            )

    def _send(self, host: HostId, message: PeerMessage) -> None:
        peer = self._peers.get(host)
        if peer is not None:
            self.transport.write(encode_message(message), peer.address)

    def _broadcast(self, body: PeerBody) -> None:
        if self.transport is None:
            return  # the port is closed: the host is stopping
        data = encode_message(PeerMessage(self._take_next_sender(), body))
        for peer in self._peers.values():
            self.transport.write(data, peer.address)

    def _take_next_sender(self) -> Sender:
        """Increment the sequence and return the sender of the next messages."""
        self._sequence += 1
        return Sender(PROTOCOL_VERSION, self._host, self._incarnation, self._sequence)

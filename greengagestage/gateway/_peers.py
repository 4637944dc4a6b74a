"""What hosts tell each other: their work at each upstream, and requests that crash upstreams."""

from collections.abc import Callable, Mapping
from dataclasses import dataclass
from typing import Any

from eliot import log_message
from twisted.internet.protocol import DatagramProtocol

from greengagestage.ids import Fingerprint, HostId, InstanceId, ServiceName
from greengagestage.routing import Demand, UpstreamLoad

from ._loops import RepeatingTask
from ._peer_messages import (
    MAX_DATAGRAM_BYTES,
    PROTOCOL_VERSION,
    ConfigurationReport,
    DemandEntry,
    LoadEntry,
    LoadReport,
    PeerMessage,
    RegistryNews,
    RegistryReport,
    Sender,
    StrikeReport,
    decode_message,
    encode_message,
)

REPORT_INTERVAL_S = 0.04
"""Shortest time between two reports: below the time in which an engine reads a usual prompt."""

DATAGRAMS_PER_S = 250.0
"""Datagrams that a host sends a second at most; with more peers, reports become rarer, so that
the cost on each host does not grow with the fleet."""

KEEPALIVE_S = 0.5
"""Longest time between two reports."""

PEER_SILENCE_S = 3.0
"""A peer not heard for this long gets keepalives only now and then."""

SILENT_PEER_INTERVAL_S = 2.0
"""How often a silent peer gets a report, in case it is back."""

REPEATS = 2
"""How often a strike or a changed configuration is told, since datagrams are lost now and then."""

MAX_ENTRIES = (MAX_DATAGRAM_BYTES - 150) // 27
"""Entries that fit into a datagram with instance ids of usual length."""


@dataclass(slots=True, kw_only=True)
class Peer:
    """Another host."""

    address: tuple[str, int]
    heard_s: float | None = None
    sent_s: float = 0.0
    incarnation: int = 0
    sequence: int = 0


@dataclass(frozen=True, slots=True, kw_only=True)
class PeerEvents:
    """Who hears what peers say, and what is told to them."""

    measure_own: Callable[[float], Mapping[InstanceId, UpstreamLoad]]
    on_loads: Callable[[HostId, Mapping[InstanceId, UpstreamLoad]], None]
    measure_demand: Callable[[float], Mapping[ServiceName, Demand]]
    on_demands: Callable[[HostId, Mapping[ServiceName, Demand]], None]
    on_strike: Callable[[Fingerprint, str], None]
    on_registry: Callable[[RegistryNews], None]
    on_configuration: Callable[[int, float], None]


class PeerLink(DatagramProtocol):
    """Sends this host's reports to all peers and takes theirs in."""

    transport: Any

    def __init__(
        self, *, reactor: Any, host: HostId, incarnation: int, port: int, events: PeerEvents
    ) -> None:
        self._reactor = reactor
        self._host = host
        self._incarnation = incarnation
        self._port = port
        self._events = events
        self._peers: dict[HostId, Peer] = {}
        self._task = RepeatingTask(reactor=reactor, name="peers", step=self._report)
        self._sequence = 0
        self._reported: Mapping[InstanceId, UpstreamLoad] = {}
        self._reported_s = 0.0
        self.rejected = 0

    def start(self) -> None:
        """Begin reporting; the link must be listening."""
        self._task.start(REPORT_INTERVAL_S)

    def stop(self) -> None:
        """Stop reporting."""
        self._task.stop()

    @property
    def known(self) -> int:
        """Hosts known, this one included."""
        return len(self._peers) + 1

    @property
    def active(self) -> int:
        """Peers heard recently."""
        return sum(self._is_active(peer) for peer in self._peers.values())

    @property
    def rank(self) -> int:
        """Place of this host among the active ones, 0 for the first."""
        return sum(host < self._host for host, peer in self._peers.items() if self._is_active(peer))

    def add_peers(self, addresses: Mapping[HostId, str]) -> None:
        """Take over the addresses of registered hosts."""
        for host, address in addresses.items():
            if host == self._host:
                continue
            known = self._peers.get(host)
            if known is None or known.address[0] != address:
                self._peers[host] = Peer(address=(address, self._port))

    def report_strike(self, fingerprint: Fingerprint, strike: str) -> None:
        """Tell all peers of an upstream lost under a request."""
        for _ in range(REPEATS):
            self._send_to_active(StrikeReport(self._build_sender(), fingerprint, strike))

    def report_registry(self, news: RegistryNews) -> None:
        """Tell all peers that the registry was read."""
        self._send_to_active(RegistryReport(self._build_sender(), news))

    def report_configuration(self, revision: int, store_s: float, *, changed: bool) -> None:
        """Tell all peers which configuration was the newest at a time of the store's clock."""
        for _ in range(REPEATS if changed else 1):
            self._send_to_active(ConfigurationReport(self._build_sender(), revision, store_s))

    def datagramReceived(self, datagram: bytes, addr: tuple[str, int]) -> None:
        """Take in a message of a peer."""
        message = decode_message(datagram)
        if message is None or message.sender.host == self._host:
            self.rejected += 1
            return
        if self._note_sender(message, addr):
            self._take(message)

    def _take(self, message: PeerMessage) -> None:
        match message:
            case LoadReport(sender=sender, loads=loads, demands=demands):
                self._events.on_loads(
                    sender.host, {entry.instance: _read_entry(entry) for entry in loads}
                )
                self._events.on_demands(
                    sender.host, {entry.service: _read_demand(entry) for entry in demands}
                )
            case StrikeReport(fingerprint=fingerprint, strike=strike):
                self._events.on_strike(fingerprint, strike)
            case RegistryReport(news=news):
                self._events.on_registry(news)
            case ConfigurationReport(revision=revision, store_s=store_s):
                self._events.on_configuration(revision, store_s)

    def _note_sender(self, message: PeerMessage, addr: tuple[str, int]) -> bool:
        """Return whether a message is newer than all before it from the same host."""
        sender = message.sender
        peer = self._peers.get(sender.host)
        if peer is None:
            peer = self._peers[sender.host] = Peer(address=(addr[0], self._port))
        position = (sender.incarnation, sender.sequence)
        if position <= (peer.incarnation, peer.sequence):
            return False
        if peer.heard_s is None or not self._is_active(peer):
            log_message(message_type="peers: heard", peer=sender.host, address=addr[0])
        peer.address = (addr[0], self._port)
        peer.heard_s = self._reactor.seconds()
        peer.incarnation, peer.sequence = position
        return True

    def _is_active(self, peer: Peer) -> bool:
        return peer.heard_s is not None and self._reactor.seconds() - peer.heard_s < PEER_SILENCE_S

    def _report(self) -> float:
        now_s = self._reactor.seconds()
        loads = self._events.measure_own(now_s)
        due = now_s - self._reported_s >= KEEPALIVE_S
        if loads != self._reported or due:
            self._reported, self._reported_s = loads, now_s
            self._send_report(loads, now_s)
        return max(REPORT_INTERVAL_S, len(self._peers) / DATAGRAMS_PER_S)

    def _send_report(self, loads: Mapping[InstanceId, UpstreamLoad], now_s: float) -> None:
        entries = [_build_entry(instance, load) for instance, load in loads.items()]
        entries.sort(key=lambda entry: entry.prefill_ms, reverse=True)
        demands = [
            DemandEntry(service, round(d.sensitive * 1_000), round(d.tolerant * 1_000))
            for service, d in self._events.measure_demand(now_s).items()
        ]
        report = LoadReport(self._build_sender(), entries[:MAX_ENTRIES], demands)
        data = encode_message(report)
        for peer in self._peers.values():
            if self._is_active(peer) or now_s - peer.sent_s >= SILENT_PEER_INTERVAL_S:
                peer.sent_s = now_s
                self.transport.write(data, peer.address)

    def _send_to_active(self, message: PeerMessage) -> None:
        if self.transport is None:
            return  # the port is closed: the host is stopping
        data = encode_message(message)
        for peer in self._peers.values():
            if self._is_active(peer):
                self.transport.write(data, peer.address)

    def _build_sender(self) -> Sender:
        self._sequence += 1
        return Sender(PROTOCOL_VERSION, self._host, self._incarnation, self._sequence)


def _build_entry(instance: InstanceId, load: UpstreamLoad) -> LoadEntry:
    return LoadEntry(
        instance,
        round(load.prefill_s * 1_000),
        load.sensitive,
        load.tolerant,
        round(load.tokens / 1_000),
        round(load.gap_s * 1_000),
        load.stalled,
    )


def _read_demand(entry: DemandEntry) -> Demand:
    return Demand(sensitive=entry.sensitive_ms / 1_000, tolerant=entry.tolerant_ms / 1_000)


def _read_entry(entry: LoadEntry) -> UpstreamLoad:
    return UpstreamLoad(
        prefill_s=entry.prefill_ms / 1_000,
        sensitive=entry.sensitive,
        tolerant=entry.tolerant,
        tokens=entry.kilotokens * 1_000,
        gap_s=entry.gap_ms / 1_000,
        stalled=entry.stalled,
    )

"""The datagrams between hosts: their work at each upstream, and what one learns for all."""

from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass
from typing import Any

import xxhash
from eliot import log_message
from twisted.internet.protocol import DatagramProtocol

from greengagestage.ids import FailureDomain, Fingerprint, HostId, InstanceId, ServiceName
from greengagestage.routing import Demand, UpstreamLoad

from ._load_exchange import LoadExchange
from ._loops import RepeatingTask
from ._peer_messages import (
    PROTOCOL_VERSION,
    ConfigurationReport,
    DemandEntry,
    DomainReport,
    LoadEntry,
    LoadReport,
    PeerBody,
    PeerMessage,
    RegistryNews,
    Sender,
    StrikeReport,
    TotalsReport,
    Work,
    decode_message,
    encode_message,
)

REPEATS = 2
"""How often a strike or a changed configuration is told, since datagrams are lost now and then."""

Loads = Mapping[InstanceId, UpstreamLoad]
Demands = Mapping[ServiceName, Demand]


@dataclass(slots=True, kw_only=True)
class Peer:
    """Another host."""

    address: tuple[str, int]
    incarnation: int = 0
    sequence: int = 0


@dataclass(frozen=True, slots=True, kw_only=True)
class PeerEvents:
    """Who hears what peers say, and what is told to them."""

    measure_local_loads: Callable[[float], Loads]
    measure_demand: Callable[[float], Demands]
    list_upstreams: Callable[[], Iterable[InstanceId]]
    on_work: Callable[[Loads, Demands], None]
    on_strike: Callable[[Fingerprint, str], None]
    on_registry: Callable[[RegistryNews], None]
    on_configuration: Callable[[int, float], None]


class PeerLink(DatagramProtocol):
    """Sends this host's reports and takes those of the others in."""

    transport: Any

    def __init__(
        self,
        *,
        reactor: Any,
        host: HostId,
        domain: FailureDomain,
        incarnation: int,
        port: int,
        events: PeerEvents,
    ) -> None:
        self._reactor = reactor
        self._host = host
        self._incarnation = incarnation
        self._port = port
        self._events = events
        self._peers: dict[HostId, Peer] = {}
        self._exchange = LoadExchange(host=host, domain=domain)
        self._followed = host
        self._task = RepeatingTask(reactor=reactor, name="peers", step=self._report)
        self._sequence = 0
        self.rejected = 0

    def start(self) -> None:
        """Begin reporting; the link must be listening."""
        self._task.start(self._exchange.interval_s)

    def stop(self) -> None:
        """Stop reporting."""
        self._task.stop()

    @property
    def known(self) -> int:
        """Hosts known, this one included."""
        return len(self._peers) + 1

    @property
    def active(self) -> int:
        """Peers heard of lately."""
        return self._exchange.hosts - 1

    @property
    def rank(self) -> int:
        """Place of this host among all, 0 for the first."""
        return self._exchange.rank

    @property
    def delay_s(self) -> float:
        """Usual time until a host's work is known on all others."""
        return self._exchange.delay_s

    def add_peer(self, host: HostId, address: str, domain: FailureDomain) -> None:
        """Take over the address of a registered host."""
        if host == self._host:
            return
        known = self._peers.get(host)
        if known is None or known.address[0] != address:
            self._peers[host] = Peer(address=(address, self._port))
        self._exchange.add_host(host, domain)

    def report_strike(self, fingerprint: Fingerprint, strike: str) -> None:
        """Tell all peers of an upstream lost under a request."""
        for _ in range(REPEATS):
            self._send_to_all(StrikeReport(fingerprint, strike))

    def report_registry(self, news: RegistryNews) -> None:
        """Tell all peers that the registry was read."""
        self._send_to_all(news)

    def report_configuration(self, revision: int, store_s: float, *, changed: bool) -> None:
        """Tell all peers which configuration was the newest at a time of the store's clock."""
        for _ in range(REPEATS if changed else 1):
            self._send_to_all(ConfigurationReport(revision, store_s))

    def datagramReceived(self, datagram: bytes, addr: tuple[str, int]) -> None:
        """Take in a message of a peer."""
        message = decode_message(datagram)
        if message is None or message.sender.host == self._host:
            self.rejected += 1
            return
        if self._note_sender(message.sender, addr):
            self._take(message)

    def _take(self, message: PeerMessage) -> None:
        match message.body:
            case LoadReport() | DomainReport():
                self._exchange.hear(message, self._reactor.seconds())
            case TotalsReport():
                self._exchange.hear(message, self._reactor.seconds())
                self._publish()
            case StrikeReport(fingerprint=fingerprint, strike=strike):
                self._events.on_strike(fingerprint, strike)
            case RegistryNews() as news:
                self._events.on_registry(news)
            case ConfigurationReport(revision=revision, store_s=store_s):
                self._events.on_configuration(revision, store_s)

    def _note_sender(self, sender: Sender, addr: tuple[str, int]) -> bool:
        """Return whether a message is newer than all before it from the same host."""
        peer = self._peers.get(sender.host)
        if peer is None:
            peer = self._peers[sender.host] = Peer(address=(addr[0], self._port))
        position = (sender.incarnation, sender.sequence)
        if position <= (peer.incarnation, peer.sequence):
            return False
        if sender.incarnation != peer.incarnation:
            log_message(message_type="peers: heard", peer=sender.host, address=addr[0])
        peer.address = (addr[0], self._port)
        peer.incarnation, peer.sequence = position
        return True

    def _report(self) -> float:
        now_s = self._reactor.seconds()
        sender = self._build_sender()
        work = _build_work(
            self._events.measure_local_loads(now_s), self._events.measure_demand(now_s)
        )
        for host, body in self._exchange.plan(work, sender.sequence, now_s):
            peer = self._peers.get(host)
            if peer is not None:
                self.transport.write(encode_message(PeerMessage(sender, body)), peer.address)
        self._publish()
        self._note_hub()
        return self._exchange.interval_s

    def _publish(self) -> None:
        """Tell this host's router the work of all others."""
        work = self._exchange.sum_others(self._reactor.seconds())
        names = {_hash_instance(instance): instance for instance in self._events.list_upstreams()}
        loads = {
            names[entry.upstream]: _read_entry(entry)
            for entry in work.loads
            if entry.upstream in names
        }
        self._events.on_work(loads, {entry.service: _read_demand(entry) for entry in work.demands})

    def _note_hub(self) -> None:
        if self._exchange.hub != self._followed:
            self._followed = self._exchange.hub
            log_message(message_type="peers: hub", hub=self._followed, hosts=self._exchange.hosts)

    def _send_to_all(self, body: PeerBody) -> None:
        if self.transport is None:
            return  # the port is closed: the host is stopping
        data = encode_message(PeerMessage(self._build_sender(), body))
        for peer in self._peers.values():
            self.transport.write(data, peer.address)

    def _build_sender(self) -> Sender:
        self._sequence += 1
        return Sender(PROTOCOL_VERSION, self._host, self._incarnation, self._sequence)


def _hash_instance(instance: InstanceId) -> int:
    return xxhash.xxh32_intdigest(instance.encode())


def _build_work(loads: Loads, demands: Demands) -> Work:
    return Work(
        [_build_entry(instance, load) for instance, load in loads.items()],
        [
            DemandEntry(service, round(each.sensitive * 1_000), round(each.tolerant * 1_000))
            for service, each in demands.items()
        ],
    )


def _build_entry(instance: InstanceId, load: UpstreamLoad) -> LoadEntry:
    return LoadEntry(
        _hash_instance(instance),
        round(load.prefill_s * 1_000),
        load.sensitive,
        load.tolerant,
        round(load.tokens / 1_000),
        round(load.gap_s * 1_000) * load.requests,
        int(load.stalled),
    )


def _read_demand(entry: DemandEntry) -> Demand:
    return Demand(sensitive=entry.sensitive_ms / 1_000, tolerant=entry.tolerant_ms / 1_000)


def _read_entry(entry: LoadEntry) -> UpstreamLoad:
    requests = entry.sensitive + entry.tolerant
    return UpstreamLoad(
        prefill_s=entry.prefill_ms / 1_000,
        sensitive=entry.sensitive,
        tolerant=entry.tolerant,
        tokens=entry.kilotokens * 1_000,
        gap_s=entry.gap_weight_ms / requests / 1_000 if requests else 0.0,
        stalled=entry.stalled > 0,
    )

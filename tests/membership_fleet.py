"""Several memberships in one process, with a network that the test controls."""

from dataclasses import dataclass
from random import Random

from greengagestage.configuration import NO_VERSION
from greengagestage.ids import FailureDomain, HostId
from greengagestage.membership import Change, Membership, MembershipTimes
from greengagestage.wire import HostRecord, HostReport, MemberState, PeerMessage

TIMES = MembershipTimes()


@dataclass(frozen=True, slots=True, kw_only=True)
class Packet:
    """A message in flight."""

    sender: HostId
    address: str
    message: PeerMessage


class MembershipFleet:
    """Hosts, a clock, and a network with messages in flight."""

    def __init__(
        self, *, size: int, seed: int = 0, domains: int = 2, times: MembershipTimes = TIMES
    ):
        self.times = times
        self.random = Random(seed)
        self.now_s = 100.0
        self.domains = domains
        self.members: dict[HostId, Membership] = {}
        self.packets: list[Packet] = []
        self.changes: dict[HostId, list[Change]] = {}
        self.partitions: set[frozenset[FailureDomain]] = set()
        self.last_incarnation = 1000
        self.packets_sent = 0
        for number in range(size):
            self.start_host(HostId(f"host-{number}"))

    def start_host(self, host: HostId, incarnation: int | None = None) -> Membership:
        """Add a host. It replaces an earlier host with the same name."""
        self.last_incarnation += 1
        domain = FailureDomain(f"domain-{int(host.split('-')[1]) % self.domains}")
        record = HostRecord(
            host=host,
            incarnation=self.last_incarnation if incarnation is None else incarnation,
            sequence=0,
            state=MemberState.LIVE,
            address=f"address-of-{host}",
            failure_domain=domain,
        )
        member = Membership(record=record, times=self.times, random=Random(len(host)))
        member.add_seeds(other.own.address for other in self.members.values())
        self.members[host] = member
        self.changes.setdefault(host, [])
        return member

    def kill(self, host: HostId) -> None:
        """Remove a host without sending any message."""
        del self.members[host]

    def tick(self, host: HostId) -> None:
        """Run the periodic work of one host."""
        self.members[host].tick(self.now_s)
        self.collect()

    def collect(self) -> None:
        """Put the outgoing messages of all hosts in flight, and store their changes."""
        for host, member in self.members.items():
            if member.has_urgent_records:
                member.flush()
            for send in member.take_outgoing():
                self.packets.append(Packet(sender=host, address=send.address, message=send.message))
                self.packets_sent += 1
            self.changes[host] += member.take_changes()

    def deliver(self, index: int, duplicate: bool = False) -> None:
        """Deliver one message. With ``duplicate``, a copy of it stays in flight."""
        packet = self.packets[index] if duplicate else self.packets.pop(index)
        receiver = self._find_member(packet.address)
        if receiver is not None and not self._is_partitioned(packet.sender, receiver.own):
            receiver.receive(packet.sender, packet.message, self.now_s)
        self.collect()

    def deliver_all(self, loss_rate: float = 0.0) -> None:
        """Deliver until no message is in flight, and lose the given fraction of them."""
        while self.packets:
            if self.random.random() < loss_rate:
                self.packets.pop(0)
            else:
                self.deliver(0)

    def run(self, seconds: float, loss_rate: float = 0.0) -> None:
        """Advance the clock with all hosts running."""
        end_s = self.now_s + seconds
        while self.now_s < end_s:
            self.now_s += self.times.gossip_interval_s
            for host in list(self.members):
                self.tick(host)
                self.deliver_all(loss_rate)

    def partition(self, *domains: str) -> None:
        """Drop all messages between two failure domains."""
        self.partitions.add(frozenset(FailureDomain(domain) for domain in domains))

    def get_view(self, viewer: HostId) -> set[HostId]:
        """Return the hosts that the viewer counts as members."""
        return {record.host for record in self.members[viewer].list_members()}

    def all_views_match(self, hosts: set[HostId]) -> bool:
        """Return whether all hosts count exactly the given hosts as members."""
        return all(self.get_view(viewer) == hosts for viewer in self.members)

    def has_converged(self) -> bool:
        """Return whether all hosts have the same records."""
        return len({member.records.digests for member in self.members.values()}) == 1

    def build_report(self, host: HostId, sequence: int = 1) -> HostReport:
        """Return a report of a host."""
        return HostReport(
            host=host,
            incarnation=self.members[host].own.incarnation,
            sequence=sequence,
            version=NO_VERSION,
            demand={},
            in_flight={},
        )

    def _find_member(self, address: str) -> Membership | None:
        return next((m for m in self.members.values() if m.own.address == address), None)

    def _is_partitioned(self, sender: HostId, receiver: HostRecord) -> bool:
        member = self.members.get(sender)
        if member is None:
            return False
        return frozenset((member.own.failure_domain, receiver.failure_domain)) in self.partitions

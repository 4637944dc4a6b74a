"""Several memberships in one process, with a network that the test controls."""

from dataclasses import dataclass
from random import Random

from greengagestage.configuration import NO_VERSION
from greengagestage.ids import FailureDomain, HostId
from greengagestage.membership import Change, Membership, MembershipTimes
from greengagestage.wire import HostRecord, HostReport, MemberState, PeerMessage

TIMES = MembershipTimes()


@dataclass(frozen=True, slots=True, kw_only=True)
class Letter:
    """A message on its way."""

    sender: HostId
    address: str
    message: PeerMessage


class MembershipFleet:
    """Hosts, a clock, and the messages on their way."""

    def __init__(
        self, *, size: int, seed: int = 0, domains: int = 2, times: MembershipTimes = TIMES
    ):
        self.times = times
        self.random = Random(seed)
        self.now_s = 100.0
        self.domains = domains
        self.members: dict[HostId, Membership] = {}
        self.letters: list[Letter] = []
        self.changes: dict[HostId, list[Change]] = {}
        self.severed: set[frozenset[FailureDomain]] = set()
        self.incarnations = 1000
        self.letters_sent = 0
        for number in range(size):
            self.start_host(HostId(f"host-{number}"))

    def start_host(self, host: HostId, incarnation: int | None = None) -> Membership:
        """Start a host's agent, also in place of an earlier one."""
        self.incarnations += 1
        domain = FailureDomain(f"domain-{int(host.split('-')[1]) % self.domains}")
        record = HostRecord(
            host=host,
            incarnation=self.incarnations if incarnation is None else incarnation,
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
        """End a host's agent without a word."""
        del self.members[host]

    def tick(self, host: HostId) -> None:
        """Let a host do what is due."""
        self.members[host].tick(self.now_s)
        self.collect()

    def collect(self) -> None:
        """Take what all hosts want to send."""
        for host, member in self.members.items():
            if member.has_urgent_records:
                member.flush()
            for send in member.take_outgoing():
                self.letters.append(Letter(sender=host, address=send.address, message=send.message))
                self.letters_sent += 1
            self.changes[host] += member.take_changes()

    def deliver(self, place: int, keep: bool = False) -> None:
        """Deliver one message, and keep a copy of it on its way if wanted."""
        letter = self.letters[place] if keep else self.letters.pop(place)
        receiver = self._find(letter.address)
        if receiver is not None and not self._is_severed(letter.sender, receiver.own):
            receiver.receive(letter.sender, letter.message, self.now_s)
        self.collect()

    def deliver_all(self, loss: float = 0.0) -> None:
        """Deliver until nothing is on its way, losing a part."""
        while self.letters:
            if self.random.random() < loss:
                self.letters.pop(0)
            else:
                self.deliver(0)

    def run(self, seconds: float, loss: float = 0.0) -> None:
        """Let time pass with all hosts at work."""
        end_s = self.now_s + seconds
        while self.now_s < end_s:
            self.now_s += self.times.gossip_interval_s
            for host in list(self.members):
                self.tick(host)
                self.deliver_all(loss)

    def sever(self, *domains: str) -> None:
        """Cut two failure domains off from each other."""
        self.severed.add(frozenset(FailureDomain(domain) for domain in domains))

    def see(self, viewer: HostId) -> set[HostId]:
        """Return the hosts that one host counts as members."""
        return {record.host for record in self.members[viewer].list_members()}

    def all_see(self, hosts: set[HostId]) -> bool:
        """Tell whether all hosts count the same hosts as members."""
        return all(self.see(viewer) == hosts for viewer in self.members)

    def agree(self) -> bool:
        """Tell whether all hosts have the same records."""
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

    def _find(self, address: str) -> Membership | None:
        return next((m for m in self.members.values() if m.own.address == address), None)

    def _is_severed(self, sender: HostId, receiver: HostRecord) -> bool:
        member = self.members.get(sender)
        if member is None:
            return False
        return frozenset((member.own.failure_domain, receiver.failure_domain)) in self.severed

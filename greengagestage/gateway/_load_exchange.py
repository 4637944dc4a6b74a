"""Who tells whom about work, without input or output.

In each failure domain the live host with the lowest id is the hub. The others report to it; hubs
tell each other the sums of their domains, and their own hosts the sum of all. A host that gets no
answer from its hub takes the next one, in the end itself.
"""

from collections import deque
from collections.abc import Iterator
from dataclasses import dataclass
from typing import Generic, TypeVar

from greengagestage.ids import FailureDomain, HostId

from ._peer_messages import (
    DomainReport,
    LoadReport,
    PeerMessage,
    TotalsReport,
    Work,
    WorkReport,
)
from ._work_sums import add_work, subtract_work

MIN_INTERVAL_S = 0.04
"""Shortest time between two reports: below the time in which an engine reads a usual prompt."""

HUB_DATAGRAMS_PER_S = 400.0
"""Datagrams that a hub sends and receives a second; in larger domains reports become rarer."""

HOPS = 3
"""Reports on the way from a host to one of another domain; each waits half an interval."""

KEEPALIVE_S = 0.25
"""Longest time between two reports."""

REPORT_LIFETIME_S = 1.5
"""A report counts this long after it came: six of its longest usual intervals."""

HUB_SILENCE_S = 0.7
HUB_SILENCE_INTERVALS = 4.0
"""A hub that sends nothing for this long is given up; a frozen or lost one is noticed before its
last sum expires, and two datagrams in a row may be lost."""

SUSPENDED_S = 0.3
"""A host whose last round is this long past, and some intervals, was itself suspended or short of
processor time: what the others sent meanwhile is still to be read."""

GREETING_INTERVAL_S = 2.0
"""How often silent hosts that would be the hub are greeted, in case they are back."""

GREETINGS = 2
"""How often a host that was just learnt is greeted, since datagrams are lost now and then."""

SENT_KEPT = 64
"""Own reports remembered, to take them out of the sums that contain them."""

UNKNOWN_RANK = 5
"""Rank of a host that no hub has ranked yet: behind those that act for all."""

Send = tuple[HostId, WorkReport]


_T = TypeVar("_T", LoadReport, DomainReport, TotalsReport)


@dataclass(frozen=True, slots=True, kw_only=True)
class _Heard(Generic[_T]):
    host: HostId
    sequence: int
    heard_s: float
    body: _T


class LoadExchange:
    """One host's part in telling the fleet's work."""

    def __init__(self, *, host: HostId, domain: FailureDomain) -> None:
        self._own = host
        self._domain = domain
        self._hosts: dict[HostId, FailureDomain] = {}
        self._silent: set[HostId] = set()
        self._greetings: dict[HostId, int] = {}
        self._greeted_s = 0.0
        self._hub = host
        self._hub_since_s = 0.0
        self._planned_s = 0.0
        self._reports: dict[HostId, _Heard[LoadReport]] = {}
        self._domains: dict[FailureDomain, _Heard[DomainReport]] = {}
        self._totals: _Heard[TotalsReport] | None = None
        self._contacts: dict[FailureDomain, tuple[HostId, float]] = {}
        self._sent: deque[tuple[int, Work]] = deque(maxlen=SENT_KEPT)
        self._told: Work | None = None
        self._told_s = 0.0

    def __repr__(self) -> str:
        return f"LoadExchange({self._own} in {self._domain}, hub={self._hub})"

    @property
    def hub(self) -> HostId:
        """The host that this one reports to; itself where it is the hub."""
        return self._hub

    @property
    def interval_s(self) -> float:
        """Time between two reports."""
        members = 1 + sum(domain == self._domain for domain in self._hosts.values())
        domains = len({self._domain, *self._hosts.values()})
        return max(MIN_INTERVAL_S, 2 * (members + domains) / HUB_DATAGRAMS_PER_S)

    @property
    def delay_s(self) -> float:
        """Usual time until a host's work is known on all others: by two hubs."""
        return HOPS * self.interval_s / 2

    def add_host(self, host: HostId, domain: FailureDomain) -> None:
        """Learn of a host; it is greeted, so that it learns of this one."""
        if host != self._own and self._hosts.get(host) != domain:
            self._hosts[host] = domain
            self._greetings[host] = GREETINGS

    def hear(self, message: PeerMessage, now_s: float) -> None:
        """Take in another host's report."""
        host = message.sender.host
        self._silent.discard(host)
        match message.body:
            case LoadReport() as body:
                self.add_host(host, body.domain)
                if body.domain == self._domain:
                    self._reports[host] = _note(message, body, now_s)
            case DomainReport() as body:
                self.add_host(host, body.domain)
                if body.domain != self._domain:
                    self._domains[body.domain] = _note(message, body, now_s)
            case TotalsReport() as body if host == self._choose_hub():
                self._totals = _note(message, body, now_s)

    def plan(self, work: Work, sequence: int, now_s: float) -> list[Send]:
        """Return what to send now, as the round with a sequence; to be called every interval."""
        self._forgive_own_pause(now_s)
        self._drop_old(now_s)
        self._check_hub(now_s)
        greetings = [(host, LoadReport(self._domain, work)) for host in self._list_greeted(now_s)]
        if self._hub == self._own:
            return [*self._plan_as_hub(work, now_s), *greetings]
        if work == self._told and now_s - self._told_s < KEEPALIVE_S and not greetings:
            return []
        self._told, self._told_s = work, now_s
        self._sent.append((sequence, work))
        return [(self._hub, LoadReport(self._domain, work)), *greetings]

    def sum_others(self, now_s: float) -> Work:
        """Return the work of all other hosts, as far as it is known."""
        self._drop_old(now_s)
        if self._hub == self._own:
            return add_work(self._list_parts())
        if self._totals is None:
            return Work()
        included = self._totals.body.included
        own = next((work for sequence, work in self._sent if sequence == included), Work())
        return subtract_work(self._totals.body.work, own)

    @property
    def rank(self) -> int:
        """Place of this host among all; hubs come first."""
        if self._hub == self._own:
            return self._list_domains().index(self._domain)
        return UNKNOWN_RANK if self._totals is None else self._totals.body.rank

    @property
    def hosts(self) -> int:
        """Number of hosts that were heard of lately, this one included."""
        if self._hub == self._own:
            elsewhere = sum(heard.body.hosts for heard in self._domains.values())
            return 1 + len(self._reports) + elsewhere
        return 1 if self._totals is None else self._totals.body.hosts

    def _plan_as_hub(self, work: Work, now_s: float) -> list[Send]:
        own_domain = add_work([work, *(heard.body.work for heard in self._reports.values())])
        total = add_work([own_domain, *(heard.body.work for heard in self._domains.values())])
        if total == self._told and now_s - self._told_s < KEEPALIVE_S:
            return []
        self._told, self._told_s = total, now_s
        sends: list[Send] = []
        domains = self._list_domains()
        hosts = self.hosts
        for position, host in enumerate(sorted(self._reports), 1):
            rank = position * len(domains) + domains.index(self._domain)
            included = self._reports[host].sequence
            sends.append((host, TotalsReport(included, rank, hosts, total)))
        for domain in sorted(set(self._hosts.values()) - {self._domain}):
            contact = self._choose_contact(domain, now_s)
            sends.append((contact, DomainReport(self._domain, 1 + len(self._reports), own_domain)))
        return sends

    def _choose_hub(self) -> HostId:
        members = [host for host, domain in self._hosts.items() if domain == self._domain]
        return min([self._own, *(host for host in members if host not in self._silent)])

    def _forgive_own_pause(self, now_s: float) -> None:
        """Count no silence for the time in which this host did not run."""
        pause_s, self._planned_s = now_s - self._planned_s, now_s
        if pause_s > SUSPENDED_S + self.interval_s:
            self._hub_since_s = now_s
            self._contacts = {domain: (host, now_s) for domain, (host, _) in self._contacts.items()}

    def _check_hub(self, now_s: float) -> None:
        """Give up a hub that does not answer, and follow the one that is due."""
        if self._hub != self._own:
            heard_s = self._hub_since_s
            if self._totals is not None and self._totals.host == self._hub:
                heard_s = max(heard_s, self._totals.heard_s)
            if now_s - heard_s > self._silence_s:
                self._silent.add(self._hub)
        hub = self._choose_hub()
        if hub != self._hub:
            self._hub, self._hub_since_s, self._told = hub, now_s, None

    def _choose_contact(self, domain: FailureDomain, now_s: float) -> HostId:
        """Return the host of another domain that is taken for its hub."""
        heard = self._domains.get(domain)
        if heard is not None:
            self._contacts[domain] = (heard.host, heard.heard_s)
            return heard.host
        contact, since_s = self._contacts.get(domain, (None, 0.0))
        if contact is not None and now_s - since_s <= self._silence_s:
            return contact
        if contact is not None:
            self._silent.add(contact)
        members = sorted(host for host, place in self._hosts.items() if place == domain)
        awake = [host for host in members if host not in self._silent]
        if not awake:
            self._silent.difference_update(members)
        chosen = (awake or members)[0]
        self._contacts[domain] = (chosen, now_s)
        return chosen

    def _list_greeted(self, now_s: float) -> list[HostId]:
        """Return the hosts that must hear of this one, apart from its hub."""
        greeted = list(self._greetings)
        for host in greeted:
            self._greetings[host] -= 1
            if not self._greetings[host]:
                del self._greetings[host]
        if now_s - self._greeted_s >= GREETING_INTERVAL_S:
            self._greeted_s = now_s
            greeted += [
                host
                for host in self._silent
                if self._hosts.get(host) == self._domain and host < self._hub
            ]
        return [host for host in dict.fromkeys(greeted) if host != self._hub]

    def _drop_old(self, now_s: float) -> None:
        oldest_s = now_s - REPORT_LIFETIME_S
        self._reports = {k: heard for k, heard in self._reports.items() if heard.heard_s > oldest_s}
        self._domains = {k: heard for k, heard in self._domains.items() if heard.heard_s > oldest_s}
        if self._totals is not None and self._totals.heard_s <= oldest_s:
            self._totals = None

    def _list_parts(self) -> Iterator[Work]:
        yield from (heard.body.work for heard in self._reports.values())
        yield from (heard.body.work for heard in self._domains.values())

    def _list_domains(self) -> list[FailureDomain]:
        return sorted({self._domain, *self._domains})

    @property
    def _silence_s(self) -> float:
        return max(HUB_SILENCE_S, HUB_SILENCE_INTERVALS * self.interval_s)


def _note(message: PeerMessage, body: _T, now_s: float) -> _Heard[_T]:
    sender = message.sender
    return _Heard(host=sender.host, sequence=sender.sequence, heard_s=now_s, body=body)

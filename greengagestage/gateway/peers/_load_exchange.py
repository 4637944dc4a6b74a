"""Protocol by which hosts learn each other's load, without network input or output.

In each failure domain the live host with the lowest id is the hub. The other hosts report to it.
Hubs send each other the sums of their domains, and send the sum of all domains to their own hosts.
A host that gets no answer from its hub follows the next host, and finally becomes the hub itself.
"""

from collections import deque
from collections.abc import Iterator
from dataclasses import dataclass
from typing import Generic, TypeVar

from greengagestage.ids import FailureDomain, HostId

from ._peer_messages import (
    DomainReport,
    LoadReport,
    LoadsReport,
    PeerMessage,
    TotalsReport,
    Work,
    WorkReport,
)
from ._report_parts import AddressedReport, ReportAssembler, split_reports
from ._work_sums import add_work, count_parts, subtract_work

MIN_REPORT_INTERVAL_S = 0.04
"""Shortest time between two reports: less than an engine needs to prefill a usual prompt."""

MAX_HUB_DATAGRAMS_PER_S = 600.0
"""Datagram rate that a hub may send and receive in total; larger domains report less often."""

HOPS = 3
"""Reports on the path between hosts of two domains; each waits half an interval on average."""

KEEPALIVE_INTERVAL_S = 0.25
"""Longest time between two reports, even if nothing has changed."""

REPORT_LIFETIME_S = 1.5
"""A report expires this long after it was received: six of the longest usual intervals."""

MIN_HUB_TIMEOUT_S = 0.7
HUB_TIMEOUT_INTERVALS = 4.0
"""A hub is replaced if it sends nothing for the larger of this time and this many intervals. A
frozen or lost hub is noticed before its last sum expires; two datagrams in a row may be lost."""

MIN_SUSPENSION_S = 0.3
"""A host whose last round is longer ago than this plus one interval was itself suspended or short
of CPU time: the datagrams that arrived meanwhile are still unread."""

PROBE_INTERVAL_S = 2.0
"""Time between two reports to unresponsive hosts that would be the hub, in case they are back."""

ANNOUNCEMENTS_PER_HOST = 2
"""Reports sent to a newly learnt host to announce this one; more than one, since datagrams can be
lost."""

MAX_SENT_REPORTS = 64
"""Number of own reports kept, to subtract them from the sums that include them."""

UNKNOWN_RANK = 5
"""Rank of a host that no hub has ranked yet: after the hosts that read the store for all."""

_T = TypeVar("_T", LoadReport, DomainReport, TotalsReport)


@dataclass(frozen=True, slots=True, kw_only=True)
class _ReceivedReport(Generic[_T]):
    host: HostId
    sequence: int
    received_s: float
    body: _T


class LoadExchange:
    """One host's side of the protocol by which hosts exchange their load.

    Peers are all other hosts; remote hubs are the hubs of the other failure domains.
    """

    def __init__(self, *, host: HostId, domain: FailureDomain) -> None:
        self._own_host = host
        self._domain = domain
        self._known_hosts: dict[HostId, FailureDomain] = {}
        self._unresponsive: set[HostId] = set()
        self._pending_announcements: dict[HostId, int] = {}
        self._probed_s = 0.0
        self._hub = host
        self._hub_since_s = 0.0
        self._last_round_s = 0.0
        self._host_reports: dict[HostId, _ReceivedReport[LoadReport]] = {}
        self._domain_reports: dict[FailureDomain, _ReceivedReport[DomainReport]] = {}
        self._totals: _ReceivedReport[TotalsReport] | None = None
        self._peer_work: Work | None = None
        self._assembler = ReportAssembler()
        self._parts = 1
        self._remote_hubs: dict[FailureDomain, tuple[HostId, float]] = {}
        self._sent: deque[tuple[int, Work]] = deque(maxlen=MAX_SENT_REPORTS)
        self._last_reported: Work | None = None
        self._last_reported_s = 0.0

    def __repr__(self) -> str:
        return f"LoadExchange({self._own_host} in {self._domain}, hub={self._hub})"

    @property
    def hub(self) -> HostId:
        """The host that this one reports to; itself if it is the hub."""
        return self._hub

    @property
    def is_hub(self) -> bool:
        """Whether this host is the hub of its failure domain."""
        return self._hub == self._own_host

    def list_reporting_hosts(self) -> list[HostId]:
        """Return the hosts that have lately reported to this one as their hub."""
        return sorted(self._host_reports)

    def list_remote_hubs(self, now_s: float) -> list[HostId]:
        """Return the hosts that are assumed to be the hubs of the other failure domains."""
        domains = set(self._known_hosts.values()) - {self._domain}
        return [self._choose_remote_hub(domain, now_s) for domain in sorted(domains)]

    @property
    def interval_s(self) -> float:
        """Time between two reports, in seconds."""
        members = 1 + sum(domain == self._domain for domain in self._known_hosts.values())
        domains = len({self._domain, *self._known_hosts.values()})
        datagrams = 2 * (members + domains) * self._parts
        return max(MIN_REPORT_INTERVAL_S, datagrams / MAX_HUB_DATAGRAMS_PER_S)

    @property
    def delay_s(self) -> float:
        """Usual time in seconds until a host's work is known to all others, by way of two hubs."""
        return HOPS * self.interval_s / 2

    def add_host(self, host: HostId, domain: FailureDomain) -> None:
        """Add a host and schedule reports to it, so that it learns of this one."""
        if host != self._own_host and self._known_hosts.get(host) != domain:
            self._known_hosts[host] = domain
            self._pending_announcements[host] = ANNOUNCEMENTS_PER_HOST

    def receive(self, message: PeerMessage, now_s: float) -> bool:
        """Process another host's report, or a part of one.

        Returns whether the sum of all hosts' work has been replaced.
        """
        self._unresponsive.discard(message.sender.host)
        complete: PeerMessage | None = None
        match message.body:
            case LoadReport() | DomainReport() | TotalsReport() as report:
                complete = self._assembler.add_report(message, report)
            case LoadsReport() as part:
                complete = self._assembler.add_part(message.sender.host, part)
        return complete is not None and self._take_report(complete, now_s)

    def _take_report(self, message: PeerMessage, now_s: float) -> bool:
        host = message.sender.host
        match message.body:
            case LoadReport() as body:
                self.add_host(host, body.domain)
                if body.domain == self._domain:
                    self._host_reports[host] = _build_received_report(message, body, now_s)
            case DomainReport() as body:
                self.add_host(host, body.domain)
                if body.domain != self._domain:
                    self._domain_reports[body.domain] = _build_received_report(message, body, now_s)
            case TotalsReport() as body if host == self._choose_hub():
                self._totals = _build_received_report(message, body, now_s)
                self._peer_work = None
                self._parts = count_parts(body.work)
                return True
        return False

    def plan_reports(self, work: Work, sequence: int, now_s: float) -> list[AddressedReport]:
        """Return the reports to send in this round, and the parts that follow them.

        To be called every interval, with the sequence under which the reports are sent. Parts are
        sent under later ones.
        """
        self._reset_timeouts_after_suspension(now_s)
        self._expire_reports(now_s)
        self._update_hub(now_s)
        announcements: list[tuple[HostId, WorkReport]] = [
            (host, LoadReport(self._domain, work))
            for host in self._take_announcement_targets(now_s)
        ]
        if self._hub == self._own_host:
            return split_reports([*self._plan_as_hub(work, now_s), *announcements], sequence)
        if (
            work == self._last_reported
            and now_s - self._last_reported_s < KEEPALIVE_INTERVAL_S
            and not announcements
        ):
            return []
        self._last_reported, self._last_reported_s = work, now_s
        self._sent.append((sequence, work))
        report = LoadReport(self._domain, work)
        return split_reports([(self._hub, report), *announcements], sequence)

    def sum_peer_work(self, now_s: float) -> Work:
        """Return the summed work of all other hosts of all domains with unexpired reports."""
        self._expire_reports(now_s)
        if self._hub == self._own_host:
            return add_work(self._iterate_peer_work())
        if self._totals is None:
            return Work()
        if self._peer_work is None:
            included = self._totals.body.included
            own = next((work for sequence, work in self._sent if sequence == included), Work())
            self._peer_work = subtract_work(self._totals.body.work, own)
        return self._peer_work

    @property
    def rank(self) -> int:
        """Position among all hosts, hubs first; the first hosts read the store for the others."""
        if self._hub == self._own_host:
            return self._list_domains().index(self._domain)
        return UNKNOWN_RANK if self._totals is None else self._totals.body.rank

    @property
    def active_hosts(self) -> int:
        """Number of hosts with unexpired reports, including this one."""
        if self._hub == self._own_host:
            other_domain_hosts = sum(report.body.hosts for report in self._domain_reports.values())
            return 1 + len(self._host_reports) + other_domain_hosts
        return 1 if self._totals is None else self._totals.body.hosts

    def _plan_as_hub(self, work: Work, now_s: float) -> list[tuple[HostId, WorkReport]]:
        own_domain = add_work([work, *(report.body.work for report in self._host_reports.values())])
        total = add_work(
            [own_domain, *(report.body.work for report in self._domain_reports.values())]
        )
        if total == self._last_reported and now_s - self._last_reported_s < KEEPALIVE_INTERVAL_S:
            return []
        self._last_reported, self._last_reported_s = total, now_s
        self._parts = count_parts(total)
        sends: list[tuple[HostId, WorkReport]] = []
        domains = self._list_domains()
        hosts = self.active_hosts
        for position, host in enumerate(sorted(self._host_reports), 1):
            rank = position * len(domains) + domains.index(self._domain)
            included = self._host_reports[host].sequence
            sends.append((host, TotalsReport(included, rank, hosts, total)))
        for domain in sorted(set(self._known_hosts.values()) - {self._domain}):
            remote_hub = self._choose_remote_hub(domain, now_s)
            sends.append(
                (remote_hub, DomainReport(self._domain, 1 + len(self._host_reports), own_domain))
            )
        return sends

    def _choose_hub(self) -> HostId:
        members = [host for host, domain in self._known_hosts.items() if domain == self._domain]
        return min([self._own_host, *(host for host in members if host not in self._unresponsive)])

    def _reset_timeouts_after_suspension(self, now_s: float) -> None:
        """Restart the hub timeouts if this host itself did not run for a while."""
        pause_s, self._last_round_s = now_s - self._last_round_s, now_s
        if pause_s > MIN_SUSPENSION_S + self.interval_s:
            self._hub_since_s = now_s
            self._remote_hubs = {
                domain: (host, now_s) for domain, (host, _) in self._remote_hubs.items()
            }

    def _update_hub(self, now_s: float) -> None:
        """Mark a hub that does not answer as unresponsive, and follow the current choice."""
        if self._hub != self._own_host:
            received_s = self._hub_since_s
            if self._totals is not None and self._totals.host == self._hub:
                received_s = max(received_s, self._totals.received_s)
            if now_s - received_s > self._hub_timeout_s:
                self._unresponsive.add(self._hub)
        hub = self._choose_hub()
        if hub != self._hub:
            self._hub, self._hub_since_s, self._last_reported = hub, now_s, None

    def _choose_remote_hub(self, domain: FailureDomain, now_s: float) -> HostId:
        """Return the host that is assumed to be the hub of another domain."""
        report = self._domain_reports.get(domain)
        if report is not None:
            self._remote_hubs[domain] = (report.host, report.received_s)
            return report.host
        remote_hub, since_s = self._remote_hubs.get(domain, (None, 0.0))
        if remote_hub is not None and now_s - since_s <= self._hub_timeout_s:
            return remote_hub
        if remote_hub is not None:
            self._unresponsive.add(remote_hub)
        members = sorted(
            host for host, member_domain in self._known_hosts.items() if member_domain == domain
        )
        responsive = [host for host in members if host not in self._unresponsive]
        if not responsive:
            self._unresponsive.difference_update(members)
        chosen = (responsive or members)[0]
        self._remote_hubs[domain] = (chosen, now_s)
        return chosen

    def _take_announcement_targets(self, now_s: float) -> list[HostId]:
        """Return the hosts to send an extra report to, and count down the pending announcements."""
        targets = list(self._pending_announcements)
        for host in targets:
            self._pending_announcements[host] -= 1
            if not self._pending_announcements[host]:
                del self._pending_announcements[host]
        if now_s - self._probed_s >= PROBE_INTERVAL_S:
            self._probed_s = now_s
            targets += [
                host
                for host in self._unresponsive
                if self._known_hosts.get(host) == self._domain and host < self._hub
            ]
        return [host for host in dict.fromkeys(targets) if host != self._hub]

    def _expire_reports(self, now_s: float) -> None:
        oldest_s = now_s - REPORT_LIFETIME_S
        self._host_reports = {
            k: report for k, report in self._host_reports.items() if report.received_s > oldest_s
        }
        self._domain_reports = {
            k: report for k, report in self._domain_reports.items() if report.received_s > oldest_s
        }
        if self._totals is not None and self._totals.received_s <= oldest_s:
            self._totals = None

    def _iterate_peer_work(self) -> Iterator[Work]:
        yield from (report.body.work for report in self._host_reports.values())
        yield from (report.body.work for report in self._domain_reports.values())

    def _list_domains(self) -> list[FailureDomain]:
        return sorted({self._domain, *self._domain_reports})

    @property
    def _hub_timeout_s(self) -> float:
        return max(MIN_HUB_TIMEOUT_S, HUB_TIMEOUT_INTERVALS * self.interval_s)


def _build_received_report(message: PeerMessage, body: _T, now_s: float) -> _ReceivedReport[_T]:
    sender = message.sender
    return _ReceivedReport(host=sender.host, sequence=sender.sequence, received_s=now_s, body=body)

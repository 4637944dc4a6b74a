"""The gossip membership of one host: its view of the fleet and the messages it sends. No I/O.

Hosts send gossip to a few neighbours, suspect hosts whose gossip stops, and compare all records
with one other host at intervals. Each gossip message counts as a heartbeat of its sender. Periodic
ones carry loads and reports; others are sent in between for changed records or a new version.

Times are passed in as seconds of a monotonic clock. Messages are only queued here; the agent
fetches them with ``take_outgoing`` and sends them. It fetches changes with ``take_changes``.
"""

from collections.abc import Iterable
from random import Random

from msgspec.structs import replace

from greengagestage.configuration import NO_VERSION
from greengagestage.ids import ConfigurationVersion, Fingerprint, HostId, UpstreamName
from greengagestage.wire import (
    CrashRecord,
    Gossip,
    HostRecord,
    HostReport,
    LoadRecord,
    MemberState,
    PeerMessage,
    QuarantineRecord,
    SyncRecords,
    SyncRequest,
    UpstreamMark,
)

from ._changes import (
    Change,
    FingerprintQuarantined,
    HostsChanged,
    OutgoingMessage,
    RemoteCrashReported,
    UpstreamsChanged,
    VersionAnnounced,
)
from ._detector import FailureDetector
from ._measurements import Measurements, UpdateBatch
from ._neighbours import choose_neighbours
from ._record_groups import RECORDS_PER_MESSAGE, group_by_kind
from ._record_table import RecordTable
from ._records import Record, RecordKey, build_record_key
from ._synchronization import Synchronizer
from ._times import MembershipTimes

FORWARDING_NEIGHBOURS = 2
"""Number of neighbours, chosen at random for each round of periodic gossip, that also get
measurements of other hosts. The measurements of this host go to all neighbours."""


class Membership:
    """A host's view of the fleet: hosts, leaving upstreams, quarantines, loads and demand.

    Attributes:
        records: The replicated records of hosts, upstreams, crashes and quarantines.
        measurements: The newest engine loads and host reports.
        version: The configuration version in force on this host.
    """

    def __init__(self, *, record: HostRecord, times: MembershipTimes, random: Random) -> None:
        self.records = RecordTable()
        self.measurements = Measurements()
        self.version = NO_VERSION
        self._own = record
        self._times = times
        self._random = random
        self._detector = FailureDetector(times=times)
        self._neighbours: list[HostRecord] = []
        self._hosts_changed = False
        self._synchronizer = Synchronizer(records=self.records, random=random)
        self._unanswered_sync_host: HostId | None = None
        self._urgent_records: dict[RecordKey, tuple[Record, HostId | None]] = {}
        self._outgoing: list[OutgoingMessage] = []
        self._changes: list[Change] = []
        self._last_sync_s = float("-inf")
        # Starts at the incarnation, the start time in ms, so that a restart reuses no number.
        self._crash_number = record.incarnation
        self.records.merge(record, 0.0)

    @property
    def own(self) -> HostRecord:
        """The record of this host."""
        return self._own

    @property
    def has_urgent_records(self) -> bool:
        """Whether changed records wait for ``flush``; periodic gossip does not carry them."""
        return bool(self._urgent_records)

    @property
    def neighbours(self) -> tuple[HostRecord, ...]:
        """The hosts to which this one sends its gossip."""
        return tuple(self._neighbours)

    def list_members(self) -> list[HostRecord]:
        """Return the hosts that take requests, including this one unless it is leaving."""
        states = (MemberState.LIVE, MemberState.SUSPECT)
        return [record for record in self.records.list_hosts() if record.state in states]

    def is_leaving(self, upstream: UpstreamName) -> bool:
        """Return whether an upstream is marked as leaving and takes no new work."""
        mark = self.records.find_mark(upstream)
        return mark is not None and mark.leaving

    def take_outgoing(self) -> list[OutgoingMessage]:
        """Return the messages to send, each of them once."""
        outgoing, self._outgoing = self._outgoing, []
        return outgoing

    def take_changes(self) -> list[Change]:
        """Return the changes to report to the agent, each of them once."""
        changes, self._changes = self._changes, []
        return changes

    # Updates of this host.

    def add_seeds(self, addresses: Iterable[str]) -> None:
        """Add addresses where agents may run. They never serve as evidence that a host is gone."""
        self._synchronizer.add_seeds(addresses)

    def set_state(self, state: MemberState, now_s: float) -> None:
        """Set whether this host is live or leaving."""
        if self._own.state is not state:
            self._publish_own_record(self._own.incarnation, self._own.sequence + 1, state, now_s)

    def mark_upstream(self, upstream: UpstreamName, leaving: bool, now_s: float) -> None:
        """Mark an upstream as leaving, or as back in service."""
        known = self.records.find_mark(upstream)
        if leaving == (known is not None and known.leaving):
            return
        sequence = known.sequence + 1 if known is not None else 1
        mark = UpstreamMark(upstream=upstream, sequence=sequence, leaving=leaving)
        self._merge(mark, None, now_s)

    def report_crash(self, fingerprint: Fingerprint, upstream: UpstreamName, now_s: float) -> None:
        """Report that an upstream was lost while it ran a request with this fingerprint."""
        self._crash_number += 1
        record = CrashRecord(
            fingerprint=fingerprint,
            upstream=upstream,
            host=self._own.host,
            number=self._crash_number,
        )
        self._merge(record, None, now_s)

    def quarantine(self, fingerprint: Fingerprint, now_s: float) -> None:
        """Quarantine a fingerprint on all hosts, so that requests with it are refused.

        Hosts that join after ``QUARANTINE_LIFETIME_S`` no longer learn of it.
        """
        self._merge(QuarantineRecord(fingerprint=fingerprint), None, now_s)

    def set_version(self, version: ConfigurationVersion) -> None:
        """Set the version in force on this host, and queue its announcement to the neighbours.

        The announcement does not wait for the periodic gossip.
        """
        self.version = version
        for neighbour in self._neighbours:
            self._queue_message(neighbour.address, self._build_empty_gossip())

    def store_load(self, record: LoadRecord, now_s: float) -> None:
        """Store a load that this host has measured, to be sent with the next periodic gossip."""
        self.measurements.merge_load(record, None, now_s)

    def store_report(self, report: HostReport, now_s: float) -> None:
        """Store this host's own report of its demand and work in flight.

        It is sent with the next periodic gossip.
        """
        self.measurements.merge_report(report, None, now_s)

    def get_report_interval_s(self) -> float:
        """Return the time between two reports of a host; it is longer in a large fleet."""
        hosts = len(self.list_members())
        return max(self._times.report_interval_s, hosts / self._times.report_rate_per_s)

    # Timers.

    def tick(self, now_s: float) -> None:
        """Check timeouts, and queue the periodic gossip and a sync request if one is due.

        Call this once every gossip interval.
        """
        if self._detector.reset_after_pause(now_s):
            self._unanswered_sync_host = None
        for host in self._detector.take_silent_hosts(now_s):
            self._handle_silent_host(host, now_s)
        for host in self._detector.take_expired_suspicions(now_s):
            self._set_host_state(host, MemberState.GONE, now_s)
        self._update_neighbours()
        self._queue_periodic_gossip(now_s)
        is_alone = not self._neighbours
        if is_alone or now_s - self._last_sync_s >= self._times.sync_interval_s:
            self._last_sync_s = now_s
            self.records.expire(now_s)
            self._start_sync(now_s)

    def flush(self) -> None:
        """Queue messages with the urgent records to all neighbours.

        A record is not sent back to the host that it came from.
        """
        urgent, self._urgent_records = self._urgent_records, {}
        for neighbour in self._neighbours:
            records = [r for r, source in urgent.values() if source != neighbour.host]
            for start in range(0, len(records), RECORDS_PER_MESSAGE):
                groups = group_by_kind(records[start : start + RECORDS_PER_MESSAGE])
                self._queue_message(
                    neighbour.address,
                    replace(
                        self._build_empty_gossip(),
                        hosts=groups.hosts,
                        marks=groups.marks,
                        crashes=groups.crashes,
                        quarantined=groups.quarantined,
                    ),
                )

    # Messages from other hosts.

    def receive(self, sender: HostId, message: PeerMessage, now_s: float) -> None:
        """Handle a message from another host."""
        match message:
            case Gossip():
                self._receive_gossip(sender, message, now_s)
            case SyncRequest():
                self._receive_sync_request(sender, message, now_s)
            case SyncRecords():
                self._receive_sync_records(sender, message, now_s)
        self._update_neighbours()

    def _receive_gossip(self, sender: HostId, message: Gossip, now_s: float) -> None:
        self._merge_all((*message.hosts, *message.marks), sender, now_s)
        self._merge_all((*message.crashes, *message.quarantined), sender, now_s)
        self._merge_measurements(sender, message, now_s)
        record = self.records.find_host(sender)
        if record is None or self._is_record_outdated(record, message):
            if record is not None:
                self._queue_message(record.address, self._build_sync_request())
            return
        if (record.incarnation, record.sequence) == (message.incarnation, message.sequence):
            self._detector.record_heartbeat(sender, message.watched, now_s)
        self._report_newer_version(sender, record.address, message.version)

    def _is_record_outdated(self, record: HostRecord, message: Gossip) -> bool:
        """Return whether the known record of the sender must be replaced.

        Either the sender has a newer one, or the known one says suspect or gone although the
        sender has just sent a message.
        """
        stamp = (message.incarnation, message.sequence)
        known = (record.incarnation, record.sequence)
        is_suspect_or_gone = record.state in (MemberState.SUSPECT, MemberState.GONE)
        return stamp > known or (stamp == known and is_suspect_or_gone)

    def _merge_measurements(self, sender: HostId, message: Gossip, now_s: float) -> None:
        changed = {
            record.upstream
            for record in message.loads
            if self.measurements.merge_load(record, sender, now_s)
        }
        for report in message.reports:
            is_own = report.host == self._own.host
            if not is_own and self.measurements.merge_report(report, sender, now_s):
                changed.update(report.in_flight)
        if changed:
            self._changes.append(UpstreamsChanged(upstreams=frozenset(changed)))

    def _report_newer_version(
        self, host: HostId, address: str, version: ConfigurationVersion
    ) -> None:
        """Report the version that a host announced if it is higher than the own one."""
        if version > self.version:
            self._changes.append(VersionAnnounced(version=version, host=host, address=address))

    # Synchronization: comparison of all records with one other host.

    def _start_sync(self, now_s: float) -> None:
        """Compare records with one host. If the last one did not answer, it counts as silent."""
        if self._unanswered_sync_host is not None:
            self._handle_silent_host(self._unanswered_sync_host, now_s)
        members = self.list_members()
        address = self._synchronizer.choose_address(self._own, members)
        self._unanswered_sync_host = next((r.host for r in members if r.address == address), None)
        if address is not None:
            self._queue_message(address, self._build_sync_request())

    def _build_sync_request(self) -> SyncRequest:
        return self._synchronizer.build_request(self._own, self.version)

    def _receive_sync_request(self, sender: HostId, message: SyncRequest, now_s: float) -> None:
        self._merge(message.record, sender, now_s)
        address = message.record.address
        for answer in self._synchronizer.build_answer(self._own, self.version, message):
            self._queue_message(address, answer)
        self._report_newer_version(sender, address, message.version)

    def _receive_sync_records(self, sender: HostId, message: SyncRecords, now_s: float) -> None:
        if sender == self._unanswered_sync_host:
            self._unanswered_sync_host = None
        self._merge_all((message.record,), sender, now_s)
        self._merge_all((*message.hosts, *message.marks), sender, now_s)
        self._merge_all((*message.crashes, *message.quarantined), sender, now_s)
        address = message.record.address
        for answer in self._synchronizer.build_follow_up(self._own, self.version, message):
            self._queue_message(address, answer)
        self._report_newer_version(sender, address, message.version)

    # Merging of records.

    def _merge_all(self, records: Iterable[Record], source: HostId, now_s: float) -> None:
        for record in records:
            self._merge(record, source, now_s)

    def _merge(self, record: Record, source: HostId | None, now_s: float) -> None:
        if isinstance(record, HostRecord) and record.host == self._own.host:
            self._refute(record, now_s)
            return
        if not self.records.merge(record, now_s):
            return
        self._urgent_records[build_record_key(record)] = (record, source)
        self._report_change(record, now_s)

    def _report_change(self, record: Record, now_s: float) -> None:
        match record:
            case HostRecord():
                self._handle_host_change(record, now_s)
            case UpstreamMark(upstream=upstream):
                self._changes.append(UpstreamsChanged(upstreams=frozenset([upstream])))
            case QuarantineRecord(fingerprint=fingerprint):
                self._changes.append(FingerprintQuarantined(fingerprint=fingerprint))
            case CrashRecord(fingerprint=fingerprint, upstream=upstream):
                if record.host != self._own.host:
                    self._changes.append(
                        RemoteCrashReported(fingerprint=fingerprint, upstream=upstream)
                    )

    def _handle_host_change(self, record: HostRecord, now_s: float) -> None:
        self._detector.update_suspicion(record, now_s)
        if record.state is MemberState.GONE:
            self.measurements.forget_host(record.host)
        self._hosts_changed = True
        self._changes.append(HostsChanged())

    def _refute(self, record: HostRecord, now_s: float) -> None:
        """Publish a newer own record if another host's record of this host is newer or differs."""
        stamp = (record.incarnation, record.sequence)
        own = (self._own.incarnation, self._own.sequence)
        if stamp > own or (stamp == own and record != self._own):
            incarnation, sequence = max(stamp, own)
            self._publish_own_record(incarnation, sequence + 1, self._own.state, now_s)

    def _publish_own_record(
        self, incarnation: int, sequence: int, state: MemberState, now_s: float
    ) -> None:
        self._own = replace(self._own, incarnation=incarnation, sequence=sequence, state=state)
        self.records.merge(self._own, now_s)
        self._urgent_records[build_record_key(self._own)] = (self._own, None)
        self._changes.append(HostsChanged())

    def _handle_silent_host(self, host: HostId, now_s: float) -> None:
        record = self.records.find_host(host)
        if record is None:
            return
        match record.state:
            case MemberState.LIVE:
                self._set_host_state(host, MemberState.SUSPECT, now_s)
            case MemberState.LEAVING:
                self._set_host_state(host, MemberState.GONE, now_s)

    def _set_host_state(self, host: HostId, state: MemberState, now_s: float) -> None:
        record = self.records.find_host(host)
        if record is not None:
            self._merge(replace(record, state=state), None, now_s)

    # Gossip.

    def _update_neighbours(self) -> None:
        """Choose the neighbours again if hosts have changed.

        Former neighbours get a last gossip message that ends their watch on this host. Records are
        compared with new neighbours.
        """
        if not self._hosts_changed:
            return
        self._hosts_changed = False
        neighbours = choose_neighbours(self._own, self.list_members())
        before = {record.host: record for record in self._neighbours}
        after = {record.host: record for record in neighbours}
        for host in before.keys() - after.keys():
            final = replace(self._build_empty_gossip(), watched=False)
            self._queue_message(before[host].address, final)
        for host in after.keys() - before.keys():
            self._queue_message(after[host].address, self._build_sync_request())
        self._neighbours = neighbours

    def _build_empty_gossip(self) -> Gossip:
        """Return a message with this host's stamp and version, without records."""
        return Gossip(
            incarnation=self._own.incarnation,
            sequence=self._own.sequence,
            version=self.version,
        )

    def _queue_periodic_gossip(self, now_s: float) -> None:
        batch = self.measurements.take_updates()
        count = min(FORWARDING_NEIGHBOURS, len(self._neighbours))
        forwarding_indexes = self._random.sample(range(len(self._neighbours)), count)
        for index, neighbour in enumerate(self._neighbours):
            message = self._build_periodic_gossip(
                neighbour, batch, index in forwarding_indexes, now_s
            )
            self._queue_message(neighbour.address, message)

    def _build_periodic_gossip(
        self, neighbour: HostRecord, batch: UpdateBatch, include_remote: bool, now_s: float
    ) -> Gossip:
        return replace(
            self._build_empty_gossip(),
            loads=tuple(self.measurements.select_loads(batch, include_remote, now_s)),
            reports=tuple(self.measurements.select_reports(batch, include_remote, neighbour.host)),
        )

    def _queue_message(self, address: str, message: PeerMessage) -> None:
        self._outgoing.append(OutgoingMessage(address=address, message=message))

"""The membership of one host: what it knows of the others and what it tells them. No I/O.

Times come in as seconds on a monotonic clock; messages and changes go out through ``take_sends``
and ``take_changes``.
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

from ._book import RecordTable
from ._changes import (
    Change,
    FingerprintQuarantined,
    HostsChanged,
    Outgoing,
    RemoteCrashReported,
    UpstreamsChanged,
    VersionAnnounced,
)
from ._detector import FailureDetector
from ._measurements import Measurements, NewsParcel
from ._neighbours import choose_neighbours
from ._parcels import RECORDS_PER_MESSAGE, sort_records
from ._records import Key, Record, build_key
from ._synchronization import Synchronization
from ._times import MembershipTimes

FORWARDING_NEIGHBOURS = 2
"""Neighbours that get what other hosts measured; own measurements go to all."""


class Membership:
    """Hosts, upstreams that leave, quarantined fingerprints, loads and demand."""

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
        self._synchronization = Synchronization(records=self.records, random=random)
        self._sync_waits_for: HostId | None = None
        self._urgent: dict[Key, tuple[Record, HostId | None]] = {}
        self._sends: list[Outgoing] = []
        self._changes: list[Change] = []
        self._synced_at_s = float("-inf")
        self._crash_number = record.incarnation
        self.records.merge(record, 0.0)

    @property
    def own(self) -> HostRecord:
        """The record of this host."""
        return self._own

    @property
    def has_urgent_records(self) -> bool:
        """Whether there is news that should not wait for the next heartbeat."""
        return bool(self._urgent)

    @property
    def neighbours(self) -> tuple[HostRecord, ...]:
        """The hosts that this one writes to."""
        return tuple(self._neighbours)

    def list_members(self) -> list[HostRecord]:
        """Return the hosts that take requests, this one included unless it leaves."""
        states = (MemberState.LIVE, MemberState.SUSPECT)
        return [record for record in self.records.list_hosts() if record.state in states]

    def is_leaving(self, upstream: UpstreamName) -> bool:
        """Tell whether an upstream takes no new work."""
        mark = self.records.find_mark(upstream)
        return mark is not None and mark.leaving

    def take_outgoing(self) -> list[Outgoing]:
        """Return the messages to send, once each."""
        sends, self._sends = self._sends, []
        return sends

    def take_changes(self) -> list[Change]:
        """Return what has changed, once each."""
        changes, self._changes = self._changes, []
        return changes

    # What this host itself has to tell.

    def add_seeds(self, addresses: Iterable[str]) -> None:
        """Remember addresses at which agents may be. None is ever taken as evidence of an end."""
        self._synchronization.add_seeds(addresses)

    def set_state(self, state: MemberState, now_s: float) -> None:
        """Declare that this host is live or leaving."""
        if self._own.state is not state:
            self._raise_own(self._own.incarnation, self._own.sequence + 1, state, now_s)

    def mark_upstream(self, upstream: UpstreamName, leaving: bool, now_s: float) -> None:
        """Declare that an upstream is leaving, or that it is back."""
        known = self.records.find_mark(upstream)
        if leaving == (known is not None and known.leaving):
            return
        sequence = known.sequence + 1 if known is not None else 1
        mark = UpstreamMark(upstream=upstream, sequence=sequence, leaving=leaving)
        self._merge(mark, None, now_s)

    def report_crash(self, fingerprint: Fingerprint, upstream: UpstreamName, now_s: float) -> None:
        """Declare that an upstream was lost while it ran a fingerprint."""
        self._crash_number += 1
        record = CrashRecord(
            fingerprint=fingerprint,
            upstream=upstream,
            host=self._own.host,
            number=self._crash_number,
        )
        self._merge(record, None, now_s)

    def quarantine(self, fingerprint: Fingerprint, now_s: float) -> None:
        """Declare that a fingerprint is never run again."""
        self._merge(QuarantineRecord(fingerprint=fingerprint), None, now_s)

    def set_version(self, version: ConfigurationVersion) -> None:
        """Declare the version in force here, and tell the neighbours at once."""
        self.version = version
        for neighbour in self._neighbours:
            self._send(neighbour.address, self._build_heartbeat())

    def report_load(self, record: LoadRecord, now_s: float) -> None:
        """Tell a load that this host has measured."""
        self.measurements.merge_load(record, None, now_s)

    def report_demand(self, report: HostReport, now_s: float) -> None:
        """Tell this host's demand and work in flight."""
        self.measurements.merge_report(report, None, now_s)

    def get_report_interval_s(self) -> float:
        """Return the time between two reports of a host, longer in a large fleet."""
        hosts = len(self.list_members())
        return max(self._times.report_interval_s, hosts / self._times.report_rate_per_s)

    # Time.

    def tick(self, now_s: float) -> None:
        """Do what is due. To be called once every gossip interval."""
        if self._detector.forgive_pause(now_s):
            self._sync_waits_for = None
        for host in self._detector.take_silent(now_s):
            self._judge_silent(host, now_s)
        for host in self._detector.take_uncontradicted(now_s):
            self._set_other_state(host, MemberState.GONE, now_s)
        self._update_neighbours()
        self._gossip(now_s)
        is_alone = not self._neighbours
        if is_alone or now_s - self._synced_at_s >= self._times.sync_interval_s:
            self._synced_at_s = now_s
            self.records.expire(now_s)
            self._start_sync(now_s)

    def flush(self) -> None:
        """Pass urgent news on to all neighbours."""
        urgent, self._urgent = self._urgent, {}
        for neighbour in self._neighbours:
            records = [r for r, source in urgent.values() if source != neighbour.host]
            for start in range(0, len(records), RECORDS_PER_MESSAGE):
                part = sort_records(records[start : start + RECORDS_PER_MESSAGE])
                self._send(
                    neighbour.address,
                    replace(
                        self._build_heartbeat(),
                        hosts=part.hosts,
                        marks=part.marks,
                        crashes=part.crashes,
                        quarantined=part.quarantined,
                    ),
                )

    # Messages from other hosts.

    def receive(self, sender: HostId, message: PeerMessage, now_s: float) -> None:
        """Take a message from another host."""
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
        if record is None or self._is_behind(record, message):
            if record is not None:
                self._send(record.address, self._build_sync_request())
            return
        if (record.incarnation, record.sequence) == (message.incarnation, message.sequence):
            self._detector.note_heartbeat(sender, message.watched, now_s)
        self._hear_version(sender, record.address, message.version)

    def _is_behind(self, record: HostRecord, message: Gossip) -> bool:
        """Tell whether the sender's own record has changed, or a wrong one must be put right."""
        stamp = (message.incarnation, message.sequence)
        known = (record.incarnation, record.sequence)
        doubted = record.state in (MemberState.SUSPECT, MemberState.GONE)
        return stamp > known or (stamp == known and doubted)

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

    def _hear_version(self, host: HostId, address: str, version: ConfigurationVersion) -> None:
        if version > self.version:
            self._changes.append(VersionAnnounced(version=version, host=host, address=address))

    # Comparison of all records.

    def _start_sync(self, now_s: float) -> None:
        """Compare records with one host. One that never answered the last time is silent."""
        if self._sync_waits_for is not None:
            self._judge_silent(self._sync_waits_for, now_s)
        members = self.list_members()
        address = self._synchronization.choose_address(self._own, members)
        self._sync_waits_for = next((r.host for r in members if r.address == address), None)
        if address is not None:
            self._send(address, self._build_sync_request())

    def _build_sync_request(self) -> SyncRequest:
        return self._synchronization.build_request(self._own, self.version)

    def _receive_sync_request(self, sender: HostId, message: SyncRequest, now_s: float) -> None:
        self._merge(message.record, sender, now_s)
        address = message.record.address
        for answer in self._synchronization.build_answer(self._own, self.version, message):
            self._send(address, answer)
        self._hear_version(sender, address, message.version)

    def _receive_sync_records(self, sender: HostId, message: SyncRecords, now_s: float) -> None:
        if sender == self._sync_waits_for:
            self._sync_waits_for = None
        self._merge_all((message.record,), sender, now_s)
        self._merge_all((*message.hosts, *message.marks), sender, now_s)
        self._merge_all((*message.crashes, *message.quarantined), sender, now_s)
        address = message.record.address
        for answer in self._synchronization.build_return(self._own, self.version, message):
            self._send(address, answer)
        self._hear_version(sender, address, message.version)

    # Merging.

    def _merge_all(self, records: Iterable[Record], source: HostId, now_s: float) -> None:
        for record in records:
            self._merge(record, source, now_s)

    def _merge(self, record: Record, source: HostId | None, now_s: float) -> None:
        if isinstance(record, HostRecord) and record.host == self._own.host:
            self._contradict(record, now_s)
            return
        if not self.records.merge(record, now_s):
            return
        self._urgent[build_key(record)] = (record, source)
        self._note_change(record, now_s)

    def _note_change(self, record: Record, now_s: float) -> None:
        match record:
            case HostRecord():
                self._note_host(record, now_s)
            case UpstreamMark(upstream=upstream):
                self._changes.append(UpstreamsChanged(upstreams=frozenset([upstream])))
            case QuarantineRecord(fingerprint=fingerprint):
                self._changes.append(FingerprintQuarantined(fingerprint=fingerprint))
            case CrashRecord(fingerprint=fingerprint, upstream=upstream):
                if record.host != self._own.host:
                    self._changes.append(
                        RemoteCrashReported(fingerprint=fingerprint, upstream=upstream)
                    )

    def _note_host(self, record: HostRecord, now_s: float) -> None:
        self._detector.note_record(record, now_s)
        if record.state is MemberState.GONE:
            self.measurements.forget_host(record.host)
        self._hosts_changed = True
        self._changes.append(HostsChanged())

    def _contradict(self, record: HostRecord, now_s: float) -> None:
        """Raise the own record above what another host says of this one, if that differs."""
        stamp = (record.incarnation, record.sequence)
        own = (self._own.incarnation, self._own.sequence)
        if stamp > own or (stamp == own and record != self._own):
            incarnation, sequence = max(stamp, own)
            self._raise_own(incarnation, sequence + 1, self._own.state, now_s)

    def _raise_own(self, incarnation: int, sequence: int, state: MemberState, now_s: float) -> None:
        self._own = replace(self._own, incarnation=incarnation, sequence=sequence, state=state)
        self.records.merge(self._own, now_s)
        self._urgent[build_key(self._own)] = (self._own, None)
        self._changes.append(HostsChanged())

    def _judge_silent(self, host: HostId, now_s: float) -> None:
        record = self.records.find_host(host)
        if record is None:
            return
        match record.state:
            case MemberState.LIVE:
                self._set_other_state(host, MemberState.SUSPECT, now_s)
            case MemberState.LEAVING:
                self._set_other_state(host, MemberState.GONE, now_s)

    def _set_other_state(self, host: HostId, state: MemberState, now_s: float) -> None:
        record = self.records.find_host(host)
        if record is not None:
            self._merge(replace(record, state=state), None, now_s)

    # Heartbeats.

    def _update_neighbours(self) -> None:
        """Choose neighbours anew if hosts have changed.

        The old ones are told, records are compared with the new ones.
        """
        if not self._hosts_changed:
            return
        self._hosts_changed = False
        chosen = choose_neighbours(self._own, self.list_members())
        before = {record.host: record for record in self._neighbours}
        after = {record.host: record for record in chosen}
        for host in before.keys() - after.keys():
            last = replace(self._build_heartbeat(), watched=False)
            self._send(before[host].address, last)
        for host in after.keys() - before.keys():
            self._send(after[host].address, self._build_sync_request())
        self._neighbours = chosen

    def _build_heartbeat(self) -> Gossip:
        return Gossip(
            incarnation=self._own.incarnation,
            sequence=self._own.sequence,
            version=self.version,
        )

    def _gossip(self, now_s: float) -> None:
        parcel = self.measurements.take_news()
        number = min(FORWARDING_NEIGHBOURS, len(self._neighbours))
        forwarding = self._random.sample(range(len(self._neighbours)), number)
        for place, neighbour in enumerate(self._neighbours):
            message = self._build_gossip(neighbour, parcel, place in forwarding, now_s)
            self._send(neighbour.address, message)

    def _build_gossip(
        self, neighbour: HostRecord, parcel: NewsParcel, foreign: bool, now_s: float
    ) -> Gossip:
        return replace(
            self._build_heartbeat(),
            loads=tuple(self.measurements.select_loads(parcel, foreign, now_s)),
            reports=tuple(self.measurements.select_reports(parcel, foreign, neighbour.host)),
        )

    def _send(self, address: str, message: PeerMessage) -> None:
        self._sends.append(Outgoing(address=address, message=message))

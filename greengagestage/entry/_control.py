"""Message exchange between an entry process and the agent of its host."""

from typing import Any

import msgspec
from eliot import log_message
from twisted.internet.task import LoopingCall

from greengagestage.configuration import compute_digest, decode_declaration
from greengagestage.ids import ClassName, PoolName, UpstreamName
from greengagestage.policy import (
    CrashReported,
    DeclarationAdopted,
    FingerprintQuarantined,
    SharesUpdated,
    UpstreamReport,
    UpstreamsReported,
    UpstreamState,
)
from greengagestage.wire import (
    AgentMessage,
    ConfigurationInForce,
    CrashReport,
    EntryStatus,
    HostShares,
    QuarantineNotice,
    RequestRecord,
    RequestRecords,
    UpstreamStatus,
    UpstreamStatuses,
)

from ._directory import Directory
from ._fleet import FleetView
from ._ports import MessageSender
from ._readiness import Readiness
from ._records import build_request_record
from ._shell import Shell

STATUS_INTERVAL_S = 1.0
ENDED_RECORDS_PER_MESSAGE = 64
"""Largest number of ended requests in one message; a report has several messages if necessary."""

OPEN_RECORDS_PER_MESSAGE = 32
"""Number of open requests that fit in a report's last message in addition to
``ENDED_RECORDS_PER_MESSAGE`` ended ones. With fewer ended ones, more open ones fit."""

OPEN_RECORD_AGE_S = 1.0
"""Age from which an open request is reported to the agent."""
_MS_PER_S = 1000


class AgentControl:
    """Converts the agent's messages to policy events; reports demand and requests to the agent."""

    def __init__(
        self,
        *,
        reactor: Any,
        shell: Shell,
        readiness: Readiness,
        sender: MessageSender,
        fleet: FleetView,
    ) -> None:
        self._reactor = reactor
        self._shell = shell
        self._readiness = readiness
        self._sender = sender
        self._fleet = fleet
        self._report = LoopingCall(self.send_report)
        self._report.clock = reactor

    def start(self) -> None:
        """Start the periodic reports."""
        self._report.start(STATUS_INTERVAL_S)

    def stop(self) -> None:
        """Stop the periodic reports and send a last one."""
        if self._report.running:
            self._report.stop()
            self.send_report()

    def receive(self, message: AgentMessage) -> None:
        """Handle a message from the agent."""
        match message:
            case ConfigurationInForce():
                self._adopt(message)
            case UpstreamStatuses(statuses=statuses):
                reports = tuple(self._convert_status(status) for status in statuses)
                self._shell.feed(UpstreamsReported(reports=reports))
            case HostShares(slots=slots, entry_hosts=entry_hosts):
                self._fleet.update(message)
                self._shell.feed(SharesUpdated(slots=slots, entry_hosts=entry_hosts))
            case CrashReport(fingerprint=fingerprint, upstream=upstream):
                self._shell.feed(CrashReported(fingerprint=fingerprint, upstream=upstream))
            case QuarantineNotice(fingerprint=fingerprint):
                self._shell.feed(FingerprintQuarantined(fingerprint=fingerprint))

    def send_report(self) -> None:
        """Send the demand, the requests in flight, and the records of ended and open requests.

        Ended records are removed, even if the agent is not connected and the message is lost.
        """
        snapshot = self._shell.policy.inspect()
        demand: dict[PoolName, dict[ClassName, int]] = {}
        for load in snapshot.classes:
            demand.setdefault(load.pool, {})[load.service_class] = load.queued + load.running
        in_flight: dict[UpstreamName, int] = {
            load.upstream: load.in_flight for load in snapshot.upstreams if load.in_flight
        }
        self._sender.send(
            EntryStatus(demand=demand, in_flight=in_flight, stopping=self._readiness.stopping)
        )
        explain = self._shell.policy.explain
        for group in self._take_records():
            records = tuple(
                msgspec.structs.replace(record, notes=explain(record.request_id))
                for record in group
            )
            self._sender.send(RequestRecords(records=records))

    def _adopt(self, message: ConfigurationInForce) -> None:
        current = self._readiness.directory
        if current is not None and message.version <= current.version:
            return
        if compute_digest(message.document) != message.digest:
            log_message(
                message_type="entry: configuration has a wrong digest",
                **_build_version_fields(message),
            )
            return
        try:
            declaration = decode_declaration(message.document)
            directory = Directory(version=message.version, declaration=declaration)
        except (msgspec.DecodeError, ValueError) as error:
            log_message(
                message_type="entry: configuration cannot be read",
                fault=str(error),
                **_build_version_fields(message),
            )
            return
        self._readiness.directory = directory
        self._shell.adopt(directory)
        self._shell.feed(DeclarationAdopted(declaration=declaration))
        log_message(message_type="entry: configuration adopted", **_build_version_fields(message))

    def _convert_status(self, status: UpstreamStatus) -> UpstreamReport:
        return UpstreamReport(
            upstream=status.upstream,
            state=UpstreamState(status.state),
            running=status.running,
            waiting=status.waiting,
            peers_in_flight=status.peers_in_flight,
            measured_at_s=self._reactor.seconds() - status.age_ms / _MS_PER_S,
            cached_prefixes=frozenset(status.cached_prefixes),
        )

    def _take_records(self) -> list[list[RequestRecord]]:
        """Clear the ended records; return them and records of open requests, by message."""
        ended_records = self._shell.finisher.ended_records
        ended = list(ended_records)
        ended_records.clear()
        groups = [
            ended[i : i + ENDED_RECORDS_PER_MESSAGE]
            for i in range(0, len(ended), ENDED_RECORDS_PER_MESSAGE)
        ] or [[]]
        last = groups[-1]
        for active in self._shell.requests:
            if len(last) >= ENDED_RECORDS_PER_MESSAGE + OPEN_RECORDS_PER_MESSAGE:
                break
            if active.age_s >= OPEN_RECORD_AGE_S:
                last.append(build_request_record(active))
        return [group for group in groups if group]


def _build_version_fields(message: ConfigurationInForce) -> dict[str, object]:
    return {"version": message.version, "digest": message.digest}

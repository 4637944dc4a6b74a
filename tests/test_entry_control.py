"""Messages to and from the agent, and the graceful stop."""

import socket
import time

import msgspec
from twisted.internet.defer import inlineCallbacks
from twisted.trial.unittest import TestCase

from greengagestage.configuration import compute_digest, encode_declaration
from greengagestage.entry import FleetView, LifecycleTimes
from greengagestage.entry._conclusions import MAX_ENDED_RECORDS
from greengagestage.entry._control import ENDED_RECORDS_PER_MESSAGE, OPEN_RECORD_AGE_S
from greengagestage.ids import ConfigurationVersion, Fingerprint, HostId, UpstreamName
from greengagestage.policy import (
    DeclarationAdopted,
    FingerprintQuarantined,
    SharesUpdated,
    UpstreamsReported,
    UpstreamState,
)
from greengagestage.wire import (
    ConfigurationInForce,
    EntryStatus,
    HostShares,
    QuarantineNotice,
    RequestRecords,
    UpstreamStatus,
    UpstreamStatuses,
)

from .builders import build_declaration
from .entry_fakes import (
    SimplePolicy,
)
from .entry_harness import (
    EntryCase,
)
from .raw_caller import (
    build_body,
    build_request,
    wait_until,
)
from .scripted_upstreams import (
    TEXT,
    answer_then,
    answer_whole,
    chunked,
    stream_events,
)

DOCUMENT = encode_declaration(build_declaration())


def build_configuration(version: int, document: bytes = DOCUMENT, digest: str = "") -> object:
    return ConfigurationInForce(
        version=ConfigurationVersion(version),
        digest=digest or compute_digest(document),
        document=document,
    )


class ControlCase(EntryCase):
    def build_policy(self):
        self.policy = SimplePolicy(upstreams=("engine-0",))
        return self.policy

    def test_only_newer_valid_configurations_are_adopted(self):
        receive = self.process.control.receive
        adopted = []
        for message in (
            build_configuration(3, digest="0" * 64),
            build_configuration(3, document=b"{}"),
            build_configuration(3),
            build_configuration(2),
            build_configuration(3),
            build_configuration(4),
        ):
            receive(message)
            adopted.append(len(self.policy.find_events(DeclarationAdopted)))
        assert adopted == [0, 0, 1, 1, 1, 2]
        assert self.process.readiness.directory.version == 4

    def test_agent_messages_become_policy_events(self):
        receive = self.process.control.receive
        engine = UpstreamName("engine-0")
        status = UpstreamStatus(upstream=engine, state="leaving", running=3, age_ms=500)
        receive(UpstreamStatuses(statuses=(status,)))
        receive(HostShares(slots={engine: 2}, entry_hosts=8))
        receive(QuarantineNotice(fingerprint=Fingerprint("f")))
        (reported,) = self.policy.find_events(UpstreamsReported)
        assert reported.reports[0].state is UpstreamState.LEAVING
        assert reported.reports[0].running == 3
        assert self.policy.find_events(SharesUpdated) == [
            SharesUpdated(slots={engine: 2}, entry_hosts=8)
        ]
        assert self.policy.find_events(FingerprintQuarantined)

    @inlineCallbacks
    def test_status_and_records_are_sent(self):
        self.configure(self.start_upstream(answer_whole))
        caller = yield self.call(build_request(build_body()))
        self.process.control.send_report()
        (records,) = [m for m in self.link.sent if isinstance(m, RequestRecords)]
        (record,) = records.records
        assert record.request_id == caller.headers["x-request-id"]
        assert (record.code, record.state, record.tokens) == (0, "delivered", 7)
        assert (record.attempts, record.within_target, record.notes) == (1, True, ("a note",))
        assert [m for m in self.link.sent if isinstance(m, EntryStatus)]

    def report_ended(self, names):
        """Report requests that all ended like the one that ended before."""
        ended_records = self.process.shell.finisher.ended_records
        record = ended_records.popleft()
        ended_records.extend(msgspec.structs.replace(record, request_id=name) for name in names)
        self.process.control.send_report()
        assert not ended_records
        return [m.records for m in self.link.sent if isinstance(m, RequestRecords)]

    @inlineCallbacks
    def test_every_ended_request_is_reported_in_messages_of_limited_size(self):
        self.process.control.stop()
        self.configure(self.start_upstream(answer_whole))
        yield self.call(build_request(build_body()))
        names = [f"r{number}" for number in range(MAX_ENDED_RECORDS)]
        messages = self.report_ended(names)
        assert [each.request_id for records in messages for each in records] == names
        assert max(len(records) for records in messages) <= ENDED_RECORDS_PER_MESSAGE

    @inlineCallbacks
    def test_open_requests_are_reported_beside_many_ended_ones(self):
        self.process.control.stop()
        self.configure(self.start_upstream(answer_then(2), answer_whole))
        yield self.send(build_request(build_body()))
        yield wait_until(lambda: len(self.process.shell.requests) == 1)
        yield self.call(build_request(build_body()))
        (active,) = self.process.shell.requests
        active.arrived_s -= OPEN_RECORD_AGE_S
        names = [f"r{number}" for number in range(MAX_ENDED_RECORDS)]
        messages = self.report_ended(names)
        reported = [each.request_id for records in messages for each in records]
        assert reported == [*names, active.request_id]


class BusyStopCase(EntryCase):
    # Guards against a busy process that closes its listener over requests that wait in its queue.
    @inlineCallbacks
    def test_a_request_that_waits_to_be_accepted_is_answered(self):
        stopped = self.process.stop()
        with socket.create_connection(("127.0.0.1", self.process.port)) as caller:
            caller.sendall(build_request(build_body()))
            time.sleep(2 * self.times.drain_notice_s)
            yield stopped
            caller.setblocking(False)
            assert caller.recv(4_096).startswith(b"HTTP/1.1 503 ")


class StopCase(EntryCase):
    times = LifecycleTimes(drain_notice_s=2.0)

    @inlineCallbacks
    def test_requests_in_progress_complete(self):
        engine = self.start_upstream(answer_then(2))
        self.configure(engine)
        open_caller = yield self.send(build_request(build_body()))
        idle = yield self.call(build_request(method="GET", path="/readyz"))
        assert idle.status == 200
        queued = []
        for _ in range(5):
            queued.append((yield self.send(build_request(build_body()))))
        yield wait_until(lambda: len(self.process.shell.requests) == 6)
        stopped = self.process.stop()
        probe = yield self.call(build_request(method="GET", path="/readyz"))
        assert (probe.status, probe.headers["connection"]) == (503, "close")
        late = yield self.send(build_request(build_body()))
        partial = yield self.send(build_request(build_body())[:-3])
        yield wait_until(lambda: idle.closed)
        partial.transport.write(build_request(build_body())[-3:])
        engine.scripts = [answer_whole]
        for request in list(engine.requests):
            request.send(*map(chunked, stream_events(request)[2:]), b"0\r\n\r\n")
        callers = [open_caller, late, partial, *queued]
        yield wait_until(lambda: all(caller.closed for caller in callers))
        assert [caller.text for caller in callers] == [TEXT] * len(callers)
        assert all(caller.body.endswith(b"data: [DONE]\n\n") for caller in callers)
        yield stopped


class FleetViewTest(TestCase):
    def test_every_host_is_live_until_the_agent_lists_the_live_ones(self):
        fleet = FleetView()
        notified = []
        fleet.subscribe(lambda: notified.append(fleet.entry_hosts))
        assert fleet.is_live_host(HostId("b"))
        fleet.update(HostShares(slots={}, entry_hosts=8, live_hosts=(HostId("a"),)))
        assert (fleet.is_live_host(HostId("a")), fleet.is_live_host(HostId("b"))) == (True, False)
        fleet.update(HostShares(slots={}, entry_hosts=0))
        assert fleet.is_live_host(HostId("b"))
        assert notified == [8, 1]

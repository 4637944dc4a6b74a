"""Tests of gateway parts without sockets: event relay, store clock, datagrams, logs, settings."""

import json

import msgspec
import pytest
import xxhash
from hypothesis import given
from hypothesis import strategies as st
from returns.result import Failure, Success
from twisted.internet.task import Clock

from greengagestage.catalog import Bounds, HostSettings
from greengagestage.gateway import EventRelay, SettingsWatch, StoreClock
from greengagestage.gateway.peers._peer_messages import (
    PROTOCOL_VERSION,
    ConfigurationReport,
    DemandEntry,
    DomainReport,
    LimitReport,
    LoadEntry,
    LoadReport,
    LossEntry,
    LossReport,
    PeerMessage,
    RegistryReport,
    Sender,
    SuspectEntry,
    SuspectsReport,
    TotalsReport,
    Work,
    decode_message,
    encode_message,
)
from greengagestage.gateway.peers._peers import PeerCallbacks, PeerLink
from greengagestage.gateway.peers._suspect_reports import build_suspect_reports, read_suspect_report
from greengagestage.ids import FailureDomain, Fingerprint, HostId, InstanceId, ServiceName
from greengagestage.routing import CrashSuspects, Demand, SuspectRecord, UpstreamLoad
from greengagestage.telemetry import BoundedOutput

from .suspect_builders import record_losses

EVENTS = b"".join(b"id: %d\ndata: x\n\n" % number for number in range(1, 8))


@given(st.lists(st.integers(1, len(EVENTS) - 1), max_size=8))
def test_only_complete_events_are_relayed_for_any_chunking(cuts: list[int]) -> None:
    relay, passed = EventRelay(), b""
    boundaries = [0, *sorted(cuts), len(EVENTS)]
    for start, end in zip(boundaries, boundaries[1:], strict=False):
        passed += relay.feed(EVENTS[start:end])
        assert passed.endswith(b"\n\n") or not passed
    assert passed == EVENTS
    assert relay.last_event_id == b"7"
    assert not relay.has_partial


def test_an_interrupted_event_is_not_relayed_twice() -> None:
    relay = EventRelay()
    passed = relay.feed(b"id: 1\ndata: x\n\nid: 2\nda")
    relay.drop_partial()
    passed += relay.feed(b"id: 2\ndata: x\n\n")
    assert passed == b"id: 1\ndata: x\n\nid: 2\ndata: x\n\n"


# Guards against events that come twice, and logs that cannot show whether a further upstream went
# on where it was asked to.
def test_only_a_further_upstream_that_goes_on_is_relayed() -> None:
    relay, passed, defects = EventRelay(), b"", []
    for data in (EVENTS[:40], EVENTS[:15], EVENTS[30:45]):
        relay.begin_run()
        passed += relay.feed(data)
        defects.append(relay.defect)
        relay.drop_partial()
    assert relay.continuations == [(b"2", b"1"), (b"2", b"3")]
    assert (passed, relay.last_event_id, relay.events) == (EVENTS[:45], b"3", 3)
    assert defects == [None, "event b'1' after event b'2'", None]


# Guards against sound streams that are taken for broken ones because of the form of their ids.
@pytest.mark.parametrize(
    ("earlier", "event_id", "follows"),
    [
        (b"9", b"10", True),
        (b"10", b"9", False),
        (b"7", b"7", False),
        (b"007", b"7", False),
        (b"3", b"9" * 5_000, True),
        (b"9" * 5_000, b"3", False),
        (b"b-2", b"a-1", True),
        (b"b-2", b"b-2", False),
        (b"10", b"a", True),
    ],
)
def test_decimal_ids_of_a_stream_increase(earlier: bytes, event_id: bytes, follows: bool) -> None:
    relay = EventRelay()
    relay.feed(b"id: " + earlier + b"\ndata: x\n\n")
    relay.begin_run()
    event = b"id: " + event_id + b"\ndata: x\n\n"
    assert relay.feed(event) == (event if follows else b"")
    assert relay.last_event_id == (event_id if follows else earlier)


# Guards against sound events that are held back, and then taken for a part of one at the end of the
# stream, because of how their lines end.
@pytest.mark.parametrize(
    ("line_end", "blank"),
    [(b"\n", b"\n"), (b"\r\n", b"\r\n"), (b"\r", b"\r"), (b"\n", b"\r\n"), (b"\r\n", b"\n")],
)
def test_events_are_relayed_at_their_ends_for_any_line_ends(line_end: bytes, blank: bytes) -> None:
    version = b"greengagestage-weight-versions: 8" + line_end
    bodies = [version * (number == 2) + b"id: %d" % number for number in range(1, 4)]
    events = [body + line_end + b"data: x" + line_end + blank for body in bodies]
    stream = b"".join(events)
    slow, passed = EventRelay(), b""
    for cut in range(len(stream) + 1):
        relay = EventRelay()
        first = relay.feed(stream[:cut])
        assert first == b"".join(events[: _count_whole(events, cut)])
        assert first + relay.feed(stream[cut:]) == stream
        assert (relay.last_event_id, relay.events, relay.has_partial) == (b"3", 3, False)
        passed += slow.feed(stream[cut : cut + 1])
        assert passed == b"".join(events[: _count_whole(events, cut + 1)])


def _count_whole(events: list[bytes], size: int) -> int:
    ends = [len(b"".join(events[: number + 1])) for number in range(len(events))]
    return sum(end <= size for end in ends)


# Guards against a stream that is resumed before its last event, which is then repeated.
@pytest.mark.parametrize(
    ("data", "can_resume"),
    [
        (b"", True),
        (b"data: x\n\n", False),
        (b"id: 1\ndata: x\n\n", True),
        (b"data: x\nid: 1\n\n", True),
        (b"id: 1\ndata: x\n\ndata: y\n\n", False),
        (b"id: 1\ndata: x\n\ndata: y\n\nid: 2\ndata: z\n\n", True),
        (b"id: 1\ndata: x\n\n: keep-alive\n\n", True),
        (b"id: 1\ndata: x\n\ndata: y", True),
        (b"id: 1\ndata: x\n\nid:\ndata: y\n\n", False),
        (b"id: 1\ndata: x\n\nid: a\0b\ndata: y\n\n", False),
        (b"id: 1\ndata: x\n\nid: a b\xe9\ndata: y\n\n", True),
    ],
)
def test_a_stream_is_resumed_only_after_an_event_with_an_id(data: bytes, can_resume: bool) -> None:
    relay = EventRelay()
    relay.feed(data)
    assert relay.can_resume is can_resume


# Guards against sound streams that are taken for broken off because of a comment or an empty line
# after the last event.
@pytest.mark.parametrize(
    ("rest", "is_partial"),
    [(b": bye", False), (b"\n", False), (b"\r\n: bye\n", False), (b"d", True), (b": a\nid", True)],
)
def test_bytes_after_the_last_event_are_relayed_at_the_end(rest: bytes, is_partial: bool) -> None:
    relay = EventRelay()
    assert relay.feed(b"id: 1\n\n") == b"id: 1\n\n"
    assert relay.feed(rest) == b""
    assert relay.has_partial is is_partial
    assert relay.finish() == rest


@given(
    st.lists(
        st.tuples(st.floats(0, 5), st.floats(0, 0.2), st.floats(0, 0.2)), min_size=1, max_size=20
    )
)
def test_the_bound_of_an_answer_time_is_never_after_the_answer(calls: list) -> None:
    clock, now_s, offset_s = StoreClock(), 100.0, 7_000.0
    for waited_s, outbound_s, return_s in calls:
        sent_s = now_s
        answered_s = sent_s + outbound_s + waited_s
        received_s = answered_s + return_s
        bound_s = clock.record_answer_time(
            sent_s=sent_s, received_s=received_s, store_s=answered_s - offset_s
        )
        assert sent_s <= bound_s <= answered_s + 1e-6
        now_s = received_s


def test_the_answer_time_of_a_watch_comes_from_the_store_clock() -> None:
    clock = StoreClock()
    clock.record_answer_time(sent_s=10.0, received_s=10.004, store_s=1.002)
    bound_s = clock.record_answer_time(sent_s=10.1, received_s=12.0, store_s=2.998)
    assert bound_s == pytest.approx(11.996)


def test_the_send_time_bounds_answers_after_the_store_clock_restarted() -> None:
    clock = StoreClock()
    clock.record_answer_time(sent_s=10.0, received_s=10.1, store_s=500.0)
    assert clock.record_answer_time(sent_s=20.0, received_s=20.1, store_s=1.0) == 20.0


SENDER = Sender(PROTOCOL_VERSION, HostId("h2"), 5, 1)
I_1 = xxhash.xxh32_intdigest(b"i-1")
WORK = Work([LoadEntry(I_1, 120, 1, 2, 30, 120, 1)], [DemandEntry(ServiceName("engines"), 40, 200)])
DOMAIN = FailureDomain("a")


def build_message(body, host: str = "h2", incarnation: int = 5, sequence: int = 1) -> PeerMessage:
    return PeerMessage(Sender(PROTOCOL_VERSION, HostId(host), incarnation, sequence), body)


@pytest.mark.parametrize(
    "body",
    [
        LoadReport(DOMAIN, WORK),
        DomainReport(DOMAIN, 3, WORK),
        TotalsReport(7, 1, 9, WORK),
        LossReport(Fingerprint("f"), "a1.1"),
        SuspectsReport([SuspectEntry(7, 120, [LossEntry(9, 300, 200)])]),
        LimitReport(InstanceId("i-1"), 5, 2.8),
        LimitReport(InstanceId("i-1"), None, None),
        RegistryReport(1, 2),
        RegistryReport(1, 2, era=3),
        ConfigurationReport(4, 5.5),
        ConfigurationReport(4, 5.5, era=3, version=7, confirms=False),
    ],
)
def test_encoded_messages_decode_to_equal_messages(body) -> None:
    assert decode_message(encode_message(build_message(body))) == build_message(body)


@given(st.binary(max_size=100))
def test_arbitrary_datagrams_decode_without_exceptions(data: bytes) -> None:
    decode_message(data)


def test_other_versions_and_long_datagrams_are_dropped() -> None:
    other = msgspec.structs.replace(SENDER, version=PROTOCOL_VERSION + 1)
    assert decode_message(encode_message(PeerMessage(other, LoadReport(DOMAIN, WORK)))) is None
    assert decode_message(b"x" * 2_000) is None


class RecordingTransport:
    """A datagram transport that records what is sent."""

    def __init__(self) -> None:
        self.sent: list[tuple[bytes, tuple[str, int]]] = []

    def write(self, data: bytes, address: tuple[str, int]) -> None:
        self.sent.append((data, address))


class PeerLinkHarness:
    """The peer link of host ``h1``, whose hub is ``a``, on a simulated clock."""

    def __init__(self) -> None:
        self.clock = Clock()
        self.loads: dict[InstanceId, UpstreamLoad] = {}
        self.calls: list = []
        self.suspects: list[SuspectRecord] = []
        self.link = PeerLink(
            reactor=self.clock,
            host=HostId("h1"),
            domain=DOMAIN,
            incarnation=9,
            port=7_340,
            draw=lambda: 0.5,
            callbacks=PeerCallbacks(
                measure_local_loads=lambda now_s: dict(self.loads),
                measure_local_demand=lambda now_s: {},
                list_upstreams=lambda: [InstanceId("i-1"), InstanceId("i-2")],
                on_work=lambda loads, demands: self.calls.append((loads, demands)),
                list_losses=lambda now_s: [],
                on_losses=lambda records: None,
                on_loss=lambda fingerprint, loss_id: self.calls.append(loss_id),
                list_suspects=lambda now_s: list(self.suspects),
                on_suspects=lambda records: self.calls.append(records) or [],
                on_limit=lambda incarnation, per_s: self.calls.append((incarnation, per_s)),
                on_rejection=lambda incarnation, number: self.calls.append((incarnation, number)),
                on_registry=self.calls.append,
                on_configuration=self.calls.append,
                take_streams=lambda now_s: [],
                on_streams=self.calls.append,
                on_versions=self.calls.append,
                on_peers=lambda addresses: None,
            ),
        )
        self.link.transport = self.transport = RecordingTransport()
        self.link.add_peer(HostId("a"), "10.0.0.1", DOMAIN)
        self.link.start()
        self.clock.advance(0.1)
        self.calls.clear()

    def receive(self, body, **sender) -> None:
        data = encode_message(build_message(body, host="a", **sender))
        self.link.datagramReceived(data, ("10.0.0.1", 7_340))


def test_messages_older_than_the_newest_are_ignored() -> None:
    harness = PeerLinkHarness()
    for sequence, incarnation in ((5, 1), (4, 1), (9, 0)):
        harness.receive(
            ConfigurationReport(sequence, 1.0), sequence=sequence, incarnation=incarnation
        )
    assert harness.calls == [ConfigurationReport(5, 1.0)]
    harness.receive(ConfigurationReport(1, 1.0), sequence=1, incarnation=2)
    assert harness.calls[-1] == ConfigurationReport(1, 1.0)


def test_a_crash_report_after_the_port_was_closed_is_ignored() -> None:
    harness = PeerLinkHarness()
    harness.link.transport = None
    harness.link.report_loss(Fingerprint("f"), "a1.1")


# Guards against reports that a datagram cannot hold, which no host would read.
def test_suspects_are_reported_whole_in_datagrams_of_any_number() -> None:
    suspects = CrashSuspects()
    for number in range(40):
        record_losses(suspects, f"part-{number}", range(100, 108), lost_s=None)
    records = suspects.list_records(200.0)
    reports = list(build_suspect_reports(records, 200.0))
    assert all(decode_message(encode_message(build_message(report))) for report in reports)
    read = [record for report in reports for record in read_suspect_report(report, 200.0)]
    assert read == records


def test_a_host_tells_others_what_it_knows_of_suspects() -> None:
    harness = PeerLinkHarness()
    suspects = CrashSuspects()
    record_losses(suspects, "bad", [1])
    harness.suspects = suspects.list_records(1.0)
    harness.clock.advance(1.0)
    messages = [decode_message(data) for data, _ in harness.transport.sent]
    assert any(isinstance(each.body, SuspectsReport) for each in messages if each is not None)


def test_totals_of_the_hub_are_decoded_into_loads_and_demands() -> None:
    harness = PeerLinkHarness()
    harness.receive(TotalsReport(0, 3, 9, WORK))
    ((loads, demands),) = harness.calls
    assert loads[InstanceId("i-1")] == UpstreamLoad(
        prefill_s=0.12,
        sensitive_requests=1,
        tolerant_requests=2,
        tokens=30_000,
        gap_s=0.04,
        stalled=True,
    )
    assert demands == {ServiceName("engines"): Demand(sensitive=0.04, tolerant=0.2)}
    assert (harness.link.rank, harness.link.active_peers) == (3, 8)


def test_own_work_is_reported_to_the_hub_and_subtracted_from_its_sum() -> None:
    harness = PeerLinkHarness()
    harness.loads = {
        InstanceId("i-1"): UpstreamLoad(prefill_s=0.1, tolerant_requests=1, tokens=10_000)
    }
    harness.clock.advance(0.1)
    data, address = harness.transport.sent[-1]
    assert address == ("10.0.0.1", 7_340)
    report = decode_message(data)
    assert report is not None
    harness.calls.clear()
    harness.receive(TotalsReport(report.sender.sequence, 3, 9, report.body.work))
    assert harness.calls == [({}, {})]


class LimitedOutput:
    """An output that accepts a limited number of bytes and then would block."""

    def __init__(self) -> None:
        self.data = b""
        self.capacity = 1_000_000

    def write(self, data: bytes) -> int:
        if not self.capacity:
            raise BlockingIOError
        taken = data[: self.capacity]
        self.data += taken
        self.capacity -= len(taken)
        return len(taken)


def read_lines(sink: LimitedOutput) -> list[dict]:
    return [json.loads(line) for line in sink.data.splitlines()]


def test_log_lines_above_the_rate_limit_are_counted_and_dropped() -> None:
    clock, sink = Clock(), LimitedOutput()
    output = BoundedOutput(seconds=clock.seconds, write=sink.write)
    for number in range(1_000):
        output({"message_type": "x", "n": number, "task_uuid": "u"})
    assert len(read_lines(sink)) == 400
    clock.advance(1.0)
    output({"message_type": "x"})
    assert read_lines(sink)[-1]["lines_dropped_before"] == 600
    assert "task_uuid" not in read_lines(sink)[0]


def test_an_unread_log_pipe_does_not_block() -> None:
    clock, sink = Clock(), LimitedOutput()
    sink.capacity = 30
    output = BoundedOutput(seconds=clock.seconds, write=sink.write)
    for number in range(10):
        output({"message_type": "a long enough line", "n": number})
    sink.capacity = 1_000_000
    output({"message_type": "after"})
    lines = read_lines(sink)
    assert lines[0]["n"] == 0
    assert lines[-1] == {"message_type": "after", "lines_dropped_before": 9}


def build_settings(**bounds: float) -> HostSettings:
    return HostSettings(
        host=HostId("h1"),
        address="10.0.0.1",
        failure_domain=FailureDomain("a"),
        callers=("10.0.0.1", 1),
        readiness=("10.0.0.1", 2),
        peer_port=3,
        store=("10.0.0.2", 4),
        bounds=Bounds(**bounds),
    )


def test_changed_settings_are_adopted_without_a_signal_and_faulty_ones_are_not() -> None:
    clock, taken = Clock(), []
    old, new = build_settings(), build_settings(stop_grace_s=20.0)
    answers = [Success(old), Failure(("Node is missing",)), Success(new), Success(new)]
    watch = SettingsWatch(
        reactor=clock, read=lambda: answers.pop(0), current=old, on_change=taken.append
    )
    watch.start()
    for _ in range(4):
        clock.advance(5.0)
    assert taken == [new]

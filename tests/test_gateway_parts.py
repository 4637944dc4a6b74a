"""The gateway's parts without sockets: relay, clock of the store, datagrams, log lines."""

import json

import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st
from returns.result import Failure, Success
from twisted.internet.task import Clock

from greengagestage.catalog import Bounds, HostSettings
from greengagestage.gateway import (
    EventRelay,
    LoadReport,
    SettingsWatch,
    StoreClock,
    StrikeReport,
)
from greengagestage.gateway._peer_messages import LoadEntry, Sender, decode_message, encode_message
from greengagestage.gateway._peers import PeerEvents, PeerLink
from greengagestage.ids import FailureDomain, Fingerprint, HostId, InstanceId
from greengagestage.routing import UpstreamLoad
from greengagestage.telemetry import BoundedOutput

EVENTS = b"".join(b"id: %d\ndata: x\n\n" % number for number in range(1, 8))


@given(st.lists(st.integers(1, len(EVENTS) - 1), max_size=8))
def test_events_are_passed_on_whole_wherever_they_are_cut(cuts: list[int]) -> None:
    relay, passed = EventRelay(), b""
    edges = [0, *sorted(cuts), len(EVENTS)]
    for start, end in zip(edges, edges[1:], strict=False):
        passed += relay.feed(EVENTS[start:end])
        assert passed.endswith(b"\n\n") or not passed
    assert passed == EVENTS
    assert relay.last_event_id == b"7"
    assert not relay.has_partial


def test_a_cut_event_is_not_passed_on_twice() -> None:
    relay = EventRelay()
    passed = relay.feed(b"id: 1\ndata: x\n\nid: 2\nda")
    relay.drop_partial()
    passed += relay.feed(b"id: 2\ndata: x\n\n")
    assert passed == b"id: 1\ndata: x\n\nid: 2\ndata: x\n\n"


def test_what_follows_the_last_event_is_passed_on_at_the_end() -> None:
    relay = EventRelay()
    assert relay.feed(b"id: 1\n\n: bye") == b"id: 1\n\n"
    assert relay.finish() == b": bye"


@given(
    st.lists(
        st.tuples(st.floats(0, 5), st.floats(0, 0.2), st.floats(0, 0.2)), min_size=1, max_size=20
    )
)
def test_an_answer_is_never_dated_later_than_it_was_given(calls: list) -> None:
    clock, now_s, offset_s = StoreClock(), 100.0, 7_000.0
    for waited_s, there_s, back_s in calls:
        sent_s = now_s
        given_s = sent_s + there_s + waited_s
        received_s = given_s + back_s
        bound_s = clock.bound_answer(
            sent_s=sent_s, received_s=received_s, store_s=given_s - offset_s
        )
        assert sent_s <= bound_s <= given_s + 1e-6
        now_s = received_s


def test_a_watch_is_dated_by_the_stores_clock() -> None:
    clock = StoreClock()
    clock.bound_answer(sent_s=10.0, received_s=10.004, store_s=1.002)
    bound_s = clock.bound_answer(sent_s=10.1, received_s=12.0, store_s=2.998)
    assert bound_s == pytest.approx(11.996)


def test_a_store_whose_clock_began_anew_is_dated_by_the_sending() -> None:
    clock = StoreClock()
    clock.bound_answer(sent_s=10.0, received_s=10.1, store_s=500.0)
    assert clock.bound_answer(sent_s=20.0, received_s=20.1, store_s=1.0) == 20.0


SENDER = Sender(1, HostId("h2"), 5, 1)
REPORT = LoadReport(SENDER, [LoadEntry(InstanceId("i-1"), 120, 1, 2, 30, 40, True)])


def test_messages_survive_their_encoding() -> None:
    for message in (REPORT, StrikeReport(SENDER, Fingerprint("f"), "a1.1")):
        assert decode_message(encode_message(message)) == message


@given(st.binary(max_size=100))
def test_any_datagram_is_a_message_or_nothing(data: bytes) -> None:
    decode_message(data)


def test_other_versions_and_long_datagrams_are_dropped() -> None:
    other = msgspec.structs.replace(SENDER, version=2)
    assert decode_message(encode_message(LoadReport(other, []))) is None
    assert decode_message(b"x" * 2_000) is None


class Wire:
    """Keeps the datagrams of a link."""

    def __init__(self) -> None:
        self.sent: list[tuple[bytes, tuple[str, int]]] = []

    def write(self, data: bytes, address: tuple[str, int]) -> None:
        self.sent.append((data, address))


class Link:
    """A peer link on a clock."""

    def __init__(self, *, peers: int) -> None:
        self.clock = Clock()
        self.loads: dict[InstanceId, UpstreamLoad] = {}
        self.heard: list = []
        self.link = PeerLink(
            reactor=self.clock,
            host=HostId("h1"),
            incarnation=9,
            port=7_340,
            events=PeerEvents(
                measure_own=lambda now_s: dict(self.loads),
                on_loads=lambda host, loads: self.heard.append((host, dict(loads))),
                measure_demand=lambda now_s: {},
                on_demands=lambda host, demands: None,
                on_strike=lambda fingerprint, strike: self.heard.append(strike),
                on_registry=self.heard.append,
                on_configuration=lambda *told: self.heard.append(told),
            ),
        )
        self.link.transport = self.wire = Wire()
        self.link.add_peers({HostId(f"p{n}"): f"10.0.0.{n}" for n in range(peers)})
        for number in range(peers):
            self.receive(LoadReport(Sender(1, HostId(f"p{number}"), 1, 1), []), number)
        self.heard.clear()

    def receive(self, message, number: int) -> None:
        self.link.datagramReceived(encode_message(message), (f"10.0.0.{number}", 7_340))

    def run(self, duration_s: float) -> int:
        before = len(self.wire.sent)
        for _ in range(int(duration_s / 0.01)):
            self.loads = {InstanceId("i-1"): UpstreamLoad(tolerant=len(self.wire.sent) % 7 + 1)}
            self.clock.advance(0.01)
        return len(self.wire.sent) - before


@pytest.mark.parametrize("peers", [7, 83, 370])
def test_reports_cost_the_same_in_fleets_of_any_size(peers: int) -> None:
    """The load that peers tell each other: at most 250 datagrams a second, and a few."""
    link = Link(peers=peers)
    link.link.start()
    assert link.run(2.0) <= 2 * 250 + 2 * peers


def test_an_older_message_does_not_replace_a_newer_one() -> None:
    link = Link(peers=1)
    peer = HostId("p0")
    link.receive(LoadReport(Sender(1, peer, 1, 5), REPORT.loads), 0)
    link.receive(LoadReport(Sender(1, peer, 1, 4), []), 0)
    link.receive(LoadReport(Sender(1, peer, 0, 9), []), 0)
    assert len(link.heard) == 1
    link.receive(LoadReport(Sender(1, peer, 2, 1), []), 0)
    assert link.heard[-1] == (peer, {})


def test_a_strike_after_the_port_was_closed_is_no_fault() -> None:
    link = Link(peers=1)
    link.link.transport = None
    link.link.report_strike(Fingerprint("f"), "a1.1")


def test_what_a_peer_says_arrives_as_it_was_said() -> None:
    link = Link(peers=1)
    link.receive(LoadReport(Sender(1, HostId("p0"), 1, 5), REPORT.loads), 0)
    ((_, loads),) = link.heard
    assert loads[InstanceId("i-1")] == UpstreamLoad(
        prefill_s=0.12, sensitive=1, tolerant=2, tokens=30_000, gap_s=0.04, stalled=True
    )


class Pipe:
    """Standard output that takes some bytes, or none."""

    def __init__(self) -> None:
        self.data = b""
        self.room = 1_000_000

    def write(self, data: bytes) -> int:
        if not self.room:
            raise BlockingIOError
        taken = data[: self.room]
        self.data += taken
        self.room -= len(taken)
        return len(taken)


def read_lines(pipe: Pipe) -> list[dict]:
    return [json.loads(line) for line in pipe.data.splitlines()]


def test_log_lines_beyond_the_rate_are_counted_not_written() -> None:
    clock, pipe = Clock(), Pipe()
    output = BoundedOutput(seconds=clock.seconds, write=pipe.write)
    for number in range(1_000):
        output({"message_type": "x", "n": number, "task_uuid": "u"})
    assert len(read_lines(pipe)) == 400
    clock.advance(1.0)
    output({"message_type": "x"})
    assert read_lines(pipe)[-1]["lines_dropped_before"] == 600
    assert "task_uuid" not in read_lines(pipe)[0]


def test_a_pipe_that_nobody_reads_never_blocks() -> None:
    clock, pipe = Clock(), Pipe()
    pipe.room = 30
    output = BoundedOutput(seconds=clock.seconds, write=pipe.write)
    for number in range(10):
        output({"message_type": "a long enough line", "n": number})
    pipe.room = 1_000_000
    output({"message_type": "after"})
    lines = read_lines(pipe)
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


def test_changed_settings_are_taken_without_a_signal_and_faulty_ones_never() -> None:
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

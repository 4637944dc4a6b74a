"""Tests of upstreams that send bytes without end where an answer is due."""

from collections.abc import Iterator

import pytest

from . import host_harness as harness
from .host_harness import EVENTS, HostFleet, running_fleet

HEAD = b"HTTP/1.1 200 OK\r\n"
IDENTITY = b"Greengagestage-Attempt-Id: a1\r\nGreengagestage-Server-Signature: s\r\n"
CLOSED_S = 2.0
"""Time within which the host must have closed the connection."""


@pytest.fixture
def fleet() -> Iterator[HostFleet]:
    with running_fleet() as running:
        yield running


def start(fleet: HostFleet) -> None:
    fleet.start_host()
    fleet.wait_ready()


def has_closed(upstream: harness.UpstreamStandin) -> bool:
    return upstream.disconnects == len(upstream.requests)


HEADS_WITHOUT_END = [
    pytest.param(HEAD, b"x-noise: abcdefghij\r\n" * 50, id="head"),
    pytest.param(b"", b"HTTP/1.1 100 Continue\r\n\r\n" * 50, id="interim answers"),
    pytest.param(b"", b"\x00\x01noise" * 100, id="noise"),
]
REFUSED = b"HTTP/1.1 503 Busy\r\nGreengagestage-Not-Executed: 1\r\n"
BODIES_WITHOUT_END = [
    pytest.param(HEAD + b"\r\n", b"x" * 5_000, id="unsigned"),
    pytest.param(HEAD + b"Transfer-Encoding: chunked\r\n\r\n", b"a\r\n0123456789\r\n", id="chunks"),
    pytest.param(REFUSED + b"\r\n", b"x" * 5_000, id="refusal"),
    pytest.param(REFUSED + b"Content-Length: 99999999\r\n\r\n", b"x", id="slow refusal"),
    pytest.param(
        HEAD + b"Greengagestage-Attempt-Id: old\r\n\r\n",
        b"x" * 5_000,
        id="answer of another request",
    ),
]


# Guards against a host that reads on for as long as an upstream in trouble sends.
@pytest.mark.parametrize(("head", "piece"), [*HEADS_WITHOUT_END, *BODIES_WITHOUT_END])
def test_bytes_without_end_are_cut_off_and_another_upstream_answers(
    fleet: HostFleet, head: bytes, piece: bytes
) -> None:
    broken = fleet.add_upstream("one", behavior=harness.send_endlessly(head, piece))
    other = fleet.add_upstream("two")
    fleet.store.put("servers", "two", other.build_entry(Zone="b"))  # the farther one
    start(fleet)
    caller = fleet.call("/lookup/x")
    assert (caller.status, caller.body) == (200, b"answer of two")
    assert broken.requests
    fleet.run_for(CLOSED_S)
    assert has_closed(broken)


# Guards against an event without end that fills the memory of the host.
@pytest.mark.parametrize("path", ["/short/x", "/long/x"])
def test_an_event_without_end_is_cut_off(fleet: HostFleet, path: str) -> None:
    head = HEAD + IDENTITY + b"Transfer-Encoding: chunked\r\n\r\n"
    start_of_event = b"6\r\ndata: \r\n"
    piece = b"10000\r\n" + b"x" * 65_536 + b"\r\n"
    broken = fleet.add_upstream(
        "one", service="engines", behavior=harness.send_endlessly(head + start_of_event, piece)
    )
    start(fleet)
    caller = fleet.connect(harness.build_request(path, deadline_ms=20_000))
    fleet.run_until(lambda: bool(broken.requests))
    fleet.run_for(CLOSED_S)
    assert has_closed(broken)
    assert caller.is_complete or caller.closed


# Guards against the run of a caller that left keeping its connection open for ever.
def test_an_answer_without_end_to_a_caller_that_left_ends_at_the_deadline(
    fleet: HostFleet,
) -> None:
    broken = fleet.add_upstream(
        "one", behavior=harness.send_endlessly(HEAD + IDENTITY + b"\r\n", b"x" * 100)
    )
    start(fleet)
    caller = fleet.connect(harness.build_request("/order/x", deadline_ms=1_000))
    fleet.run_until(lambda: bool(broken.requests))
    caller.transport.abortConnection()
    fleet.run_for(0.5)
    assert not has_closed(broken)
    fleet.run_for(1.0)
    assert has_closed(broken)


# Guards against a sound answer that ends with its connection being cut off with the endless ones.
def test_an_answer_that_ends_with_its_connection_is_delivered(fleet: HostFleet) -> None:
    def serve_unframed(upstream, request, responder) -> None:
        transport = responder.transport
        transport.unregisterProducer()
        transport.write(HEAD + IDENTITY + b"\r\n" + b"x" * 200_000)
        transport.loseConnection()

    fleet.add_upstream("one", behavior=serve_unframed)
    start(fleet)
    caller = fleet.call("/lookup/x")
    assert (caller.status, len(caller.body)) == (200, 200_000)


@pytest.mark.parametrize(("rest", "whole"), [(b"", True), (b"id: 6\nda", False)])
def test_a_stream_that_ends_inside_an_event_with_its_connection_is_broken_off(
    fleet: HostFleet, rest: bytes, whole: bool
) -> None:
    def serve_unframed(upstream, request, responder) -> None:
        transport = responder.transport
        transport.write(HEAD + IDENTITY + b"\r\n" + b"".join(EVENTS) + rest)
        transport.loseConnection()

    fleet.add_upstream("one", service="engines", behavior=serve_unframed)
    start(fleet)
    caller = fleet.call("/long/x")
    assert caller.is_complete is whole


# Guards against a broken event, or one that comes twice, where a stream without framing goes on.
def test_a_stream_that_ends_inside_an_event_goes_on_at_another_upstream(fleet: HostFleet) -> None:
    def break_off(upstream, request, responder) -> None:
        headers = harness.build_identity_headers(request)
        head = HEAD + b"".join(b"%s: %s\r\n" % header for header in headers) + b"\r\n"
        responder.transport.write(head + EVENTS[0] + EVENTS[1] + b"id: 3\nda")
        responder.transport.loseConnection()

    broken = fleet.add_upstream("one", service="engines", behavior=break_off)
    sound = fleet.add_upstream("two", service="engines")
    start(fleet)
    callers = [
        fleet.call("/short/x", attempt=f"a{number}", body=b"body %d" % number)
        for number in range(4)
    ]
    assert broken.requests and sound.requests
    assert [each.body for each in callers] == [b"".join(EVENTS)] * 4

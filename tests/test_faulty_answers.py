"""Answers of faulty upstreams: repeated refusals, errors in place of a stream's rest, cut heads."""

import pytest

from greengagestage.http1 import IncomingRequest, Responder

from . import host_harness as harness
from .cut_links import CutHost
from .host_harness import EVENTS, HostFleet, UpstreamStandin, running_fleet

BUSY = b"HTTP/1.1 503 Busy\r\nGreengagestage-Not-Executed: 1\r\n"
ELSEWHERE = b"HTTP/1.1 421 Misdirected\r\n"
END_OF_REFUSAL = b"Content-Length: 4\r\n\r\nfull"
ID_OF_EARLIER = b"Greengagestage-Attempt-Id: a1\r\n"
UNNAMED = b""


@pytest.fixture
def fleet():
    with running_fleet() as running:
        yield running


def build_raw_head(request: IncomingRequest) -> bytes:
    """Return the head of a success without framing, as an upstream writes it."""
    headers = harness.build_identity_headers(request)
    lines = [b"%s: %s\r\n" % header for header in headers]
    return b"HTTP/1.1 200 OK\r\n" + b"".join(lines) + b"\r\n"


def repeat_refusal(refusal: bytes) -> harness.Behavior:
    """Return a behavior that writes a refusal before its second answer."""

    def behave(upstream: UpstreamStandin, request: IncomingRequest, responder: Responder) -> None:
        if len(upstream.requests) != 2:
            harness.serve(upstream, request, responder)
            return
        responder.transport.write(refusal)  # type: ignore[attr-defined]
        harness.delay(0.05, harness.serve)(upstream, request, responder)

    return behave


def write_and_close(data_of: bytes | None) -> harness.Behavior:
    """Return a behavior that writes bytes, or a head without a body for None, and closes."""

    def behave(upstream: UpstreamStandin, request: IncomingRequest, responder: Responder) -> None:
        transport = responder.transport  # type: ignore[attr-defined]
        transport.unregisterProducer()
        transport.write(build_raw_head(request) if data_of is None else data_of)
        transport.loseConnection()

    return behave


def answer_with(status: int) -> harness.Behavior:
    def behave(upstream: UpstreamStandin, request: IncomingRequest, responder: Responder) -> None:
        responder.answer(status, harness.build_identity_headers(request), b"error text")

    return behave


# Guards against a request that runs although its caller was told that it has not, since its
# upstream wrote an earlier refusal again on the same connection.
@pytest.mark.parametrize("refusal", [BUSY, ELSEWHERE])
def test_a_refusal_of_an_earlier_request_is_dropped(fleet: HostFleet, refusal: bytes) -> None:
    upstream = fleet.add_upstream(
        "one", behavior=repeat_refusal(refusal + ID_OF_EARLIER + END_OF_REFUSAL)
    )
    fleet.start_host()
    fleet.wait_ready()
    fleet.call("/order/x", attempt="a1")
    caller = fleet.call("/order/x", attempt="a2")
    assert (caller.status, caller.body) == (200, b"answer of one")
    assert upstream.attempt_ids == [b"a1", b"a2"]


# Guards against the same where the refusal does not say to which request it belongs.
@pytest.mark.parametrize("refusal", [BUSY, ELSEWHERE])
@pytest.mark.parametrize("path", ["/order/x", "/long/x"])
def test_an_unnamed_refusal_on_a_kept_connection_proves_nothing(
    fleet: HostFleet, path: str, refusal: bytes
) -> None:
    service = "engines" if path == "/long/x" else "archive"
    for name in ("one", "two"):
        fleet.add_upstream(
            name, service=service, behavior=repeat_refusal(refusal + UNNAMED + END_OF_REFUSAL)
        )
    fleet.start_host()
    fleet.wait_ready()
    statuses = [
        fleet.call(path, attempt=f"a{number}", body=b"body %d" % number).status
        for number in range(8)
    ]
    assert 1 <= statuses.count(502) <= 2
    assert statuses.count(200) + statuses.count(502) == 8
    assert sum(len(each.requests) for each in fleet.upstreams.values()) == 8


# Guards against the same through a host that forwards.
def test_an_unnamed_refusal_through_another_host_proves_nothing() -> None:
    with running_fleet() as fleet:
        host = CutHost(fleet)
        host.lose_links()
        host.set_behavior(harness.serve)
        for number in range(12):
            fleet.call("/order/x", attempt=f"warm-{number}", body=b"body %d" % number)
        host.set_behavior(
            lambda upstream, request, responder: responder.transport.write(BUSY + END_OF_REFUSAL)
        )
        caller = fleet.call("/order/x", attempt="once", body=b"last")
        assert (caller.status, host.count_runs("once")) == (502, 1)


# Guards against the text of an error in the middle of a stream, and an end that looks complete.
@pytest.mark.parametrize(
    "other",
    [
        harness.fail,
        harness.refuse,
        harness.refuse_without_proof,
        harness.answer_misdirected,
        harness.answer_unidentified,
        answer_with(404),
        answer_with(204),
        answer_with(302),
    ],
)
def test_an_error_of_the_next_upstream_does_not_reach_a_stream(
    fleet: HostFleet, other: harness.Behavior
) -> None:
    upstreams = [
        fleet.add_upstream(name, service="engines", behavior=harness.abort_mid_stream)
        for name in ("one", "two")
    ]
    fleet.start_host()
    fleet.wait_ready()
    caller = fleet.connect(harness.build_request("/short/x"))
    fleet.run_until(lambda: any(each.requests for each in upstreams))
    next(each for each in upstreams if not each.requests).behavior = other
    fleet.run_until(lambda: caller.closed or caller.is_complete)
    assert all(each.requests for each in upstreams)
    assert (caller.status, caller.body) == (200, EVENTS[0] + EVENTS[1])
    assert not caller.is_complete


CUT_HEADS = [
    b"HTTP/1.1 2",
    b"HTTP/1.1 200 OK",
    b"HTTP/1.1 200 OK\r\n",
    b"HTTP/1.1 200 OK\r\nGreengagestage-Server-Signature: s\r\nContent-Le",
    b"HTTP/1.1 200 OK\r\nGreengagestage-Server-Signature: s\r\nContent-Length: 9\r\n",
    b"HTTP/1.1 200 OK\r\nGreengagestage-Server-Signature: s\r\nContent-Length: 9\r\n\r",
]


# Guards against an empty or short success for an answer whose head was cut.
@pytest.mark.parametrize("data", CUT_HEADS)
@pytest.mark.parametrize("path", ["/order/x", "/long/x"])
def test_a_cut_head_is_no_answer(fleet: HostFleet, path: str, data: bytes) -> None:
    service = "engines" if path == "/long/x" else "archive"
    fleet.add_upstream("one", service=service, behavior=write_and_close(data))
    fleet.start_host()
    fleet.wait_ready()
    assert fleet.call(path).status == 502


# Guards against an empty success for a stream of which no event has come.
def test_a_stream_without_framing_or_events_is_not_complete(fleet: HostFleet) -> None:
    fleet.add_upstream("one", service="engines", behavior=write_and_close(None))
    fleet.start_host()
    fleet.wait_ready()
    caller = fleet.call("/long/x")
    assert not (caller.is_complete and caller.status == 200)


# Guards against the same where another upstream can still serve the whole stream.
def test_a_stream_without_framing_or_events_begins_at_another_upstream(fleet: HostFleet) -> None:
    fleet.add_upstream("one", service="engines", behavior=write_and_close(None))
    fleet.add_upstream("two", service="engines")
    fleet.start_host()
    fleet.wait_ready()
    for number in range(4):
        caller = fleet.call("/short/x", attempt=f"a{number}", body=b"body %d" % number)
        assert (caller.status, caller.body) == (200, b"".join(EVENTS))

"""Use of the connections to upstreams by one request after the other, over loopback sockets."""

import pytest
from twisted.internet.protocol import Factory, Protocol

from greengagestage.routing import Waiting

from . import host_harness as harness
from .host_harness import EVENTS, HostFleet, running_fleet


@pytest.fixture
def fleet():
    with running_fleet() as running:
        yield running


def start(fleet: HostFleet):
    process = fleet.start_host()
    fleet.wait_ready()
    return process


# Guards against a request that closes a pooled connection on which another one is under way.
# The first case is a control: the caller of the waiting request stays.
@pytest.mark.parametrize("leaves", [False, True])
def test_a_request_does_not_close_the_connection_of_another_one(
    fleet: HostFleet, leaves: bool
) -> None:
    upstream = fleet.add_upstream("one", service="engines", behavior=harness.fail)
    process = start(fleet)
    place = process._router.place

    def place_or_wait(job, now_s, tried=frozenset(), unreached=frozenset()):
        return Waiting(delay_s=0.1, reason="busy") if tried else place(job, now_s, tried, unreached)

    process._router.place = place_or_wait
    caller = fleet.connect(harness.build_request("/short/x", deadline_ms=10_000))
    fleet.run_until(lambda: bool(upstream.requests))
    fleet.run_for(0.1)
    upstream.behavior = harness.delay(0.5, harness.serve)
    other = fleet.connect(harness.build_request("/long/x", attempt="a2"))
    fleet.run_until(lambda: len(upstream.requests) == 2)
    if leaves:
        caller.transport.abortConnection()
    fleet.run_until(lambda: other.is_complete or other.closed)
    assert (other.status, other.body) == (200, b"".join(EVENTS))
    assert process._pool.opened == 1


# Guards against a pooled connection that stays paused and is never read again.
@pytest.mark.parametrize("size", [10_000, 70_000, 500_000])
def test_a_connection_is_read_again_after_a_large_answer(fleet: HostFleet, size: int) -> None:
    def answer_large(upstream, request, responder) -> None:
        responder.answer(200, harness.build_identity_headers(request), b"x" * size)

    upstream = fleet.add_upstream("one", behavior=answer_large)
    start(fleet)
    assert len(fleet.call("/order/x").body) == size
    upstream.behavior = harness.serve
    caller = fleet.call("/order/x", attempt="a2")
    assert len(upstream.requests) == 2
    assert caller.status == 200


# The same after a stream whose end arrives while its caller reads too slowly.
def test_a_connection_is_read_again_after_a_stream_to_a_slow_caller(fleet: HostFleet) -> None:
    events = [b"id: %d\ndata: %b\n\n" % (number, b"x" * 100_000) for number in range(1, 31)]

    def stream_large(upstream, request, responder) -> None:
        responder.begin(200, harness.build_identity_headers(request))
        for event in events:
            responder.write(event)
        responder.finish()

    upstream = fleet.add_upstream("one", service="engines", behavior=stream_large)
    start(fleet)
    assert fleet.call("/long/x").body == b"".join(events)
    upstream.behavior = harness.serve
    caller = fleet.call("/long/x", attempt="a2")
    assert len(upstream.requests) == 2
    assert (caller.status, caller.body) == (200, b"".join(EVENTS))


# Guards against an upstream that can never finish a request, since its caller left while paused.
def test_a_detached_upstream_is_read_to_its_end(fleet: HostFleet) -> None:
    def answer_large(upstream, request, responder) -> None:
        responder.answer(200, harness.build_identity_headers(request), b"x" * 30_000_000)

    upstream = fleet.add_upstream("one", behavior=answer_large)
    start(fleet)
    caller = fleet.connect(harness.build_request("/order/x"))
    caller.transport.pauseProducing()
    fleet.run_until(lambda: bool(upstream.requests))
    fleet.run_for(0.7)
    caller.transport.abortConnection()
    fleet.run_for(1.0)
    (connection,) = upstream.port.factory.connections
    transport = connection.transport
    assert len(transport.dataBuffer) - transport.offset + transport._tempDataLen == 0


# Guards against an upstream's own answer that is dropped before another one can be had.
def test_an_upstreams_own_error_is_kept_if_no_other_upstream_is_left(fleet: HostFleet) -> None:
    fleet.add_upstream("one", behavior=harness.fail)
    start(fleet)
    caller = fleet.call("/lookup/x")
    assert (caller.status, caller.body) == (500, b"broken")


# Guards against more runs than the route allows, while a request waits after an error.
def test_a_waiting_request_is_not_sent_twice_at_once(fleet: HostFleet) -> None:
    upstreams = [
        fleet.add_upstream(name, service="engines", behavior=harness.fail)
        for name in ("one", "two", "three", "four")
    ]
    process = start(fleet)
    place = process._router.place

    def place_late(job, now_s, tried=frozenset(), unreached=frozenset()):
        if tried and now_s - job.arrived_s < 1.395:
            return Waiting(delay_s=0.1, reason="busy")
        return place(job, now_s, tried, unreached)

    process._router.place = place_late
    caller = fleet.connect(harness.build_request("/short/x", deadline_ms=10_000))
    fleet.run_until(lambda: any(upstream.requests for upstream in upstreams))
    for upstream in upstreams:
        upstream.behavior = harness.delay(0.3, harness.serve)
    fleet.run_until(lambda: caller.is_complete or caller.closed)
    sends = sum(len(upstream.requests) for upstream in upstreams)
    assert (caller.status, sends) in ((200, 2), (500, 1))


class LateReader(Protocol):
    """An upstream that reads the head, sends a stream for seconds, and reads the body after it."""

    def connectionMade(self) -> None:  # noqa: N802
        self.events = 0

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        if not data.startswith(b"POST "):
            return
        self.transport.pauseProducing()
        attempt = data.partition(b"attempt-id: ")[2].partition(b"\r\n")[0]
        self.transport.write(
            b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n"
            b"Greengagestage-Server-Signature: s\r\nGreengagestage-Attempt-Id: %b\r\n\r\n" % attempt
        )
        self.send_event()

    def send_event(self) -> None:
        if not self.connected:
            return
        self.events += 1
        event = b"id: %d\ndata: token\n\n" % self.events
        self.transport.write(b"%x\r\n%b\r\n" % (len(event), event))
        if self.events < 10:
            self.factory.reactor.callLater(0.4, self.send_event)
        else:
            self.transport.write(b"0\r\n\r\n")
            self.factory.reactor.callLater(1.0, self.transport.resumeProducing)


# Guards against a stream that is cut because its upstream, which is sound, reads the request's body
# later: a window that stays closed counts as bytes that are not acknowledged.
def test_an_upstream_may_read_a_body_after_its_answer(fleet: HostFleet) -> None:
    upstream = fleet.add_upstream("one", service="engines")
    upstream.port.stopListening()
    factory = Factory.forProtocol(LateReader)
    factory.reactor = fleet.reactor
    upstream.port = fleet.reactor.listenTCP(0, factory, interface="127.0.0.1")
    fleet.store.put("servers", "one", upstream.build_entry())
    route = harness.build_route("long", "streaming", "engines", TimeoutMs=9_000, TargetGapMs=800)
    fleet.store.put("op", "config", harness.build_document(Routes=[route]))
    process = start(fleet)
    for attempt in ("a1", "a2"):
        body = b"x" * 4_000_000
        request = harness.build_request("/long/x", attempt=attempt, body=body, deadline_ms=9_000)
        caller = fleet.connect(request)
        fleet.run_until(lambda answered=caller: answered.is_complete or answered.closed)
        assert caller.is_complete
        assert caller.body.count(b"data: ") == 10
    assert process._pool.opened == 2


# Guards against long bodies that arrive in part, or out of order with the next request.
def test_long_bodies_arrive_whole_on_one_connection(fleet: HostFleet) -> None:
    upstream = fleet.add_upstream("one")
    process = start(fleet)
    bodies = [bytes(range(256)) * count for count in (256, 257, 4_000, 1)]
    for number, body in enumerate(bodies):
        assert fleet.call("/order/x", attempt=f"a{number}", body=body).status == 200
    assert [request.body for request in upstream.requests] == bodies
    assert process._pool.opened == 1

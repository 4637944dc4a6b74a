"""Slow callers, callers that close halfway and unusual requests, over loopback sockets."""

import socket
import time

import pytest
from twisted.internet.error import ConnectionLost
from twisted.python.failure import Failure

from greengagestage.gateway import HostProcess

from . import host_harness as harness
from .host_harness import HostFleet, running_fleet

READING_PAUSE_S = 4.0
"""Longer than sent bytes may stay unacknowledged on other connections."""

LARGE = 900_000
"""Bytes of an answer that does not fit into the buffers of a connection."""


@pytest.fixture
def fleet():
    with running_fleet() as running:
        yield running


def answer_large(upstream, request, responder) -> None:
    responder.answer(200, harness.build_identity_headers(request), b"x" * LARGE)


def answer_large_after(delay_s: float) -> harness.Behavior:
    def behave(upstream, request, responder) -> None:
        upstream.reactor.callLater(delay_s, answer_large, upstream, request, responder)

    return behave


def connect_with_small_buffer(fleet: HostFleet, process: HostProcess):
    """Return a caller and the host's side of its connection, whose kernel buffer is small."""
    known = set(process._caller_server.connections)
    caller = fleet.connect(b"")
    fleet.run_until(lambda: process._caller_server.connections - known)
    (connection,) = process._caller_server.connections - known
    connection.transport.socket.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 16_384)
    return caller, connection


def close_sockets(process: HostProcess) -> None:
    """Close the callers' sockets, as the reactor does when it stops."""
    for connection in list(process._caller_server.connections):
        connection.transport.connectionLost(Failure(ConnectionLost()))


# Guards against an answer that is cut because its caller reads slowly.
def test_a_slow_caller_gets_the_whole_last_answer(fleet: HostFleet) -> None:
    fleet.add_upstream("one", behavior=answer_large)
    fleet.start_host()
    fleet.wait_ready()
    request = harness.build_request("/order/x", headers=("Connection: close",))
    caller = fleet.connect(request)
    caller.transport.pauseProducing()
    fleet.run_for(1.5)
    caller.transport.resumeProducing()
    fleet.run_until(lambda: caller.is_complete or caller.closed)
    assert len(caller.body) == LARGE


# Guards against an answer that the kernel breaks off because its caller, which is sound, reads
# nothing for a few seconds: a window that stays closed counts as bytes that are not acknowledged.
def test_a_caller_that_reads_nothing_for_seconds_gets_its_whole_answer(fleet: HostFleet) -> None:
    fleet.add_upstream("one", behavior=answer_large)
    process = fleet.start_host()
    fleet.wait_ready()
    caller, _ = connect_with_small_buffer(fleet, process)
    caller.transport.pauseProducing()
    caller.transport.write(harness.build_request("/order/x"))
    fleet.run_for(READING_PAUSE_S)
    caller.transport.resumeProducing()
    fleet.run_until(lambda: caller.is_complete or caller.closed)
    assert len(caller.body) == LARGE


# Guards against a limit for broken paths that decides about callers or keep-alive probes.
def test_only_connections_to_servers_give_up_after_seconds(fleet: HostFleet) -> None:
    fleet.add_upstream("one")
    process = fleet.start_host()
    fleet.wait_ready()
    caller, connection = connect_with_small_buffer(fleet, process)
    caller.transport.write(harness.build_request("/lookup/x"))
    fleet.run_until(lambda: caller.is_complete)
    (to_upstream,) = (each for idle in process._pool._idle.values() for each in idle)
    limits_ms = [
        each.transport.socket.getsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT)
        for each in (connection, to_upstream)
    ]
    assert limits_ms == [15_000, 2_500]
    assert not to_upstream.transport.socket.getsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE)


# Guards against a request that was read whole before a stop, and is dropped with its connection
# once the one before it is answered.
@pytest.mark.parametrize("path", ["/lookup/x", "/nowhere/x", "/short/x"])
def test_requests_that_wait_behind_another_one_are_answered_at_a_stop(
    fleet: HostFleet, path: str
) -> None:
    slow = harness.delay(0.4, harness.serve)
    fleet.add_upstream("one", behavior=slow)
    fleet.add_upstream("two", service="engines")
    process = fleet.start_host()
    fleet.wait_ready()
    requests = [
        harness.build_request("/order/x", attempt="a1"),
        harness.build_request(path, attempt="a2", body=b""),
        harness.build_request("/order/x", attempt="a3"),
    ]
    caller = fleet.connect(b"".join(requests))
    fleet.run_until(lambda: bool(fleet.upstreams["one"].requests))
    process.stop()
    fleet.run_until(lambda: caller.closed)
    assert caller.data.count(b"HTTP/1.1 ") == 3
    assert caller.data.lower().count(b"connection: close") == 1


# Guards against a busy process that announces the end of a connection on which a request has
# arrived unread, and discards the request.
def test_a_request_that_has_arrived_unread_behind_another_one_is_answered_at_a_stop(
    fleet: HostFleet,
) -> None:
    upstream = fleet.add_upstream("one", behavior=harness.hang)
    process = fleet.start_host()
    fleet.wait_ready()
    with socket.create_connection(fleet._host_settings[-1].callers) as caller:
        caller.sendall(harness.build_request("/order/x", attempt="a1"))
        fleet.run_until(lambda: bool(upstream.hanging))
        upstream.behavior = harness.serve
        process.stop()
        (exchange,) = process._context.open_exchanges
        caller.sendall(harness.build_request("/order/x", attempt="a2"))
        exchange.stop()
        caller.setblocking(False)
        received = bytearray()

        def receive() -> bool:
            try:
                received.extend(caller.recv(4_096))
            except BlockingIOError:
                return False
            return received.count(b"HTTP/1.1 ") == 2

        fleet.run_until(receive)
    assert b"HTTP/1.1 200" in received
    assert received.lower().count(b"connection: close") == 1


# Guards against a busy process that closes connections on which a request has arrived unread.
@pytest.mark.parametrize("stops", [True, False])
def test_a_request_that_has_arrived_unread_is_answered_before_an_idle_connection_closes(
    fleet: HostFleet, stops: bool
) -> None:
    fleet.add_upstream("one")
    process = fleet.start_host()
    fleet.wait_ready()
    server = process._caller_server
    with socket.create_connection(fleet._host_settings[-1].callers) as caller:
        fleet.run_until(lambda: any(connection.idle for connection in server.connections))
        server.closing = stops
        caller.sendall(harness.build_request("/lookup/x"))
        assert server.count_unread() == 1
        server.close_idle()
        caller.setblocking(False)
        received = bytearray()

        def receive() -> bool:
            try:
                received.extend(caller.recv(4_096))
            except BlockingIOError:
                return False
            return True

        fleet.run_until(receive)
    assert received.startswith(b"HTTP/1.1 200")
    assert (b"connection: close" in received.lower()) is stops


# Guards against a busy process that takes the callers for slow whose bytes it has not read.
@pytest.mark.parametrize("read_before", [60, 200])
def test_a_request_whose_rest_has_arrived_unread_is_not_too_slow(
    fleet: HostFleet, read_before: int
) -> None:
    fleet.add_upstream("one")
    limits = {"HeaderTimeoutMs": 300, "IdleTimeoutMs": 300}
    fleet.store.put("op", "config", harness.build_document(Limits=limits))
    fleet.start_host()
    fleet.wait_ready()
    request = harness.build_request("/lookup/x", body=b"x" * 100)
    assert request.index(b"x" * 100) < 200 < len(request)
    caller = fleet.connect(request[:read_before])
    fleet.run_for(0.1)
    caller.transport.write(request[read_before:])
    caller.transport.doWrite()
    time.sleep(0.4)  # the process is busy
    fleet.run_until(lambda: caller.is_complete)
    assert caller.status == 200


# Guards against many requests on one connection that are answered at once and end it.
def test_a_long_series_of_requests_is_answered(fleet: HostFleet) -> None:
    fleet.start_host()
    fleet.wait_ready()
    requests = [harness.build_request("/nowhere/x", attempt=f"a{n}", body=b"") for n in range(400)]
    caller = fleet.connect(b"".join(requests))
    fleet.run_until(lambda: caller.closed or caller.data.count(b"HTTP/1.1 404") == len(requests))
    assert not caller.closed


# Guards against upstreams that are given more time than is left for a request that has waited.
def test_the_time_of_a_request_counts_from_its_arrival_behind_another_one(fleet: HostFleet) -> None:
    upstream = fleet.add_upstream("one", behavior=harness.delay(0.5, harness.serve))
    fleet.start_host()
    fleet.wait_ready()
    caller = fleet.connect(harness.build_request("/order/x", attempt="a1"))
    fleet.run_until(lambda: len(upstream.requests) == 1)
    caller.transport.write(harness.build_request("/order/x", attempt="a2"))
    fleet.run_for(0.3)
    caller.transport.write(harness.build_request("/order/x", attempt="a3"))
    fleet.run_until(lambda: caller.data.count(b"HTTP/1.1 ") == 3)
    fleet.run_for(0.8)
    for attempt in ("a4", "a5"):
        caller.transport.write(harness.build_request("/order/x", attempt=attempt))
    fleet.run_until(lambda: len(upstream.requests) == 5)
    given_ms = [int(each.get(b"greengagestage-deadline-ms") or 0) for each in upstream.requests]
    assert given_ms[0] > 1_900
    assert given_ms[1] < 1_600
    assert given_ms[2] < 1_400
    assert given_ms[3] > 1_900
    assert 1_200 < given_ms[4] < 1_600


# Guards against a process that ends before its last answer has left it.
def test_a_stop_waits_until_a_slow_caller_has_its_answer(fleet: HostFleet) -> None:
    fleet.add_upstream("one", behavior=answer_large_after(2.4))
    fleet.store.put(
        "op", "config", harness.build_document(Routes=[*harness.ROUTES, harness.SLOW_ROUTE])
    )
    process = fleet.start_host(stop_grace_s=8.0)
    fleet.wait_ready()
    caller, _ = connect_with_small_buffer(fleet, process)
    caller.transport.write(harness.build_request("/slow/x", deadline_ms=10_000))
    caller.transport.pauseProducing()
    fleet.run_for(0.1)
    stopped: list[object] = []
    process.stop().addCallback(stopped.append)
    fleet.run_for(3.3)
    assert not process._context.open_exchanges
    assert not stopped
    caller.transport.resumeProducing()
    fleet.run_until(lambda: bool(stopped))
    close_sockets(process)
    fleet.run_until(lambda: caller.is_complete or caller.closed)
    assert len(caller.body) == LARGE


# Guards against a stop that waits beyond the grace period for a caller that never reads.
def test_a_stop_waits_for_a_slow_caller_only_until_the_grace_period_ends(fleet: HostFleet) -> None:
    fleet.add_upstream("one", behavior=answer_large_after(2.4))
    fleet.store.put(
        "op", "config", harness.build_document(Routes=[*harness.ROUTES, harness.SLOW_ROUTE])
    )
    process = fleet.start_host(stop_grace_s=4.0)
    fleet.wait_ready()
    caller, connection = connect_with_small_buffer(fleet, process)
    caller.transport.write(harness.build_request("/slow/x", deadline_ms=10_000))
    caller.transport.pauseProducing()
    began_s = fleet.reactor.seconds()
    stopped: list[object] = []
    process.stop().addCallback(stopped.append)
    fleet.run_until(lambda: bool(stopped))
    assert 3.5 < fleet.reactor.seconds() - began_s < 4.0
    assert connection.unsent_bytes


# Guards against a connection that is neither read nor closed any more.
@pytest.mark.parametrize("size", [10_000, LARGE])
@pytest.mark.parametrize("times_out", [False, True])
def test_an_idle_connection_is_closed_after_a_slow_caller_has_its_answer(
    fleet: HostFleet, size: int, times_out: bool
) -> None:
    def answer(upstream, request, responder) -> None:
        responder.answer(200, harness.build_identity_headers(request), b"x" * size)

    fleet.add_upstream("one", behavior=answer)
    limits = {"HeaderTimeoutMs": 3_000, "IdleTimeoutMs": 500}
    fleet.store.put("op", "config", harness.build_document(Limits=limits))
    process = fleet.start_host()
    fleet.wait_ready()
    caller, connection = connect_with_small_buffer(fleet, process)
    caller.transport.write(harness.build_request("/order/x"))
    caller.transport.pauseProducing()
    fleet.run_for(0.3)
    assert connection.idle
    if times_out:
        fleet.run_for(0.4)
    else:
        process._caller_server.close_idle()
    caller.transport.resumeProducing()
    fleet.run_until(lambda: caller.closed or len(caller.body) == size)
    assert len(caller.body) == size
    caller.transport.write(harness.build_request("/order/x", attempt="a2"))
    fleet.run_for(1.0)
    assert caller.closed
    assert len(fleet.upstreams["one"].requests) == 1


# Guards against an exception that closes the connection of a request that was read.
@pytest.mark.parametrize("path", ["/nowhere/x", "/order/x"])
@pytest.mark.parametrize(
    ("method", "headers"),
    [("HEAD", ()), ("POST", ("Connection: host",)), ("POST", ("Upgrade: x",))],
)
def test_unusual_requests_are_answered(
    fleet: HostFleet, path: str, method: str, headers: tuple[str, ...]
) -> None:
    upstream = fleet.add_upstream("one")
    fleet.start_host()
    fleet.wait_ready()
    assert fleet.call("/order/x").status == 200  # leaves an idle connection
    caller = fleet.connect(
        harness.build_request(path, attempt="a2", method=method, headers=headers, body=b"")
    )
    fleet.run_until(lambda: bool(caller.data) or caller.closed)
    assert caller.data
    assert caller.status == (404 if path == "/nowhere/x" else 200)
    assert len(upstream.requests) == (1 if path == "/nowhere/x" else 2)


# Guards against a stop that never ends because a HEAD request cannot be refused.
def test_a_host_stops_while_a_head_request_is_open(fleet: HostFleet) -> None:
    fleet.add_upstream("one", behavior=harness.hang)
    fleet.store.put(
        "op", "config", harness.build_document(Routes=[*harness.ROUTES, harness.SLOW_ROUTE])
    )
    process = fleet.start_host(stop_grace_s=3.5)
    fleet.wait_ready()
    caller = fleet.connect(
        harness.build_request("/slow/x", method="HEAD", body=b"", deadline_ms=10_000)
    )
    stopped: list[object] = []
    process.stop().addCallback(stopped.append)
    fleet.run_for(3.6)
    assert stopped
    assert caller.status == 502


# Guards against work that goes on for callers that have closed their connection: the end of what
# they send is all that the host learns of it until a write fails.
@pytest.mark.parametrize(("path", "cancelled"), [("/lookup/x", True), ("/order/x", False)])
def test_a_caller_that_closes_its_sending_side_counts_as_gone(
    fleet: HostFleet, path: str, cancelled: bool
) -> None:
    upstream = fleet.add_upstream("one", behavior=harness.hang)
    fleet.start_host()
    fleet.wait_ready()
    caller = fleet.connect(harness.build_request(path))
    fleet.run_until(lambda: bool(upstream.requests))
    caller.transport.loseWriteConnection()
    fleet.run_for(0.3)
    assert caller.closed
    assert bool(upstream.disconnects) is cancelled


# Guards against work that goes on for a caller that has left, and an exception at its end, where
# the request has waited behind another one on its connection.
def test_the_end_of_a_caller_reaches_the_upstream_of_a_request_behind_another_one(
    fleet: HostFleet,
) -> None:
    def serve_first(upstream, request, responder) -> None:
        behavior = harness.serve if len(upstream.requests) == 1 else harness.hang
        behavior(upstream, request, responder)

    upstream = fleet.add_upstream("one", behavior=serve_first)
    process = fleet.start_host()
    fleet.wait_ready()
    requests = [harness.build_request("/open/x", attempt=each) for each in ("first", "second")]
    caller = fleet.connect(b"".join(requests))
    fleet.run_until(lambda: upstream.attempt_ids == [b"first", b"second"])
    caller.transport.abortConnection()
    fleet.run_for(0.5)
    assert (upstream.disconnects, len(process._context.open_exchanges)) == (1, 0)

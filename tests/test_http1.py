"""Tests of HTTP/1.1 framing, limits and connection reuse on the server and client sides."""

import socket
import tracemalloc

import h11
import pytest
from hypothesis import given
from hypothesis import strategies as st
from twisted.internet.error import ConnectionDone, ConnectionLost
from twisted.internet.task import Clock
from twisted.internet.testing import StringTransport
from twisted.python.failure import Failure

from greengagestage.catalog import ConnectionLimits
from greengagestage.http1 import (
    ClientConnection,
    Exchange,
    ExchangeFailure,
    MemoryAccount,
    OutgoingRequest,
    ServerFactory,
)
from greengagestage.http1._client import DEFAULT_IDLE_S
from greengagestage.http1._pipelining import ARRIVAL_RESOLUTION_S

UNCONNECTED = socket.socket()


class Transport(StringTransport):
    """A transport whose buffer is ``dataBuffer``, which the test sets."""

    aborted = False
    closed = False
    dataBuffer = b""  # noqa: N815
    offset = 0
    _tempDataLen = 0  # noqa: N815

    def setTcpNoDelay(self, enabled: bool) -> None:  # noqa: N802
        pass

    def getHandle(self):  # noqa: N802
        return UNCONNECTED

    def doWrite(self) -> None:  # noqa: N802
        pass

    def loseConnection(self) -> None:  # noqa: N802
        super().loseConnection()
        self.closed = True

    def loseWriteConnection(self) -> None:  # noqa: N802
        self.disconnecting = True

    def abortConnection(self) -> None:  # noqa: N802
        self.aborted = True


class ServerHarness:
    """A server connection that records its requests."""

    def __init__(self, *, memory: MemoryAccount | None = None, **limits: float) -> None:
        self.clock = Clock()
        self.requests = []
        self.factory = ServerFactory(
            reactor=self.clock,
            on_request=lambda request, responder: self.requests.append((request, responder)),
            on_refused=lambda limit: limit.name.encode(),
            memory=memory,
        )
        self.factory.limits = ConnectionLimits(**limits)
        self.connection = self.factory.buildProtocol(None)
        self.transport = Transport()
        self.connection.makeConnection(self.transport)

    def receive(self, data: bytes) -> bytes:
        self.connection.dataReceived(data)
        return self.transport.value()


HEAD = b"POST /a/b?x=%2F HTTP/1.1\r\nHost: h\r\n"


@pytest.mark.parametrize(
    ("data", "body"),
    [
        (HEAD + b"Content-Length: 3\r\n\r\nabc", b"abc"),
        (HEAD + b"Transfer-Encoding: chunked\r\n\r\n1\r\na\r\n2\r\nbc\r\n0\r\n\r\n", b"abc"),
        (HEAD + b"\r\n", b""),
    ],
)
@pytest.mark.parametrize("size", [1, 7, 1_000])
def test_a_complete_request_is_passed_on_unchanged(data: bytes, body: bytes, size: int) -> None:
    server = ServerHarness()
    for start in range(0, len(data), size):
        server.receive(data[start : start + size])
    ((request, _),) = server.requests
    assert (request.method, request.target, request.body) == (b"POST", b"/a/b?x=%2F", body)


@pytest.mark.parametrize(
    "lines",
    [
        b"Content-Length: 3\r\nTransfer-Encoding: chunked\r\n",
        b"Content-Length: 3\r\nContent-Length: 4\r\n",
        b"Content-Length: +3\r\n",
        b"Content-Length: 3, 3\r\nHost: other\r\n",
        b"Transfer-Encoding: chunked\r\nTransfer-Encoding: identity\r\n",
        b"Transfer-Encoding: xchunked\r\n",
        b"Host: second\r\n",
        b"Bad Name: 1\r\n",
    ],
)
def test_a_request_with_ambiguous_framing_is_refused(lines: bytes) -> None:
    server = ServerHarness()
    answer = server.receive(HEAD + lines + b"\r\nabcGET /hidden HTTP/1.1\r\nHost: h\r\n\r\n")
    assert answer.startswith(b"HTTP/1.1 400 ")
    assert not server.requests


@st.composite
def draw_connections(draw: st.DrawFn) -> tuple[list[bytes], list[tuple[int, float, int]]]:
    """Return requests, and reads: number of bytes, time since the last, answers after it."""
    bodies = draw(st.lists(st.sampled_from([0, 1, 40, 700]), min_size=1, max_size=6))
    requests = [HEAD + b"Content-Length: %d\r\n\r\n" % n + b"b" * n for n in bodies]
    left, reads = len(b"".join(requests)), []
    while left:
        size = min(left, draw(st.one_of(st.integers(1, 60), st.integers(1, 2_000))))
        gap_s = draw(st.sampled_from([0.0, 0.004, 0.3, 0.7]))
        reads.append((size, gap_s, draw(st.integers(0, 2))))
        left -= size
    return requests, reads


# Guards against a request that is dated by bytes of an earlier one, and has less time for it.
@given(draw_connections(), st.booleans())
def test_requests_are_dated_by_their_first_byte(connection, at_once: bool) -> None:
    requests, reads = connection
    harness = ServerHarness(header_timeout_s=1e6, idle_timeout_s=1e6)

    def answer_first() -> None:
        open_responders[0].answer(200, [], b"")
        del open_responders[0]

    received, open_responders = [], []

    def handle(request, responder) -> None:
        received.append(request.received_s)
        open_responders.append(responder)
        if at_once and len(received) % 2:
            answer_first()

    harness.factory.on_request = handle
    stream, arrivals = b"".join(requests), []
    for size, gap_s, answers in reads:
        harness.clock.advance(gap_s)
        arrivals += [harness.clock.seconds()] * size
        harness.receive(stream[len(arrivals) - size : len(arrivals)])
        for _ in range(answers):
            if open_responders:
                harness.clock.advance(0.2)
                answer_first()
    while open_responders:
        answer_first()
    firsts = [arrivals[len(b"".join(requests[:n]))] for n in range(len(requests))]
    assert len(received) == len(firsts)
    for received_s, first_s in zip(received, firsts, strict=True):
        assert first_s - ARRIVAL_RESOLUTION_S <= received_s <= first_s


# Guards against callers whose single bytes fill the memory with the times of their arrival.
def test_single_bytes_behind_a_request_take_little_memory() -> None:
    harness = ServerHarness()
    harness.receive(HEAD + b"\r\n")
    for _ in range(20_000):
        harness.clock.advance(0.0005)
        harness.receive(b"G")
    assert len(harness.connection._arrivals._reads) <= 1_001


# Guards against a host that is ended for its memory, since a body in small chunks takes many times
# what is counted for it (review/11).
@pytest.mark.parametrize("chunk_bytes", [1, 2, 100, 5_000])
def test_a_body_in_small_chunks_takes_little_more_memory_than_its_bytes(chunk_bytes: int) -> None:
    server = ServerHarness()
    server.receive(HEAD + b"Transfer-Encoding: chunked\r\n\r\n")
    chunk = b"%x\r\n%b\r\n" % (chunk_bytes, b"x" * chunk_bytes)
    chunks_of_a_read = 16_384 // len(chunk) + 1
    tracemalloc.start()
    try:
        while server.connection.held_bytes < 200_000:
            server.receive(chunk * chunks_of_a_read)
            while server.transport.producerState == "paused":
                server.clock.advance(0.0)
        taken_bytes, _ = tracemalloc.get_traced_memory()
    finally:
        tracemalloc.stop()
    assert taken_bytes < 1.25 * server.connection.held_bytes
    server.receive(b"0\r\n\r\n")
    ((request, _),) = server.requests
    assert set(request.body) == {ord("x")}


# Guards against callers whose bodies in small chunks hold up all other requests of a host.
def test_a_read_of_many_chunks_is_parsed_in_several_turns() -> None:
    server = ServerHarness()
    server.receive(HEAD + b"Transfer-Encoding: chunked\r\n\r\n" + b"1\r\nx\r\n" * 1_000)
    assert server.connection._incoming.body.size < 300
    assert server.transport.producerState == "paused"
    server.clock.advance(0.0)
    assert server.connection._incoming.body.size == 1_000
    assert server.transport.producerState == "producing"
    server.receive(b"0\r\n\r\n")
    ((request, _),) = server.requests
    assert request.body == b"x" * 1_000


@pytest.mark.parametrize("ends", ["the caller leaves", "the body is refused"])
def test_nothing_more_is_parsed_once_a_request_has_ended(ends: str) -> None:
    server = ServerHarness(body_bytes=10_000.0)
    server.receive(HEAD + b"Transfer-Encoding: chunked\r\n\r\n" + b"1\r\nx\r\n" * 1_000)
    if ends == "the caller leaves":
        server.connection.connectionLost(Failure(ConnectionLost()))
    else:
        server.connection.shed()
        assert server.transport.value().startswith(b"HTTP/1.1 503 ")
        assert server.transport.producerState == "producing"
    server.clock.advance(0.0)
    assert not server.requests


# Guards against a host that is ended for its memory, since heads with thousands of headers count
# for nothing.
@pytest.mark.parametrize("header", [b"a:\r\n", b"name: value\r\n"])
def test_a_head_with_many_headers_counts_for_the_memory_that_it_takes(header: bytes) -> None:
    server = ServerHarness()
    data = HEAD + header * (15_000 // len(header)) + b"\r\n"
    tracemalloc.start()
    try:
        server.receive(data)
        taken_bytes, _ = tracemalloc.get_traced_memory()
    finally:
        tracemalloc.stop()
    ((request, _),) = server.requests
    assert server.connection.held_bytes > taken_bytes
    assert request.body_claim.size == server.connection.held_bytes


def test_a_head_with_many_headers_is_refused_where_memory_is_full() -> None:
    server = ServerHarness(memory=MemoryAccount(limit_bytes=100_000))
    answer = server.receive(HEAD + b"a:\r\n" * 1_000 + b"\r\n")
    assert answer.startswith(b"HTTP/1.1 503 ")
    assert not server.requests


@given(st.binary(max_size=300))
def test_arbitrary_bytes_raise_no_exception(data: bytes) -> None:
    ServerHarness().receive(data)


def test_pipelined_requests_are_handled_one_at_a_time() -> None:
    server = ServerHarness()
    server.receive(b"GET /1 HTTP/1.1\r\nHost: h\r\n\r\nGET /2 HTTP/1.1\r\nHost: h\r\n\r\n")
    assert [request.target for request, _ in server.requests] == [b"/1"]
    server.requests[0][1].answer(200, [], b"one")
    assert [request.target for request, _ in server.requests] == [b"/1", b"/2"]


@pytest.mark.parametrize(
    ("data", "limits", "status"),
    [
        (HEAD + b"X: " + b"y" * 2_000, {"header_bytes": 1_000}, 431),
        (HEAD + b"Content-Length: 9\r\n\r\n123456789", {"body_bytes": 8}, 413),
    ],
)
def test_an_exceeded_limit_is_refused_with_its_status(
    data: bytes, limits: dict[str, int], status: int
) -> None:
    assert ServerHarness(**limits).receive(data).startswith(b"HTTP/1.1 %d " % status)


def test_an_incomplete_head_times_out_with_a_not_run_status() -> None:
    server = ServerHarness(header_timeout_s=3.0)
    server.receive(HEAD)
    server.clock.advance(3.1)
    assert server.transport.value().startswith(b"HTTP/1.1 408 ")


def test_an_idle_connection_is_closed_after_the_idle_timeout() -> None:
    server = ServerHarness(idle_timeout_s=15.0)
    server.clock.advance(14.9)
    assert not server.transport.disconnecting
    server.clock.advance(0.2)
    assert server.transport.disconnecting


# Guards against an answer that is cut while its caller still reads it.
def test_a_connection_is_closed_only_after_its_last_answer_has_arrived() -> None:
    server = ServerHarness(header_timeout_s=3.0, idle_timeout_s=5.0)
    server.transport.dataBuffer = b"x" * 100
    server.receive(HEAD)
    server.clock.advance(3.1)
    for unsent in range(99, -1, -1):
        server.clock.advance(1.0)
        assert not server.transport.closed
        server.transport.dataBuffer = b"x" * unsent
    server.clock.advance(1.0)
    server.clock.advance(1.1)
    assert server.transport.closed
    assert not server.transport.aborted


# Guards against cutting an answer that its caller still reads for a new connection, while another
# connection is idle.
def test_an_idle_connection_without_unsent_bytes_is_closed_for_a_new_one() -> None:
    server = ServerHarness()
    server.factory.max_connections = 2
    idle, new = (server.factory.buildProtocol(None) for _ in range(2))
    server.transport.dataBuffer = b"x" * 100
    idle.makeConnection(Transport())
    new.makeConnection(Transport())
    assert not server.transport.aborted
    assert idle.transport.closed
    assert not new.transport.aborted


# Guards against a connection that is kept for ever for a caller that reads nothing.
def test_a_caller_that_reads_nothing_is_disconnected_after_the_idle_timeout() -> None:
    server = ServerHarness(header_timeout_s=3.0, idle_timeout_s=5.0)
    server.transport.dataBuffer = b"x"
    server.receive(HEAD)
    server.clock.advance(3.1)
    server.clock.advance(4.9)
    assert not server.transport.aborted
    server.clock.advance(0.2)
    assert server.transport.aborted


def test_a_caller_disconnect_is_reported_to_the_listener() -> None:
    server = ServerHarness()
    server.receive(HEAD + b"\r\n")
    disconnects = []

    class Listener:
        def handle_disconnect(self) -> None:
            disconnects.append(True)

    server.requests[0][1].listener = Listener()
    server.connection.connectionLost(Failure(ConnectionDone()))
    assert disconnects


def test_a_stream_is_chunked_and_its_last_chunk_is_sent_only_by_finish() -> None:
    server = ServerHarness()
    server.receive(HEAD + b"\r\n")
    responder = server.requests[0][1]
    responder.begin(200, [(b"Content-Type", b"text/event-stream")])
    responder.write(b"id: 1\n\n")
    assert not server.transport.value().endswith(b"0\r\n\r\n")
    responder.finish()
    assert server.transport.value().endswith(b"0\r\n\r\n")


# Guards against an answer to HEAD whose body would be read as the start of the next answer.
@pytest.mark.parametrize("streamed", [False, True])
def test_an_answer_to_head_has_no_body(streamed: bool) -> None:
    server = ServerHarness()
    server.receive(b"HEAD /1 HTTP/1.1\r\nHost: h\r\n\r\nGET /2 HTTP/1.1\r\nHost: h\r\n\r\n")
    responder = server.requests[0][1]
    if streamed:
        responder.begin(200, [])
        responder.write(b"body")
        responder.finish()
    else:
        responder.answer(200, [], b"body")
    head, _, rest = server.transport.value().partition(b"\r\n\r\n")
    assert rest == b""
    assert streamed or b"Content-Length: 4" in head
    assert [request.target for request, _ in server.requests] == [b"/1", b"/2"]
    responder.answer(200, [], b"next")
    assert server.transport.value().endswith(b"Content-Length: 4\r\n\r\nnext")


class Listener:
    """Records the events of one response."""

    def __init__(self) -> None:
        self.statuses: list[int] = []
        self.body = b""
        self.ended = False
        self.failure: ExchangeFailure | None = None

    def receive_head(self, head) -> None:
        self.statuses.append(head.status)

    def receive_body(self, data: bytes) -> None:
        self.body += data

    def end_response(self) -> None:
        self.ended = True

    def fail_response(self, failure: ExchangeFailure) -> None:
        self.failure = failure


class ClientHarness:
    """A client connection with one exchange in progress."""

    def __init__(self) -> None:
        self.clock = Clock()
        self.idle: list[ClientConnection] = []
        self.connection = ClientConnection(
            seconds=self.clock.seconds,
            on_idle=self.idle.append,
            on_closed=lambda connection: None,
        )
        self.transport = Transport()
        self.connection.makeConnection(self.transport)
        self.listener = Listener()
        self.send(b"a1", self.listener)

    def send(self, response_id: bytes, listener: Listener) -> None:
        request = OutgoingRequest(
            method=b"POST", target=b"/a", headers=[(b"Host", b"h")], body=b"hello"
        )
        self.connection.send(
            Exchange(
                request=request,
                listener=listener,
                is_answer=lambda head: head.get(b"id") in (None, response_id),
            )
        )

    def receive(self, data: bytes) -> None:
        self.connection.dataReceived(data)

    def lose_connection(self, error: Exception) -> None:
        self.connection.connectionLost(Failure(error))


COMPLETE = b"HTTP/1.1 200 OK\r\nid: a1\r\nContent-Length: 2\r\n\r\nok"
WITHOUT_LENGTH = b"HTTP/1.1 200 OK\r\nid: a1\r\n\r\nok"


def test_a_complete_response_makes_the_connection_idle() -> None:
    client = ClientHarness()
    client.receive(COMPLETE)
    assert client.listener.ended
    assert client.idle == [client.connection]


def test_a_response_left_over_from_another_request_is_dropped() -> None:
    client = ClientHarness()
    client.receive(b"HTTP/1.1 200 OK\r\nid: old\r\nContent-Length: 4\r\n\r\nlate" + COMPLETE)
    assert client.listener.statuses == [200]
    assert client.listener.body == b"ok"
    assert client.listener.ended


INTERIM = b"HTTP/1.1 103 Early Hints\r\n\r\n"
LEFT_OVER = b"HTTP/1.1 200 OK\r\nid: old\r\nContent-Length: 0\r\n\r\n"


# Guards against a server whose responses before the final one hold up all other work: a single read
# holds thousands of them.
@pytest.mark.parametrize("piece", [INTERIM, LEFT_OVER])
def test_responses_without_end_before_the_final_one_close_the_connection(piece: bytes) -> None:
    client = ClientHarness()
    client.receive(piece * 2_000)
    assert client.listener.failure is ExchangeFailure.MALFORMED
    assert client.transport.aborted


@pytest.mark.parametrize("piece", [INTERIM, LEFT_OVER])
def test_the_final_response_follows_some_others(piece: bytes) -> None:
    client = ClientHarness()
    client.receive(piece * 8 + COMPLETE)
    assert client.listener.body == b"ok"
    assert client.idle == [client.connection]


def test_an_extra_response_closes_the_connection() -> None:
    client = ClientHarness()
    client.receive(COMPLETE + COMPLETE)
    assert client.listener.body == b"ok"
    assert client.transport.aborted
    assert not client.idle


def test_bytes_on_an_idle_connection_close_it() -> None:
    client = ClientHarness()
    client.receive(COMPLETE)
    client.receive(COMPLETE)
    assert client.transport.aborted
    assert not client.connection.reusable


@pytest.mark.parametrize(
    ("data", "error", "failure"),
    [
        (b"", ConnectionDone(), ExchangeFailure.LOST),
        (b"", ConnectionLost(), ExchangeFailure.LOST),
        (COMPLETE[:-1], ConnectionDone(), ExchangeFailure.LOST),
        (COMPLETE[:-1], ConnectionLost(), ExchangeFailure.LOST),
        (WITHOUT_LENGTH, ConnectionLost(), ExchangeFailure.LOST),
    ],
)
def test_a_truncated_response_never_completes(data, error, failure) -> None:
    client = ClientHarness()
    if data:
        client.receive(data)
    client.lose_connection(error)
    assert not client.listener.ended
    assert client.listener.failure is failure


def test_a_response_without_a_length_ends_with_a_clean_close() -> None:
    client = ClientHarness()
    client.receive(WITHOUT_LENGTH)
    assert not client.listener.ended
    client.lose_connection(ConnectionDone())
    assert client.listener.ended
    assert client.listener.body == b"ok"


def test_an_invalid_response_fails_as_malformed() -> None:
    client = ClientHarness()
    client.receive(b"\x00\x01nonsense\r\n\r\n")
    assert client.listener.failure is ExchangeFailure.MALFORMED
    assert client.transport.aborted


def test_after_an_early_response_the_next_request_follows_the_whole_body() -> None:
    client = ClientHarness()
    sent = client.transport.value()
    server = h11.Connection(h11.SERVER)
    server.receive_data(sent)
    client.receive(COMPLETE)
    client.send(b"a1", Listener())
    second_request = client.transport.value()[len(sent) :]
    assert second_request.startswith(b"POST /a HTTP/1.1")
    assert sent.endswith(b"hello")


def test_the_announced_idle_timeout_limits_reuse() -> None:
    client = ClientHarness()
    client.receive(COMPLETE.replace(b"\r\n\r\n", b"\r\nKeep-Alive: timeout=2\r\n\r\n"))
    assert client.connection.reusable
    client.clock.advance(1.6)
    assert not client.connection.reusable


def test_an_unused_new_connection_is_reusable_until_the_idle_limit() -> None:
    clock = Clock()
    clock.advance(100.0)
    connection = ClientConnection(
        seconds=clock.seconds, on_idle=lambda _: None, on_closed=lambda _: None
    )
    connection.makeConnection(Transport())
    assert connection.reusable
    clock.advance(DEFAULT_IDLE_S)
    assert not connection.reusable

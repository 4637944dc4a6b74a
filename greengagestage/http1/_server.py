"""The server side of a connection: reads one request at a time, within limits."""

from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any
from weakref import ref

import h11
from twisted.internet.protocol import Factory, connectionDone
from twisted.internet.protocol import Protocol as TwistedProtocol
from twisted.python.failure import Failure

from greengagestage.catalog import ConnectionLimits

from ._body_claim import BodyClaim
from ._callers import ObservedConnection
from ._listeners import close_listener, count_unaccepted
from ._memory import MemoryAccount
from ._piece_buffer import PieceBuffer
from ._pipelining import ByteArrivals
from ._requests import IncomingRequest, LimitExceeded
from ._sockets import (
    count_undelivered_bytes,
    count_unsent_bytes,
    end_sending,
    has_unread_bytes,
    measure_unread_s,
    tune_socket,
)
from ._types import HeaderList

LINGER_S = 1.0
"""How long a connection is still read after its last answer has arrived. Closing with unread data
would reset the connection, and the caller could lose the answer."""

EVICTION_DIVISOR = 64
"""Part of the allowed connections that is closed at once, so that not each new one costs a
comparison of all others."""

DELIVERY_CHECK_INTERVAL_S = 0.1
"""Time between two checks whether the last answer has arrived."""

LATE_READING_S = 0.1
"""Time in which a process that was busy reads what has arrived, before a request is refused as too
slow."""

HEADER_BYTES = 256
"""Memory that a header takes beside its bytes, in the request and in the one that is sent on."""

MAX_UNCOUNTED_HEADERS = 32
"""Heads with more headers count for what they take. Others take little beside their 16 KiB."""

MAX_EVENTS_AT_ONCE = 256
"""Parser events after which other connections are served. A read can hold thousands of chunks."""

MAX_PIPELINED_BYTES = 65_536
"""Limit for buffered bytes of later requests while one is answered; reading pauses above it."""


class ServerFactory(Factory):
    """Accepts connections and passes their requests to a callback.

    Args:
        on_request: Called with each complete request and the connection that takes its response.
        on_refused: Called with the reason for refusing a request; returns the body of the refusal.
        memory: Counts what is held for callers; None to count nothing.
        max_connections: How many connections may be open; None for any number. Beyond, the one that
            has been idle longest is closed, or else some whose callers read or send slowest, or
            else the new one.

    Attributes:
        evicted: Number of connections that were closed for new ones.
        idle_connections: The connections that wait for a request, longest idle first.
        discarded_bytes: Number of bytes that were received on connections about to be closed.
        late_reads: Number of reads of bytes that had waited since the process was held up.
        longest_unread_s: The longest time for which such bytes have waited.
    """

    noisy = False

    def __init__(
        self,
        *,
        reactor: Any,
        on_request: Callable[[IncomingRequest, "CallerConnection"], None],
        on_refused: Callable[[LimitExceeded], bytes],
        memory: MemoryAccount | None = None,
        max_connections: int | None = None,
    ) -> None:
        self.reactor = reactor
        self.on_request = on_request
        self.on_refused = on_refused
        self.memory = memory or MemoryAccount()
        self.max_connections = max_connections
        self.idle_connections: dict[CallerConnection, None] = {}
        self.limits = ConnectionLimits()
        self.closing = False
        self.discarded_bytes = 0
        self.evicted = 0
        self.late_reads = 0
        self.longest_unread_s = 0.0
        self.connections: set[CallerConnection] = set()
        self._listener: Any = None

    def listen(self, host: str, port: int, *, backlog: int) -> None:
        """Accept connections at an address.

        Raises:
            twisted.internet.error.CannotListenError: The address is in use or not this machine's.
        """
        self._listener = self.reactor.listenTCP(port, self, backlog=backlog, interface=host)

    def buildProtocol(self, addr: Any) -> Any:
        """Build the protocol of a new connection."""
        return CallerConnection(factory=self)

    def make_room(self) -> bool:
        """Close a connection if there are as many as allowed; return whether one more may stay."""
        if self.max_connections is None or len(self.connections) < self.max_connections:
            return True
        for connection in self.idle_connections:
            if connection.evict():
                self.evicted += 1
                return True
        slowest = self.memory.list_slowest(max(self.max_connections // EVICTION_DIVISOR, 1))
        for holder in slowest:
            holder.shed()
        self.evicted += len(slowest)
        return bool(slowest)

    def stop_accepting(self) -> None:
        """Accept the connections that callers have opened, then no more."""
        if self._listener is not None:
            close_listener(self._listener)

    def close_idle(self) -> None:
        """Close the connections on which no request has begun."""
        for connection in list(self.connections):
            if connection.idle:
                connection.close_idle()

    def record_late_read(self, unread_s: float) -> None:
        """Count a read of bytes that had waited for some time."""
        self.late_reads += 1
        self.longest_unread_s = max(self.longest_unread_s, unread_s)

    def count_unread(self) -> int:
        """Return the number of connections on which bytes wait that may be a request."""
        return sum(connection.has_unread_bytes for connection in self.connections)

    def count_unaccepted(self) -> int:
        """Return the number of opened connections that wait to be accepted."""
        return 0 if self._listener is None else count_unaccepted(self._listener)

    def count_sending(self) -> int:
        """Return the number of connections with written bytes that the process still holds."""
        return sum(connection.unsent_bytes > 0 for connection in self.connections)


@dataclass(slots=True, kw_only=True)
class _PartialRequest:
    """A request that is being read."""

    received_s: float
    head: h11.Request | None = None
    head_bytes: int = 0
    body: PieceBuffer = field(default_factory=PieceBuffer)

    @property
    def size(self) -> int:
        """Number of bytes for which the request counts."""
        return self.head_bytes + self.body.size


class CallerConnection(ObservedConnection, TwistedProtocol):
    """A caller's connection, which is also the responder for its current request.

    A caller that closes only its sending side counts as gone, as with many HTTP servers: until a
    write fails, that looks like a full close, after which work has to be cancelled at once.
    """

    transport: Any

    def __init__(self, *, factory: ServerFactory) -> None:
        self.factory: ServerFactory = factory
        self._codec = h11.Connection(
            h11.SERVER, max_incomplete_event_size=factory.limits.header_bytes
        )
        self._incoming: _PartialRequest | None = None
        self._arrivals = ByteArrivals()
        self._reading = False
        self._answering = False
        self._answers_head = False
        # Set once the connection is to be closed: after a refusal, after the last answer, or by
        # abort. Bytes received from then on are discarded.
        self._ignoring_input = False
        self._paused_reading = False
        self._backlogged = False
        self._received_bytes = 0
        self._written_bytes = 0
        self._buffered_answer_bytes = 0
        # Whatever answers the request holds its body, and may drop it before the answer ends.
        self._answered_body: ref[BodyClaim] | None = None
        self._timer: Any = None
        self._parsing_timer: Any = None

    def connectionMade(self) -> None:
        """Set the socket options and wait for the first request."""
        # A sound caller may read nothing for a while: it is cut off like any other idle one.
        tune_socket(self.transport, unacknowledged_limit_s=self.factory.limits.idle_timeout_s)
        if not self.factory.make_room():
            self.shed()
            return
        self.factory.connections.add(self)
        self.factory.idle_connections[self] = None
        self.transport.registerProducer(self, True)
        self._set_timer(self.factory.limits.idle_timeout_s, self.close_idle)

    @property
    def idle(self) -> bool:
        """Whether no request is being read or answered, or waits for earlier answers."""
        if self._answering or self._incoming is not None or self._ignoring_input:
            return False
        return not self._codec.trailing_data[0]

    @property
    def has_unread_bytes(self) -> bool:
        """Whether bytes that will not be discarded have arrived and are not read yet."""
        return not self._ignoring_input and has_unread_bytes(self.transport)

    @property
    def unsent_bytes(self) -> int:
        """Number of written bytes that the process still holds, since the caller reads slowly."""
        return count_unsent_bytes(self.transport)

    @property
    def held_bytes(self) -> int:
        """Number of bytes that the process holds for the caller."""
        being_read = 0 if self._incoming is None else self._incoming.size
        sent_ahead = len(self._codec.trailing_data[0])
        body = None if self._answered_body is None else self._answered_body()
        answered = (0 if body is None else body.size) + self._buffered_answer_bytes
        return being_read + sent_ahead + answered + self.unsent_bytes

    @property
    def awaits_peer(self) -> bool:
        """Whether the caller has not sent its request, or not taken what is written."""
        return self._incoming is not None or self.unsent_bytes > 0

    @property
    def moved_bytes(self) -> int:
        """Number of bytes that the caller has sent, or taken into the kernel's send queue."""
        return self._received_bytes + self._written_bytes - self.unsent_bytes

    def shed(self) -> None:
        """Refuse a request that is being read, else abort the connection."""
        if self._incoming is None:
            self.transport.abortConnection()
        else:
            self._refuse(LimitExceeded.MEMORY_FULL)

    def dataReceived(self, data: bytes) -> None:
        """Parse received bytes up to the end of one request."""
        self._received_bytes += len(data)
        if self._ignoring_input:
            self.factory.discarded_bytes += len(data)
            return
        arrived_s = self._measure_arrival_s()
        self._arrivals.add(len(data), arrived_s, unparsed=len(self._codec.trailing_data[0]))
        if self._incoming is None and not self._answering:
            self._begin_reading(arrived_s)
        self._codec.receive_data(data)
        if self._answering:
            self.factory.memory.record(self, len(data))
            self._limit_pipelining()
            return
        self._read_events()

    def pauseProducing(self) -> None:
        """Pause the listener; no further request begins until what is written has been sent."""
        self._backlogged = True
        super().pauseProducing()

    def resumeProducing(self) -> None:
        """Resume the listener, or if no request is open, read the next one."""
        self._backlogged = False
        super().resumeProducing()
        if not self._answering and self._incoming is None and not self._ignoring_input:
            self._resume_reading()

    def connectionLost(self, reason: Failure = connectionDone) -> None:
        """Notify the listener that the caller's connection is lost."""
        self._stop_timer()
        if self._parsing_timer is not None:
            self._parsing_timer.cancel()
            self._parsing_timer = None
        self.factory.connections.discard(self)
        self.factory.idle_connections.pop(self, None)
        self.factory.memory.discard(self)
        self._incoming = None
        self._buffered_answer_bytes = 0
        self._leave_body()
        self.notify_disconnected()

    def answer(self, status: int, headers: HeaderList, body: bytes) -> None:
        """Send a complete response; one to a HEAD request has no body, only its length."""
        # An empty body of an answer to HEAD says nothing about the length that GET would have.
        without_length = status in (204, 304) or (self._answers_head and not body)
        length = [] if without_length else [(b"Content-Length", b"%d" % len(body))]
        self._send(
            h11.Response(
                status_code=status, headers=[*headers, *length, *self._build_connection_header()]
            )
        )
        if body:
            self.write(body)
        self.finish()

    def begin(self, status: int, headers: HeaderList) -> None:
        """Begin a response of unknown length."""
        self._send(
            h11.Response(status_code=status, headers=[*headers, *self._build_connection_header()])
        )

    def write(self, data: bytes) -> None:
        """Send the next bytes of the body; discard them if the request was HEAD."""
        if not self._answers_head:
            self._send(h11.Data(data=data))

    def finish(self) -> None:
        """Complete the response, and read the next request unless too little has been sent."""
        self.listener = None
        self.hold(0)
        self._leave_body()
        self._send(h11.EndOfMessage())
        self._answering = False
        if self._codec.our_state is not h11.DONE or self._codec.their_state is not h11.DONE:
            self._linger()
            return
        self._codec.start_next_cycle()
        self.factory.idle_connections[self] = None
        self._set_timer(self.factory.limits.idle_timeout_s, self.close_idle)
        if self._backlogged:
            self._pause_reading()
        else:
            self._resume_reading()

    def hold(self, count: int) -> bool:
        """Count the bytes of the response that are buffered until it is complete."""
        self.factory.memory.record(self, count - self._buffered_answer_bytes)
        self._buffered_answer_bytes = count
        return not self.factory.memory.is_scarce

    def abort(self) -> None:
        """Abort the connection, so that the response cannot look complete."""
        self.listener = None
        self._ignoring_input = True
        self.transport.abortConnection()

    def evict(self) -> bool:
        """Close the connection; return whether it is closed.

        It is not if a request may have arrived, or if the caller still reads an answer.
        """
        if self._codec.trailing_data[0] or has_unread_bytes(self.transport) or self.unsent_bytes:
            return False
        self._close()
        return True

    def close_idle(self) -> None:
        """Close the connection, on which no request has begun, once its last answer is delivered.

        Bytes that the process has not read yet may be a request, which is answered first. A
        transport with a registered producer that it has paused would never close.
        """
        if self._codec.trailing_data[0] or has_unread_bytes(self.transport):
            return
        if count_undelivered_bytes(self.transport):
            self._linger()
            return
        self._close()

    def _close(self) -> None:
        """Close the connection, whose answers have all been sent."""
        self._ignoring_input = True
        self.factory.idle_connections.pop(self, None)
        self.transport.unregisterProducer()
        end_sending(self.transport)
        self.transport.loseConnection()

    def _pause_reading(self) -> None:
        if not self._paused_reading:
            self._paused_reading = True
            self.transport.pauseProducing()

    def _unpause_reading(self) -> None:
        if self._paused_reading:
            self._paused_reading = False
            self.transport.resumeProducing()

    def _resume_reading(self) -> None:
        self._unpause_reading()
        buffered = len(self._codec.trailing_data[0])
        if buffered:
            self._begin_reading(self._arrivals.find_arrival(buffered))
            self._read_events()

    def _measure_arrival_s(self) -> float:
        """Return when the bytes that have just been read arrived."""
        now_s: float = self.factory.reactor.seconds()
        unread_s = measure_unread_s(self.transport)
        if unread_s:
            self.factory.record_late_read(unread_s)
        return now_s - unread_s

    def _begin_reading(self, received_s: float) -> None:
        self._incoming = _PartialRequest(received_s=received_s)
        self.factory.idle_connections.pop(self, None)
        self._set_timer(self.factory.limits.header_timeout_s, self._refuse_too_slow)

    def _read_events(self) -> None:
        """Handle the buffered requests, one after the other while they are answered at once."""
        if self._reading:
            return  # called by the answer to a request that the loop below has just read
        self._reading = True
        try:
            for _ in range(MAX_EVENTS_AT_ONCE):
                if not self._read_event(self._codec.next_event()):
                    return
            self._postpone_parsing()
        except h11.RemoteProtocolError as error:
            too_large = error.error_status_hint == LimitExceeded.HEAD_TOO_LARGE.value
            self._refuse(LimitExceeded.HEAD_TOO_LARGE if too_large else LimitExceeded.MALFORMED)
        finally:
            self._reading = False

    def _postpone_parsing(self) -> None:
        """Parse the rest of what has been read after other connections have been served."""
        self._pause_reading()
        if self._parsing_timer is None:
            self._parsing_timer = self.factory.reactor.callLater(0.0, self._continue_parsing)

    def _continue_parsing(self) -> None:
        self._parsing_timer = None
        if self._incoming is not None:
            self._unpause_reading()
            self._read_events()

    def _read_event(self, event: Any) -> bool:
        """Handle one parser event; return whether more may follow."""
        incoming = self._incoming
        if incoming is None:
            return False
        match event:
            case h11.Request():
                return self._handle_head(incoming, event)
            case h11.Data():
                return self._handle_body(incoming, event.data)
            case h11.EndOfMessage():
                self._handle_end(incoming)
                return self._incoming is not None
            case _:
                return False

    def _handle_head(self, incoming: _PartialRequest, head: h11.Request) -> bool:
        if _is_ambiguous(head):
            self._refuse(LimitExceeded.MALFORMED)
            return False
        incoming.head = head
        incoming.head_bytes = _measure_head(head)
        if incoming.head_bytes and not self._hold_incoming(incoming.head_bytes):
            return False
        self._set_timer(self.factory.limits.idle_timeout_s, self._refuse_too_slow)
        if self._codec.they_are_waiting_for_100_continue:
            self._send(h11.InformationalResponse(status_code=100, headers=[]))
        return True

    def _handle_body(self, incoming: _PartialRequest, data: bytes | bytearray) -> bool:
        if incoming.body.size + len(data) > self.factory.limits.body_bytes:
            self._refuse(LimitExceeded.BODY_TOO_LARGE)
            return False
        incoming.body.append(data)
        if not self._hold_incoming(len(data)):
            return False
        self._set_timer(self.factory.limits.idle_timeout_s, self._refuse_too_slow)
        return True

    def _hold_incoming(self, count: int) -> bool:
        """Count bytes of the request that is being read; refuse it if there is no room."""
        self.factory.memory.record(self, count)
        if self.factory.memory.is_full:
            self._refuse(LimitExceeded.MEMORY_FULL)
            return False
        return True

    def _handle_end(self, incoming: _PartialRequest) -> None:
        head = incoming.head
        if head is None:
            return
        self._incoming = None
        self._answering = True
        claim = BodyClaim(incoming.size) if incoming.size else None
        self._answered_body = None if claim is None else ref(claim)
        self._answers_head = head.method == b"HEAD"
        self._stop_timer()
        request = IncomingRequest(
            method=bytes(head.method),
            target=bytes(head.target),
            headers=list(head.headers),
            body=incoming.body.take(),
            received_s=incoming.received_s,
            body_claim=claim,
        )
        self.factory.on_request(request, self)

    def _leave_body(self) -> None:
        """Leave the body of the answered request to whatever still holds it."""
        body = None if self._answered_body is None else self._answered_body()
        self._answered_body = None
        if body is not None:
            self.factory.memory.keep(body)

    def _refuse(self, reason: LimitExceeded) -> None:
        """Send a refusal for a request that cannot be read, then close the connection."""
        if self._ignoring_input:
            return
        body = self.factory.on_refused(reason)
        self._ignoring_input = True
        self._incoming = None
        retry_after_s = reason.retry_after_s
        retry = "" if retry_after_s is None else f"Retry-After: {retry_after_s:.3f}\r\n"
        head = (
            f"HTTP/1.1 {reason.value} {reason.name.replace('_', ' ').title()}\r\n"
            f"Content-Type: application/json\r\nContent-Length: {len(body)}\r\n"
            f"{retry}Connection: close\r\n\r\n"
        )
        self.transport.write(head.encode() + body)
        self._linger()

    def _refuse_too_slow(self) -> None:
        """Refuse the request, unless the process itself is late and has not read what came."""
        if has_unread_bytes(self.transport):
            self._set_timer(LATE_READING_S, self._refuse_too_slow)
        else:
            self._refuse(LimitExceeded.TOO_SLOW)

    def _linger(self) -> None:
        """Close the sending side, and the connection ``LINGER_S`` after the last byte has arrived.

        What is received meanwhile is discarded.
        """
        self._ignoring_input = True
        self.factory.idle_connections.pop(self, None)
        self.factory.discarded_bytes += len(self._codec.trailing_data[0])
        self._unpause_reading()
        self.transport.unregisterProducer()
        self.transport.loseWriteConnection()
        undelivered = count_undelivered_bytes(self.transport)
        self._await_delivery(undelivered, self.factory.reactor.seconds())

    def _await_delivery(self, undelivered: int, progress_s: float) -> None:
        """Wait while the caller still receives bytes; abort after the idle timeout without any.

        Args:
            undelivered: Undelivered bytes at the previous check.
            progress_s: When that number last decreased.
        """
        now_s = self.factory.reactor.seconds()
        left = count_undelivered_bytes(self.transport)
        if not left:
            self._set_timer(LINGER_S, self.transport.loseConnection)
            return
        if left < undelivered:
            progress_s = now_s
        elif now_s - progress_s > self.factory.limits.idle_timeout_s:
            self.transport.abortConnection()
            return
        self._set_timer(DELIVERY_CHECK_INTERVAL_S, lambda: self._await_delivery(left, progress_s))

    def _limit_pipelining(self) -> None:
        if len(self._codec.trailing_data[0]) > MAX_PIPELINED_BYTES:
            self._pause_reading()

    def _build_connection_header(self) -> HeaderList:
        """Return the header that announces the close, while the server stops.

        A request that has arrived behind this one, even unread, is answered first.
        """
        is_last = (
            self.factory.closing
            and not self._codec.trailing_data[0]
            and not has_unread_bytes(self.transport)
        )
        return [(b"Connection", b"close")] if is_last else []

    def _send(self, event: Any) -> None:
        data = self._codec.send(event)
        self._written_bytes += len(data)
        self.factory.memory.record(self, len(data))
        self.transport.write(data)

    def _set_timer(self, delay_s: float, call: Callable[[], None]) -> None:
        self._stop_timer()
        self._timer = self.factory.reactor.callLater(delay_s, call)

    def _stop_timer(self) -> None:
        if self._timer is not None and self._timer.active():
            self._timer.cancel()
        self._timer = None


def _measure_head(head: h11.Request) -> int:
    """Return the memory that the headers of a request take; 0 if it is little."""
    if len(head.headers) <= MAX_UNCOUNTED_HEADERS:
        return 0
    return sum(HEADER_BYTES + len(name) + len(value) for name, value in head.headers)


def _is_ambiguous(head: h11.Request) -> bool:
    """Whether two parsers could disagree about the end of the body or the host."""
    names = [name for name, _ in head.headers]
    lengths = names.count(b"content-length")
    codings = names.count(b"transfer-encoding")
    if lengths + codings > 1 or names.count(b"host") > 1:
        return True
    return bool(codings) and head.http_version < b"1.1"

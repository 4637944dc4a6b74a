"""The server side of a connection: one bounded request after the other."""

from collections.abc import Callable
from dataclasses import dataclass, field
from enum import Enum
from typing import Any, Protocol

import h11
from twisted.internet.protocol import Factory, connectionDone
from twisted.internet.protocol import Protocol as TwistedProtocol
from twisted.python.failure import Failure

from greengagestage.catalog import ConnectionLimits

from ._callers import CallerListener, ObservedConnection
from ._sockets import tune_socket
from ._types import HeaderList

LINGER_S = 1.0
"""How long the rest of a refused request is read, so that its refusal is not reset away."""

MAX_PIPELINED_BYTES = 65_536
"""Bytes of later requests kept while one is answered; reading stops above."""


class LimitExceeded(Enum):
    """Why a request was not read to its end, with the status that says so."""

    MALFORMED = 400
    TOO_SLOW = 408
    BODY_TOO_LARGE = 413
    HEAD_TOO_LARGE = 431


@dataclass(frozen=True, slots=True, kw_only=True)
class IncomingRequest:
    """A whole request. Header names are in lower case.

    Attributes:
        received_s: Monotonic time of its first byte.
    """

    method: bytes
    target: bytes
    headers: HeaderList
    body: bytes
    received_s: float

    def get_all(self, name: bytes) -> list[bytes]:
        """Return all values of a header."""
        return [value for key, value in self.headers if key == name]

    def get(self, name: bytes) -> bytes | None:
        """Return a header's first value."""
        return next(iter(self.get_all(name)), None)


class Responder(Protocol):
    """Takes the answer to one request."""

    listener: CallerListener | None

    def answer(self, status: int, headers: HeaderList, body: bytes) -> None:
        """Send a whole answer."""

    def begin(self, status: int, headers: HeaderList) -> None:
        """Begin an answer of unknown length."""

    def write(self, data: bytes) -> None:
        """Send more of the body."""

    def finish(self) -> None:
        """End the answer properly."""

    def abort(self) -> None:
        """Cut the connection, so that the answer cannot look complete."""


class ServerFactory(Factory):
    """Accepts connections and hands their requests on.

    Args:
        on_request: Called with each whole request and the connection that takes its answer.
        on_refused: Called with a request's limit; returns the body that explains it.
    """

    noisy = False

    def __init__(
        self,
        *,
        reactor: Any,
        on_request: Callable[[IncomingRequest, "CallerConnection"], None],
        on_refused: Callable[[LimitExceeded], bytes],
    ) -> None:
        self.reactor = reactor
        self.on_request = on_request
        self.on_refused = on_refused
        self.limits = ConnectionLimits()
        self.closing = False
        self.connections: set[CallerConnection] = set()

    def buildProtocol(self, addr: Any) -> Any:
        """Build the protocol of a new connection."""
        return CallerConnection(factory=self)

    def close_idle(self) -> None:
        """Close the connections on which nothing of a request has come."""
        for connection in list(self.connections):
            if connection.idle:
                connection.transport.loseConnection()


@dataclass(slots=True, kw_only=True)
class _Incoming:
    """A request that is being read."""

    received_s: float
    head: h11.Request | None = None
    parts: list[bytes] = field(default_factory=list)
    size: int = 0


class CallerConnection(ObservedConnection, TwistedProtocol):
    """A caller's connection; also the responder of its current request."""

    transport: Any

    def __init__(self, *, factory: ServerFactory) -> None:
        self.factory: ServerFactory = factory
        self._codec = h11.Connection(
            h11.SERVER, max_incomplete_event_size=factory.limits.header_bytes
        )
        self._incoming: _Incoming | None = None
        self._answering = False
        self._refused = False
        self._paused_reading = False
        self._timer: Any = None

    def connectionMade(self) -> None:
        """Wait for the first request."""
        tune_socket(self.transport)
        self.factory.connections.add(self)
        self.transport.registerProducer(self, True)
        self._set_timer(self.factory.limits.idle_timeout_s, self._close_idle)

    @property
    def idle(self) -> bool:
        """Whether no request has begun."""
        return not self._answering and self._incoming is None and not self._refused

    def dataReceived(self, data: bytes) -> None:
        """Read what came, up to the end of one request."""
        if self._refused:
            return
        if self._incoming is None and not self._answering:
            self._begin_reading()
        self._codec.receive_data(data)
        if self._answering:
            self._bound_pipelining()
            return
        self._read_events()

    def connectionLost(self, reason: Failure = connectionDone) -> None:
        """Tell the listener that the caller has left."""
        self._stop_timer()
        self.factory.connections.discard(self)
        self.notify_disconnected()

    def answer(self, status: int, headers: HeaderList, body: bytes) -> None:
        """Send a whole answer."""
        length = [] if status in (204, 304) else [(b"Content-Length", b"%d" % len(body))]
        self._send(h11.Response(status_code=status, headers=[*headers, *length, *self._closing()]))
        if body:
            self.write(body)
        self.finish()

    def begin(self, status: int, headers: HeaderList) -> None:
        """Begin an answer of unknown length."""
        self._send(h11.Response(status_code=status, headers=[*headers, *self._closing()]))

    def write(self, data: bytes) -> None:
        """Send more of the body."""
        self._send(h11.Data(data=data))

    def finish(self) -> None:
        """End the answer properly, and read the next request."""
        self.listener = None
        self._send(h11.EndOfMessage())
        self._answering = False
        if self._codec.our_state is not h11.DONE or self._codec.their_state is not h11.DONE:
            self._linger()
            return
        self._codec.start_next_cycle()
        self._set_timer(self.factory.limits.idle_timeout_s, self._close_idle)
        self._read_on()

    def abort(self) -> None:
        """Cut the connection, so that the answer cannot look complete."""
        self.listener = None
        self._refused = True
        self.transport.abortConnection()

    def _read_on(self) -> None:
        if self._paused_reading:
            self._paused_reading = False
            self.transport.resumeProducing()
        if self._codec.trailing_data[0]:
            self._begin_reading()
            self._read_events()

    def _begin_reading(self) -> None:
        self._incoming = _Incoming(received_s=self.factory.reactor.seconds())
        self._set_timer(self.factory.limits.header_timeout_s, self._refuse_slow)

    def _read_events(self) -> None:
        try:
            while self._read_event(self._codec.next_event()):
                pass
        except h11.RemoteProtocolError as error:
            too_large = error.error_status_hint == LimitExceeded.HEAD_TOO_LARGE.value
            self._refuse(LimitExceeded.HEAD_TOO_LARGE if too_large else LimitExceeded.MALFORMED)

    def _read_event(self, event: Any) -> bool:
        """Handle one event; return whether there may be more."""
        incoming = self._incoming
        if incoming is None:
            return False
        match event:
            case h11.Request():
                return self._take_head(incoming, event)
            case h11.Data():
                return self._take_body(incoming, bytes(event.data))
            case h11.EndOfMessage():
                self._take_end(incoming)
                return False
            case _:
                return False

    def _take_head(self, incoming: _Incoming, head: h11.Request) -> bool:
        if _is_ambiguous(head):
            self._refuse(LimitExceeded.MALFORMED)
            return False
        incoming.head = head
        self._set_timer(self.factory.limits.idle_timeout_s, self._refuse_slow)
        if self._codec.they_are_waiting_for_100_continue:
            self._send(h11.InformationalResponse(status_code=100, headers=[]))
        return True

    def _take_body(self, incoming: _Incoming, data: bytes) -> bool:
        incoming.size += len(data)
        if incoming.size > self.factory.limits.body_bytes:
            self._refuse(LimitExceeded.BODY_TOO_LARGE)
            return False
        incoming.parts.append(data)
        self._set_timer(self.factory.limits.idle_timeout_s, self._refuse_slow)
        return True

    def _take_end(self, incoming: _Incoming) -> None:
        head = incoming.head
        if head is None:
            return
        self._incoming = None
        self._answering = True
        self._stop_timer()
        request = IncomingRequest(
            method=bytes(head.method),
            target=bytes(head.target),
            headers=list(head.headers),
            body=b"".join(incoming.parts),
            received_s=incoming.received_s,
        )
        self.factory.on_request(request, self)

    def _refuse(self, limit: LimitExceeded) -> None:
        """Answer a request that cannot be read, and close."""
        if self._refused:
            return
        body = self.factory.on_refused(limit)
        self._refused = True
        head = (
            f"HTTP/1.1 {limit.value} {limit.name.replace('_', ' ').title()}\r\n"
            f"Content-Type: application/json\r\nContent-Length: {len(body)}\r\n"
            "Connection: close\r\n\r\n"
        )
        self.transport.write(head.encode() + body)
        self._linger()

    def _refuse_slow(self) -> None:
        self._refuse(LimitExceeded.TOO_SLOW)

    def _close_idle(self) -> None:
        self.transport.loseConnection()

    def _linger(self) -> None:
        """Stop sending, and read what still comes for a while."""
        self._refused = True
        self.transport.unregisterProducer()
        self.transport.loseWriteConnection()
        self._set_timer(LINGER_S, self.transport.abortConnection)

    def _bound_pipelining(self) -> None:
        if len(self._codec.trailing_data[0]) > MAX_PIPELINED_BYTES and not self._paused_reading:
            self._paused_reading = True
            self.transport.pauseProducing()

    def _closing(self) -> HeaderList:
        return [(b"Connection", b"close")] if self.factory.closing else []

    def _send(self, event: Any) -> None:
        self.transport.write(self._codec.send(event))

    def _set_timer(self, delay_s: float, call: Callable[[], None]) -> None:
        self._stop_timer()
        self._timer = self.factory.reactor.callLater(delay_s, call)

    def _stop_timer(self) -> None:
        if self._timer is not None and self._timer.active():
            self._timer.cancel()
        self._timer = None


def _is_ambiguous(head: h11.Request) -> bool:
    """Whether the end of the body could be read in two ways."""
    names = [name for name, _ in head.headers]
    lengths = names.count(b"content-length")
    codings = names.count(b"transfer-encoding")
    if lengths + codings > 1 or names.count(b"host") > 1:
        return True
    return bool(codings) and head.http_version < b"1.1"

"""The client side of a connection: one exchange after the other, each told to its listener."""

from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum
from typing import Any, Protocol

import h11
from twisted.internet.error import ConnectionDone
from twisted.internet.protocol import Protocol as TwistedProtocol
from twisted.internet.protocol import connectionDone
from twisted.python.failure import Failure

from ._sockets import tune_socket
from ._types import HeaderList

MAX_RESPONSE_HEAD_BYTES = 65_536
"""Larger response heads are malformed; four times what callers may send."""

IDLE_MARGIN_S = 0.5
"""A connection is not reused this close to the end of the idle time that its peer announced."""

DEFAULT_IDLE_S = 4.0
"""Reuse limit where the peer announced none: below the usual five seconds of servers."""


class ExchangeFailure(Enum):
    """How an exchange ended without a whole response."""

    NOT_CONNECTED = "not_connected"
    LOST = "lost"
    MALFORMED = "malformed"


@dataclass(frozen=True, slots=True, kw_only=True)
class OutgoingRequest:
    """A request with its whole body; framing headers are added when it is sent."""

    method: bytes
    target: bytes
    headers: HeaderList
    body: bytes = b""


@dataclass(frozen=True, slots=True, kw_only=True)
class ResponseHead:
    """Status and headers of a response; header names are in lower case.

    Attributes:
        framed: The end of the body can be told from the end of the connection.
    """

    status: int
    headers: HeaderList
    framed: bool = True

    def get(self, name: bytes) -> bytes | None:
        """Return a header's first value; the name is given in lower case."""
        for key, value in self.headers:
            if key == name:
                return value
        return None


class ResponseListener(Protocol):
    """Hears a response, until it ends or fails."""

    def receive_head(self, head: ResponseHead) -> None:
        """The response's head came."""

    def receive_body(self, data: bytes) -> None:
        """More of the body came."""

    def end_response(self) -> None:
        """The body ended as its framing says."""

    def fail_response(self, failure: ExchangeFailure) -> None:
        """Nothing more will come."""


@dataclass(frozen=True, slots=True, kw_only=True)
class Exchange:
    """A request and who hears its response.

    Attributes:
        is_answer: Tells the response to this request from one that was left over from another;
            those are read and dropped.
    """

    request: OutgoingRequest
    listener: ResponseListener
    is_answer: Callable[[ResponseHead], bool] = lambda head: True


class ClientConnection(TwistedProtocol):
    """A connection to a server.

    Args:
        on_idle: Called when the connection may take another exchange.
        on_closed: Called when the connection is lost, whatever it was doing.
    """

    transport: Any

    def __init__(
        self,
        *,
        seconds: Callable[[], float],
        on_idle: Callable[["ClientConnection"], None],
        on_closed: Callable[["ClientConnection"], None],
    ) -> None:
        self._seconds = seconds
        self._on_idle = on_idle
        self._on_closed = on_closed
        self._exchange: Exchange | None = None
        self._codec = _create_codec()
        self._dropping = False
        self._closed = False
        self._idle_limit_s = DEFAULT_IDLE_S
        self._idle_since_s = 0.0

    def connectionMade(self) -> None:
        """Set the socket's options; the connection is idle from now on."""
        self._idle_since_s = self._seconds()
        tune_socket(self.transport)

    @property
    def busy(self) -> bool:
        """Whether an exchange is open."""
        return self._exchange is not None

    @property
    def idle_s(self) -> float:
        """How long the connection has been idle."""
        return self._seconds() - self._idle_since_s

    @property
    def reusable(self) -> bool:
        """Whether another exchange may be sent: the server probably keeps the connection."""
        return not self._closed and not self.busy and self.idle_s < self._idle_limit_s

    def send(self, exchange: Exchange) -> None:
        """Send a request; the connection must be idle."""
        self._exchange = exchange
        self.transport.write(_encode_request(self._codec, exchange.request))

    def close(self) -> None:
        """Drop the connection at once; an open exchange hears nothing more."""
        self._exchange = None
        self._closed = True
        if self.transport is not None:
            self.transport.abortConnection()

    def pause(self) -> None:
        """Stop reading for a while."""
        if not self._closed:
            self.transport.pauseProducing()

    def resume(self) -> None:
        """Read on."""
        if not self._closed:
            self.transport.resumeProducing()

    def dataReceived(self, data: bytes) -> None:
        """Read what came; bytes that no exchange waits for close the connection."""
        if self._exchange is None:
            self.close()
            return
        self._codec.receive_data(data)
        self._read_events()

    def connectionLost(self, reason: Failure = connectionDone) -> None:
        """End the open exchange: whole only where the server closed in order."""
        if self._exchange is not None and isinstance(reason.value, ConnectionDone):
            self._closed = True
            self._codec.receive_data(b"")
            self._read_events()
        self._closed = True
        self._fail(ExchangeFailure.LOST)
        self._on_closed(self)

    def _read_events(self) -> None:
        try:
            while self._exchange is not None and self._read_event(self._codec.next_event()):
                pass
        except h11.RemoteProtocolError:
            lost = self._closed
            self._fail(ExchangeFailure.LOST if lost else ExchangeFailure.MALFORMED)
            self.close()

    def _read_event(self, event: Any) -> bool:
        """Handle one event; return whether there may be more."""
        match event:
            case h11.Response():
                self._begin_response(event)
            case h11.Data():
                if not self._dropping and self._exchange is not None:
                    self._exchange.listener.receive_body(bytes(event.data))
            case h11.EndOfMessage():
                self._end_response()
            case h11.InformationalResponse():
                pass
            case _:
                return False
        return True

    def _begin_response(self, event: h11.Response) -> None:
        exchange = self._exchange
        if exchange is None:
            return
        head = ResponseHead(
            status=event.status_code,
            headers=list(event.headers),
            framed=_is_framed(exchange.request, event),
        )
        self._dropping = not exchange.is_answer(head)
        if self._dropping:
            return
        self._note_idle_limit(head)
        exchange.listener.receive_head(head)

    def _end_response(self) -> None:
        exchange = self._exchange
        if exchange is None:
            return
        if self._dropping:
            self._skip_response(exchange)
            return
        self._exchange = None
        self._settle()
        exchange.listener.end_response()

    def _skip_response(self, exchange: Exchange) -> None:
        """Wait on for the response to this request behind another one."""
        self._dropping = False
        if self._codec.their_state is not h11.DONE:
            self._fail(ExchangeFailure.LOST)
            self.close()
            return
        left_over, _ = self._codec.trailing_data
        self._codec = _create_codec()
        _encode_request(self._codec, exchange.request)
        if left_over:
            self._codec.receive_data(left_over)

    def _settle(self) -> None:
        """Offer the connection for another exchange, or close it."""
        codec = self._codec
        left_over, _ = codec.trailing_data
        done = codec.our_state is h11.DONE and codec.their_state is h11.DONE
        if self._closed or left_over or not done:
            self.close()
            return
        codec.start_next_cycle()
        self._idle_since_s = self._seconds()
        self._on_idle(self)

    def _note_idle_limit(self, head: ResponseHead) -> None:
        announced_s = _read_keep_alive(head.get(b"keep-alive"))
        self._idle_limit_s = (
            DEFAULT_IDLE_S if announced_s is None else max(announced_s - IDLE_MARGIN_S, 0.0)
        )

    def _fail(self, failure: ExchangeFailure) -> None:
        exchange, self._exchange = self._exchange, None
        if exchange is not None:
            exchange.listener.fail_response(failure)


def _create_codec() -> Any:
    return h11.Connection(h11.CLIENT, max_incomplete_event_size=MAX_RESPONSE_HEAD_BYTES)


def _encode_request(codec: Any, request: OutgoingRequest) -> bytes:
    headers = list(request.headers)
    if request.body or request.method not in (b"GET", b"HEAD", b"DELETE"):
        headers.append((b"Content-Length", b"%d" % len(request.body)))
    head = codec.send(h11.Request(method=request.method, target=request.target, headers=headers))
    body = codec.send(h11.Data(data=request.body)) if request.body else b""
    return bytes(head + body + codec.send(h11.EndOfMessage()))


def _is_framed(request: OutgoingRequest, response: h11.Response) -> bool:
    names = {name for name, _ in response.headers}
    if names & {b"content-length", b"transfer-encoding"}:
        return True
    return request.method == b"HEAD" or response.status_code in (204, 304)


def _read_keep_alive(value: bytes | None) -> float | None:
    """Return the seconds of ``timeout=N``."""
    if value is None:
        return None
    for part in value.split(b","):
        name, _, seconds = part.strip().partition(b"=")
        if name.lower() == b"timeout" and seconds.isdigit():
            return float(seconds)
    return None

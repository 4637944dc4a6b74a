"""The client side of a connection: one exchange at a time, reported to its listener."""

from collections.abc import Callable
from dataclasses import dataclass, field, replace
from enum import Enum
from typing import Any, Protocol

import h11
from twisted.internet.error import ConnectionDone
from twisted.internet.protocol import Protocol as TwistedProtocol
from twisted.internet.protocol import connectionDone
from twisted.python.failure import Failure

from ._body_claim import BodyClaim
from ._body_sender import PIECE_BYTES, BodySender
from ._sockets import (
    count_undelivered_bytes,
    limit_unacknowledged,
    send_at_once,
    tune_socket,
)
from ._types import HeaderList

MAX_RESPONSE_HEAD_BYTES = 65_536
"""Larger response heads are malformed; four times the limit for request heads."""

IDLE_MARGIN_S = 0.5
"""A connection is not reused within this time before the idle timeout its server announced."""

DEFAULT_IDLE_S = 4.0
"""Idle limit if the server announced none; below the five seconds that servers usually allow."""


MAX_SKIPPED_RESPONSES = 32
"""Limit for the responses before the final one of an exchange: interim ones, and those left over
from earlier requests. A read can hold thousands, whose parsing would hold up all other work."""


class ExchangeFailure(Enum):
    """Why an exchange ended without a complete response."""

    NOT_CONNECTED = "not_connected"
    LOST = "lost"
    MALFORMED = "malformed"


@dataclass(frozen=True, slots=True, kw_only=True)
class OutgoingRequest:
    """A request with its complete body; framing headers are added when it is sent.

    Attributes:
        body_claim: The claim of the incoming request whose body is sent on.
    """

    method: bytes
    target: bytes
    headers: HeaderList
    body: bytes = b""
    body_claim: BodyClaim | None = field(default=None, compare=False, repr=False)


@dataclass(frozen=True, slots=True, kw_only=True)
class ResponseHead:
    """Status and headers of a response; header names are in lower case.

    Attributes:
        framed: Whether the body's end is marked by its framing rather than by the connection's
            end.
        on_kept_connection: Whether the connection has carried an earlier request, so that the
            response may be a late one to that.
    """

    status: int
    headers: HeaderList
    framed: bool = True
    on_kept_connection: bool = False

    def get(self, name: bytes) -> bytes | None:
        """Return the first value of a header, or ``None``; ``name`` is in lower case."""
        for key, value in self.headers:
            if key == name:
                return value
        return None


class ResponseListener(Protocol):
    """Receives the events of a response until it ends or fails."""

    def receive_head(self, head: ResponseHead) -> None:
        """Handle the status and headers."""

    def receive_body(self, data: bytes) -> None:
        """Handle the next bytes of the body."""

    def end_response(self) -> None:
        """Handle the end of a complete response."""

    def fail_response(self, failure: ExchangeFailure) -> None:
        """Handle a response that cannot be completed; no other call follows."""


@dataclass(frozen=True, slots=True, kw_only=True)
class Exchange:
    """A request and the listener for its response.

    Attributes:
        is_answer: Returns whether a response belongs to this request. A response left over from
            an earlier request on the connection is read and dropped.
        recipient: The server that the request names, at an address that others may have used
            before; None if it names none.
    """

    request: OutgoingRequest
    listener: ResponseListener
    is_answer: Callable[[ResponseHead], bool] = lambda head: True
    recipient: str | None = None


class ClientConnection(TwistedProtocol):
    """A connection to a server.

    Args:
        seconds: Returns the monotonic time.
        on_idle: Called when the connection can be used for another exchange.
        on_closed: Called when the connection is lost, in any state.

    Attributes:
        opened_s: Monotonic time at which the connection was opened.
        was_aborted: Whether the connection ended otherwise than by a close of either side.
        recipient: The server that the last request named, if any.
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
        self._body_sender: BodySender | None = None
        self._exchanges = 0
        self._skipped_responses = 0
        self._codec = _create_codec()
        self._dropping_response = False
        self._closed = False
        self._paused = False
        # The server has answered before it has read the request to its end. What it leaves unread
        # looks like bytes that are not acknowledged on a broken path.
        self._answered_early = False
        self._idle_limit_s = DEFAULT_IDLE_S
        self._idle_since_s = 0.0
        self.opened_s = 0.0
        self.was_aborted = False
        self.recipient: str | None = None

    def connectionMade(self) -> None:
        """Set the socket options and record that the connection is idle from now on."""
        self.opened_s = self._idle_since_s = self._seconds()
        tune_socket(self.transport)

    @property
    def paused(self) -> bool:
        """Whether nothing is read, so that not even the connection's end is noticed."""
        return self._paused

    @property
    def busy(self) -> bool:
        """Whether an exchange is in progress."""
        return self._exchange is not None

    @property
    def idle_s(self) -> float:
        """Seconds since the connection became idle."""
        return self._seconds() - self._idle_since_s

    @property
    def reusable(self) -> bool:
        """Whether another exchange can be sent: the server probably keeps the connection.

        It has also read all earlier requests, behind which another one would wait.
        """
        if self._closed or self.busy or self.idle_s >= self._idle_limit_s:
            return False
        return not (self._answered_early and count_undelivered_bytes(self.transport))

    def send(self, exchange: Exchange) -> None:
        """Send the exchange's request; the connection must be idle."""
        self._exchange = exchange
        self.recipient = exchange.recipient
        self._exchanges += 1
        self._skipped_responses = 0
        if self._answered_early:
            self._answered_early = False
            limit_unacknowledged(self.transport)
        request = exchange.request
        head, body = _encode_request(self._codec, request), request.body
        if len(body) <= PIECE_BYTES:
            self.transport.write(head + body)
        else:
            # The sender alone holds the body, which is dropped with the last piece. The parser of
            # the response needs none of the headers.
            kept = [(name, value) for name, value in request.headers if name.lower() == b"host"]
            sent = replace(request, headers=kept, body=b"", body_claim=None)
            self._exchange = replace(exchange, request=sent)
            self.transport.write(head)
            self._body_sender = BodySender(self.transport, body, request.body_claim)
            self._body_sender.start()
        # The request says how much time is left, of which a process that is held up uses more.
        send_at_once(self.transport)

    def close(self) -> None:
        """Abort the connection; the listener of an open exchange is not called again."""
        self._exchange = None
        self._release_body()
        self._closed = True
        if self.transport is not None:
            self.transport.abortConnection()

    def pause(self) -> None:
        """Stop reading until ``resume`` is called."""
        if not self._closed and not self._paused:
            self._paused = True
            self.transport.pauseProducing()

    def resume(self) -> None:
        """Continue reading."""
        if not self._closed and self._paused:
            self._paused = False
            self.transport.resumeProducing()

    def dataReceived(self, data: bytes) -> None:
        """Parse received bytes; bytes received while no exchange is open close the connection."""
        if self._exchange is None:
            self.close()
            return
        self._codec.receive_data(data)
        self._read_events()

    def connectionLost(self, reason: Failure = connectionDone) -> None:
        """End the open exchange; it can only be complete if the server closed cleanly."""
        self._release_body()
        clean = isinstance(reason.value, ConnectionDone)
        self.was_aborted = not clean and not self._closed
        if self._exchange is not None and clean:
            self._closed = True
            self._codec.receive_data(b"")
            self._read_events()
        self._closed = True
        self._on_closed(self)
        self._fail(ExchangeFailure.LOST)

    def _read_events(self) -> None:
        try:
            while self._exchange is not None and self._read_event(self._codec.next_event()):
                pass
        except h11.RemoteProtocolError:
            closed = self._closed
            self._fail(ExchangeFailure.LOST if closed else ExchangeFailure.MALFORMED)
            self.close()

    def _read_event(self, event: Any) -> bool:
        """Handle one parser event; return whether more may follow."""
        match event:
            case h11.Response():
                self._begin_response(event)
            case h11.Data():
                if not self._dropping_response and self._exchange is not None:
                    self._exchange.listener.receive_body(bytes(event.data))
            case h11.EndOfMessage():
                self._end_response()
            case h11.InformationalResponse():
                self._count_skipped()
            case _:
                return False
        return True

    def _count_skipped(self) -> None:
        """Count a response that is not the final one; close the connection after too many."""
        self._skipped_responses += 1
        if self._skipped_responses > MAX_SKIPPED_RESPONSES:
            self._fail(ExchangeFailure.MALFORMED)
            self.close()

    def _begin_response(self, event: h11.Response) -> None:
        exchange = self._exchange
        if exchange is None:
            return
        head = ResponseHead(
            status=event.status_code,
            headers=list(event.headers),
            framed=_is_framed(exchange.request, event),
            on_kept_connection=self._exchanges > 1,
        )
        self._dropping_response = not exchange.is_answer(head)
        if self._dropping_response:
            self._count_skipped()
            return
        self._update_idle_limit(head)
        if not self._closed and count_undelivered_bytes(self.transport):
            self._answered_early = True
            limit_unacknowledged(self.transport, None)
        exchange.listener.receive_head(head)

    def _end_response(self) -> None:
        exchange = self._exchange
        if exchange is None:
            return
        if self._dropping_response:
            self._drop_left_over_response(exchange)
            return
        self._exchange = None
        self._finish_cycle()
        exchange.listener.end_response()

    def _drop_left_over_response(self, exchange: Exchange) -> None:
        """Drop a left-over response and prepare to parse the response to this request.

        The parser ended with the dropped response and is replaced. Encoding the request again
        sends nothing: it only brings the new parser into the state of awaiting a response.
        """
        self._dropping_response = False
        if self._codec.their_state is not h11.DONE:
            self._fail(ExchangeFailure.LOST)
            self.close()
            return
        trailing_data, _ = self._codec.trailing_data
        self._codec = _create_codec()
        _encode_request(self._codec, exchange.request)
        if trailing_data:
            self._codec.receive_data(trailing_data)

    def _finish_cycle(self) -> None:
        """Make the connection available for another exchange, or close it."""
        codec = self._codec
        trailing_data, _ = codec.trailing_data
        done = codec.our_state is h11.DONE and codec.their_state is h11.DONE
        is_sent = self._body_sender is None or self._body_sender.done
        self._release_body()
        if self._closed or trailing_data or not done or not is_sent:
            self.close()
            return
        codec.start_next_cycle()
        self.resume()  # the end may have been read together with the part at which it was paused
        self._idle_since_s = self._seconds()
        self._on_idle(self)

    def _release_body(self) -> None:
        """Drop what is left of the body; the transport refers to the sender a little longer."""
        sender, self._body_sender = self._body_sender, None
        if sender is not None:
            sender.release()

    def _update_idle_limit(self, head: ResponseHead) -> None:
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
    """Return the encoded head; the body follows as it is, since its length is announced."""
    headers = list(request.headers)
    if request.body or request.method not in (b"GET", b"HEAD", b"DELETE"):
        headers.append((b"Content-Length", b"%d" % len(request.body)))
    head = codec.send(h11.Request(method=request.method, target=request.target, headers=headers))
    if request.body:
        codec.send(h11.Data(data=request.body))
    codec.send(h11.EndOfMessage())
    return bytes(head)


def _is_framed(request: OutgoingRequest, response: h11.Response) -> bool:
    names = {name for name, _ in response.headers}
    if names & {b"content-length", b"transfer-encoding"}:
        return True
    return request.method == b"HEAD" or response.status_code in (204, 304)


def _read_keep_alive(value: bytes | None) -> float | None:
    """Return the seconds N of ``timeout=N`` in a Keep-Alive header."""
    if value is None:
        return None
    for part in value.split(b","):
        name, _, seconds = part.strip().partition(b"=")
        if name.lower() == b"timeout" and seconds.isdigit():
            return float(seconds)
    return None

"""One request to an upstream and its response, with reports of its silence."""

from collections.abc import Callable
from dataclasses import dataclass
from typing import Any, Protocol, cast

from twisted.internet.base import DelayedCall
from twisted.internet.defer import Deferred
from twisted.internet.protocol import Protocol as TwistedProtocol
from twisted.python.failure import Failure
from twisted.web.client import ResponseDone
from twisted.web.http_headers import Headers

from greengagestage.policy import FailureKind
from greengagestage.telemetry import log_current_exception

from ._pool import Address, Connection, ConnectionPool
from ._request import OutboundRequest

END_OF_BODY_TIMEOUT_S = 1.0
"""How long a released exchange may take to end before its connection is closed."""


@dataclass(frozen=True, slots=True, kw_only=True)
class ResponseHead:
    """Status and headers of a response."""

    status: int
    headers: Headers

    def get(self, name: str) -> str | None:
        """Return the last value of a header, or ``None``."""
        values = self.headers.getRawHeaders(name)
        return values[-1] if values else None


@dataclass(frozen=True, slots=True, kw_only=True)
class SilenceLimits:
    """Time without data, in seconds, after which an exchange reports silence.

    Attributes:
        first_byte_s: Until the first byte of the body.
        between_bytes_s: Between later bytes of the body.
    """

    first_byte_s: float
    between_bytes_s: float


class ExchangeListener(Protocol):
    """Receives the events of an exchange until it ends, fails or is closed."""

    def receive_head(self, head: ResponseHead) -> None:
        """Handle the status and headers of the response."""

    def receive_body(self, data: bytes) -> None:
        """Handle the next bytes of the body."""

    def end_body(self) -> None:
        """Handle the end of a body that is complete by its framing."""

    def report_silence(self) -> None:
        """Handle silence for as long as the limit; called again after each further such span."""

    def fail(self, kind: FailureKind) -> None:
        """Handle a failure; no other call follows."""


class _BodyProtocol(TwistedProtocol):
    """Forwards the response body to an exchange."""

    def __init__(self, exchange: "Exchange") -> None:
        self._exchange = exchange

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        self._exchange.handle_body(data)

    def connectionLost(self, reason: Failure | None = None) -> None:  # noqa: N802
        self._exchange.handle_body_end(reason)


class Exchange:
    """Sends a request and reports its response to a listener.

    A connection whose response was not read to the end is closed and never reused.
    """

    def __init__(
        self,
        *,
        reactor: Any,
        pool: ConnectionPool,
        address: Address,
        request: OutboundRequest,
        limits: SilenceLimits,
        listener: ExchangeListener,
        fresh_connection: bool = False,
    ) -> None:
        self._reactor = reactor
        self._pool = pool
        self._address = address
        self._request = request
        self._limits = limits
        self._listener: ExchangeListener | None = listener
        self._fresh_connection = fresh_connection
        self._connecting: Deferred[Connection] | None = None
        self._connection: Connection | None = None
        self._body: _BodyProtocol | None = None
        self._paused = False
        self._response_ended = False
        self._silence_timer: DelayedCall | None = None
        self._last_byte_s = 0.0
        self._silence_limit_s = limits.first_byte_s
        self._awaiting_first_byte = True

    def start(self) -> None:
        """Get a connection and send the request."""
        self._connecting = self._pool.get(self._address, fresh=self._fresh_connection)
        self._connecting.addCallbacks(self._send, self._fail_connecting)

    def pause(self) -> None:
        """Stop reading; silence is not counted while paused."""
        if not self._paused:
            self._paused = True
            if self._body is not None and self._body.transport is not None:
                cast(Any, self._body.transport).pauseProducing()

    def resume(self) -> None:
        """Continue reading and count silence from now on."""
        if self._paused:
            self._paused = False
            self._last_byte_s = self._reactor.seconds()
            if self._body is not None and self._body.transport is not None:
                cast(Any, self._body.transport).resumeProducing()

    def close(self) -> None:
        """Abort the exchange immediately; the listener is not called again."""
        self._listener = None
        self._stop_silence_timer()
        if self._connecting is not None:
            self._connecting.cancel()
        if self._connection is not None and not self._response_ended:
            cast(Any, self._connection.transport).abortConnection()

    def release(self) -> None:
        """Detach the listener, but read the response to its end so the connection can be reused."""
        if self._response_ended:
            return
        self._listener = None
        self._stop_silence_timer()
        self.resume()
        self._silence_timer = self._reactor.callLater(END_OF_BODY_TIMEOUT_S, self.close)

    def _send(self, connection: Connection) -> None:
        self._connecting = None
        self._connection = connection
        self._last_byte_s = self._reactor.seconds()
        self._silence_timer = self._reactor.callLater(self._silence_limit_s, self._check_silence)
        answer = connection.request(cast(Any, self._request))
        answer.addCallbacks(self._handle_head, self._fail_response)

    def _fail_connecting(self, _: Failure) -> None:
        self._connecting = None
        self._fail(FailureKind.NOT_SENT)

    def _fail_response(self, _: Failure) -> None:
        self._response_ended = True
        self._fail(FailureKind.LOST)

    def _handle_head(self, response: Any) -> None:
        head = ResponseHead(status=response.code, headers=response.headers)
        self._notify(lambda listener: listener.receive_head(head))
        self._body = _BodyProtocol(self)
        response.deliverBody(self._body)
        if self._paused and not self._response_ended:
            cast(Any, self._body.transport).pauseProducing()

    def handle_body(self, data: bytes) -> None:
        """Handle bytes of the body; called by the body protocol."""
        self._last_byte_s = self._reactor.seconds()
        if self._awaiting_first_byte:
            self._awaiting_first_byte = False
            self._silence_limit_s = self._limits.between_bytes_s
            if self._silence_timer is not None and self._listener is not None:
                self._silence_timer.reset(self._silence_limit_s)
        self._notify(lambda listener: listener.receive_body(data))

    def handle_body_end(self, reason: Failure | None) -> None:
        """Handle the end of the body, complete or not; called by the body protocol."""
        self._response_ended = True
        self._stop_silence_timer()
        listener, self._listener = self._listener, None
        if listener is None:
            return
        if reason is not None and isinstance(reason.value, ResponseDone):
            listener.end_body()
        else:
            listener.fail(FailureKind.LOST)

    def _notify(self, call: Callable[[ExchangeListener], None]) -> None:
        """Call the listener; an exception in it must not be reported as a lost upstream."""
        if self._listener is None:
            return
        try:
            call(self._listener)
        except Exception:
            log_current_exception("upstream: fault while an answer was read")
            self._fail(FailureKind.ERROR)

    def _check_silence(self) -> None:
        self._silence_timer = None
        silence_s = 0.0 if self._paused else self._reactor.seconds() - self._last_byte_s
        remaining_s = self._silence_limit_s - silence_s
        if remaining_s <= 0:
            self._notify(lambda listener: listener.report_silence())
            remaining_s = self._silence_limit_s
        if self._listener is not None:
            self._silence_timer = self._reactor.callLater(remaining_s, self._check_silence)

    def _fail(self, kind: FailureKind) -> None:
        listener = self._listener
        self.close()
        if listener is not None:
            listener.fail(kind)

    def _stop_silence_timer(self) -> None:
        if self._silence_timer is not None and self._silence_timer.active():
            self._silence_timer.cancel()
        self._silence_timer = None

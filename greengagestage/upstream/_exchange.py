"""One request to an upstream and its response, watched for silence."""

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
from greengagestage.telemetry import log_current_fault

from ._pool import Address, Connection, ConnectionPool
from ._request import OutboundRequest

END_OF_BODY_TIMEOUT_S = 1.0


@dataclass(frozen=True, slots=True, kw_only=True)
class ResponseHead:
    """Status and headers of a response."""

    status: int
    headers: Headers

    def get(self, name: str) -> str | None:
        """Return a header's last value."""
        values = self.headers.getRawHeaders(name)
        return values[-1] if values else None


@dataclass(frozen=True, slots=True, kw_only=True)
class SilenceLimits:
    """Silence allowed before the first byte of the body, and between bytes."""

    first_byte_s: float
    between_bytes_s: float


class ExchangeListener(Protocol):
    """Hears what happens in an exchange, until it ends, fails or is closed."""

    def receive_head(self, head: ResponseHead) -> None:
        """The response's head came."""

    def receive_body(self, data: bytes) -> None:
        """More of the body came."""

    def end_body(self) -> None:
        """The body ended as its framing said."""

    def fail(self, kind: FailureKind) -> None:
        """The exchange failed; nothing more follows."""


class _Body(TwistedProtocol):
    def __init__(self, exchange: "Exchange") -> None:
        self._exchange = exchange

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        self._exchange.handle_body(data)

    def connectionLost(self, reason: Failure | None = None) -> None:  # noqa: N802
        self._exchange.handle_body_end(reason)


class Exchange:
    """Sends a request and reports its response to a listener.

    A connection whose response was not read to its end is closed and never used again.
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
        self._body: _Body | None = None
        self._paused = False
        self._ended = False
        self._watch: DelayedCall | None = None
        self._last_byte_s = 0.0
        self._silence_limit_s = limits.first_byte_s
        self._awaiting_first_byte = True

    def start(self) -> None:
        """Connect and send."""
        self._connecting = self._pool.get(self._address, fresh=self._fresh_connection)
        self._connecting.addCallbacks(self._send, self._fail_connecting)

    def pause(self) -> None:
        """Stop reading; silence is not counted meanwhile."""
        if not self._paused:
            self._paused = True
            if self._body is not None and self._body.transport is not None:
                cast(Any, self._body.transport).pauseProducing()

    def resume(self) -> None:
        """Read on."""
        if self._paused:
            self._paused = False
            self._last_byte_s = self._reactor.seconds()
            if self._body is not None and self._body.transport is not None:
                cast(Any, self._body.transport).resumeProducing()

    def close(self) -> None:
        """Give up the exchange at once; the listener hears nothing more."""
        self._listener = None
        self._stop_watch()
        if self._connecting is not None:
            self._connecting.cancel()
        if self._connection is not None and not self._ended:
            cast(Any, self._connection.transport).abortConnection()

    def release(self) -> None:
        """Stop listening, but let the response end so that its connection can be used again."""
        if self._ended:
            return
        self._listener = None
        self._stop_watch()
        self.resume()
        self._watch = self._reactor.callLater(END_OF_BODY_TIMEOUT_S, self.close)

    def _send(self, connection: Connection) -> None:
        self._connecting = None
        self._connection = connection
        self._last_byte_s = self._reactor.seconds()
        self._watch = self._reactor.callLater(self._silence_limit_s, self._check_silence)
        answer = connection.request(cast(Any, self._request))
        answer.addCallbacks(self._handle_head, self._fail_sent)

    def _fail_connecting(self, _: Failure) -> None:
        self._connecting = None
        self._fail(FailureKind.NOT_SENT)

    def _fail_sent(self, _: Failure) -> None:
        self._ended = True
        self._fail(FailureKind.LOST)

    def _handle_head(self, response: Any) -> None:
        head = ResponseHead(status=response.code, headers=response.headers)
        self._tell(lambda listener: listener.receive_head(head))
        self._body = _Body(self)
        response.deliverBody(self._body)
        if self._paused and not self._ended:
            cast(Any, self._body.transport).pauseProducing()

    def handle_body(self, data: bytes) -> None:
        """Take a piece of the body from the connection."""
        self._last_byte_s = self._reactor.seconds()
        if self._awaiting_first_byte:
            self._awaiting_first_byte = False
            self._silence_limit_s = self._limits.between_bytes_s
            if self._watch is not None and self._listener is not None:
                self._watch.reset(self._silence_limit_s)
        self._tell(lambda listener: listener.receive_body(data))

    def handle_body_end(self, reason: Failure | None) -> None:
        """Take the end of the body from the connection."""
        self._ended = True
        self._stop_watch()
        listener, self._listener = self._listener, None
        if listener is None:
            return
        if reason is not None and isinstance(reason.value, ResponseDone):
            listener.end_body()
        else:
            listener.fail(FailureKind.LOST)

    def _tell(self, call: Callable[[ExchangeListener], None]) -> None:
        """Call the listener; a fault of its own must not look like a lost upstream."""
        if self._listener is None:
            return
        try:
            call(self._listener)
        except Exception:
            log_current_fault("upstream: fault while an answer was read")
            self._fail(FailureKind.ERROR)

    def _check_silence(self) -> None:
        self._watch = None
        silence_s = 0.0 if self._paused else self._reactor.seconds() - self._last_byte_s
        remaining_s = self._silence_limit_s - silence_s
        if remaining_s > 0:
            self._watch = self._reactor.callLater(remaining_s, self._check_silence)
            return
        self._fail(FailureKind.SILENT)

    def _fail(self, kind: FailureKind) -> None:
        listener = self._listener
        self.close()
        if listener is not None:
            listener.fail(kind)

    def _stop_watch(self) -> None:
        if self._watch is not None and self._watch.active():
            self._watch.cancel()
        self._watch = None

# mypy: disable-error-code="no-untyped-call"
"""The server side of the callers' connections: bounded bodies and typed refusals."""

from collections.abc import Callable
from dataclasses import dataclass
from io import BytesIO
from typing import Any, cast

from twisted.internet.base import DelayedCall
from twisted.internet.protocol import connectionDone
from twisted.python.failure import Failure
from twisted.web import http

from greengagestage.http1 import ObservedConnection
from greengagestage.ids import RequestId
from greengagestage.refusals import ERROR_CONTENT_TYPE, Refusal, encode_refusal
from greengagestage.results import ResultCode

_LENGTH_HEADERS = (b"Content-Length", b"Transfer-Encoding")
LINGER_S = 1.0
"""How long the rest of an oversize body is read and dropped, so that the answer arrives."""


@dataclass(frozen=True, slots=True, kw_only=True)
class ServerLimits:
    """Bounds of the callers' connections."""

    connections: int = 4_096
    body_bytes: int = 4_194_304
    idle_timeout_s: float = 60.0


class CallerRequest(ObservedConnection, http.Request):
    """One request of a caller and the answer to it."""

    _too_large = False

    @property
    def limits(self) -> ServerLimits:
        """Bounds of the server that took the connection."""
        limits: ServerLimits = self.channel.factory.limits
        return limits

    def parseCookies(self) -> None:
        """Skip cookies: they mean nothing here."""

    def gotLength(self, length: int | None) -> None:
        """Refuse a body that announces too large a length; keep others in memory."""
        self._received = self.content = BytesIO()
        if length is not None and length > self.limits.body_bytes:
            self._refuse_body()

    def handleContentChunk(self, data: bytes) -> None:
        """Take a piece of the body, up to the limit."""
        if self._too_large:
            return
        self._received.write(data)
        if self._received.tell() > self.limits.body_bytes:
            self._refuse_body()

    def requestReceived(self, command: bytes, path: bytes, version: bytes) -> None:
        """Hand the whole request to the site."""
        if self._too_large:
            self.channel.loseConnection()
            return
        self.method, self.uri, self.clientproto = command, path, version
        self.path = path.partition(b"?")[0]
        self.channel.factory.on_request(self)

    def connectionLost(self, reason: Failure) -> None:
        """Tell the listener that the caller left."""
        super().connectionLost(reason)
        self.notify_disconnected()

    def read_body(self) -> bytes:
        """Return the whole body."""
        return self._received.getvalue()

    def begin(self, status: int, headers: list[tuple[str, str]]) -> None:
        """Set the head of the answer; it is sent with the first bytes."""
        self.setResponseCode(status)
        for name, value in headers:
            self.responseHeaders.addRawHeader(name, value)
        if self.channel is not None and self.channel.factory.closing:
            self.close_after_answer()

    def begin_stream(self, status: int, headers: list[tuple[str, str]]) -> None:
        """Like ``begin``, and tell the listener when the caller reads too slowly."""
        self.begin(status, headers)
        if not self._disconnected:
            self.registerProducer(self, True)

    def close_after_answer(self) -> None:
        """Close the connection when the answer has been sent."""
        if self.channel is not None:
            self.channel.persistent = False
        if not self.startedWriting:
            self.responseHeaders.setRawHeaders("Connection", ["close"])

    def send(self, data: bytes) -> None:
        """Send a piece of the answer; nothing happens once the caller has left."""
        if self.finished or self._disconnected:
            return
        if self.chunked and data:
            self.channel.write(b"%x\r\n%b\r\n" % (len(data), data))
        else:
            self.write(data)

    def end(self) -> None:
        """End the answer properly."""
        self.listener = None
        if self._disconnected or self.finished:
            return
        if self.producer is not None:
            self.unregisterProducer()
        self.finish()

    def abort(self) -> None:
        """Cut the connection, so that the answer cannot look complete."""
        self.listener = None
        if not self._disconnected and self.channel is not None:
            cast(Any, self.channel.transport).abortConnection()

    def answer(
        self, status: int, content_type: str, body: bytes, headers: list[tuple[str, str]]
    ) -> None:
        """Send a whole answer."""
        lengths = [("Content-Type", content_type), ("Content-Length", str(len(body)))]
        self.begin(status, [*lengths, *headers])
        self.send(body)
        self.end()

    def refuse(self, refusal: Refusal, headers: list[tuple[str, str]]) -> None:
        """Send a refusal as a whole answer."""
        if refusal.retry_after_header is not None:
            headers = [*headers, ("Retry-After", refusal.retry_after_header)]
        self.answer(refusal.http_status, ERROR_CONTENT_TYPE, encode_refusal(refusal), headers)

    def _refuse_body(self) -> None:
        """Answer before the body has ended, and drop the rest of it for a while."""
        self._too_large = True
        self.clientproto = b"HTTP/1.1"
        self.requestHeaders.removeHeader(b"Expect")
        body = encode_refusal(Refusal(code=ResultCode.BODY_TOO_LARGE))
        self.setResponseCode(413)
        for name, value in (
            ("Content-Type", ERROR_CONTENT_TYPE),
            ("Content-Length", str(len(body))),
            ("Connection", "close"),
            ("X-Request-Id", self.channel.factory.on_refused(ResultCode.BODY_TOO_LARGE)),
        ):
            self.responseHeaders.setRawHeaders(name, [value])
        self.write(body)
        cast(CallerChannel, self.channel).linger(LINGER_S)


class CallerChannel(http.HTTPChannel):
    """A caller's connection. Answers malformed requests in the form of all refusals."""

    requestFactory = CallerRequest  # noqa: N815
    factory: "CallerServer"
    _lingering: DelayedCall | None = None

    def connectionMade(self) -> None:
        """Count the connection."""
        super().connectionMade()
        self.factory.add_channel(self)

    def connectionLost(self, reason: Failure = connectionDone) -> None:
        """Forget the connection."""
        self.factory.discard_channel(self)
        if self._lingering is not None and self._lingering.active():
            self._lingering.cancel()
        super().connectionLost(reason)

    @property
    def receiving(self) -> bool:
        """A request has begun to arrive and is not whole yet."""
        return bool(self.requests) and not self._handlingRequest

    @property
    def idle(self) -> bool:
        """No request is open."""
        return not self.requests

    def linger(self, delay_s: float) -> None:
        """Close the connection after a while."""
        self.persistent = False
        self._lingering = cast(Any, self.factory.reactor).callLater(delay_s, self.forceAbortClient)

    def _maybeChooseTransferDecoder(self, header: bytes, data: bytes) -> bool:
        if header in _LENGTH_HEADERS and self._transferDecoder is not None:
            self.length = None
            self._refuse_head(Refusal(code=ResultCode.DUPLICATE_HEADER, detail="message length"))
            return False
        return bool(super()._maybeChooseTransferDecoder(header, data))

    def _respondToBadRequestAndDisconnect(self) -> None:
        self._refuse_head(Refusal(code=ResultCode.BAD_HEADER, detail="malformed request"))

    def _refuse_head(self, refusal: Refusal) -> None:
        body = encode_refusal(refusal)
        request_id = self.factory.on_refused(refusal.code)
        head = (
            f"HTTP/1.1 400 Bad Request\r\nContent-Type: {ERROR_CONTENT_TYPE}\r\n"
            f"Content-Length: {len(body)}\r\nX-Request-Id: {request_id}\r\n"
            "Connection: close\r\n\r\n"
        )
        cast(Any, self.transport).write(head.encode() + body)
        self.loseConnection()


class CallerServer(http.HTTPFactory):
    """Accepts callers' connections and hands their requests on."""

    protocol = cast(Any, CallerChannel)
    noisy = False

    def __init__(
        self,
        *,
        reactor: Any,
        limits: ServerLimits,
        on_request: Callable[[CallerRequest], None],
        on_refused: Callable[[ResultCode], RequestId],
    ) -> None:
        super().__init__(timeout=limits.idle_timeout_s, reactor=reactor)
        self.limits = limits
        self.on_request = on_request
        self.on_refused = on_refused
        self.closing = False
        self.channels: set[CallerChannel] = set()
        self._listener: Any = None

    def listen(self, host: str, port: int) -> Any:
        """Listen for callers and return the listening port."""
        self._listener = cast(Any, self.reactor).listenTCP(port, self, interface=host)
        return self._listener

    def add_channel(self, channel: CallerChannel) -> None:
        """Count a connection; at the limit, no more are accepted."""
        self.channels.add(channel)
        if len(self.channels) >= self.limits.connections and self._listener is not None:
            self._listener.stopReading()

    def discard_channel(self, channel: CallerChannel) -> None:
        """Forget a connection that has ended, and accept others again."""
        self.channels.discard(channel)
        if self._listener is not None and self._listener.connected:
            self._listener.startReading()

    @property
    def receiving(self) -> bool:
        """Some request has begun to arrive and is not whole yet."""
        return any(channel.receiving for channel in self.channels)

    def close_idle(self) -> None:
        """Close the connections on which no request is open."""
        for channel in list(self.channels):
            if channel.idle:
                channel.loseConnection()

    def log(self, request: http.Request) -> None:
        """Write no access log; requests are logged as actions."""

    def startFactory(self) -> None:
        """Open no access log."""

    def stopFactory(self) -> None:
        """Close no access log."""

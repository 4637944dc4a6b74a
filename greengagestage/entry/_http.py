# mypy: disable-error-code="no-untyped-call"
"""HTTP server for callers, with limits on bodies and connections and JSON error responses."""

from collections.abc import Callable
from dataclasses import dataclass
from io import BytesIO
from typing import Any, cast

from twisted.internet.base import DelayedCall
from twisted.internet.protocol import connectionDone
from twisted.python.failure import Failure
from twisted.web import http

from greengagestage.http1 import (
    MemoryAccount,
    ObservedConnection,
    close_listener,
    count_unsent_bytes,
    end_sending,
    has_unread_bytes,
    limit_buffers,
)
from greengagestage.ids import RequestId
from greengagestage.refusals import ERROR_CONTENT_TYPE, Refusal, encode_refusal
from greengagestage.results import ResultCode

_LENGTH_HEADERS = (b"Content-Length", b"Transfer-Encoding")
MEMORY_RETRY_AFTER_S = 0.1
"""``Retry-After`` while the process holds too much; the slowest callers are closed by then."""

LINGER_S = 1.0
"""How long the rest of an oversize body is read and discarded before the connection is closed.

Closing at once could reset the connection before the caller has read the answer.
"""


@dataclass(frozen=True, slots=True, kw_only=True)
class ServerLimits:
    """Limits of the HTTP server for callers."""

    connections: int = 4_096
    body_bytes: int = 4_194_304
    idle_timeout_s: float = 60.0


class CallerRequest(ObservedConnection, http.Request):
    """One request of a caller and its answer."""

    _refused = False

    def __init__(self, *arguments: Any, **options: Any) -> None:
        super().__init__(*arguments, **options)
        self._received = BytesIO()

    @property
    def limits(self) -> ServerLimits:
        """Limits of the server that accepted the connection."""
        limits: ServerLimits = self.channel.factory.limits
        return limits

    def parseCookies(self) -> None:
        """Do not parse cookies; the router does not use them."""

    def gotLength(self, length: int | None) -> None:
        """Refuse a body whose declared length is too large; buffer others in memory."""
        self._received = self.content = BytesIO()
        if length is not None and length > self.limits.body_bytes:
            self._refuse_body(Refusal(code=ResultCode.BODY_TOO_LARGE))

    def handleContentChunk(self, data: bytes) -> None:
        """Buffer a piece of the body; refuse the request if there is no room for it."""
        if self._refused:
            return
        self._received.write(data)
        cast(CallerChannel, self.channel).record(len(data))
        if self._received.tell() > self.limits.body_bytes:
            self._refuse_body(Refusal(code=ResultCode.BODY_TOO_LARGE))
        elif self.channel.factory.memory.is_full:
            self.refuse_for_memory()

    def requestReceived(self, command: bytes, path: bytes, version: bytes) -> None:
        """Pass the complete request to the server's ``on_request``."""
        if self._refused:
            self.channel.loseConnection()
            return
        self.method, self.uri, self.clientproto = command, path, version
        self.path = path.partition(b"?")[0]
        self.channel.factory.on_request(self)

    def connectionLost(self, reason: Failure) -> None:
        """Notify the listener that the caller disconnected."""
        super().connectionLost(reason)
        self.notify_disconnected()

    @property
    def body_bytes(self) -> int:
        """Number of bytes of the body that are buffered."""
        return self._received.tell()

    def hold(self, count: int) -> bool:
        """Count the bytes of the answer that are buffered until it is complete.

        Returns whether there is room for them.
        """
        channel = cast("CallerChannel | None", self.channel)
        return channel is not None and channel.hold(count)

    def refuse_for_memory(self) -> None:
        """Refuse a request that is being received, since the process holds too much."""
        self._refuse_body(Refusal(code=ResultCode.MEMORY_FULL, retry_after_s=MEMORY_RETRY_AFTER_S))

    def read_body(self) -> bytes:
        """Return the complete body."""
        return self._received.getvalue()

    def begin(self, status: int, headers: list[tuple[str, str]]) -> None:
        """Set status and headers; they are sent with the first bytes of the body."""
        self.setResponseCode(status)
        for name, value in headers:
            self.responseHeaders.addRawHeader(name, value)
        channel = cast("CallerChannel | None", self.channel)
        if channel is not None and channel.factory.closing and not channel.has_waiting_bytes:
            self.close_after_answer()

    def begin_stream(self, status: int, headers: list[tuple[str, str]]) -> None:
        """Like ``begin``, and pause the listener while the caller reads too slowly."""
        self.begin(status, headers)
        if not self._disconnected:
            self.registerProducer(self, True)

    def close_after_answer(self) -> None:
        """Close the connection after the answer."""
        if self.channel is not None:
            self.channel.persistent = False
        if not self.startedWriting:
            self.responseHeaders.setRawHeaders("Connection", ["close"])

    def send(self, data: bytes) -> None:
        """Send a piece of the answer; does nothing once the caller has disconnected."""
        if self.finished or self._disconnected:
            return
        if self.chunked and data:
            self.channel.write(b"%x\r\n%b\r\n" % (len(data), data))
        else:
            self.write(data)

    def end(self) -> None:
        """Complete the answer."""
        self.listener = None
        if self._disconnected or self.finished:
            return
        if self.producer is not None:
            self.unregisterProducer()
        self.finish()

    def abort(self) -> None:
        """Reset the connection, so that a partial answer cannot look complete."""
        self.listener = None
        if not self._disconnected and self.channel is not None:
            cast(Any, self.channel.transport).abortConnection()

    def answer(
        self, status: int, content_type: str, body: bytes, headers: list[tuple[str, str]]
    ) -> None:
        """Send a complete answer."""
        lengths = [("Content-Type", content_type), ("Content-Length", str(len(body)))]
        self.begin(status, [*lengths, *headers])
        self.send(body)
        self.end()

    def refuse(self, refusal: Refusal, headers: list[tuple[str, str]]) -> None:
        """Send a refusal as a complete JSON answer."""
        if refusal.retry_after_header is not None:
            headers = [*headers, ("Retry-After", refusal.retry_after_header)]
        self.answer(refusal.http_status, ERROR_CONTENT_TYPE, encode_refusal(refusal), headers)

    def _refuse_body(self, refusal: Refusal) -> None:
        """Answer before the body has ended, and discard the rest of it for ``LINGER_S``."""
        self._refused = True
        self._received = self.content = BytesIO()
        self.clientproto = b"HTTP/1.1"
        self.requestHeaders.removeHeader(b"Expect")
        body = encode_refusal(refusal)
        self.setResponseCode(refusal.http_status)
        if refusal.retry_after_header is not None:
            self.responseHeaders.setRawHeaders("Retry-After", [refusal.retry_after_header])
        for name, value in (
            ("Content-Type", ERROR_CONTENT_TYPE),
            ("Content-Length", str(len(body))),
            ("Connection", "close"),
            ("X-Request-Id", self.channel.factory.on_refused(refusal.code)),
        ):
            self.responseHeaders.setRawHeaders(name, [value])
        self.write(body)
        cast(CallerChannel, self.channel).linger(LINGER_S)


class CallerChannel(http.HTTPChannel):
    """A caller's connection. Answers malformed requests with the JSON body of other refusals."""

    requestFactory = CallerRequest  # noqa: N815
    factory: "CallerServer"
    _linger_timer: DelayedCall | None = None

    def __init__(self) -> None:
        super().__init__()
        self._received_bytes = 0
        self._written_bytes = 0
        self._buffered_answer_bytes = 0

    def connectionMade(self) -> None:
        """Register the connection with the server."""
        super().connectionMade()
        limit_buffers(self.transport)
        self.factory.add_channel(self)

    def connectionLost(self, reason: Failure = connectionDone) -> None:
        """Unregister the connection."""
        self.factory.discard_channel(self)
        self.factory.memory.discard(self)
        if self._linger_timer is not None and self._linger_timer.active():
            self._linger_timer.cancel()
        super().connectionLost(reason)

    def timeoutConnection(self) -> None:
        """Close the connection, unless bytes have arrived that are not read yet.

        Bytes are left unread on purpose while the caller does not take earlier answers.
        """
        if has_unread_bytes(self.transport) and not self.paused:
            self.setTimeout(self.timeOut)
        else:
            super().timeoutConnection()

    def dataReceived(self, data: bytes) -> None:
        """Parse received bytes; what follows an open request is buffered."""
        self._received_bytes += len(data)
        super().dataReceived(data)

    def write(self, data: bytes) -> None:
        """Write a part of an answer."""
        self._written_bytes += len(data)
        self.record(len(data))
        super().write(data)

    def writeSequence(self, iovec: list[bytes]) -> None:
        """Write several parts of an answer."""
        count = sum(map(len, iovec))
        self._written_bytes += count
        self.record(count)
        super().writeSequence(iovec)

    def requestDone(self, request: http.Request) -> None:
        """Begin the next request once what is written has been sent."""
        self.hold(0)
        if self._waitingForTransport and self.persistent:
            self.paused = True
            cast(Any, self._networkProducer).pauseProducing()
        super().requestDone(request)

    def resumeProducing(self) -> None:
        """Resume the open request, or if there is none, begin the next one."""
        super().resumeProducing()
        if self.paused:
            self.paused = False
            self.dataReceived(b"")

    @property
    def held_bytes(self) -> int:
        """Number of bytes that the process holds for the caller."""
        bodies: int = sum(request.body_bytes for request in self.requests)
        sent_ahead = len(self._buffer) + sum(map(len, self._dataBuffer))
        unsent: int = count_unsent_bytes(self.transport)
        return bodies + sent_ahead + self._buffered_answer_bytes + unsent

    @property
    def awaits_peer(self) -> bool:
        """Whether the caller has not sent its request, or not taken what is written."""
        return self.receiving or count_unsent_bytes(self.transport) > 0

    @property
    def moved_bytes(self) -> int:
        """Number of bytes that the caller has sent, or taken into the kernel's send queue."""
        return self._received_bytes + self._written_bytes - count_unsent_bytes(self.transport)

    def record(self, count: int) -> None:
        """Record bytes that the process holds for the caller from now on."""
        self.factory.memory.record(self, count)

    def hold(self, count: int) -> bool:
        """Count the bytes of the answer that are buffered; return whether there is room."""
        self.record(count - self._buffered_answer_bytes)
        self._buffered_answer_bytes = count
        return not self.factory.memory.is_scarce

    def shed(self) -> None:
        """Refuse a request that is being received, else abort the connection."""
        if self.receiving and not self.requests[-1].startedWriting:
            self.requests[-1].refuse_for_memory()
        else:
            cast(Any, self.transport).abortConnection()

    @property
    def receiving(self) -> bool:
        """Whether a request has arrived in part."""
        return bool(self.requests) and not self._handlingRequest

    @property
    def has_waiting_bytes(self) -> bool:
        """Whether bytes have arrived behind the open request, read or not, and are answered."""
        return any(self._dataBuffer) or has_unread_bytes(self.transport)

    @property
    def idle(self) -> bool:
        """Whether no request is open, or waits for earlier answers."""
        return not self.requests and not self.paused

    def linger(self, delay_s: float) -> None:
        """Close the connection after a delay, even if the caller is still sending."""
        self.persistent = False
        self._linger_timer = cast(Any, self.factory.reactor).callLater(
            delay_s, self.forceAbortClient
        )

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
    """Accepts callers' connections and passes complete requests to ``on_request``.

    Attributes:
        on_refused: Records a refusal of an incomplete or malformed request; returns its id.
        memory: Counts what is held for callers; by default nothing is counted.
        closing: Whether to close each connection after its current answer.
        channels: The open connections.
    """

    protocol = cast(Any, CallerChannel)
    noisy = False

    def __init__(
        self,
        *,
        reactor: Any,
        limits: ServerLimits,
        on_request: Callable[[CallerRequest], None],
        on_refused: Callable[[ResultCode], RequestId],
        memory: MemoryAccount | None = None,
    ) -> None:
        super().__init__(timeout=limits.idle_timeout_s, reactor=reactor)
        self.limits = limits
        self.memory = memory or MemoryAccount()
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
        """Register a connection; stop accepting others once the limit is reached."""
        self.channels.add(channel)
        if len(self.channels) >= self.limits.connections and self._listener is not None:
            self._listener.stopReading()

    def discard_channel(self, channel: CallerChannel) -> None:
        """Unregister a closed connection and accept others again."""
        self.channels.discard(channel)
        if self._listener is not None and self._listener.connected:
            self._listener.startReading()

    def stop_accepting(self) -> None:
        """Accept the connections that callers have opened, then no more."""
        if self._listener is not None:
            close_listener(self._listener)

    @property
    def receiving(self) -> bool:
        """Whether any request has arrived in part."""
        return any(channel.receiving for channel in self.channels)

    def close_idle(self) -> None:
        """Close the connections that have no open request and no bytes that are not read yet."""
        for channel in list(self.channels):
            if channel.idle and not has_unread_bytes(channel.transport):
                end_sending(channel.transport)
                channel.loseConnection()

    def log(self, request: http.Request) -> None:
        """Write no access log; requests are logged as Eliot actions."""

    def startFactory(self) -> None:
        """Open no access log."""

    def stopFactory(self) -> None:
        """Close no access log."""

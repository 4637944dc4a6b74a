"""Stand-in upstreams: engines that stream events and plain services, with faults on demand."""

import json
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field
from enum import Enum
from functools import partial
from random import Random
from typing import Any
from weakref import WeakKeyDictionary

from greengagestage.http1 import IncomingRequest, LimitExceeded, ServerFactory

from ._crash_checks import DEADLY_PART, CrashCause
from ._ledger import Arrival

CLOSE = b"Connection: close\r\n\r\n"
SLOTS = 8
QUEUE = 2
CRASH_DELAY_S = 0.05
NOISE_PAUSE_S = 0.005
INSIDE_SHARE = 0.5
FINISHED_SHARE = 0.5
REPEAT_DELAY_S = 0.003
"""Shorter than any answer takes, so that a repeated answer comes where the next one is expected."""


class AnswerStyle(Enum):
    """How an upstream gives a plain answer, as the request's body asks for.

    ``UNFRAMED`` ends with the connection, ``CUT`` does so in its middle by a reset, ``SHORT`` ends
    before its length, ``NOISE`` is no answer, and ``REPEATED`` is followed by the same again.
    ``ENDLESS_HEAD``, ``ENDLESS_INTERIM`` and ``ENDLESS_BODY`` are no answers, and go on until the
    host closes. Instead of ``CRASH``, the upstream crashes.
    """

    FRAMED = "framed"
    FAILED = "failed"
    UNFRAMED = "unframed"
    CUT = "cut"
    SHORT = "short"
    NOISE = "noise"
    REPEATED = "repeated"
    ENDLESS_HEAD = "endless_head"
    ENDLESS_INTERIM = "endless_interim"
    ENDLESS_BODY = "endless_body"
    CRASH = "crash"


ENDLESS_STYLES = (
    AnswerStyle.ENDLESS_HEAD,
    AnswerStyle.ENDLESS_INTERIM,
    AnswerStyle.ENDLESS_BODY,
)
BROKEN_STYLES = (AnswerStyle.CUT, AnswerStyle.SHORT, AnswerStyle.NOISE, *ENDLESS_STYLES)
USUAL_STYLES = [style for style in AnswerStyle if style not in (*ENDLESS_STYLES, AnswerStyle.CRASH)]


@dataclass(frozen=True, slots=True, kw_only=True)
class UpstreamIdentity:
    """An upstream process: its id, its service and the version of its software."""

    instance: str
    service: str
    version: str
    domain: str


class UpstreamObserver:
    """Receives what happens at upstreams."""

    def record_arrival(self, arrival: Arrival) -> None:
        """Handle a request before the upstream decides about it."""

    def record_pause(self, arrival: Arrival, pause_s: float) -> None:
        """Handle a refusal that names the time for which the upstream wants no request."""

    def record_run(self, arrival: Arrival) -> None:
        """Handle a request that the upstream begins to work on."""


class _Work:
    """One request that an upstream works on; it stops when its connection closes."""

    def __init__(self, upstream: "Upstream", arrival: Arrival, responder: Any) -> None:
        self._upstream = upstream
        self._arrival = arrival
        self._responder = responder
        self._open = True
        body = json.loads(arrival.request.body or b"{}")
        self._work = body.get("work", "")
        self._events = int(body.get("events", 0))
        ids = body.get("ids") or range(1, self._events + 1)
        self._last_event = int(arrival.request.get(b"last-event-id") or b"0")
        self._ids = deque(number for number in ids if number > self._last_event)
        self._pace_s = body.get("pace_ms", 20) / 1e3
        self._style = AnswerStyle(body.get("style", "framed"))
        parts = (arrival.request.get(b"greengagestage-prompt-prefix") or b"").decode("latin-1")
        self._deadly = f"{DEADLY_PART}:" in parts
        self._unframed = bool(body.get("unframed"))
        responder.listener = self

    def start(self) -> None:
        """Schedule the answer or the first event."""
        self._upstream.work.add(self)
        if not self._events:
            self._upstream.call_awake(self._pace_s, self._answer)
            return
        self._upstream.call_awake(0.03, self._begin)

    def handle_disconnect(self) -> None:
        """Stop: the host has closed the connection."""
        self._finish()

    def pause(self) -> None:
        """Ignore flow control: answers are small."""

    def resume(self) -> None:
        """Ignore flow control: answers are small."""

    def abort(self) -> None:
        """Break off in the middle of an event.

        A stream without framing then ends like a complete one, but for the event, and so does one
        with framing at times.
        """
        if not self._open:
            return
        self._arrival.broke_off = True
        in_stream = bool(self._events and self._arrival.status)
        if in_stream:
            self._write_part()
        if in_stream and self._unframed:
            close_in_order(self._responder.transport)
        elif in_stream and self._upstream.random.random() < FINISHED_SHARE:
            self._responder.finish()
        else:
            self._responder.abort()
        self._finish()

    def stop(self) -> None:
        """Stop as its process ends: between two events, inside one, or inside a plain answer.

        The plain answer has no framing.
        """
        self._arrival.broke_off = True
        has_begun = bool(self._arrival.status)
        is_inside = self._upstream.random.random() < INSIDE_SHARE
        if is_inside and self._events and has_begun:
            self._write_part()
        elif is_inside and not (self._events or has_begun or self._style is AnswerStyle.CRASH):
            self._responder.transport.write(self._begin_plain() + CLOSE + self._arrival.body[:9])
        self._finish()

    def _begin_plain(self) -> bytes:
        """Produce a plain answer, and return its head without framing and the empty line."""
        arrival = self._arrival
        arrival.status = 200
        arrival.body = f"{self._work} by {arrival.signature}".encode()
        return build_head(self._upstream.build_headers(arrival))

    def _answer(self) -> None:
        if not self._open:
            return
        arrival = self._arrival
        if self._style is AnswerStyle.CRASH:
            self._upstream.on_crash(CrashCause.REQUEST)
            return
        head = self._begin_plain()
        arrival.status = 500 if self._style is AnswerStyle.FAILED else 200
        arrival.broke_off = self._style in BROKEN_STYLES
        length = b"Content-Length: %d\r\n" % len(arrival.body)
        transport = self._responder.transport
        match self._style:
            case AnswerStyle.UNFRAMED:
                transport.write(head + CLOSE + arrival.body)
                transport.loseConnection()
            case AnswerStyle.CUT:
                transport.write(head + CLOSE + arrival.body[:9])
                self._upstream.reactor.callLater(0.01, transport.abortConnection)
            case AnswerStyle.SHORT:
                transport.write(head + length + b"\r\n" + arrival.body[:9])
                transport.loseConnection()
            case AnswerStyle.ENDLESS_HEAD:
                transport.write(b"HTTP/1.1 200 OK\r\n")
                self._send_noise(b"x-noise: abcdef\r\n" * 10)
                return
            case AnswerStyle.ENDLESS_INTERIM:
                self._send_noise(b"HTTP/1.1 103 Early Hints\r\n\r\n" * 200)
                return
            case AnswerStyle.ENDLESS_BODY:
                transport.write(b"HTTP/1.1 200 OK\r\n\r\n")
                self._send_noise(b"x" * 1_000)
                return
            case AnswerStyle.NOISE:
                transport.write(b"\x00\x01 no answer\r\n\r\n")
            case _:
                headers = self._upstream.build_headers(arrival)
                self._responder.answer(arrival.status, headers, arrival.body)
        if self._style is AnswerStyle.REPEATED:
            again = head + length + b"\r\n" + arrival.body
            self._upstream.reactor.callLater(REPEAT_DELAY_S, transport.write, again)
        self._finish()

    def _begin(self) -> None:
        if not self._open:
            return
        self._arrival.status = 200
        headers = self._upstream.build_headers(self._arrival)
        headers.append((b"Content-Type", b"text/event-stream"))
        if self._unframed:
            self._write(build_head(headers) + CLOSE)
        else:
            self._responder.begin(200, headers)
        if self._deadly:
            crash = partial(self._upstream.on_crash, CrashCause.PART)
            self._upstream.call_awake(CRASH_DELAY_S, crash)
        else:
            self._send_event()

    def _send_event(self) -> None:
        if not self._open:
            return
        if not self._ids:
            if self._unframed:
                close_in_order(self._responder.transport)
            else:
                self._responder.finish()
            self._finish()
            return
        self._last_event = self._ids.popleft()
        data = f"{self._work}/{self._last_event}/{self._arrival.version}"
        self._write(f"id: {self._last_event}\ndata: {data}\n\n".encode())
        self._upstream.call_awake(self._pace_s, self._send_event)

    def _write_part(self) -> None:
        """Send a part of the next event."""
        self._write(b"id: %d\nda" % (self._ids[0] if self._ids else self._last_event + 1))

    def _write(self, data: bytes) -> None:
        if self._unframed:
            self._responder.transport.write(data)
        else:
            self._responder.write(data)

    def _send_noise(self, piece: bytes) -> None:
        """Send bytes that are no answer until the host closes the connection."""
        if self._open:
            self._responder.transport.write(piece)
            self._upstream.reactor.callLater(NOISE_PAUSE_S, self._send_noise, piece)

    def _finish(self) -> None:
        self._open = False
        self._responder.listener = None
        self._arrival.finished_s = self._upstream.reactor.seconds()
        self._upstream.work.discard(self)


@dataclass(slots=True, kw_only=True)
class Upstream:
    """One incarnation of an upstream on a port of its own.

    Attributes:
        silent_until_s: Answers and events are held back until then.
        refuses_until_s: Requests are refused as if it were full until then.
        names_pause: Whether these refusals say for how long.
        repeats_refusals: Returns whether a refusal is sent once more where its connection's next
            answer is expected.
        limit_per_s: The rate of requests that its answers name, if any.
        on_repeat: Called when a refusal has been sent once more.
        on_crash: Ends this upstream as a crash does; called for requests that cause one.
        random: Draws how answers are broken off. Its own source leaves the other draws of a seed
            as they were.
    """

    identity: UpstreamIdentity
    reactor: Any
    observer: UpstreamObserver
    on_repeat: Callable[[], None] = lambda: None
    on_crash: Callable[[CrashCause], None] = lambda cause: None
    random: Random = field(default_factory=lambda: Random(1))
    listening_port: int = 0
    silent_until_s: float = 0.0
    refuses_until_s: float = 0.0
    names_pause: bool = False
    leaving: bool = False
    repeats_refusals: Callable[[], bool] = lambda: False
    limit_per_s: float | None = None
    work: set[_Work] = field(default_factory=set)
    _copies: "WeakKeyDictionary[Any, bytes]" = field(default_factory=WeakKeyDictionary)
    _factory: Any = None
    _port: Any = None
    _runs: int = 0

    def open(self, address: str) -> tuple[str, int]:
        """Listen, and return the address; a new incarnation may listen where one has ended."""
        self._factory = ServerFactory(
            reactor=self.reactor, on_request=self.handle, on_refused=self._explain
        )
        self._port = self.reactor.listenTCP(self.listening_port, self._factory, interface=address)
        return address, int(self._port.getHost().port)

    def close(self, *, in_order: bool = False) -> None:
        """Stop listening and end all connections, as a process that ends.

        Args:
            in_order: The connections are closed, as the kernel does it where nothing is unread, in
                place of reset.
        """
        if self._port is not None:
            self._port.stopListening()
            self._port = None
        if not in_order:
            self.reset()
            return
        for work in list(self.work):
            work.stop()
        for connection in list(self._factory.connections):
            close_in_order(connection.transport)

    def reset(self) -> None:
        """Abort all connections."""
        for work in list(self.work):
            work.abort()
        for connection in list(self._factory.connections):
            connection.abort()

    def drop_idle(self) -> None:
        """Close the connections without a request."""
        self._factory.close_idle()

    def break_off(self) -> None:
        """Break off the answers in progress in the middle of an event."""
        for work in list(self.work):
            work.abort()

    def leave(self) -> None:
        """Close each connection after its next answer from now on."""
        self.leaving = True
        self._factory.closing = True

    def call_awake(self, delay_s: float, call: Callable[[], None]) -> None:
        """Call after a delay, and not before the upstream's silence ends."""

        def call_or_wait() -> None:
            wait_s = self.silent_until_s - self.reactor.seconds()
            if wait_s > 0:
                self.reactor.callLater(wait_s + 0.001, call_or_wait)
            else:
                call()

        self.reactor.callLater(delay_s, call_or_wait)

    def handle(self, request: IncomingRequest, responder: Any) -> None:
        """Refuse a request, or begin to work on it."""
        identity = self.identity
        arrival = Arrival(
            request=request,
            attempt=(request.get(b"greengagestage-attempt-id") or b"").decode("latin-1"),
            upstream=identity.instance,
            service=identity.service,
            version=identity.version,
            arrived_s=self.reactor.seconds(),
        )
        copy = self._copies.pop(responder.transport, None)
        if copy is not None:
            responder.transport.write(copy)
            self.on_repeat()
        expected = request.get(b"greengagestage-expect-instance")
        if expected is not None and expected != identity.instance.encode():
            self._refuse(responder, arrival, 421, [], b"")
            return
        self.observer.record_arrival(arrival)
        full = len(self.work) >= SLOTS + QUEUE
        if full or self.reactor.seconds() < self.refuses_until_s:
            arrival.status = 503
            headers = self._build_limit_header()
            if not full and self.names_pause:
                pause_s = self.refuses_until_s - self.reactor.seconds()
                headers.append((b"Retry-After", f"{pause_s:.2f}".encode()))
                self.observer.record_pause(arrival, pause_s)
            self._refuse(responder, arrival, 503, headers, b"full")
            return
        self._runs += 1
        arrival.ran = True
        arrival.signature = f"{identity.instance}.{arrival.attempt}.{self._runs}"
        self.observer.record_run(arrival)
        _Work(self, arrival, responder).start()

    def _refuse(
        self,
        responder: Any,
        arrival: Arrival,
        status: int,
        headers: list[tuple[bytes, bytes]],
        body: bytes,
    ) -> None:
        """Refuse a request by its id, and keep a copy for the connection's next answer at times."""
        headers = [
            (b"Greengagestage-Attempt-Id", arrival.attempt.encode()),
            (b"Greengagestage-Not-Executed", b"1"),
            *headers,
        ]
        responder.answer(status, headers, body)
        if self.repeats_refusals():
            lines = [*headers, (b"Content-Length", b"%d" % len(body))]
            head = b"".join(b"%s: %s\r\n" % line for line in lines)
            self._copies[responder.transport] = b"HTTP/1.1 %d Refused\r\n%s\r\n%s" % (
                status,
                head,
                body,
            )

    def build_headers(self, arrival: Arrival) -> list[tuple[bytes, bytes]]:
        """Return the headers of an answer to a request that ran."""
        headers = [
            (b"Greengagestage-Attempt-Id", arrival.attempt.encode()),
            (b"Greengagestage-Server-Signature", arrival.signature.encode()),
            (b"Keep-Alive", b"timeout=5"),
        ]
        if self.leaving:
            headers.append((b"Server-Leaving", b"1"))
        return [*headers, *self._build_limit_header()]

    def _build_limit_header(self) -> list[tuple[bytes, bytes]]:
        if self.limit_per_s is None:
            return []
        return [(b"Server-Limit", b"%.2f" % self.limit_per_s)]

    def _explain(self, limit: LimitExceeded) -> bytes:
        return limit.name.encode()


def build_head(headers: list[tuple[bytes, bytes]]) -> bytes:
    """Return the head of a success without the line that ends it."""
    return b"HTTP/1.1 200 OK\r\n" + b"".join(b"%s: %s\r\n" % header for header in headers)


def close_in_order(transport: Any) -> None:
    """Close a connection after what was written; the transport may have a paused producer."""
    transport.unregisterProducer()
    transport.loseConnection()

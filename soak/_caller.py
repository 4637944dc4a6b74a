"""A caller's connection: sends one request at a time and records the answer."""

import math
from collections import deque
from collections.abc import Callable
from typing import Any

import h11
from twisted.internet.defer import Deferred
from twisted.internet.error import ConnectionDone
from twisted.internet.protocol import Protocol, connectionDone
from twisted.python.failure import Failure

from ._bounds import LOSS_SLACK_S
from ._ledger import Attempt, Ending, RequestPlan, StreamEvent
from ._operator import HOST_NAME
from ._proxy import Passage

SIGNATURE = "greengagestage-server-signature"
"""Header of all answers of upstreams, and of no answer of a host itself."""

ANSWER_SLACK_S = 0.5
"""Time after the deadline in which the caller still waits for the final answer."""


class CallerConnection(Protocol):
    """A connection to a host that is kept open for many requests.

    At most one request is open, and more may be sent behind it.

    Args:
        on_stray: Called with bytes that arrive while no request is open, or are no HTTP answer.
        find_passage: Returns what was passed on to the host of the bytes from a local port.
    """

    transport: Any

    def __init__(
        self,
        clock: Any,
        on_stray: Callable[[Attempt | None, bytes], None],
        find_passage: Callable[[int], Passage],
    ) -> None:
        self._clock = clock
        self._on_stray = on_stray
        self._find_passage = find_passage
        self._port = 0
        self._sent_bytes = 0
        self._codec = h11.Connection(h11.CLIENT)
        self._attempt: Attempt | None = None
        self._done: Deferred[None] | None = None
        self._timers: list[Any] = []
        self._pending_events = b""
        self._following: deque[tuple[Attempt, Deferred[None]]] = deque()
        self.usable = True

    def connectionMade(self) -> None:
        self._port = self.transport.getHost().port

    def send(self, attempt: Attempt) -> "Deferred[None]":
        """Send a request; the result fires at its end."""
        plan = attempt.plan
        self._attempt, self._done = attempt, Deferred()
        self._pending_events = b""
        data = self._codec.send(_build_head(plan))
        half = len(plan.body) // 2
        self._write(data + self._codec.send(h11.Data(data=plan.body[:half])))
        later = self._clock.callLater
        if plan.pause_s:
            later(plan.pause_s, self._send_rest, attempt)
        else:
            self._send_rest(attempt)
        self._start_timers(attempt)
        return self._done

    def send_following(self, attempt: Attempt) -> "Deferred[None]":
        """Send a request before the answer to the open one, which has been sent whole."""
        return self.send_series([attempt])[0]

    def send_series(self, attempts: list[Attempt]) -> "list[Deferred[None]]":
        """Send requests in one write, behind the open one if there is one."""
        data = b""
        for attempt in attempts:
            attempt.is_behind = self._attempt is not None or bool(self._following)
            data += _encode_request(h11.Connection(h11.CLIENT), attempt.plan)
            attempt.last_offset = self._sent_bytes + len(data)
            self._following.append((attempt, Deferred()))
        series = list(self._following)[-len(attempts) :]
        self._write(data)
        for attempt in attempts:
            attempt.last_byte_s = self._clock.seconds()
        if self._attempt is None:
            self._begin_following()
        return [done for _, done in series]

    def _begin_following(self) -> None:
        """Await the answer to the request that was sent behind the answered one."""
        if not self._following:
            return
        self._attempt, self._done = self._following.popleft()
        self._pending_events = b""
        _encode_request(self._codec, self._attempt.plan)
        self._start_timers(self._attempt)

    def _start_timers(self, attempt: Attempt) -> None:
        later, plan = self._clock.callLater, attempt.plan
        left_s = attempt.sent_s + plan.deadline_s + ANSWER_SLACK_S - self._clock.seconds()
        self._timers = [later(max(left_s, 0.0), self._abandon, Ending.TIMED_OUT)]
        if plan.leaves_after_s is not None:
            self._timers.append(later(plan.leaves_after_s, self._abandon, Ending.LEFT))

    def _send_rest(self, attempt: Attempt) -> None:
        if self._attempt is not attempt or self._codec.our_state is not h11.SEND_BODY:
            return
        rest = attempt.plan.body[len(attempt.plan.body) // 2 :]
        data = self._codec.send(h11.Data(data=rest))
        self._write_last(attempt, data + self._codec.send(h11.EndOfMessage()))

    def _write(self, data: bytes) -> None:
        self._sent_bytes += len(data)
        self.transport.write(data)

    def _write_last(self, attempt: Attempt, data: bytes) -> None:
        """Send the last bytes of a request."""
        self._write(data)
        attempt.last_byte_s = self._clock.seconds()
        attempt.last_offset = self._sent_bytes

    def _close_attempt(self, attempt: Attempt, ending: Ending) -> None:
        """Record the end of a request, and when the host can have read it."""
        attempt.ending, attempt.ended_s = ending, self._clock.seconds()
        passage = self._find_passage(self._port)
        is_sent = attempt.last_offset > 0
        attempt.passed_s = passage.find_passed_s(attempt.last_offset) if is_sent else math.inf
        attempt.host_closed = passage.closed

    def dataReceived(self, data: bytes) -> None:
        if self._attempt is None:
            if self.usable:
                self._on_stray(None, data)
            return
        attempt = self._attempt
        self._codec.receive_data(data)
        try:
            while self._attempt is not None and self._read_event(self._codec.next_event()):
                pass
        except h11.RemoteProtocolError:
            self._on_stray(attempt, data)
            self._abandon(Ending.BROKEN)

    def connectionLost(self, reason: Failure = connectionDone) -> None:
        """End the open requests as broken."""
        self.usable = False
        was_reset = not isinstance(reason.value, ConnectionDone)
        if self._attempt is not None:
            self._attempt.was_reset = was_reset
            self._end(Ending.BROKEN)
            self._end_following(Ending.BEHIND, was_reset=was_reset)
        else:
            self._end_following(Ending.BROKEN, was_reset=was_reset)

    def close(self) -> None:
        """Close the connection."""
        self.usable = False
        if self.transport is not None:
            self.transport.abortConnection()

    def _read_event(self, event: Any) -> bool:
        attempt = self._attempt
        assert attempt is not None
        match event:
            case h11.Response():
                attempt.status, attempt.head_s = event.status_code, self._clock.seconds()
                attempt.headers = {
                    name.decode("latin-1"): value.decode("latin-1") for name, value in event.headers
                }
                streams = attempt.plan.events and attempt.status == 200
                if not streams and SIGNATURE in attempt.headers:
                    attempt.begun_s = self._clock.seconds()
            case h11.Data():
                self._receive_body(attempt, bytes(event.data))
            case h11.EndOfMessage():
                self._finish_answer(attempt)
            case h11.InformationalResponse():
                pass
            case _:
                return False
        return True

    def _receive_body(self, attempt: Attempt, data: bytes) -> None:
        attempt.body += data
        if not attempt.plan.events or attempt.status != 200:
            return
        *complete, self._pending_events = (self._pending_events + data).split(b"\n\n")
        if complete and not attempt.events:
            attempt.begun_s = self._clock.seconds()
        attempt.events.extend(_parse_event(text) for text in complete)

    def _finish_answer(self, attempt: Attempt) -> None:
        if not attempt.closes and self._codec.their_state is h11.DONE:
            self._codec.start_next_cycle()
        else:
            self.usable = False
            self.transport.loseConnection()
        self._end(Ending.COMPLETE)
        if self.usable:
            self._begin_following()
        elif self._following:
            crossed = attempt.head_s <= self._following[0][0].last_byte_s + LOSS_SLACK_S
            self._end_following(Ending.BEHIND if crossed else Ending.BROKEN, was_reset=False)

    def _abandon(self, ending: Ending) -> None:
        self._end(ending)
        self._end_following(Ending.BEHIND, was_reset=False)
        self.close()

    def _end_following(self, ending: Ending, *, was_reset: bool) -> None:
        """End the requests that were sent behind another one, and that get no answer."""
        following, self._following = self._following, deque()
        for attempt, done in following:
            self._close_attempt(attempt, ending)
            attempt.was_reset = was_reset
            done.callback(None)

    def _end(self, ending: Ending) -> None:
        attempt, self._attempt = self._attempt, None
        for timer in self._timers:
            if timer.active():
                timer.cancel()
        if attempt is None or self._done is None:
            return
        self._close_attempt(attempt, ending)
        done, self._done = self._done, None
        done.callback(None)


def _build_head(plan: RequestPlan) -> h11.Request:
    length = ("Content-Length", str(len(plan.body)))
    framing = ("Transfer-Encoding", "chunked") if plan.chunked else length
    headers = [("Host", HOST_NAME), *plan.headers, framing]
    return h11.Request(method="POST", target=plan.target, headers=headers)


def _encode_request(codec: h11.Connection, plan: RequestPlan) -> bytes:
    head = codec.send(_build_head(plan)) or b""
    body = codec.send(h11.Data(data=plan.body)) or b""
    return head + body + (codec.send(h11.EndOfMessage()) or b"")


def _parse_event(text: bytes) -> StreamEvent:
    try:
        head, _, data = text.decode().partition("\ndata: ")
        work, _, version = data.split("/")
        return StreamEvent(number=int(head.removeprefix("id: ")), work=work, version=version)
    except ValueError:
        return StreamEvent(number=-1, work=repr(text), version="")

"""Delivery of one answer to its caller."""

from collections.abc import Callable

from greengagestage.http1 import PieceBuffer, Responder, ResponseHead
from greengagestage.platform import build_caller_headers
from greengagestage.telemetry import RequestTimer, Timing

from .._relay import EventRelay

MAX_BUFFERED_BYTES = 1_048_576
"""Plain answers up to this size are buffered until complete, so that an interrupted request can be
retried, while memory is not scarce."""

MIN_PASSED_ON_BYTES = 65_536
"""Smaller ones are buffered in any case: passed on, they would wait in the transport's buffer."""

UNCOUNTED_EVENT_BYTES = 4_096
"""Events received in part that are shorter are not counted: they end with one of the next reads."""


class Delivery:
    """Relays a stream event by event, and a plain answer once it is complete.

    Args:
        on_begun: Called once when the request is known to have begun to run: with the first event
            of a stream, or with the head of another response.
        last_event_id: The last event that the caller already has of a stream that it takes up.

    Attributes:
        begun: Part of the answer was sent, so that it can only be completed or aborted.
        head: Head of the upstream response that is being received.
        first_event_s: Time from the request's arrival to the first event.
        longest_gap_s: Longest time between two events.
    """

    def __init__(
        self,
        *,
        responder: Responder,
        seconds: Callable[[], float],
        timer: RequestTimer,
        arrived_s: float,
        on_begun: Callable[[], None] = lambda: None,
        last_event_id: bytes | None = None,
    ) -> None:
        self.begun = False
        self.head: ResponseHead | None = None
        self.first_event_s: float | None = None
        self.longest_gap_s = 0.0
        self._responder = responder
        self._seconds = seconds
        self._timer = timer
        self._arrived_s = arrived_s
        self._on_begun: Callable[[], None] | None = on_begun
        self._taken_up_after = last_event_id
        self._last_event_s = 0.0
        self._relay: EventRelay | None = None
        self._has_events = False
        self._buffer = PieceBuffer()
        self._held_bytes = 0

    @property
    def is_stream(self) -> bool:
        """Whether the answer is relayed as a stream of events."""
        return self._relay is not None

    @property
    def events(self) -> int | None:
        """Number of relayed events that carry an id; None if the answer is not a stream."""
        return None if self._relay is None else self._relay.events

    @property
    def last_event_id(self) -> bytes | None:
        """Id of the caller's last event, from which a stream can be resumed."""
        return None if self._relay is None else self._relay.last_event_id

    @property
    def continuations(self) -> list[tuple[bytes, bytes]]:
        """Where further upstreams were to continue a stream, and the events with which they did."""
        return [] if self._relay is None else self._relay.continuations

    @property
    def defect(self) -> str | None:
        """Why a stream cannot be relayed as its upstream sends it; None if it can."""
        return None if self._relay is None else self._relay.defect

    @property
    def can_restart(self) -> bool:
        """Whether another upstream's answer can supply the missing part."""
        if self._relay is not None:
            return self._relay.can_resume
        return not self.begun

    def begin_plain(self, head: ResponseHead) -> None:
        """Start buffering a plain answer."""
        self.head = head
        self._report_begin()

    def begin_stream(self, head: ResponseHead) -> None:
        """Start relaying a stream; only the first upstream's head is sent to the caller."""
        self.head = head
        self._has_events = False
        if self._relay is None:
            self._relay = EventRelay(last_event_id=self._taken_up_after)
        self._relay.begin_run()
        self._send_head(head)

    def feed(self, data: bytes) -> bool:
        """Process a part of the body; return whether some of it has gone to the caller."""
        if self._relay is not None:
            return self._relay_events(self._relay, data)
        self._buffer.append(data)
        has_room = self.begun or self._responder.hold(self._buffer.size)
        limit_bytes = MAX_BUFFERED_BYTES if has_room else MIN_PASSED_ON_BYTES
        if self._buffer.size > limit_bytes and self.head is not None:
            self._send_head(self.head)
        if self.begun:
            self._flush()
        return self.begun

    def finish(self) -> bool:
        """Complete the answer; return False if it is certainly incomplete.

        That is a response without a head, or a stream that was broken off. Other answers are taken
        to be complete.
        """
        if self.head is None:
            return False
        if self._relay is not None:
            if self._is_broken_off(self._relay, self.head):
                return False
            self._write(self._relay.finish())
            self._responder.finish()
        elif self.begun:
            self._flush()
            self._responder.finish()
        else:
            headers = build_caller_headers(self.head.headers)
            self._responder.answer(self.head.status, headers, self._buffer.take())
        return True

    def discard_undelivered(self) -> None:
        """Discard what was received and not yet sent to the caller."""
        self.head = None
        self._buffer.clear()
        self._held_bytes = 0
        self._responder.hold(0)
        if self._relay is not None:
            self._relay.drop_partial()

    def _is_broken_off(self, relay: EventRelay, head: ResponseHead) -> bool:
        """Whether a stream ends inside an event, or without framing before its first one.

        Of a stream that goes on after an event, nothing may be left.
        """
        if not head.framed:
            is_empty = not self._has_events and relay.last_event_id is None
            return relay.has_partial or is_empty
        is_stream = self.first_event_s is not None or _states_events(head)
        return relay.has_partial and is_stream

    def _send_head(self, head: ResponseHead) -> None:
        if not self.begun:
            self.begun = True
            self._responder.begin(head.status, build_caller_headers(head.headers))

    def _relay_events(self, relay: EventRelay, data: bytes) -> bool:
        events = relay.feed(data)
        self._hold_partial(relay)
        self._write(events)
        if events:
            self._has_events = True
            self._observe_event()
        return bool(events)

    def _hold_partial(self, relay: EventRelay) -> None:
        """Count an event that is received in part, unless it is as short as most."""
        held_bytes = relay.partial_bytes if relay.partial_bytes > UNCOUNTED_EVENT_BYTES else 0
        if held_bytes != self._held_bytes:
            self._held_bytes = held_bytes
            self._responder.hold(held_bytes)

    def _observe_event(self) -> None:
        now_s = self._seconds()
        if self.first_event_s is None:
            self._report_begin()
            self.first_event_s = now_s - self._arrived_s
            self._timer.observe(Timing.FIRST_TOKEN, self.first_event_s)
        else:
            gap_s = now_s - self._last_event_s
            self.longest_gap_s = max(self.longest_gap_s, gap_s)
            self._timer.observe(Timing.INTER_TOKEN, gap_s)
        self._last_event_s = now_s

    def _report_begin(self) -> None:
        on_begun, self._on_begun = self._on_begun, None
        if on_begun is not None:
            on_begun()

    def _flush(self) -> None:
        self._responder.hold(0)
        for part in self._buffer.take_parts():
            self._write(part)

    def _write(self, data: bytes) -> None:
        if data:
            self._responder.write(data)


def _states_events(head: ResponseHead) -> bool:
    content_type = head.get(b"content-type") or b""
    return content_type.lower().startswith(b"text/event-stream")

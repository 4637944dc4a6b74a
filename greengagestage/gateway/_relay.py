"""Relay of a server-sent event stream, in complete events only."""

import re

_SEPARATORS = (b"\n\n", b"\n\r\n", b"\r\r")
"""Ends of events: a line, which may end in LF, CRLF or CR, and an empty line."""

_SENDABLE_ID = re.compile(rb"[^\x00-\x08\x0a-\x1f\x7f]+")
"""Ids that ``Last-Event-Id`` can carry. No upstream can go on after an event with another one."""

MAX_EVENT_BYTES = 262_144
"""Larger events are taken for bytes without end. An event holds a few tokens."""


class EventRelay:
    """Splits a stream into events, so that another upstream can resume it.

    Only complete events are relayed. The partial last event of an interrupted upstream is dropped,
    and the next upstream sends that event again.

    The ids of a stream increase, over all the upstreams that send it. An upstream whose event has
    an id that is not after the one before has not gone on with the stream.

    Args:
        last_event_id: Id of the last event that the caller already has; None if it has none.

    Attributes:
        last_event_id: Id of the last complete event that carried one, or that the caller had.
        continuations: For each further upstream, the id after which it was to go on and the id of
            the first event that it sent.
        defect: Why nothing that the current upstream sends is relayed any more; None if it is.
        events: Number of complete events that carried an id.
        can_resume: Whether another upstream can continue after what was relayed: nothing, or an
            event with an id as the last one.
    """

    def __init__(self, *, last_event_id: bytes | None = None) -> None:
        self.last_event_id = last_event_id
        self.continuations: list[tuple[bytes, bytes]] = []
        self._resumed_after: bytes | None = None
        self.defect: str | None = None
        self.events = 0
        self.can_resume = True
        self._partial = b""

    def begin_run(self) -> None:
        """Prepare for the events of the first upstream, or of the next one."""
        self._resumed_after = self.last_event_id

    @property
    def has_partial(self) -> bool:
        """Whether an event was received in part; empty lines and comments belong to none."""
        lines = self._partial.splitlines()
        return any(line and not line.startswith(b":") for line in lines)

    @property
    def partial_bytes(self) -> int:
        """Number of bytes that are kept until their event ends."""
        return len(self._partial)

    def feed(self, data: bytes) -> bytes:
        """Process received bytes and return the complete events to relay.

        Nothing is relayed of bytes that show a defect, or that follow them.
        """
        if self.defect is None and self._is_oversized(data):
            self.defect = f"an event of more than {MAX_EVENT_BYTES} bytes"
        if self.defect is not None:
            return b""
        data = self._partial + data
        end = max(_find_last_event_end(data, separator) for separator in _SEPARATORS)
        self._record_events(data[:end])
        if self.defect is not None:
            return b""
        self._partial = data[end:]
        return data[:end]

    def finish(self) -> bytes:
        """Return the remaining bytes after the upstream has ended its answer properly."""
        rest, self._partial = self._partial, b""
        return rest

    def drop_partial(self) -> None:
        """Discard a partial event after the upstream was interrupted."""
        self._partial = b""
        self.defect = None

    def _is_oversized(self, data: bytes) -> bool:
        """Whether the partial event would be too large with further bytes that do not end it."""
        if len(self._partial) + len(data) <= MAX_EVENT_BYTES:
            return False
        return not has_event_end(self._partial[-3:] + data)

    def _record_events(self, complete_events: bytes) -> None:
        """Record what complete events are, unless one of them shows a defect."""
        last_event_id, can_resume, events = self.last_event_id, self.can_resume, self.events
        event_id: bytes | None = None
        has_data = False
        for line in complete_events.splitlines():
            if line.startswith(b"id:"):
                found = _SENDABLE_ID.fullmatch(line[3:].strip())
                event_id = None if found is None else found[0]
            elif line.startswith(b"data"):
                has_data = True
            elif not line:
                if event_id is not None:
                    self._note_continuation(event_id)
                    if last_event_id is not None and not is_after(event_id, last_event_id):
                        self.defect = f"event {event_id!r} after event {last_event_id!r}"
                        return
                    last_event_id, can_resume = event_id, True
                    events += 1
                elif has_data:
                    can_resume = False
                event_id, has_data = None, False
        self.last_event_id, self.can_resume, self.events = last_event_id, can_resume, events

    def _note_continuation(self, event_id: bytes) -> None:
        if self._resumed_after is not None:
            self.continuations.append((self._resumed_after, event_id))
            self._resumed_after = None


def is_after(event_id: bytes, earlier: bytes) -> bool:
    """Return whether an event can follow an earlier one of the same stream, by their ids.

    Decimal numbers of any length are compared. Other ids have no order: any other one can follow.
    """
    if event_id.isdigit() and earlier.isdigit():
        return _to_sort_key(event_id) > _to_sort_key(earlier)
    return event_id != earlier


def _to_sort_key(number: bytes) -> tuple[int, bytes]:
    digits = number.lstrip(b"0")
    return len(digits), digits


def has_event_end(data: bytes) -> bool:
    """Return whether an event of a stream ends within some bytes."""
    return any(_find_last_event_end(data, separator) for separator in _SEPARATORS)


def _find_last_event_end(data: bytes, separator: bytes) -> int:
    position = data.rfind(separator)
    return 0 if position < 0 else position + len(separator)

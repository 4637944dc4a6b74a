"""Relay of a server-sent event stream, in complete events only."""

_SEPARATORS = (b"\n\n", b"\r\n\r\n")


MAX_EVENT_BYTES = 262_144
"""Larger events are taken for bytes without end. An event holds a few tokens."""


class EventRelay:
    """Splits a stream into events, so that another upstream can resume it.

    Only complete events are relayed. The partial last event of an interrupted upstream is dropped,
    and the next upstream sends that event again.

    Attributes:
        last_event_id: Id of the last complete event that carried one.
        continuations: For each further upstream, the id after which it was to go on and the id of
            the first event that it sent.
        events: Number of complete events that carried an id.
        can_resume: Whether another upstream can continue after what was relayed: nothing, or an
            event with an id as the last one.
    """

    def __init__(self) -> None:
        self.last_event_id: bytes | None = None
        self.continuations: list[tuple[bytes, bytes]] = []
        self._resumed_after: bytes | None = None
        self.events = 0
        self.can_resume = True
        self._partial = b""

    def begin_run(self) -> None:
        """Prepare for the events of the first upstream, or of the next one."""
        self._resumed_after = self.last_event_id

    @property
    def has_partial(self) -> bool:
        """Whether an event was received in part; comments and empty lines belong to none."""
        return any(line and not line.startswith(b":") for line in self._partial.splitlines())

    def has_oversized_event(self, data: bytes) -> bool:
        """Whether the partial event would be too large with further bytes that do not end it."""
        if len(self._partial) + len(data) <= MAX_EVENT_BYTES:
            return False
        return not has_event_end(self._partial[-3:] + data)

    def feed(self, data: bytes) -> bytes:
        """Process received bytes and return the complete events to relay."""
        data = self._partial + data
        end = max(_find_last_event_end(data, separator) for separator in _SEPARATORS)
        complete_events, self._partial = data[:end], data[end:]
        self._record_event_ids(complete_events)
        return complete_events

    def finish(self) -> bytes:
        """Return the remaining bytes after the upstream has ended its answer properly."""
        rest, self._partial = self._partial, b""
        return rest

    def drop_partial(self) -> None:
        """Discard a partial event after the upstream was interrupted."""
        self._partial = b""

    def _record_event_ids(self, complete_events: bytes) -> None:
        has_id = has_data = False
        for line in complete_events.splitlines():
            if line.startswith(b"id:"):
                self.last_event_id = line[3:].strip()
                if self._resumed_after is not None:
                    self.continuations.append((self._resumed_after, self.last_event_id))
                    self._resumed_after = None
                self.events += 1
                has_id = True
            elif line.startswith(b"data"):
                has_data = True
            elif not line:
                if has_id or has_data:
                    self.can_resume = has_id
                has_id = has_data = False


def has_event_end(data: bytes) -> bool:
    """Return whether an event of a stream ends within some bytes."""
    return any(_find_last_event_end(data, separator) for separator in _SEPARATORS)


def _find_last_event_end(data: bytes, separator: bytes) -> int:
    position = data.rfind(separator)
    return 0 if position < 0 else position + len(separator)

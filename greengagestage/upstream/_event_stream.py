"""An incremental parser of server-sent events."""

from msgspec import Struct

MAX_EVENT_BYTES = 262_144


class EventTooLargeError(ValueError):
    """An event exceeds the parser's size limit."""


class ServerSentEvent(Struct, frozen=True, kw_only=True):
    """One server-sent event.

    Attributes:
        data: The data lines, joined by line feeds.
        name: The value of the ``event`` field; empty if the event has none.
    """

    data: bytes
    name: bytes = b""


class EventStreamParser:
    """Splits a byte stream into events; the stream may arrive in chunks of any size.

    Lines may end in LF, CRLF or CR. The bytes are not decoded, so a character may be split
    between two chunks.
    """

    def __init__(self, *, max_event_bytes: int = MAX_EVENT_BYTES) -> None:
        self._max_event_bytes = max_event_bytes
        self._buffer = b""
        self._after_carriage_return = False

    @property
    def pending_bytes(self) -> int:
        """Number of bytes buffered for the event that is not complete yet."""
        return len(self._buffer)

    def feed(self, data: bytes) -> list[ServerSentEvent]:
        """Parse the next bytes and return the events that they complete.

        Raises:
            EventTooLargeError: The incomplete event exceeds the size limit.
        """
        if self._after_carriage_return or b"\r" in data:
            data = self._normalize_line_ends(data)
        *blocks, self._buffer = (self._buffer + data if self._buffer else data).split(b"\n\n")
        if len(self._buffer) > self._max_event_bytes:
            raise EventTooLargeError(f"an event exceeds {self._max_event_bytes} bytes")
        return [event for block in blocks if (event := _parse_block(block)) is not None]

    def _normalize_line_ends(self, data: bytes) -> bytes:
        if self._after_carriage_return and data.startswith(b"\n"):
            data = data[1:]
            self._after_carriage_return = False
        if data:
            self._after_carriage_return = data.endswith(b"\r")
        return data.replace(b"\r\n", b"\n").replace(b"\r", b"\n")


def _parse_block(block: bytes) -> ServerSentEvent | None:
    if block.startswith(b"data: ") and b"\n" not in block:
        return ServerSentEvent(data=block[6:])
    lines: list[bytes] = []
    name = b""
    for line in block.split(b"\n"):
        field, _, value = line.partition(b":")
        value = value.removeprefix(b" ")
        if field == b"data":
            lines.append(value)
        elif field == b"event":
            name = value
    return ServerSentEvent(data=b"\n".join(lines), name=name) if lines else None

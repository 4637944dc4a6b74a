"""A bounded in-memory journal of the decisions about each request."""

from collections import OrderedDict
from dataclasses import dataclass, field

from greengagestage.ids import RequestId

REQUESTS_KEPT = 4096
LINES_KEPT_PER_REQUEST = 24


@dataclass(slots=True, kw_only=True)
class _Entry:
    """The lines of one request; their times are relative to the first line."""

    started_at_s: float
    lines: list[str] = field(default_factory=list)


class Journal:
    """The most recent decisions about the most recently active requests."""

    def __init__(self) -> None:
        self._entries: OrderedDict[RequestId, _Entry] = OrderedDict()

    def record(self, request_id: RequestId, now_s: float, line: str) -> None:
        """Add a line to a request.

        Beyond the limits, the least recently active request is dropped, and of one request the
        oldest line after the first.
        """
        entry = self._entries.get(request_id)
        if entry is None:
            entry = self._entries[request_id] = _Entry(started_at_s=now_s)
            if len(self._entries) > REQUESTS_KEPT:
                self._entries.popitem(last=False)
        self._entries.move_to_end(request_id)
        if len(entry.lines) == LINES_KEPT_PER_REQUEST:
            del entry.lines[1]
        entry.lines.append(f"{now_s - entry.started_at_s:.3f} s: {line}")

    def read(self, request_id: RequestId) -> tuple[str, ...]:
        """Return the lines of a request, oldest first."""
        entry = self._entries.get(request_id)
        return () if entry is None else tuple(entry.lines)

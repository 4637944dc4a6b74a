"""The decisions about each request, one line a decision, in bounded memory."""

from collections import OrderedDict

from greengagestage.ids import RequestId

REQUESTS_KEPT = 4096
LINES_KEPT_PER_REQUEST = 24


class Journal:
    """The last decisions about the last requests."""

    def __init__(self) -> None:
        self._lines: OrderedDict[RequestId, list[str]] = OrderedDict()

    def record(self, request_id: RequestId, now_s: float, line: str) -> None:
        """Add a line to a request; those without news for longest are forgotten."""
        lines = self._lines.get(request_id)
        if lines is None:
            lines = self._lines[request_id] = []
            if len(self._lines) > REQUESTS_KEPT:
                self._lines.popitem(last=False)
        self._lines.move_to_end(request_id)
        if len(lines) == LINES_KEPT_PER_REQUEST:
            del lines[1]
        lines.append(f"{now_s:.3f} s: {line}")

    def read(self, request_id: RequestId) -> tuple[str, ...]:
        """Return the lines of a request, oldest first."""
        return tuple(self._lines.get(request_id, ()))

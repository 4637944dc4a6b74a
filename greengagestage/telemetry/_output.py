"""Rate-limited, non-blocking log output."""

import os
from collections.abc import Callable
from typing import Any

import msgspec

MAX_LINES_PER_S = 200.0
"""Maximum sustained rate. It allows four lines for each of 50 requests per second, several times
the usual load of one host."""

MAX_BURST_LINES = 400.0
"""Maximum number of lines written at once after an idle period."""

_OMITTED_FIELDS = ("task_uuid", "task_level")


class BoundedOutput:
    """An Eliot destination that writes JSON lines without blocking.

    It drops lines over the rate limit and lines that nobody reads, and counts them. The next
    line that is written carries the count in ``lines_dropped_before``.

    Args:
        write: Writes bytes without blocking and returns how many were written. Raises
            ``BlockingIOError`` if none can be written.
    """

    def __init__(
        self, *, seconds: Callable[[], float], write: Callable[[bytes], int] | None = None
    ) -> None:
        self._seconds = seconds
        self._write = write or _write_to_stdout
        self._tokens = MAX_BURST_LINES
        self._last_refill_s = seconds()
        self._dropped = 0
        self._unwritten = b""

    def __call__(self, message: dict[str, Any]) -> None:
        """Write a message as one line, or drop it."""
        if not self._take_token():
            self._dropped += 1
            return
        fields = {name: value for name, value in message.items() if name not in _OMITTED_FIELDS}
        if self._dropped:
            fields["lines_dropped_before"] = self._dropped
        line = msgspec.json.encode(fields, enc_hook=str) + b"\n"
        if self._write_line(line):
            self._dropped = 0
        else:
            self._dropped += 1

    def _take_token(self) -> bool:
        now_s = self._seconds()
        refill = (now_s - self._last_refill_s) * MAX_LINES_PER_S
        self._tokens = min(self._tokens + refill, MAX_BURST_LINES)
        self._last_refill_s = now_s
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True

    def _write_line(self, line: bytes) -> bool:
        """Write the rest of the previous line, then this one. Keep the bytes that are not written.

        Returns:
            False if nothing of the line was written.
        """
        try:
            if self._unwritten:
                written = self._write(self._unwritten)
                self._unwritten = self._unwritten[written:]
                if self._unwritten:
                    return False
            written = self._write(line)
            self._unwritten = line[written:]
        except OSError:
            return False
        return True


def _write_to_stdout(data: bytes) -> int:
    return os.write(1, data)

"""When the bytes arrived that wait on a connection for an earlier request to be answered."""

from collections import deque


class PipelinedBytes:
    """Remembers when buffered bytes arrived, since the time of a request counts from its first."""

    def __init__(self) -> None:
        self._received = 0
        self._arrivals: deque[tuple[int, float]] = deque()

    def add(self, count: int, now_s: float) -> None:
        """Record bytes that were added to the end of the buffer."""
        self._received += count
        self._arrivals.append((self._received, now_s))

    def find_arrival(self, buffered: int, *, default_s: float) -> float:
        """Return when the first of the last buffered bytes arrived, and forget earlier ones.

        Args:
            default_s: Time to return if the byte arrived before any that were recorded.
        """
        first = self._received - buffered
        while self._arrivals and self._arrivals[0][0] <= first:
            self._arrivals.popleft()
        return self._arrivals[0][1] if self._arrivals and first >= 0 else default_s

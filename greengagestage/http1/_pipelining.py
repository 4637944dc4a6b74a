"""When the bytes of a connection arrived that wait for an earlier request to be answered."""

from collections import deque

ARRIVAL_RESOLUTION_S = 0.01
"""Bytes that arrive within this time of others count as arrived with them, which limits the memory
for callers that send single bytes."""


class ByteArrivals:
    """Remembers when the bytes arrived that have not been parsed yet.

    The time of a request counts from its first byte, which may have arrived in the same read as the
    end of an earlier request, or while that was answered. Every read is therefore recorded, with
    the offset of its end in the whole stream of the connection.
    """

    def __init__(self) -> None:
        self._received = 0
        self._reads: deque[tuple[int, float]] = deque()

    def add(self, count: int, now_s: float, *, unparsed: int) -> None:
        """Record a read, and forget those of which nothing is left to be parsed.

        Args:
            count: Number of bytes that were read.
            unparsed: Number of earlier bytes that have not been parsed yet.
        """
        first_unparsed = self._received - unparsed
        while self._reads and self._reads[0][0] <= first_unparsed:
            self._reads.popleft()
        self._received += count
        began_s = now_s
        if self._reads and now_s - self._reads[-1][1] < ARRIVAL_RESOLUTION_S:
            began_s = self._reads.pop()[1]
        self._reads.append((self._received, began_s))

    def find_arrival(self, unparsed: int) -> float:
        """Return when the first of the unparsed bytes, of which there is one at least, arrived."""
        first_unparsed = self._received - unparsed
        return next(arrived_s for end, arrived_s in self._reads if end > first_unparsed)

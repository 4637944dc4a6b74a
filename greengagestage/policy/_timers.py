"""Timers of the policy, of which only the earliest is requested from the entry server."""

import heapq
from dataclasses import dataclass

from greengagestage.ids import PoolName, RequestId


@dataclass(frozen=True, slots=True, kw_only=True)
class ReviewTimer:
    """A request is to be reviewed."""

    request_id: RequestId


@dataclass(frozen=True, slots=True, kw_only=True)
class DispatchTimer:
    """Queued requests of a pool may be dispatched: an upstream or a request became eligible."""

    pool: PoolName


Timer = ReviewTimer | DispatchTimer


class Timers:
    """A heap of timers."""

    def __init__(self) -> None:
        self._heap: list[tuple[float, int, Timer]] = []
        self._sequence = 0
        self._requested_s: float | None = None

    def add(self, at_s: float, timer: Timer) -> None:
        """Add a timer that expires at a monotonic time."""
        self._sequence += 1
        heapq.heappush(self._heap, (at_s, self._sequence, timer))

    def clear_requested(self) -> None:
        """Clear the requested wake-up, because it has fired."""
        self._requested_s = None

    def pop_expired(self, now_s: float) -> list[Timer]:
        """Remove and return the expired timers, earliest first."""
        expired: list[Timer] = []
        while self._heap and self._heap[0][0] <= now_s:
            expired.append(heapq.heappop(self._heap)[2])
        return expired

    def take_wakeup_request(self) -> float | None:
        """Return the time of the earliest timer and note a wake-up as requested for then.

        Return None if there is no timer, or if an earlier wake-up or the same is requested already.
        """
        if not self._heap:
            return None
        earliest_s = self._heap[0][0]
        if self._requested_s is not None and self._requested_s <= earliest_s:
            return None
        self._requested_s = earliest_s
        return earliest_s

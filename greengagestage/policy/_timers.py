"""The times at which the policy wants to look again."""

import heapq
from dataclasses import dataclass

from greengagestage.ids import PoolName, RequestId


@dataclass(frozen=True, slots=True, kw_only=True)
class RequestTimer:
    """Look again at a request."""

    request_id: RequestId


@dataclass(frozen=True, slots=True, kw_only=True)
class DispatchTimer:
    """Look again at a pool: an upstream may be tried again."""

    pool: PoolName


Due = RequestTimer | DispatchTimer


class Timers:
    """A heap of times, of which the shell is asked for the earliest only."""

    def __init__(self) -> None:
        self._heap: list[tuple[float, int, Due]] = []
        self._sequence = 0
        self._asked_s: float | None = None

    def add(self, at_s: float, due: Due) -> None:
        """Look again at a time."""
        self._sequence += 1
        heapq.heappush(self._heap, (at_s, self._sequence, due))

    def note_fired(self) -> None:
        """Forget the time asked for, because the shell's timer has fired."""
        self._asked_s = None

    def pop_due(self, now_s: float) -> list[Due]:
        """Take out everything whose time has come."""
        due: list[Due] = []
        while self._heap and self._heap[0][0] <= now_s:
            due.append(heapq.heappop(self._heap)[2])
        return due

    def find_next_wake(self) -> float | None:
        """Return the time to ask the shell for, or None if what it was asked for will do."""
        if not self._heap:
            return None
        earliest_s = self._heap[0][0]
        if self._asked_s is not None and self._asked_s <= earliest_s:
            return None
        self._asked_s = earliest_s
        return earliest_s

"""Load reports that show the load of some time ago."""

from collections import deque

from msgspec import Struct

_MAX_CHANGES = 65536


class LoadReport(Struct, frozen=True, kw_only=True):
    """The body of ``GET /load``; ``age_ms`` is the age of the figures."""

    running: int
    waiting: int
    slots: int
    age_ms: int


class LaggingLoad:
    """Records changes of the load and reports the load as it was ``lag_s`` seconds ago."""

    def __init__(self, *, slots: int, lag_s: float) -> None:
        self._slots = slots
        self._lag_s = lag_s
        self._changes: deque[tuple[float, int, int]] = deque(maxlen=_MAX_CHANGES)
        self._visible = (0, 0)

    def record(self, *, running: int, waiting: int, now_s: float) -> None:
        """Record the current load."""
        self._changes.append((now_s, running, waiting))
        self._advance(now_s)

    def report(self, now_s: float) -> LoadReport:
        """Return the load as it was one lag ago."""
        self._advance(now_s)
        running, waiting = self._visible
        return LoadReport(
            running=running, waiting=waiting, slots=self._slots, age_ms=int(self._lag_s * 1e3)
        )

    def _advance(self, now_s: float) -> None:
        while self._changes and self._changes[0][0] <= now_s - self._lag_s:
            _, running, waiting = self._changes.popleft()
            self._visible = (running, waiting)

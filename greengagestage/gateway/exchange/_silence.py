"""Detection of upstreams that fall silent while they owe a part of an answer."""

from collections.abc import Callable
from typing import Any

from greengagestage.routing import Job, Placement

PLAIN_TIMEOUT_FACTOR = 4.0
MIN_PLAIN_TIMEOUT_S = 0.25
"""A retryable request that describes no prompt is also sent elsewhere unless its upstream sends
something within four times the expected answer time, and at least this time, which is longer than
nearly all answers take."""

FIRST_EVENT_TIMEOUT_FACTOR = 3.0
"""A retryable request that describes its prompt is also sent elsewhere unless its answer begins
within three times the forecast time to the first event, and at least ``MAX_PAUSE_S``."""

MAX_PAUSE_S = 1.4
"""Sound upstreams pause for about a second. Callers disconnect after two seconds at the earliest,
by which time the next upstream must have sent the next event."""


def compute_answer_limit(job: Job, placement: Placement) -> float:
    """Return how long an upstream may take to begin its answer before another one is asked."""
    if job.prompt is None:
        return max(PLAIN_TIMEOUT_FACTOR * placement.expected_s, MIN_PLAIN_TIMEOUT_S)
    return max(FIRST_EVENT_TIMEOUT_FACTOR * placement.expected_s, MAX_PAUSE_S)


class SilenceWatch:
    """Calls back when an upstream has sent nothing for longer than a limit.

    While the caller reads too slowly, nothing is read from the upstream either, so that the
    upstream's silence proves nothing and no time is counted.
    """

    def __init__(self, *, reactor: Any, on_silent: Callable[[], None]) -> None:
        self._reactor = reactor
        self._on_silent = on_silent
        self._limit_s: float | None = None
        self._due_s = 0.0
        self._timer: Any = None
        self._paused = False

    def start(self, limit_s: float) -> None:
        """Start to count the silence from now on."""
        self._limit_s = limit_s
        if self._paused:
            return
        self._due_s = self._reactor.seconds() + limit_s
        # A timer that expires too early is set again then, which is cheaper than for each event.
        if self._timer is None or not self._timer.active() or self._timer.getTime() > self._due_s:
            self._stop_timer()
            self._timer = self._reactor.callLater(limit_s, self._check)

    def restart(self) -> None:
        """Count the silence from now on with the same limit; do nothing if it is not counted."""
        if self._limit_s is not None:
            self.start(self._limit_s)

    def stop(self) -> None:
        """Stop counting."""
        self._stop_timer()
        self._limit_s = None

    def close(self) -> None:
        """Stop for good, and release the callback and what it refers to."""
        self.stop()
        self._on_silent = _ignore_silence

    def pause(self) -> None:
        """Count no silence until ``resume`` is called."""
        self._paused = True
        self._stop_timer()

    def resume(self) -> None:
        """Count the silence from now on."""
        self._paused = False
        self.restart()

    def _check(self) -> None:
        remaining_s = self._due_s - self._reactor.seconds()
        if remaining_s > 0:
            self._timer = self._reactor.callLater(remaining_s, self._check)
            return
        self._limit_s = None
        self._on_silent()

    def _stop_timer(self) -> None:
        if self._timer is not None and self._timer.active():
            self._timer.cancel()
        self._timer = None


def _ignore_silence() -> None:
    """Do nothing, in place of the callback of a closed watch."""

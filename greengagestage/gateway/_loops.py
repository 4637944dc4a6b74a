"""A periodic task that survives exceptions of its steps, and jitter for pauses."""

from collections.abc import Callable
from random import Random
from typing import Any

from twisted.internet.defer import Deferred, maybeDeferred
from twisted.python.failure import Failure

from greengagestage.telemetry import log_unexpected_failure

PAUSE_AFTER_FAULT_S = 0.5
"""Pause after an unexpected exception, so that repeated ones do not flood the log."""


def add_jitter(pause_s: float, random: Random) -> float:
    """Return a pause changed by up to 50% at random, so that hosts do not act in lockstep."""
    return pause_s * (0.5 + random.random())


class RepeatingTask:
    """Runs a step repeatedly; each step returns the pause in seconds before the next one."""

    def __init__(self, *, reactor: Any, name: str, step: Callable[[], Any]) -> None:
        self._reactor = reactor
        self._name = name
        self._step = step
        self._running = False
        self._timer: Any = None

    def start(self, delay_s: float = 0.0) -> None:
        """Schedule the first step."""
        self._running = True
        self._schedule(delay_s)

    def stop(self) -> None:
        """Cancel the next step; a step that is running is not interrupted."""
        self._running = False
        if self._timer is not None and self._timer.active():
            self._timer.cancel()

    def run_within(self, delay_s: float) -> None:
        """Move the next step forward to at most this delay; do nothing while a step is running."""
        timer = self._timer
        if (
            timer is not None
            and timer.active()
            and timer.getTime() > (self._reactor.seconds() + delay_s)
        ):
            timer.reset(delay_s)

    def _schedule(self, delay_s: float) -> None:
        if self._running:
            self._timer = self._reactor.callLater(delay_s, self._run)

    def _run(self) -> None:
        outcome: Deferred[float] = maybeDeferred(self._step)
        outcome.addErrback(self._log_failure)
        outcome.addCallback(self._schedule)

    def _log_failure(self, failure: Failure) -> float:
        log_unexpected_failure(f"{self._name}: unexpected fault", failure)
        return PAUSE_AFTER_FAULT_S

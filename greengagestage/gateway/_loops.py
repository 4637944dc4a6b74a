"""A task that repeats until it is stopped, whatever goes wrong in one round."""

from collections.abc import Callable
from random import Random
from typing import Any

from twisted.internet.defer import Deferred, maybeDeferred
from twisted.python.failure import Failure

from greengagestage.telemetry import log_fault

PAUSE_AFTER_FAULT_S = 0.5
"""Pause after an unexpected exception, so that it cannot fill the log."""


def spread_pause(pause_s: float, random: Random) -> float:
    """Return a pause that is up to half shorter or longer, so that hosts do not act together."""
    return pause_s * (0.5 + random.random())


class RepeatingTask:
    """Runs a step again and again; each step returns the pause before the next one."""

    def __init__(self, *, reactor: Any, name: str, step: Callable[[], Any]) -> None:
        self._reactor = reactor
        self._name = name
        self._step = step
        self._running = False
        self._timer: Any = None

    def start(self, delay_s: float = 0.0) -> None:
        """Begin with the first step."""
        self._running = True
        self._schedule(delay_s)

    def stop(self) -> None:
        """Run no further step."""
        self._running = False
        if self._timer is not None and self._timer.active():
            self._timer.cancel()

    def hasten(self, delay_s: float) -> None:
        """Run the next step after a delay, unless a step is running or due earlier."""
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
        outcome.addErrback(self._report)
        outcome.addCallback(self._schedule)

    def _report(self, failure: Failure) -> float:
        log_fault(f"{self._name}: unexpected fault", failure)
        return PAUSE_AFTER_FAULT_S

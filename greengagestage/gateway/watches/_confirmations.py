"""Callers that wait for a read of the store which begins after they came."""

from typing import Any

from twisted.internet.defer import Deferred

CONFIRMATION_TIMEOUT_S = 0.5
"""Longest wait for a read that confirms a copy."""


class Confirmations:
    """Collects callers until the next read begins; one read serves all that came before it."""

    def __init__(self, *, reactor: Any) -> None:
        self._reactor = reactor
        self._waiting: list[Deferred[bool]] = []

    def __bool__(self) -> bool:
        return bool(self._waiting)

    def wait(self) -> Deferred[bool]:
        """Return a result for the next read, which is False if that takes too long."""
        waiter: Deferred[bool] = Deferred()
        waiter.addTimeout(CONFIRMATION_TIMEOUT_S, self._reactor, onTimeoutCancel=lambda *_: False)
        self._waiting.append(waiter)
        return waiter

    def take(self) -> list[Deferred[bool]]:
        """Return those that the read which begins now serves; later ones wait for the next."""
        taken, self._waiting = self._waiting, []
        return taken

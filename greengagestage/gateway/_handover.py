"""A second attempt at a request whose upstream has fallen silent."""

from collections.abc import Callable
from typing import Any

from ._attempt import Attempt

HANDOVER_S = 0.2
"""Time after which an upstream that has not refused a request is taken to run it. Refusals come at
once, and two upstreams must not work on one stream for longer than 0.4 s."""


class Handover:
    """Holds the successor, the attempt that may replace the one at a silent upstream.

    Args:
        on_accepted: Called if a sent successor has not been refused for ``HANDOVER_S``.

    Attributes:
        successor: The second attempt; None while there is none.
    """

    def __init__(self, *, reactor: Any, on_accepted: Callable[[], None]) -> None:
        self.successor: Attempt | None = None
        self._reactor = reactor
        self._on_accepted = on_accepted
        self._timer: Any = None

    def begin(self, successor: Attempt) -> None:
        """Start the second attempt."""
        self.successor = successor
        successor.start()

    def await_refusal(self) -> None:
        """Give the upstream, to which the successor is being sent, time to refuse it."""
        self._timer = self._reactor.callLater(HANDOVER_S, self._on_accepted)

    def take(self) -> Attempt | None:
        """End the handover and return the successor, if there is one."""
        if self._timer is not None and self._timer.active():
            self._timer.cancel()
        self._timer = None
        successor, self.successor = self.successor, None
        return successor

    def cancel(self) -> None:
        """End the handover and cancel the successor."""
        successor = self.take()
        if successor is not None:
            successor.cancel()

"""Closes callers' connections while the process holds more for them than it may."""

from typing import Any

from eliot import log_message
from twisted.internet.task import LoopingCall

from ._memory import MemoryAccount

CHECK_INTERVAL_S = 0.1
"""Time between two checks. Requests that arrive in between are refused while too much is held."""


class MemoryWatch:
    """Checks the account of held bytes at intervals.

    Attributes:
        closed: Number of connections that have been closed so far.
    """

    def __init__(self, *, reactor: Any, memory: MemoryAccount) -> None:
        self._memory = memory
        self._checks = LoopingCall(self._check)
        self._checks.clock = reactor
        self.closed = 0

    def start(self) -> None:
        """Begin to check."""
        self._checks.start(CHECK_INTERVAL_S, now=False)

    def stop(self) -> None:
        """Check no more."""
        if self._checks.running:
            self._checks.stop()

    def _check(self) -> None:
        chosen = self._memory.choose_excess()
        if chosen:
            self.closed += len(chosen)
            log_message(
                message_type="callers: closed for memory",
                connections=len(chosen),
                held_bytes=self._memory.held_bytes,
            )
        for holder in chosen:
            holder.shed()

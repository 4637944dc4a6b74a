"""Closes callers' connections while the host holds more for them than it may."""

from typing import Any

from eliot import log_message

from greengagestage.http1 import MemoryAccount

from ._loops import RepeatingTask

CHECK_INTERVAL_S = 0.1
"""Time between two checks. Requests that arrive in between are refused while too much is held."""


class MemoryWatch:
    """Checks the account of held bytes at intervals.

    Attributes:
        closed: Number of connections that have been closed so far.
    """

    def __init__(self, *, reactor: Any, memory: MemoryAccount) -> None:
        self._memory = memory
        self._task = RepeatingTask(reactor=reactor, name="memory", step=self._check)
        self.closed = 0

    def start(self) -> None:
        """Begin to check."""
        self._task.start(CHECK_INTERVAL_S)

    def stop(self) -> None:
        """Check no more."""
        self._task.stop()

    def _check(self) -> float:
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
        return CHECK_INTERVAL_S

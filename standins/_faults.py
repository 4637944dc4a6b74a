"""Faults that tests inject into engines and plain services."""

from enum import Enum

from msgspec import Struct


class FaultKind(Enum):
    """The kinds of faults.

    ``FREEZE`` delays every call until the fault is cleared, ``SILENT`` runs requests without
    sending output, ``CUT_AFTER`` closes the connection in the middle of an answer, ``LEAVING``
    refuses requests like an upstream that is shutting down, and ``REFUSE`` like one that accepts
    no work.
    """

    NONE = "none"
    CRASH = "crash"
    FREEZE = "freeze"
    SLOW = "slow"
    SILENT = "silent"
    CUT_AFTER = "cut_after"
    LEAVING = "leaving"
    REFUSE = "refuse"


class Fault(Struct, frozen=True, kw_only=True):
    """A fault and its parameters.

    Attributes:
        factor: Factor by which ``SLOW`` lengthens all processing.
        tokens: Output tokens (bytes for a plain service) that ``CUT_AFTER`` lets through.
        count: Number of requests that ``LEAVING``, ``REFUSE``, ``SILENT`` and ``CUT_AFTER`` affect;
            None for all.
    """

    kind: FaultKind = FaultKind.NONE
    factor: float = 1.0
    tokens: int = 0
    count: int | None = None


class ActiveFault:
    """The fault that is active in one process."""

    def __init__(self) -> None:
        self._fault = Fault()
        self._remaining: int | None = None

    def set(self, fault: Fault) -> None:
        """Replace the active fault."""
        self._fault = fault
        self._remaining = fault.count

    def is_active(self, kind: FaultKind) -> bool:
        """Return whether a fault of this kind is active."""
        return self._fault.kind is kind and self._remaining != 0

    def consume(self, kind: FaultKind) -> bool:
        """Return whether the fault affects this request; if so, count the request."""
        if not self.is_active(kind):
            return False
        if self._remaining is not None:
            self._remaining -= 1
        return True

    @property
    def slow_factor(self) -> float:
        """Factor by which processing is lengthened; 1.0 without ``SLOW``."""
        return max(1.0, self._fault.factor) if self.is_active(FaultKind.SLOW) else 1.0

    @property
    def cut_length(self) -> int:
        """Output tokens (bytes for a plain service) before the connection is closed."""
        return self._fault.tokens

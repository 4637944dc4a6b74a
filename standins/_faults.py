"""Faults that tests switch on in engines and plain services."""

from enum import Enum

from msgspec import Struct


class FaultKind(Enum):
    """What goes wrong."""

    NONE = "none"
    CRASH = "crash"
    FREEZE = "freeze"
    SLOW = "slow"
    SILENT = "silent"
    CUT_AFTER = "cut_after"
    LEAVING = "leaving"
    REFUSE = "refuse"


class Fault(Struct, frozen=True, kw_only=True):
    """A fault with its size.

    Attributes:
        factor: How many times longer everything takes under ``SLOW``.
        tokens: Output tokens (bytes for a plain service) before ``CUT_AFTER`` closes.
        count: Number of requests that ``CUT_AFTER`` and ``REFUSE`` meet; None is all.
    """

    kind: FaultKind = FaultKind.NONE
    factor: float = 1.0
    tokens: int = 0
    count: int | None = None


class FaultSwitch:
    """The fault in force in one process."""

    def __init__(self) -> None:
        self._fault = Fault()
        self._left: int | None = None

    def set(self, fault: Fault) -> None:
        """Put a fault in force, in place of the one before."""
        self._fault = fault
        self._left = fault.count

    def has(self, kind: FaultKind) -> bool:
        """Tell whether a fault of this kind is in force."""
        return self._fault.kind is kind and self._left != 0

    def take(self, kind: FaultKind) -> bool:
        """Tell whether the fault meets this request, and count the request."""
        if not self.has(kind):
            return False
        if self._left is not None:
            self._left -= 1
        return True

    @property
    def slow_factor(self) -> float:
        """How many times longer everything takes."""
        return max(1.0, self._fault.factor) if self.has(FaultKind.SLOW) else 1.0

    @property
    def cut_tokens(self) -> int:
        """Tokens before a cut."""
        return self._fault.tokens

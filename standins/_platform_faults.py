"""Faults of the platform, set separately for each of its services."""

from enum import Enum

from msgspec import Struct


class PlatformService(Enum):
    """A service of the platform."""

    TABLE = "table"
    OBJECTS = "objects"
    HOSTS = "hosts"
    WEIGHTS = "weights"


class PlatformFaultKind(Enum):
    """The kinds of faults of a service.

    ``DOWN`` closes the connection before the request is executed, ``ANSWER_LOST`` after it is
    executed, ``SLOW`` waits before executing it, and ``STALE`` answers reads from the state at
    the time when the fault was set.
    """

    NONE = "none"
    DOWN = "down"
    SLOW = "slow"
    ANSWER_LOST = "answer_lost"
    STALE = "stale"


class PlatformFault(Struct, frozen=True, kw_only=True):
    """A fault of one service; ``count`` limits it to that many requests."""

    service: PlatformService
    kind: PlatformFaultKind
    delay_ms: int = 0
    count: int | None = None


class PlatformFaults:
    """The active fault of each service."""

    def __init__(self) -> None:
        self._faults: dict[PlatformService, PlatformFault] = {}
        self._remaining: dict[PlatformService, int | None] = {}

    def set(self, fault: PlatformFault) -> None:
        """Replace the active fault of a service."""
        self._faults[fault.service] = fault
        self._remaining[fault.service] = fault.count

    def consume(self, service: PlatformService) -> PlatformFault:
        """Return the fault that affects a request, and count the request."""
        no_fault = PlatformFault(service=service, kind=PlatformFaultKind.NONE)
        remaining = self._remaining.get(service)
        if remaining == 0:
            return no_fault
        if remaining is not None:
            self._remaining[service] = remaining - 1
        return self._faults.get(service, no_fault)

"""Faults of the platform's services, each service with its own."""

from enum import Enum

from msgspec import Struct


class PlatformService(Enum):
    """A service of the platform."""

    TABLE = "table"
    OBJECTS = "objects"
    HOSTS = "hosts"
    WEIGHTS = "weights"


class PlatformFaultKind(Enum):
    """What goes wrong at a service.

    ``DOWN`` closes the connection before anything is done, ``ANSWER_LOST`` after it is done,
    ``SLOW`` waits first, and ``STALE`` reads what stood when the fault was switched on.
    """

    NONE = "none"
    DOWN = "down"
    SLOW = "slow"
    ANSWER_LOST = "answer_lost"
    STALE = "stale"


class PlatformFault(Struct, frozen=True, kw_only=True):
    """A fault; ``count`` limits it to that many requests."""

    service: PlatformService
    kind: PlatformFaultKind
    delay_ms: int = 0
    count: int | None = None


class PlatformFaults:
    """The fault in force at each service."""

    def __init__(self) -> None:
        self._faults: dict[PlatformService, PlatformFault] = {}
        self._left: dict[PlatformService, int | None] = {}

    def set(self, fault: PlatformFault) -> None:
        """Put a fault in force, in place of the service's one before."""
        self._faults[fault.service] = fault
        self._left[fault.service] = fault.count

    def take(self, service: PlatformService) -> PlatformFault:
        """Return the fault that meets a request, and count the request."""
        none = PlatformFault(service=service, kind=PlatformFaultKind.NONE)
        left = self._left.get(service)
        if left == 0:
            return none
        if left is not None:
            self._left[service] = left - 1
        return self._faults.get(service, none)

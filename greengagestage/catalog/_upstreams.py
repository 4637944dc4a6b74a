"""The entries of upstreams in the registry."""

from dataclasses import dataclass
from enum import Enum

from greengagestage.ids import FailureDomain, InstanceId, ServiceName, SoftwareVersion


class Availability(Enum):
    """Whether an upstream accepts new requests."""

    READY = "ready"
    LEAVING = "leaving"


@dataclass(frozen=True, slots=True, kw_only=True)
class RegisteredUpstream:
    """An upstream's entry in the registry.

    Hosts send these entries to each other under the names of the fields.

    Attributes:
        instance: Id under which the upstream registered.
        slots: Number of requests that it runs at once.
        started_ms: Unix time of the process's start in milliseconds; None if it is not known. A
            new value under the same instance is a new process without any cached state.
        cold_s: Remaining warm-up time, during which the upstream is slow.
        software_version: Version of its software; None if the entry does not tell. A stream that
            one version has begun cannot go on at another.
        spot: Whether it runs on a spot server, which the platform may reclaim.
        leaves_s: Time until the platform takes it away, as last stated; None if it does not.
    """

    instance: InstanceId
    service: ServiceName
    address: str
    port: int
    failure_domain: FailureDomain
    slots: int
    availability: Availability
    started_ms: int | None = None
    cold_s: float = 0.0
    software_version: SoftwareVersion | None = None
    spot: bool = False
    leaves_s: float | None = None

    @property
    def incarnation(self) -> tuple[InstanceId, int | None]:
        """Key that distinguishes the processes that have used the same instance id."""
        return (self.instance, self.started_ms)

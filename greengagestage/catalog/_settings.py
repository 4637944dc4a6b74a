"""Settings of a host."""

from dataclasses import dataclass
from enum import Enum

from greengagestage.ids import FailureDomain, HostId


class Duty(Enum):
    """A kind of calls to the platform API that one host at a time performs."""

    USAGE_REPORTING = "usage_reporting"
    AUTOSCALING = "autoscaling"


@dataclass(frozen=True, slots=True, kw_only=True)
class DutySettings:
    """The platform API, the duties that the hosts perform there, and the limits for them.

    Attributes:
        address: ``(address, port)`` of the platform API.
        duties: The duties that the platform leaves to the hosts; never empty.
        calls_per_s: Calls per second that the API accepts from all hosts together.
        lease_s: Duration of the lease of a duty.
        thaw_slack_s: A holder stops acting at least this long before the end of its lease.
        checks_fence: Whether the API refuses calls with a lower fencing token than it has seen.
        usage_window_s: Length of a usage window; windows are counted from the Unix epoch.
        usage_tolerance: Allowed fraction by which a reported count may differ from the truth.
        usage_late_s: Time after the end of a window until which its report is accepted.
    """

    address: tuple[str, int]
    duties: frozenset[Duty]
    calls_per_s: float = 10.0
    lease_s: float = 3.0
    thaw_slack_s: float = 0.3
    checks_fence: bool = False
    usage_window_s: float = 5.0
    usage_tolerance: float = 0.05
    usage_late_s: float = 10.0


@dataclass(frozen=True, slots=True, kw_only=True)
class Bounds:
    """Limits that the operators require the system to keep.

    Attributes:
        stop_grace_s: Time from the stop signal until the process is killed.
        key_revocation_s: Longest time for which a revoked key may still work; None for no limit.
        retry_ratio: Retries allowed per request, over all hosts and one window. A new attempt after
            a failed connection is not counted as a retry.
        retry_window_s: Length of the window in which retries are counted.
        retry_slack: Retries allowed in addition to the ratio, over all hosts and one window.
        cross_domain_cost_s_per_gb: Price of a gigabyte sent between failure domains, in the seconds
            for which an engine costs as much; None if requests may go to any domain.
    """

    stop_grace_s: float = 8.0
    key_revocation_s: float | None = None
    retry_ratio: float = 0.2
    retry_window_s: float = 10.0
    retry_slack: float = 50.0
    cross_domain_cost_s_per_gb: float | None = None


@dataclass(frozen=True, slots=True, kw_only=True)
class HostSettings:
    """The identity, addresses and limits of a host.

    Attributes:
        host: Id of the host.
        address: Address for messages between hosts.
        callers: ``(address, port)`` on which callers connect.
        readiness: ``(address, port)`` of the readiness check for the load balancer.
        peer_port: Port for messages between hosts over UDP, and for requests that they forward for
            each other over TCP; the same on all of them.
        store: ``(address, port)`` of the platform's store.
        memory_bytes: The memory of the machine for the process.
        max_descriptors: How many descriptors the process may open.
        first_start: Whether the whole system starts for the first time, so that no caller has a
            stream that is older than the hosts.
        duties: What the hosts do at the platform API; None if nothing.
    """

    host: HostId
    address: str
    failure_domain: FailureDomain
    callers: tuple[str, int]
    readiness: tuple[str, int]
    peer_port: int
    store: tuple[str, int]
    memory_bytes: float = 300 * 1_048_576
    max_descriptors: int = 4_100
    first_start: bool = False
    bounds: Bounds
    duties: DutySettings | None = None

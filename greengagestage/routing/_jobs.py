"""A request to be placed, and the possible results of placing it."""

from dataclasses import dataclass

from greengagestage.catalog import Prompt, RegisteredUpstream, Route
from greengagestage.ids import AttemptId, ServiceName, SoftwareVersion
from greengagestage.results import ResultCode

from ._domain_traffic import Crossing
from ._links import ForwardingHost


@dataclass(frozen=True, slots=True, kw_only=True)
class StreamOrigin:
    """The software that began a stream, which only upstreams of the same version can continue.

    Attributes:
        software_version: None if the upstream did not tell its version, like all others that do
            not.
    """

    software_version: SoftwareVersion | None


@dataclass(frozen=True, slots=True, kw_only=True)
class Job:
    """A request to be placed.

    Attributes:
        attempt_id: The id that the caller gave the request. All attempts to send the request to an
            upstream share it.
        urgency: Rank among all requests; 0 is the most urgent. It has no effect on the placement:
            it is only sent to the upstream.
        arrived_s: Monotonic time of arrival.
        deadline_s: Monotonic time after which the answer is useless. It is later than the route's
            target, after which an answer is only worth less.
        prompt: None where the request does not describe one.
        began_at: The upstreams that may continue the job's stream; None if it has not begun.
    """

    attempt_id: AttemptId
    service: ServiceName
    route: Route
    urgency: int
    arrived_s: float
    deadline_s: float
    prompt: Prompt | None = None
    began_at: StreamOrigin | None = None


@dataclass(frozen=True, slots=True, kw_only=True)
class Placement:
    """The upstream chosen for a job.

    Attributes:
        reason: Why this upstream was chosen, for the log.
        expected_s: Forecast time to the first event, or to the answer of a plain service.
        prefill_s: Forecast prefill time that the job adds on the upstream.
        requests: Number of other requests that are known to be on the upstream, from all hosts.
        tolerant_requests: Those of them that are not latency-sensitive.
        via: The host that forwards the request, since this one has no link to the upstream; None
            if it is sent directly.
        crossing: Between which domains the job is sent, and why.
    """

    upstream: RegisteredUpstream
    reason: str
    expected_s: float
    prefill_s: float = 0.0
    requests: int = 0
    tolerant_requests: int = 0
    via: ForwardingHost | None = None
    crossing: Crossing | None = None


@dataclass(frozen=True, slots=True, kw_only=True)
class Waiting:
    """The job stays on its host and should be placed again after the delay.

    Attributes:
        reason: Why the job waits, for the log.
    """

    delay_s: float
    reason: str


@dataclass(frozen=True, slots=True, kw_only=True)
class Refused:
    """The job is not sent to any upstream.

    Attributes:
        code: Result code for the caller.
        retry_after_s: When the caller should try again.
        reason: Detail for the caller and the log.
    """

    code: ResultCode
    retry_after_s: float
    reason: str

"""The policy's records of open requests and their current attempts.

Attributes in ``_s`` are points in time on the host's monotonic clock, except ``charged_s``,
``service_s`` and ``optimistic_service_s``, which are durations in seconds.
"""

from dataclasses import dataclass, field

from greengagestage.configuration import LateAnswer, ServiceClass
from greengagestage.ids import AttemptId, PoolName, RequestId, UpstreamName, WorkspaceId

from ._events import FailureKind, Request
from ._lifecycle import RequestState, check_transition

MS_PER_S = 1000.0


@dataclass(slots=True, kw_only=True, eq=False)
class Attempt:
    """One dispatch of a request to an upstream.

    Attributes:
        reserved: The slot was granted from the minimum share of the request's class.
        priority: Priority of the request's class when the attempt was sent.
        possibly_ran_before: Another attempt may have run, before this one was sent or while this
            one was held.
        charged_s: Slot-seconds charged to the minimum share of the class.
        suspect: The request's fingerprint was a suspect when the attempt was sent.
        span_start_s: Start of the span of tokens over which the time between tokens is averaged.
        span_start_tokens: Tokens received by then.
        probe: The attempt decides whether its ejected upstream is used again.
        first_token_at_s: Time of the first token, None before it.
        accepted: The upstream has begun its answer.
        silent: The upstream has sent nothing since an ``AttemptSilent``.
    """

    attempt_id: AttemptId
    upstream: UpstreamName
    sent_s: float
    possibly_ran_before: bool
    priority: int = 0
    reserved: bool = False
    charged_s: float = 0.0
    suspect: bool = False
    probe: bool = False
    accepted: bool = False
    silent: bool = False
    first_token_at_s: float | None = None
    tokens: int = 0
    span_start_s: float = 0.0
    span_start_tokens: int = 0


@dataclass(slots=True, kw_only=True, eq=False)
class RequestRecord:
    """An open request.

    Attributes:
        sequence: Order of arrival at this host.
        due_s: Time by which the answer should be complete.
        attempt: The current attempt, None while the request is queued.
        held: An earlier attempt at a silent upstream, kept until a later one begins to answer.
        possibly_ran: An attempt was sent and nothing proves that it did not run.
        has_unused_retry: A retry was withdrawn from the budget, and its attempt is not sent yet.
        attempts_sent: Number of attempts dispatched.
        refused_by: The upstreams among those tried whose last attempt certainly did not run: it
            was refused, or it was not sent, for example because the connection failed.
        tokens: Output tokens delivered to the caller by all attempts.
        claim_attempt_id: The attempt id under which the claim was made.
        claimed: The claims store granted the right to run the request.
        caller_left: The caller disconnected; the run continues so that its answer can be stored.
        cached_upstream: The upstream that probably still caches the request's computed tokens.
        cached_until_s: Time until which the request waits for that upstream.
        service_s: Expected time in a slot (median output length).
        optimistic_service_s: Expected time in a slot for a short answer (lower quartile).
        queued_s: Time at which the request was last queued.
        late: A review has found less time left before a target than the expected time multiplied
            by ``LATE_MARGIN``. The request may still be on time, but from then on it is queued
            behind the requests of its class that are not late.
        preemptor_priority: The priority under which the request is listed as a preemptor.
        eligible_s: Time from which a deferred request (a suspect, or one that its caller will
            probably abandon) is considered again.
    """

    request: Request
    service_class: ServiceClass
    weight: float
    sequence: int
    arrived_s: float
    due_s: float
    state: RequestState = RequestState.RECEIVED
    attempt: Attempt | None = None
    held: Attempt | None = None
    tried: list[UpstreamName] = field(default_factory=list)
    refused_by: list[UpstreamName] = field(default_factory=list)
    has_unused_retry: bool = False
    attempts_sent: int = 0
    tokens: int = 0
    possibly_ran: bool = False
    last_failure: FailureKind | None = None
    claim_attempt_id: AttemptId | None = None
    claimed: bool = False
    caller_left: bool = False
    preemptions: int = 0
    cached_upstream: UpstreamName | None = None
    cached_until_s: float = 0.0
    service_s: float = 0.0
    optimistic_service_s: float = 0.0
    queued_s: float = 0.0
    late: bool = False
    eligible_s: float = 0.0
    preemptor_priority: int = 0

    @property
    def request_id(self) -> RequestId:
        """The request's id."""
        return self.request.request_id

    @property
    def attempts(self) -> list[Attempt]:
        """The attempts that occupy a slot: the current one and the one that is held."""
        return [attempt for attempt in (self.attempt, self.held) if attempt is not None]

    @property
    def workspace(self) -> WorkspaceId:
        """The workspace that the request belongs to."""
        return self.request.workspace

    @property
    def pool(self) -> PoolName:
        """The pool that serves the request."""
        return self.request.pool

    @property
    def priority(self) -> int:
        """The priority of the request's class; 0 is the highest."""
        return self.service_class.priority

    @property
    def first_token_due_s(self) -> float:
        """Time by which the first token should arrive."""
        return self.arrived_s + self.service_class.first_token_target_ms / MS_PER_S

    @property
    def late_is_useless(self) -> bool:
        """Whether the answer is worth nothing after its due time."""
        return self.service_class.late_answer is LateAnswer.USELESS

    def transition_to(self, target: RequestState) -> None:
        """Change the state; raise ``InvalidTransitionError`` if the transition is not allowed."""
        check_transition(source=self.state, target=target)
        self.state = target

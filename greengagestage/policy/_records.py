"""What the policy remembers of an open request and of its current attempt."""

from dataclasses import dataclass, field

from greengagestage.configuration import LateAnswer, ServiceClass
from greengagestage.ids import AttemptId, PoolName, RequestId, UpstreamName, WorkspaceId

from ._events import FailureKind, Request
from ._lifecycle import RequestState, check_transition

MS_PER_S = 1000.0


@dataclass(slots=True, kw_only=True, eq=False)
class Attempt:
    """One sending of a request to an upstream.

    Attributes:
        reserved: The slot came from the minimum share of the request's class.
        priority: Priority of the request's class when the attempt was sent.
        ran_before: An earlier attempt had possibly run when this one was sent.
        charged_s: Slot-seconds charged to the minimum share.
        suspect: The request was present at a crash before.
        marked_s: Time of the last measurement of its speed, after ``marked_tokens`` tokens.
        probe: The attempt decides whether its upstream is taken back into use.
    """

    attempt_id: AttemptId
    upstream: UpstreamName
    sent_s: float
    ran_before: bool
    priority: int = 0
    reserved: bool = False
    charged_s: float = 0.0
    suspect: bool = False
    probe: bool = False
    first_token_s: float | None = None
    tokens: int = 0
    interval_start_s: float = 0.0
    interval_start_tokens: int = 0


@dataclass(slots=True, kw_only=True, eq=False)
class RequestRecord:
    """An open request.

    Attributes:
        sequence: Order of arrival at this host.
        due_s: Time by which the answer should be whole.
        possibly_ran: An attempt was sent and nothing proves that it did not start.
        attempts_sent: Number of attempts dispatched.
        refused_by: The upstreams among those tried that refused without starting.
        tokens: Output tokens passed on to the caller by all attempts.
        claim_attempt_id: The attempt id under which the claim was asked for.
        claimed: The claims store granted the right to run the request.
        caller_left: The caller is gone; the run goes on so that its answer can be stored.
        cached_at: The upstream that probably still caches what was computed of the request.
        cached_until_s: Time until which the request waits for that upstream.
        service_s: Expected time in a slot.
        hopeful_s: The same if the answer is among the shorter ones.
        queued_s: Time at which the request was queued the last time.
        late: The answer can no longer be whole by its due time.
        urgency: The priority under which the request is listed as impatient.
        turn_s: Time from which a suspect may run.
    """

    request: Request
    service_class: ServiceClass
    weight: float
    sequence: int
    arrived_s: float
    due_s: float
    state: RequestState = RequestState.RECEIVED
    attempt: Attempt | None = None
    tried: list[UpstreamName] = field(default_factory=list)
    refused_by: list[UpstreamName] = field(default_factory=list)
    attempts_sent: int = 0
    tokens: int = 0
    possibly_ran: bool = False
    last_failure: FailureKind | None = None
    claim_attempt_id: AttemptId | None = None
    claimed: bool = False
    caller_left: bool = False
    preemptions: int = 0
    cached_at: UpstreamName | None = None
    cached_until_s: float = 0.0
    service_s: float = 0.0
    optimistic_service_s: float = 0.0
    queued_s: float = 0.0
    late: bool = False
    turn_s: float = 0.0
    urgency: int = 0

    @property
    def request_id(self) -> RequestId:
        """The request's id."""
        return self.request.request_id

    @property
    def workspace(self) -> WorkspaceId:
        """The workspace that sent the request."""
        return self.request.workspace

    @property
    def pool(self) -> PoolName:
        """The pool that serves the request."""
        return self.request.pool

    @property
    def priority(self) -> int:
        """The priority of the request's class, 0 the highest."""
        return self.service_class.priority

    @property
    def first_token_due_s(self) -> float:
        """Time by which the first token should come."""
        return self.arrived_s + self.service_class.first_token_target_ms / MS_PER_S

    @property
    def late_is_useless(self) -> bool:
        """Whether the answer is worth nothing after its due time."""
        return self.service_class.late_answer is LateAnswer.USELESS

    def move(self, target: RequestState) -> None:
        """Move to another state, which the table of transitions must allow."""
        check_transition(source=self.state, target=target)
        self.state = target

"""Reference model that checks every action of the policy against its guarantees."""

from dataclasses import dataclass, field

from greengagestage.ids import AttemptId, Fingerprint, RequestId, UpstreamName
from greengagestage.policy import (
    AcquireClaim,
    Action,
    CancelAttempt,
    CancelReason,
    Deliver,
    Dispatch,
    FailureKind,
    QuarantineFingerprint,
    Reject,
    ReleaseClaim,
    ReplayAnswer,
    Request,
)
from greengagestage.policy._estimates import MAXIMUM_RETRY_AFTER_S
from greengagestage.results import CODE_DETAILS, ResultCode, RunVerdict
from tests.policy_builders import TIERS

CAPACITY_CODES = (ResultCode.QUEUE_FULL, ResultCode.SHED)
PREEMPTIONS_LIMIT = 1


@dataclass
class RequestModel:
    """The expected state of one request.

    Attributes:
        claim: "none", "asked", "given up" or the value of a ``ClaimOutcome``.
        possibly_ran: An attempt ended without proof that it did not run.
        failed_upstreams: Upstreams where an attempt failed that may have run.
    """

    request: Request
    claim: str = "none"
    attempts: list[AttemptId] = field(default_factory=list)
    running: AttemptId | None = None
    upstream: UpstreamName | None = None
    accepted: bool = False
    started: bool = False
    possibly_ran: bool = False
    failed_upstreams: set[UpstreamName] = field(default_factory=set)
    tokens: int = 0
    preemptions: int = 0
    final: Action | None = None

    @property
    def tier(self) -> int:
        return TIERS.index(self.request.service_class)

    @property
    def is_waiting(self) -> bool:
        claimed = self.request.idempotent or self.claim == "granted"
        return self.final is None and self.running is None and claimed


class Oracle:
    """Tracks every request and asserts the guarantees on each action.

    Attributes:
        usable: Slots of the upstreams that may receive work.
        reserved: Attempts on slots of a minimum share, which are never preempted.
        healthy: Upstreams that the policy considers in use.
        shared_fingerprints: Fingerprints that several requests of the test have.
    """

    def __init__(self) -> None:
        self.models: dict[RequestId, RequestModel] = {}
        self.by_attempt: dict[AttemptId, RequestModel] = {}
        self.quarantined: set[Fingerprint] = set()
        self.usable: dict[UpstreamName, int] = {}
        self.reserved: set[AttemptId] = set()
        self.healthy: set[UpstreamName] = set()
        self.shared_fingerprints: set[Fingerprint] = set()

    def arrive(self, request: Request) -> None:
        self.models[request.request_id] = RequestModel(request=request)

    def in_flight(self, upstream: UpstreamName) -> list[RequestModel]:
        return [m for m in self.models.values() if m.running and m.upstream == upstream]

    def end_attempt(self, model: RequestModel, kind: FailureKind | None) -> None:
        """Record how the current attempt ended; None means a complete answer."""
        not_started = kind in (FailureKind.NOT_SENT, FailureKind.REFUSED) and not model.accepted
        model.possibly_ran = model.possibly_ran or not not_started
        if kind is not None and not not_started and model.upstream:
            model.failed_upstreams.add(model.upstream)
        model.running = None

    def check(self, actions: list[Action]) -> None:
        for action in actions:
            match action:
                case Dispatch():
                    self._check_dispatch(action)
                case CancelAttempt():
                    self._check_cancel(action)
                case Deliver() | ReplayAnswer() | Reject():
                    self._check_final(action)
                case AcquireClaim():
                    model = self.models[action.request_id]
                    assert not model.request.idempotent and model.claim == "none"
                    model.claim = "asked"
                case ReleaseClaim():
                    model = self.models[action.request_id]
                    assert model.claim == "granted" and not model.possibly_ran and not model.running
                    model.claim = "given up"
                case QuarantineFingerprint():
                    self.quarantined.add(action.fingerprint)

    def _check_dispatch(self, action: Dispatch) -> None:
        model = self.models[action.request_id]
        assert model.final is None and model.running is None
        assert action.attempt_id not in self.by_attempt
        assert action.resume_tokens == model.tokens
        assert action.upstream in self.usable, "leaving, gone or draining"
        assert len(self.in_flight(action.upstream)) < self.usable[action.upstream]
        assert action.upstream not in model.failed_upstreams
        assert model.request.fingerprint not in self.quarantined
        if not model.request.idempotent:
            assert model.claim == "granted" and not model.possibly_ran
        model.running, model.upstream = action.attempt_id, action.upstream
        model.accepted = False
        model.attempts.append(action.attempt_id)
        self.by_attempt[action.attempt_id] = model

    def _check_cancel(self, action: CancelAttempt) -> None:
        model = self.by_attempt[action.attempt_id]
        assert model.running == action.attempt_id
        if action.reason is not CancelReason.QUARANTINED:
            assert model.request.idempotent, "a non-idempotent run must continue to its end"
        if action.reason is CancelReason.PREEMPTED:
            assert model.tier > 0
            model.preemptions += 1
            assert model.preemptions <= PREEMPTIONS_LIMIT
            self._check_lowest_victim(model)
        model.possibly_ran = True
        model.running = None

    def _check_lowest_victim(self, victim: RequestModel) -> None:
        assert victim.upstream is not None
        for other in self.in_flight(victim.upstream):
            lower = other.tier > victim.tier
            may_be_preempted = other.request.idempotent and other.preemptions < PREEMPTIONS_LIMIT
            assert not (lower and may_be_preempted and other.running not in self.reserved)

    def _check_final(self, action: Deliver | ReplayAnswer | Reject) -> None:
        model = self.models[action.request_id]
        assert model.final is None, "a second final answer"
        model.final = action
        if not isinstance(action, Reject):
            return
        assert model.running is None, "rejected while one of its attempts is current"
        verdict = CODE_DETAILS[action.code].verdict
        if verdict is RunVerdict.NOT_RUN:
            assert not model.possibly_ran, "refused as not run without evidence"
            assert (
                model.claim != "granted"
            ), "the claim of a request that did not run must be released"
        if action.code in CAPACITY_CODES:
            self._check_no_lower_class_waits(model)
        if action.code is ResultCode.TARGET_UNREACHABLE:
            self._check_no_slot_preemptible(model)
        if action.retry_after_s is not None:
            assert 0.0 < action.retry_after_s <= MAXIMUM_RETRY_AFTER_S

    def _check_no_slot_preemptible(self, refused: RequestModel) -> None:
        """Assert that every preemptible slot is needed by another waiting request."""
        if refused.failed_upstreams or refused.request.fingerprint in self.shared_fingerprints:
            return
        competitors = [m for m in self.models.values() if m.is_waiting and m.tier <= refused.tier]
        preemptible = [
            running.request.request_id
            for upstream in sorted(self.healthy)
            if len(self.in_flight(upstream)) <= self.usable.get(upstream, 0)
            for running in self.in_flight(upstream)
            if running.tier > refused.tier
            and running.request.idempotent
            and running.preemptions < PREEMPTIONS_LIMIT
            and running.running not in self.reserved
        ]
        assert len(preemptible) <= len(competitors), f"{preemptible} could have been preempted"

    def _check_no_lower_class_waits(self, refused: RequestModel) -> None:
        """Assert that no request of a lower class could have been shed instead.

        The last waiting request of a class is never shed: it is left its minimum share.
        """
        for tier in range(refused.tier + 1, len(TIERS)):
            waiting = [m for m in self.models.values() if m.tier == tier and m.is_waiting]
            unsent = [m.request.request_id for m in waiting if not m.attempts]
            assert len(waiting) < 2 or not unsent, f"{unsent} could have been shed"

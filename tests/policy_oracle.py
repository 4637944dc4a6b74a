"""A plain model of the promises, checked against every action of the policy."""

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
from greengagestage.results import CODE_DETAILS, ResultCode, RunVerdict
from tests.policy_builders import TIERS

ROOM_CODES = (ResultCode.QUEUE_FULL, ResultCode.SHED)
PREEMPTIONS_LIMIT = 1


@dataclass
class Model:
    request: Request
    claim: str = "none"
    attempts: list[AttemptId] = field(default_factory=list)
    running: AttemptId | None = None
    upstream: UpstreamName | None = None
    accepted: bool = False
    started: bool = False
    unsure: bool = False
    burnt: set[UpstreamName] = field(default_factory=set)
    tokens: int = 0
    preemptions: int = 0
    final: Action | None = None

    @property
    def tier(self) -> int:
        return TIERS.index(self.request.service_class)

    @property
    def waits(self) -> bool:
        claimed = self.request.idempotent or self.claim == "granted"
        return self.final is None and self.running is None and claimed


class Oracle:
    """Keeps the model and asserts the promises."""

    def __init__(self) -> None:
        self.models: dict[RequestId, Model] = {}
        self.by_attempt: dict[AttemptId, Model] = {}
        self.quarantined: set[Fingerprint] = set()
        self.usable: dict[UpstreamName, int] = {}
        self.reserved: set[AttemptId] = set()
        self.healthy: set[UpstreamName] = set()
        self.shared: set[Fingerprint] = set()

    def arrive(self, request: Request) -> None:
        self.models[request.request_id] = Model(request=request)

    def in_flight(self, upstream: UpstreamName) -> list[Model]:
        return [m for m in self.models.values() if m.running and m.upstream == upstream]

    def end_attempt(self, model: Model, kind: FailureKind | None) -> None:
        """Note how the current attempt ended, None for a proper end."""
        not_started = kind in (FailureKind.NOT_SENT, FailureKind.REFUSED) and not model.accepted
        model.unsure = model.unsure or not not_started
        if kind is not None and not not_started and model.upstream:
            model.burnt.add(model.upstream)
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
                    assert model.claim == "granted" and not model.unsure and not model.running
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
        assert action.upstream not in model.burnt
        assert model.request.fingerprint not in self.quarantined
        if not model.request.idempotent:
            assert model.claim == "granted" and not model.unsure
        model.running, model.upstream = action.attempt_id, action.upstream
        model.accepted = False
        model.attempts.append(action.attempt_id)
        self.by_attempt[action.attempt_id] = model

    def _check_cancel(self, action: CancelAttempt) -> None:
        model = self.by_attempt[action.attempt_id]
        assert model.running == action.attempt_id
        if action.reason is not CancelReason.QUARANTINED:
            assert model.request.idempotent, "a non-idempotent run goes on to its end"
        if action.reason is CancelReason.PREEMPTED:
            assert model.tier > 0
            model.preemptions += 1
            assert model.preemptions <= PREEMPTIONS_LIMIT
            self._check_lowest_victim(model)
        model.unsure = True
        model.running = None

    def _check_lowest_victim(self, victim: Model) -> None:
        assert victim.upstream is not None
        for other in self.in_flight(victim.upstream):
            lower = other.tier > victim.tier
            free = other.request.idempotent and other.preemptions < PREEMPTIONS_LIMIT
            assert not (lower and free and other.running not in self.reserved)

    def _check_final(self, action: Deliver | ReplayAnswer | Reject) -> None:
        model = self.models[action.request_id]
        assert model.final is None, "a second verdict"
        model.final = action
        if not isinstance(action, Reject):
            return
        assert model.running is None, "given up while an attempt of it is current"
        verdict = CODE_DETAILS[action.code].verdict
        if verdict is RunVerdict.NOT_RUN:
            assert not model.unsure, "refused as not run without evidence"
            assert model.claim != "granted", "the claim of what did not run must be given up"
        if action.code in ROOM_CODES:
            self._check_nothing_lower_waits(model)
        if action.code is ResultCode.TARGET_UNREACHABLE:
            self._check_no_slot_could_be_taken(model)
        if action.retry_after_s is not None:
            assert 0.0 < action.retry_after_s <= 90.0

    def _check_no_slot_could_be_taken(self, refused: Model) -> None:
        """Every slot that could be preempted is needed by another request that waits."""
        if refused.burnt or refused.request.fingerprint in self.shared:
            return
        rivals = [m for m in self.models.values() if m.waits and m.tier <= refused.tier]
        takeable = [
            running.request.request_id
            for upstream in sorted(self.healthy)
            if len(self.in_flight(upstream)) <= self.usable.get(upstream, 0)
            for running in self.in_flight(upstream)
            if running.tier > refused.tier
            and running.request.idempotent
            and running.preemptions < PREEMPTIONS_LIMIT
            and running.running not in self.reserved
        ]
        assert len(takeable) <= len(rivals), f"{takeable} could have given up a slot"

    def _check_nothing_lower_waits(self, refused: Model) -> None:
        """The last waiting request of a class has its minimum share and is not given up."""
        for tier in range(refused.tier + 1, len(TIERS)):
            waiting = [m for m in self.models.values() if m.tier == tier and m.waits]
            unsent = [m.request.request_id for m in waiting if not m.attempts]
            assert len(waiting) < 2 or not unsent, f"{unsent} could have made room"

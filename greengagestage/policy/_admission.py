"""The admission of arriving requests."""

from greengagestage.ids import AttemptId
from greengagestage.results import ResultCode

from ._actions import AskClaim, GiveUpClaim, Reject, ReplayAnswer
from ._events import ClaimOutcome, Request
from ._lifecycle import RequestState
from ._records import MS_PER_S, RequestRecord
from ._state import PolicyState

NOT_READY_RETRY_S = 2.0
STOPPING_RETRY_S = 1.0
QUEUE_FULL_RETRY_S = 1.0
NO_UPSTREAM_RETRY_S = 5.0
CLAIM_RETRY_S = 2.0
STILL_RUNNING_RETRY_S = 2.0

CLAIM_REFUSALS: dict[ClaimOutcome, tuple[ResultCode, float | None]] = {
    ClaimOutcome.RUNNING: (ResultCode.STILL_RUNNING, STILL_RUNNING_RETRY_S),
    ClaimOutcome.RUN_UNKNOWN: (ResultCode.EARLIER_RUN_UNKNOWN, None),
    ClaimOutcome.KEY_REUSED: (ResultCode.IDEMPOTENCY_KEY_REUSED, None),
    ClaimOutcome.UNAVAILABLE: (ResultCode.CLAIM_STORE_UNAVAILABLE, CLAIM_RETRY_S),
    ClaimOutcome.OVER_BUDGET: (ResultCode.CLAIM_BUDGET_SPENT, CLAIM_RETRY_S),
}


class Admission:
    """Decides whether a request is queued."""

    def __init__(self, *, state: PolicyState) -> None:
        self._state = state
        self._sequence = 0

    def admit(self, request: Request) -> None:
        """Queue a request, ask for its claim, or refuse it at once."""
        if request.request_id in self._state.records:
            return
        service_class = self._state.classes.get(request.service_class)
        if service_class is None:
            self._refuse_unknown_class(request)
            return
        record = self._open(request)
        self._state.records[request.request_id] = record
        if not self._check_entry(record):
            return
        if request.idempotent:
            self._queue(record)
        else:
            self._ask_claim(record)

    def settle_claim(self, record: RequestRecord, outcome: ClaimOutcome) -> None:
        """Go on with a request whose claim was answered."""
        if record.state is not RequestState.CLAIMING:
            return
        self._state.note(record, f"claim: {outcome.value}")
        if outcome is ClaimOutcome.GRANTED:
            record.claimed = True
            self._queue(record)
        elif outcome is ClaimOutcome.ANSWERED:
            record.move(RequestState.REPLAYED)
            self._state.emit(ReplayAnswer(request_id=record.request_id))
            self._state.forget(record)
        else:
            code, retry_after_s = CLAIM_REFUSALS[outcome]
            self._state.reject(record, code, retry_after_s)

    def settle_orphan_claim(self, request_id: str, outcome: ClaimOutcome) -> None:
        """Give up a claim that was granted after its caller had left."""
        for known, attempt_id in list(self._state.orphan_claims.items()):
            if known == request_id:
                del self._state.orphan_claims[known]
                if outcome is ClaimOutcome.GRANTED:
                    self._state.emit(GiveUpClaim(request_id=known, attempt_id=attempt_id))

    def _open(self, request: Request) -> RequestRecord:
        service_class = self._state.classes[request.service_class]
        workspace = self._state.workspaces.get(request.workspace)
        self._sequence += 1
        due_s = self._state.now_s + service_class.answer_target_ms / MS_PER_S
        if request.deadline_s is not None:
            due_s = min(due_s, request.deadline_s)
        return RequestRecord(
            request=request,
            service_class=service_class,
            weight=workspace.weight if workspace else 1.0,
            sequence=self._sequence,
            arrived_s=self._state.now_s,
            due_s=due_s,
        )

    def _refuse_unknown_class(self, request: Request) -> None:
        ready = self._state.declaration is not None
        self._state.emit(
            Reject(
                request_id=request.request_id,
                code=ResultCode.UNKNOWN_CLASS if ready else ResultCode.NOT_READY,
                retry_after_s=None if ready else NOT_READY_RETRY_S,
            )
        )

    def _check_entry(self, record: RequestRecord) -> bool:
        """Refuse what can be refused before anything else is known of the request."""
        state = self._state
        if state.stopping:
            state.reject(record, ResultCode.STOPPING, STOPPING_RETRY_S)
        elif record.request.fingerprint in state.quarantined:
            state.reject(record, ResultCode.QUARANTINED)
        else:
            return True
        return False

    def _ask_claim(self, record: RequestRecord) -> None:
        request = record.request
        if request.idempotency_key is None:
            self._state.reject(record, ResultCode.IDEMPOTENCY_KEY_REQUIRED)
            return
        record.move(RequestState.CLAIMING)
        record.claim_attempt_id = AttemptId(f"{request.request_id}.0")
        self._state.emit(
            AskClaim(
                request_id=request.request_id,
                attempt_id=record.claim_attempt_id,
                workspace=request.workspace,
                idempotency_key=request.idempotency_key,
                fingerprint=request.fingerprint,
            )
        )

    def _queue(self, record: RequestRecord) -> None:
        state = self._state
        if not state.upstreams.has_live(record.pool):
            state.reject(record, ResultCode.NO_UPSTREAM, NO_UPSTREAM_RETRY_S)
            return
        queue = state.find_queue(record.pool)
        if queue.count(record.service_class.name) >= record.service_class.queue_limit:
            victim = queue.find_victim(record.priority)
            if victim is None:
                state.reject(record, ResultCode.QUEUE_FULL, QUEUE_FULL_RETRY_S)
                return
            state.reject(victim, ResultCode.SHED, QUEUE_FULL_RETRY_S)
        state.enqueue(record)

"""What becomes of a request when its attempt goes on, ends, or is no longer wanted."""

from greengagestage.ids import AttemptId
from greengagestage.results import ResultCode

from ._actions import CancelAttempt, CancelReason, Deliver
from ._events import AttemptFailed, FailureKind
from ._lifecycle import RequestState
from ._measurements import Measurements
from ._quarantine import Quarantine
from ._records import Attempt, RequestRecord
from ._reviews import find_end, schedule_review, suggest_return
from ._routing import Router
from ._state import PolicyState, is_not_run
from ._verdicts import FAILURE_CODES

ATTEMPTS_LIMIT = 6
NOT_STARTED = (FailureKind.NOT_SENT, FailureKind.REFUSED)
RESUMED_FREE_OF_CHARGE = (FailureKind.LOST, FailureKind.INCOMPLETE)


class Outcomes:
    """Follows attempts to their end."""

    def __init__(
        self,
        *,
        state: PolicyState,
        router: Router,
        quarantine: Quarantine,
        measurements: Measurements,
    ) -> None:
        self._state = state
        self._router = router
        self._quarantine = quarantine
        self._measurements = measurements

    def accept(self, record: RequestRecord) -> None:
        """Note that the upstream began its answer."""
        if record.state is RequestState.DISPATCHED:
            record.move(RequestState.STREAMING)

    def progress(self, record: RequestRecord, attempt: Attempt, tokens: int) -> None:
        """Count tokens that were passed on to the caller."""
        self.accept(record)
        record.tokens += tokens
        self._measurements.note_progress(record, attempt, tokens)

    def finish(self, record: RequestRecord, attempt: Attempt) -> None:
        """End a request whose answer is whole."""
        self._measurements.note_finish(record, attempt)
        self._state.crashes.clear_suspect(record.request.fingerprint)
        age_s = self._state.now_s - record.arrived_s
        self._state.departures.note_stayed(record.service_class.name, age_s)
        record.move(RequestState.DELIVERED)
        self._state.log_decision(record, f"delivered after {record.tokens} tokens")
        self._state.emit(Deliver(request_id=record.request_id))
        self._state.forget(record)

    def fail(self, record: RequestRecord, attempt: Attempt, event: AttemptFailed) -> None:
        """Try a request elsewhere after its attempt failed, or give it up."""
        kind = _find_kind(record, event)
        earlier, record.last_failure = record.last_failure, kind
        self._state.log_decision(record, f"attempt at {attempt.upstream} failed: {kind.value}")
        if kind in NOT_STARTED:
            record.possibly_ran = attempt.ran_before
            record.refused_by.append(attempt.upstream)
        else:
            record.refused_by = [u for u in record.refused_by if u != attempt.upstream]
        self._measurements.note_failure(record, attempt, event)
        self._state.release_attempt(record)
        if kind is FailureKind.LOST and self._quarantine.handle_lost_attempt(
            record, attempt.upstream
        ):
            return
        code = self._find_obstacle(record, event, earlier)
        if code is None:
            self._state.enqueue(record)
            self._state.get_pool(record.pool).add_impatient(record)
            schedule_review(self._state, record)
        else:
            self._give_up(record, code)

    def leave(self, record: RequestRecord) -> None:
        """Stop work for a caller that closed its connection."""
        state = self._state
        state.departures.note_left(record.service_class.name, state.now_s - record.arrived_s)
        if record.attempt is not None and not record.request.idempotent:
            record.caller_left = True
            state.log_decision(
                record, "caller left; the run goes on so that its answer can be stored"
            )
            return
        if record.attempt is not None:
            state.emit(
                CancelAttempt(attempt_id=record.attempt.attempt_id, reason=CancelReason.CALLER_LEFT)
            )
        if record.state is RequestState.CLAIMING and record.claim_attempt_id is not None:
            state.orphan_claims[record.request_id] = record.claim_attempt_id
        state.reject(record, ResultCode.CALLER_LEFT)

    def review_prospects(self) -> None:
        """Give up waiting requests that no upstream may run any more."""
        for record in list(self._state.records.values()):
            if record.state is RequestState.QUEUED and not self._router.has_prospect(record):
                self._give_up(record, ResultCode.NO_UPSTREAM)

    def _give_up(self, record: RequestRecord, code: ResultCode) -> None:
        helps = is_not_run(code) or record.request.idempotent
        self._state.reject(record, code, suggest_return(self._state, record) if helps else None)

    def _find_obstacle(
        self, record: RequestRecord, event: AttemptFailed, earlier: FailureKind | None
    ) -> ResultCode | None:
        """Return why a request cannot be tried again, or None if it can."""
        state = self._state
        kind = record.last_failure or event.kind
        started = kind not in NOT_STARTED
        if started and not (record.request.idempotent and event.resumable):
            return FAILURE_CODES[kind]
        if kind is FailureKind.ERROR and earlier is FailureKind.ERROR:
            return ResultCode.UPSTREAM_ERROR
        if record.caller_left:
            return ResultCode.CALLER_LEFT
        if state.crashes.is_quarantined(record.request.fingerprint):
            return ResultCode.QUARANTINED
        end_s = find_end(record)
        if end_s is not None and end_s <= state.now_s:
            return ResultCode.DEADLINE_PASSED
        if record.attempts_sent >= ATTEMPTS_LIMIT or not self._router.has_prospect(record):
            return FAILURE_CODES.get(kind, ResultCode.UPSTREAM_REFUSED)
        free = kind in NOT_STARTED or (kind in RESUMED_FREE_OF_CHARGE and earlier is None)
        if not free and not state.retries.try_withdraw(record.service_class, state.now_s):
            return ResultCode.RETRY_BUDGET_SPENT
        return None


def _find_kind(record: RequestRecord, event: AttemptFailed) -> FailureKind:
    """Return how an attempt failed; one that had begun cannot be said not to have started."""
    if record.state is RequestState.STREAMING and event.kind in NOT_STARTED:
        return FailureKind.INCOMPLETE
    return event.kind


def find_current(state: PolicyState, attempt_id: AttemptId) -> tuple[RequestRecord, Attempt] | None:
    """Return the request whose current attempt has this id; others are ignored."""
    record = state.attempts.get(attempt_id)
    if record is None or record.attempt is None or record.attempt.attempt_id != attempt_id:
        return None
    return record, record.attempt

"""Handling of attempt progress, completion and failure, and of callers that disconnect."""

from greengagestage.ids import AttemptId
from greengagestage.results import ResultCode

from ._actions import CancelAttempt, CancelReason, Deliver
from ._events import AttemptFailed, FailureKind
from ._lifecycle import RequestState
from ._measurements import Measurements
from ._quarantine import Quarantine
from ._records import Attempt, RequestRecord
from ._reviews import find_expiry, schedule_review, suggest_retry_after
from ._routing import Router
from ._state import PolicyState, is_not_run
from ._verdicts import FAILURE_CODES

ATTEMPTS_LIMIT = 6  # per request
NOT_STARTED = (FailureKind.NOT_SENT, FailureKind.REFUSED)
RETRIED_WITHOUT_BUDGET = (FailureKind.LOST, FailureKind.INCOMPLETE)  # at the first failure only


class OutcomeHandler:
    """Updates requests as their attempts progress and end."""

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
        """Record that the upstream began its answer."""
        if record.state is RequestState.DISPATCHED:
            record.transition_to(RequestState.STREAMING)

    def progress(self, record: RequestRecord, attempt: Attempt, tokens: int) -> None:
        """Count tokens that were delivered to the caller."""
        self.accept(record)
        record.tokens += tokens
        self._measurements.note_progress(record, attempt, tokens)

    def finish(self, record: RequestRecord, attempt: Attempt) -> None:
        """End a request whose answer is complete."""
        self._measurements.note_finish(record, attempt)
        self._state.crashes.clear_suspect(record.request.fingerprint)
        age_s = self._state.now_s - record.arrived_s
        self._state.departures.note_stayed(record.service_class.name, age_s)
        record.transition_to(RequestState.DELIVERED)
        self._state.log_decision(record, f"delivered after {record.tokens} tokens")
        self._state.emit(Deliver(request_id=record.request_id))
        self._state.forget(record)

    def fail(self, record: RequestRecord, attempt: Attempt, event: AttemptFailed) -> None:
        """Queue a request again after its attempt failed, or reject it."""
        kind = _find_kind(record, event)
        earlier_failure, record.last_failure = record.last_failure, kind
        self._state.log_decision(record, f"attempt at {attempt.upstream} failed: {kind.value}")
        if kind in NOT_STARTED:
            record.possibly_ran = attempt.possibly_ran_before
            record.refused_by.append(attempt.upstream)
        else:
            record.refused_by = [u for u in record.refused_by if u != attempt.upstream]
        self._measurements.note_failure(record, attempt, event)
        self._state.release_attempt(record)
        if kind is FailureKind.LOST and self._quarantine.handle_lost_attempt(
            record, attempt.upstream
        ):
            return
        code = self._authorize_retry(record, event, earlier_failure)
        if code is None:
            self._state.enqueue(record)
            self._state.get_pool(record.pool).add_preemptor(record)
            schedule_review(self._state, record)
        else:
            self._reject(record, code)

    def handle_caller_left(self, record: RequestRecord) -> None:
        """Cancel the work for a caller that disconnected, unless its answer has to be stored."""
        state = self._state
        state.departures.note_left(record.service_class.name, state.now_s - record.arrived_s)
        if record.attempt is not None and not record.request.idempotent:
            record.caller_left = True
            state.log_decision(
                record, "caller left; the run continues so that its answer can be stored"
            )
            return
        if record.attempt is not None:
            state.emit(
                CancelAttempt(attempt_id=record.attempt.attempt_id, reason=CancelReason.CALLER_LEFT)
            )
        if record.state is RequestState.CLAIMING and record.claim_attempt_id is not None:
            state.orphan_claims[record.request_id] = record.claim_attempt_id
        state.reject(record, ResultCode.CALLER_LEFT)

    def reject_unservable(self) -> None:
        """Reject queued requests that no upstream can run any more."""
        for record in list(self._state.records.values()):
            if record.state is RequestState.QUEUED and not self._router.has_eligible_upstream(
                record
            ):
                self._reject(record, ResultCode.NO_UPSTREAM)

    def _reject(self, record: RequestRecord, code: ResultCode) -> None:
        retry_helps = is_not_run(code) or record.request.idempotent
        self._state.reject(
            record, code, suggest_retry_after(self._state, record) if retry_helps else None
        )

    def _authorize_retry(
        self, record: RequestRecord, event: AttemptFailed, earlier_failure: FailureKind | None
    ) -> ResultCode | None:
        """Return None if a request may be tried again, or the code to reject it with.

        Withdraws one retry from the budget of the request's class, unless the failure is exempt.
        """
        state = self._state
        kind = record.last_failure or event.kind
        started = kind not in NOT_STARTED
        if started and not (record.request.idempotent and event.resumable):
            return FAILURE_CODES[kind]
        if kind is FailureKind.ERROR and earlier_failure is FailureKind.ERROR:
            return ResultCode.UPSTREAM_ERROR
        if record.caller_left:
            return ResultCode.CALLER_LEFT
        if state.crashes.is_quarantined(record.request.fingerprint):
            return ResultCode.QUARANTINED
        expiry_s = find_expiry(record)
        if expiry_s is not None and expiry_s <= state.now_s:
            return ResultCode.DEADLINE_PASSED
        if record.attempts_sent >= ATTEMPTS_LIMIT or not self._router.has_eligible_upstream(record):
            return FAILURE_CODES.get(kind, ResultCode.UPSTREAM_REFUSED)
        exempt = kind in NOT_STARTED or (kind in RETRIED_WITHOUT_BUDGET and earlier_failure is None)
        if not exempt and not state.retries.try_withdraw(record.service_class, state.now_s):
            return ResultCode.RETRY_BUDGET_SPENT
        return None


def _find_kind(record: RequestRecord, event: AttemptFailed) -> FailureKind:
    """Return how an attempt failed; a refusal after the answer began is not trusted."""
    if record.state is RequestState.STREAMING and event.kind in NOT_STARTED:
        return FailureKind.INCOMPLETE
    return event.kind


def find_current_attempt(
    state: PolicyState, attempt_id: AttemptId
) -> tuple[RequestRecord, Attempt] | None:
    """Return the request whose current attempt has this id, or None for an outdated attempt."""
    record = state.records_by_attempt.get(attempt_id)
    if record is None or record.attempt is None or record.attempt.attempt_id != attempt_id:
        return None
    return record, record.attempt

"""Handling of attempt progress, completion and failure, and of callers that disconnect."""

from greengagestage.ids import AttemptId
from greengagestage.results import ResultCode

from ._actions import CancelReason, Deliver
from ._events import AttemptFailed, FailureKind
from ._lifecycle import RequestState
from ._measurements import Measurements
from ._quarantine import Quarantine
from ._records import Attempt, RequestRecord
from ._reviews import cancel_expired, find_expiry, schedule_review, suggest_retry_after
from ._routing import Router
from ._silence import give_up_held_attempt, restore_held_attempt
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

    def select_attempt(self, record: RequestRecord, attempt: Attempt) -> None:
        """Make an attempt whose upstream sends data the only one of its request."""
        attempt.silent = False
        if attempt is record.held:
            restore_held_attempt(self._state, record, attempt)
        elif record.held is not None:
            give_up_held_attempt(self._state, self._measurements, record, record.held)

    def handle_silence(self, record: RequestRecord, attempt: Attempt, *, resumable: bool) -> None:
        """Seek another upstream for a request whose current attempt is silent.

        The silent attempt continues meanwhile. A request that must not be repeated only waits, at
        most until it expires, or until its answer is due if its caller has left.
        """
        attempt.silent = True
        if attempt is record.held:
            return
        state = self._state
        if not record.request.idempotent:
            if _has_outlived_use(record, state.now_s):
                cancel_expired(state, record)
            else:
                state.log_decision(record, f"{attempt.upstream} is silent; must not be repeated")
            return
        if record.held is not None:
            record.last_failure = FailureKind.SILENT
            failure = AttemptFailed(attempt_id=attempt.attempt_id, kind=FailureKind.SILENT)
            self._measurements.note_failure(record, attempt, failure)
            restore_held_attempt(state, record, record.held)
            attempt = record.attempt or attempt
        code = self._authorize_retry(
            record, FailureKind.SILENT, resumable=resumable, earlier_failure=record.last_failure
        )
        if code is not None:
            state.log_decision(record, f"{attempt.upstream} is silent; no other one: {code.name}")
            return
        state.log_decision(record, f"{attempt.upstream} is silent; seeks another upstream")
        record.has_unused_retry = True
        state.hold_attempt(record, attempt)
        self._enqueue_retry(record)

    def accept(self, record: RequestRecord, attempt: Attempt) -> None:
        """Record that the upstream began its answer."""
        attempt.accepted = True
        if record.state is RequestState.DISPATCHED:
            record.transition_to(RequestState.STREAMING)

    def progress(self, record: RequestRecord, attempt: Attempt, tokens: int) -> None:
        """Count tokens that were delivered to the caller."""
        self.accept(record, attempt)
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
        """Queue a request again after its attempt failed, or reject it.

        If the attempt was held, the request is queued already, or a later attempt continues. If a
        silent one is held, the request is not rejected and continues there.
        """
        kind = _find_kind(attempt, event)
        was_held = attempt is record.held
        earlier_failure, record.last_failure = record.last_failure, kind
        self._state.log_decision(record, f"attempt at {attempt.upstream} failed: {kind.value}")
        if kind in NOT_STARTED:
            record.possibly_ran = attempt.possibly_ran_before or was_held
            record.refused_by.append(attempt.upstream)
        else:
            record.refused_by = [u for u in record.refused_by if u != attempt.upstream]
            if record.held is not None:
                record.held.possibly_ran_before = True
        self._measurements.note_failure(record, attempt, event)
        self._state.release_attempt(record, attempt)
        if kind is FailureKind.LOST and self._quarantine.handle_lost_attempt(
            record, attempt.upstream
        ):
            return
        if was_held:
            return
        code = self._authorize_retry(
            record, kind, resumable=event.resumable, earlier_failure=earlier_failure
        )
        if code is None:
            self._enqueue_retry(record)
        elif record.held is not None:
            restore_held_attempt(self._state, record, record.held)
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
        state.cancel_attempts(record, CancelReason.CALLER_LEFT)
        if record.state is RequestState.CLAIMING and record.claim_attempt_id is not None:
            state.orphan_claims[record.request_id] = record.claim_attempt_id
        state.reject(record, ResultCode.CALLER_LEFT)

    def reject_unservable(self) -> None:
        """Reject queued requests that no upstream can run any more."""
        for record in list(self._state.records.values()):
            if record.state is RequestState.QUEUED and not self._router.has_eligible_upstream(
                record
            ):
                if record.held is not None:
                    restore_held_attempt(self._state, record, record.held)
                else:
                    self._reject(record, ResultCode.NO_UPSTREAM)

    def _enqueue_retry(self, record: RequestRecord) -> None:
        self._state.enqueue(record)
        self._state.get_pool(record.pool).add_preemptor(record)
        schedule_review(self._state, record)

    def _reject(self, record: RequestRecord, code: ResultCode) -> None:
        retry_helps = is_not_run(code) or record.request.idempotent
        self._state.reject(
            record, code, suggest_retry_after(self._state, record) if retry_helps else None
        )

    def _authorize_retry(
        self,
        record: RequestRecord,
        kind: FailureKind,
        *,
        resumable: bool,
        earlier_failure: FailureKind | None,
    ) -> ResultCode | None:
        """Return None if a request may be tried again, or the code to reject it with.

        Withdraws one retry from the budget of the request's class, unless the failure is exempt.
        """
        state = self._state
        started = kind not in NOT_STARTED
        if started and not (record.request.idempotent and resumable):
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


def _has_outlived_use(record: RequestRecord, now_s: float) -> bool:
    expiry_s = find_expiry(record)
    if expiry_s is None and record.caller_left:
        expiry_s = record.due_s
    return expiry_s is not None and expiry_s <= now_s


def _find_kind(attempt: Attempt, event: AttemptFailed) -> FailureKind:
    """Return how an attempt failed; a refusal after the answer began is not trusted."""
    if attempt.accepted and event.kind in NOT_STARTED:
        return FailureKind.INCOMPLETE
    return event.kind


def find_current_attempt(
    state: PolicyState, attempt_id: AttemptId
) -> tuple[RequestRecord, Attempt] | None:
    """Return the request with this attempt, or None if the attempt has ended."""
    record = state.records_by_attempt.get(attempt_id)
    if record is None:
        return None
    for attempt in record.attempts:
        if attempt.attempt_id == attempt_id:
            return record, attempt
    return None

"""Time-driven decisions: expiry, demotion of late requests and the start of preemption."""

from greengagestage.results import ResultCode

from ._actions import CancelReason, WakeAt
from ._lifecycle import RequestState
from ._preemption import compute_preemption_time, may_preempt
from ._records import MS_PER_S, RequestRecord
from ._silence import restore_held_attempt
from ._state import PolicyState
from ._timers import DispatchTimer, ReviewTimer

LATE_MARGIN = 2.0  # a request is late with less time left than its expected time times this
REVIEW_DELAY_S = 0.001  # past the threshold, so that strict comparisons with it hold


def find_expiry(record: RequestRecord) -> float | None:
    """Return the time at which an unanswered request expires, or None if it does not."""
    if record.late_is_useless:
        return record.due_s
    return record.request.deadline_s


def compute_latest_start(
    state: PolicyState, record: RequestRecord, *, needed_s: float, margin: float
) -> float:
    """Return the latest time at which a request can start and probably meet its targets.

    The margin is a factor on the expected time in a slot (``needed_s``) and on the expected time
    to the first token.
    """
    latest_start_s = record.due_s - needed_s * margin
    if record.tokens:
        return latest_start_s
    latencies = state.get_pool(record.pool).latencies
    first_token_s = latencies.estimate_first_token_s(record.service_class.name)
    return min(latest_start_s, record.first_token_due_s - first_token_s * margin)


def is_target_unreachable(state: PolicyState, record: RequestRecord, wait_s: float = 0.0) -> bool:
    """Return whether an answer that is useless when late would be late even if it is short.

    The expected time in a slot is then that of an answer in the lower quartile of lengths.
    """
    if not record.late_is_useless:
        return False
    latest_start_s = compute_latest_start(
        state, record, needed_s=record.optimistic_service_s, margin=1.0
    )
    return state.now_s + wait_s > latest_start_s


def suggest_retry_after(state: PolicyState, record: RequestRecord) -> float | None:
    """Return the delay in seconds before a retry by a refused caller, None if none can succeed."""
    pool = state.get_pool(record.pool)
    if (
        record.late_is_useless
        and record.optimistic_service_s > record.service_class.answer_target_ms / MS_PER_S
    ):
        return None
    slots = state.views.find(record.pool).slots
    return state.estimator.compute_retry_after(
        state.estimator.estimate_drain_time(record, pool, slots)
    )


def cancel_expired(state: PolicyState, record: RequestRecord) -> None:
    """End a running request whose expiry has passed."""
    reason = CancelReason.TARGET if record.late_is_useless else CancelReason.DEADLINE
    state.cancel_attempts(record, reason)
    state.reject(record, ResultCode.DEADLINE_PASSED_RUNNING)


class Reviewer:
    """Reviews requests when their timers expire."""

    def __init__(self, *, state: PolicyState) -> None:
        self._state = state

    def process_expired_timers(self) -> None:
        """Review the requests and mark the pools whose timers have expired."""
        for timer in self._state.timers.pop_expired(self._state.now_s):
            match timer:
                case ReviewTimer(request_id=request_id):
                    record = self._state.records.get(request_id)
                    if record is not None:
                        self._review(record)
                case DispatchTimer(pool=pool):
                    self._state.dirty_pools[pool] = None

    def emit_wakeup(self) -> None:
        """Emit ``WakeAt`` if an earlier wake-up is needed than the one requested."""
        at_s = self._state.timers.take_wakeup_request()
        if at_s is not None:
            self._state.emit(WakeAt(at_s=at_s))

    def _review(self, record: RequestRecord) -> None:
        expiry_s = find_expiry(record)
        expired = expiry_s is not None and expiry_s <= self._state.now_s
        if expired and record.attempts:
            if record.request.idempotent or all(attempt.silent for attempt in record.attempts):
                cancel_expired(self._state, record)
        elif expired:
            self._reject_expired(record)
        elif record.state is RequestState.QUEUED:
            self._review_queued(record)

    def _reject_expired(self, record: RequestRecord) -> None:
        state = self._state
        if record.state is RequestState.CLAIMING and record.claim_attempt_id is not None:
            state.orphan_claims[record.request_id] = record.claim_attempt_id
        if record.request.deadline_s is not None and record.request.deadline_s <= state.now_s:
            state.reject(record, ResultCode.DEADLINE_PASSED)
        else:
            state.reject(record, ResultCode.TARGET_UNREACHABLE, suggest_retry_after(state, record))

    def _review_queued(self, record: RequestRecord) -> None:
        state = self._state
        if is_target_unreachable(state, record):
            if record.held is not None:
                restore_held_attempt(state, record, record.held)
                return
            state.reject(record, ResultCode.TARGET_UNREACHABLE, suggest_retry_after(state, record))
            return
        if not record.late and state.now_s >= _compute_demotion_time(state, record):
            state.log_decision(
                record, "late; moved behind the requests of its class that are not late"
            )
            state.get_pool(record.pool).queue.demote(record)
        schedule_review(state, record)


def schedule_review(state: PolicyState, record: RequestRecord) -> None:
    """Schedule the next review of a queued request; let it preempt if it already may.

    A review is due when the request may preempt, when it becomes late and, if a late answer is
    useless, when its target becomes unreachable.
    """
    pool = state.get_pool(record.pool)
    if may_preempt(record, pool, state.now_s):
        pool.add_preemptor(record)
        state.dirty_pools[record.pool] = None
    times = [compute_preemption_time(record, pool)]
    if not record.late:
        times.append(_compute_demotion_time(state, record))
    if record.late_is_useless:
        times.append(
            compute_latest_start(state, record, needed_s=record.optimistic_service_s, margin=1.0)
        )
    upcoming = [at_s for at_s in times if at_s > state.now_s]
    if upcoming:
        state.timers.add(min(upcoming) + REVIEW_DELAY_S, ReviewTimer(request_id=record.request_id))


def _compute_demotion_time(state: PolicyState, record: RequestRecord) -> float:
    return compute_latest_start(state, record, needed_s=record.service_s, margin=LATE_MARGIN)

"""What becomes of waiting and running requests as time passes."""

from greengagestage.results import ResultCode

from ._actions import CancelAttempt, CancelReason, WakeAt
from ._lifecycle import RequestState
from ._preemption import compute_patience_end, is_impatient
from ._records import MS_PER_S, RequestRecord
from ._state import PolicyState
from ._timers import DispatchTimer, RequestTimer

LATE_MARGIN = 2.0
REVIEW_DELAY_S = 0.001


def find_end(record: RequestRecord) -> float | None:
    """Return the time at which a request ends at the latest, None if it goes on."""
    if record.late_is_useless:
        return record.due_s
    return record.request.deadline_s


def find_last_start(
    state: PolicyState, record: RequestRecord, *, needed_s: float, margin: float
) -> float:
    """Return the time after which a request that starts will probably miss a target."""
    last_s = record.due_s - needed_s * margin
    if record.tokens:
        return last_s
    latencies = state.get_pool(record.pool).latencies
    first_s = latencies.estimate_first_token_s(record.service_class.name)
    return min(last_s, record.first_token_due_s - first_s * margin)


def is_hopeless(state: PolicyState, record: RequestRecord, wait_s: float = 0.0) -> bool:
    """Return whether an answer that is useless when late can no longer be on time."""
    if not record.late_is_useless:
        return False
    last_s = find_last_start(state, record, needed_s=record.optimistic_service_s, margin=1.0)
    return state.now_s + wait_s > last_s


def suggest_return(state: PolicyState, record: RequestRecord) -> float | None:
    """Return when a refused caller may come back with hope, None if never."""
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


class Reviewer:
    """Looks again at requests at the times that matter to them."""

    def __init__(self, *, state: PolicyState) -> None:
        self._state = state

    def run_due(self) -> None:
        """Look at everything whose time has come."""
        for due in self._state.timers.pop_due(self._state.now_s):
            match due:
                case RequestTimer(request_id=request_id):
                    record = self._state.records.get(request_id)
                    if record is not None:
                        self._review(record)
                case DispatchTimer(pool=pool):
                    self._state.dirty_pools[pool] = None

    def ask_next(self) -> None:
        """Ask the shell for the next time to look."""
        at_s = self._state.timers.find_next_wake()
        if at_s is not None:
            self._state.emit(WakeAt(at_s=at_s))

    def _review(self, record: RequestRecord) -> None:
        end_s = find_end(record)
        ended = end_s is not None and end_s <= self._state.now_s
        if record.attempt is not None:
            if ended and record.request.idempotent:
                self._stop_running(record)
        elif ended:
            self._end_waiting(record)
        elif record.state is RequestState.QUEUED:
            self._review_queued(record)

    def _stop_running(self, record: RequestRecord) -> None:
        attempt = record.attempt
        if attempt is None:
            return
        reason = CancelReason.TARGET if record.late_is_useless else CancelReason.DEADLINE
        self._state.emit(CancelAttempt(attempt_id=attempt.attempt_id, reason=reason))
        self._state.reject(record, ResultCode.DEADLINE_PASSED_RUNNING)

    def _end_waiting(self, record: RequestRecord) -> None:
        state = self._state
        if record.state is RequestState.CLAIMING and record.claim_attempt_id is not None:
            state.orphan_claims[record.request_id] = record.claim_attempt_id
        if record.request.deadline_s is not None and record.request.deadline_s <= state.now_s:
            state.reject(record, ResultCode.DEADLINE_PASSED)
        else:
            state.reject(record, ResultCode.TARGET_UNREACHABLE, suggest_return(state, record))

    def _review_queued(self, record: RequestRecord) -> None:
        state = self._state
        if is_hopeless(state, record):
            state.reject(record, ResultCode.TARGET_UNREACHABLE, suggest_return(state, record))
            return
        if not record.late and state.now_s >= _find_likely_start(state, record):
            state.log_decision(record, "can no longer be on time; goes behind those that can")
            state.get_pool(record.pool).queue.demote(record)
        schedule_review(state, record)


def schedule_review(state: PolicyState, record: RequestRecord) -> None:
    """Look at a queued request again when it may preempt and when it becomes late."""
    pool = state.get_pool(record.pool)
    if is_impatient(record, pool, state.now_s):
        pool.add_impatient(record)
        state.dirty_pools[record.pool] = None
    times = [compute_patience_end(record, pool)]
    if not record.late:
        times.append(_find_likely_start(state, record))
    if record.late_is_useless:
        times.append(
            find_last_start(state, record, needed_s=record.optimistic_service_s, margin=1.0)
        )
    coming = [at_s for at_s in times if at_s > state.now_s]
    if coming:
        state.timers.add(min(coming) + REVIEW_DELAY_S, RequestTimer(request_id=record.request_id))


def _find_likely_start(state: PolicyState, record: RequestRecord) -> float:
    return find_last_start(state, record, needed_s=record.service_s, margin=LATE_MARGIN)

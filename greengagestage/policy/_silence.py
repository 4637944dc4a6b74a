"""Attempts at silent upstreams: each is kept until another upstream has begun to answer."""

from ._actions import CancelAttempt, CancelReason
from ._events import AttemptFailed, FailureKind
from ._lifecycle import RequestState
from ._measurements import Measurements
from ._records import Attempt, RequestRecord
from ._state import PolicyState


def restore_held_attempt(state: PolicyState, record: RequestRecord, held: Attempt) -> None:
    """Continue with the held attempt alone; cancel the later one, or the search for it."""
    if record.state is RequestState.QUEUED:
        pool = state.get_pool(record.pool)
        pool.queue.remove(record)
        pool.preemptors.discard(record)
        record.transition_to(RequestState.DISPATCHED)
    if record.has_unused_retry:
        record.has_unused_retry = False
        state.retries.refund(record.service_class, state.now_s)
    attempt = record.attempt
    if attempt is not None:
        held.possibly_ran_before = True
        state.emit(CancelAttempt(attempt_id=attempt.attempt_id, reason=CancelReason.CONTINUED))
        state.release_attempt(record, attempt)
    state.restore_attempt(record, held)
    if held.accepted:
        record.transition_to(RequestState.STREAMING)
    state.log_decision(record, f"continues at {held.upstream}")


def give_up_held_attempt(
    state: PolicyState, measurements: Measurements, record: RequestRecord, held: Attempt
) -> None:
    """Cancel the held attempt, because a later one has begun to answer."""
    record.last_failure = FailureKind.SILENT
    failure = AttemptFailed(attempt_id=held.attempt_id, kind=FailureKind.SILENT)
    measurements.note_failure(record, held, failure)
    state.log_decision(record, f"attempt at {held.upstream} given up: silent")
    state.emit(CancelAttempt(attempt_id=held.attempt_id, reason=CancelReason.SILENT))
    state.release_attempt(record, held)

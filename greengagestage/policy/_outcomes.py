"""What becomes of a request when its attempt goes on, ends, or is no longer wanted."""

from greengagestage.ids import AttemptId
from greengagestage.results import ResultCode

from ._actions import CancelAttempt, CancelReason, Deliver
from ._events import AttemptFailed, FailureKind
from ._lifecycle import RequestState
from ._records import RequestRecord
from ._state import PolicyState
from ._verdicts import FAILURE_CODES

ATTEMPTS_LIMIT = 6
REFUSED_RETRY_S = 2.0
NOT_STARTED = (FailureKind.NOT_SENT, FailureKind.REFUSED)


class Outcomes:
    """Follows attempts to their end."""

    def __init__(self, *, state: PolicyState) -> None:
        self._state = state

    def accept(self, record: RequestRecord) -> None:
        """Note that the upstream began its answer."""
        if record.state is RequestState.DISPATCHED:
            record.move(RequestState.STREAMING)

    def progress(self, record: RequestRecord, tokens: int) -> None:
        """Count tokens that were passed on to the caller."""
        attempt = record.attempt
        if attempt is None:
            return
        self.accept(record)
        if attempt.first_token_s is None:
            attempt.first_token_s = self._state.now_s
        attempt.last_token_s = self._state.now_s
        attempt.tokens += tokens
        record.tokens += tokens

    def finish(self, record: RequestRecord) -> None:
        """End a request whose answer is whole."""
        record.move(RequestState.DELIVERED)
        self._state.note(record, f"delivered after {record.tokens} tokens")
        self._state.emit(Deliver(request_id=record.request_id))
        self._state.forget(record)

    def fail(self, record: RequestRecord, event: AttemptFailed) -> None:
        """Try a request elsewhere after its attempt failed, or give it up."""
        attempt = record.attempt
        if attempt is None:
            return
        kind = _find_kind(record, event)
        record.last_failure = kind
        self._state.note(record, f"attempt at {attempt.upstream} failed: {kind.value}")
        if kind in NOT_STARTED:
            record.possibly_ran = attempt.ran_before
        self._state.release_attempt(record)
        code = self._find_obstacle(record, kind, event.resumable)
        if code is None:
            self._state.enqueue(record)
        else:
            self._state.reject(record, code, REFUSED_RETRY_S if code.value < 3000 else None)

    def leave(self, record: RequestRecord) -> None:
        """Stop work for a caller that closed its connection."""
        if record.attempt is not None and not record.request.idempotent:
            record.caller_left = True
            self._state.note(record, "caller left; the run goes on so that it can be stored")
            return
        if record.attempt is not None:
            self._state.emit(
                CancelAttempt(attempt_id=record.attempt.attempt_id, reason=CancelReason.CALLER_LEFT)
            )
        if record.state is RequestState.CLAIMING and record.claim_attempt_id is not None:
            self._state.orphan_claims[record.request_id] = record.claim_attempt_id
        self._state.reject(record, ResultCode.CALLER_LEFT)

    def _find_obstacle(
        self, record: RequestRecord, kind: FailureKind, resumable: bool
    ) -> ResultCode | None:
        """Return why a request cannot be tried again, or None if it can."""
        state = self._state
        if kind in NOT_STARTED:
            if record.attempts_sent >= ATTEMPTS_LIMIT:
                return ResultCode.UPSTREAM_REFUSED
        elif not self._can_rerun(record, resumable):
            return FAILURE_CODES[kind]
        untried = [
            entry
            for entry in state.upstreams.list_pool(record.pool)
            if entry.takes_work and entry.name not in record.tried
        ]
        return None if untried else ResultCode.UPSTREAM_REFUSED

    def _can_rerun(self, record: RequestRecord, resumable: bool) -> bool:
        if not record.request.idempotent or record.attempts_sent >= ATTEMPTS_LIMIT:
            return False
        return resumable


def _find_kind(record: RequestRecord, event: AttemptFailed) -> FailureKind:
    """Return how an attempt failed; one that had begun cannot be said not to have started."""
    if record.state is RequestState.STREAMING and event.kind in NOT_STARTED:
        return FailureKind.INCOMPLETE
    return event.kind


def find_current(state: PolicyState, attempt_id: AttemptId) -> RequestRecord | None:
    """Return the request whose current attempt has this id; others are ignored."""
    record = state.attempts.get(attempt_id)
    if record is None or record.attempt is None or record.attempt.attempt_id != attempt_id:
        return None
    return record

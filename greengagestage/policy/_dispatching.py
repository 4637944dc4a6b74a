"""The dispatch of queued requests to upstreams."""

from greengagestage.ids import AttemptId, PoolName

from ._actions import Dispatch
from ._lifecycle import RequestState
from ._records import MS_PER_S, Attempt, RequestRecord
from ._routing import Router
from ._state import PolicyState
from ._upstreams import UpstreamEntry

FIRST_TOKEN_TIMEOUT_TARGETS = 5.0
INTER_TOKEN_TIMEOUT_TARGETS = 20.0
MINIMUM_FIRST_TOKEN_TIMEOUT_S = 5.0
MINIMUM_INTER_TOKEN_TIMEOUT_S = 2.0


class Dispatcher:
    """Gives free slots to queued requests."""

    def __init__(self, *, state: PolicyState, router: Router) -> None:
        self._state = state
        self._router = router

    def fill_dirty_pools(self) -> None:
        """Dispatch in every pool whose queue or slots changed."""
        while self._state.dirty_pools:
            pools = list(self._state.dirty_pools)
            self._state.dirty_pools.clear()
            for pool in pools:
                self._fill(pool)

    def _fill(self, pool: PoolName) -> None:
        while self._dispatch_one(pool):
            pass

    def _dispatch_one(self, pool: PoolName) -> bool:
        queue = self._state.find_queue(pool)
        for head in queue.iterate_heads():
            entry = self._router.choose(head)
            if entry is not None:
                queue.pop(head)
                self.send(head, entry)
                return True
        return False

    def send(self, record: RequestRecord, entry: UpstreamEntry) -> None:
        """Dispatch a request that left the queue."""
        record.attempts_sent += 1
        attempt = Attempt(
            attempt_id=AttemptId(f"{record.request_id}.{record.attempts_sent}"),
            upstream=entry.name,
            sent_s=self._state.now_s,
            ran_before=record.possibly_ran,
        )
        record.move(RequestState.DISPATCHED)
        record.attempt = attempt
        record.tried.append(entry.name)
        record.possibly_ran = True
        entry.in_flight[attempt.attempt_id] = record
        self._state.attempts[attempt.attempt_id] = record
        self._state.note(record, f"dispatched to {entry.name}, resuming at {record.tokens}")
        self._state.emit(_build_dispatch(record, attempt))


def _build_dispatch(record: RequestRecord, attempt: Attempt) -> Dispatch:
    targets = record.service_class
    first_s = targets.first_token_target_ms / MS_PER_S * FIRST_TOKEN_TIMEOUT_TARGETS
    inter_s = targets.inter_token_target_ms / MS_PER_S * INTER_TOKEN_TIMEOUT_TARGETS
    return Dispatch(
        request_id=record.request_id,
        attempt_id=attempt.attempt_id,
        upstream=attempt.upstream,
        priority=record.priority,
        resume_tokens=record.tokens,
        first_token_timeout_s=max(first_s, MINIMUM_FIRST_TOKEN_TIMEOUT_S),
        inter_token_timeout_s=max(inter_s, MINIMUM_INTER_TOKEN_TIMEOUT_S),
    )

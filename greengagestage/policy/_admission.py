"""Admission control: arriving requests are queued, claimed first, or refused."""

from greengagestage.ids import AttemptId, RequestId
from greengagestage.results import ResultCode

from ._actions import AcquireClaim, Reject, ReleaseClaim, ReplayAnswer
from ._events import ClaimOutcome, Request
from ._lifecycle import RequestState
from ._records import MS_PER_S, RequestRecord
from ._reviews import find_expiry, is_target_unreachable, schedule_review, suggest_retry_after
from ._routing import Router
from ._state import PolicyState
from ._timers import ReviewTimer

NOT_READY_RETRY_S = 2.0
STOPPING_RETRY_S = 1.0
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
    """Decides whether an arriving request is queued or refused."""

    def __init__(self, *, state: PolicyState, router: Router) -> None:
        self._state = state
        self._router = router
        self._sequence = 0

    def admit(self, request: Request) -> None:
        """Queue a request, acquire its claim first, or refuse it."""
        if request.request_id in self._state.records:
            return
        service_class = self._state.classes.get(request.service_class)
        if service_class is None:
            self._refuse_unknown_class(request)
            return
        record = self._open(request)
        self._state.records[request.request_id] = record
        if not self._apply_arrival_checks(record):
            return
        if request.idempotent:
            self._queue(record)
        else:
            self._acquire_claim(record)

    def handle_claim_outcome(self, record: RequestRecord, outcome: ClaimOutcome) -> None:
        """Queue, replay or refuse a request according to the outcome of its claim."""
        if record.state is not RequestState.CLAIMING:
            return
        self._state.log_decision(record, f"claim: {outcome.value}")
        if outcome is ClaimOutcome.GRANTED:
            record.claimed = True
            self._queue(record)
        elif outcome is ClaimOutcome.ANSWERED:
            record.transition_to(RequestState.REPLAYED)
            self._state.emit(ReplayAnswer(request_id=record.request_id))
            self._state.forget(record)
        else:
            code, retry_after_s = CLAIM_REFUSALS[outcome]
            jittered_s = (
                None
                if retry_after_s is None
                else self._state.estimator.compute_retry_after(retry_after_s)
            )
            self._state.reject(record, code, jittered_s)

    def handle_orphan_claim_outcome(self, request_id: RequestId, outcome: ClaimOutcome) -> None:
        """Release a claim that was granted after its request had ended."""
        attempt_id = self._state.orphan_claims.pop(request_id, None)
        if attempt_id is not None and outcome is ClaimOutcome.GRANTED:
            self._state.emit(ReleaseClaim(request_id=request_id, attempt_id=attempt_id))

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
                retry_after_s=(
                    None if ready else self._state.estimator.compute_retry_after(NOT_READY_RETRY_S)
                ),
            )
        )

    def _apply_arrival_checks(self, record: RequestRecord) -> bool:
        """Refuse a request that fails a check on arrival; return whether it passed."""
        state = self._state
        if state.stopping:
            state.reject(
                record, ResultCode.STOPPING, state.estimator.compute_retry_after(STOPPING_RETRY_S)
            )
        elif state.crashes.is_quarantined(record.request.fingerprint):
            state.reject(record, ResultCode.QUARANTINED)
        else:
            return self._apply_workspace_limits(record)
        return False

    def _apply_workspace_limits(self, record: RequestRecord) -> bool:
        """Count a request against the limits of its workspace on this host, or refuse it.

        Return whether it was accepted. It then has taken a token of the rate limit and is one of
        the workspace's open requests. At the limit of open requests, a queued request of the same
        workspace and a lower class is shed for it if there is one. A workspace that is not
        declared has no limits.
        """
        state = self._state
        workspace = state.workspaces.get(record.workspace)
        if workspace is None:
            return True
        if state.limits.is_full(workspace, state.now_s) and not self._shed_lower_class(record):
            slot_s = state.get_pool(record.pool).latencies.slot_s.value
            retry_after_s = state.estimator.compute_retry_after(slot_s)
            state.reject(record, ResultCode.CONCURRENCY_LIMITED, retry_after_s)
            return False
        wait_s = state.limits.take_token(workspace, state.now_s)
        if wait_s is not None:
            state.reject(
                record, ResultCode.RATE_LIMITED, state.estimator.compute_retry_after(wait_s)
            )
            return False
        state.limits.open(record, state.now_s)
        return True

    def _shed_lower_class(self, record: RequestRecord) -> bool:
        """Shed a queued request of the same workspace and a lower class; return whether one was."""
        waiting = [
            other
            for other in self._state.limits.list_open(record.workspace)
            if other.state is RequestState.QUEUED
            and not other.attempts_sent
            and other.priority > record.priority
            and self._is_not_last(other)
        ]
        if not waiting:
            return False
        victim = max(waiting, key=lambda other: (other.priority, other.sequence))
        self._shed(victim, record)
        return True

    def _is_not_last(self, record: RequestRecord) -> bool:
        """Return whether the class has more than one queued request.

        The last one is never shed, so that the class can receive its minimum share.
        """
        queue = self._state.get_pool(record.pool).queue
        return queue.count(record.service_class.name) > 1

    def _shed(self, victim: RequestRecord, record: RequestRecord) -> None:
        state = self._state
        state.log_decision(victim, f"shed for {record.request_id} of a higher class")
        state.reject(victim, ResultCode.SHED, suggest_retry_after(state, victim))

    def _acquire_claim(self, record: RequestRecord) -> None:
        request = record.request
        if request.idempotency_key is None:
            self._state.reject(record, ResultCode.IDEMPOTENCY_KEY_REQUIRED)
            return
        record.transition_to(RequestState.CLAIMING)
        record.claim_attempt_id = AttemptId(f"{request.request_id}.0")
        self._state.emit(
            AcquireClaim(
                request_id=request.request_id,
                attempt_id=record.claim_attempt_id,
                workspace=request.workspace,
                idempotency_key=request.idempotency_key,
                fingerprint=request.fingerprint,
            )
        )

    def _queue(self, record: RequestRecord) -> None:
        """Queue a request and set its timers, or refuse it.

        It is refused if its pool has no upstream that takes work, if it has expired, if its answer
        would probably be late and then useless, or if the queue of its class is full.
        """
        state = self._state
        pool = state.get_pool(record.pool)
        state.estimator.update_service_times(record, pool)
        pool.demand.observe(record.service_class, record.service_s, state.now_s)
        code = self._find_refusal_code(record)
        if code is ResultCode.NO_UPSTREAM:
            state.reject(record, code, state.estimator.compute_retry_after(NO_UPSTREAM_RETRY_S))
        elif code is ResultCode.DEADLINE_PASSED:
            state.reject(record, code)
        elif code is not None:
            state.reject(record, code, suggest_retry_after(state, record))
        elif self._apply_queue_limit(record):
            state.enqueue(record)
            self._schedule_timers(record)
        else:
            state.reject(record, ResultCode.QUEUE_FULL, suggest_retry_after(state, record))

    def _find_refusal_code(self, record: RequestRecord) -> ResultCode | None:
        state = self._state
        if not state.views.find(record.pool).live:
            return ResultCode.NO_UPSTREAM
        expiry_s = find_expiry(record)
        if expiry_s is not None and expiry_s <= state.now_s:
            return ResultCode.DEADLINE_PASSED
        if self._can_start(record):
            # Only requests that run correct the estimates, so none is refused beside a free slot.
            return None
        wait_s = self._estimate_wait(record)
        state.log_decision(record, f"expected to wait {wait_s:.3f} s")
        return (
            ResultCode.TARGET_UNREACHABLE if is_target_unreachable(state, record, wait_s) else None
        )

    def _can_start(self, record: RequestRecord) -> bool:
        """Return whether a slot is free and no request of the same or a higher class waits."""
        pool = self._state.get_pool(record.pool)
        ahead = pool.queue.count_at_or_above(record.priority)
        return ahead == 0 and self._router.has_free_slot(record.pool)

    def _estimate_wait(self, record: RequestRecord) -> float:
        """Return the expected wait in seconds; slots of lower classes count as obtainable."""
        state = self._state
        pool = state.get_pool(record.pool)
        ahead = pool.queue.count_at_or_above(record.priority)
        obtainable = sum(
            pool.count_running(each.name)
            for each in state.classes.values()
            if each.priority > record.priority
        )
        if ahead < obtainable:
            return 0.0
        return state.estimator.estimate_wait(record, pool, state.views.find(record.pool).slots)

    def _apply_queue_limit(self, record: RequestRecord) -> bool:
        """Apply the queue limit of a request's class; return whether the request may be queued.

        At the limit, it may be queued if an upstream can take it now, or if a queued request of a
        lower class is shed for it. The queue of its class then exceeds the limit, but the whole
        queue does not grow: under load, the places of lower classes go to higher ones.
        """
        queue = self._state.get_pool(record.pool).queue
        if queue.count(record.service_class.name) < record.service_class.queue_limit:
            return True
        if self._router.choose(record) is not None:
            return True
        victim = queue.find_shed_victim(record.priority)
        if victim is None:
            return False
        self._shed(victim, record)
        return True

    def _schedule_timers(self, record: RequestRecord) -> None:
        state = self._state
        expiry_s = find_expiry(record)
        if expiry_s is not None:
            state.timers.add(expiry_s, ReviewTimer(request_id=record.request_id))
        schedule_review(state, record)

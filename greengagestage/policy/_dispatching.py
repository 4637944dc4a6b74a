"""Dispatch of queued requests to upstreams, with minimum shares and preemption."""

from itertools import islice

from greengagestage.configuration import ServiceClass, UpstreamKind
from greengagestage.ids import AttemptId, PoolName

from ._actions import CancelAttempt, CancelReason, Dispatch
from ._fairness import ClassQueue
from ._health import HealthState
from ._lifecycle import RequestState
from ._pools import PoolState
from ._preemption import find_preemption_victim
from ._records import MS_PER_S, Attempt, RequestRecord
from ._routing import Router
from ._state import PolicyState
from ._timers import DispatchTimer
from ._upstreams import UpstreamEntry

CANDIDATES_LIMIT = 8  # requests examined per queue in one round
DEPARTURE_PROBABILITY_LIMIT = 0.5
DEPARTURE_RECHECK_S = 1.0
CACHE_WAIT_S = 5.0  # for a preempted request, until it may resume at another upstream
HEADROOM_FACTOR = 1.1  # slots left to the higher classes, as a multiple of their offered load
FIRST_TOKEN_TIMEOUT_TARGET_FACTOR = 1.5
FIRST_TOKEN_TIMEOUT_AVERAGE_FACTOR = 8.0
INTER_TOKEN_TIMEOUT_TARGET_FACTOR = 40.0
MINIMUM_FIRST_TOKEN_TIMEOUT_S = 2.0
MINIMUM_INTER_TOKEN_TIMEOUT_S = 2.0
MINIMUM_SERVICE_TIMEOUT_S = 10.0


class Dispatcher:
    """Assigns free and preempted slots to queued requests."""

    def __init__(self, *, state: PolicyState, router: Router) -> None:
        self._state = state
        self._router = router

    def fill_dirty_pools(self) -> None:
        """Dispatch in every pool whose queue or slots changed, starting with the highest class."""
        dirty = self._state.dirty_pools
        while dirty:
            name = min(dirty, key=self._rank_pool)
            if not self._dispatch_one(name):
                del dirty[name]

    def _rank_pool(self, name: PoolName) -> tuple[bool, int]:
        priority = self._state.get_pool(name).queue.find_highest_priority()
        return (priority is None, priority or 0)

    def _dispatch_one(self, name: PoolName) -> bool:
        pool = self._state.get_pool(name)
        waiting = pool.queue.list_waiting()
        if not waiting:
            return False
        if self._router.has_free_slot(name) and self._fill_free_slot(name, pool, waiting):
            return True
        return self._preempt_first(pool)

    def _preempt_first(self, pool: PoolState) -> bool:
        """Preempt a slot for the most urgent preemptor that can use one."""
        for record in list(islice(pool.preemptors, CANDIDATES_LIMIT)):
            if not self._state.has_running_below(record.priority):
                return False
            if self._preempt(pool, record):
                return True
            if not record.tried:
                return False  # less urgent preemptors have no more victims than this one
        return False

    def _fill_free_slot(
        self, name: PoolName, pool: PoolState, waiting: list[tuple[ServiceClass, ClassQueue]]
    ) -> bool:
        """Give a free slot to a class entitled to its minimum share, or to the highest class.

        Lower classes follow if the highest one has no request that can be dispatched.
        """
        reserved = self._list_entitled_queues(name, pool, waiting)
        if any(self._dispatch_from(pool, queue, reserved=True) for queue in reserved):
            return True
        slots = self._state.views.find(name).slots
        return any(
            self._dispatch_from(
                pool, queue, first_attempts=self._allows_first_attempts(pool, service_class, slots)
            )
            for service_class, queue in waiting
        )

    def _allows_first_attempts(
        self, pool: PoolState, service_class: ServiceClass, slots: int
    ) -> bool:
        """Return whether a class may take a slot for a request that was not dispatched before.

        It may if the slots that this class and the lower ones then leave free cover the offered
        load of the higher classes with a margin, or if none of its own or lower requests runs.
        """
        load_above = pool.demand.measure_load_above(service_class.priority, self._state.now_s)
        running = pool.count_running_at_or_below(service_class.priority)
        return running == 0 or running + 1 <= slots - load_above * HEADROOM_FACTOR

    def _list_entitled_queues(
        self, name: PoolName, pool: PoolState, waiting: list[tuple[ServiceClass, ClassQueue]]
    ) -> list[ClassQueue]:
        """Return the queues that their minimum share lets go ahead of higher classes."""
        slots = self._state.views.find(name).slots
        now_s = self._state.now_s
        return [
            queue
            for service_class, queue in waiting[1:]
            if _has_waited(queue, now_s)
            and pool.shares.is_entitled(
                service_class,
                running=pool.count_running(service_class.name),
                slots=slots,
                now_s=now_s,
            )
        ]

    def _dispatch_from(
        self,
        pool: PoolState,
        queue: ClassQueue,
        *,
        reserved: bool = False,
        first_attempts: bool = True,
    ) -> bool:
        """Dispatch the first request of a class that an upstream can take.

        Without ``first_attempts``, only requests that were dispatched before are considered,
        because the work that an upstream has already done for them would be lost. The search then
        ends at the first request that was not dispatched before, so late requests behind it are
        not considered either.
        """
        for record in islice(queue.iterate_candidates(), CANDIDATES_LIMIT):
            if not first_attempts and not record.attempts_sent:
                return False
            if self._defer_if_likely_abandoned(record):
                continue
            entry = self._router.choose(record)
            if entry is not None:
                pool.queue.pop(record)
                self._send(record, entry, reserved=reserved)
                return True
        return False

    def _defer_if_likely_abandoned(self, record: RequestRecord) -> bool:
        """Defer a late request whose caller will probably leave before the answer is complete.

        Return whether that is so. The request stays queued, and a timer has it considered again
        after ``DEPARTURE_RECHECK_S``. It is served if its caller stays longer than callers usually
        do. Requests that were dispatched before are not deferred.
        """
        if not record.late or record.attempts_sent:
            return False
        state = self._state
        age_s = state.now_s - record.arrived_s
        name = record.service_class.name
        chance = state.departures.estimate_departure(name, age_s, record.service_s)
        if chance < DEPARTURE_PROBABILITY_LIMIT:
            return False
        if record.eligible_s <= state.now_s:
            record.eligible_s = state.now_s + DEPARTURE_RECHECK_S
            state.timers.add(record.eligible_s, DispatchTimer(pool=record.pool))
        return True

    def _preempt(self, pool: PoolState, record: RequestRecord) -> bool:
        """Take a slot from a lower class for a request that would otherwise miss its target."""
        state = self._state
        victim = find_preemption_victim(state, record)
        if victim is None or victim.attempt is None:
            return False
        entry = state.upstreams.find(victim.attempt.upstream)
        if entry is None:
            return False
        self._evict(victim, victim.attempt)
        pool.queue.pop(record)
        state.log_decision(record, f"preempts {victim.request_id}")
        self._send(record, entry, reserved=False)
        return True

    def _evict(self, victim: RequestRecord, attempt: Attempt) -> None:
        state = self._state
        state.emit(CancelAttempt(attempt_id=attempt.attempt_id, reason=CancelReason.PREEMPTED))
        state.release_attempt(victim, attempt)
        if victim.held is not None:
            victim.held.possibly_ran_before = True
        victim.preemptions += 1
        victim.tried.remove(attempt.upstream)
        victim.cached_upstream = attempt.upstream
        victim.cached_until_s = state.now_s + CACHE_WAIT_S
        state.timers.add(victim.cached_until_s, DispatchTimer(pool=victim.pool))
        state.log_decision(
            victim, f"preempted at {attempt.upstream}, {victim.tokens} tokens delivered so far"
        )
        state.enqueue(victim)

    def _send(self, record: RequestRecord, entry: UpstreamEntry, *, reserved: bool) -> None:
        """Send a request, which is no longer queued, to an upstream."""
        state = self._state
        if record.attempts_sent == 0:
            state.retries.deposit(record.service_class, state.now_s)
        record.attempts_sent += 1
        record.has_unused_retry = False
        attempt = Attempt(
            attempt_id=AttemptId(f"{record.request_id}.{record.attempts_sent}"),
            upstream=entry.name,
            sent_s=state.now_s,
            possibly_ran_before=record.possibly_ran,
            reserved=reserved,
            suspect=state.is_suspect(record),
            probe=entry.health.state is HealthState.EJECTED,
        )
        if reserved:
            slots = state.views.find(record.pool).slots
            state.get_pool(record.pool).shares.charge(record, attempt, slots, state.now_s)
        if attempt.probe:
            entry.health.start_probe()
        record.transition_to(RequestState.DISPATCHED)
        state.start_attempt(record, attempt, entry)
        share = " from the minimum share" if reserved else ""
        state.log_decision(
            record, f"sent to {entry.name}{share}, {record.tokens} tokens delivered so far"
        )
        state.emit(_build_dispatch(record, attempt, entry, state.get_pool(record.pool)))


def _has_waited(queue: ClassQueue, now_s: float) -> bool:
    head = queue.peek()
    return head is not None and head.queued_s < now_s


def _build_dispatch(
    record: RequestRecord, attempt: Attempt, entry: UpstreamEntry, pool: PoolState
) -> Dispatch:
    first_token_timeout_s, inter_token_timeout_s = _compute_timeouts(
        record.service_class, entry, pool
    )
    return Dispatch(
        request_id=record.request_id,
        attempt_id=attempt.attempt_id,
        upstream=attempt.upstream,
        priority=record.priority,
        resume_tokens=record.tokens,
        first_token_timeout_s=first_token_timeout_s,
        inter_token_timeout_s=inter_token_timeout_s,
    )


def _compute_timeouts(
    service_class: ServiceClass, entry: UpstreamEntry, pool: PoolState
) -> tuple[float, float]:
    """Return the silence limits for the first byte and between bytes of the answer, in seconds.

    They are derived from the class's targets for tokens and from the measured time to the first
    token; for a service, from the target for the whole answer.
    """
    if entry.declared is not None and entry.declared.kind is UpstreamKind.SERVICE:
        whole_s = max(service_class.answer_target_ms / MS_PER_S, MINIMUM_SERVICE_TIMEOUT_S)
        return whole_s, whole_s
    first_token_timeout_s = max(
        MINIMUM_FIRST_TOKEN_TIMEOUT_S,
        service_class.first_token_target_ms / MS_PER_S * FIRST_TOKEN_TIMEOUT_TARGET_FACTOR,
        pool.latencies.estimate_first_token_s(service_class.name)
        * FIRST_TOKEN_TIMEOUT_AVERAGE_FACTOR,
    )
    inter_token_timeout_s = max(
        MINIMUM_INTER_TOKEN_TIMEOUT_S,
        service_class.inter_token_target_ms / MS_PER_S * INTER_TOKEN_TIMEOUT_TARGET_FACTOR,
    )
    return first_token_timeout_s, inter_token_timeout_s

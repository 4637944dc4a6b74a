"""Updates latency averages, answer lengths and upstream health from the events of attempts."""

from ._events import AttemptFailed, FailureKind
from ._health import (
    STRAGGLER_EJECTION_S,
    EjectionReason,
    Health,
    HealthState,
    is_slow_probe,
    is_straggler,
    may_eject,
)
from ._records import Attempt, RequestRecord
from ._state import PolicyState
from ._timers import DispatchTimer
from ._upstreams import UpstreamEntry

MINIMUM_BUSY_S = 0.5
STRAGGLER_CHECK_SAMPLES = 4
TOKENS_PER_SPAN = 8


class Measurements:
    """Updates the averages of pools and the health of upstreams."""

    def __init__(self, *, state: PolicyState) -> None:
        self._state = state

    def note_progress(self, record: RequestRecord, attempt: Attempt, tokens: int) -> None:
        """Record tokens that the upstream sent."""
        now_s = self._state.now_s
        attempt.tokens += tokens
        entry = self._state.upstreams.find(attempt.upstream)
        if entry is not None:
            self._note_response(entry)
        if attempt.first_token_at_s is None:
            attempt.first_token_at_s = now_s
            attempt.span_start_s, attempt.span_start_tokens = now_s, attempt.tokens
            if entry is not None:
                self._note_first_token(record, attempt, entry)
        elif attempt.tokens - attempt.span_start_tokens >= TOKENS_PER_SPAN and entry is not None:
            self._note_token_span(record, attempt, entry)

    def note_finish(self, record: RequestRecord, attempt: Attempt) -> None:
        """Record an answer that was received in full."""
        state = self._state
        pool = state.get_pool(record.pool)
        pool.latencies.slot_s.observe(state.now_s - attempt.sent_s)
        if record.tokens:
            state.lengths.observe(
                record.workspace, record.service_class.name, record.pool, record.tokens
            )
        entry = state.upstreams.find(attempt.upstream)
        if entry is None:
            return
        self._note_response(entry)
        if attempt.tokens > attempt.span_start_tokens:
            self._note_token_span(record, attempt, entry)
        entry.health.note_success(attempt.probe)
        self._schedule_dispatch(entry, state.now_s)

    def note_failure(self, record: RequestRecord, attempt: Attempt, event: AttemptFailed) -> None:
        """Record a failed attempt."""
        entry = self._state.upstreams.find(attempt.upstream)
        if entry is None:
            return
        now_s = self._state.now_s
        kind = record.last_failure or event.kind
        if kind is FailureKind.ERROR and not entry.health.note_error(record.workspace):
            return
        if kind is FailureKind.REFUSED:
            self._note_refusal(entry, attempt, event)
            return
        if kind is FailureKind.NOT_SENT or kind is FailureKind.LOST:
            entry.prefixes.clear()
        conclusive = kind is FailureKind.NOT_SENT
        if entry.health.note_failure(now_s, probe=attempt.probe, conclusive=conclusive):
            self._schedule_dispatch(entry, entry.health.ejected_until_s)

    def _note_response(self, entry: UpstreamEntry) -> None:
        """Record that an upstream responds. One that had stalled may be used again."""
        now_s = self._state.now_s
        if entry.is_stalled(now_s):
            self._schedule_dispatch(entry, now_s)
        entry.last_response_s = now_s

    def _note_refusal(self, entry: UpstreamEntry, attempt: Attempt, event: AttemptFailed) -> None:
        now_s = self._state.now_s
        if event.upstream_leaving:
            entry.note_leaving(now_s)
            self._state.upstreams.revision += 1
            return
        entry.health.busy_until_s = now_s + max(event.retry_after_s or 0.0, MINIMUM_BUSY_S)
        if attempt.probe:
            entry.health.abandon_probe()
        self._schedule_dispatch(entry, entry.health.busy_until_s)

    def _note_first_token(
        self, record: RequestRecord, attempt: Attempt, entry: UpstreamEntry
    ) -> None:
        waited_s = self._state.now_s - attempt.sent_s
        self._state.get_pool(record.pool).latencies.observe_first_token(
            record.service_class.name, waited_s
        )
        entry.health.first_token_s.observe(waited_s)
        if attempt.probe and entry.health.reason is not EjectionReason.STRAGGLER:
            entry.health.note_success(probe=True)
            self._schedule_dispatch(entry, self._state.now_s)
        self._eject_if_straggler(record, entry)

    def _note_token_span(
        self, record: RequestRecord, attempt: Attempt, entry: UpstreamEntry
    ) -> None:
        now_s = self._state.now_s
        inter_token_s = (now_s - attempt.span_start_s) / (
            attempt.tokens - attempt.span_start_tokens
        )
        attempt.span_start_s, attempt.span_start_tokens = now_s, attempt.tokens
        self._state.get_pool(record.pool).latencies.inter_token_s.observe(inter_token_s)
        entry.health.inter_token_s.observe(inter_token_s)
        if attempt.probe and entry.health.state is HealthState.PROBING:
            self._evaluate_probe(record, entry, inter_token_s)
        self._eject_if_straggler(record, entry)

    def _evaluate_probe(
        self, record: RequestRecord, entry: UpstreamEntry, inter_token_s: float
    ) -> None:
        """End a straggler's ejection, or extend it if its probe was slow.

        The probe is slow if its time between tokens is far above that of the pool's other
        upstreams.
        """
        now_s = self._state.now_s
        if is_slow_probe(inter_token_s, self._list_other_upstreams(record, entry)):
            entry.health.eject(now_s, EjectionReason.STRAGGLER, entry.health.backoff_s)
            self._schedule_dispatch(entry, entry.health.ejected_until_s)
        else:
            entry.health.note_success(probe=True)
            self._schedule_dispatch(entry, now_s)

    def _list_other_upstreams(self, record: RequestRecord, entry: UpstreamEntry) -> list[Health]:
        used = self._state.views.find(record.pool).used
        return [other.health for other in used if other is not entry]

    def _eject_if_straggler(self, record: RequestRecord, entry: UpstreamEntry) -> None:
        """Eject an upstream that is much slower than the others in the same pool."""
        samples = entry.health.first_token_s.samples + entry.health.inter_token_s.samples
        if samples % STRAGGLER_CHECK_SAMPLES or entry.health.state is not HealthState.IN_USE:
            return
        others = self._list_other_upstreams(record, entry)
        ejected = sum(1 for other in others if other.state is not HealthState.IN_USE)
        if not may_eject(ejected, len(others) + 1) or not is_straggler(entry.health, others):
            return
        entry.health.eject(self._state.now_s, EjectionReason.STRAGGLER, STRAGGLER_EJECTION_S)
        self._state.log_decision(record, f"{entry.name} ejected as a straggler")
        self._schedule_dispatch(entry, entry.health.ejected_until_s)

    def _schedule_dispatch(self, entry: UpstreamEntry, at_s: float) -> None:
        """Let the upstream's pools dispatch at a time, at once if it has passed."""
        for pool in self._state.upstreams.list_pools_of(entry):
            if at_s <= self._state.now_s:
                self._state.dirty_pools[pool] = None
            else:
                self._state.timers.add(at_s, DispatchTimer(pool=pool))

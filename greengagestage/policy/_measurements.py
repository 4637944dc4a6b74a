"""What the policy learns from the course of attempts: speeds, lengths, health."""

from ._events import AttemptFailed, FailureKind
from ._health import (
    EJECTION_S,
    Health,
    HealthState,
    OutReason,
    is_slow_probe,
    is_straggler,
    may_eject,
)
from ._records import Attempt, RequestRecord
from ._state import PolicyState
from ._timers import DispatchTimer
from ._upstreams import UpstreamEntry

BUSY_HOLD_S = 0.5
STRAGGLER_CHECK_SAMPLES = 4
MARK_TOKENS = 8


class Measurements:
    """Keeps averages and the health of upstreams up to date."""

    def __init__(self, *, state: PolicyState) -> None:
        self._state = state

    def note_progress(self, record: RequestRecord, attempt: Attempt, tokens: int) -> None:
        """Learn from tokens that came."""
        now_s = self._state.now_s
        attempt.tokens += tokens
        entry = self._state.upstreams.find(attempt.upstream)
        if entry is not None:
            self._note_heard(entry)
        if attempt.first_token_s is None:
            attempt.first_token_s = now_s
            attempt.interval_start_s, attempt.interval_start_tokens = now_s, attempt.tokens
            if entry is not None:
                self._note_first_token(record, attempt, entry)
        elif attempt.tokens - attempt.interval_start_tokens >= MARK_TOKENS and entry is not None:
            self._note_interval(record, attempt, entry)

    def note_finish(self, record: RequestRecord, attempt: Attempt) -> None:
        """Learn from an answer that ended properly."""
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
        self._note_heard(entry)
        if attempt.tokens > attempt.interval_start_tokens:
            self._note_interval(record, attempt, entry)
        entry.health.note_success(attempt.probe)
        self._wake_pools(entry, state.now_s)

    def note_failure(self, record: RequestRecord, attempt: Attempt, event: AttemptFailed) -> None:
        """Learn from an attempt that failed."""
        entry = self._state.upstreams.find(attempt.upstream)
        if entry is None:
            return
        now_s = self._state.now_s
        kind = record.last_failure or event.kind
        if kind is FailureKind.ERROR and not entry.health.is_new_error(record.workspace):
            return
        if kind is FailureKind.REFUSED:
            self._note_refusal(entry, attempt, event)
            return
        if kind is FailureKind.NOT_SENT or kind is FailureKind.LOST:
            entry.prefixes.clear()
        certain = kind is FailureKind.NOT_SENT
        if entry.health.note_failure(now_s, probe=attempt.probe, certain=certain):
            self._wake_pools(entry, entry.health.out_until_s)

    def _note_heard(self, entry: UpstreamEntry) -> None:
        """Note that an upstream answers; one that had stalled may be used again."""
        now_s = self._state.now_s
        if entry.is_stalled(now_s):
            self._wake_pools(entry, now_s)
        entry.last_response_s = now_s

    def _note_refusal(self, entry: UpstreamEntry, attempt: Attempt, event: AttemptFailed) -> None:
        now_s = self._state.now_s
        if event.upstream_leaving:
            entry.say_leaving(now_s)
            self._state.upstreams.revision += 1
            return
        entry.health.busy_until_s = now_s + max(event.retry_after_s or 0.0, BUSY_HOLD_S)
        if attempt.probe:
            entry.health.abandon_probe()
        self._wake_pools(entry, entry.health.busy_until_s)

    def _note_first_token(
        self, record: RequestRecord, attempt: Attempt, entry: UpstreamEntry
    ) -> None:
        waited_s = self._state.now_s - attempt.sent_s
        self._state.get_pool(record.pool).latencies.observe_first_token(
            record.service_class.name, waited_s
        )
        entry.health.first_token_s.observe(waited_s)
        if attempt.probe and entry.health.reason is not OutReason.STRAGGLER:
            entry.health.note_success(probe=True)
            self._wake_pools(entry, self._state.now_s)
        self._check_straggler(record, entry)

    def _note_interval(self, record: RequestRecord, attempt: Attempt, entry: UpstreamEntry) -> None:
        now_s = self._state.now_s
        interval_s = (now_s - attempt.interval_start_s) / (
            attempt.tokens - attempt.interval_start_tokens
        )
        attempt.interval_start_s, attempt.interval_start_tokens = now_s, attempt.tokens
        self._state.get_pool(record.pool).latencies.inter_token_s.observe(interval_s)
        entry.health.inter_token_s.observe(interval_s)
        if attempt.probe and entry.health.state is HealthState.PROBING:
            self._judge_probe(record, entry, interval_s)
        self._check_straggler(record, entry)

    def _judge_probe(self, record: RequestRecord, entry: UpstreamEntry, interval_s: float) -> None:
        """Take a straggler back if its probe ran as fast as its peers."""
        now_s = self._state.now_s
        if is_slow_probe(interval_s, self._list_peers(record, entry)):
            entry.health.take_out(now_s, OutReason.STRAGGLER, entry.health.backoff_s)
            self._wake_pools(entry, entry.health.out_until_s)
        else:
            entry.health.note_success(probe=True)
            self._wake_pools(entry, now_s)

    def _list_peers(self, record: RequestRecord, entry: UpstreamEntry) -> list[Health]:
        used = self._state.views.find(record.pool).used
        return [other.health for other in used if other is not entry]

    def _check_straggler(self, record: RequestRecord, entry: UpstreamEntry) -> None:
        """Eject an upstream that is far slower than its peers of the same pool."""
        samples = entry.health.first_token_s.samples + entry.health.inter_token_s.samples
        if samples % STRAGGLER_CHECK_SAMPLES or entry.health.state is not HealthState.IN_USE:
            return
        peers = self._list_peers(record, entry)
        out = sum(1 for peer in peers if peer.state is not HealthState.IN_USE)
        if not may_eject(out, len(peers) + 1) or not is_straggler(entry.health, peers):
            return
        entry.health.take_out(self._state.now_s, OutReason.STRAGGLER, EJECTION_S)
        self._state.log_decision(record, f"{entry.name} ejected as a straggler")
        self._wake_pools(entry, entry.health.out_until_s)

    def _wake_pools(self, entry: UpstreamEntry, at_s: float) -> None:
        """Let the upstream's pools dispatch again at a time."""
        for pool in self._state.upstreams.list_pools_of(entry):
            if at_s <= self._state.now_s:
                self._state.dirty_pools[pool] = None
            else:
                self._state.timers.add(at_s, DispatchTimer(pool=pool))

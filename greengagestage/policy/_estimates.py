"""What the policy expects: time in a slot, time in the queue, when to come back."""

from ._lengths import LengthEstimator
from ._pools import PoolState
from ._randomness import Generator
from ._records import RequestRecord

TYPICAL_QUANTILE = 0.5
HOPEFUL_QUANTILE = 0.25
QUEUE_SHARE_TO_DRAIN = 0.5
UNKNOWN_LENGTH_TOKENS = 64.0
MINIMUM_RETRY_S = 0.25
MAXIMUM_RETRY_S = 60.0
JITTER_SHARE = 0.5


class TimeEstimator:
    """Estimates from what was measured on this host."""

    def __init__(self, *, lengths: LengthEstimator, jitter: Generator) -> None:
        self._lengths = lengths
        self._jitter = jitter

    def estimate_service(self, record: RequestRecord, pool: PoolState, quantile: float) -> float:
        """Return the seconds that a request still needs in a slot."""
        request = record.request
        tokens = self._lengths.estimate(
            record.workspace, record.service_class.name, record.pool, quantile
        )
        if tokens is None:
            tokens = UNKNOWN_LENGTH_TOKENS if quantile >= TYPICAL_QUANTILE else 1.0
        if request.output_tokens_limit is not None:
            tokens = min(tokens, float(request.output_tokens_limit))
        return pool.latencies.estimate_service_s(
            record.service_class.name, max(tokens - record.tokens, 1.0)
        )

    def update_service_times(self, record: RequestRecord, pool: PoolState) -> None:
        """Bring a request's expected times in a slot up to date."""
        record.service_s = self.estimate_service(record, pool, TYPICAL_QUANTILE)
        record.optimistic_service_s = self.estimate_service(record, pool, HOPEFUL_QUANTILE)

    def estimate_wait(self, record: RequestRecord, pool: PoolState, slots: int) -> float:
        """Return the seconds that a new request will wait if every slot is taken."""
        ahead_s = pool.queue.estimate_work_ahead(record) + pool.latencies.slot_s.value
        return ahead_s / max(slots, 1)

    def estimate_drain_time(self, record: RequestRecord, pool: PoolState, slots: int) -> float:
        """Return the seconds until a good part of the work ahead of a class is done."""
        ahead_s = pool.queue.estimate_work_ahead(record) + pool.latencies.slot_s.value
        return ahead_s * QUEUE_SHARE_TO_DRAIN / max(slots, 1)

    def compute_retry_after(self, retry_after_s: float) -> float:
        """Return a time to come back, spread so that callers do not come back together."""
        bounded_s = min(max(retry_after_s, MINIMUM_RETRY_S), MAXIMUM_RETRY_S)
        return bounded_s * (1.0 + JITTER_SHARE * self._jitter.draw())

"""Estimates of service times, queueing delays and retry delays."""

from ._lengths import LengthEstimator
from ._pools import PoolState
from ._randomness import Generator
from ._records import RequestRecord

TYPICAL_QUANTILE = 0.5
OPTIMISTIC_QUANTILE = 0.25
QUEUE_FRACTION_TO_DRAIN = 0.5
DEFAULT_LENGTH_TOKENS = 64.0
MINIMUM_RETRY_AFTER_S = 0.25
MAXIMUM_RETRY_AFTER_S = 60.0
JITTER_FRACTION = 0.5


class TimeEstimator:
    """Estimates service times and delays from the measurements of this host."""

    def __init__(self, *, lengths: LengthEstimator, jitter: Generator) -> None:
        self._lengths = lengths
        self._jitter = jitter

    def estimate_service(self, record: RequestRecord, pool: PoolState, quantile: float) -> float:
        """Return the seconds that a request still needs in a slot, for a quantile of its length."""
        request = record.request
        tokens = self._lengths.estimate(
            record.workspace, record.service_class.name, record.pool, quantile
        )
        if tokens is None:
            tokens = DEFAULT_LENGTH_TOKENS if quantile >= TYPICAL_QUANTILE else 1.0
        if request.output_tokens_limit is not None:
            tokens = min(tokens, float(request.output_tokens_limit))
        return pool.latencies.estimate_service_s(
            record.service_class.name, max(tokens - record.tokens, 1.0)
        )

    def update_service_times(self, record: RequestRecord, pool: PoolState) -> None:
        """Update a request's expected times in a slot."""
        record.service_s = self.estimate_service(record, pool, TYPICAL_QUANTILE)
        record.optimistic_service_s = self.estimate_service(record, pool, OPTIMISTIC_QUANTILE)

    def estimate_wait(self, record: RequestRecord, pool: PoolState, slots: int) -> float:
        """Return the seconds that a new request will wait if every slot is occupied."""
        ahead_s = pool.queue.estimate_work_ahead(record) + pool.latencies.slot_s.value
        return ahead_s / max(slots, 1)

    def estimate_drain_time(self, record: RequestRecord, pool: PoolState, slots: int) -> float:
        """Return the seconds until a part of the work ahead of a request is done.

        The part is ``QUEUE_FRACTION_TO_DRAIN``.
        """
        ahead_s = pool.queue.estimate_work_ahead(record) + pool.latencies.slot_s.value
        return ahead_s * QUEUE_FRACTION_TO_DRAIN / max(slots, 1)

    def compute_retry_after(self, retry_after_s: float) -> float:
        """Return a retry delay in seconds, lengthened by jitter and within limits.

        The jitter prevents callers from retrying at the same time. It lengthens the delay by up to
        ``JITTER_FRACTION``, and the longest delays are shortened first to leave room for it.
        """
        longest_s = MAXIMUM_RETRY_AFTER_S / (1.0 + JITTER_FRACTION)
        bounded_s = min(max(retry_after_s, MINIMUM_RETRY_AFTER_S), longest_s)
        return bounded_s * (1.0 + JITTER_FRACTION * self._jitter.draw())

"""Quantiles of output lengths, learned online in bounded memory."""

import math
from array import array
from collections import OrderedDict

from greengagestage.ids import ClassName, PoolName, WorkspaceId

BUCKET_RATIO = 1.3
BUCKETS = 48
KEYS_LIMIT = 4096
SAMPLES_NEEDED = 8
SAMPLES_BEFORE_DECAY = 512

LengthKey = tuple[WorkspaceId | None, ClassName, PoolName]


class LengthHistogram:
    """Counts of lengths in buckets that grow geometrically; old counts fade."""

    __slots__ = ("_counts", "total")

    def __init__(self) -> None:
        self._counts = array("H", bytes(2 * BUCKETS))
        self.total = 0

    def observe(self, tokens: int) -> None:
        """Count one length."""
        if self.total >= SAMPLES_BEFORE_DECAY:
            self._counts = array("H", (count // 2 for count in self._counts))
            self.total = sum(self._counts)
        bucket = int(math.log(max(tokens, 1), BUCKET_RATIO))
        self._counts[min(bucket, BUCKETS - 1)] += 1
        self.total += 1

    def estimate(self, quantile: float) -> float:
        """Return the length below which this share of the lengths lies."""
        wanted = quantile * self.total
        seen = 0
        for bucket, count in enumerate(self._counts):
            seen += count
            if seen >= wanted and count:
                return float(BUCKET_RATIO ** (bucket + 0.5))
        return float(BUCKET_RATIO**BUCKETS)


class LengthEstimator:
    """Histograms by workspace, class and pool, with the class and pool to fall back on."""

    def __init__(self) -> None:
        self._histograms: OrderedDict[LengthKey, LengthHistogram] = OrderedDict()

    def observe(
        self, workspace: WorkspaceId, service_class: ClassName, pool: PoolName, tokens: int
    ) -> None:
        """Learn from an answer that ended properly."""
        self._find((workspace, service_class, pool)).observe(tokens)
        self._find((None, service_class, pool)).observe(tokens)

    def estimate(
        self, workspace: WorkspaceId, service_class: ClassName, pool: PoolName, quantile: float
    ) -> float | None:
        """Return a quantile of the output length in tokens, None while too little is known."""
        for key in ((workspace, service_class, pool), (None, service_class, pool)):
            histogram = self._histograms.get(key)
            if histogram is not None and histogram.total >= SAMPLES_NEEDED:
                return histogram.estimate(quantile)
        return None

    def _find(self, key: LengthKey) -> LengthHistogram:
        histogram = self._histograms.get(key)
        if histogram is None:
            histogram = self._histograms[key] = LengthHistogram()
            if len(self._histograms) > KEYS_LIMIT:
                self._histograms.popitem(last=False)
        else:
            self._histograms.move_to_end(key)
        return histogram

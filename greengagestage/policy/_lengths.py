"""Online estimates of output length quantiles in bounded memory."""

import math
from array import array
from collections import OrderedDict

from greengagestage.ids import ClassName, PoolName, WorkspaceId

BUCKET_RATIO = 1.3
BUCKET_COUNT = 48
HISTOGRAMS_LIMIT = 4096
MINIMUM_SAMPLES = 8
SAMPLES_BEFORE_DECAY = 512

LengthKey = tuple[WorkspaceId | None, ClassName, PoolName]


class LengthHistogram:
    """A histogram of lengths in geometrically growing buckets, in which old counts decay."""

    __slots__ = ("_counts", "total")

    def __init__(self) -> None:
        self._counts = array("H", bytes(2 * BUCKET_COUNT))
        self.total = 0

    def observe(self, tokens: int) -> None:
        """Count one length."""
        if self.total >= SAMPLES_BEFORE_DECAY:
            self._counts = array("H", (count // 2 for count in self._counts))
            self.total = sum(self._counts)
        bucket = int(math.log(max(tokens, 1), BUCKET_RATIO))
        self._counts[min(bucket, BUCKET_COUNT - 1)] += 1
        self.total += 1

    def estimate(self, quantile: float) -> float:
        """Return the length in tokens below which this share of the observed lengths lies."""
        target = quantile * self.total
        seen = 0
        for bucket, count in enumerate(self._counts):
            seen += count
            if seen >= target and count:
                return float(BUCKET_RATIO ** (bucket + 0.5))
        return float(BUCKET_RATIO**BUCKET_COUNT)


class LengthEstimator:
    """Length histograms by workspace, class and pool, with a fallback to class and pool alone."""

    def __init__(self) -> None:
        self._histograms: OrderedDict[LengthKey, LengthHistogram] = OrderedDict()

    def observe(
        self, workspace: WorkspaceId, service_class: ClassName, pool: PoolName, tokens: int
    ) -> None:
        """Record the output length of a complete answer."""
        self._get_or_create((workspace, service_class, pool)).observe(tokens)
        self._get_or_create((None, service_class, pool)).observe(tokens)

    def estimate(
        self, workspace: WorkspaceId, service_class: ClassName, pool: PoolName, quantile: float
    ) -> float | None:
        """Return a quantile of the output length in tokens, or None with too few samples."""
        for key in ((workspace, service_class, pool), (None, service_class, pool)):
            histogram = self._histograms.get(key)
            if histogram is not None and histogram.total >= MINIMUM_SAMPLES:
                return histogram.estimate(quantile)
        return None

    def _get_or_create(self, key: LengthKey) -> LengthHistogram:
        histogram = self._histograms.get(key)
        if histogram is None:
            histogram = self._histograms[key] = LengthHistogram()
            if len(self._histograms) > HISTOGRAMS_LIMIT:
                self._histograms.popitem(last=False)
        else:
            self._histograms.move_to_end(key)
        return histogram

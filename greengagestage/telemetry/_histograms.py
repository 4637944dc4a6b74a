"""Histograms cheap enough to observe once a token."""

from bisect import bisect_left
from collections.abc import Sequence
from itertools import accumulate

LATENCY_BOUNDS_S = (
    0.001,
    0.0025,
    0.005,
    0.01,
    0.025,
    0.05,
    0.1,
    0.25,
    0.5,
    1.0,
    2.5,
    5.0,
    10.0,
    30.0,
    60.0,
    300.0,
)


class Histogram:
    """Counts of observed seconds by bucket."""

    __slots__ = ("_bounds", "_counts", "sum_s")

    def __init__(self, bounds: Sequence[float] = LATENCY_BOUNDS_S) -> None:
        self._bounds = bounds
        self._counts = [0] * (len(bounds) + 1)
        self.sum_s = 0.0

    def observe(self, value_s: float) -> None:
        """Count one value."""
        self._counts[bisect_left(self._bounds, value_s)] += 1
        self.sum_s += value_s

    @property
    def count(self) -> int:
        """Number of values."""
        return sum(self._counts)

    def list_buckets(self) -> list[tuple[str, float]]:
        """Return the cumulative counts by upper bound."""
        names = [str(bound) for bound in self._bounds] + ["+Inf"]
        return list(zip(names, map(float, accumulate(self._counts)), strict=True))

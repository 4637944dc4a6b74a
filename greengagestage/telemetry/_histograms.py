"""Latency histograms that are cheap enough to update for every token."""

from bisect import bisect_left
from collections.abc import Iterable
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
    """Counts of observed durations by bucket. Bucket bounds are ``LATENCY_BOUNDS_S``."""

    __slots__ = ("_counts", "_sum_s")

    def __init__(self) -> None:
        self._counts = [0] * (len(LATENCY_BOUNDS_S) + 1)
        self._sum_s = 0.0

    @property
    def sum_s(self) -> float:
        """Sum of all observed durations, in seconds."""
        return self._sum_s

    def list_buckets(self) -> list[tuple[str, float]]:
        """Return the upper bound and cumulative count of each bucket."""
        names = [str(bound) for bound in LATENCY_BOUNDS_S] + ["+Inf"]
        return list(zip(names, map(float, accumulate(self._counts)), strict=True))


def observe(histograms: Iterable[Histogram], value_s: float) -> None:
    """Add one duration to several histograms; the bucket is looked up once."""
    bucket = bisect_left(LATENCY_BOUNDS_S, value_s)
    for histogram in histograms:
        histogram._counts[bucket] += 1
        histogram._sum_s += value_s

"""Estimates of the probability that a caller disconnects before its answer is complete."""

import math
from array import array

from greengagestage.ids import ClassName

BUCKET_RATIO = 1.1
BUCKET_COUNT = 128
MINIMUM_AGE_S = 0.01
MINIMUM_SAMPLES = 8
SAMPLES_BEFORE_DECAY = 1024


class AgeHistogram:
    """A histogram of ages in geometrically growing buckets, in which old counts decay."""

    __slots__ = ("_counts", "_total")

    def __init__(self) -> None:
        self._counts = array("H", bytes(2 * BUCKET_COUNT))
        self._total = 0

    def observe(self, age_s: float) -> None:
        """Count one age."""
        if self._total >= SAMPLES_BEFORE_DECAY:
            self._counts = array("H", (count // 2 for count in self._counts))
            self._total = sum(self._counts)
        self._counts[_find_bucket(age_s)] += 1
        self._total += 1

    def count_between(self, start_s: float, end_s: float) -> int:
        """Return how many ages lie in a range, including all of its first and last bucket."""
        return sum(self._counts[_find_bucket(start_s) : _find_bucket(end_s) + 1])

    def count_from(self, start_s: float) -> int:
        """Return how many ages are at least this long."""
        return sum(self._counts[_find_bucket(start_s) :])


class DepartureEstimator:
    """Estimates departures from the ages of requests, by class.

    The age of a request is the time since its arrival. It is recorded when the caller disconnects
    and when the answer is complete.
    """

    def __init__(self) -> None:
        self._left: dict[ClassName, AgeHistogram] = {}
        self._stayed: dict[ClassName, AgeHistogram] = {}

    def note_left(self, name: ClassName, age_s: float) -> None:
        """Record a caller that left before its answer was complete."""
        self._left.setdefault(name, AgeHistogram()).observe(age_s)

    def note_stayed(self, name: ClassName, age_s: float) -> None:
        """Record a caller that stayed until its answer was complete."""
        self._stayed.setdefault(name, AgeHistogram()).observe(age_s)

    def estimate_departure(self, name: ClassName, age_s: float, service_s: float) -> float:
        """Return the probability that a caller of this age leaves before its answer is complete.

        It is the share of the requests that reached this age whose callers left within the
        following ``service_s`` seconds, or 0 if too few requests reached it.
        """
        left = self._left.get(name)
        if left is None:
            return 0.0
        stayed = self._stayed.get(name)
        reached = left.count_from(age_s) + (stayed.count_from(age_s) if stayed else 0)
        if reached < MINIMUM_SAMPLES:
            return 0.0
        return left.count_between(age_s, age_s + service_s) / reached


def _find_bucket(age_s: float) -> int:
    bucket = int(math.log(max(age_s, MINIMUM_AGE_S) / MINIMUM_AGE_S, BUCKET_RATIO))
    return min(bucket, BUCKET_COUNT - 1)

"""How long callers stay, learned by class from those who left and those who got their answer."""

import math
from array import array

from greengagestage.ids import ClassName

BUCKET_RATIO = 1.1
BUCKETS = 128
SHORTEST_AGE_S = 0.01
SAMPLES_NEEDED = 8
SAMPLES_BEFORE_DECAY = 1024


class AgeHistogram:
    """Counts of ages in buckets that grow geometrically; old counts fade."""

    __slots__ = ("_counts", "_total")

    def __init__(self) -> None:
        self._counts = array("H", bytes(2 * BUCKETS))
        self._total = 0

    def observe(self, age_s: float) -> None:
        """Count one age."""
        if self._total >= SAMPLES_BEFORE_DECAY:
            self._counts = array("H", (count // 2 for count in self._counts))
            self._total = sum(self._counts)
        self._counts[_find_bucket(age_s)] += 1
        self._total += 1

    def count_between(self, start_s: float, end_s: float) -> int:
        """Return how many ages lie in a span of time, both buckets counted whole."""
        return sum(self._counts[_find_bucket(start_s) : _find_bucket(end_s) + 1])

    def count_from(self, start_s: float) -> int:
        """Return how many ages are at least this long."""
        return sum(self._counts[_find_bucket(start_s) :])


class DepartureEstimator:
    """The ages at which callers left and at which answers ended, by class."""

    def __init__(self) -> None:
        self._left: dict[ClassName, AgeHistogram] = {}
        self._stayed: dict[ClassName, AgeHistogram] = {}

    def note_left(self, name: ClassName, age_s: float) -> None:
        """Learn from a caller that left without a whole answer."""
        self._left.setdefault(name, AgeHistogram()).observe(age_s)

    def note_stayed(self, name: ClassName, age_s: float) -> None:
        """Learn from a caller that stayed for its whole answer."""
        self._stayed.setdefault(name, AgeHistogram()).observe(age_s)

    def estimate_departure(self, name: ClassName, age_s: float, service_s: float) -> float:
        """Return the chance that a caller of this age leaves before its answer is whole."""
        left = self._left.get(name)
        if left is None:
            return 0.0
        stayed = self._stayed.get(name)
        reached = left.count_from(age_s) + (stayed.count_from(age_s) if stayed else 0)
        if reached < SAMPLES_NEEDED:
            return 0.0
        return left.count_between(age_s, age_s + service_s) / reached


def _find_bucket(age_s: float) -> int:
    bucket = int(math.log(max(age_s, SHORTEST_AGE_S) / SHORTEST_AGE_S, BUCKET_RATIO))
    return min(bucket, BUCKETS - 1)

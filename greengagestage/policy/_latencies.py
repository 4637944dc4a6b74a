"""Latencies of a pool as moving averages."""

from dataclasses import dataclass

from greengagestage.ids import ClassName

SMOOTHING = 0.1


@dataclass(slots=True, kw_only=True)
class MovingAverage:
    """An exponentially weighted moving average that starts as a plain mean."""

    value: float = 0.0
    samples: int = 0

    def observe(self, sample: float) -> None:
        """Add one sample."""
        self.samples += 1
        weight = max(SMOOTHING, 1.0 / self.samples)
        self.value += weight * (sample - self.value)

    def reset(self) -> None:
        """Discard all samples."""
        self.value = 0.0
        self.samples = 0


class PoolLatencies:
    """The latencies of one pool.

    Averages the time to the first token for each class, the time between tokens, and the time for
    which a request occupies a slot.
    """

    def __init__(self) -> None:
        self.inter_token_s = MovingAverage()
        self.slot_s = MovingAverage()
        self._first_token_s: dict[ClassName, MovingAverage] = {}

    def observe_first_token(self, name: ClassName, waited_s: float) -> None:
        """Record the time from a dispatch to its first token."""
        self._first_token_s.setdefault(name, MovingAverage()).observe(waited_s)

    def estimate_first_token_s(self, name: ClassName) -> float:
        """Return the expected time from a dispatch to the first token, 0 without samples."""
        average = self._first_token_s.get(name)
        return average.value if average is not None else 0.0

    def estimate_service_s(self, name: ClassName, tokens: float) -> float:
        """Return the expected time in a slot, in seconds, for an answer of this many tokens."""
        if self.inter_token_s.samples:
            return self.estimate_first_token_s(name) + tokens * self.inter_token_s.value
        return self.slot_s.value

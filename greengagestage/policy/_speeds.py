"""How fast a pool answers, as moving averages."""

from dataclasses import dataclass

from greengagestage.ids import ClassName

SMOOTHING = 0.1


@dataclass(slots=True, kw_only=True)
class MovingAverage:
    """An exponentially weighted average; the first samples count in full."""

    value: float = 0.0
    samples: int = 0

    def observe(self, sample: float) -> None:
        """Take one sample in."""
        self.samples += 1
        weight = max(SMOOTHING, 1.0 / self.samples)
        self.value += weight * (sample - self.value)

    def reset(self) -> None:
        """Forget all samples."""
        self.value = 0.0
        self.samples = 0


class PoolLatencies:
    """Time to the first token by class, time between tokens and time in a slot of one pool."""

    def __init__(self) -> None:
        self.inter_token_s = MovingAverage()
        self.slot_s = MovingAverage()
        self._first_token_s: dict[ClassName, MovingAverage] = {}

    def observe_first_token(self, name: ClassName, waited_s: float) -> None:
        """Take in the time from a dispatch to its first token."""
        self._first_token_s.setdefault(name, MovingAverage()).observe(waited_s)

    def estimate_first_token_s(self, name: ClassName) -> float:
        """Return the expected time from a dispatch to the first token."""
        average = self._first_token_s.get(name)
        return average.value if average is not None else 0.0

    def estimate_service_s(self, name: ClassName, tokens: float) -> float:
        """Return the expected time in a slot for an answer of this many tokens."""
        if self.inter_token_s.samples:
            return self.estimate_first_token_s(name) + tokens * self.inter_token_s.value
        return self.slot_s.value

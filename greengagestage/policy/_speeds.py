"""How fast a pool answers, as moving averages."""

from dataclasses import dataclass

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


class PoolSpeed:
    """Time to the first token, time between tokens and time in a slot of one pool."""

    def __init__(self) -> None:
        self.first_token_s = MovingAverage()
        self.inter_token_s = MovingAverage()
        self.slot_s = MovingAverage()

    def estimate_service_s(self, tokens: float) -> float:
        """Return the expected time in a slot for an answer of this many tokens."""
        if self.inter_token_s.samples:
            return self.first_token_s.value + tokens * self.inter_token_s.value
        return self.slot_s.value

"""A model of the speed of a service's engines, learned from the first events of all hosts.

The time to a first event on an engine without other work is an overhead plus a time per token. All
work of an engine is counted in prefill tokens: the tokens of a prompt that take as long.
"""

import math
from dataclasses import dataclass

from greengagestage.catalog import Prompt
from greengagestage.ids import InstanceId

from ._engine_speeds import EngineSpeeds

ATTENTION_TOKENS_PER_PAIR = 2.2e-5
"""Prefill tokens that the attention of a new token to one before it takes. The ratio depends on the
shape of the model alone, and dense models of 30 to 70 billion parameters differ little in it."""

DECODE_TOKENS = 1.6
DECODE_TOKENS_PER_PAIR = 5e-4
"""Prefill tokens that one more stream adds to each batch step, and for each token of its context,
whose keys and values are read from memory."""

EXPECTED_OUTPUT_SHARE = 0.35
"""Expected output length as a share of the maximum that the caller allows."""

PRIOR_OVERHEAD_S = 0.012
PRIOR_TOKENS_PER_S = 90_000.0
"""Overhead and speed that are assumed before the first samples."""

PRIOR_WEIGHT = 0.2
PRIOR_TOKENS = 8_000.0
"""Weight of the assumed speed, as samples of an empty prompt and of one of this length."""

LATE_WEIGHT = 0.3
"""Weight of a sample that is slower than expected. Work of other hosts that is not reported yet
delays first events, and nothing makes them early."""

LATE_LIMIT = 2.0
"""Samples count at most as this multiple of the expected time: a slower one says more about its
engine than about all engines of the service."""

MEMORY_S = 20.0
"""Time constant with which samples are forgotten: engines are replaced by faster or slower ones."""

REPEAT_EXPONENT = 1.5
"""How fast further samples of one engine lose weight: all of them together weigh about as much as
three."""

LIMITED_CERTAINTY = 0.3
"""A sample that was limited weighs less and counts less as a repeat: if all engines are much slower
than assumed, the fit follows in several steps and then forgets them."""

FORGOTTEN_COUNT = 0.05
"""Decayed number of samples below which an engine is no longer tracked."""

MS_PER_S = 1_000.0
TOKENS_PER_LENGTH = 1_000.0
MIN_SLOPE = 1e-6

OVERHEAD_RANGE_S = (0.0, 0.2)
TOKENS_PER_S_RANGE = (2_000.0, 2_000_000.0)
"""Limits of the fitted overhead and speed."""


@dataclass(frozen=True, slots=True, kw_only=True)
class PrefillSamples:
    """Weighted sums over samples of prompt lengths and times, which hosts add up.

    Lengths are in thousands of prefill tokens, times in milliseconds.
    """

    weight: float = 0.0
    length: float = 0.0
    time: float = 0.0
    length_length: float = 0.0
    length_time: float = 0.0

    def __add__(self, other: "PrefillSamples") -> "PrefillSamples":
        return PrefillSamples(
            weight=self.weight + other.weight,
            length=self.length + other.length,
            time=self.time + other.time,
            length_length=self.length_length + other.length_length,
            length_time=self.length_time + other.length_time,
        )

    def scale(self, factor: float) -> "PrefillSamples":
        """Return the sums with all weights multiplied by a factor."""
        return PrefillSamples(
            weight=self.weight * factor,
            length=self.length * factor,
            time=self.time * factor,
            length_length=self.length_length * factor,
            length_time=self.length_time * factor,
        )


def build_sample(tokens: float, elapsed_s: float, weight: float) -> PrefillSamples:
    """Return the sums of one sample."""
    length, time = tokens / TOKENS_PER_LENGTH, elapsed_s * MS_PER_S
    return PrefillSamples(
        weight=weight,
        length=weight * length,
        time=weight * time,
        length_length=weight * length * length,
        length_time=weight * length * time,
    )


_PRIOR = build_sample(0.0, PRIOR_OVERHEAD_S, PRIOR_WEIGHT) + build_sample(
    PRIOR_TOKENS, PRIOR_OVERHEAD_S + PRIOR_TOKENS / PRIOR_TOKENS_PER_S, PRIOR_WEIGHT
)


@dataclass(frozen=True, slots=True, kw_only=True)
class EngineSpeed:
    """The fitted speed of a service's engines.

    Attributes:
        overhead_s: Time from sending to the first event of an empty prompt on an idle engine.
        s_per_token: Time per prefill token.
    """

    overhead_s: float = PRIOR_OVERHEAD_S
    s_per_token: float = 1 / PRIOR_TOKENS_PER_S

    def estimate_prefill_s(self, *, new_tokens: int, cached_tokens: int) -> float:
        """Return the seconds to prefill new tokens that follow cached ones."""
        return self.s_per_token * count_prefill_tokens(new_tokens, cached_tokens)

    def estimate_prompt_prefill_s(self, prompt: Prompt, cached_tokens: int) -> float:
        """Return the seconds to prefill a prompt with a cached prefix.

        At least the last token is always computed.
        """
        cached = min(cached_tokens, max(prompt.tokens - 1, 0))
        return self.estimate_prefill_s(new_tokens=prompt.tokens - cached, cached_tokens=cached)

    def estimate_decode_s(self, prompt: Prompt) -> float:
        """Return the seconds that decoding the expected output adds to the steps of an engine."""
        tokens = EXPECTED_OUTPUT_SHARE * prompt.output_tokens
        return tokens * (DECODE_TOKENS + prompt.tokens * DECODE_TOKENS_PER_PAIR) * self.s_per_token


def count_prefill_tokens(new_tokens: float, cached_tokens: float) -> float:
    """Return the work of new tokens that follow cached ones, in prefill tokens."""
    pairs = new_tokens * (cached_tokens + new_tokens / 2)
    return new_tokens + pairs * ATTENTION_TOKENS_PER_PAIR


def fit_speed(samples: PrefillSamples) -> EngineSpeed:
    """Return the line of least squares through the samples and those of the assumed speed."""
    total = samples + _PRIOR
    determinant = total.weight * total.length_length - total.length**2
    slope = (total.weight * total.length_time - total.length * total.time) / determinant
    slowest, fastest = TOKENS_PER_S_RANGE
    tokens_per_s = MS_PER_S * TOKENS_PER_LENGTH / max(slope, MIN_SLOPE)
    tokens_per_s = min(max(tokens_per_s, slowest), fastest)
    slope = MS_PER_S * TOKENS_PER_LENGTH / tokens_per_s
    overhead_s = (total.time - slope * total.length) / total.weight / MS_PER_S
    lowest_s, highest_s = OVERHEAD_RANGE_S
    return EngineSpeed(
        overhead_s=min(max(overhead_s, lowest_s), highest_s), s_per_token=1 / tokens_per_s
    )


class EngineModel:
    """Learns the speed of one service's engines from this host's samples and those of its peers.

    Attributes:
        speed: The speed of the usual engine.
        relative: Whether and how the engines differ from it.
    """

    def __init__(self) -> None:
        self.relative = EngineSpeeds()
        self._samples = PrefillSamples()
        self._counts: dict[InstanceId, float] = {}
        self._peer_samples = PrefillSamples()
        self._updated_s = 0.0
        self.speed = EngineSpeed()

    def observe(self, instance: InstanceId, tokens: float, elapsed_s: float, now_s: float) -> None:
        """Add the time to a first event on an engine that had no other prefill.

        The samples of one engine count less the more there are, so that a slow engine with much
        traffic does not stand for all.

        Args:
            tokens: Work of the prompt in prefill tokens.
        """
        self._decay(now_s)
        expected_s = self.speed.overhead_s + tokens * self.speed.s_per_token
        counted_s = min(elapsed_s, LATE_LIMIT * expected_s)
        repeats = self._counts.get(instance, 0.0)
        certainty = LIMITED_CERTAINTY if elapsed_s > counted_s else 1.0
        weight = certainty * (LATE_WEIGHT if elapsed_s > expected_s else 1.0)
        weight /= (1 + repeats) ** REPEAT_EXPONENT
        self._counts[instance] = repeats + certainty
        self._samples += build_sample(tokens, counted_s, weight)
        self._fit()

    def measure(self, now_s: float) -> PrefillSamples:
        """Return this host's samples, for its reports to other hosts."""
        self._decay(now_s)
        return self._samples

    def set_peer_samples(self, samples: PrefillSamples) -> None:
        """Replace the samples of all other hosts."""
        if samples != self._peer_samples:
            self._peer_samples = samples
            self._fit()

    def _fit(self) -> None:
        self.speed = fit_speed(self._samples + self._peer_samples)

    def _decay(self, now_s: float) -> None:
        factor = math.exp(-max(now_s - self._updated_s, 0.0) / MEMORY_S)
        self._samples = self._samples.scale(factor)
        self._counts = {
            instance: count * factor
            for instance, count in self._counts.items()
            if count * factor > FORGOTTEN_COUNT
        }
        self._updated_s = now_s

"""The demand on a service's engines, and how it splits them between two kinds of streams.

Latency-sensitive streams need short gaps between their events. Latency-tolerant streams, usually
with long prompts, allow longer gaps.
"""

import math
from dataclasses import dataclass

from greengagestage.catalog import Prompt

from ._work import estimate_decode_s, estimate_prefill_s

DEMAND_TIME_CONSTANT_S = 1.5
"""Time constant of the exponential decay of measured demand. Bursts last some seconds, and a
single host sees only a few requests per second."""

SENSITIVE_WEIGHT = 2.5
"""Engine capacity that sensitive work needs, relative to the same amount of tolerant work:
sensitive events must arrive on time, while long prompts can wait."""

DEFAULT_SENSITIVE_SHARE = 0.4
"""Share of the engines for sensitive streams while there is too little demand to compute one."""

MIN_DEMAND = 0.02
"""Demand in engine seconds per second, below which its composition is not significant."""

HYSTERESIS_ENGINES = 1.0
HYSTERESIS_SHARE = 0.08
"""The split changes only when the ideal number of sensitive engines differs from it by more than
this many engines and by more than this share of all engines. An engine that moves to the other
kind has to prefill its shared prompt prefixes again."""

SHORTAGE_THRESHOLD = 0.7
"""Weighted engine seconds per second and engine, above which one kind is short of engines. Below
it both kinds have spare capacity, and moving engines would only cost cached prefixes."""


@dataclass(frozen=True, slots=True, kw_only=True)
class Demand:
    """Work that callers request from a service's engines, in engine seconds per second.

    Attributes:
        sensitive: Work of latency-sensitive streams.
        tolerant: Work of all other requests.
    """

    sensitive: float = 0.0
    tolerant: float = 0.0

    def __add__(self, other: "Demand") -> "Demand":
        return Demand(
            sensitive=self.sensitive + other.sensitive, tolerant=self.tolerant + other.tolerant
        )

    @property
    def sensitive_share(self) -> float:
        """Share of the engines that should serve sensitive streams."""
        if self.sensitive + self.tolerant < MIN_DEMAND:
            return DEFAULT_SENSITIVE_SHARE
        weighted = SENSITIVE_WEIGHT * self.sensitive
        return weighted / (weighted + self.tolerant)


class DemandMeter:
    """Measures the demand that reaches this host, as an exponentially decaying sum."""

    def __init__(self) -> None:
        self._sensitive = 0.0
        self._tolerant = 0.0
        self._updated_s = 0.0

    def record(self, prompt: Prompt, *, sensitive: bool, now_s: float) -> None:
        """Add the estimated work of a caller's request."""
        self._decay(now_s)
        shared = prompt.shared_tokens
        new_tokens = max(prompt.tokens - shared, 1)
        work_s = estimate_prefill_s(new_tokens=new_tokens, cached_tokens=shared)
        work_s += estimate_decode_s(prompt)
        if sensitive:
            self._sensitive += work_s
        else:
            self._tolerant += work_s

    def measure(self, now_s: float) -> Demand:
        """Return the current demand."""
        self._decay(now_s)
        return Demand(
            sensitive=self._sensitive / DEMAND_TIME_CONSTANT_S,
            tolerant=self._tolerant / DEMAND_TIME_CONSTANT_S,
        )

    def _decay(self, now_s: float) -> None:
        factor = math.exp(-max(now_s - self._updated_s, 0.0) / DEMAND_TIME_CONSTANT_S)
        self._sensitive *= factor
        self._tolerant *= factor
        self._updated_s = now_s


class EngineSplit:
    """Splits a service's engines between sensitive and tolerant streams, with hysteresis."""

    def __init__(self) -> None:
        self._share = DEFAULT_SENSITIVE_SHARE

    def update_split(self, engines: int, demand: Demand) -> int:
        """Adjust the split to the demand, and return the number of engines for sensitive streams.

        The split follows the demand only when the difference exceeds the hysteresis and the kind
        that would gain engines is short of them.
        """
        share = demand.sensitive_share
        hysteresis = max(HYSTERESIS_ENGINES, HYSTERESIS_SHARE * engines)
        exceeds_hysteresis = abs(share - self._share) * engines > hysteresis
        if (
            exceeds_hysteresis
            and self._compute_utilization(engines, demand, share > self._share) > SHORTAGE_THRESHOLD
        ):
            self._share = share
        return self._round_to_engines(engines)

    def _compute_utilization(self, engines: int, demand: Demand, sensitive: bool) -> float:
        """Return the weighted demand of one kind, divided by the engines that serve it."""
        split = self._round_to_engines(engines)
        if sensitive:
            return SENSITIVE_WEIGHT * demand.sensitive / split
        return demand.tolerant / max(engines - split, 1)

    def _round_to_engines(self, engines: int) -> int:
        return min(max(round(self._share * engines), 1), max(engines - 1, 1))

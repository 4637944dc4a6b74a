"""How much work callers bring, and what part of the engines serves which kind."""

import math
from dataclasses import dataclass

from greengagestage.catalog import Prompt

from ._work import estimate_decode_s, estimate_prefill_s

DEMAND_MEMORY_S = 1.5
"""Demand fades over this time: bursts last some seconds, and a host sees few requests a second."""

SENSITIVE_WEIGHT = 2.5
"""Engines with short answers need this much more room for the same work: their events must come
in time, while long prompts may wait."""

DEFAULT_SHARE = 0.4
"""Part of the engines for answers with short pauses before there is any demand."""

LEAST_DEMAND = 0.02
"""Engine seconds a second below which demand says nothing about its parts."""

HYSTERESIS = 1.0
HYSTERESIS_SHARE = 0.08
"""The number of engines changes when the fair number differs from it by more than one, and by more
than this part of a large number: an engine that changes sides is read in anew."""

SHORTAGE = 0.7
"""Weighed engine seconds a second and engine above which a kind is short of engines. Below, both
kinds have room, and changing sides would only cost."""


@dataclass(frozen=True, slots=True, kw_only=True)
class Demand:
    """Engine seconds a second that callers bring."""

    sensitive: float = 0.0
    tolerant: float = 0.0

    def __add__(self, other: "Demand") -> "Demand":
        return Demand(
            sensitive=self.sensitive + other.sensitive, tolerant=self.tolerant + other.tolerant
        )

    @property
    def sensitive_share(self) -> float:
        """Part of the engines that answers with short pauses should have."""
        if self.sensitive + self.tolerant < LEAST_DEMAND:
            return DEFAULT_SHARE
        weighed = SENSITIVE_WEIGHT * self.sensitive
        return weighed / (weighed + self.tolerant)


class DemandMeter:
    """Measures the demand that reaches this host."""

    def __init__(self) -> None:
        self._sensitive = 0.0
        self._tolerant = 0.0
        self._updated_s = 0.0

    def note(self, prompt: Prompt, *, sensitive: bool, now_s: float) -> None:
        """Count a caller's request."""
        self._fade(now_s)
        shared = prompt.shared_tokens
        new_tokens = max(prompt.tokens - shared, 1)
        work_s = estimate_prefill_s(new_tokens=new_tokens, cached_tokens=shared)
        work_s += estimate_decode_s(prompt)
        if sensitive:
            self._sensitive += work_s
        else:
            self._tolerant += work_s

    def measure(self, now_s: float) -> Demand:
        """Return the demand now."""
        self._fade(now_s)
        return Demand(
            sensitive=self._sensitive / DEMAND_MEMORY_S, tolerant=self._tolerant / DEMAND_MEMORY_S
        )

    def _fade(self, now_s: float) -> None:
        factor = math.exp(-max(now_s - self._updated_s, 0.0) / DEMAND_MEMORY_S)
        self._sensitive *= factor
        self._tolerant *= factor
        self._updated_s = now_s


class EngineSplit:
    """The part of a service's engines that serves answers with short pauses."""

    def __init__(self) -> None:
        self._share = DEFAULT_SHARE

    def count(self, engines: int, demand: Demand) -> int:
        """Return the number of engines, which changes only when a kind is clearly short of them."""
        share = demand.sensitive_share
        hysteresis = max(HYSTERESIS, HYSTERESIS_SHARE * engines)
        is_clear = abs(share - self._share) * engines > hysteresis
        if is_clear and self._find_need(engines, demand, share > self._share) > SHORTAGE:
            self._share = share
        return self._round(engines)

    def _find_need(self, engines: int, demand: Demand, sensitive: bool) -> float:
        """Return the demand of one kind for each engine that it has."""
        split = self._round(engines)
        if sensitive:
            return SENSITIVE_WEIGHT * demand.sensitive / split
        return demand.tolerant / max(engines - split, 1)

    def _round(self, engines: int) -> int:
        return min(max(round(self._share * engines), 1), max(engines - 1, 1))

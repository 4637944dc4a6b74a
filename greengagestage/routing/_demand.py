"""The demand on a service's engines."""

import math
from collections.abc import Mapping
from dataclasses import dataclass, field

from greengagestage.catalog import Prompt

from ._engine_model import EngineSpeed, PrefillSamples
from ._overload import UrgencyTraffic
from ._route_groups import RouteTraffic

DEMAND_TIME_CONSTANT_S = 1.5
"""Time constant of the exponential decay of measured demand. Bursts last some seconds, and a
single host sees only a few requests per second."""


@dataclass(frozen=True, slots=True, kw_only=True)
class Demand:
    """What callers request from a service's engines, and how fast the engines were seen to be.

    The demands of several hosts can be added.

    Attributes:
        sensitive: Work of latency-sensitive streams, in engine seconds per second.
        tolerant: Work of all other requests.
        routes: Traffic by route.
        prefill: Samples of the time that prompts take.
        urgencies: Requests by urgency, and how many of them are overdue.
    """

    sensitive: float = 0.0
    tolerant: float = 0.0
    routes: Mapping[int, RouteTraffic] = field(default_factory=dict)
    prefill: PrefillSamples = PrefillSamples()
    urgencies: Mapping[int, UrgencyTraffic] = field(default_factory=dict)

    def __add__(self, other: "Demand") -> "Demand":
        routes = dict(self.routes)
        for route, traffic in other.routes.items():
            routes[route] = routes.get(route, RouteTraffic()) + traffic
        urgencies = dict(self.urgencies)
        for urgency, requests in other.urgencies.items():
            urgencies[urgency] = urgencies.get(urgency, UrgencyTraffic()) + requests
        return Demand(
            sensitive=self.sensitive + other.sensitive,
            tolerant=self.tolerant + other.tolerant,
            routes=routes,
            prefill=self.prefill + other.prefill,
            urgencies=urgencies,
        )


class DemandMeter:
    """Measures the demand that reaches this host, as an exponentially decaying sum."""

    def __init__(self) -> None:
        self._sensitive = 0.0
        self._tolerant = 0.0
        self._updated_s = 0.0

    def record(self, prompt: Prompt, *, speed: EngineSpeed, sensitive: bool, now_s: float) -> None:
        """Add the estimated work of a caller's request."""
        self._decay(now_s)
        work_s = speed.estimate_prompt_prefill_s(prompt, prompt.shared_tokens)
        work_s += speed.estimate_decode_s(prompt)
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

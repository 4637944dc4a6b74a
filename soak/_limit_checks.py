"""Checks that hosts together keep to the request rate that an upstream names."""

from bisect import bisect_left
from dataclasses import dataclass, field

from ._bounds import STABILITY_WINDOW_S
from ._disturbances import Disturbances
from ._findings import Findings, Rule
from ._ledger import Arrival, Attempt

WINDOW_S = 4.0
RATE_FACTOR = 1.5
ALLOWED_MORE = 5
TOLD_S = 0.5


@dataclass(slots=True)
class _NamedRate:
    """The rate that an upstream names, since when, and what it got from hosts that were told."""

    per_s: float
    named_s: float
    told_s: dict[str, float] = field(default_factory=dict)
    arrivals_s: list[float] = field(default_factory=list)

    def count_recent(self, now_s: float) -> int:
        return len(self.arrivals_s) - bisect_left(self.arrivals_s, now_s - WINDOW_S)


@dataclass(slots=True, kw_only=True)
class LimitChecks:
    """Remembers the rates of upstreams; a fault of a host since it was told excuses it."""

    findings: Findings
    disturbances: Disturbances
    _rates: dict[str, _NamedRate] = field(default_factory=dict)

    def begin(self, upstream: str, per_s: float, now_s: float) -> None:
        """Remember that an upstream names a rate from now on."""
        self._rates[upstream] = _NamedRate(per_s, now_s)

    def end(self, upstream: str) -> None:
        """Forget the rate of an upstream, which names it no more."""
        self._rates.pop(upstream, None)

    def record_answer(self, attempt: Attempt, upstream: str) -> None:
        """Remember that a host has passed on an answer with a rate."""
        rate = self._rates.get(upstream)
        if rate is not None and "server-limit" in attempt.headers:
            rate.told_s.setdefault(attempt.host, attempt.ended_s)

    def check_arrival(self, attempt: Attempt, arrival: Arrival) -> None:
        """Count a request of a host that was told, and report it if it is one too many."""
        rate, now_s = self._rates.get(arrival.upstream), arrival.arrived_s
        if rate is None or attempt.host not in rate.told_s:
            return
        told_s = rate.told_s[attempt.host]
        if now_s < told_s + TOLD_S or self.disturbances.was_harmed(attempt.host, told_s, now_s):
            return
        rate.arrivals_s.append(now_s)
        allowed = RATE_FACTOR * rate.per_s * WINDOW_S + ALLOWED_MORE
        count = rate.count_recent(now_s)
        if count > allowed and now_s > rate.named_s + STABILITY_WINDOW_S:
            text = (
                f"request {count} in 4 s at {arrival.upstream}, which takes {rate.per_s} a second"
            )
            self.findings.add_for(Rule.LIMIT, now_s, attempt, text)

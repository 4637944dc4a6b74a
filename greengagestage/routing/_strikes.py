"""Requests that crash the upstreams that run them."""

from dataclasses import dataclass, field

from greengagestage.ids import Fingerprint

STRIKES_TO_QUARANTINE = 3
"""Upstreams lost under equal requests before those are no longer sent. Single answers are lost
without a crash, so that two could be chance."""

STRIKE_LIFETIME_S = 60.0
"""Strikes are forgotten after this time without another."""

MAX_FINGERPRINTS = 4_096
"""Fingerprints remembered; the oldest go first."""


@dataclass(slots=True, kw_only=True)
class _Strikes:
    names: set[str] = field(default_factory=set)
    last_s: float


class LossTracker:
    """Counts how often an upstream was lost under equal requests, on any host."""

    def __init__(self) -> None:
        self._strikes: dict[Fingerprint, _Strikes] = {}

    def record_loss(self, fingerprint: Fingerprint, strike: str, now_s: float) -> int:
        """Count a loss, told once or more often, and return the number of losses."""
        strikes = self._strikes.pop(fingerprint, None)
        if strikes is None or now_s - strikes.last_s > STRIKE_LIFETIME_S:
            strikes = _Strikes(last_s=now_s)
        strikes.names.add(strike)
        strikes.last_s = now_s
        self._strikes[fingerprint] = strikes
        if len(self._strikes) > MAX_FINGERPRINTS:
            del self._strikes[next(iter(self._strikes))]
        return len(strikes.names)

    def is_quarantined(self, fingerprint: Fingerprint, now_s: float) -> bool:
        """Whether equal requests are no longer sent."""
        strikes = self._strikes.get(fingerprint)
        if strikes is None or now_s - strikes.last_s > STRIKE_LIFETIME_S:
            return False
        return len(strikes.names) >= STRIKES_TO_QUARANTINE

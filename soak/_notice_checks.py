"""Checks that hosts heed what upstreams tell them: that they leave, or want no more requests."""

import math
from dataclasses import dataclass, field

from ._bounds import DRAIN_S
from ._disturbances import Disturbances
from ._findings import Findings, Rule
from ._ledger import Arrival, Attempt

ALLOWED_IN_PAUSE = 2
PAUSE_SLACK_S = 0.5


@dataclass(slots=True)
class _Pause:
    """The time for which an upstream wants nothing from a host, and what it received."""

    began_s: float
    ended_s: float
    received: int = 0


@dataclass(slots=True, kw_only=True)
class NoticeChecks:
    """Remembers notices by host and upstream; a fault of the host since then excuses it."""

    findings: Findings
    disturbances: Disturbances
    _leaving_s: dict[tuple[str, str], float] = field(default_factory=dict)
    _pauses: dict[tuple[str, str], _Pause] = field(default_factory=dict)

    def record_answer(self, attempt: Attempt, upstream: str) -> None:
        """Remember that a host has passed on an answer that says the upstream leaves."""
        if attempt.headers.get("server-leaving") == "1":
            self._leaving_s.setdefault((attempt.host, upstream), attempt.ended_s)

    def record_pause(self, attempt: Attempt, arrival: Arrival, pause_s: float) -> None:
        """Remember that an upstream has refused a request and named a time for the next."""
        now_s = arrival.arrived_s
        key = attempt.host, arrival.upstream
        self._pauses[key] = _Pause(began_s=now_s + PAUSE_SLACK_S, ended_s=now_s + pause_s)

    def check_arrival(self, attempt: Attempt, arrival: Arrival) -> None:
        """Check a request against the notices that its host has received."""
        key, now_s = (attempt.host, arrival.upstream), arrival.arrived_s
        told_s = self._leaving_s.get(key, math.inf)
        if attempt.sent_s > told_s + DRAIN_S and not self.disturbances.was_harmed(
            attempt.host, told_s, now_s
        ):
            text = f"sent {attempt.sent_s - told_s:.2f} s after Server-Leaving"
            self.findings.add_for(Rule.DRAIN, now_s, attempt, f"{text} ({arrival.upstream})")
        pause = self._pauses.get(key)
        if pause is None or not pause.began_s < now_s < pause.ended_s:
            return
        pause.received += 1
        if pause.received == ALLOWED_IN_PAUSE + 1 and not self.disturbances.was_harmed(
            attempt.host, pause.began_s - PAUSE_SLACK_S, now_s
        ):
            text = f"request {pause.received} at {arrival.upstream} before its Retry-After"
            self.findings.add_for(Rule.BUDGET, now_s, attempt, text)

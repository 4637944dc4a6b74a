"""What must hold while a request, or a part of prompts, crashes each upstream that runs it."""

from collections import Counter, defaultdict
from dataclasses import dataclass, field
from enum import Enum

from ._bounds import STABILITY_WINDOW_S
from ._disturbances import Disturbances
from ._findings import Findings, Rule
from ._ledger import Arrival, Attempt

DEADLY_PART = "dead1"
ALLOWED_AFTERWARDS = 3
BLAMED = "prompts with the part"
"""Begins the detail of a refusal that blames a part of the prompt for crashes."""


class CrashCause(Enum):
    """What crashes upstreams: a part of prompts, or a request that is sent again and again."""

    PART = "part"
    REQUEST = "request"

    @property
    def crashes_to_know(self) -> int:
        """Number of crashes after which all hosts must know the cause."""
        return 5 if self is CrashCause.PART else 3


@dataclass(slots=True, kw_only=True)
class CrashChecks:
    """Counts the crashes under each cause, and the requests that still come with it."""

    findings: Findings
    disturbances: Disturbances
    _crashes_s: dict[CrashCause, list[float]] = field(default_factory=lambda: defaultdict(list))
    _late_arrivals: Counter[CrashCause] = field(default_factory=Counter)
    _late_s: dict[CrashCause, list[float]] = field(default_factory=lambda: defaultdict(list))

    def record_crash(self, cause: CrashCause, now_s: float) -> None:
        """Remember that an upstream has crashed under a request."""
        self._crashes_s[cause].append(now_s)

    def check_arrival(self, attempt: Attempt, arrival: Arrival) -> None:
        """Check a request that reaches an upstream although what it crashes by is known."""
        plan = attempt.plan
        if not plan.deadly and not plan.crashing:
            return
        cause = CrashCause.PART if plan.deadly else CrashCause.REQUEST
        crashes_s = self._crashes_s[cause]
        if len(crashes_s) < cause.crashes_to_know:
            return
        known_s = crashes_s[cause.crashes_to_know - 1] + STABILITY_WINDOW_S
        sent_s = arrival.arrived_s
        if sent_s < known_s:
            return
        self._late_s[cause].append(sent_s)
        if not self.disturbances.is_in_touch(attempt.host, sent_s, sent_s):
            return
        self._late_arrivals[cause] += 1
        if self._late_arrivals[cause] > ALLOWED_AFTERWARDS:
            text = f"send {self._late_arrivals[cause]} of a {cause.value} known to crash upstreams"
            self.findings.add_for(Rule.BUDGET, sent_s, attempt, f"{text} ({arrival.upstream})")

    def summarize(self, began_s: float) -> str:
        """Return what each cause did; disturbed hosts count, too.

        Args:
            began_s: The beginning of the run, from which times count.
        """
        texts = []
        for cause, crashes_s in self._crashes_s.items():
            times = " ".join(f"{late_s - began_s:.1f}" for late_s in self._late_s[cause])
            judged = self._late_arrivals[cause]
            texts.append(
                f"{len(crashes_s)} crashes under a {cause.value}, {len(self._late_s[cause])} sends "
                f"after it was to be known, {judged} of them at hosts in touch ({times or 'none'})"
            )
        return "; ".join(texts) or "no crashes under requests"

    def check_answer(self, attempt: Attempt) -> None:
        """Check that no sound prompt is refused for a part that crashes upstreams."""
        if attempt.plan.deadly or attempt.plan.crashing or attempt.status not in (502, 503):
            return
        if BLAMED.encode() in attempt.body:
            text = f"a sound prompt is refused: {bytes(attempt.body)!r}"
            self.findings.add_for(Rule.LOST, attempt.ended_s, attempt, text)

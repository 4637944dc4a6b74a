"""Findings of a run."""

from collections import Counter
from dataclasses import dataclass, field
from enum import Enum
from itertools import groupby, islice

from ._disturbances import Disturbances
from ._ledger import Attempt


class Rule(Enum):
    """The rules of the operators' pages that the soak checks."""

    MIXED = "MIXED"
    UNASKED = "UNASKED"
    TWICE = "TWICE"
    REFUSED = "REFUSED"
    DENIED = "DENIED"
    BUDGET = "BUDGET"
    LIMIT = "LIMIT"
    LOST = "LOST"
    ROUTE = "ROUTE"
    CONFIG = "CONFIG"
    DRAIN = "DRAIN"
    ORDER = "ORDER"
    DUTY = "DUTY"
    OWN_END = "OWN_END"
    RECOVER = "RECOVER"


@dataclass(frozen=True, slots=True, kw_only=True)
class Finding:
    """A broken rule."""

    rule: Rule
    at_s: float
    request: str
    text: str

    def describe(self, seed: int) -> str:
        """Return the finding as one line."""
        return f"seed {seed} {self.at_s:8.3f} s {self.rule.value} {self.request}: {self.text}"


def _get_rule(finding: Finding) -> str:
    return finding.rule.value


@dataclass(slots=True, kw_only=True)
class Findings:
    """Collects findings, with times since the beginning of the run."""

    began_s: float
    disturbances: Disturbances
    listed: list[Finding] = field(default_factory=list)

    def list_first(self, count: int) -> list[Finding]:
        """Return the first findings about each rule."""
        by_rule = groupby(sorted(self.listed, key=_get_rule), key=_get_rule)
        return [finding for _, group in by_rule for finding in islice(group, count)]

    def count_rules(self) -> str:
        """Return the number of findings by rule."""
        counts = Counter(finding.rule.value for finding in self.listed)
        return ", ".join(f"{rule} {count}" for rule, count in counts.items()) or "none"

    def add(self, rule: Rule, now_s: float, request: str, text: str) -> None:
        """Add a finding."""
        self.listed.append(
            Finding(rule=rule, at_s=now_s - self.began_s, request=request, text=text)
        )

    def add_for(self, rule: Rule, now_s: float, attempt: Attempt, text: str) -> None:
        """Add a finding about a request, with what was disturbed around it."""
        plan = attempt.plan
        recent = self.disturbances.list_recent(attempt.sent_s - 3.0, now_s, origin_s=self.began_s)
        facts = (
            f"{text}; {plan.kind} {plan.route} at {attempt.host}, sent "
            f"{attempt.sent_s - self.began_s:.3f}, deadline {plan.deadline_s:.1f}, "
            f"{attempt.ending.value} {attempt.status or ''} after {len(attempt.events)} events; "
            f"disturbed: {', '.join(recent) or 'nothing'}"
        )
        self.add(rule, now_s, plan.attempt, facts)

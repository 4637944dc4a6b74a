"""Checks the time that upstreams are given against the time that the callers have left."""

import math
from dataclasses import dataclass

from ._disturbances import FREEZE, Disturbances
from ._findings import Findings, Rule
from ._lag import Lag
from ._ledger import Arrival, Attempt, Ledger
from ._operator import Operator

SLACK_S = 0.5
DEADLINE = b"greengagestage-deadline-ms"


@dataclass(slots=True, kw_only=True)
class DeadlineChecks:
    """Checks each arrival at the end of a run, when it is known when hosts had the requests."""

    ledger: Ledger
    findings: Findings
    operator: Operator
    disturbances: Disturbances
    lag: Lag
    checked: int = 0
    checked_behind: int = 0

    def finish(self) -> None:
        """Report the arrivals that were given another time than is left."""
        for attempt in self.ledger.attempts.values():
            for arrival in self.ledger.arrivals.get(attempt.plan.attempt, ()):
                value = arrival.request.get(DEADLINE)
                if value is not None:
                    self._check(attempt, arrival, int(value) / 1e3)

    def summarize(self) -> str:
        """Return the number of deadlines that were checked."""
        return f"{self.checked} deadlines checked, {self.checked_behind} behind other requests"

    def _check(self, attempt: Attempt, arrival: Arrival, given_s: float) -> None:
        sent_s, arrived_s = attempt.sent_s, arrival.arrived_s
        self.checked += 1
        self.checked_behind += attempt.is_behind
        least_s = min(attempt.plan.deadline_s, self._find_timeout_s(attempt)) + sent_s - arrived_s
        if given_s < least_s - SLACK_S:
            text = f"given {given_s:.2f} s, at least {least_s:.2f} s are left"
            self.findings.add_for(Rule.LOST, arrived_s, attempt, f"{text} ({arrival.upstream})")
        passed_s = attempt.passed_s
        if passed_s is None or math.isinf(passed_s) or self._was_held_up(attempt, arrival):
            return
        most_s = attempt.plan.deadline_s - max(arrived_s - passed_s, 0.0)
        if given_s > most_s + SLACK_S + self.lag.find_sum_s(passed_s, arrived_s):
            text = f"given {given_s:.2f} s, at most {most_s:.2f} s are left"
            self.findings.add_for(Rule.BUDGET, arrived_s, attempt, f"{text} ({arrival.upstream})")

    def _find_timeout_s(self, attempt: Attempt) -> float:
        """Return the shortest timeout of the request's route in any version."""
        versions = (entry.configuration for entry in self.operator.history)
        specs = (version.routes.get(attempt.plan.route) for version in versions)
        return min((spec.timeout_s for spec in specs if spec is not None), default=math.inf)

    def _was_held_up(self, attempt: Attempt, arrival: Arrival) -> bool:
        """Whether a host or a link may have held the request back since the host had it.

        A host that was frozen is to take that time off, once it runs again.
        """
        sent_s, arrived_s, find = attempt.sent_s, arrival.arrived_s, self.disturbances.find_fault
        return (
            find(attempt.host, sent_s, arrived_s, besides=(FREEZE,)) is not None
            or find(arrival.upstream, sent_s, arrived_s) is not None
        )

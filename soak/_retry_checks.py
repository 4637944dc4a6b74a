"""Checks of repeated arrivals within the retry window, and of the time that upstreams are given."""

from bisect import bisect_right
from collections import defaultdict
from collections.abc import Callable
from dataclasses import dataclass, field

from ._bounds import RETRY_RATIO, RETRY_WINDOW_S
from ._disturbances import Disturbances
from ._findings import Findings, Rule
from ._ledger import Arrival, Attempt, Ledger
from ._operator import Operator

DEADLINE_SLACK_S = 0.5
"""An upstream may be given this much more time than its caller waits, and a repeated send this much
more than the first one. A send that is repeated sooner is not checked."""

MAX_LONG_DEADLINES = 20
MAX_LONG_SHARE = 0.2


@dataclass(slots=True, kw_only=True)
class RetryChecks:
    """Counts what reaches each service again, against what the retry budget allows.

    Args:
        get_slack: Returns the largest slack of the budget that a host's settings have named.

    Attributes:
        largest_use: The largest share of the allowance that was used in a window.
    """

    ledger: Ledger
    findings: Findings
    operator: Operator
    disturbances: Disturbances
    get_slack: Callable[[], float]
    largest_use: float = 0.0
    _repeats_s: dict[str, list[float]] = field(default_factory=lambda: defaultdict(list))
    _late_repeats: int = 0
    _long_deadlines: int = 0

    @property
    def repeats(self) -> int:
        """Number of arrivals beyond the first of each request."""
        return sum(map(len, self._repeats_s.values()))

    def check_arrival(self, attempt: Attempt, arrival: Arrival) -> None:
        """Check an arrival that the ledger has already recorded."""
        earlier = self.ledger.arrivals[arrival.attempt][:-1]
        if earlier:
            self._check_window(attempt, arrival)
        self._count_deadline(attempt, arrival, earlier)

    def finish(self, now_s: float) -> None:
        """Check the rule about the share of deadlines at the end of a run."""
        long, late = self._long_deadlines, self._late_repeats
        if long > MAX_LONG_DEADLINES and long > MAX_LONG_SHARE * late:
            text = f"{long} requests with more time than is left; {late} were sent again late"
            self.findings.add(Rule.BUDGET, now_s, "-", text)

    def _check_window(self, attempt: Attempt, arrival: Arrival) -> None:
        service, now_s = arrival.service, arrival.arrived_s
        repeats_s = self._repeats_s[service]
        repeats_s.append(now_s)
        repeats = len(repeats_s) - bisect_right(repeats_s, now_s - RETRY_WINDOW_S)
        requests = self._count_requests(service, now_s)
        allowed = RETRY_RATIO * requests + self.get_slack()
        self.largest_use = max(self.largest_use, repeats / allowed)
        if repeats > allowed:
            text = f"repeat {repeats} in {RETRY_WINDOW_S:.0f} s at {service}, beside {requests}"
            self.findings.add_for(Rule.BUDGET, now_s, attempt, f"{text} requests")

    def _count_requests(self, service: str, now_s: float) -> int:
        """Return the requests of the best of the windows that the rule allows."""
        routes = {
            spec.name
            for entry in self.operator.history
            for spec in entry.configuration.routes.values()
            if spec.service == service
        }

        def count(ended_s: float) -> int:
            return sum(
                bisect_right(sent_s, ended_s) - bisect_right(sent_s, ended_s - RETRY_WINDOW_S)
                for sent_s in (self.ledger.sent_s[route] for route in routes)
            )

        return max(count(now_s - RETRY_WINDOW_S * shift) for shift in (0.0, 0.5, 1.0))

    def _count_deadline(self, attempt: Attempt, arrival: Arrival, earlier: list[Arrival]) -> None:
        """Count an arrival that is given more time than its caller has left."""
        now_s = arrival.arrived_s
        if not self.disturbances.is_calm(attempt.host, attempt.sent_s, now_s):
            return
        time_left_s = _read_time_left(arrival)
        is_late = bool(earlier) and now_s > earlier[0].arrived_s + DEADLINE_SLACK_S
        self._late_repeats += is_late
        if time_left_s is None or time_left_s > attempt.plan.deadline_s + DEADLINE_SLACK_S:
            self._long_deadlines += 1
        elif is_late:
            first_s = _read_time_left(earlier[0]) or 0.0
            end_s = max(attempt.sent_s + attempt.plan.deadline_s, earlier[0].arrived_s + first_s)
            self._long_deadlines += now_s + time_left_s > end_s + DEADLINE_SLACK_S


def _read_time_left(arrival: Arrival) -> float | None:
    value = arrival.request.get(b"greengagestage-deadline-ms")
    return None if value is None else int(value) / 1e3

"""The retry budget, which all hosts share without exchanging messages."""

from collections import deque
from dataclasses import dataclass

from greengagestage.catalog import Bounds
from greengagestage.ids import ServiceName

LOCAL_SHARE = 0.5
"""Share of its allowance that a host uses. The processes of a host that follow each other in one
window may together use twice as much."""

ASSUMED_HOSTS = 16
"""Number of hosts assumed until the host list has been read: twice the usual number."""


@dataclass(frozen=True, slots=True, kw_only=True)
class RetryUsage:
    """How much of its part of the retry budget of a service a host has used.

    Attributes:
        used: Retries in the current window, with those that have yet to be sent.
        allowance: Retries that this host may use in the current window.
        denied: Retries that were not allowed, since the start of the process.
    """

    service: ServiceName
    used: int
    allowance: float
    denied: int


class RetryBudget:
    """Limits the retries of one service on this host within a sliding window.

    Sends after a failed connection are not counted: the budget limits repeated arrivals at
    upstreams, and nothing arrived there. A retry is reserved when it is decided on, and counted at
    the time at which it is sent, which may be seconds later.
    """

    def __init__(self) -> None:
        self._requests: deque[float] = deque()
        self._retries: deque[float] = deque()
        self._reserved = 0
        self.denied = 0

    def record_request(self, bounds: Bounds, now_s: float) -> None:
        """Count a caller's request, which increases the allowance."""
        self._requests.append(now_s)
        self.drop_expired(bounds, now_s)

    def try_reserve(self, bounds: Bounds, slack: float, now_s: float) -> bool:
        """Reserve a retry if that stays within the allowance; return whether it does.

        Args:
            slack: This host's part of the slack of all hosts.
        """
        self.drop_expired(bounds, now_s)
        if self.used + 1 > self.compute_allowance(bounds, slack):
            self.denied += 1
            return False
        self._reserved += 1
        return True

    def record_sent(self, now_s: float) -> None:
        """Count a reserved retry that is being sent."""
        self._reserved -= 1
        self._retries.append(now_s)

    def release(self) -> None:
        """Give back a reserved retry that is not sent."""
        self._reserved -= 1

    @property
    def used(self) -> int:
        """Retries of the window, and reserved ones."""
        return len(self._retries) + self._reserved

    def compute_allowance(self, bounds: Bounds, slack: float) -> float:
        """Return the retries that this host may use in the window."""
        return LOCAL_SHARE * (bounds.retry_ratio * len(self._requests) + slack)

    def drop_expired(self, bounds: Bounds, now_s: float) -> None:
        """Forget what lies before the current window."""
        for times in (self._requests, self._retries):
            while times and times[0] < now_s - bounds.retry_window_s:
                times.popleft()


class RetryBudgets:
    """The retry budgets of all services on this host.

    Each host gets an equal part of the slack. A host that starts does not know what a process
    before it has spent in the same window. It has no slack at first, and its whole part once it has
    run for a window, so that any number of starts in a window use two parts of ``LOCAL_SHARE`` at
    most. A host without a predecessor has its part at once. As long as the number of hosts is
    unknown, so is the part, and only requests allow retries.
    """

    def __init__(self, bounds: Bounds) -> None:
        self._bounds = bounds
        self._budgets: dict[ServiceName, RetryBudget] = {}
        self._slack_since_s: float | None = None

    def update_bounds(self, bounds: Bounds) -> None:
        """Apply changed bounds; retries that were already counted stay counted."""
        self._bounds = bounds

    def begin_slack(self, now_s: float, *, has_predecessor: bool) -> None:
        """Begin to use slack, since the number of hosts is known; later calls change nothing.

        Args:
            has_predecessor: Whether another process of this host may have used slack before.
        """
        if self._slack_since_s is None:
            self._slack_since_s = now_s if has_predecessor else float("-inf")

    def record_request(self, service: ServiceName, now_s: float) -> None:
        """Count a caller's request."""
        self._get(service).record_request(self._bounds, now_s)

    def try_reserve(self, service: ServiceName, hosts: int | None, now_s: float) -> bool:
        """Reserve a retry if the budget allows it; return whether it does.

        Each reserved retry must be either recorded as sent or released.

        Args:
            hosts: Number of hosts; None while it is unknown.
        """
        slack = self._compute_slack(hosts, now_s)
        return self._get(service).try_reserve(self._bounds, slack, now_s)

    def record_sent(self, service: ServiceName, now_s: float) -> None:
        """Count a reserved retry that is being sent."""
        self._get(service).record_sent(now_s)

    def release(self, service: ServiceName) -> None:
        """Give back a reserved retry that is not sent."""
        self._get(service).release()

    def list_usage(self, hosts: int | None, now_s: float) -> list[RetryUsage]:
        """Return what this host has used, by service."""
        slack = self._compute_slack(hosts, now_s)
        for budget in self._budgets.values():
            budget.drop_expired(self._bounds, now_s)
        return [
            RetryUsage(
                service=service,
                used=budget.used,
                allowance=budget.compute_allowance(self._bounds, slack),
                denied=budget.denied,
            )
            for service, budget in self._budgets.items()
        ]

    def _compute_slack(self, hosts: int | None, now_s: float) -> float:
        """Return this host's part of the slack that it may use now."""
        if hosts is None or self._slack_since_s is None:
            return 0.0
        age_s, window_s = now_s - self._slack_since_s, self._bounds.retry_window_s
        accrued = min(max(age_s / window_s, 0.0), 1.0) if window_s > 0 else 1.0
        return accrued * self._bounds.retry_slack / max(hosts, 1)

    def _get(self, service: ServiceName) -> RetryBudget:
        return self._budgets.setdefault(service, RetryBudget())

"""The retry budget, which all hosts share without exchanging messages."""

from collections import deque

LOCAL_SHARE = 0.5
"""Share of its allowance that a host uses. Hosts that have just restarted have lost the count of
what they spent in the same window, and some hosts may not be known yet."""

ASSUMED_HOSTS = 16
"""Number of hosts assumed until the host list has been read: twice the usual number."""


class RetryBudget:
    """Limits the retries of one service on this host within a sliding window.

    Sends after a failed connection are not counted: the budget limits repeated arrivals at
    upstreams, and nothing arrived there.

    Args:
        ratio: Retries allowed per request.
        slack: Retries allowed in addition, over all hosts; each host gets an equal share.
        window_s: Length of the window.
    """

    def __init__(self, *, ratio: float, slack: float, window_s: float) -> None:
        self._ratio = ratio
        self._slack = slack
        self._window_s = window_s
        self._requests: deque[float] = deque()
        self._retries: deque[float] = deque()

    def update_limits(self, *, ratio: float, slack: float, window_s: float) -> None:
        """Apply changed limits; retries already counted stay counted."""
        self._ratio, self._slack, self._window_s = ratio, slack, window_s

    def record_request(self, now_s: float) -> None:
        """Count a caller's request, which increases the allowance."""
        self._requests.append(now_s)
        self._expire(now_s)

    def allows_retry(self, now_s: float, hosts: int | None) -> bool:
        """Whether one more retry stays within this host's share of the allowance.

        Args:
            hosts: Number of hosts; None while it is unknown.
        """
        self._expire(now_s)
        ratio_allowance = self._ratio * len(self._requests)
        slack_allowance = self._slack / max(hosts or ASSUMED_HOSTS, 1)
        return len(self._retries) + 1 <= LOCAL_SHARE * (ratio_allowance + slack_allowance)

    def record_retry(self, now_s: float) -> None:
        """Count a retry that is being sent."""
        self._retries.append(now_s)

    def _expire(self, now_s: float) -> None:
        for times in (self._requests, self._retries):
            while times and times[0] < now_s - self._window_s:
                times.popleft()

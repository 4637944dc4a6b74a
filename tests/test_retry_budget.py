"""Tests that all hosts together keep to the retry budget, whatever happens to single ones."""

from bisect import bisect_right

import pytest
from hypothesis import given
from hypothesis import strategies as st

from greengagestage.catalog import Bounds
from greengagestage.ids import ServiceName
from greengagestage.routing import RetryBudgets

BOUNDS = Bounds(retry_ratio=0.2, retry_slack=58.0, retry_window_s=10.0)
SERVICE = ServiceName("archive")
STEP_S = 0.25


class BudgetFleet:
    """Hosts that retry as often as their budgets allow, and the times of what they sent.

    Args:
        hosts: Number of hosts, which know each other.
        delay_s: Time from the decision for a retry to its send.
    """

    def __init__(self, hosts: int, *, delay_s: float = 0.0, known: bool = True) -> None:
        self.now_s = 0.0
        self.sent_s: list[float] = []
        self.requests_s: list[float] = []
        self._delay_s = delay_s
        self._known = hosts if known else None
        self._due: list[tuple[float, RetryBudgets]] = []
        self.budgets = [self._build(has_predecessor=False) for _ in range(hosts)]

    def restart(self, host: int) -> None:
        """Replace a host's process, which forgets its budget and what it was about to send."""
        self._due = [(due_s, each) for due_s, each in self._due if each is not self.budgets[host]]
        self.budgets[host] = self._build(has_predecessor=True)

    def request(self, host: int) -> None:
        """Let a request of a caller arrive."""
        self.requests_s.append(self.now_s)
        self.budgets[host].record_request(SERVICE, self.now_s)

    def step(self) -> None:
        """Send what is due, reserve as many retries as all hosts may, and let time pass."""
        for due_s, budgets in [each for each in self._due if each[0] <= self.now_s]:
            self._due.remove((due_s, budgets))
            budgets.record_sent(SERVICE, self.now_s)
            self.sent_s.append(self.now_s)
        for budgets in self.budgets:
            while budgets.try_reserve(SERVICE, self._known, self.now_s):
                self._due.append((self.now_s + self._delay_s, budgets))
        if self._delay_s == 0.0:
            for _, budgets in self._due:
                budgets.record_sent(SERVICE, self.now_s)
                self.sent_s.append(self.now_s)
            self._due.clear()
        self.now_s += STEP_S

    def measure_use(self) -> float:
        """Return the largest share of the allowance that was used in a window."""
        return max((self._measure_use(end_s) for end_s in self.sent_s), default=0.0)

    def _measure_use(self, end_s: float) -> float:
        window_s = BOUNDS.retry_window_s

        def count(times_s: list[float], end_s: float) -> int:
            return bisect_right(times_s, end_s) - bisect_right(times_s, end_s - window_s)

        requests = max(
            count(self.requests_s, end_s - window_s * shift) for shift in (0.0, 0.5, 1.0)
        )
        allowed = BOUNDS.retry_ratio * requests + BOUNDS.retry_slack
        return count(self.sent_s, end_s) / allowed

    def _build(self, *, has_predecessor: bool) -> RetryBudgets:
        budgets = RetryBudgets(BOUNDS)
        if self._known is not None:
            budgets.begin_slack(self.now_s, has_predecessor=has_predecessor)
        return budgets


def run(fleet: BudgetFleet, seconds: float, *, restart_every_s: float | None = None) -> None:
    """Let time pass, and restart one host after the other, each of them at the same interval."""
    hosts = len(fleet.budgets)
    restarts = 0
    for number in range(round(seconds / STEP_S)):
        for host in range(hosts):
            if number % 4 == host % 4:
                fleet.request(host)
        fleet.step()
        while restart_every_s is not None and fleet.now_s * hosts > restarts * restart_every_s:
            fleet.restart(restarts % hosts)
            restarts += 1


# Guards against hosts that each spend the whole part of a window again after each start.
@pytest.mark.parametrize("hosts", [1, 8, 371])
@pytest.mark.parametrize("restart_every_s", [1.0, 3.0, 9.0])
def test_hosts_that_restart_again_and_again_keep_to_the_retry_budget(
    hosts: int, restart_every_s: float
) -> None:
    fleet = BudgetFleet(hosts)
    run(fleet, 30.0 if hosts < 100 else 12.0, restart_every_s=restart_every_s)
    assert fleet.measure_use() <= 1.0


# Guards against retries that are counted when they are decided on and arrive seconds later.
@pytest.mark.parametrize("restart_every_s", [None, 9.0])
def test_retries_that_wait_for_an_upstream_keep_to_the_retry_budget(
    restart_every_s: float | None,
) -> None:
    fleet = BudgetFleet(8, delay_s=6.0)
    run(fleet, 40.0, restart_every_s=restart_every_s)
    assert fleet.sent_s
    assert fleet.measure_use() <= 1.0


# Guards against a part of the slack that is computed from a guess at the number of hosts.
@pytest.mark.parametrize("hosts", [8, 371])
def test_hosts_that_do_not_know_the_others_retry_in_proportion_to_requests_alone(
    hosts: int,
) -> None:
    fleet = BudgetFleet(hosts, known=False)
    run(fleet, 12.0)
    requests = len(fleet.requests_s)
    assert 0 < len(fleet.sent_s) <= BOUNDS.retry_ratio * requests


@given(hosts=st.integers(1, 400), requests=st.integers(0, 300))
def test_all_hosts_together_stay_within_the_retry_budget(hosts: int, requests: int) -> None:
    fleet = BudgetFleet(hosts)
    for number in range(requests):
        fleet.request(number % hosts)
    fleet.step()
    assert fleet.measure_use() <= 1.0


# Guards against a budget that, once spent, never allows a retry again.
def test_spent_retries_are_available_again_after_the_window() -> None:
    fleet = BudgetFleet(8)
    fleet.step()
    spent = len(fleet.sent_s)
    assert spent
    fleet.now_s = 5.0
    fleet.step()
    assert len(fleet.sent_s) == spent
    fleet.now_s = BOUNDS.retry_window_s + 0.1
    fleet.step()
    assert len(fleet.sent_s) == 2 * spent


# Guards against a host that may never retry after a restart.
def test_a_restarted_host_has_its_whole_part_after_a_window() -> None:
    fleet = BudgetFleet(1)
    fleet.restart(0)
    assert not fleet.budgets[0].try_reserve(SERVICE, 1, fleet.now_s)
    fleet.now_s = BOUNDS.retry_window_s
    fleet.step()
    assert len(fleet.sent_s) == BOUNDS.retry_slack / 2


# Guards against reserved retries that are never given back.
def test_a_released_retry_can_be_used_again() -> None:
    budgets = BudgetFleet(8).budgets[0]
    for _ in range(10):
        assert budgets.try_reserve(SERVICE, 8, 0.0)
        budgets.release(SERVICE)

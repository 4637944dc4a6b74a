"""Tests of the calls that hosts make while the store turns them away."""

from collections.abc import Iterator
from random import Random

from greengagestage.gateway.watches._store_retries import (
    LONGEST_CONFIRMED_S,
    LONGEST_UNCONFIRMED_S,
    PROBING_HOSTS,
    StoreRetries,
)

OUTAGE_S = 9.0
FIRST_S = 0.15


def list_calls(rank: int, age_s: float | None) -> Iterator[float]:
    """Yield the times of failed calls in an outage."""
    retries = StoreRetries(first_s=FIRST_S, random=Random(rank))
    now_s = 0.0
    while now_s < OUTAGE_S:
        yield now_s
        now_s += retries.record_failure(rank=rank, age_s=age_s)


# Guards against a price of calls that grows with the fleet: in an outage of 9 s each of 21 hosts
# called the store some 110 times, though two of them suffice to notice its return.
def test_a_host_whose_copy_others_confirm_calls_about_once_a_second() -> None:
    assert len(list(list_calls(PROBING_HOSTS, 0.5))) <= OUTAGE_S / LONGEST_CONFIRMED_S + 4


def test_a_host_whose_copy_nobody_confirms_notices_the_return_within_a_second() -> None:
    for age_s in (None, 4.0):
        times = list(list_calls(PROBING_HOSTS + 3, age_s))
        gaps = [after - before for before, after in zip(times, times[1:], strict=False)]
        assert max(gaps) <= 1.5 * LONGEST_UNCONFIRMED_S < 1.0


def test_the_first_hosts_notice_the_return_as_soon_as_before() -> None:
    times = list(list_calls(0, 9.0))
    assert max(after - before for before, after in zip(times, times[1:], strict=False)) <= 0.225


def test_a_success_shortens_the_pause_again() -> None:
    retries = StoreRetries(first_s=FIRST_S, random=Random(1))
    for _ in range(5):
        retries.record_failure(rank=9, age_s=None)
    retries.record_success()
    assert retries.record_failure(rank=9, age_s=None) <= 1.5 * FIRST_S

"""Tests of the account of held bytes: what is scarce, and whose connection is closed."""

from dataclasses import dataclass

from greengagestage.http1 import MemoryAccount, compute_held_limit

LIMIT = 1_000
MIB = 1_048_576


@dataclass(eq=False)
class Holder:
    held_bytes: int = 0
    awaits_peer: bool = True
    moved_bytes: int = 0

    def shed(self) -> None:
        self.held_bytes = 0


def hold(account: MemoryAccount, count: int) -> Holder:
    holder = Holder(held_bytes=count)
    account.record(holder, count)
    return holder


def test_the_limit_leaves_room_for_the_process_and_for_copies() -> None:
    assert compute_held_limit(300 * MIB) == 118 * MIB
    assert compute_held_limit(32 * MIB) == 16 * MIB


def test_bytes_that_have_left_are_not_counted_in_a_decision() -> None:
    account = MemoryAccount(limit_bytes=LIMIT)
    holders = [hold(account, 400) for _ in range(3)]
    assert account.is_full
    for holder in holders:
        holder.held_bytes = 200
    assert account.is_full  # not measured again before more has been recorded
    hold(account, 100)
    assert not account.is_full
    assert account.is_scarce


# Guards against closing callers that read while others, who read nothing, keep what they hold.
def test_callers_without_progress_are_closed_first_and_no_more_than_needed() -> None:
    account = MemoryAccount(limit_bytes=LIMIT)
    reading, small, large = (hold(account, count) for count in (500, 200, 400))
    reading.moved_bytes += 100
    assert account.choose_excess() == [large]
    large.shed()
    small.held_bytes = 600
    assert account.choose_excess() == [small]
    small.shed()
    assert account.choose_excess() == []
    assert account.held_bytes == 500


# Guards against closing callers with long bodies that only wait for their answers.
def test_callers_that_wait_for_an_upstream_are_not_closed() -> None:
    account = MemoryAccount(limit_bytes=LIMIT)
    waiting, slow = hold(account, 900), hold(account, 200)
    waiting.awaits_peer = False
    assert account.choose_excess() == [slow]


def test_without_a_limit_nothing_is_counted() -> None:
    account = MemoryAccount()
    hold(account, 10**12)
    assert not account.is_scarce
    assert account.held_bytes == 0


# Guards against refusing a caller that has sent much since the last check before one that sends
# nothing.
def test_callers_that_have_moved_bytes_since_the_last_check_are_not_the_slowest() -> None:
    account = MemoryAccount(limit_bytes=LIMIT)
    stalled, sending = hold(account, 100), hold(account, 400)
    account.choose_excess()
    sending.moved_bytes += 400
    assert account.list_slowest(1) == [stalled]

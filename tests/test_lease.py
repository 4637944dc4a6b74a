"""Timing rules of a lease, tested with explicit times."""

import msgspec
import pytest

from greengagestage.ids import FencingNumber, HostId
from greengagestage.orders._lease import LEASE_DURATION_S, Lease, LeaseRow, lease_key
from greengagestage.services import ABSENT, Put, Row

MARGIN_S = 1.5


def build_lease(instance: str = "i1") -> Lease:
    return Lease(name="orders-0", host=HostId(f"host of {instance}"), instance=instance)


def build_row(revision: int, instance: str = "i1", holder: str = "h", number: int = 4) -> Row:
    value = LeaseRow(
        holder=HostId(holder),
        fencing_number=FencingNumber(number),
        duration_ms=15_000,
        instance=instance,
    )
    encoded = msgspec.Raw(msgspec.json.encode(value))
    return Row(key=lease_key("orders-0"), revision=revision, value=encoded)


def write(put: Put | None) -> LeaseRow:
    assert put is not None
    assert isinstance(put.value, LeaseRow)
    return put.value


def test_time_counts_from_before_the_request() -> None:
    lease = build_lease()
    lease.confirm(build_row(1), sent_at_s=100.0, now_s=110.0)
    assert lease.compute_remaining(110.0) == LEASE_DURATION_S - 10.0 - MARGIN_S
    assert lease.compute_remaining(114.0) == 0.0


def test_unconfirmed_renewal_adds_no_time() -> None:
    lease = build_lease()
    lease.confirm(build_row(1), sent_at_s=0.0, now_s=0.0)
    lease.observe(build_row(2), now_s=5.0)
    assert lease.compute_remaining(5.0) == LEASE_DURATION_S - 5.0 - MARGIN_S


def test_row_of_another_instance_ends_the_lease_at_once() -> None:
    lease = build_lease()
    lease.confirm(build_row(1), sent_at_s=0.0, now_s=0.0)
    lease.observe(build_row(2, instance="i2"), now_s=1.0)
    assert lease.compute_remaining(1.0) == 0.0


@pytest.mark.parametrize(
    ("renewed_at_s", "asked_at_s", "free"),
    [(None, 16.0, False), (None, 16.5, True), (10.0, 16.5, False), (10.0, 26.5, True)],
)
def test_expiry_counts_from_the_last_change(
    renewed_at_s: float | None, asked_at_s: float, free: bool
) -> None:
    lease = build_lease("i2")
    lease.observe(build_row(1), now_s=0.0)
    if renewed_at_s is not None:
        lease.observe(build_row(2), now_s=renewed_at_s)
    lease.observe(build_row(1 if renewed_at_s is None else 2), now_s=asked_at_s)
    plan = lease.plan(asked_at_s)
    assert (plan is not None) is free
    if free:
        assert write(plan).fencing_number == 5


def test_release_keeps_the_number_and_is_free_at_once() -> None:
    lease, other = build_lease(), build_lease("i2")
    lease.confirm(build_row(3), sent_at_s=0.0, now_s=0.0)
    released = write(lease.begin_release())
    assert (released.holder, released.fencing_number) == ("", 4)
    assert lease.compute_remaining(0.0) == 0.0
    other.observe(build_row(4, instance="", holder=""), now_s=0.0)
    assert write(other.plan(0.0)).fencing_number == 5


def test_first_holder() -> None:
    lease = build_lease()
    assert lease.plan(0.0) is None
    lease.observe(Row(key=lease_key("orders-0"), revision=ABSENT), now_s=0.0)
    put = lease.plan(0.0)
    assert put is not None
    assert (put.expect, write(put).fencing_number) == (ABSENT, 1)
    assert lease.begin_release() is None

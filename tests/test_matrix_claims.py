"""Fault matrix of bookings: a booking runs at most once whatever fails.

Runs are counted in the booking service's ledger, independently of the router's answers. Answers
must agree with that count: "not run" is allowed only if nothing ran.
"""

import time
from collections.abc import Iterator
from pathlib import Path

import msgspec
import pytest

from greengagestage.results import ResultCode
from standins._faults import Fault, FaultKind
from standins._fleet import PLATFORM, Fleet
from standins._fleet_shape import FleetShape
from standins._platform_faults import PlatformFault, PlatformFaultKind, PlatformService
from standins._processes import wait_until

from .fleet_calls import (
    SETTLE_TIMEOUT_S,
    Answer,
    book,
    build_slow_shape,
    count_runs,
    send_booking,
)

pytestmark = pytest.mark.process

KEY = "order-1"
SERVICE = "booking-1"
RUN_MS = 600
TABLE_DELAY_MS = 800
ANSWER_TARGET_MS = 8_000
"""Limits the wait for a service that does not answer."""
SERVICE_SILENCE_S = 10.5
"""Longer than the time after which a service counts as silent, 10 s."""


def build_shape() -> FleetShape:
    shape = build_slow_shape()
    services = tuple(
        msgspec.structs.replace(each, options=("--delay-ms", str(RUN_MS)))
        for each in shape.services
    )
    classes = tuple(
        msgspec.structs.replace(each, answer_target_ms=ANSWER_TARGET_MS) for each in shape.classes
    )
    return msgspec.structs.replace(shape, services=services, classes=classes)


@pytest.fixture
def fleet(tmp_path: Path) -> Iterator[Fleet]:
    with Fleet(shape=build_shape(), directory=tmp_path) as fleet:
        fleet.start()
        yield fleet


def check_honest(fleet: Fleet, *answers: Answer) -> None:
    """Check that the booking ran at most once and that the answers agree with that."""
    runs = count_runs(fleet, KEY)
    assert runs <= 1
    assert {a.error["run"] for a in answers if a.error} <= {"not_run", "may_have_run"}
    if any(answer.is_complete for answer in answers):
        assert runs == 1


def set_table_fault(fleet: Fleet, kind: PlatformFaultKind, count: int | None = None) -> None:
    fault = PlatformFault(
        service=PlatformService.TABLE, kind=kind, delay_ms=TABLE_DELAY_MS, count=count
    )
    fleet.set_fault(PLATFORM, fault)


def reach_step(fleet: Fleet, step: str) -> None:
    """Wait until the pending booking has reached a step."""
    if step == "running":
        wait_until(lambda: count_runs(fleet, KEY) == 1, "the booking runs", SETTLE_TIMEOUT_S)


@pytest.mark.parametrize("step", ["claim", "running"])
@pytest.mark.parametrize("fault", ["killed", "paused"])
def test_an_entry_lost_at_a_step_does_not_lead_to_a_second_run(
    fleet: Fleet, fault: str, step: str
) -> None:
    first, second = fleet.entry_urls()
    if step == "claim":
        set_table_fault(fleet, PlatformFaultKind.SLOW)
    pending = send_booking(first, KEY)
    reach_step(fleet, step)
    if fault == "killed":
        fleet.kill("entry-host-1")
    else:
        fleet.pause("entry-host-1")
    set_table_fault(fleet, PlatformFaultKind.NONE)
    resends = [book(second, KEY) for _ in range(3)]
    fleet.resume("entry-host-1")
    check_honest(fleet, *resends, pending.read(), book(second, KEY))


@pytest.mark.parametrize("kind", [FaultKind.CRASH, FaultKind.FREEZE, FaultKind.CUT_AFTER])
def test_a_service_lost_while_it_runs_may_have_run(fleet: Fleet, kind: FaultKind) -> None:
    first, second = fleet.entry_urls()
    if kind is FaultKind.CUT_AFTER:
        fleet.set_fault(SERVICE, Fault(kind=kind, tokens=1))
    # Silence alone does not end a run that must not be repeated; its deadline does.
    deadline = {"X-Deadline-Ms": "2000"} if kind is FaultKind.FREEZE else {}
    pending = send_booking(first, KEY, **deadline)
    reach_step(fleet, "running")
    if kind is not FaultKind.CUT_AFTER:
        fleet.set_fault(SERVICE, Fault(kind=kind))
    answer = pending.read()
    assert answer.error["run"] == "may_have_run"
    resend = book(second, KEY)
    assert resend.code is ResultCode.EARLIER_RUN_UNKNOWN
    check_honest(fleet, answer, resend)


# Guards against a run that is reported as lost although its service only pauses.
def test_a_service_that_pauses_longer_than_its_limit_completes_its_answer(fleet: Fleet) -> None:
    first, second = fleet.entry_urls()
    pending = send_booking(first, KEY)
    reach_step(fleet, "running")
    fleet.set_fault(SERVICE, Fault(kind=FaultKind.FREEZE))
    time.sleep(SERVICE_SILENCE_S)
    fleet.set_fault(SERVICE, Fault())
    answer = pending.read()
    assert answer.is_complete
    check_honest(fleet, answer, book(second, KEY))


@pytest.mark.parametrize("kind", [FaultKind.REFUSE, FaultKind.LEAVING])
def test_a_refusing_service_leaves_the_key_free(fleet: Fleet, kind: FaultKind) -> None:
    first, second = fleet.entry_urls()
    fleet.set_fault(SERVICE, Fault(kind=kind, count=1 if kind is FaultKind.REFUSE else None))
    answer = book(first, KEY)
    if not answer.is_complete:
        assert answer.error["run"] == "not_run"
        assert count_runs(fleet, KEY) == 0
    fleet.set_fault(SERVICE, Fault())
    wait_until(lambda: book(second, KEY).is_complete, "the booking runs", SETTLE_TIMEOUT_S)
    assert count_runs(fleet, KEY) == 1


@pytest.mark.parametrize("count", [1, 2, 3])
@pytest.mark.parametrize("kind", [PlatformFaultKind.ANSWER_LOST, PlatformFaultKind.DOWN])
def test_a_failing_table_never_leads_to_a_second_run(
    fleet: Fleet, kind: PlatformFaultKind, count: int
) -> None:
    urls = fleet.entry_urls()
    set_table_fault(fleet, kind, count)
    answers = [book(urls[number % 2], KEY) for number in range(4)]
    check_honest(fleet, *answers)
    told_not_run = [answer for answer in answers if answer.error.get("run") == "not_run"]
    assert all(answer.retry_after for answer in told_not_run)


def test_resends_while_running_and_after_get_one_answer(fleet: Fleet) -> None:
    first, second = fleet.entry_urls()
    pending = send_booking(first, KEY)
    reach_step(fleet, "running")
    meanwhile = book(second, KEY)
    assert meanwhile.code is ResultCode.STILL_RUNNING
    assert meanwhile.retry_after is not None
    answer = pending.read()
    assert answer.is_complete
    assert {book(url, KEY).body for url in (first, second, first)} == {answer.body}
    assert book(second, KEY, order="other panels").code is ResultCode.IDEMPOTENCY_KEY_REUSED
    assert count_runs(fleet, KEY) == 1


def test_both_hosts_asked_at_once_run_it_once(fleet: Fleet) -> None:
    pending = [send_booking(url, KEY) for url in fleet.entry_urls() * 3]
    answers = [each.read() for each in pending]
    assert any(answer.is_complete for answer in answers)
    check_honest(fleet, *answers)


def test_a_caller_that_leaves_finds_its_answer_later(fleet: Fleet) -> None:
    first, second = fleet.entry_urls()
    pending = send_booking(first, KEY)
    reach_step(fleet, "running")
    pending.disconnect()
    wait_until(lambda: book(second, KEY).is_complete, "the answer is stored", SETTLE_TIMEOUT_S)
    assert count_runs(fleet, KEY) == 1


def test_two_faults_at_once_do_not_lead_to_a_second_run(fleet: Fleet) -> None:
    first, second = fleet.entry_urls()
    pending = send_booking(first, KEY)
    reach_step(fleet, "running")
    set_table_fault(fleet, PlatformFaultKind.ANSWER_LOST)
    fleet.kill("entry-host-1")
    during = [book(second, KEY) for _ in range(2)]
    set_table_fault(fleet, PlatformFaultKind.NONE)
    fleet.restart("entry-host-1")
    fleet.wait_ready("entry-host-1")
    check_honest(fleet, pending.read(), *during, book(first, KEY), book(second, KEY))

"""Tests of the turns that waiting requests take on one host."""

import pytest

from greengagestage.results import ResultCode
from greengagestage.routing import Job, Placement, Refused, UpstreamLoad, Waiting
from greengagestage.routing._waiting_line import MIN_TURNS, RECHECK_INTERVAL_S, WaitingLines

from .catalog_builders import LONG, LOOKUP, build_job, build_router, build_upstream

IN_TIME_TARGETS = 0.75
MAX_WAIT_TARGETS = 2.5
KEPT = "other requests are placed first"
FULL = UpstreamLoad(prefill_s=2.0, tolerant_requests=70, tokens=500_000)


def build_lines(jobs: list[Job]) -> WaitingLines:
    """Return the lines of a host at which some requests have found no room when they came."""
    lines = WaitingLines(in_time_targets=IN_TIME_TARGETS, max_wait_targets=MAX_WAIT_TARGETS)
    for job in jobs:
        waiting = Waiting(delay_s=RECHECK_INTERVAL_S, reason="no room")
        lines.record_placed(job, waiting, job.arrived_s)
    return lines


def build_jobs(count: int) -> list[Job]:
    """Return jobs that arrive at the same time, in the order of their ids."""
    return [build_job(100 + each, route=LONG) for each in range(count)]


def list_turns(lines: WaitingLines, jobs: list[Job], now_s: float) -> list[Job]:
    return [job for job in jobs if lines.keep_in_line(job, now_s) is None]


# Guards against a host that forecasts all engines for all requests that wait, ten times a second
# each: a crowd of long prompts before engines that are full.
def test_few_of_the_requests_that_wait_are_placed_again() -> None:
    router = build_router(engines=6)
    router.update_peer_loads(dict.fromkeys(router.upstreams, FULL), {})
    due = [(0.001 * number, job) for number, job in enumerate(build_jobs(60))]
    placed_again = 0
    while due[0][0] < 1.0:
        now_s, job = due.pop(0)
        result = router.place(job, now_s)
        if isinstance(result, Waiting):
            placed_again += result.reason != KEPT
            due.append((now_s + result.delay_s, job))
            due.sort(key=lambda each: each[0])
    checks_per_request = 1.0 / RECHECK_INTERVAL_S
    assert placed_again < 0.5 * 60 * checks_per_request


# Guards against requests that are kept in line although there is room for all of them.
def test_all_are_sent_once_engines_are_idle() -> None:
    router = build_router(engines=6)
    router.update_peer_loads(dict.fromkeys(router.upstreams, FULL), {})
    waiting = [job for job in build_jobs(20) if isinstance(router.place(job, 0.0), Waiting)]
    assert len(waiting) > MIN_TURNS
    router.update_peer_loads({}, {})
    due = [(0.1, job) for job in waiting]
    sent = 0
    while due and due[0][0] < 0.6:
        now_s, job = due.pop(0)
        match router.place(job, now_s):
            case Placement(upstream=upstream):
                sent += 1
                router.record_data(job.attempt_id, upstream.instance, now_s)
            case Waiting(delay_s=delay_s):
                due.append((now_s + delay_s, job))
                due.sort(key=lambda each: each[0])
    assert sent == len(waiting)


# Guards against late requests that are tried before those which can still be in time.
def test_those_that_can_be_in_time_come_before_late_ones() -> None:
    late, fresh = build_jobs(6), [build_job(each, route=LONG, now_s=1.2) for each in range(6)]
    lines = build_lines([*late, *fresh])
    now_s = 1.25
    for job in late:
        waiting = Waiting(delay_s=RECHECK_INTERVAL_S, reason="no room")
        lines.record_placed(job, waiting, now_s)
    assert list_turns(lines, [*late, *fresh], now_s) == fresh[:MIN_TURNS]


# Guards against lines that move on slowly after room has come.
def test_more_take_turns_while_they_find_room() -> None:
    jobs = build_jobs(40)
    lines = build_lines(jobs)
    assert len(list_turns(lines, jobs, 0.1)) == MIN_TURNS
    upstream = next(iter(build_router().upstreams.values())).record
    placement = Placement(upstream=upstream, reason="", expected_s=0.1)
    for job in jobs[:2]:
        lines.record_placed(job, placement, 0.1)
    assert len(list_turns(lines, jobs[2:], 0.1)) == 4 * MIN_TURNS
    lines.record_placed(jobs[2], Waiting(delay_s=RECHECK_INTERVAL_S, reason="no room"), 0.1)
    assert len(list_turns(lines, jobs[2:], 0.1)) == 2 * MIN_TURNS


# Guards against requests whose callers have left, and behind which no other one is placed.
def test_requests_that_do_not_come_back_lose_their_turn() -> None:
    jobs = build_jobs(12)
    lines = build_lines(jobs)
    for number in range(1, 8):
        list_turns(lines, jobs[MIN_TURNS:], RECHECK_INTERVAL_S * number)
    assert list_turns(lines, jobs[MIN_TURNS:], 0.7) == jobs[MIN_TURNS : 2 * MIN_TURNS]


# Guards against requests that wait on past the longest wait since it is never their turn.
def test_a_request_takes_its_turn_when_its_longest_wait_ends() -> None:
    jobs = build_jobs(20)
    lines = build_lines(jobs)
    end_s = MAX_WAIT_TARGETS * LONG.target_s
    waiting = Waiting(delay_s=RECHECK_INTERVAL_S, reason="no room")
    for job in jobs:
        lines.record_placed(job, waiting, end_s - 0.1)
    kept = lines.keep_in_line(jobs[-1], end_s - 0.05)
    assert kept is not None and kept.delay_s <= 0.05 + 1e-9
    assert lines.keep_in_line(jobs[-1], end_s) is None


# Guards against entries that nothing removes: requests for a plain service that wait for room at
# brittle upstreams, and whose callers leave.
def test_requests_for_plain_services_are_in_no_line() -> None:
    lines = build_lines([build_job(number, route=LOOKUP) for number in range(20)])
    assert len(lines) == 0
    assert len(build_lines(build_jobs(20))) == 20


# Guards against lines that keep requests which have been sent or refused.
@pytest.mark.parametrize(
    "placed",
    [
        Placement(upstream=build_upstream(1), reason="", expected_s=0.1),
        Refused(code=ResultCode.SHED, retry_after_s=1.0, reason=""),
    ],
)
def test_a_request_leaves_its_line_when_it_is_sent_or_refused(placed: Placement | Refused) -> None:
    jobs = build_jobs(6)
    lines = build_lines(jobs)
    for job in jobs:
        lines.record_placed(job, placed, 0.1)
    assert len(lines) == 0

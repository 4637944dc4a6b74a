"""Tests of scheduling order, limits, shares, shedding and preemption under load."""

import pytest

from greengagestage.configuration import LateAnswer
from greengagestage.ids import (
    AttemptId,
    ClassName,
    HostId,
    PoolName,
    RequestId,
    UpstreamName,
    WorkspaceId,
)
from greengagestage.policy import (
    CallerLeft,
    CancelAttempt,
    CancelReason,
    ClaimAnswered,
    ClaimOutcome,
    DeclarationAdopted,
    Dispatch,
    FailureKind,
    Reject,
    SharesUpdated,
    TimerFired,
    WakeAt,
    choose_subset,
)
from greengagestage.policy._departures import DepartureEstimator
from greengagestage.policy._estimates import MAXIMUM_RETRY_AFTER_S
from greengagestage.policy._lengths import LengthEstimator
from greengagestage.policy._minimum_shares import compute_wait_bound
from greengagestage.results import ResultCode
from tests.policy_builders import (
    POOL,
    TIERS,
    Host,
    build_class,
    build_declaration,
    build_engine,
    build_workspace,
)


def list_dispatched(host: Host) -> list[str]:
    return [a.request_id for a in host.actions if isinstance(a, Dispatch)]


def serve_sequentially(host: Host, after_s: float = 0.1) -> None:
    """Finish running requests in the order of their dispatch until none is left."""
    done = 0
    while done < len(list_dispatched(host)):
        running = [a for a in host.actions if isinstance(a, Dispatch)][done]
        host.finish(running.attempt_id, after_s=after_s)
        done += 1


def test_higher_class_is_served_first_and_deadlines_order_a_class() -> None:
    host = Host(build_declaration(engines=1, slots=1))
    host.arrive("running")
    host.arrive("brief", "brief")
    host.arrive("patient")
    host.arrive("urgent", deadline_s=host.now_s + 9.0)
    host.arrive("phone", "phone")
    serve_sequentially(host, after_s=0.0)
    assert list_dispatched(host) == ["running", "phone", "urgent", "patient", "brief"]


def test_workspaces_share_a_class_by_weight() -> None:
    workspaces = [build_workspace("w0", weight=3.0), build_workspace("w1", weight=1.0)]
    classes = [build_class(name, queue_limit=100) for name in TIERS]
    host = Host(build_declaration(engines=1, slots=1, workspaces=workspaces, classes=classes))
    host.arrive("first")
    for n in range(40):
        host.arrive(f"large{n}", workspace=WorkspaceId("w0"))
    for n in range(40):
        host.arrive(f"small{n}", workspace=WorkspaceId("w1"))
    serve_sequentially(host, after_s=0.0)
    first_served = list_dispatched(host)[1:25]
    assert 16 <= sum(name.startswith("large") for name in first_served) <= 20


def test_rate_is_divided_by_the_number_of_hosts() -> None:
    workspaces = [build_workspace("w0", requests_per_s=20.0, burst=20)]
    host = Host(build_declaration(engines=4, slots=8, workspaces=workspaces))
    host.send(SharesUpdated(slots={}, entry_hosts=10))
    codes = [host.arrive(f"r{n}") and host.code(f"r{n}") for n in range(4)]
    assert codes == [None, None, "RATE_LIMITED", "RATE_LIMITED"]
    [refusal] = [v for v in host.verdicts("r2") if isinstance(v, Reject)]
    assert refusal.retry_after_s is not None and 0.5 <= refusal.retry_after_s <= 0.75
    host.now_s += refusal.retry_after_s
    host.arrive("again")
    assert host.code("again") is None


def test_concurrency_limit_sheds_a_lower_class_of_the_same_workspace() -> None:
    workspaces = [build_workspace("w0", concurrency=3)]
    host = Host(build_declaration(engines=1, slots=1, workspaces=workspaces))
    for name in ("running", "b0", "b1"):
        host.arrive(name, "brief")
    host.arrive("phone", "phone")
    assert (host.code("b1"), host.code("phone")) == ("SHED", None)
    host.arrive("brief", "brief")
    assert host.code("brief") == "CONCURRENCY_LIMITED"


def test_retry_delays_follow_the_queue_and_have_jitter() -> None:
    host = Host(build_declaration(engines=1, slots=1))
    host.arrive("warm-up", "brief")
    host.finish(host.dispatches("warm-up")[0].attempt_id, after_s=4.0)
    for n in range(14):
        host.arrive(f"r{n}", "brief")
    times = [v.retry_after_s for v in host.actions if isinstance(v, Reject)]
    assert len(times) == 5 and len(set(times)) == 5
    # Half of the time for 9 requests of 4 s each, plus up to 50% jitter.
    assert all(t is not None and 16.0 <= t <= 28.0 for t in times)


def test_retry_delays_of_a_long_queue_stay_within_the_maximum_and_keep_their_jitter() -> None:
    host = Host(build_declaration(engines=1, slots=1))
    host.arrive("warm-up", "brief")
    host.finish(host.dispatches("warm-up")[0].attempt_id, after_s=300.0)
    for n in range(64):
        host.arrive(f"r{n}", "brief")
    times = [v.retry_after_s for v in host.actions if isinstance(v, Reject)]
    assert len(times) == len(set(times)) == 55
    assert 40.0 <= min(times) < 45.0 and 55.0 < max(times) <= MAXIMUM_RETRY_AFTER_S


def test_request_useless_when_late_is_refused_when_its_target_is_unreachable() -> None:
    classes = [build_class(name, late_answer=LateAnswer.USELESS) for name in TIERS]
    host = Host(build_declaration(engines=1, slots=1, classes=classes))
    host.arrive("warm-up")
    host.finish(host.dispatches("warm-up")[0].attempt_id, after_s=2.0)
    host.arrive("running")
    host.arrive("waits")
    assert host.code("waits") is None
    host.arrive("late")
    assert host.code("late") == "TARGET_UNREACHABLE"
    host.send(TimerFired(), after_s=3.1)
    assert host.code("waits") == "TARGET_UNREACHABLE"


def test_request_useless_when_late_is_cancelled_at_its_target_and_a_useful_one_continues() -> None:
    classes = [build_class("phone", late_answer=LateAnswer.USELESS), build_class("desk")]
    host = Host(build_declaration(classes=classes))
    host.arrive("useless", "phone")
    host.arrive("useful", "desk")
    actions = host.send(TimerFired(), after_s=20.0)
    [cancel] = [a for a in actions if isinstance(a, CancelAttempt)]
    assert cancel.reason is CancelReason.TARGET
    assert host.code("useless") == "DEADLINE_PASSED_RUNNING"
    assert host.code("useful") is None


def test_caller_deadline_ends_a_wait_and_schedules_a_wakeup() -> None:
    host = Host(build_declaration(engines=1, slots=1))
    host.arrive("running")
    host.arrive("waits", deadline_s=host.now_s + 2.0)
    wakes = [action.at_s for action in host.actions if isinstance(action, WakeAt)]
    assert wakes and min(wakes) <= host.now_s + 2.0
    host.send(TimerFired(), after_s=2.0)
    assert (host.code("waits"), host.code("running")) == ("DEADLINE_PASSED", None)


def test_running_non_idempotent_request_continues_past_its_target() -> None:
    host = Host(build_declaration(classes=[build_class("phone", late_answer=LateAnswer.USELESS)]))
    host.arrive("order", "phone", idempotent=False)
    host.send(ClaimAnswered(request_id=RequestId("order"), outcome=ClaimOutcome.GRANTED))
    host.send(TimerFired(), after_s=30.0)
    assert host.code("order") is None
    host.finish(host.dispatches("order")[0].attempt_id)
    assert host.code("order") == "DELIVERED"


def wait_until_preemption(host: Host) -> None:
    """Advance the time until a waiting request of a higher class may preempt."""
    host.send(TimerFired(), after_s=0.85)


def test_preempts_the_lowest_and_least_progressed_and_resumes_with_its_tokens() -> None:
    host = Host(build_declaration(engines=1, slots=3))
    host.arrive("desk", "desk")
    host.arrive("old", "brief")
    host.arrive("new", "brief")
    host.progress(host.dispatches("old")[0].attempt_id, 50)
    host.progress(host.dispatches("new")[0].attempt_id, 7)
    host.arrive("phone", "phone")
    assert host.dispatches("phone") == []
    wait_until_preemption(host)
    assert len(host.dispatches("phone")) == 1
    host.finish(host.dispatches("phone")[0].attempt_id, after_s=0.5)
    assert [d.resume_tokens for d in host.dispatches("new")] == [0, 7]
    assert len(host.dispatches("old")) == 1


def stream_answer(host: Host, name: str) -> None:
    """Stream 76 tokens of a running request in 2.4 s and finish it."""
    attempt = host.dispatches(name)[-1].attempt_id
    for _ in range(4):
        host.progress(attempt, 19, after_s=0.6)
    host.finish(attempt)


def test_preempts_in_time_for_the_answer_target() -> None:
    phone = build_class("phone", first_token_target_ms=3000, late_answer=LateAnswer.USELESS)
    host = Host(build_declaration(engines=1, slots=1, classes=[phone, build_class("brief")]))
    for n in range(10):
        host.arrive(f"warm-up{n}", "phone")
        stream_answer(host, f"warm-up{n}")
        host.send(TimerFired(), after_s=30.0)
    host.arrive("brief", "brief")
    host.actions.clear()
    host.arrive("phone", "phone")
    assert host.dispatches("phone") == []
    host.now_s = min(action.at_s for action in host.actions if isinstance(action, WakeAt))
    host.send(TimerFired())
    stream_answer(host, "phone")
    assert host.code("phone") == "DELIVERED"


def test_a_request_is_preempted_only_once() -> None:
    host = Host(build_declaration(engines=1, slots=2))
    host.arrive("b0", "brief")
    host.arrive("b1", "brief")
    host.progress(host.dispatches("b0")[0].attempt_id, 30)
    for name in ("p0", "p1"):
        host.arrive(name, "phone")
        wait_until_preemption(host)
        host.finish(host.dispatches(name)[0].attempt_id, after_s=0.2)
    assert [len(host.dispatches(name)) for name in ("b0", "b1")] == [2, 2]


def test_non_idempotent_request_is_not_preempted() -> None:
    host = Host(build_declaration(engines=1, slots=1))
    host.arrive("order", "brief", idempotent=False)
    grant = ClaimAnswered(request_id=RequestId("order"), outcome=ClaimOutcome.GRANTED)
    host.send(grant)
    host.arrive("phone", "phone")
    wait_until_preemption(host)
    assert (len(host.dispatches("order")), host.dispatches("phone")) == (1, [])


def test_resumed_request_preempts_at_once_because_its_caller_waits() -> None:
    host = Host(build_declaration(engines=2, slots=1))
    host.arrive("phone", "phone")
    host.arrive("brief", "brief")
    host.progress(host.dispatches("phone")[0].attempt_id, 4)
    host.fail(host.dispatches("phone")[0].attempt_id, FailureKind.LOST)
    assert [d.resume_tokens for d in host.dispatches("phone")] == [0, 4]


class SaturatedPool:
    """A pool whose top class always has waiting requests, with requests of ``brief`` behind it.

    Every answer takes half a second.
    """

    SLOTS = 4
    SERVICE_S = 0.5
    STEP_S = 0.1

    def __init__(self, *, share: float, limit: int, brief_count: int) -> None:
        self.brief_class = build_class("brief", answer_target_ms=2000, minimum_share=share)
        classes = [build_class("phone", queue_limit=limit), self.brief_class]
        self.host = Host(build_declaration(engines=2, slots=self.SLOTS // 2, classes=classes))
        self.ends: dict[AttemptId, float] = {}
        self.starts: list[float] = []
        self.shed = 0
        for n in range(4):
            self.host.arrive(f"first{n}", "phone")
        for n in range(brief_count):
            self.host.arrive(f"b{n}", "brief")
        self.start_s = self.host.now_s

    def run(self, duration_s: float) -> None:
        for step in range(int(duration_s / self.STEP_S)):
            for n in range(4):
                self.host.arrive(f"p{step}-{n}", "phone")
            self.apply_actions()
            for attempt in [a for a, end_s in self.ends.items() if end_s <= self.host.now_s]:
                del self.ends[attempt]
                self.host.finish(attempt)
            self.host.send(TimerFired(), after_s=self.STEP_S)

    def apply_actions(self) -> None:
        for action in self.host.actions:
            match action:
                case Dispatch(request_id=name, attempt_id=attempt):
                    self.ends[attempt] = self.host.now_s + self.SERVICE_S
                    self.starts += [self.host.now_s] if name.startswith("b") else []
                case CancelAttempt(attempt_id=attempt):
                    del self.ends[attempt]
                case Reject(code=ResultCode.SHED):
                    self.shed += 1
        self.host.actions = []


@pytest.mark.parametrize(
    ("share", "brief_count", "limit"),
    [(0.0, 2, 10_000), (0.05, 4, 10_000), (0.2, 8, 10_000), (0.05, 4, 20), (0.2, 8, 20)],
)
def test_every_class_is_served_within_the_bound_under_a_saturated_top_class(
    share: float, brief_count: int, limit: int
) -> None:
    load = SaturatedPool(share=share, limit=limit, brief_count=brief_count)
    bound_s = compute_wait_bound(load.brief_class, load.SLOTS)
    load.run(brief_count * (bound_s + 1.0))
    assert load.starts and len(load.starts) + load.shed == brief_count
    waits = [b - a for a, b in zip([load.start_s, *load.starts], load.starts, strict=False)]
    assert max(waits) <= bound_s + load.SERVICE_S + 2 * load.STEP_S


def test_minimum_share_is_not_exceeded_under_a_saturated_top_class() -> None:
    load = SaturatedPool(share=0.05, limit=10_000, brief_count=8)
    load.run(15.0)
    allowed = 0.05 * load.SLOTS * 15.0 / load.SERVICE_S
    assert 1 <= len(load.starts) <= allowed + 1


def test_reserved_slots_of_a_higher_class_are_not_given_to_lower_ones() -> None:
    host = Host(build_declaration(engines=1, slots=4))
    for n in range(8):
        host.arrive(f"warm-up{n}", "phone")
        host.finish(host.dispatches(f"warm-up{n}")[0].attempt_id, after_s=1.0)
    for n in range(6):
        host.arrive(f"b{n}", "brief")
    assert len(host.policy._state.records_by_attempt) < 4
    host.arrive("phone", "phone")
    assert len(host.dispatches("phone")) == 1


def test_configuration_change_loses_no_request() -> None:
    host = Host(build_declaration(engines=2, slots=1))
    for n in range(6):
        host.arrive(f"r{n}", TIERS[n % 3])
    engines = [build_engine("e0", slots=1, draining=True), build_engine("e9", slots=1)]
    changed = build_declaration(engines=engines, classes=[build_class("phone")])
    host.send(DeclarationAdopted(declaration=changed))
    serve_sequentially(host)
    assert {host.code(f"r{n}") for n in range(6)} == {"DELIVERED"}
    late = [d for d in host.actions if isinstance(d, Dispatch)][2:]
    assert {d.upstream for d in late} == {"e9"}


@pytest.mark.parametrize(("count", "fewest", "most"), [(370, 20, 80), (40, 12, 40), (8, 8, 8)])
def test_subsets_cover_every_upstream(count: int, fewest: int, most: int) -> None:
    hosts = [HostId(f"host-{n}") for n in range(count)]
    upstreams = [UpstreamName(f"u{n}") for n in range(134)]
    covered = dict.fromkeys(upstreams, 0)
    for host in hosts:
        for name in choose_subset(host, upstreams, len(hosts)):
            covered[name] += 1
    assert fewest <= min(covered.values()) and max(covered.values()) <= most


def test_length_estimates_fall_back_to_the_class_and_use_bounded_memory() -> None:
    estimator = LengthEstimator()
    brief, pool = ClassName("brief"), PoolName("m")
    assert estimator.estimate(WorkspaceId("w0"), brief, pool, 0.5) is None
    for n in range(10_000):
        estimator.observe(WorkspaceId(f"w{n}"), brief, pool, 100 if n % 2 else 400)
    median = estimator.estimate(WorkspaceId("unknown"), brief, pool, 0.3)
    assert median is not None and 75 <= median <= 130
    assert len(estimator._histograms) <= 4097


def test_request_of_a_caller_likely_to_leave_is_not_started_unless_it_stays() -> None:
    classes = [build_class("brief", first_token_target_ms=1000, queue_limit=40)]
    host = Host(build_declaration(engines=1, slots=1, classes=classes))
    host.arrive("warm-up", "brief")
    host.finish(host.dispatches("warm-up")[0].attempt_id, after_s=5.0)
    host.arrive("running", "brief")
    for n in range(20):
        host.arrive(f"left{n}", "brief")
    host.send(TimerFired(), after_s=20.0)
    for n in range(20):
        host.send(CallerLeft(request_id=RequestId(f"left{n}")))
    host.arrive("stays", "brief")
    host.send(TimerFired(), after_s=17.0)
    host.finish(host.dispatches("running")[0].attempt_id)
    assert host.dispatches("stays") == []
    host.send(TimerFired(), after_s=6.0)
    assert len(host.dispatches("stays")) == 1


def test_departure_probability_counts_callers_that_stayed() -> None:
    estimator, brief = DepartureEstimator(), ClassName("brief")
    for n in range(32):
        (estimator.note_left if n % 4 == 0 else estimator.note_stayed)(brief, 10.0)
    assert estimator.estimate_departure(brief, 8.0, 5.0) == 0.25
    assert estimator.estimate_departure(brief, 12.0, 5.0) == 0.0


def test_shedding_keeps_the_queue_within_the_limits_of_all_classes_together() -> None:
    """A full class takes places of lower ones; the queue as a whole must not grow."""
    host = Host(build_declaration(engines=1, slots=1))
    host.arrive("running", "phone")
    queue = host.policy._state.get_pool(POOL).queue
    for tier in reversed(TIERS):
        for n in range(30):
            host.arrive(f"{tier}{n}", tier)
            assert len(queue) <= 8 * len(TIERS)
    assert [queue.count(ClassName(tier)) for tier in TIERS] == [22, 1, 1]


def test_sheds_the_lowest_class_before_any_other() -> None:
    host = Host(build_declaration(engines=1, slots=1))
    host.arrive("running", "phone")
    for n in range(3):
        host.arrive(f"brief{n}", "brief")
        host.arrive(f"desk{n}", "desk")
    for n in range(13):
        host.arrive(f"phone{n}", "phone")
    shed = [a.request_id for a in host.actions if isinstance(a, Reject)]
    assert shed == ["brief2", "brief1", "desk2", "desk1", "phone12"]

"""Silent upstreams in the policy: a second attempt beside the silent one, and which one is kept."""

import pytest

from greengagestage.policy import (
    AttemptAccepted,
    AttemptContinued,
    AttemptSilent,
    CallerLeft,
    CancelAttempt,
    CancelReason,
    ClaimAnswered,
    ClaimOutcome,
    Dispatch,
    FailureKind,
    TimerFired,
)
from greengagestage.results import CODE_DETAILS, ResultCode, RunVerdict
from tests.policy_builders import Host, build_class, build_declaration, build_request


def start_silent(host: Host, name: str = "r", **changes) -> Dispatch:
    """Start a request that falls silent after four tokens; return its first attempt."""
    host.arrive(name, **changes)
    (first,) = host.dispatches(name)
    host.progress(first.attempt_id, 4)
    host.send(AttemptSilent(attempt_id=first.attempt_id), after_s=2.0)
    return first


def list_cancelled(host: Host) -> list[tuple[str, CancelReason]]:
    return [(a.attempt_id, a.reason) for a in host.actions if isinstance(a, CancelAttempt)]


def list_queued(host: Host) -> list[str]:
    pools = host.policy._state.pools.values()
    return [record.request_id for pool in pools for record in pool.queue]


def count_slots_in_use(host: Host) -> int:
    return sum(load.in_flight for load in host.policy.inspect().upstreams)


# Guards against an attempt that is cut before another upstream has begun to answer.
def test_a_silent_attempt_is_cancelled_only_after_another_upstream_answers() -> None:
    host = Host(build_declaration())
    first = start_silent(host)
    second = host.dispatches("r")[1]
    assert (second.resume_tokens, second.upstream != first.upstream) == (4, True)
    assert list_cancelled(host) == []
    host.send(AttemptAccepted(attempt_id=second.attempt_id))
    assert list_cancelled(host) == [(first.attempt_id, CancelReason.SILENT)]
    host.progress(second.attempt_id, 3)
    host.finish(second.attempt_id)
    assert host.code("r") == "DELIVERED"
    assert count_slots_in_use(host) == 0


# Guards against two attempts that deliver the same tokens.
@pytest.mark.parametrize("event", ["continued", "progressed", "finished"])
def test_the_second_attempt_is_cancelled_if_the_first_goes_on(event: str) -> None:
    host = Host(build_declaration())
    first = start_silent(host)
    second = host.dispatches("r")[1]
    match event:
        case "continued":
            host.send(AttemptContinued(attempt_id=first.attempt_id))
        case "progressed":
            host.progress(first.attempt_id, 1)
        case _:
            host.finish(first.attempt_id)
    assert list_cancelled(host) == [(second.attempt_id, CancelReason.CONTINUED)]
    assert host.progress(second.attempt_id, 9) == []
    host.finish(first.attempt_id)
    assert host.code("r") == "DELIVERED"
    assert count_slots_in_use(host) == 0


# Guards against an answer that is lost because the upstream asked for help fails.
@pytest.mark.parametrize("kind", FailureKind)
def test_the_first_attempt_is_kept_if_the_second_fails(kind: FailureKind) -> None:
    host = Host(build_declaration())
    first = start_silent(host)
    host.fail(host.dispatches("r")[1].attempt_id, kind)
    assert host.code("r") is None
    host.finish(first.attempt_id)
    assert host.code("r") == "DELIVERED"
    assert list_cancelled(host) == []
    assert count_slots_in_use(host) == 0


@pytest.mark.parametrize("kind", [FailureKind.LOST, FailureKind.ERROR, FailureKind.REFUSED])
def test_the_second_attempt_goes_on_if_the_first_fails_meanwhile(kind: FailureKind) -> None:
    host = Host(build_declaration())
    first = start_silent(host)
    host.fail(first.attempt_id, kind)
    second = host.dispatches("r")[1]
    host.progress(second.attempt_id, 3)
    host.finish(second.attempt_id)
    assert host.code("r") == "DELIVERED"
    assert list_cancelled(host) == []
    assert len(host.dispatches("r")) == 2


# Guards against a live upstream that is given up although no other one exists.
def test_an_attempt_at_the_only_upstream_waits() -> None:
    host = Host(build_declaration(engines=1))
    first = start_silent(host)
    for _ in range(20):
        assert host.send(AttemptSilent(attempt_id=first.attempt_id), after_s=2.0) == []
    host.finish(first.attempt_id)
    assert host.code("r") == "DELIVERED"


def test_a_silent_request_waits_for_room_and_leaves_the_queue_if_it_goes_on() -> None:
    host = Host(build_declaration(slots=1))
    host.arrive("other")
    first = start_silent(host)
    assert (len(host.dispatches("r")), list_queued(host)) == (1, ["r"])
    host.send(AttemptContinued(attempt_id=first.attempt_id))
    assert list_queued(host) == []
    host.finish(host.dispatches("other")[0].attempt_id)
    assert len(host.dispatches("r")) == 1
    host.send(AttemptSilent(attempt_id=first.attempt_id), after_s=2.0)
    assert len(host.dispatches("r")) == 2
    assert list_cancelled(host) == []


# Guards against pauses that use up the retry budget without any retry.
def test_a_retry_that_was_not_sent_is_returned_to_the_budget() -> None:
    classes = [build_class("desk", retry_ratio=0.0)]
    host = Host(build_declaration(slots=1, classes=classes))
    host.arrive("other")
    first = start_silent(host)
    for _ in range(20):
        host.send(AttemptContinued(attempt_id=first.attempt_id))
        host.send(AttemptSilent(attempt_id=first.attempt_id))
    host.finish(host.dispatches("other")[0].attempt_id)
    assert len(host.dispatches("r")) == 2


# Guards against answers that are cut because the retry budget is used up.
def test_silent_attempts_are_kept_without_a_retry_budget() -> None:
    classes = [build_class("desk", retry_ratio=0.0, queue_limit=100)]
    host = Host(build_declaration(engines=3, slots=40, classes=classes))
    names = [f"r{n}" for n in range(20)]
    for name in names:
        host.arrive(name)
    for name in names:
        host.send(AttemptSilent(attempt_id=host.dispatches(name)[0].attempt_id))
    assert sum(len(host.dispatches(name)) == 2 for name in names) == 5
    for name in names:
        host.finish(host.dispatches(name)[0].attempt_id)
    assert {host.code(name) for name in names} == {"DELIVERED"}


def test_a_third_upstream_is_asked_if_the_second_is_silent_too() -> None:
    host = Host(build_declaration(engines=3))
    first = start_silent(host)
    second = host.dispatches("r")[1]
    host.send(AttemptSilent(attempt_id=second.attempt_id), after_s=2.0)
    assert list_cancelled(host) == [(second.attempt_id, CancelReason.CONTINUED)]
    assert len({d.upstream for d in host.dispatches("r")}) == 3
    host.finish(first.attempt_id)
    assert host.code("r") == "DELIVERED"
    assert count_slots_in_use(host) == 0


# Guards against a second attempt that keeps a higher class waiting, or takes the first one along.
def test_a_preempted_second_attempt_leaves_the_first_one_running() -> None:
    host = Host(build_declaration(slots=1))
    first = start_silent(host, tier="brief")
    second = host.dispatches("r")[1]
    host.arrive("urgent", "phone")
    host.send(TimerFired(), after_s=0.9)
    assert list_cancelled(host) == [(second.attempt_id, CancelReason.PREEMPTED)]
    assert [d.upstream for d in host.dispatches("urgent")] == [second.upstream]
    host.finish(first.attempt_id)
    assert host.code("r") == "DELIVERED"


def test_a_caller_that_leaves_cancels_both_attempts() -> None:
    host = Host(build_declaration())
    start_silent(host)
    host.send(CallerLeft(request_id=build_request("r").request_id))
    assert {reason for _, reason in list_cancelled(host)} == {CancelReason.CALLER_LEFT}
    assert [a for a, _ in sorted(list_cancelled(host))] == ["r.1", "r.2"]
    assert count_slots_in_use(host) == 0


def start_run_once(host: Host, **changes) -> Dispatch:
    host.arrive("r", idempotent=False, **changes)
    name = build_request("r").request_id
    host.send(ClaimAnswered(request_id=name, outcome=ClaimOutcome.GRANTED))
    (first,) = host.dispatches("r")
    return first


# Guards against a run that silence can only lose, because it must not be repeated.
def test_a_request_that_must_not_be_repeated_waits_until_its_deadline() -> None:
    host = Host(build_declaration())
    first = start_run_once(host, deadline_s=150.0)
    for _ in range(20):
        host.send(AttemptSilent(attempt_id=first.attempt_id), after_s=2.0)
    assert (host.code("r"), list_cancelled(host), len(host.dispatches("r"))) == (None, [], 1)
    host.send(TimerFired(), after_s=11.0)
    assert host.code("r") == "DEADLINE_PASSED_RUNNING"
    assert list_cancelled(host) == [(first.attempt_id, CancelReason.DEADLINE)]
    assert count_slots_in_use(host) == 0


def test_a_run_that_sends_data_is_not_ended_by_its_deadline() -> None:
    host = Host(build_declaration())
    first = start_run_once(host, deadline_s=150.0)
    host.send(AttemptSilent(attempt_id=first.attempt_id), after_s=2.0)
    host.send(AttemptContinued(attempt_id=first.attempt_id), after_s=2.0)
    host.send(TimerFired(), after_s=60.0)
    assert (host.code("r"), list_cancelled(host)) == (None, [])
    host.send(AttemptSilent(attempt_id=first.attempt_id), after_s=2.0)
    assert host.code("r") == "DEADLINE_PASSED_RUNNING"


# Guards against a run at a dead upstream that occupies a slot forever after its caller has left.
def test_a_silent_run_without_a_caller_ends_when_its_answer_is_due() -> None:
    host = Host(build_declaration())
    first = start_run_once(host)
    host.send(CallerLeft(request_id=build_request("r").request_id))
    host.send(AttemptSilent(attempt_id=first.attempt_id), after_s=10.0)
    assert host.code("r") is None
    host.send(AttemptSilent(attempt_id=first.attempt_id), after_s=10.0)
    assert host.code("r") == "DEADLINE_PASSED_RUNNING"
    assert count_slots_in_use(host) == 0


# Guards against "not run" for a request that a second upstream may have run meanwhile.
@pytest.mark.parametrize("second_end", ["silent", "lost"])
def test_a_possible_run_beside_a_held_attempt_is_not_forgotten(second_end: str) -> None:
    host = Host(build_declaration(engines=2))
    host.arrive("r", deadline_s=host.now_s + 20.0)
    (first,) = host.dispatches("r")
    host.send(AttemptSilent(attempt_id=first.attempt_id), after_s=2.0)
    second = host.dispatches("r")[1]
    if second_end == "silent":
        host.send(AttemptSilent(attempt_id=second.attempt_id), after_s=2.0)
    else:
        host.fail(second.attempt_id, FailureKind.LOST)
    host.fail(first.attempt_id, FailureKind.NOT_SENT)
    for attempt in host.dispatches("r")[2:]:
        host.fail(attempt.attempt_id, FailureKind.NOT_SENT)
    host.send(TimerFired(), after_s=30.0)
    code = host.code("r")
    assert code is not None
    assert CODE_DETAILS[ResultCode[code]].verdict is RunVerdict.MAY_HAVE_RUN

"""The path of single requests through the policy: claims, retries, disconnected callers."""

import pytest

from greengagestage.ids import RequestId
from greengagestage.policy import (
    AcquireClaim,
    AttemptAccepted,
    CallerLeft,
    CancelAttempt,
    ClaimAnswered,
    ClaimOutcome,
    Dispatch,
    FailureKind,
    ReleaseClaim,
    StopRequested,
)
from greengagestage.policy._lifecycle import FINAL_STATES, TRANSITIONS, RequestState
from greengagestage.policy._verdicts import MayHaveRun, NotRun, NotRunEvidence, VerdictError
from greengagestage.results import ResultCode
from tests.policy_builders import Host, build_declaration, build_request


def test_transitions_cover_every_state_and_final_states_have_none() -> None:
    assert set(TRANSITIONS) == set(RequestState)
    assert {state for state, targets in TRANSITIONS.items() if not targets} == FINAL_STATES


def test_verdicts_reject_codes_of_the_other_verdict() -> None:
    with pytest.raises(VerdictError):
        NotRun(code=ResultCode.UPSTREAM_LOST, evidence=NotRunEvidence.NEVER_SENT)
    with pytest.raises(VerdictError):
        MayHaveRun(code=ResultCode.QUEUE_FULL)


def test_delivers_once_and_ignores_later_events() -> None:
    host = Host(build_declaration())
    host.arrive("r")
    attempt = host.dispatches("r")[0].attempt_id
    host.progress(attempt, 3)
    host.finish(attempt)
    assert host.code("r") == "DELIVERED"
    assert host.finish(attempt) == []
    assert host.fail(attempt, FailureKind.LOST) == []
    assert host.send(CallerLeft(request_id=build_request("r").request_id)) == []


def test_resumes_elsewhere_with_all_delivered_tokens() -> None:
    host = Host(build_declaration(engines=3))
    host.arrive("r")
    host.progress(host.dispatches("r")[0].attempt_id, 5)
    host.fail(host.dispatches("r")[0].attempt_id, FailureKind.LOST)
    host.progress(host.dispatches("r")[1].attempt_id, 2)
    host.fail(host.dispatches("r")[1].attempt_id, FailureKind.SILENT)
    assert [d.resume_tokens for d in host.dispatches("r")] == [0, 5, 7]
    assert len({d.upstream for d in host.dispatches("r")}) == 3
    assert len({d.attempt_id for d in host.dispatches("r")}) == 3


def test_answer_that_cannot_be_resumed_fails_at_once() -> None:
    host = Host(build_declaration())
    host.arrive("r")
    host.progress(host.dispatches("r")[0].attempt_id, 5)
    host.fail(host.dispatches("r")[0].attempt_id, FailureKind.INCOMPLETE, resumable=False)
    assert host.code("r") == "ANSWER_INCOMPLETE"


@pytest.mark.parametrize(
    ("outcome", "code"),
    [
        (ClaimOutcome.ANSWERED, "REPLAYED"),
        (ClaimOutcome.RUNNING, "STILL_RUNNING"),
        (ClaimOutcome.RUN_UNKNOWN, "EARLIER_RUN_UNKNOWN"),
        (ClaimOutcome.KEY_REUSED, "IDEMPOTENCY_KEY_REUSED"),
        (ClaimOutcome.UNAVAILABLE, "CLAIM_STORE_UNAVAILABLE"),
        (ClaimOutcome.OVER_BUDGET, "CLAIM_BUDGET_SPENT"),
    ],
)
def test_claim_that_is_not_granted_never_dispatches(outcome: ClaimOutcome, code: str) -> None:
    host = Host(build_declaration())
    [claim] = host.arrive("r", idempotent=False)
    assert isinstance(claim, AcquireClaim)
    host.send(ClaimAnswered(request_id=claim.request_id, outcome=outcome))
    assert host.dispatches("r") == []
    assert host.code("r") == code


@pytest.mark.parametrize(
    ("kind", "dispatches"),
    [
        (FailureKind.NOT_SENT, 2),
        (FailureKind.REFUSED, 2),
        (FailureKind.LOST, 1),
        (FailureKind.SILENT, 1),
        (FailureKind.INCOMPLETE, 1),
        (FailureKind.ERROR, 1),
    ],
)
def test_non_idempotent_runs_again_only_on_evidence(kind: FailureKind, dispatches: int) -> None:
    host = Host(build_declaration())
    host.arrive("r", idempotent=False)
    host.send(ClaimAnswered(request_id=build_request("r").request_id, outcome=ClaimOutcome.GRANTED))
    host.fail(host.dispatches("r")[0].attempt_id, kind)
    assert len(host.dispatches("r")) == dispatches
    assert (host.code("r") is None) == (dispatches == 2)


def test_refusal_after_the_answer_began_is_not_trusted() -> None:
    host = Host(build_declaration())
    host.arrive("r", idempotent=False)
    host.send(ClaimAnswered(request_id=build_request("r").request_id, outcome=ClaimOutcome.GRANTED))
    attempt = host.dispatches("r")[0].attempt_id
    host.send(AttemptAccepted(attempt_id=attempt))
    host.fail(attempt, FailureKind.REFUSED)
    assert len(host.dispatches("r")) == 1
    assert host.code("r") == "ANSWER_INCOMPLETE"


def test_caller_that_leaves_cancels_idempotent_work_only() -> None:
    host = Host(build_declaration())
    host.arrive("r")
    actions = host.send(CallerLeft(request_id=build_request("r").request_id))
    assert isinstance(actions[0], CancelAttempt)
    assert host.code("r") == "CALLER_LEFT_RUNNING"
    host.arrive("s", idempotent=False)
    host.send(ClaimAnswered(request_id=build_request("s").request_id, outcome=ClaimOutcome.GRANTED))
    assert host.send(CallerLeft(request_id=build_request("s").request_id)) == []
    host.finish(host.dispatches("s")[0].attempt_id)
    assert host.code("s") == "DELIVERED"


def test_claim_granted_after_the_caller_left_is_released() -> None:
    host = Host(build_declaration())
    host.arrive("r", idempotent=False)
    request_id = build_request("r").request_id
    host.send(CallerLeft(request_id=request_id))
    assert host.code("r") == "CALLER_LEFT"
    [action] = host.send(ClaimAnswered(request_id=request_id, outcome=ClaimOutcome.GRANTED))
    assert isinstance(action, ReleaseClaim)


def test_stop_refuses_arrivals_and_finishes_the_rest() -> None:
    host = Host(build_declaration(engines=1, slots=1))
    host.arrive("running")
    host.arrive("waiting")
    host.send(StopRequested())
    host.arrive("late")
    assert host.code("late") == "STOPPING"
    actions = host.finish(host.dispatches("running")[0].attempt_id)
    assert any(isinstance(action, Dispatch) for action in actions)
    host.finish(host.dispatches("waiting")[0].attempt_id)
    assert host.code("waiting") == "DELIVERED"


def test_refuses_requests_without_a_declaration_or_an_upstream() -> None:
    host = Host()
    host.arrive("early")
    assert host.code("early") == "NOT_READY"
    empty = Host(build_declaration(engines=0))
    empty.arrive("r")
    assert empty.code("r") == "NO_UPSTREAM"


def test_full_queue_sheds_the_lowest_class_first() -> None:
    host = Host(build_declaration(engines=1, slots=1))
    host.arrive("first", "phone")
    for n in range(3):
        host.arrive(f"b{n}", "brief")
    for n in range(8):
        host.arrive(f"p{n}", "phone")
    host.arrive("more", "phone")
    assert host.code("b2") == "SHED"
    assert host.code("more") is None


def test_claim_of_a_request_that_never_ran_is_released() -> None:
    host = Host(build_declaration(engines=1, slots=1))
    host.arrive("running")
    host.arrive("order", idempotent=False)
    request_id = build_request("order").request_id
    host.send(ClaimAnswered(request_id=request_id, outcome=ClaimOutcome.GRANTED))
    actions = host.send(CallerLeft(request_id=request_id))
    assert [type(action).__name__ for action in actions] == ["ReleaseClaim", "Reject"]


def test_explanation_times_are_relative_to_the_arrival() -> None:
    host = Host(build_declaration(engines=1))
    host.arrive("r0")
    host.finish(host.dispatches("r0")[0].attempt_id, after_s=2.5)
    lines = host.policy.explain(RequestId("r0"))
    assert lines[0].startswith("0.000 s: ")
    assert lines[-1].startswith("2.500 s: delivered")

"""Tests of the benchmark's baselines, capacity computation, scenarios and comparison."""

import pytest

from bench._baselines import Balancing, BaselinePolicy
from bench._capacity import compute_mean_length, compute_rate_per_s, compute_request_work_s
from bench._comparison import Spread, compare_runs
from bench._deployments import COOPERATIVE, DEPLOYMENTS, ENGINE_COSTS, ENGINE_SLOTS, Deployment
from bench._markdown import render_comparisons
from bench._policies import PolicyName
from bench._runs import PolicyRun, RunKey
from bench._scenarios import SCENARIOS, build_load
from greengagestage.ids import AttemptId, ClassName, Fingerprint, PoolName, RequestId, WorkspaceId
from greengagestage.policy import (
    Action,
    AttemptFailed,
    AttemptFinished,
    AttemptProgressed,
    DeclarationAdopted,
    Deliver,
    Dispatch,
    FailureKind,
    Reject,
    Request,
    RequestArrived,
)
from greengagestage.results import ResultCode
from standins._fleet_shape import MODEL, build_declaration
from standins._summary import RunSummary


def _build_policy(balancing: Balancing) -> BaselinePolicy:
    shape = COOPERATIVE.build_shape()
    names = [server.name for server in (*shape.engines, *shape.services)]
    policy = BaselinePolicy(balancing=balancing)
    declaration = build_declaration(shape, dict.fromkeys(names, "http://127.0.0.1:1"))
    policy.handle(DeclarationAdopted(declaration=declaration), 0.0)
    return policy


def _send_request(policy: BaselinePolicy, number: int) -> Dispatch:
    request = Request(
        request_id=RequestId(f"r{number}"),
        workspace=WorkspaceId("w"),
        service_class=ClassName("review"),
        pool=PoolName(MODEL),
        fingerprint=Fingerprint(f"f{number}"),
    )
    (action,) = policy.handle(RequestArrived(request=request), 0.0)
    assert isinstance(action, Dispatch)
    return action


def _fail(policy: BaselinePolicy, attempt_id: AttemptId, kind: FailureKind) -> Action:
    (action,) = policy.handle(AttemptFailed(attempt_id=attempt_id, kind=kind), 0.0)
    return action


def test_round_robin_cycles_through_all_engines() -> None:
    policy = _build_policy(Balancing.ROUND_ROBIN)
    upstreams = [_send_request(policy, number).upstream for number in range(8)]
    assert upstreams[:4] == upstreams[4:]
    assert len(set(upstreams)) == 4


def test_least_in_flight_chooses_the_engine_that_became_free() -> None:
    policy = _build_policy(Balancing.LEAST_IN_FLIGHT)
    dispatches = [_send_request(policy, number) for number in range(4)]
    assert len({dispatch.upstream for dispatch in dispatches}) == 4
    freed = dispatches[2]
    assert policy.handle(AttemptFinished(attempt_id=freed.attempt_id), 0.0) == [
        Deliver(request_id=freed.request_id)
    ]
    assert _send_request(policy, 9).upstream == freed.upstream


def test_a_lost_answer_is_retried_on_another_engine_only_before_its_first_token() -> None:
    policy = _build_policy(Balancing.ROUND_ROBIN)
    first = _send_request(policy, 1)
    second = _fail(policy, first.attempt_id, FailureKind.LOST)
    assert isinstance(second, Dispatch)
    assert second.upstream != first.upstream
    policy.handle(AttemptProgressed(attempt_id=second.attempt_id, tokens=3), 0.0)
    last = _fail(policy, second.attempt_id, FailureKind.LOST)
    assert last == Reject(request_id=first.request_id, code=ResultCode.UPSTREAM_LOST)


def test_a_request_refused_by_every_engine_was_not_run() -> None:
    policy = _build_policy(Balancing.LEAST_IN_FLIGHT)
    action: Action = _send_request(policy, 1)
    for _ in range(4):
        assert isinstance(action, Dispatch)
        action = _fail(policy, action.attempt_id, FailureKind.REFUSED)
    assert isinstance(action, Reject)
    assert action.code is ResultCode.NO_UPSTREAM


@pytest.mark.parametrize("deployment", DEPLOYMENTS, ids=lambda d: d.name)
def test_load_level_one_equals_the_capacity_of_all_engines(deployment: Deployment) -> None:
    work = sum(
        compute_rate_per_s(deployment, traffic, 1.0)
        * compute_request_work_s(traffic, ENGINE_COSTS, ENGINE_SLOTS)
        for traffic in deployment.traffic
    )
    assert work == pytest.approx(deployment.engines)
    assert sum(traffic.work_share for traffic in deployment.traffic) == pytest.approx(1.0)


def test_the_mean_length_lies_between_its_bounds() -> None:
    assert compute_mean_length((10, 10)) == 10
    assert 10 < compute_mean_length((10, 1000)) < 505


def test_only_the_burst_scenario_has_a_burst() -> None:
    bursts = {
        scenario.name: len(build_load(COOPERATIVE, scenario, seed=1, duration_s=9).bursts)
        for scenario in SCENARIOS
    }
    assert [name for name, count in bursts.items() if count] == ["burst"]


def _build_run(policy: PolicyName, seed: int, goodput: float, wasted: int) -> PolicyRun:
    return PolicyRun(
        key=RunKey(deployment="d", scenario="level 1.5", level=1.5, seed=seed, duration_s=1.0),
        policy=policy,
        summary=RunSummary(
            classes=(),
            goodput_tokens_per_s=goodput,
            wasted_output_tokens=wasted,
            wasted_prefill_tokens=wasted,
            wasted_share=0.0,
            fairness=1.0,
            mismatched=0,
        ),
        machine_load=0.5,
        entry_cpu_share=0.1,
    )


def test_ratios_compare_with_the_better_baseline_of_each_seed() -> None:
    runs = [
        _build_run(PolicyName.GREENGAGE, 1, 120.0, 5),
        _build_run(PolicyName.ROUND_ROBIN, 1, 100.0, 20),
        _build_run(PolicyName.LEAST_IN_FLIGHT, 1, 60.0, 10),
        _build_run(PolicyName.GREENGAGE, 2, 120.0, 5),
        _build_run(PolicyName.ROUND_ROBIN, 2, 50.0, 0),
        _build_run(PolicyName.LEAST_IN_FLIGHT, 2, 60.0, 10),
    ]
    (comparison,) = compare_runs(runs)
    assert comparison.seeds == [1, 2]
    assert comparison.goodput_ratio == Spread(mean=1.6, low=1.2, high=2.0)
    assert comparison.wasted_ratio == Spread(mean=0.5, low=0.5, high=0.5)
    markdown = render_comparisons([comparison])
    assert "| level 1.5 | 1.5 | 1.60 (1.20..2.00) | 0.50 (0.50..0.50) |" in markdown

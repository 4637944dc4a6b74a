"""The bench's baselines and its measure of capacity."""

import pytest

from bench._baselines import Balancing, BaselinePolicy
from bench._capacity import compute_mean_length, compute_rate_per_s, compute_request_work_s
from bench._deployments import COOPERATIVE, DEPLOYMENTS, ENGINE_COSTS, ENGINE_SLOTS, Deployment
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


def _build_policy(balancing: Balancing) -> BaselinePolicy:
    shape = COOPERATIVE.build_shape()
    names = [each.name for each in (*shape.engines, *shape.services)]
    policy = BaselinePolicy(balancing=balancing)
    declaration = build_declaration(shape, dict.fromkeys(names, "http://127.0.0.1:1"))
    policy.handle(DeclarationAdopted(declaration=declaration), 0.0)
    return policy


def _arrive(policy: BaselinePolicy, number: int) -> Dispatch:
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


def test_round_robin_takes_every_engine_in_turn() -> None:
    policy = _build_policy(Balancing.ROUND_ROBIN)
    upstreams = [_arrive(policy, number).upstream for number in range(8)]
    assert upstreams[:4] == upstreams[4:]
    assert len(set(upstreams)) == 4


def test_least_in_flight_takes_the_engine_that_became_free() -> None:
    policy = _build_policy(Balancing.LEAST_IN_FLIGHT)
    dispatches = [_arrive(policy, number) for number in range(4)]
    assert len({dispatch.upstream for dispatch in dispatches}) == 4
    freed = dispatches[2]
    assert policy.handle(AttemptFinished(attempt_id=freed.attempt_id), 0.0) == [
        Deliver(request_id=freed.request_id)
    ]
    assert _arrive(policy, 9).upstream == freed.upstream


def test_a_lost_answer_is_rerun_elsewhere_only_before_its_first_token() -> None:
    policy = _build_policy(Balancing.ROUND_ROBIN)
    first = _arrive(policy, 1)
    second = _fail(policy, first.attempt_id, FailureKind.LOST)
    assert isinstance(second, Dispatch)
    assert second.upstream != first.upstream
    policy.handle(AttemptProgressed(attempt_id=second.attempt_id, tokens=3), 0.0)
    last = _fail(policy, second.attempt_id, FailureKind.LOST)
    assert last == Reject(request_id=first.request_id, code=ResultCode.UPSTREAM_LOST)


def test_a_request_that_every_engine_refused_was_not_run() -> None:
    policy = _build_policy(Balancing.LEAST_IN_FLIGHT)
    action: Action = _arrive(policy, 1)
    for _ in range(4):
        assert isinstance(action, Dispatch)
        action = _fail(policy, action.attempt_id, FailureKind.REFUSED)
    assert isinstance(action, Reject)
    assert action.code is ResultCode.NO_UPSTREAM


@pytest.mark.parametrize("deployment", DEPLOYMENTS, ids=lambda d: d.name)
def test_level_one_is_the_work_of_all_engines(deployment: Deployment) -> None:
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

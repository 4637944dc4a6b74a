"""Load generator: request plans, and wasted work, fairness and quantiles in the summary."""

from standins._fleet_load import build_mixed_load
from standins._ledger import Run, RunOutcome
from standins._load_plan import plan_requests
from standins._load_results import RequestResult, Verdict
from standins._summary import compute_jain_index, compute_quantile, count_wasted_tokens


def test_same_seed_gives_the_same_plan() -> None:
    first, second = (plan_requests(build_mixed_load(seed=3, duration_s=5)) for _ in range(2))
    assert first == second
    assert first != plan_requests(build_mixed_load(seed=4, duration_s=5))
    assert [request.at_s for request in first] == sorted(request.at_s for request in first)


def test_every_booking_has_its_own_idempotency_key() -> None:
    requests = plan_requests(build_mixed_load(seed=3, duration_s=20))
    keys = [request.idempotency_key for request in requests if "booking" in request.path]
    assert keys
    assert None not in keys
    assert len(set(keys)) == len(keys)


def _build_result(request_id: str, verdict: Verdict, tokens: int) -> RequestResult:
    return RequestResult(
        index=0,
        workspace="w",
        service_class="c",
        completion=True,
        at_s=0.0,
        verdict=verdict,
        request_id=request_id,
        tokens=tokens,
    )


def _build_run(request_id: str, *, tokens: int, prefilled: int, resumed_from: int = 0) -> Run:
    return Run(
        request_id=request_id,
        attempt_id="a",
        tokens=tokens,
        prefilled=prefilled,
        resumed_from=resumed_from,
        outcome=RunOutcome.FINISHED,
    )


def test_resumed_answer_wastes_only_its_second_prefill() -> None:
    runs = [
        _build_run("r", tokens=4, prefilled=10),
        _build_run("r", tokens=6, prefilled=14, resumed_from=4),
    ]
    assert count_wasted_tokens(runs, [_build_result("r", Verdict.DELIVERED, 10)]) == (0, 14)


def test_rerun_answer_wastes_the_first_run() -> None:
    runs = [_build_run("r", tokens=4, prefilled=10), _build_run("r", tokens=10, prefilled=10)]
    assert count_wasted_tokens(runs, [_build_result("r", Verdict.DELIVERED, 10)]) == (4, 10)


def test_incomplete_answer_is_counted_entirely_as_waste() -> None:
    runs = [_build_run("r", tokens=4, prefilled=10)]
    assert count_wasted_tokens(runs, [_build_result("r", Verdict.MAY_HAVE_RUN, 4)]) == (4, 10)


def test_jain_index_is_one_for_equal_values_and_one_over_n_for_one_nonzero() -> None:
    assert compute_jain_index([2.0, 2.0, 2.0]) == 1.0
    assert compute_jain_index([1.0, 0.0, 0.0, 0.0]) == 0.25


def test_quantiles_are_observed_values() -> None:
    assert compute_quantile([3.0, 1.0, 2.0], 0.5) == 2.0
    assert compute_quantile([3.0, 1.0, 2.0], 0.95) == 3.0

"""Summary figures of a run: attainment, goodput, wasted work and fairness."""

from collections import defaultdict
from collections.abc import Iterable, Mapping

from msgspec import Struct

from greengagestage.configuration import ServiceClass

from ._ledger import Run
from ._load_results import LoadResult, RequestResult, Verdict


class ClassSummary(Struct, frozen=True, kw_only=True):
    """The figures of one class; times are in seconds and cover delivered answers only.

    ``sent_again`` counts how often callers resent a request after a refusal or a failure.
    ``attainment`` is the share of all requests sent that were delivered within both targets.
    """

    service_class: str
    sent: int
    delivered: int
    refused: int
    may_have_run: int
    broken: int
    gave_up: int
    unanswered: int
    sent_again: int
    first_token_p50_s: float
    first_token_p95_s: float
    answer_p50_s: float
    answer_p95_s: float
    attainment: float


class RunSummary(Struct, frozen=True, kw_only=True):
    """The figures of one run of a plan.

    Attributes:
        goodput_tokens_per_s: Output tokens of delivered answers that met their targets.
        wasted_output_tokens: Output tokens generated that are in no delivered answer.
        wasted_prefill_tokens: Prefill tokens computed that no delivered answer needed.
        wasted_share: Wasted tokens divided by all computed tokens.
        fairness: Jain's index over the workspaces' attainment.
        mismatched: Number of answers with text that does not belong to the request.
    """

    classes: tuple[ClassSummary, ...]
    goodput_tokens_per_s: float
    wasted_output_tokens: int
    wasted_prefill_tokens: int
    wasted_share: float
    fairness: float
    mismatched: int


def summarize_run(
    result: LoadResult, classes: Iterable[ServiceClass], runs: Iterable[Run]
) -> RunSummary:
    """Compute the figures of a run from the callers' results and the engines' ledgers."""
    targets = {str(declared.name): declared for declared in classes}
    completions = [r for r in result.results if r.completion]
    within_targets = [r for r in completions if meets_targets(r, targets[r.service_class])]
    runs = list(runs)
    wasted_output, wasted_prefill = count_wasted_tokens(runs, completions)
    computed_tokens = sum(run.tokens + run.prefilled for run in runs)
    return RunSummary(
        classes=tuple(
            _summarize_class(declared, [r for r in result.results if r.service_class == name])
            for name, declared in targets.items()
        ),
        goodput_tokens_per_s=sum(r.tokens for r in within_targets) / max(result.duration_s, 1e-9),
        wasted_output_tokens=wasted_output,
        wasted_prefill_tokens=wasted_prefill,
        wasted_share=(wasted_output + wasted_prefill) / max(computed_tokens, 1),
        fairness=_compute_workspace_fairness(completions, targets),
        mismatched=sum(not r.matches for r in result.results),
    )


def meets_targets(result: RequestResult, declared: ServiceClass) -> bool:
    """Return whether an answer was delivered within the targets of its class."""
    if result.verdict is not Verdict.DELIVERED or result.answer_s is None:
        return False
    first_s = result.answer_s if result.first_token_s is None else result.first_token_s
    return (
        first_s * 1e3 <= declared.first_token_target_ms
        and result.answer_s * 1e3 <= declared.answer_target_ms
    )


def count_wasted_tokens(runs: Iterable[Run], results: Iterable[RequestResult]) -> tuple[int, int]:
    """Count output and prefill tokens that no delivered answer needed.

    A delivered answer needs each of its output tokens once and one prefill, the first run's.
    """
    delivered = {
        r.request_id: r.tokens for r in results if r.verdict is Verdict.DELIVERED and r.request_id
    }
    by_request: defaultdict[str, list[Run]] = defaultdict(list)
    for run in runs:
        by_request[run.request_id].append(run)
    output = prefill = 0
    for request_id, request_runs in by_request.items():
        output += sum(run.tokens for run in request_runs) - delivered.get(request_id, 0)
        needed = request_runs[0].prefilled if request_id in delivered else 0
        prefill += sum(run.prefilled for run in request_runs) - needed
    return output, prefill


def compute_jain_index(values: Iterable[float]) -> float:
    """Return Jain's fairness index: 1 when all values are equal."""
    numbers = list(values)
    squares = sum(value * value for value in numbers)
    return sum(numbers) ** 2 / (len(numbers) * squares) if squares else 1.0


def compute_quantile(values: Iterable[float], fraction: float) -> float:
    """Return the nearest-rank quantile, or NaN if there are no values."""
    ordered = sorted(values)
    if not ordered:
        return float("nan")
    return ordered[min(len(ordered) - 1, int(fraction * len(ordered)))]


def _compute_workspace_fairness(
    completions: list[RequestResult], targets: Mapping[str, ServiceClass]
) -> float:
    by_workspace: defaultdict[str, list[bool]] = defaultdict(list)
    for result in completions:
        by_workspace[result.workspace].append(meets_targets(result, targets[result.service_class]))
    return compute_jain_index(sum(met) / len(met) for met in by_workspace.values())


def _summarize_class(declared: ServiceClass, results: list[RequestResult]) -> ClassSummary:
    counts = {verdict: sum(r.verdict is verdict for r in results) for verdict in Verdict}
    delivered_results = [r for r in results if r.verdict is Verdict.DELIVERED]
    first_token_times_s = [
        r.first_token_s for r in delivered_results if r.first_token_s is not None
    ]
    answer_times_s = [r.answer_s for r in delivered_results if r.answer_s is not None]
    met = sum(meets_targets(r, declared) for r in results)
    return ClassSummary(
        service_class=str(declared.name),
        sent=len(results),
        delivered=counts[Verdict.DELIVERED],
        refused=counts[Verdict.NOT_RUN],
        may_have_run=counts[Verdict.MAY_HAVE_RUN],
        broken=counts[Verdict.BROKEN],
        gave_up=counts[Verdict.GAVE_UP],
        unanswered=counts[Verdict.UNANSWERED],
        sent_again=sum(r.refusals + r.failures for r in results),
        first_token_p50_s=compute_quantile(first_token_times_s, 0.5),
        first_token_p95_s=compute_quantile(first_token_times_s, 0.95),
        answer_p50_s=compute_quantile(answer_times_s, 0.5),
        answer_p95_s=compute_quantile(answer_times_s, 0.95),
        attainment=met / len(results) if results else 1.0,
    )

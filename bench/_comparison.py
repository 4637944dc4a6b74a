"""Statistics over several seeds: means, extremes, and ratios to the better baseline."""

import math
import statistics
from collections import defaultdict
from collections.abc import Iterable

from msgspec import Struct

from ._policies import PolicyName
from ._runs import PolicyRun

BASELINES = (PolicyName.ROUND_ROBIN, PolicyName.LEAST_IN_FLIGHT)


class Spread(Struct, frozen=True, kw_only=True):
    """The mean and extremes of a value over all seeds; NaN if no seed has a value."""

    mean: float
    low: float
    high: float


class PolicyStats(Struct, frozen=True, kw_only=True):
    """The results of one policy in one scenario over all seeds."""

    policy: PolicyName
    attainment: dict[str, Spread]
    goodput_tokens_per_s: Spread
    wasted_tokens: Spread
    fairness: Spread
    mismatched: int
    broken: int


class Comparison(Struct, frozen=True, kw_only=True):
    """The results of one scenario. Each seed's ratio is to the better baseline of that seed."""

    deployment: str
    scenario: str
    level: float
    seeds: list[int]
    policies: list[PolicyStats]
    goodput_ratio: Spread
    wasted_ratio: Spread


def compare_runs(runs: Iterable[PolicyRun]) -> list[Comparison]:
    """Group runs by scenario and compute the statistics of each group."""
    groups: defaultdict[tuple[str, str, float], list[PolicyRun]] = defaultdict(list)
    for run in runs:
        groups[run.key.deployment, run.key.scenario, run.key.level].append(run)
    return [_compare_group(key, group) for key, group in groups.items()]


def compute_spread(values: Iterable[float]) -> Spread:
    """Return the mean and extremes of the values, ignoring NaN."""
    numbers = [value for value in values if not math.isnan(value)]
    if not numbers:
        return Spread(mean=math.nan, low=math.nan, high=math.nan)
    return Spread(mean=statistics.fmean(numbers), low=min(numbers), high=max(numbers))


def count_wasted_tokens(run: PolicyRun) -> int:
    """Return the sum of a run's wasted output and prefill tokens."""
    return run.summary.wasted_output_tokens + run.summary.wasted_prefill_tokens


def _compare_group(key: tuple[str, str, float], group: list[PolicyRun]) -> Comparison:
    deployment, scenario, level = key
    seeds = sorted({run.key.seed for run in group})
    by_seed = {seed: {run.policy: run for run in group if run.key.seed == seed} for seed in seeds}
    return Comparison(
        deployment=deployment,
        scenario=scenario,
        level=level,
        seeds=seeds,
        policies=[
            _compute_stats(policy, [run for run in group if run.policy is policy])
            for policy in PolicyName
        ],
        goodput_ratio=compute_spread(_compute_goodput_ratio(runs) for runs in by_seed.values()),
        wasted_ratio=compute_spread(_compute_wasted_ratio(runs) for runs in by_seed.values()),
    )


def _compute_stats(policy: PolicyName, runs: list[PolicyRun]) -> PolicyStats:
    class_names = [row.service_class for row in runs[0].summary.classes]
    attainment = {
        class_name: compute_spread(
            row.attainment
            for run in runs
            for row in run.summary.classes
            if row.service_class == class_name
        )
        for class_name in class_names
    }
    return PolicyStats(
        policy=policy,
        attainment=attainment,
        goodput_tokens_per_s=compute_spread(run.summary.goodput_tokens_per_s for run in runs),
        wasted_tokens=compute_spread(count_wasted_tokens(run) for run in runs),
        fairness=compute_spread(run.summary.fairness for run in runs),
        mismatched=sum(run.summary.mismatched for run in runs),
        broken=sum(row.broken for run in runs for row in run.summary.classes),
    )


def _compute_goodput_ratio(runs: dict[PolicyName, PolicyRun]) -> float:
    best = max(runs[policy].summary.goodput_tokens_per_s for policy in BASELINES)
    return _divide(runs[PolicyName.GREENGAGE].summary.goodput_tokens_per_s, best)


def _compute_wasted_ratio(runs: dict[PolicyName, PolicyRun]) -> float:
    best = min(count_wasted_tokens(runs[policy]) for policy in BASELINES)
    return _divide(count_wasted_tokens(runs[PolicyName.GREENGAGE]), best)


def _divide(numerator: float, denominator: float) -> float:
    return numerator / denominator if denominator else math.nan

"""Renders the benchmark results as Markdown tables, for the page of measurements."""

import math
from collections.abc import Iterable

from ._comparison import Comparison, PolicyStats, Spread
from ._cost import CostReport
from ._retention import RetentionStats


def render_comparisons(comparisons: Iterable[Comparison]) -> str:
    """Return tables for each deployment, with one row per scenario and policy."""
    by_deployment: dict[str, list[Comparison]] = {}
    for comparison in comparisons:
        by_deployment.setdefault(comparison.deployment, []).append(comparison)
    return "\n".join(_render_deployment(name, group) for name, group in by_deployment.items())


def render_cost(report: CostReport) -> str:
    """Return the table of the costs of the relay and the router."""
    rows = [
        [
            cost.name,
            format_spread(cost.cpu_us_per_request, 0),
            format_spread(cost.cpu_us_per_chunk, 1),
            format_spread(cost.added_first_token_ms, 2),
        ]
        for cost in (report.relay, report.router)
    ]
    header = ["", "CPU us a request", "CPU us a chunk", "added first token, ms p50"]
    return _render_table(header, rows)


def render_retention(stats: Iterable[RetentionStats]) -> str:
    """Return the table of the costs of continuing preempted answers."""
    header = [
        "continuation",
        "extra prefill tokens",
        "extra output tokens",
        "ms to the next token",
        "prefill of a short request",
        "its first token p95, ms",
        "wrong",
    ]
    rows = [
        [
            row.continuation.value,
            format_spread(row.extra_prefill_tokens, 0),
            format_spread(row.extra_output_tokens, 0),
            format_spread(row.gap_ms, 0),
            format_spread(row.short_prefill_tokens, 0),
            format_spread(row.short_first_token_ms, 0),
            str(row.wrong),
        ]
        for row in stats
    ]
    return _render_table(header, rows)


def format_spread(spread: Spread, digits: int) -> str:
    """Return the mean followed by the extremes, or ``-`` if there is no value."""
    if math.isnan(spread.mean):
        return "-"
    return f"{spread.mean:.{digits}f} ({spread.low:.{digits}f}..{spread.high:.{digits}f})"


def _render_deployment(name: str, comparisons: list[Comparison]) -> str:
    classes = list(comparisons[0].policies[0].attainment)
    header = ["scenario", "policy", *(f"{class_name} met" for class_name in classes)]
    header += ["goodput tokens/s", "wasted tokens", "Jain", "broken", "foreign"]
    rows = [
        [comparison.scenario, *_render_policy_cells(stats)]
        for comparison in comparisons
        for stats in comparison.policies
    ]
    ratios = [
        [
            comparison.scenario,
            f"{comparison.level:g}",
            format_spread(comparison.goodput_ratio, 2),
            format_spread(comparison.wasted_ratio, 2),
        ]
        for comparison in comparisons
    ]
    ratio_header = ["scenario", "load", "goodput ratio", "wasted work ratio"]
    return f"### {name}\n\n{_render_table(header, rows)}\n{_render_table(ratio_header, ratios)}"


def _render_policy_cells(stats: PolicyStats) -> list[str]:
    return [
        stats.policy.value,
        *(format_spread(spread, 2) for spread in stats.attainment.values()),
        format_spread(stats.goodput_tokens_per_s, 0),
        format_spread(stats.wasted_tokens, 0),
        format_spread(stats.fairness, 2),
        str(stats.broken),
        str(stats.mismatched),
    ]


def _render_table(header: list[str], rows: list[list[str]]) -> str:
    lines = [header, ["---"] * len(header), *rows]
    return "\n".join(f"| {' | '.join(cells)} |" for cells in lines) + "\n"

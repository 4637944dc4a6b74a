"""The bench's tables as Markdown, for the page of measurements."""

import math
from collections.abc import Iterable

from ._comparison import Comparison, PolicyFigures, Spread
from ._cost import CostReport
from ._retention import RetentionFigures


def render_comparisons(comparisons: Iterable[Comparison]) -> str:
    """Return one table a deployment, one row a scenario and policy."""
    by_deployment: dict[str, list[Comparison]] = {}
    for comparison in comparisons:
        by_deployment.setdefault(comparison.deployment, []).append(comparison)
    return "\n".join(_render_deployment(name, own) for name, own in by_deployment.items())


def render_cost(report: CostReport) -> str:
    """Return the table of the router's cost."""
    rows = [
        [
            cost.name,
            format_spread(cost.cpu_us_per_request, 0),
            format_spread(cost.cpu_us_per_chunk, 1),
            format_spread(cost.added_first_token_ms, 2),
        ]
        for cost in (report.relay, report.router)
    ]
    head = ["", "CPU us a request", "CPU us a chunk", "added first token, ms p50"]
    return _render_table(head, rows)


def render_retention(figures: Iterable[RetentionFigures]) -> str:
    """Return the table of continued answers."""
    head = [
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
        for row in figures
    ]
    return _render_table(head, rows)


def format_spread(spread: Spread, digits: int) -> str:
    """Return the mean with the extremes."""
    if math.isnan(spread.mean):
        return "-"
    return f"{spread.mean:.{digits}f} ({spread.low:.{digits}f}..{spread.high:.{digits}f})"


def _render_deployment(name: str, comparisons: list[Comparison]) -> str:
    classes = list(comparisons[0].policies[0].attainment)
    head = ["scenario", "policy", *(f"{each} met" for each in classes)]
    head += ["goodput tokens/s", "wasted tokens", "Jain", "broken", "foreign"]
    rows = [
        [comparison.scenario, *_render_policy(figures)]
        for comparison in comparisons
        for figures in comparison.policies
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
    ratio_head = ["scenario", "load", "goodput ratio", "wasted work ratio"]
    return f"### {name}\n\n{_render_table(head, rows)}\n{_render_table(ratio_head, ratios)}"


def _render_policy(figures: PolicyFigures) -> list[str]:
    return [
        figures.policy.value,
        *(format_spread(spread, 2) for spread in figures.attainment.values()),
        format_spread(figures.goodput_tokens_per_s, 0),
        format_spread(figures.wasted_tokens, 0),
        format_spread(figures.fairness, 2),
        str(figures.broken),
        str(figures.mismatched),
    ]


def _render_table(head: list[str], rows: list[list[str]]) -> str:
    lines = [head, ["---"] * len(head), *rows]
    return "\n".join(f"| {' | '.join(line)} |" for line in lines) + "\n"

"""Renders the benchmark results as tables for the terminal."""

from rich.table import Table

from ._comparison import Comparison
from ._cost import CostReport
from ._markdown import format_spread
from ._retention import RetentionStats
from ._runs import PolicyRun


def describe_run(run: PolicyRun) -> str:
    """Return a one-line summary of a run."""
    summary = run.summary
    met = ", ".join(f"{row.service_class} {row.attainment:.3f}" for row in summary.classes)
    return (
        f"  {run.policy.value}: met {met}; {summary.goodput_tokens_per_s:.0f} tokens/s;"
        f" wasted {summary.wasted_output_tokens} output, {summary.wasted_prefill_tokens} prefill;"
        f" entry {run.entry_cpu_share:.0%} of a core, machine {run.machine_load:.0%}"
    )


def build_comparison_table(comparison: Comparison) -> Table:
    """Return the table of one scenario."""
    table = Table(
        title=f"{comparison.deployment}, {comparison.scenario},"
        f" load {comparison.level:g} of capacity, seeds {comparison.seeds}",
        caption="ratios to the better baseline:"
        f" goodput {format_spread(comparison.goodput_ratio, 2)},"
        f" wasted work {format_spread(comparison.wasted_ratio, 2)}",
    )
    classes = list(comparison.policies[0].attainment)
    for column in ("policy", *(f"{name} met" for name in classes)):
        table.add_column(column)
    for column in ("goodput tok/s", "wasted tokens", "Jain", "broken", "foreign"):
        table.add_column(column, justify="right")
    for stats in comparison.policies:
        table.add_row(
            stats.policy.value,
            *(format_spread(stats.attainment[name], 3) for name in classes),
            format_spread(stats.goodput_tokens_per_s, 0),
            format_spread(stats.wasted_tokens, 0),
            format_spread(stats.fairness, 3),
            str(stats.broken),
            str(stats.mismatched),
        )
    return table


def build_cost_table(report: CostReport) -> Table:
    """Return the table that compares the router's cost with the bare relay's."""
    table = Table(title="cost beside a bare relay")
    for column in ("", "CPU us/request", "CPU us/chunk", "added first token ms p50"):
        table.add_column(column, justify="left" if not column else "right")
    for cost in (report.relay, report.router):
        table.add_row(
            cost.name,
            format_spread(cost.cpu_us_per_request, 0),
            format_spread(cost.cpu_us_per_chunk, 1),
            format_spread(cost.added_first_token_ms, 2),
        )
    table.add_row(
        "ratio",
        f"{report.router.cpu_us_per_request.mean / report.relay.cpu_us_per_request.mean:.2f}",
        f"{report.router.cpu_us_per_chunk.mean / report.relay.cpu_us_per_chunk.mean:.2f}",
        "",
    )
    return table


def build_retention_table(stats: list[RetentionStats]) -> Table:
    """Return the table of the cost of each way to continue a preempted answer."""
    table = Table(title="continuing preempted answers, over all seeds")
    for column in (
        "continuation",
        "extra prefill tokens",
        "extra output tokens",
        "ms to the next token",
        "prefill of a short request",
        "its first token p95 ms",
        "wrong",
    ):
        table.add_column(column, justify="left" if column == "continuation" else "right")
    for row in stats:
        table.add_row(
            row.continuation.value,
            format_spread(row.extra_prefill_tokens, 0),
            format_spread(row.extra_output_tokens, 0),
            format_spread(row.gap_ms, 0),
            format_spread(row.short_prefill_tokens, 0),
            format_spread(row.short_first_token_ms, 0),
            str(row.wrong),
        )
    return table

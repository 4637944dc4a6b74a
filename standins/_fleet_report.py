"""Terminal tables that show the results of a run."""

import math
from typing import Literal

from rich.table import Table

from ._summary import ClassSummary, RunSummary

_COLUMNS = (
    "class",
    "sent",
    "delivered whole",
    "refused",
    "may have run",
    "no answer",
    "first token p50/p95 ms",
    "answer p50/p95 ms",
    "attainment",
)


def build_class_table(summary: RunSummary) -> Table:
    """Return a table with one row per class."""
    table = Table(title="by class", pad_edge=False)
    for column in _COLUMNS:
        justify: Literal["left", "right"] = "left" if column == "class" else "right"
        table.add_column(column, justify=justify, overflow="fold")
    for row in summary.classes:
        table.add_row(*_format_class(row))
    return table


def build_totals_table(summary: RunSummary) -> Table:
    """Return a table with the figures of the whole run."""
    table = Table(title="in all", show_header=False)
    table.add_row("goodput", f"{summary.goodput_tokens_per_s:.0f} tokens/s")
    table.add_row(
        "wasted work",
        f"{summary.wasted_output_tokens} output + {summary.wasted_prefill_tokens} prefill tokens,"
        f" {summary.wasted_share:.1%} of all computed",
    )
    table.add_row("fairness between workspaces (Jain)", f"{summary.fairness:.3f}")
    table.add_row("answers with foreign text", str(summary.mismatched))
    return table


def _format_class(row: ClassSummary) -> list[str]:
    return [
        row.service_class,
        str(row.sent),
        str(row.delivered),
        str(row.refused),
        str(row.may_have_run),
        str(row.broken + row.gave_up + row.unanswered),
        f"{_format_ms(row.first_token_p50_s)}/{_format_ms(row.first_token_p95_s)}",
        f"{_format_ms(row.answer_p50_s)}/{_format_ms(row.answer_p95_s)}",
        f"{row.attainment:.1%}",
    ]


def _format_ms(seconds: float) -> str:
    return "-" if math.isnan(seconds) else f"{seconds * 1e3:.0f}"

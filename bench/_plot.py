"""Plots attainment, goodput and wasted work against the load level."""

from collections.abc import Callable
from pathlib import Path
from typing import Any

from ._comparison import Comparison, PolicyStats, Spread
from ._policies import PolicyName

LEVEL_PREFIX = "level"
FIGURE_INCHES = (14, 4)
_STYLES = {
    PolicyName.GREENGAGE: ("tab:green", "o"),
    PolicyName.ROUND_ROBIN: ("tab:orange", "s"),
    PolicyName.LEAST_IN_FLIGHT: ("tab:blue", "^"),
}


def draw_comparisons(comparisons: list[Comparison], path: Path) -> None:
    """Draw one row of plots for each deployment that was run at several load levels."""
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    levels = [
        comparison for comparison in comparisons if comparison.scenario.startswith(LEVEL_PREFIX)
    ]
    deployments = sorted({comparison.deployment for comparison in levels})
    if not deployments:
        return
    figure, axes = pyplot.subplots(
        len(deployments),
        3,
        figsize=(FIGURE_INCHES[0], FIGURE_INCHES[1] * len(deployments)),
        squeeze=False,
    )
    for row, deployment in zip(axes, deployments, strict=True):
        ordered = sorted((e for e in levels if e.deployment == deployment), key=lambda e: e.level)
        _draw_deployment(row, deployment, ordered)
    figure.tight_layout()
    figure.savefig(path, dpi=120)
    pyplot.close(figure)


def _draw_deployment(axes: Any, deployment: str, comparisons: list[Comparison]) -> None:
    top_class = next(iter(comparisons[0].policies[0].attainment))
    columns: tuple[tuple[str, Callable[[PolicyStats], Spread]], ...] = (
        (f"{deployment}: attainment of {top_class}", lambda f: f.attainment[top_class]),
        ("goodput, tokens/s", lambda f: f.goodput_tokens_per_s),
        ("wasted tokens", lambda f: f.wasted_tokens),
    )
    for axis, (title, read_spread) in zip(axes, columns, strict=True):
        for policy in PolicyName:
            points = [(c.level, read_spread(_find_stats(c, policy))) for c in comparisons]
            _draw_line(axis, policy, points)
        axis.set_title(title)
        axis.set_xlabel("load, fraction of capacity")
        axis.set_ylim(bottom=0)
        axis.grid(alpha=0.3)
        axis.legend()


def _draw_line(axis: Any, policy: PolicyName, points: list[tuple[float, Spread]]) -> None:
    colour, marker = _STYLES[policy]
    means = [spread.mean for _, spread in points]
    axis.errorbar(
        [level for level, _ in points],
        means,
        yerr=[
            [spread.mean - spread.low for _, spread in points],
            [spread.high - spread.mean for _, spread in points],
        ],
        color=colour,
        marker=marker,
        capsize=3,
        label=policy.value,
    )


def _find_stats(comparison: Comparison, policy: PolicyName) -> PolicyStats:
    return next(stats for stats in comparison.policies if stats.policy is policy)

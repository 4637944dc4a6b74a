"""Benchmark command ``python -m bench``: prints tables and writes Markdown, JSON and a plot."""

import shlex
import sys
import tempfile
from collections.abc import Iterator
from itertools import product
from pathlib import Path

import click
import msgspec
from msgspec import Struct
from rich.console import Console

from ._comparison import Comparison, compare_runs
from ._cost import CostReport, measure_cost
from ._deployments import DEPLOYMENTS
from ._markdown import render_comparisons, render_cost, render_retention
from ._plot import draw_comparisons
from ._report import build_comparison_table, build_cost_table, build_retention_table, describe_run
from ._retention import RetentionStats, measure_retention, summarize_retention
from ._runs import PolicyRun, run_policies
from ._scenarios import QUICK_SCENARIOS, SCENARIOS

DEFAULT_SEEDS = 5
DEFAULT_DURATION_S = 15.0
QUICK_DURATION_S = 6.0
COST_ROUNDS = 3
COST_ROUND_S = 8.0
QUICK_COST_ROUND_S = 3.0
_console = Console()


class BenchResult(Struct, frozen=True, kw_only=True):
    """The contents of the JSON file."""

    command: str
    comparisons: list[Comparison]
    cost: CostReport | None
    retention: list[RetentionStats]
    runs: list[PolicyRun]


@click.command()
@click.option("--quick", is_flag=True, help="One seed, two scenarios, short loads.")
@click.option("--seeds", default=DEFAULT_SEEDS, show_default=True, help="Number of seeds.")
@click.option("--first-seed", default=1, show_default=True, help="The first seed.")
@click.option(
    "--duration-s",
    default=DEFAULT_DURATION_S,
    show_default=True,
    help="Duration of each load, in seconds.",
)
@click.option("--scenario", "scenarios", multiple=True, help="Only these scenarios.")
@click.option("--deployment", "deployments", multiple=True, help="Only these deployments.")
@click.option("--cost/--no-cost", default=True, help="Measure the router's cost too.")
@click.option(
    "--retention/--no-retention", default=True, help="Measure how preempted answers continue too."
)
@click.option(
    "--output",
    type=click.Path(path_type=Path),
    default=Path(".run/bench"),
    show_default=True,
    help="Path of the written files, without a suffix.",
)
def main(
    quick: bool,
    seeds: int,
    first_seed: int,
    duration_s: float,
    scenarios: tuple[str, ...],
    deployments: tuple[str, ...],
    cost: bool,
    retention: bool,
    output: Path,
) -> None:
    """Compare the router's policy with two baselines, and its cost with that of a bare relay."""
    if quick:
        seeds, duration_s = 1, QUICK_DURATION_S
        scenarios = scenarios or QUICK_SCENARIOS
    output.parent.mkdir(parents=True, exist_ok=True)
    command = shlex.join(["python", "-m", "bench", *sys.argv[1:]])
    runs: list[PolicyRun] = []
    for scenario_runs in _run_scenarios(
        seeds=range(first_seed, first_seed + seeds),
        duration_s=duration_s,
        scenarios=scenarios,
        deployments=deployments,
    ):
        runs += scenario_runs
        _console.print(*(describe_run(run) for run in scenario_runs), sep="\n")
        _write_json(_build_result(command, runs, None, []), output)
    cost_report = _measure_cost(QUICK_COST_ROUND_S if quick else COST_ROUND_S) if cost else None
    retention_stats = _measure_retention(range(first_seed, first_seed + seeds)) if retention else []
    _write_results(_build_result(command, runs, cost_report, retention_stats), output)


def _build_result(
    command: str,
    runs: list[PolicyRun],
    cost: CostReport | None,
    retention: list[RetentionStats],
) -> BenchResult:
    return BenchResult(
        command=command,
        comparisons=compare_runs(runs),
        cost=cost,
        retention=retention,
        runs=runs,
    )


def _run_scenarios(
    *,
    seeds: range,
    duration_s: float,
    scenarios: tuple[str, ...],
    deployments: tuple[str, ...],
) -> Iterator[list[PolicyRun]]:
    """Run every selected scenario with every seed; yield one run per policy each time."""
    selected = [
        (deployment, scenario)
        for deployment in DEPLOYMENTS
        for scenario in SCENARIOS
        if (not deployments or deployment.name in deployments)
        and (not scenarios or scenario.name in scenarios)
    ]
    for (deployment, scenario), seed in product(selected, seeds):
        _console.print(f"{deployment.name}: {scenario.name}, seed {seed}")
        with tempfile.TemporaryDirectory(prefix="greengage-bench-") as directory:
            yield run_policies(
                deployment, scenario, seed=seed, duration_s=duration_s, directory=Path(directory)
            )


def _measure_cost(round_s: float) -> CostReport:
    _console.print("cost beside a bare relay")
    with tempfile.TemporaryDirectory(prefix="greengage-cost-") as directory:
        return measure_cost(rounds=COST_ROUNDS, round_s=round_s, directory=Path(directory))


def _measure_retention(seeds: range) -> list[RetentionStats]:
    _console.print("preempted answers: KV cache held, prefilled again, or run again")
    with tempfile.TemporaryDirectory(prefix="greengage-retention-") as directory:
        return summarize_retention(measure_retention(seeds=seeds, directory=Path(directory)))


def _write_json(result: BenchResult, output: Path) -> None:
    encoded = msgspec.json.format(msgspec.json.encode(result), indent=1)
    output.with_suffix(".json").write_bytes(encoded)


def _write_markdown(result: BenchResult, output: Path) -> None:
    sections = [f"`{result.command}`\n", render_comparisons(result.comparisons)]
    if result.cost is not None:
        sections.append(render_cost(result.cost))
    if result.retention:
        sections.append(render_retention(result.retention))
    output.with_suffix(".md").write_text("\n".join(sections))


def _write_results(result: BenchResult, output: Path) -> None:
    _write_json(result, output)
    _write_markdown(result, output)
    draw_comparisons(result.comparisons, output.with_suffix(".png"))
    for comparison in result.comparisons:
        _console.print(build_comparison_table(comparison))
    if result.cost is not None:
        _console.print(build_cost_table(result.cost))
    if result.retention:
        _console.print(build_retention_table(result.retention))
    _console.print(f"written: {output}.json, {output}.md and, with several levels, {output}.png")


if __name__ == "__main__":
    main()

"""The command line that runs a fleet on loopback: ``python -m standins.fleet run`` or ``serve``."""

import signal
import sys
import tempfile
from pathlib import Path

import click
from rich.console import Console
from rich.progress import Progress

from ._fleet import Fleet
from ._fleet_file import encode_fleet_description
from ._fleet_load import build_mixed_load
from ._fleet_report import build_class_table, build_totals_table
from ._fleet_shape import COOPERATIVE_CLASSES, build_cooperative_shape
from ._http import reactor
from ._load_client import LoadClient
from ._load_plan import plan_requests
from ._load_results import LoadResult
from ._summary import summarize_run
from .load import run_client

RUN_DIRECTORY = Path(".run")
FLEET_FILE = "fleet.json"
PROGRESS_INTERVAL_S = 0.25
ANSWER_TIMEOUT_S = 15.0

_console = Console()


@click.group()
def main() -> None:
    """Run the router on loopback, with stand-ins for all systems around it."""


@main.command()
@click.option("--seed", default=1, show_default=True, help="Seed of the load.")
@click.option("--duration-s", default=15.0, show_default=True, help="Duration of the load.")
@click.option("--rate", default=1.0, show_default=True, help="Factor on the request rate.")
def run(seed: int, duration_s: float, rate: float) -> None:
    """Start the fleet, send a mixed load, print the results and stop the fleet."""
    _interrupt_on_signals()
    with tempfile.TemporaryDirectory(prefix="greengage-") as directory:
        fleet = Fleet(shape=build_cooperative_shape(), directory=Path(directory))
        with fleet:
            with _console.status("starting the platform, upstreams, agents and entries"):
                fleet.start()
            result = _send_load(fleet, seed, duration_s, rate)
            summary = summarize_run(result, COOPERATIVE_CLASSES, fleet.read_engine_ledgers())
            with _console.status("stopping gracefully"):
                codes = fleet.stop()
    _console.print(build_class_table(summary), build_totals_table(summary))
    failed = {name: code for name, code in codes.items() if code != 0}
    if failed:
        _console.print(f"ended with an exit code: {failed}")
    sys.exit(1 if failed else 0)


@main.command()
@click.option(
    "--directory",
    type=click.Path(path_type=Path),
    default=RUN_DIRECTORY,
    show_default=True,
    help="Directory for fleet.json and the logs.",
)
def serve(directory: Path) -> None:
    """Start the fleet, write fleet.json and run until interrupted."""
    _interrupt_on_signals()
    description = directory / FLEET_FILE
    try:
        with Fleet(shape=build_cooperative_shape(), directory=directory) as fleet:
            fleet.start()
            partial = description.with_suffix(".partial")
            partial.write_bytes(encode_fleet_description(fleet))
            partial.replace(description)
            _console.print(f"ready: {description}; entries {', '.join(fleet.entry_urls())}")
            signal.pause()
    except KeyboardInterrupt:
        _console.print("stopped")
    finally:
        description.unlink(missing_ok=True)


def _interrupt_on_signals() -> None:
    """Stop the fleet also when the terminal closes: its processes ignore SIGHUP."""
    for number in (signal.SIGTERM, signal.SIGHUP):
        signal.signal(number, _interrupt)


def _interrupt(_number: int, _frame: object) -> None:
    raise KeyboardInterrupt


def _send_load(fleet: Fleet, seed: int, duration_s: float, rate: float) -> LoadResult:
    requests = plan_requests(build_mixed_load(seed=seed, duration_s=duration_s, rate=rate))
    with Progress(console=_console, transient=True) as progress:
        task = progress.add_task("requests", total=len(requests))

        def show(client: LoadClient) -> None:
            progress.update(task, completed=client.completed_count)
            reactor.callLater(PROGRESS_INTERVAL_S, show, client)

        return run_client(
            entries=fleet.entry_urls(),
            requests=requests,
            answer_timeout_s=ANSWER_TIMEOUT_S,
            on_start=show,
        )


if __name__ == "__main__":
    main()

"""The soak's commands: ``python -m soak run`` and ``python -m soak hunt``."""

import signal
import sys
import time
from collections.abc import Callable
from pathlib import Path
from typing import Any

import click
from twisted.internet import reactor as default_reactor
from twisted.internet.defer import Deferred

from ._endless import PIECES, measure_endless
from ._faults import Fault
from ._hunt import hunt_seeds
from ._run import RunOptions, SoakRun
from ._store import run_store

DIRECTORY = Path(".run") / "soak"
EXIT_FINDINGS = 1
MAX_PRINTED = 3
"""Findings about each rule that are printed; ``findings.txt`` has all of them beside the logs."""


def add_fault_options(command: Callable[..., None]) -> Callable[..., None]:
    """Add the options that replace what a seed draws about its faults."""
    kind = click.option(
        "--kind",
        "kinds",
        multiple=True,
        type=click.Choice([fault.value for fault in Fault]),
        help="Kind of the faults, drawn from the seed if not given; may be repeated.",
    )
    pause = click.option(
        "--pause", "pause_s", type=float, help="Mean time between two faults, in seconds."
    )
    return kind(pause(command))


def add_deadly_option(command: Callable[..., None]) -> Callable[..., None]:
    """Add the option that replaces what a seed draws about a crashing part."""
    return click.option(
        "--deadly",
        "deadly_share",
        type=click.FloatRange(0.0, 1.0),
        help="Share of the prompts with a part that crashes upstreams, to the end of the run.",
    )(command)


def add_equal_options(command: Callable[..., None]) -> Callable[..., None]:
    """Add the options about callers that send the same crashing request."""
    callers = click.option(
        "--equal-callers",
        type=click.IntRange(min=0),
        help="Number of callers that send the same request, which crashes upstreams.",
    )
    pause = click.option(
        "--equal-pause",
        "equal_pause_s",
        type=click.FloatRange(min=0.0, min_open=True),
        help="Mean time between two of its tries by one caller, in seconds.",
    )
    return callers(pause(command))


def add_product_option(command: Callable[..., None]) -> Callable[..., None]:
    """Add the option that lets hosts run the code of another landing."""
    return click.option(
        "--product",
        type=click.Path(exists=True, file_okay=False, resolve_path=True, path_type=Path),
        help="Checkout whose code the hosts run, in place of this one.",
    )(command)


@click.group(context_settings={"max_content_width": 100})
def main() -> None:
    """Run real host processes under randomized faults and check what callers and upstreams see."""


@main.command()
@click.option("--seed", type=int, required=True, help="Seed of all draws.")
@click.option("--hosts", default=3, show_default=True, help="Number of hosts.")
@click.option("--upstreams", default=8, show_default=True, help="Number of upstreams.")
@click.option("--seconds", default=30.0, show_default=True, help="Time with faults.")
@click.option("--faults/--calm", default=True, show_default=True, help="Whether to inject faults.")
@add_fault_options
@add_deadly_option
@add_equal_options
@add_product_option
@click.option("--directory", type=click.Path(path_type=Path), help="Directory for the logs.")
def run(
    seed: int,
    hosts: int,
    upstreams: int,
    seconds: float,
    faults: bool,
    kinds: tuple[str, ...],
    pause_s: float | None,
    deadly_share: float | None,
    equal_callers: int | None,
    equal_pause_s: float | None,
    product: Path | None,
    directory: Path | None,
) -> None:
    """Run one seed and print its findings."""
    options = RunOptions(
        seed=seed,
        hosts=hosts,
        upstreams=upstreams,
        seconds=seconds,
        faults=faults,
        kinds=tuple(Fault(kind) for kind in kinds),
        pause_s=pause_s,
        deadly_share=deadly_share,
        equal_callers=equal_callers,
        equal_pause_s=equal_pause_s,
        product=product,
        directory=directory or DIRECTORY / f"seed-{seed}",
    )
    sys.exit(play(options))


def play(options: RunOptions) -> int:
    """Run the reactor for one run; return the exit status."""
    reactor: Any = default_reactor
    reactor.seconds = time.monotonic
    soak = SoakRun(options, reactor)
    failures: list[Any] = []

    def finish(_: object) -> None:
        soak.close()
        if reactor.running:
            reactor.stop()

    def begin() -> None:
        playing: Deferred[None] = Deferred.fromCoroutine(soak.play())
        playing.addErrback(failures.append)
        playing.addBoth(finish)

    def interrupt() -> None:
        failures.append("interrupted")
        finish(None)

    reactor.callWhenRunning(begin)
    for number in (signal.SIGTERM, signal.SIGINT):
        signal.signal(number, lambda *_: reactor.callFromThread(interrupt))
    try:
        reactor.run(installSignalHandlers=False)
    finally:
        soak.close()
    for failure in failures:
        click.echo(failure, err=True)
    report(options, soak)
    return EXIT_FINDINGS if failures or soak.findings.listed else 0


def report(options: RunOptions, soak: SoakRun) -> None:
    """Print a summary with some findings, and write all of them beside the logs."""
    seed, findings = options.seed, soak.findings
    click.echo(
        "".join(f"{each.describe(seed)}\n" for each in findings.list_first(MAX_PRINTED)), nl=False
    )
    click.echo(f"seed {seed}: {soak.summarize()}")
    click.echo(f"seed {seed}: findings: {findings.count_rules()}")
    soak.write_excuses()
    with (options.directory / "findings.txt").open("w") as output:
        output.writelines(f"{each.describe(seed)}\n" for each in findings.listed)


@main.command()
@click.option("--seeds", required=True, help="First and last seed: A-B.")
@click.option("--jobs", default=2, show_default=True, help="Runs at the same time.")
@click.option("--hosts", default=3, show_default=True, help="Number of hosts.")
@click.option("--upstreams", default=8, show_default=True, help="Number of upstreams.")
@click.option("--seconds", default=30.0, show_default=True, help="Time with faults.")
@add_fault_options
@add_deadly_option
def hunt(
    seeds: str,
    jobs: int,
    hosts: int,
    upstreams: int,
    seconds: float,
    kinds: tuple[str, ...],
    pause_s: float | None,
    deadly_share: float | None,
) -> None:
    """Run many seeds and print their findings."""
    first, _, last = seeds.partition("-")
    options = ["--hosts", str(hosts), "--upstreams", str(upstreams), "--seconds", str(seconds)]
    for kind in kinds:
        options += ["--kind", kind]
    if pause_s is not None:
        options += ["--pause", str(pause_s)]
    if deadly_share is not None:
        options += ["--deadly", str(deadly_share)]
    sys.exit(hunt_seeds(range(int(first), int(last or first) + 1), jobs=jobs, options=options))


@main.command()
@click.option("--kind", type=click.Choice(list(PIECES)), required=True, help="What has no end.")
@click.option("--seconds", default=12.0, show_default=True, help="Time of the measurement.")
def endless(kind: str, seconds: float) -> None:
    """Measure memory and other callers while an upstream sends bytes without end."""
    reactor: Any = default_reactor
    reactor.seconds = time.monotonic
    measure_endless(reactor, kind, seconds, DIRECTORY / "endless")


@main.command(hidden=True)
@click.option("--address", required=True)
@click.option("--port", type=int, required=True)
@click.option("--control-port", type=int, required=True)
def store(address: str, port: int, control_port: int) -> None:
    """Run the store process of a run."""
    run_store(address, port, control_port)


if __name__ == "__main__":
    main()

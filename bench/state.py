"""Measures the cost of claims, leases and orders for the platform and for each host.

Run with ``python -m bench.state``. The stand-ins run as separate processes. The measured components
of all hosts share this process, so that the results per host are means.
"""

from typing import Any

import click
from rich.console import Console
from rich.table import Table
from twisted.internet import reactor as default_reactor
from twisted.internet.defer import inlineCallbacks

from ._claim_cost import ClaimLoad, ClaimResult, ClaimRun
from ._lease_cost import LeaseResult, LeaseRun
from ._state_platform import run_standins

FLEET_BUDGET_PER_S = 300.0
CONSOLE_COLUMNS = 140
CLAIM_RUNS = ((1, 1.0), (1, 10.0), (1, 50.0), (8, 4.0), (8, 16.0), (8, 32.0))
LEASE_RUNS = ((8, 9), (8, 45), (8, 90), (42, 670))


@click.command()
@click.option(
    "--claims-s", default=8.0, show_default=True, help="Duration of each run of claims, in seconds."
)
@click.option(
    "--leases-s",
    default=20.0,
    show_default=True,
    help="Duration of each run of leases, in seconds; 0 skips them.",
)
def main(claims_s: float, leases_s: float) -> None:
    """Print the cost of claims and of leases at several sizes."""
    reactor: Any = default_reactor
    failures: list[Any] = []
    with run_standins() as (platform, engine):
        measurement = measure(reactor, platform, engine, claims_s, leases_s)
        measurement.addErrback(failures.append).addBoth(lambda _: reactor.stop())
        reactor.run()
    for failure in failures:
        failure.raiseException()


@inlineCallbacks
def measure(reactor: Any, platform: str, engine: str, claims_s: float, leases_s: float) -> Any:
    """Run every size, one after the other, and print the results."""
    console = Console(width=CONSOLE_COLUMNS)
    claims = []
    for hosts, rate_per_s in CLAIM_RUNS:
        load = ClaimLoad(
            hosts=hosts,
            rate_per_s=rate_per_s,
            fleet_budget_per_s=FLEET_BUDGET_PER_S,
            duration_s=claims_s,
        )
        claims.append((yield ClaimRun(reactor=reactor, url=platform, load=load).run()))
    console.print(build_claim_table(claims))
    leases = []
    for hosts, upstreams in LEASE_RUNS if leases_s > 0 else ():
        run = LeaseRun(
            reactor=reactor, url=platform, engine_url=engine, hosts=hosts, upstreams=upstreams
        )
        leases.append((yield run.run(leases_s)))
    console.print(build_lease_table(leases))


def build_claim_table(runs: list[ClaimResult]) -> Table:
    """Return the table of the claim results."""
    columns = ("hosts", "claims/s a host", "granted", "over budget", "other", "writes/s")
    costs = ("writes/claim", "reads/claim", "p50 ms", "p99 ms", "CPU us/claim")
    table = Table(title=f"claims with their answers, {FLEET_BUDGET_PER_S:g} writes/s for all hosts")
    for column in (*columns, *costs):
        table.add_column(column, justify="right")
    for run in runs:
        table.add_row(
            str(run.load.hosts),
            f"{run.load.rate_per_s:g}",
            str(run.granted),
            str(run.over_budget),
            str(run.other),
            f"{run.writes_per_s:.1f}",
            f"{run.writes_per_claim:.2f}",
            f"{run.reads_per_claim:.2f}",
            f"{run.p50_ms:.1f}",
            f"{run.p99_ms:.1f}",
            f"{run.cpu_us_per_claim:.0f}",
        )
    return table


def build_lease_table(runs: list[LeaseResult]) -> Table:
    """Return the table of the lease results."""
    table = Table(title="leases and read-backs in a steady state, fencing numbers ignored")
    columns = ("hosts", "engines", "leases", "settled", "writes/s", "reads/s", "CPU % a host")
    for column in columns:
        table.add_column(column, justify="right")
    for run in runs:
        table.add_row(
            str(run.hosts),
            str(run.upstreams),
            str(run.leases),
            str(run.settled),
            f"{run.writes_per_s:.1f}",
            f"{run.reads_per_s:.1f}",
            f"{run.cpu_percent_per_host:.2f}",
        )
    return table


if __name__ == "__main__":
    main()

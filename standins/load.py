"""The load generator: ``python -m standins.load --job FILE --result FILE``."""

from collections.abc import Callable
from pathlib import Path

import click
import msgspec
from msgspec import Struct

from ._http import reactor, stop_reactor
from ._load_client import LoadClient
from ._load_plan import LoadShape, PlannedRequest, plan_requests
from ._load_results import LoadResult


class LoadJob(Struct, frozen=True, kw_only=True):
    """What to send and where.

    ``patience_s`` is how long the last answers are waited for.
    """

    entries: tuple[str, ...]
    shape: LoadShape
    patience_s: float = 30.0


def run_client(
    *,
    entries: list[str],
    requests: list[PlannedRequest],
    patience_s: float,
    on_start: Callable[[LoadClient], None] | None = None,
) -> LoadResult:
    """Run the reactor until every request has its verdict.

    Raises:
        KeyboardInterrupt: A signal stopped the reactor first.
    """
    collected: list[LoadResult] = []

    def keep(result: LoadResult) -> None:
        collected.append(result)
        stop_reactor()

    client = LoadClient(entries=entries, requests=requests, patience_s=patience_s, on_done=keep)
    reactor.callWhenRunning(client.start)
    if on_start is not None:
        reactor.callWhenRunning(on_start, client)
    reactor.run()
    if not collected:
        raise KeyboardInterrupt
    return collected[0]


@click.command()
@click.option("--job", "job_file", type=click.Path(path_type=Path), required=True)
@click.option("--result", "result_file", type=click.Path(path_type=Path), required=True)
def main(job_file: Path, result_file: Path) -> None:
    """Send a seeded load to entry hosts, open loop, and record every answer."""
    job = msgspec.json.decode(job_file.read_bytes(), type=LoadJob)
    result = run_client(
        entries=list(job.entries),
        requests=plan_requests(job.shape),
        patience_s=job.patience_s,
    )
    result_file.write_bytes(msgspec.json.encode(result))


if __name__ == "__main__":
    main()

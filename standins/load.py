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
    """The load to send and the entry hosts to send it to.

    ``patience_s`` is how long to wait for answers after the last planned request.
    """

    entries: tuple[str, ...]
    shape: LoadShape
    patience_s: float = 30.0


def run_client(
    *,
    entries: list[str],
    requests: list[PlannedRequest],
    answer_timeout_s: float,
    on_start: Callable[[LoadClient], None] | None = None,
) -> LoadResult:
    """Run the reactor until every request has its final verdict or the answer timeout is over.

    Raises:
        KeyboardInterrupt: A signal stopped the reactor first.
    """
    collected: list[LoadResult] = []

    def keep_result(result: LoadResult) -> None:
        collected.append(result)
        stop_reactor()

    client = LoadClient(
        entries=entries, requests=requests, answer_timeout_s=answer_timeout_s, on_done=keep_result
    )
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
    """Send a seeded open-loop load to entry hosts and record every answer."""
    job = msgspec.json.decode(job_file.read_bytes(), type=LoadJob)
    result = run_client(
        entries=list(job.entries),
        requests=plan_requests(job.shape),
        answer_timeout_s=job.patience_s,
    )
    result_file.write_bytes(msgspec.json.encode(result))


if __name__ == "__main__":
    main()

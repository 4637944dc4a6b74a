"""Measures the CPU time of the policy's decisions at the target fleet size.

Run with ``python -m bench.policy_cost``. The policy of one host out of 370 routes requests for 5
models, each served by a pool of 134 of the 670 upstreams, with 1,600 workspaces and 6 classes.
Requests arrive, stream and finish, and each finished one is replaced by a new one, so that the
host's slots stay occupied and the queue never empties.
"""

import gc
import resource
import statistics
import time
from dataclasses import dataclass

import click

from greengagestage.configuration import (
    Declaration,
    Model,
    ServiceClass,
    Upstream,
    UpstreamKind,
    Workspace,
)
from greengagestage.ids import (
    AttemptId,
    ClassName,
    FailureDomain,
    Fingerprint,
    HostId,
    ModelName,
    PoolName,
    RequestId,
    UpstreamName,
    WorkspaceId,
)
from greengagestage.policy import (
    AttemptFinished,
    AttemptProgressed,
    DeclarationAdopted,
    Dispatch,
    Event,
    Policy,
    Request,
    RequestArrived,
    SharesUpdated,
    TimerFired,
    UpstreamReport,
    UpstreamsReported,
    UpstreamState,
)

HOSTS = 370
UPSTREAMS = 670
MODELS = 5
WORKSPACES = 1600
CLASSES = 6
DOMAINS = 7
SLOTS = 64
QUEUED_REQUESTS = 200
PROGRESS_EVENTS_PER_ATTEMPT = 4
TOKENS_PER_EVENT = 16
STEP_S = 0.0005
REPORT_INTERVAL_REQUESTS = 500
US_PER_S = 1e6
KB_PER_MB = 1024


@dataclass(slots=True, kw_only=True)
class Samples:
    """The CPU times of the events in seconds, by kind."""

    by_kind: dict[str, list[float]]

    def add(self, kind: str, seconds: float) -> None:
        """Add one sample."""
        self.by_kind.setdefault(kind, []).append(seconds)

    def print(self) -> None:
        """Print the median, the 99th percentile and the mean of each kind in microseconds."""
        click.echo(f"{'event':<20}{'count':>8}{'p50 us':>9}{'p99 us':>9}{'mean us':>9}")
        for kind, samples in self.by_kind.items():
            ordered = sorted(samples)
            p99 = ordered[int(len(ordered) * 0.99)]
            median, mean = statistics.median(ordered), statistics.fmean(ordered)
            figures = "".join(f"{value * US_PER_S:>9.1f}" for value in (median, p99, mean))
            click.echo(f"{kind:<20}{len(ordered):>8}{figures}")


class Driver:
    """Sends events to the policy of one host and tracks its running attempts."""

    def __init__(self, *, seed: int, hosts: int, upstreams: int) -> None:
        self.policy = Policy(host=HostId("host-0"), seed=seed)
        self.samples = Samples(by_kind={})
        self.running: list[AttemptId] = []
        self.now_s = 1000.0
        self.request_count = 0
        self.process_event(DeclarationAdopted(declaration=build_declaration(upstreams)))
        self.process_event(SharesUpdated(slots={}, entry_hosts=hosts))

    def process_event(self, event: Event) -> None:
        """Send one event to the policy and record its CPU time."""
        self.now_s += STEP_S
        start_s = time.process_time()
        actions = self.policy.handle(event, self.now_s)
        self.samples.add(type(event).__name__, time.process_time() - start_s)
        for action in actions:
            if isinstance(action, Dispatch):
                self.running.append(action.attempt_id)

    def send_request(self) -> None:
        """Send one request."""
        self.request_count += 1
        n = self.request_count
        request = Request(
            request_id=RequestId(f"r{n}"),
            workspace=WorkspaceId(f"w{n * 7919 % WORKSPACES}"),
            service_class=ClassName(f"c{n % CLASSES}"),
            pool=PoolName(f"m{n % MODELS}"),
            fingerprint=Fingerprint(f"f{n}"),
            prompt_tokens=400,
            prefix_hashes=tuple(n % 97 * 1000 + k for k in range(6)),
        )
        self.process_event(RequestArrived(request=request))

    def complete_oldest(self) -> None:
        """Stream and finish the oldest attempt, then send a new request."""
        attempt = self.running.pop(0)
        for _ in range(PROGRESS_EVENTS_PER_ATTEMPT):
            self.process_event(AttemptProgressed(attempt_id=attempt, tokens=TOKENS_PER_EVENT))
        self.process_event(AttemptFinished(attempt_id=attempt))
        self.send_request()

    def send_report(self, upstreams: int) -> None:
        """Send a report about every upstream."""
        reports = tuple(
            UpstreamReport(
                upstream=UpstreamName(f"u{n}"),
                state=UpstreamState.LIVE,
                running=n % SLOTS,
                peers_in_flight=n % SLOTS,
                measured_at_s=self.now_s - 1.0,
            )
            for n in range(upstreams)
        )
        self.process_event(UpstreamsReported(reports=reports))


def build_declaration(upstreams: int) -> Declaration:
    """Return a declaration of the target fleet size."""
    classes = tuple(
        ServiceClass(
            name=ClassName(f"c{n}"),
            priority=n,
            first_token_target_ms=2000 * (n + 1),
            inter_token_target_ms=34,
            answer_target_ms=20000 * (n + 1),
            queue_limit=400,
        )
        for n in range(CLASSES)
    )
    workspaces = tuple(
        Workspace(
            name=WorkspaceId(f"w{n}"),
            keys=(),
            default_class=ClassName("c0"),
            requests_per_s=1e6,
            burst=1_000_000,
            concurrency=1_000_000,
        )
        for n in range(WORKSPACES)
    )
    return Declaration(
        classes=classes,
        workspaces=workspaces,
        models=tuple(Model(name=ModelName(f"m{n}")) for n in range(MODELS)),
        upstreams=tuple(_build_upstream(n) for n in range(upstreams)),
    )


def _build_upstream(number: int) -> Upstream:
    return Upstream(
        name=UpstreamName(f"u{number}"),
        kind=UpstreamKind.ENGINE,
        url="http://10.0.0.1:80",
        failure_domain=FailureDomain(f"d{number % DOMAINS}"),
        slots=SLOTS,
        models=(ModelName(f"m{number % MODELS}"),),
    )


@click.command()
@click.option(
    "--turns", default=20_000, help="Number of requests to finish after the queue has filled."
)
@click.option("--hosts", default=HOSTS)
@click.option("--upstreams", default=UPSTREAMS)
@click.option("--seed", default=1)
def main(turns: int, hosts: int, upstreams: int, seed: int) -> None:
    """Print the CPU time of each kind of event and the peak memory."""
    driver = Driver(seed=seed, hosts=hosts, upstreams=upstreams)
    driver.send_report(upstreams)
    while sum(load.queued for load in driver.policy.inspect().classes) < QUEUED_REQUESTS:
        driver.send_request()
    running = len(driver.running)
    driver.samples = Samples(by_kind={})
    gc.collect()
    for turn in range(turns):
        driver.complete_oldest()
        if turn % REPORT_INTERVAL_REQUESTS == 0:
            driver.send_report(upstreams)
            driver.process_event(TimerFired())
    peak_mb = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss / KB_PER_MB
    click.echo(f"hosts {hosts}, upstreams {upstreams}, running {running}, queued {QUEUED_REQUESTS}")
    driver.samples.print()
    click.echo(f"peak memory {peak_mb:.0f} MB")


if __name__ == "__main__":
    main()

"""Measures the CPU time of one host's routing under load: ``python -m bench.host_cost``.

One router places requests before engines whose load from all other hosts is given: idle, at their
capacity, or full, so that nearly every long prompt waits and is placed again. No network, engine or
other host takes part. Time is simulated; only the CPU time of each kind of call is measured.
"""

import heapq
import time
from collections import defaultdict
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from enum import Enum
from random import Random

import click
from msgspec import Struct
from rich.console import Console
from rich.table import Table

from greengagestage.catalog import (
    Availability,
    Bounds,
    ConnectionLimits,
    Destination,
    EngineProfile,
    Prompt,
    PromptPart,
    RegisteredUpstream,
    Route,
    RouteKind,
    RouteTable,
    Service,
)
from greengagestage.ids import (
    AttemptId,
    ConfigurationVersion,
    FailureDomain,
    InstanceId,
    PromptPartId,
    RouteName,
    ServiceName,
)
from greengagestage.routing import (
    AttemptEnd,
    Demand,
    Job,
    Placement,
    Router,
    UpstreamLoad,
    UrgencyTraffic,
    Waiting,
)

SIZES = ((22, 36), (58, 116), (195, 350), (371, 670))
"""Hosts and upstreams, up to the target."""

ENGINES = ServiceName("engines")
SLOTS = 16
ENGINE_SHARE = 0.5
"""Requests that an engine runs at once, and the share of the upstreams that are engines."""

REQUESTS_PER_S = 10.0
OVERLOAD_FACTOR = 3.0
"""Requests a second that callers send to the host, and how many times as many in an overload."""

DURATION_S = 10.0
WARM_UP_S = 2.0
"""Simulated time that is measured, and the time before it that is not."""

REPORT_INTERVAL_S = 0.1
"""Time between two reports of the load of all other hosts."""

SHARED_PARTS = 200
"""Number of prefixes among which the prompts of a route choose."""

EVENTS = 30
EVENT_GAP_S = 0.05
"""Events of an answer, and the time between them."""

MS = 1_000


class Load(Enum):
    """How much the upstreams have to do."""

    IDLE = "idle"
    CAPACITY = "capacity"
    OVERLOAD = "3 x capacity"


class Cost(Struct, frozen=True, kw_only=True):
    """CPU time of one kind of call in a run.

    Attributes:
        cause: The kind of call.
        calls: Number of calls.
        cpu_s: CPU time of all of them.
    """

    cause: str
    calls: int
    cpu_s: float


class CostRun(Struct, frozen=True, kw_only=True):
    """The costs of one size and load.

    Attributes:
        requests: Number of requests offered in the measured time.
        delivered: Number of those that an engine began.
    """

    hosts: int
    upstreams: int
    load: Load
    requests: int
    delivered: int
    costs: list[Cost]

    @property
    def ms_per_request(self) -> float:
        """Mean CPU time for each request offered, in milliseconds."""
        return MS * sum(cost.cpu_s for cost in self.costs) / self.requests


def _build_route(name: str, *, target_s: float, priority: int) -> Route:
    return Route(
        name=RouteName(name),
        host="bench.example",
        prefix=f"/{name}/",
        kind=RouteKind.STREAM,
        destinations=(Destination(service=ENGINES, weight=1.0),),
        timeout_s=10.0,
        target_s=target_s,
        gap_target_s=target_s,
        max_attempts=1,
        priority=priority,
        resumable=False,
        carries_prompt=True,
    )


CHAT = _build_route("chat", target_s=0.3, priority=0)
REVIEW = _build_route("review", target_s=1.5, priority=2)


class HostLoad:
    """Calls the router of one host as a host does, and measures the CPU time of the calls."""

    def __init__(self, *, hosts: int, upstreams: int, load: Load, seed: int) -> None:
        self._random = Random(seed)
        self._load = load
        self._hosts = hosts
        self._rate_per_s = REQUESTS_PER_S * (OVERLOAD_FACTOR if load is Load.OVERLOAD else 1.0)
        self._events: list[tuple[float, int, Callable[[float], None]]] = []
        self._order = 0
        self._cpu_s: dict[str, float] = defaultdict(float)
        self._calls: dict[str, int] = defaultdict(int)
        self._requests = self._delivered = 0
        engines = round(ENGINE_SHARE * upstreams)
        self.router = Router(
            domain=FailureDomain("a"), bounds=Bounds(), draw=Random(f"{seed}/router").random
        )
        profile = EngineProfile(slots=SLOTS, kv_capacity_tokens=500_000, tokens_per_event=10)
        self.router.hosts = hosts
        self.router.retries.begin_slack(0.0, has_predecessor=False)
        self.router.update_routes(
            RouteTable(
                version=ConfigurationVersion(1),
                routes=(CHAT, REVIEW),
                services=(
                    Service(name=ENGINES, max_connections=500, engine=profile),
                    Service(name=ServiceName("archive"), max_connections=500),
                ),
                workspaces={},
                limits=ConnectionLimits(),
            )
        )
        self.router.update_upstreams(
            (
                RegisteredUpstream(
                    instance=InstanceId(f"i-{number}"),
                    service=ENGINES if number < engines else ServiceName("archive"),
                    address="127.0.0.1",
                    port=9_000 + number,
                    failure_domain=FailureDomain("abcdefg"[number % 7]),
                    slots=SLOTS,
                    availability=Availability.READY,
                    started_ms=1_000,
                )
                for number in range(upstreams)
            ),
            0.0,
        )
        self._engines = [InstanceId(f"i-{number}") for number in range(engines)]

    def run(self) -> list[Cost]:
        """Play the load, and return the costs after the warm-up."""
        self._at(0.0, self._arrive)
        self._at(0.0, self._exchange_reports)
        self._at(WARM_UP_S, self._reset)
        while self._events:
            at_s, _, call = heapq.heappop(self._events)
            if at_s > WARM_UP_S + DURATION_S:
                break
            call(at_s)
        return [
            Cost(cause=cause, calls=self._calls[cause], cpu_s=cpu_s)
            for cause, cpu_s in sorted(self._cpu_s.items())
        ]

    def measure(self) -> CostRun:
        """Play the load, and return what it cost."""
        costs = self.run()
        return CostRun(
            hosts=self._hosts,
            upstreams=len(self.router.upstreams),
            load=self._load,
            requests=self._requests,
            delivered=self._delivered,
            costs=costs,
        )

    @contextmanager
    def _timing(self, cause: str) -> Iterator[None]:
        start_s = time.process_time()
        yield
        self._cpu_s[cause] += time.process_time() - start_s
        self._calls[cause] += 1

    def _reset(self, _: float) -> None:
        self._cpu_s.clear()
        self._calls.clear()
        self._requests = self._delivered = 0

    def _at(self, at_s: float, call: Callable[[float], None]) -> None:
        self._order += 1
        heapq.heappush(self._events, (at_s, self._order, call))

    def _arrive(self, now_s: float) -> None:
        self._at(now_s + self._random.expovariate(self._rate_per_s), self._arrive)
        self._requests += 1
        is_review = self._random.random() < 0.5
        route = REVIEW if is_review else CHAT
        shared_tokens, own_tokens = (5_400, 6_600) if is_review else (200, 600)
        shared = PromptPartId(f"{route.name}-{self._random.randrange(SHARED_PARTS)}")
        own = max(int(own_tokens * self._random.lognormvariate(-0.5, 1.0)), 1)
        job = Job(
            attempt_id=AttemptId(f"r-{self._order}"),
            service=ENGINES,
            route=route,
            urgency=route.priority,
            arrived_s=now_s,
            deadline_s=now_s + route.timeout_s,
            prompt=Prompt(
                tokens=shared_tokens + own,
                output_tokens=400,
                parts=(
                    PromptPart(part=shared, tokens=shared_tokens),
                    PromptPart(part=PromptPartId(f"own-{self._order}"), tokens=own),
                ),
            ),
        )
        with self._timing("arrivals"):
            self.router.count_request(job, now_s)
        self._place(job, now_s, "placements")

    def _place(self, job: Job, now_s: float, cause: str) -> None:
        with self._timing(cause):
            placed = self.router.place(job, now_s)
        match placed:
            case Waiting(delay_s=delay_s):
                self._at(now_s + delay_s, lambda at_s: self._place(job, at_s, "rechecks"))
            case Placement(upstream=upstream, expected_s=expected_s):
                self._delivered += 1
                for event in range(EVENTS):
                    at_s = now_s + expected_s + event * EVENT_GAP_S
                    self._at(at_s, lambda at_s: self._receive(job, upstream.instance, at_s))
                self._at(at_s, lambda at_s: self._end(job, upstream.instance, at_s))

    def _receive(self, job: Job, instance: InstanceId, now_s: float) -> None:
        with self._timing("events"):
            self.router.record_data(job.attempt_id, instance, now_s)

    def _end(self, job: Job, instance: InstanceId, now_s: float) -> None:
        with self._timing("ends"):
            self.router.record_end(job.attempt_id, instance, AttemptEnd.ANSWERED, now_s)

    def _exchange_reports(self, now_s: float) -> None:
        self._at(now_s + REPORT_INTERVAL_S, self._exchange_reports)
        with self._timing("reports"):
            self.router.measure_local_loads(now_s)
            self.router.measure_local_demand(now_s)
            self.router.update_peer_loads(
                {instance: self._draw_load() for instance in self._engines},
                {ENGINES: self._build_demand()},
            )

    def _draw_load(self) -> UpstreamLoad:
        match self._load:
            case Load.IDLE:
                requests, prefill_s = 1, 0.0
            case Load.CAPACITY:
                requests, prefill_s = self._random.randint(9, 15), self._random.uniform(0.0, 0.3)
            case Load.OVERLOAD:
                requests, prefill_s = self._random.randint(16, 22), self._random.uniform(0.5, 1.5)
        return UpstreamLoad(
            prefill_s=prefill_s, tolerant_requests=requests, tokens=requests * 15_000, gap_s=0.03
        )

    def _build_demand(self) -> Demand:
        per_s = self._rate_per_s * self._hosts / 2
        waiting = 3.0 * per_s if self._load is Load.OVERLOAD else 0.0
        placed = per_s / OVERLOAD_FACTOR if self._load is Load.OVERLOAD else per_s
        return Demand(
            sensitive=0.01 * per_s,
            tolerant=0.1 * per_s,
            urgencies={
                0: UrgencyTraffic(arrivals=per_s, size=per_s * 800, placed=per_s),
                2: UrgencyTraffic(
                    arrivals=per_s,
                    size=per_s * 12_000,
                    waiting=waiting,
                    placed=max(placed, waiting),
                ),
            },
        )


def build_table(runs: list[CostRun]) -> Table:
    """Return a table with a row for each size and load, and a column for each cause."""
    causes = sorted({cost.cause for run in runs for cost in run.costs})
    table = Table(title="CPU time of a host's routing, in ms a second of simulated time")
    for heading in ("hosts", "upstreams", "load", "requests/s", "ms a request", *causes):
        table.add_column(heading, justify="left" if heading == "load" else "right")
    for run in runs:
        by_cause = {cost.cause: cost for cost in run.costs}
        cells = [
            f"{MS * by_cause[cause].cpu_s / DURATION_S:.2f}" if cause in by_cause else "-"
            for cause in causes
        ]
        rate = f"{run.requests / DURATION_S:.0f}"
        per_request = f"{run.ms_per_request:.2f}"
        size = (str(run.hosts), str(run.upstreams))
        table.add_row(*size, run.load.value, rate, per_request, *cells)
    return table


@click.command()
@click.option("--seed", default=1, show_default=True, help="Seed of the load.")
def main(seed: int) -> None:
    """Print the CPU time of a host's routing at several sizes and loads."""
    runs = [
        HostLoad(hosts=hosts, upstreams=upstreams, load=load, seed=seed).measure()
        for hosts, upstreams in SIZES
        for load in Load
    ]
    Console(width=150).print(build_table(runs))


if __name__ == "__main__":
    main()

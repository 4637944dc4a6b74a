"""A simulated fleet of hosts before plain upstreams that fall over after too many rejections."""

import heapq
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field
from random import Random

from greengagestage.catalog import Bounds, Route
from greengagestage.ids import FailureDomain, InstanceId, RouteName
from greengagestage.routing import AttemptEnd, Job, Placement, Router, Waiting

from .catalog_builders import ARCHIVE, LOOKUP, build_job, build_table, build_upstream
from .load_reports import take_load_reports

WORK_S = 0.1
REPORT_DELAY_S = 0.06
TOLD_DELAY_S = 0.003
FALL_S = 3.0
STABLE_FROM_S = 1.0
"""Until then upstreams bear any number of rejections, as at the beginning of a brittle time."""


@dataclass(kw_only=True)
class BrittleFleet:
    """Hosts that decide with routers of their own, and learn late what the others do.

    Attributes:
        tells: Whether hosts learn that the upstreams are brittle.
        limit_per_s: Rate that each upstream names; None if it names none.
        routes: The routes from which each request takes one.
        falls: Times at which an upstream has turned away more than it bears in a second.
        outcomes: How many requests were served, refused and turned away.
    """

    hosts: int
    upstreams: int
    slots: int = 6
    allowance: int = 4
    tells: bool = True
    limit_per_s: float | None = None
    routes: tuple[Route, ...] = (LOOKUP,)
    seed: int = 0
    falls: list[float] = field(default_factory=list)
    outcomes: Counter[str] = field(default_factory=Counter)
    outcomes_by_route: dict[RouteName, Counter[str]] = field(default_factory=dict)

    def __post_init__(self) -> None:
        self._random = Random(self.seed)
        self.outcomes_by_route = {route.name: Counter() for route in self.routes}
        self._events: list[tuple[float, int, Callable[[float], None]]] = []
        self._order = 0
        self._names = [InstanceId(f"i-{number}") for number in range(self.upstreams)]
        self._running = dict.fromkeys(self._names, 0)
        self._rejections: dict[InstanceId, list[float]] = {name: [] for name in self._names}
        self._back_s = dict.fromkeys(self._names, 0.0)
        records = [
            build_upstream(number, service=ARCHIVE, slots=self.slots)
            for number in range(self.upstreams)
        ]
        self._records = {record.instance: record for record in records}
        self.routers = []
        for number in range(self.hosts):
            draw = Random(f"{self.seed}/{number}").random
            router = Router(domain=FailureDomain("a"), bounds=Bounds(), draw=draw)
            router.hosts, router.position = self.hosts, number
            router.update_routes(build_table(routes=self.routes))
            router.update_upstreams(records, 0.0)
            if self.tells:
                for record in records:
                    router.record_brittle(record.incarnation, self.allowance, 0.0)
            if self.limit_per_s is not None:
                for record in records:
                    router.record_limit(record.incarnation, self.limit_per_s, 0.0)
            self.routers.append(router)

    @property
    def capacity_per_s(self) -> float:
        """Requests per second that all upstreams together can answer."""
        return self.upstreams * self.slots / WORK_S

    def run(self, *, rate_per_s: float, duration_s: float) -> None:
        """Send requests at random times to random hosts."""
        now_s, number = 0.0, 0
        while (now_s := now_s + self._random.expovariate(rate_per_s)) < duration_s:
            number += 1
            router = self._random.choice(self.routers)
            route = self.routes[number % len(self.routes)]
            job = build_job(number, route=route, now_s=now_s)
            router.count_request(job, now_s)
            self._at(now_s, lambda at_s, r=router, j=job: self._place(r, j, frozenset(), at_s))
        for step in range(int(duration_s / REPORT_DELAY_S)):
            self._at(step * REPORT_DELAY_S, self._exchange_loads)
        while self._events:
            at_s, _, call = heapq.heappop(self._events)
            call(at_s)

    def _at(self, at_s: float, call: Callable[[float], None]) -> None:
        self._order += 1
        heapq.heappush(self._events, (at_s, self._order, call))

    def _count(self, job: Job, outcome: str) -> None:
        self.outcomes[outcome] += 1
        self.outcomes_by_route[job.route.name][outcome] += 1

    def _exchange_loads(self, now_s: float) -> None:
        self._at(now_s + REPORT_DELAY_S, take_load_reports(self.routers, now_s))

    def _place(self, router: Router, job: Job, tried: frozenset[InstanceId], now_s: float) -> None:
        placed = router.place(job, now_s, tried)
        match placed:
            case Waiting(delay_s=delay_s):
                self._at(now_s + delay_s, lambda at_s: self._place(router, job, tried, at_s))
            case Placement():
                self._arrive(router, job, placed.upstream.instance, tried, now_s)
            case _:
                self._count(job, "refused")

    def _arrive(
        self,
        router: Router,
        job: Job,
        name: InstanceId,
        tried: frozenset[InstanceId],
        now_s: float,
    ) -> None:
        if now_s < self._back_s[name]:
            self._fail_to_connect(router, job, name, tried, now_s)
            return
        if self._running[name] < self.slots:
            self._running[name] += 1
            self._at(now_s + WORK_S, lambda at_s: self._finish(router, job, name, at_s))
            return
        self._count(job, "turned away")
        router.record_end(job.attempt_id, name, AttemptEnd.FULL, now_s)
        self._count_rejection(router, name, now_s)
        if len(tried) < 2:
            self._place(router, job, tried | {name}, now_s + 0.002)

    def _fail_to_connect(
        self,
        router: Router,
        job: Job,
        name: InstanceId,
        tried: frozenset[InstanceId],
        now_s: float,
    ) -> None:
        router.record_end(job.attempt_id, name, AttemptEnd.UNREACHABLE, now_s)
        if len(tried) < 3:
            self._place(router, job, tried | {name}, now_s + 0.002)
        else:
            self._count(job, "refused")

    def _count_rejection(self, router: Router, name: InstanceId, now_s: float) -> None:
        since_s = max(now_s - 1.0, STABLE_FROM_S)
        recent = [at_s for at_s in (*self._rejections[name], now_s) if at_s > since_s]
        self._rejections[name] = recent
        incarnation = self._records[name].incarnation
        if len(recent) > self.allowance:
            self.falls.append(now_s)
            self._back_s[name] = now_s + FALL_S
        router.record_rejection(incarnation, now_s)
        for other in self.routers:
            self._at(
                now_s + TOLD_DELAY_S, lambda at_s, r=other: r.record_rejection(incarnation, at_s)
            )

    def _finish(self, router: Router, job: Job, name: InstanceId, now_s: float) -> None:
        self._running[name] -= 1
        self._count(job, "served")
        router.record_end(job.attempt_id, name, AttemptEnd.ANSWERED, now_s)

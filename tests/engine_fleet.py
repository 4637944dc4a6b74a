"""A simulated fleet of hosts before model engines that run their requests in batches."""

import heapq
import math
from collections.abc import Callable, Iterable, Sequence
from dataclasses import dataclass, field, replace
from random import Random

from greengagestage.catalog import (
    Availability,
    Bounds,
    EngineProfile,
    Prompt,
    PromptPart,
    Route,
    Service,
)
from greengagestage.ids import AttemptId, FailureDomain, InstanceId, PromptPartId, RouteName
from greengagestage.routing import AttemptEnd, Crossing, Job, Placement, Refused, Router, Waiting
from greengagestage.routing._engine_model import count_prefill_tokens

from .catalog_builders import ENGINES, build_route, build_table, build_upstream
from .load_reports import take_load_reports

REPORT_INTERVAL_S = 0.06
STEP_S = 0.003
STEP_PER_REQUEST_S = 0.000_02
TOKENS_PER_S = 100_000.0
CHUNK_TOKENS = 2_048
TOKENS_PER_EVENT = 7
QUEUE = 100
"""A batch step takes longer for each request and for the prompts that it reads. An engine turns
requests away once this many wait."""

MAX_SIZE = 8.0
"""Largest own part of a prompt, as a multiple of the usual one."""

NOTICE_DELAY_S = 0.03
"""Time until all hosts know that an engine leaves."""

RETURN_LIMIT_S = 3.0
"""Longest time after which a refused caller comes back, once."""


@dataclass(frozen=True, slots=True, kw_only=True)
class Kind:
    """A kind of request: its route, its rate, and its usual size in tokens.

    Attributes:
        size_deviation: Standard deviation of the logarithm of the request's own tokens, which are
            at most ``MAX_SIZE`` times the usual. None if sizes are spread evenly around the usual
            one, and engines prefill that one for each request.
        shared_parts: Number of shared prefixes among which requests choose.
    """

    route: Route
    rate_per_s: float
    shared_tokens: int
    own_tokens: int
    output_tokens: int
    size_deviation: float | None = None
    shared_parts: int = 40

    @property
    def tokens(self) -> int:
        return self.shared_tokens + self.own_tokens

    @property
    def patience_s(self) -> float:
        """Time without an event after which callers leave."""
        return max(2.0, 4 * self.route.target_s, 8 * (self.route.gap_target_s or 0.0))


CHAT = Kind(
    route=build_route(name=RouteName("chat"), prefix="/chat/"),
    rate_per_s=8.0,
    shared_tokens=200,
    own_tokens=630,
    output_tokens=290,
)
SUMMARY = Kind(
    route=build_route(
        name=RouteName("summary"),
        prefix="/summary/",
        target_s=0.3,
        gap_target_s=0.3,
        timeout_s=2.5,
        priority=1,
        max_attempts=1,
        resumable=False,
    ),
    rate_per_s=11.0,
    shared_tokens=570,
    own_tokens=1_800,
    output_tokens=21,
)
REVIEW = Kind(
    route=build_route(
        name=RouteName("review"),
        prefix="/review/",
        target_s=1.5,
        gap_target_s=0.8,
        priority=2,
        max_attempts=1,
        resumable=False,
    ),
    rate_per_s=7.0,
    shared_tokens=5_400,
    own_tokens=6_600,
    output_tokens=385,
)
KINDS = (CHAT, SUMMARY, REVIEW)
BRIEF = Kind(
    route=build_route(
        name=RouteName("brief"),
        prefix="/brief/",
        target_s=1.5,
        gap_target_s=1.0,
        timeout_s=10.0,
        priority=2,
        max_attempts=1,
        resumable=False,
    ),
    rate_per_s=21.0,
    shared_tokens=5_400,
    own_tokens=6_600,
    output_tokens=380,
    size_deviation=1.1,
    shared_parts=110,
)
OFFICE_KINDS = (
    replace(CHAT, rate_per_s=21.0),
    replace(SUMMARY, rate_per_s=29.4, size_deviation=0.7),
    replace(REVIEW, rate_per_s=19.2, size_deviation=1.0),
)
"""Kinds whose crowds nine engines of 48 slots serve with ease, and three do not."""

BRIEF_KINDS = (BRIEF, replace(CHAT, rate_per_s=11.0), replace(SUMMARY, rate_per_s=24.0))


@dataclass(slots=True, kw_only=True, eq=False)
class Request:
    """A caller's request.

    Attributes:
        placed_s: When its host sent it.
        expected_s: Time to the first event that its host expected when it sent it.
        crossing: Between which domains it was sent, and why.
        begun_s: When an engine began to run it; None if none did.
        completed_s: When its answer was complete.
    """

    kind: Kind
    job: Job
    router: Router
    returns: bool = True
    engine: "Engine | None" = None
    placed_s: float = 0.0
    expected_s: float = 0.0
    crossing: Crossing | None = None
    begun_s: float | None = None
    completed_s: float | None = None
    prefill_tokens: float = 0.0
    output_tokens: int = 0

    @property
    def size(self) -> int:
        """Number of tokens in its prompt."""
        assert self.job.prompt is not None
        return self.job.prompt.tokens

    def count_prefill_tokens(self, cached: int) -> float:
        """Return the prefill work of its prompt after cached tokens."""
        if self.kind.size_deviation is None:
            return self.kind.tokens - cached
        return count_prefill_tokens(self.size - cached, cached)


@dataclass(slots=True, kw_only=True, eq=False)
class Engine:
    """An engine that admits the most urgent of its waiting requests first."""

    instance: InstanceId
    slots: int
    domain: FailureDomain
    leaving: bool = False
    waiting: list[Request] = field(default_factory=list)
    running: list[Request] = field(default_factory=list)
    cached: set[PromptPartId] = field(default_factory=set)
    is_stepping: bool = False

    def admit(self) -> None:
        self.waiting.sort(key=lambda each: each.job.urgency)
        while self.waiting and len(self.running) < self.slots:
            request = self.waiting.pop(0)
            part = request.job.prompt.shared_parts[0].part if request.job.prompt else None
            cached = request.kind.shared_tokens if part in self.cached else 0
            request.prefill_tokens = request.count_prefill_tokens(cached)
            if part is not None:
                self.cached.add(part)
            self.running.append(request)

    def remove(self, request: Request) -> None:
        for requests in (self.waiting, self.running):
            if request in requests:
                requests.remove(request)


class EngineFleet:
    """Hosts with routers of their own, which learn late what the others do.

    Args:
        domains: Number of failure domains, over which hosts and engines are spread evenly.
        demand: Returns the demand of the callers in each domain at a time, relative to the usual.
        crowds: Times from and until which callers send ``crowd_factor`` times as much.
        crowd_kinds: The kinds of which they send more; None for all.
        leaving: Times at which one of the engines leaves.
        reclaimed: Times at which all engines but some of the first domain leave, with the number
            of those that stay.
    """

    def __init__(
        self,
        *,
        engines: int = 5,
        slots: int = 16,
        hosts: int = 4,
        kinds: Iterable[Kind] = KINDS,
        crowds: Iterable[tuple[float, float]] = (),
        crowd_factor: float = 3.5,
        crowd_kinds: Iterable[Kind] | None = None,
        leaving: Iterable[float] = (),
        reclaimed: Iterable[tuple[float, int]] = (),
        domains: int = 1,
        demand: Callable[[float], Sequence[float]] | None = None,
        seed: int = 0,
    ) -> None:
        self._random = Random(seed)
        self.kinds = tuple(kinds)
        self._crowds = tuple(crowds)
        self._crowd_factor = crowd_factor
        self._crowd_kinds = self.kinds if crowd_kinds is None else tuple(crowd_kinds)
        self.domains = [FailureDomain(chr(ord("a") + number)) for number in range(domains)]
        self._demand = demand
        self._events: list[tuple[float, int, Callable[[float], None]]] = []
        self._order = 0
        self.requests: list[Request] = []
        self.engines = {
            InstanceId(f"i-{number}"): Engine(
                instance=InstanceId(f"i-{number}"),
                slots=slots,
                domain=self.domains[number % domains],
            )
            for number in range(engines)
        }
        profile = EngineProfile(
            slots=slots, kv_capacity_tokens=800_000, tokens_per_event=TOKENS_PER_EVENT
        )
        service = Service(name=ENGINES, max_connections=400, engine=profile)
        self._table = build_table(
            routes=tuple(kind.route for kind in self.kinds), services=(service,)
        )
        self.routers = []
        for number in range(hosts):
            draw = Random(f"{seed}/{number}").random
            domain = self.domains[number % domains]
            bounds = Bounds(cross_domain_cost_s_per_gb=120.0 if domains > 1 else None)
            router = Router(domain=domain, bounds=bounds, draw=draw)
            router.hosts = hosts
            router.retries.begin_slack(0.0, has_predecessor=False)
            router.update_routes(self._table)
            router.report_delay_s = 1.5 * REPORT_INTERVAL_S
            self.routers.append(router)
        self._update_upstreams(0.0)
        for at_s in leaving:
            self._at(at_s, self._leave)
        for at_s, kept in reclaimed:
            self._at(at_s, lambda now_s, kept=kept: self._reclaim(kept, now_s))

    def run(self, duration_s: float) -> None:
        """Send requests at random times to random hosts until the end of the time."""
        for kind in self.kinds:
            self._schedule_arrival(kind, 0.0, duration_s)
        for step in range(int((duration_s + 3.0) / REPORT_INTERVAL_S)):
            self._at(step * REPORT_INTERVAL_S, self._exchange_loads)
        while self._events:
            at_s, _, call = heapq.heappop(self._events)
            if at_s > duration_s + 3.0:
                break
            call(at_s)

    def count_without_answer(self, kind: Kind, from_s: float, until_s: float) -> tuple[int, int]:
        """Return the requests of a kind from a span of time, and those that got nothing."""
        sent = [
            each
            for each in self.requests
            if each.kind is kind and from_s <= each.job.arrived_s < until_s
        ]
        return len(sent), sum(each.completed_s is None for each in sent)

    def count_begun(
        self, kind: Kind, from_s: float, until_s: float, placed_from_s: float = 0.0
    ) -> int:
        """Return how many requests of a kind engines began to run in a span of time.

        Args:
            placed_from_s: Requests that hosts sent before this time are left out.
        """
        return sum(
            each.kind is kind
            and each.begun_s is not None
            and from_s <= each.begun_s < until_s
            and each.placed_s >= placed_from_s
            for each in self.requests
        )

    def list_sent(
        self, kind: Kind, from_s: float, until_s: float, domain: FailureDomain | None = None
    ) -> list[Request]:
        """Return the requests of a kind from a span of time, from one domain or from all."""
        hosts = {id(router) for router in self.routers}
        if domain is not None:
            first = self.domains.index(domain)
            hosts = {id(router) for router in self.routers[first :: len(self.domains)]}
        return [
            each
            for each in self.requests
            if each.kind is kind
            and from_s <= each.job.arrived_s < until_s
            and id(each.router) in hosts
        ]

    def _at(self, at_s: float, call: Callable[[float], None]) -> None:
        self._order += 1
        heapq.heappush(self._events, (at_s, self._order, call))

    def _schedule_arrival(self, kind: Kind, now_s: float, end_s: float) -> None:
        in_crowd = kind in self._crowd_kinds and any(
            from_s <= now_s < until_s for from_s, until_s in self._crowds
        )
        rate_per_s = kind.rate_per_s * (self._crowd_factor if in_crowd else 1.0)
        if self._demand is not None:
            rate_per_s *= sum(self._demand(now_s)) / len(self.domains)
        at_s = now_s + self._random.expovariate(rate_per_s)
        if at_s < end_s:
            self._at(at_s, lambda now_s: self._arrive(kind, now_s, end_s))

    def _arrive(self, kind: Kind, now_s: float, end_s: float) -> None:
        self._schedule_arrival(kind, now_s, end_s)
        self._send(kind, now_s, now_s + kind.route.timeout_s, returns=True)

    def _send(self, kind: Kind, now_s: float, deadline_s: float, *, returns: bool) -> None:
        number = len(self.requests)
        own = self._draw_own_tokens(kind)
        shared = PromptPartId(f"{kind.route.name}-{self._random.randrange(kind.shared_parts)}")
        prompt = Prompt(
            tokens=kind.shared_tokens + own,
            output_tokens=3 * kind.output_tokens,
            parts=(
                PromptPart(part=shared, tokens=kind.shared_tokens),
                PromptPart(part=PromptPartId(f"own-{number}"), tokens=own),
            ),
        )
        job = Job(
            attempt_id=AttemptId(f"r-{number}"),
            service=ENGINES,
            route=kind.route,
            urgency=kind.route.priority,
            arrived_s=now_s,
            deadline_s=deadline_s,
            prompt=prompt,
        )
        router = self._choose_router(now_s)
        request = Request(kind=kind, job=job, router=router, returns=returns)
        self.requests.append(request)
        router.count_request(job, now_s)
        self._at(now_s + kind.patience_s, lambda at_s: self._give_up(request, at_s))
        self._place(request, frozenset(), now_s)

    def _draw_own_tokens(self, kind: Kind) -> int:
        if kind.size_deviation is None:
            return max(int(kind.own_tokens * self._random.uniform(0.3, 1.7)), 1)
        mean = math.log(kind.own_tokens) - kind.size_deviation**2 / 2
        own = self._random.lognormvariate(mean, kind.size_deviation)
        return max(int(min(own, MAX_SIZE * kind.own_tokens)), 1)

    def _choose_router(self, now_s: float) -> Router:
        routers = self.routers
        if self._demand is not None:
            domains = range(len(self.domains))
            (domain,) = self._random.choices(domains, self._demand(now_s))
            routers = routers[domain :: len(self.domains)]
        return self._random.choice(routers)

    def _place(self, request: Request, tried: frozenset[InstanceId], now_s: float) -> None:
        if now_s > request.job.arrived_s + request.kind.patience_s:
            return
        placed = request.router.place(request.job, now_s, tried)
        match placed:
            case Waiting(delay_s=delay_s):
                self._at(now_s + delay_s, lambda at_s: self._place(request, tried, at_s))
            case Placement():
                request.crossing, request.expected_s = placed.crossing, placed.expected_s
                self._accept(request, placed.upstream.instance, tried, now_s)
            case Refused(retry_after_s=retry_after_s) if request.returns:
                left_s = request.job.deadline_s - now_s
                at_s = now_s + min(retry_after_s, left_s / 3, RETURN_LIMIT_S)
                self._at(
                    at_s,
                    lambda at_s: self._send(
                        request.kind, at_s, request.job.deadline_s, returns=False
                    ),
                )

    def _accept(
        self, request: Request, name: InstanceId, tried: frozenset[InstanceId], now_s: float
    ) -> None:
        engine = self.engines[name]
        if len(engine.waiting) >= QUEUE:
            request.router.record_end(request.job.attempt_id, name, AttemptEnd.FULL, now_s)
            if len(tried) < 2:
                self._place(request, tried | {name}, now_s)
            return
        request.engine, request.placed_s = engine, now_s
        engine.waiting.append(request)
        self._start_step(engine, now_s)

    def _start_step(self, engine: Engine, now_s: float) -> None:
        if engine.is_stepping:
            return
        engine.admit()
        if not engine.running:
            return
        budget = float(CHUNK_TOKENS)
        produced: list[Request] = []
        for request in engine.running:
            chunk = min(request.prefill_tokens, budget)
            budget -= chunk
            request.prefill_tokens -= chunk
            if request.prefill_tokens <= 0:
                produced.append(request)
        prefill_s = (CHUNK_TOKENS - budget) / TOKENS_PER_S
        step_s = STEP_S + STEP_PER_REQUEST_S * len(engine.running) + prefill_s
        engine.is_stepping = True
        self._at(now_s + step_s, lambda at_s: self._end_step(engine, produced, at_s))

    def _end_step(self, engine: Engine, produced: list[Request], now_s: float) -> None:
        engine.is_stepping = False
        for request in produced:
            if request not in engine.running:
                continue
            attempt, instance = request.job.attempt_id, engine.instance
            if request.begun_s is None:
                request.begun_s = now_s
            request.output_tokens += 1
            if request.output_tokens % TOKENS_PER_EVENT == 1:
                request.router.record_data(attempt, instance, now_s)
            if request.output_tokens >= request.kind.output_tokens:
                request.completed_s = now_s
                engine.running.remove(request)
                request.router.record_end(attempt, instance, AttemptEnd.ANSWERED, now_s)
        self._start_step(engine, now_s)

    def _give_up(self, request: Request, now_s: float) -> None:
        if request.begun_s is not None or request.engine is None:
            return
        request.engine.remove(request)
        request.router.record_end(
            request.job.attempt_id, request.engine.instance, AttemptEnd.CANCELLED, now_s
        )

    def _leave(self, now_s: float) -> None:
        staying = [each for each in self.engines.values() if not each.leaving]
        self._random.choice(staying).leaving = True
        self._at(now_s + NOTICE_DELAY_S, self._update_upstreams)

    def _reclaim(self, kept: int, now_s: float) -> None:
        own = [each for each in self.engines.values() if each.domain == self.domains[0]]
        for engine in own[kept:]:
            engine.leaving = True
        self._at(now_s + NOTICE_DELAY_S, self._update_upstreams)

    def _update_upstreams(self, now_s: float) -> None:
        records = [
            build_upstream(
                number,
                slots=engine.slots,
                failure_domain=engine.domain,
                availability=Availability.LEAVING if engine.leaving else Availability.READY,
            )
            for number, engine in enumerate(self.engines.values())
        ]
        for router in self.routers:
            router.update_upstreams(records, now_s)

    def _exchange_loads(self, now_s: float) -> None:
        self._at(now_s + REPORT_INTERVAL_S, take_load_reports(self.routers, now_s))

"""Builders of routes, upstreams, prompts, jobs and routers for tests."""

from typing import Any

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
    Workspace,
)
from greengagestage.ids import (
    AttemptId,
    ConfigurationVersion,
    FailureDomain,
    InstanceId,
    PromptPartId,
    RouteName,
    ServiceName,
    WorkspaceId,
)
from greengagestage.routing import Job, Router

ENGINES = ServiceName("engines")
ARCHIVE = ServiceName("archive")
HOST = "shop.example"


def build_route(**fields: Any) -> Route:
    defaults: dict[str, Any] = {
        "name": RouteName("short"),
        "host": HOST,
        "prefix": "/short/",
        "kind": RouteKind.STREAM,
        "destinations": (Destination(service=ENGINES, weight=1.0),),
        "timeout_s": 12.0,
        "target_s": 0.25,
        "gap_target_s": 0.2,
        "max_attempts": 2,
        "resumable": True,
        "carries_prompt": True,
    }
    return Route(**{**defaults, **fields})


SHORT = build_route()
LONG = build_route(
    name=RouteName("long"),
    prefix="/long/",
    target_s=1.5,
    gap_target_s=0.8,
    priority=2,
    max_attempts=1,
    resumable=False,
)
LOOKUP = build_route(
    name=RouteName("lookup"),
    prefix="/lookup/",
    kind=RouteKind.IDEMPOTENT,
    destinations=(Destination(service=ARCHIVE, weight=1.0),),
    timeout_s=0.8,
    target_s=0.2,
    gap_target_s=None,
    resumable=False,
    carries_prompt=False,
)
ORDER = build_route(
    name=RouteName("order"),
    prefix="/order/",
    kind=RouteKind.NON_IDEMPOTENT,
    destinations=(Destination(service=ARCHIVE, weight=1.0),),
    timeout_s=0.8,
    target_s=0.2,
    gap_target_s=None,
    max_attempts=1,
    resumable=False,
    carries_prompt=False,
)


def build_table(**fields: Any) -> RouteTable:
    engine = EngineProfile(slots=64, kv_capacity_tokens=600_000, tokens_per_event=6)
    defaults: dict[str, Any] = {
        "version": ConfigurationVersion(1),
        "routes": (SHORT, LONG, LOOKUP, ORDER),
        "services": (
            Service(name=ENGINES, max_connections=370, engine=engine),
            Service(name=ARCHIVE, max_connections=110),
        ),
        "workspaces": {"key-1": Workspace(name=WorkspaceId("gyor"))},
        "limits": ConnectionLimits(),
    }
    return RouteTable(**{**defaults, **fields})


def build_upstream(number: int, **fields: Any) -> RegisteredUpstream:
    defaults: dict[str, Any] = {
        "instance": InstanceId(f"i-{number}"),
        "service": ENGINES,
        "address": "127.0.0.1",
        "port": 9_000 + number,
        "failure_domain": FailureDomain("a"),
        "slots": 64,
        "availability": Availability.READY,
        "started_ms": 1_000,
    }
    return RegisteredUpstream(**{**defaults, **fields})


def build_prompt(*, shared: str = "s1", tokens: int = 12_000, shared_tokens: int = 5_000) -> Prompt:
    return Prompt(
        tokens=tokens,
        output_tokens=1_000,
        parts=(
            PromptPart(part=PromptPartId(shared), tokens=shared_tokens),
            PromptPart(part=PromptPartId("own"), tokens=tokens - shared_tokens),
        ),
    )


def build_short_prompt(shared: str = "s1") -> Prompt:
    return build_prompt(shared=shared, tokens=800, shared_tokens=200)


def build_job(number: int, *, route: Route = SHORT, now_s: float = 0.0, **fields: Any) -> Job:
    prompt = None
    if route.carries_prompt:
        prompt = build_prompt() if route is LONG else build_short_prompt()
    defaults: dict[str, Any] = {
        "attempt_id": AttemptId(f"r-{number}"),
        "service": route.destinations[0].service,
        "route": route,
        "urgency": route.priority,
        "arrived_s": now_s,
        "deadline_s": now_s + route.timeout_s,
        "prompt": prompt,
    }
    return Job(**{**defaults, **fields})


def build_router(
    *, engines: int = 6, plain: int = 0, bounds: Bounds | None = None, seed: int = 0
) -> Router:
    """Return a router for 8 hosts.

    Args:
        engines: Number of model engines, ``i-0`` and up.
        plain: Number of upstreams of the plain service, ``i-100`` and up.
        seed: Selects the sequence of random numbers.
    """
    numbers = _RandomNumbers(seed)
    router = Router(domain=FailureDomain("a"), bounds=bounds or Bounds(), draw=numbers.draw)
    router.hosts = 8
    router.retries.begin_slack(0.0, has_predecessor=False)
    router.update_routes(build_table())
    upstreams = [build_upstream(number) for number in range(engines)]
    upstreams += [build_upstream(100 + number, service=ARCHIVE, slots=6) for number in range(plain)]
    router.update_upstreams(upstreams, 0.0)
    return router


class _RandomNumbers:
    """A fixed sequence of numbers spread evenly over 0 to 1, with a different start per seed."""

    def __init__(self, seed: int) -> None:
        self._value = (0.5 + seed * 0.754878) % 1.0

    def draw(self) -> float:
        self._value = (self._value + 0.618034) % 1.0
        return self._value

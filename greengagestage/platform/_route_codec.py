"""Decoding of the operator's configuration document."""

from typing import Annotated, Any

import msgspec
from msgspec import Meta, Struct, field
from returns.result import Result

from greengagestage.catalog import (
    ConnectionLimits,
    Destination,
    EngineProfile,
    Route,
    RouteKind,
    RouteTable,
    Scaling,
    Service,
    Workspace,
)
from greengagestage.decoding import convert_json
from greengagestage.ids import (
    ConfigurationVersion,
    FailureDomain,
    RouteName,
    ServiceName,
    WorkspaceId,
)

from ._host_settings import MS_PER_S

_KINDS = {
    "idempotent": RouteKind.IDEMPOTENT,
    "non_idempotent": RouteKind.NON_IDEMPOTENT,
    "streaming": RouteKind.STREAM,
}

_Positive = Annotated[float, Meta(gt=0)]


class _TrafficShare(Struct):
    """A service and its weight in a route's traffic split."""

    service: str = field(name="Service")
    weight: Annotated[float, Meta(ge=0)] = field(name="Weight")


class _Route(Struct):
    """A route of the document.

    Attributes:
        target_latency_ms: Target for the time to the response, or to a stream's first event.
        target_gap_ms: Target for the time between a stream's events.
        carries_prompt: Set on routes whose requests state their prompt's parts. Despite the
            platform's name ``StickySessions``, no session state is kept.
    """

    name: str = field(name="Name")
    host: str = field(name="Host")
    prefix: str = field(name="Prefix")
    kind: str = field(name="Kind")
    timeout_ms: _Positive = field(name="TimeoutMs")
    target_latency_ms: float | None = field(name="TargetLatencyMs", default=None)
    target_gap_ms: float | None = field(name="TargetGapMs", default=None)
    priority: int = field(name="Priority", default=0)
    service: str | None = field(name="Service", default=None)
    traffic_split: list[_TrafficShare] | None = field(name="TrafficSplit", default=None)
    max_attempts: int = field(name="MaxAttempts", default=1)
    public: bool = field(name="Public", default=False)
    carries_prompt: bool = field(name="StickySessions", default=False)
    resumable: bool = field(name="Resumable", default=False)


class _Engine(Struct):
    """Properties of a service's model engines.

    Attributes:
        tokens_per_event: Tokens in one event of a stream, ``Stride`` on the platform.
    """

    slots: int = field(name="Slots")
    kv_capacity_tokens: int = field(name="KvCapacityTokens")
    tokens_per_event: int = field(name="Stride", default=1)


class _Scaling(Struct):
    """Limits and prices of the servers that can be ordered for a service."""

    min_servers: Annotated[int, Meta(ge=0)] = field(name="Min")
    max_servers: Annotated[int, Meta(ge=0)] = field(name="Max")
    boot_time_s: Annotated[float, Meta(ge=0)] = field(name="BootTimeS", default=0.0)
    spot_price: Annotated[float, Meta(ge=0)] | None = field(name="SpotPrice", default=None)
    zone_prices: dict[str, Annotated[float, Meta(ge=0)]] = field(
        name="ZonePrices", default_factory=dict
    )


class _Service(Struct):
    """A service.

    Attributes:
        scaling: Decoded on its own, since a fault in it must not reject the configuration.
    """

    name: str = field(name="Name")
    max_connections: int = field(name="MaxConnections", default=64)
    engine: _Engine | None = field(name="Engine", default=None)
    scaling: dict[str, Any] | None = field(name="Scaling", default=None)


_LIMITS = ConnectionLimits()


class _Limits(Struct):
    max_header_bytes: int = field(name="MaxHeaderBytes", default=_LIMITS.header_bytes)
    max_body_bytes: int = field(name="MaxBodyBytes", default=_LIMITS.body_bytes)
    header_timeout_ms: _Positive = field(name="HeaderTimeoutMs", default=3_000.0)
    idle_timeout_ms: _Positive = field(name="IdleTimeoutMs", default=15_000.0)


class _Workspace(Struct):
    """A workspace, ``Tenant`` on the platform, and the API keys of its callers."""

    name: str = field(name="Name")
    api_keys: list[str] = field(name="ApiKeys", default_factory=list)
    priority: int | None = field(name="Priority", default=None)


class _Document(Struct):
    version: int = field(name="Version")
    routes: list[_Route] = field(name="Routes")
    services: list[_Service] = field(name="Services")
    limits: _Limits = field(name="Limits", default_factory=_Limits)
    workspaces: list[_Workspace] | None = field(name="Tenants", default=None)


def decode_route_table(data: bytes) -> Result[RouteTable, str]:
    """Decode a configuration document; a failure says why all of it is rejected."""
    return convert_json(data, _Document, _build_table)


def _build_table(document: _Document) -> RouteTable:
    return RouteTable(
        version=ConfigurationVersion(document.version),
        routes=[_build_route(route) for route in document.routes],
        services=[_build_service(service) for service in document.services],
        workspaces=_index_workspaces(document.workspaces),
        limits=_build_limits(document.limits),
    )


def _build_route(route: _Route) -> Route:
    kind = _KINDS.get(route.kind)
    if kind is None:
        raise ValueError(f"route {route.name} has the unknown kind {route.kind!r}")
    return Route(
        name=RouteName(route.name),
        host=route.host,
        prefix=route.prefix,
        kind=kind,
        destinations=_build_destinations(route),
        timeout_s=route.timeout_ms / MS_PER_S,
        target_s=(route.target_latency_ms or route.timeout_ms) / MS_PER_S,
        gap_target_s=None if route.target_gap_ms is None else route.target_gap_ms / MS_PER_S,
        priority=route.priority,
        max_attempts=max(route.max_attempts, 1),
        public=route.public,
        resumable=route.resumable,
        carries_prompt=route.carries_prompt,
    )


def _build_destinations(route: _Route) -> tuple[Destination, ...]:
    if route.traffic_split:
        return tuple(
            Destination(service=ServiceName(part.service), weight=part.weight)
            for part in route.traffic_split
        )
    if route.service is None:
        raise ValueError(f"route {route.name} names no service")
    return (Destination(service=ServiceName(route.service), weight=1.0),)


def _build_service(service: _Service) -> Service:
    engine = service.engine
    return Service(
        name=ServiceName(service.name),
        max_connections=service.max_connections,
        engine=(
            None
            if engine is None
            else EngineProfile(
                slots=engine.slots,
                kv_capacity_tokens=engine.kv_capacity_tokens,
                tokens_per_event=engine.tokens_per_event,
            )
        ),
        scaling=None if service.scaling is None else _read_scaling(service.scaling),
    )


def _read_scaling(section: dict[str, Any]) -> Scaling | None:
    """Return the limits and prices; None if they are unreadable or contradict each other."""
    try:
        scaling = msgspec.convert(section, _Scaling)
    except msgspec.ValidationError:
        return None
    if scaling.min_servers > scaling.max_servers:
        return None
    return Scaling(
        min_servers=scaling.min_servers,
        max_servers=scaling.max_servers,
        boot_time_s=scaling.boot_time_s,
        spot_price=scaling.spot_price,
        domain_prices={FailureDomain(zone): price for zone, price in scaling.zone_prices.items()},
    )


def _build_limits(limits: _Limits) -> ConnectionLimits:
    return ConnectionLimits(
        header_bytes=limits.max_header_bytes,
        body_bytes=limits.max_body_bytes,
        header_timeout_s=limits.header_timeout_ms / MS_PER_S,
        idle_timeout_s=limits.idle_timeout_ms / MS_PER_S,
    )


def _index_workspaces(workspaces: list[_Workspace] | None) -> dict[str, Workspace] | None:
    if workspaces is None:
        return None
    return {
        key: Workspace(name=WorkspaceId(workspace.name), priority=workspace.priority)
        for workspace in workspaces
        for key in workspace.api_keys
    }

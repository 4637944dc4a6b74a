"""Routes, services and workspaces of one configuration version."""

from bisect import bisect_left
from collections import Counter
from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from enum import Enum

from greengagestage.ids import ConfigurationVersion, RouteName, ServiceName, WorkspaceId

URGENCY_RANKS = 10
"""Ranks that upstreams tell apart."""


class RouteKind(Enum):
    """What a route's requests are, which decides what may be repeated."""

    IDEMPOTENT = "idempotent"
    NON_IDEMPOTENT = "non_idempotent"
    STREAM = "stream"


@dataclass(frozen=True, slots=True, kw_only=True)
class Destination:
    """A service that takes a share of a route's requests."""

    service: ServiceName
    weight: float


@dataclass(frozen=True, slots=True, kw_only=True)
class Route:
    """Requests of one host and path prefix.

    Attributes:
        prefix: Begins and ends with a slash.
        timeout_s: The longest time that a request is kept waiting.
        target_s: Time to the answer, or to the first event of a stream, for full value.
        gap_target_s: Longest pause between the events of a stream for full value.
        priority: 0 is the most urgent.
        max_attempts: Upstreams that may run one request.
        public: Requests need no key.
        resumable: A stream may go on at another upstream after its last event.
        carries_prompt: Requests name the parts of their prompt.
    """

    name: RouteName
    host: str
    prefix: str
    kind: RouteKind
    destinations: tuple[Destination, ...]
    timeout_s: float
    target_s: float
    gap_target_s: float | None = None
    priority: int = 0
    max_attempts: int = 1
    public: bool = False
    resumable: bool = False
    carries_prompt: bool = False

    @property
    def is_retryable(self) -> bool:
        """Whether a request may run again after it may have run."""
        return self.kind is RouteKind.IDEMPOTENT or self.resumable

    def pick_service(self, point: float) -> ServiceName:
        """Return the destination at a point from 0 up to 1 of the weights' sum."""
        remaining = point * sum(destination.weight for destination in self.destinations)
        for destination in self.destinations:
            remaining -= destination.weight
            if remaining < 0:
                return destination.service
        return self.destinations[-1].service


@dataclass(frozen=True, slots=True, kw_only=True)
class EngineProfile:
    """What all model engines of a service have in common.

    Attributes:
        slots: Requests that run at once.
        kv_capacity_tokens: Memory shared by running requests and cached prompt parts.
        tokens_per_event: Tokens in one event of a stream.
    """

    slots: int
    kv_capacity_tokens: int
    tokens_per_event: int = 1


@dataclass(frozen=True, slots=True, kw_only=True)
class Service:
    """Upstreams that answer the same requests.

    Attributes:
        max_connections: Connections that one upstream accepts from all hosts together.
        engine: None for a plain service.
    """

    name: ServiceName
    max_connections: int
    engine: EngineProfile | None = None


@dataclass(frozen=True, slots=True, kw_only=True)
class Workspace:
    """A workspace; its priority, where set, goes before the route's."""

    name: WorkspaceId
    priority: int | None = None


@dataclass(frozen=True, slots=True, kw_only=True)
class ConnectionLimits:
    """Bounds of what a caller may send and how long it may take."""

    header_bytes: int = 16_384
    body_bytes: int = 4_194_304
    header_timeout_s: float = 3.0
    idle_timeout_s: float = 15.0


class RouteTable:
    """One configuration version, indexed for look-ups.

    Args:
        workspaces: The workspaces by key; None where requests need no key.
    """

    def __init__(
        self,
        *,
        version: ConfigurationVersion,
        routes: Iterable[Route],
        services: Iterable[Service],
        workspaces: Mapping[str, Workspace] | None,
        limits: ConnectionLimits,
    ) -> None:
        self.version = version
        self.routes = tuple(routes)
        self.services = {service.name: service for service in services}
        self.workspaces = workspaces
        self.limits = limits
        self._index: dict[str, dict[str, Route]] = {}
        workspaces_by_priority = {
            _get_priority(workspace) for workspace in (workspaces or {}).values()
        } | {_get_priority(None)}
        self._urgencies = sorted(
            {(first, route.priority) for first in workspaces_by_priority for route in self.routes}
        )
        for route in self.routes:
            self._index.setdefault(route.host.lower(), {})[route.prefix] = route

    def __repr__(self) -> str:
        return f"RouteTable(version={self.version}, routes={len(self.routes)})"

    def rank_urgency(self, route: Route, workspace: Workspace | None) -> int:
        """Return a request's rank among all kinds of requests, 0 for the most urgent.

        The workspace's priority goes first, the route's decides among equal workspaces. More kinds
        than ranks share the ranks evenly.
        """
        pair = (_get_priority(workspace), route.priority)
        position = bisect_left(self._urgencies, pair)
        return position * URGENCY_RANKS // max(len(self._urgencies), URGENCY_RANKS)

    def count_priorities(self) -> dict[str, int]:
        """Return how many workspaces have each priority, for the log."""
        workspaces = {workspace.name: workspace for workspace in (self.workspaces or {}).values()}
        return dict(Counter(str(workspace.priority) for workspace in workspaces.values()))

    def find_route(self, host: str, path: str) -> Route | None:
        """Return the route with the longest prefix of a path, given without its query."""
        prefixes = self._index.get(host.lower())
        if prefixes is None:
            return None
        end = len(path)
        while (end := path.rfind("/", 0, end)) >= 0:
            route = prefixes.get(path[: end + 1])
            if route is not None:
                return route
        return None


def _get_priority(workspace: Workspace | None) -> int:
    """Return a workspace's priority; one without any is as urgent as the first."""
    return 0 if workspace is None or workspace.priority is None else workspace.priority

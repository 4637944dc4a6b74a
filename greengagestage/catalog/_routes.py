"""The routes, services and workspaces of one configuration version."""

from bisect import bisect_left
from collections import Counter
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from enum import Enum

from greengagestage.ids import (
    ConfigurationVersion,
    FailureDomain,
    RouteName,
    ServiceName,
    WorkspaceId,
)

URGENCY_RANKS = 10
"""Number of urgency ranks that upstreams distinguish."""


class RouteKind(Enum):
    """The kind of a route's requests, which decides whether they may be retried."""

    IDEMPOTENT = "idempotent"
    NON_IDEMPOTENT = "non_idempotent"
    STREAM = "stream"


@dataclass(frozen=True, slots=True, kw_only=True)
class Destination:
    """A service that gets a share of a route's requests, in proportion to its weight."""

    service: ServiceName
    weight: float


@dataclass(frozen=True, slots=True, kw_only=True)
class Route:
    """How requests for one host name and path prefix are served.

    Attributes:
        host: Host name in the request.
        prefix: Path prefix, which begins and ends with a slash.
        timeout_s: Longest time from a request's arrival to its final answer or refusal. A caller
            can ask for a shorter time, but not for a longer one.
        target_s: Target time to the answer, or to the first event of a stream. Answers that miss
            a target are worth less.
        gap_target_s: Target for the longest gap between the events of a stream.
        priority: 0 is the most urgent. It orders requests of workspaces with equal priority.
        max_attempts: Maximum number of attempts that may have run one request. Attempts that
            provably did not run it are not counted.
        public: Requests need no key.
        resumable: A stream can continue at another upstream after its last event.
        carries_prompt: Requests describe the parts of their prompt.
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
        """Whether a request that may already have run can safely be sent again."""
        return self.kind is RouteKind.IDEMPOTENT or self.resumable

    def pick_service(self, point: float) -> ServiceName:
        """Return the destination whose weight covers a point.

        Args:
            point: From 0 up to 1, as a fraction of the sum of all weights.
        """
        remaining = point * sum(destination.weight for destination in self.destinations)
        for destination in self.destinations:
            remaining -= destination.weight
            if remaining < 0:
                return destination.service
        return self.destinations[-1].service


@dataclass(frozen=True, slots=True, kw_only=True)
class EngineProfile:
    """The properties of all model engines of a service.

    Attributes:
        slots: Number of requests that an engine runs at once.
        kv_capacity_tokens: KV-cache size, shared by running requests and cached prompt parts.
        tokens_per_event: Number of tokens in one event of a stream.
    """

    slots: int
    kv_capacity_tokens: int
    tokens_per_event: int = 1


@dataclass(frozen=True, slots=True, kw_only=True)
class Scaling:
    """Limits and prices of the servers that can be ordered for a service.

    Attributes:
        min_servers: Least number of servers in each failure domain, of both kinds together.
        max_servers: Largest number of servers in each failure domain, of both kinds together.
        boot_time_s: Time from an order until a new server serves.
        spot_price: Price of a spot server, as a share of the on-demand price in its domain; None
            if there are no spot servers.
        domain_prices: Price of an on-demand server per second, by failure domain.
    """

    min_servers: int
    max_servers: int
    boot_time_s: float
    spot_price: float | None = None
    domain_prices: Mapping[FailureDomain, float] = field(default_factory=dict)


@dataclass(frozen=True, slots=True, kw_only=True)
class Service:
    """A set of upstreams that can answer the same requests.

    Attributes:
        max_connections: Connections that one upstream accepts from all hosts together.
        engine: Properties of its model engines; None for a plain service without engines.
        scaling: Servers that can be ordered for it; None if its size is fixed.
    """

    name: ServiceName
    max_connections: int
    engine: EngineProfile | None = None
    scaling: Scaling | None = None


@dataclass(frozen=True, slots=True, kw_only=True)
class Workspace:
    """A workspace.

    Attributes:
        priority: 0 is the most urgent; None, which counts as 0, if it is not set. Requests are
            ordered by this priority first, and by the route's priority where it is equal.
    """

    name: WorkspaceId
    priority: int | None = None


@dataclass(frozen=True, slots=True, kw_only=True)
class ConnectionLimits:
    """Limits on the size and the timing of callers' requests.

    Attributes:
        header_bytes: Maximum size of the header.
        body_bytes: Maximum size of the body.
        header_timeout_s: Longest time for receiving a header.
        idle_timeout_s: Longest pause between requests or between the parts of a body.
    """

    header_bytes: int = 16_384
    body_bytes: int = 4_194_304
    header_timeout_s: float = 3.0
    idle_timeout_s: float = 15.0


class RouteTable:
    """One configuration version, indexed for look-ups.

    Args:
        workspaces: Workspaces by API key; None if requests need no key.
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
        workspace_priorities = {
            _get_priority(workspace) for workspace in (workspaces or {}).values()
        } | {_get_priority(None)}
        self._priority_pairs = sorted(
            {
                (priority, route.priority)
                for priority in workspace_priorities
                for route in self.routes
            }
        )
        for route in self.routes:
            self._index.setdefault(route.host.lower(), {})[route.prefix] = route

    def __repr__(self) -> str:
        return f"RouteTable(version={self.version}, routes={len(self.routes)})"

    def rank_urgency(self, route: Route, workspace: Workspace | None) -> int:
        """Return a request's urgency rank; 0 is the most urgent.

        Requests are ordered by the workspace's priority, then by the route's. If there are more
        pairs of priorities than ranks, they are spread evenly over the ranks.
        """
        pair = (_get_priority(workspace), route.priority)
        position = bisect_left(self._priority_pairs, pair)
        return position * URGENCY_RANKS // max(len(self._priority_pairs), URGENCY_RANKS)

    def count_priorities(self) -> dict[str, int]:
        """Return the number of workspaces per priority, for the log."""
        workspaces = {workspace.name: workspace for workspace in (self.workspaces or {}).values()}
        return dict(Counter(str(workspace.priority) for workspace in workspaces.values()))

    def find_route(self, host: str, path: str) -> Route | None:
        """Return the route with the longest prefix that matches a path without its query."""
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
    """Return a workspace's priority, or 0, the most urgent one, if it has none."""
    return 0 if workspace is None or workspace.priority is None else workspace.priority

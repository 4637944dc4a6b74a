"""The types of a declaration. Field names of durations end with their unit."""

from enum import Enum

from msgspec import Struct

from greengagestage.ids import (
    ClassName,
    FailureDomain,
    ModelName,
    OperatorName,
    ServiceName,
    UpstreamName,
    WorkspaceId,
)


class LateAnswer(Enum):
    """Whether an answer is worth delivering after its target has passed."""

    USEFUL = "useful"
    USELESS = "useless"


class UpstreamKind(Enum):
    """What an upstream serves."""

    ENGINE = "engine"
    SERVICE = "service"


class EngineRole(Enum):
    """The phases of a model request that an engine runs."""

    MIXED = "mixed"
    PREFILL = "prefill"
    DECODE = "decode"


class FencingMode(Enum):
    """Whether an upstream checks the fencing number of an order and refuses an outdated one."""

    CHECKED = "checked"
    IGNORED = "ignored"


class ServiceClass(Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """A service class. Priority 0 is the highest; each class has a priority of its own.

    Attributes:
        minimum_share: Fraction of a pool's slots that the class receives even when classes of
            higher priority could fill them all.
        queue_limit: Number of requests of the class that may wait for one pool on one host. Beyond
            it, a request may take the place of a waiting one of a lower class.
        retry_ratio: Retries that each new request adds to the retry budget of its class.
    """

    name: ClassName
    priority: int
    first_token_target_ms: int
    inter_token_target_ms: int
    answer_target_ms: int
    late_answer: LateAnswer = LateAnswer.USEFUL
    minimum_share: float = 0.05
    queue_limit: int = 256
    retry_ratio: float = 0.2


class WorkspaceKey(Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """A caller's credential, stored as the hexadecimal SHA-256 digest of the key."""

    sha256: str


class Workspace(Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """A workspace and its limits, which apply to the whole fleet and not to each host.

    Attributes:
        weight: Share of the workspace in a class's queue, relative to other workspaces' weights.
        requests_per_s: Admitted requests a second, on average.
        burst: Capacity of the token bucket of this rate: requests admitted at once after a pause.
        concurrency: Requests that may be open at the same time.
    """

    name: WorkspaceId
    keys: tuple[WorkspaceKey, ...]
    default_class: ClassName
    weight: float = 1.0
    requests_per_s: float = 50.0
    burst: int = 100
    concurrency: int = 200


class Model(Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """A model that callers may request."""

    name: ModelName
    version: str = "1"
    adapters: tuple[str, ...] = ()
    context_tokens: int = 32768


class Upstream(Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """A model engine or one host of a plain service.

    ``url`` consists of a scheme, an IP address and a port. ``slots`` is the number of requests
    that the upstream runs concurrently.
    """

    name: UpstreamName
    kind: UpstreamKind
    url: str
    failure_domain: FailureDomain
    slots: int
    models: tuple[ModelName, ...] = ()
    service: ServiceName | None = None
    role: EngineRole = EngineRole.MIXED
    fencing: FencingMode = FencingMode.IGNORED
    draining: bool = False


class PlainService(Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """A plain service and its idempotent HTTP methods, whose requests may be retried."""

    name: ServiceName
    idempotent_methods: tuple[str, ...] = ("GET", "HEAD")


class Operator(Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """An operator and the hexadecimal SHA-256 digest of the operator's key."""

    name: OperatorName
    sha256: str


class Declaration(Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """Everything that operators declare. It is checked and versioned as a unit.

    Attributes:
        quarantined: Fingerprints of requests that are refused, because they crash upstreams.
    """

    classes: tuple[ServiceClass, ...]
    workspaces: tuple[Workspace, ...]
    models: tuple[Model, ...] = ()
    upstreams: tuple[Upstream, ...] = ()
    services: tuple[PlainService, ...] = ()
    operators: tuple[Operator, ...] = ()
    quarantined: tuple[str, ...] = ()

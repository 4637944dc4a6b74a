"""The settings of an entry process."""

from dataclasses import dataclass, field

from greengagestage.ids import FailureDomain, HostId
from greengagestage.upstream import PoolLimits

from ._http import ServerLimits


@dataclass(frozen=True, slots=True, kw_only=True)
class DeliveryLimits:
    """Bounds of answers on their way to callers.

    Attributes:
        service_buffer_bytes: Answers of plain services up to this size are kept until whole.
        collected_answer_bytes: Largest completion that is sent as one body.
        kept_answer_bytes: Largest answer of a non-idempotent request that is stored.
        caller_stall_s: How long a caller may leave its answer unread before it is cut off.
        store_wait_s: How long the end of a non-idempotent answer waits for the store.
    """

    service_buffer_bytes: int = 262_144
    collected_answer_bytes: int = 16_777_216
    kept_answer_bytes: int = 2_097_152
    caller_stall_s: float = 30.0
    store_wait_s: float = 2.0


@dataclass(frozen=True, slots=True, kw_only=True)
class ClaimSettings:
    """How non-idempotent requests use the platform's table.

    Attributes:
        fleet_writes_per_s: Transactions a second of all entry hosts together.
        retention_s: Age after which a claim that has ended is removed.
        platform_timeout_s: Time that a call of the platform may take.
    """

    fleet_writes_per_s: float = 200.0
    retention_s: float = 604_800.0
    platform_timeout_s: float = 1.0


@dataclass(frozen=True, slots=True, kw_only=True)
class LifecycleTimes:
    """Times of readiness and of a planned stop.

    Attributes:
        agent_grace_s: How long the host serves without hearing from its agent.
        drain_notice_s: How long new requests are accepted after readiness has failed.
    """

    agent_grace_s: float = 60.0
    drain_notice_s: float = 5.0


@dataclass(frozen=True, slots=True, kw_only=True)
class EntrySettings:
    """Everything that an entry process is told when it starts."""

    host: HostId
    failure_domain: FailureDomain
    listen: str
    agent: str
    platform: str
    fleet_key: str
    second_fleet_key: str | None = None
    seed: int = 0
    workspace_labels: int = 50
    server: ServerLimits = field(default_factory=ServerLimits)
    pool: PoolLimits = field(default_factory=PoolLimits)
    delivery: DeliveryLimits = field(default_factory=DeliveryLimits)
    claims: ClaimSettings = field(default_factory=ClaimSettings)
    lifecycle: LifecycleTimes = field(default_factory=LifecycleTimes)

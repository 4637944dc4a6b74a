"""The settings of an entry process."""

from dataclasses import dataclass, field

from greengagestage.ids import FailureDomain, HostId
from greengagestage.upstream import PoolLimits

from ._http import ServerLimits


@dataclass(frozen=True, slots=True, kw_only=True)
class DeliveryLimits:
    """Limits on the delivery of answers to callers.

    Attributes:
        service_buffer_bytes: Answers of plain services up to this size are buffered until complete.
        collected_answer_bytes: Largest completion that is returned as a single JSON body.
        kept_answer_bytes: Largest answer of a non-idempotent request that is stored.
        caller_stall_s: How long a caller may stop reading before its connection is closed.
        store_wait_s: How long the end of a non-idempotent answer, or the refusal after a possible
            run, is delayed until the outcome is stored.
    """

    service_buffer_bytes: int = 262_144
    collected_answer_bytes: int = 16_777_216
    kept_answer_bytes: int = 2_097_152
    caller_stall_s: float = 30.0
    store_wait_s: float = 2.0


@dataclass(frozen=True, slots=True, kw_only=True)
class ClaimSettings:
    """Settings for the claims of non-idempotent requests in the platform's table.

    Attributes:
        fleet_writes_per_s: Limit on transactions per second, for all entry hosts together.
        retention_s: Age at which a finished claim is removed.
        platform_timeout_s: Timeout of a call to the platform.
    """

    fleet_writes_per_s: float = 200.0
    retention_s: float = 604_800.0
    platform_timeout_s: float = 1.0


@dataclass(frozen=True, slots=True, kw_only=True)
class LifecycleTimes:
    """Time limits for readiness and graceful shutdown.

    Attributes:
        agent_grace_s: How long the host stays ready without a message from its agent.
        drain_notice_s: How long new requests are still accepted after a stop made readiness fail.
    """

    agent_grace_s: float = 60.0
    drain_notice_s: float = 5.0


@dataclass(frozen=True, slots=True, kw_only=True)
class EntrySettings:
    """All settings of an entry process, fixed at its start.

    Attributes:
        memory_mb: The memory of the machine for the process, MiB.
    """

    host: HostId
    failure_domain: FailureDomain
    listen: str
    agent: str
    platform: str
    fleet_key: str
    second_fleet_key: str | None = None
    seed: int = 0
    workspace_labels: int = 50
    memory_mb: int = 1_024
    server: ServerLimits = field(default_factory=ServerLimits)
    pool: PoolLimits = field(default_factory=PoolLimits)
    delivery: DeliveryLimits = field(default_factory=DeliveryLimits)
    claims: ClaimSettings = field(default_factory=ClaimSettings)
    lifecycle: LifecycleTimes = field(default_factory=LifecycleTimes)

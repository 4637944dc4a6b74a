"""What the policy is told. Times are seconds on the host's monotonic clock."""

from collections.abc import Mapping
from dataclasses import dataclass
from enum import Enum

from greengagestage.configuration import Declaration
from greengagestage.ids import (
    AttemptId,
    ClassName,
    Fingerprint,
    IdempotencyKey,
    PoolName,
    RequestId,
    UpstreamName,
    WorkspaceId,
)


class ClaimOutcome(Enum):
    """What the claims store said about the right to run a non-idempotent request."""

    GRANTED = "granted"
    ANSWERED = "answered"
    RUNNING = "running"
    RUN_UNKNOWN = "run_unknown"
    KEY_REUSED = "key_reused"
    UNAVAILABLE = "unavailable"
    OVER_BUDGET = "over_budget"


class FailureKind(Enum):
    """How an attempt failed. Only the first two are evidence that nothing ran."""

    NOT_SENT = "not_sent"
    REFUSED = "refused"
    LOST = "lost"
    SILENT = "silent"
    INCOMPLETE = "incomplete"
    ERROR = "error"


class UpstreamState(Enum):
    """Where an upstream stands in its life."""

    LIVE = "live"
    LEAVING = "leaving"
    GONE = "gone"


@dataclass(frozen=True, slots=True, kw_only=True)
class Request:
    """What the policy knows of a request.

    Attributes:
        prompt_tokens: Estimate of the prompt's length.
        output_tokens_limit: The caller's limit, if it gave one.
        prefix_hashes: Hashes of growing prefixes of the prompt, shortest first.
        deadline_s: Monotonic time after which the caller does not want the answer.
    """

    request_id: RequestId
    workspace: WorkspaceId
    service_class: ClassName
    pool: PoolName
    fingerprint: Fingerprint
    prompt_tokens: int = 0
    output_tokens_limit: int | None = None
    idempotent: bool = True
    idempotency_key: IdempotencyKey | None = None
    prefix_hashes: tuple[int, ...] = ()
    deadline_s: float | None = None


@dataclass(frozen=True, slots=True, kw_only=True)
class RequestArrived:
    """A caller sent a valid request."""

    request: Request


@dataclass(frozen=True, slots=True, kw_only=True)
class ClaimAnswered:
    """The claims store answered, or gave up."""

    request_id: RequestId
    outcome: ClaimOutcome


@dataclass(frozen=True, slots=True, kw_only=True)
class AttemptAccepted:
    """The upstream began its answer; no token has come yet."""

    attempt_id: AttemptId


@dataclass(frozen=True, slots=True, kw_only=True)
class AttemptProgressed:
    """The upstream sent more tokens, which were passed on to the caller."""

    attempt_id: AttemptId
    tokens: int


@dataclass(frozen=True, slots=True, kw_only=True)
class AttemptFinished:
    """The upstream's answer ended properly."""

    attempt_id: AttemptId


@dataclass(frozen=True, slots=True, kw_only=True)
class AttemptFailed:
    """The attempt ended without a proper answer.

    Attributes:
        upstream_leaving: The upstream's refusal said that it is leaving.
        resumable: The delivered tokens are known, so another upstream can go on from them.
        retry_after_s: When the upstream said to come back, if it did.
    """

    attempt_id: AttemptId
    kind: FailureKind
    upstream_leaving: bool = False
    resumable: bool = True
    retry_after_s: float | None = None


@dataclass(frozen=True, slots=True, kw_only=True)
class CallerLeft:
    """The caller closed its connection before its final verdict."""

    request_id: RequestId


@dataclass(frozen=True, slots=True, kw_only=True)
class UpstreamReport:
    """What is known of one upstream from outside this host.

    Attributes:
        running: Requests in the upstream's batch, from its own report.
        waiting: Requests queued at the upstream, from its own report.
        peers_in_flight: Requests that other entry hosts have there.
        measured_at_s: Monotonic time of the measurement; older reports weigh less.
    """

    upstream: UpstreamName
    state: UpstreamState
    running: int = 0
    waiting: int = 0
    peers_in_flight: int = 0
    measured_at_s: float = 0.0
    cached_prefixes: frozenset[int] = frozenset()


@dataclass(frozen=True, slots=True, kw_only=True)
class UpstreamsReported:
    """New reports of some upstreams; the others keep theirs."""

    reports: tuple[UpstreamReport, ...]


@dataclass(frozen=True, slots=True, kw_only=True)
class SharesUpdated:
    """The slots of each upstream that this host may fill, and the number of entry hosts."""

    slots: Mapping[UpstreamName, int]
    entry_hosts: int


@dataclass(frozen=True, slots=True, kw_only=True)
class FingerprintQuarantined:
    """Another host, or the store, named a request that crashes upstreams."""

    fingerprint: Fingerprint


@dataclass(frozen=True, slots=True, kw_only=True)
class CrashReported:
    """Another host lost an upstream while it ran a fingerprint there."""

    fingerprint: Fingerprint
    upstream: UpstreamName


@dataclass(frozen=True, slots=True, kw_only=True)
class DeclarationAdopted:
    """A configuration is in force from now on."""

    declaration: Declaration


@dataclass(frozen=True, slots=True, kw_only=True)
class StopRequested:
    """The host stops: nothing new is accepted, everything accepted is finished."""


@dataclass(frozen=True, slots=True, kw_only=True)
class TimerFired:
    """A time asked for with ``WakeAt`` has come."""


Event = (
    RequestArrived
    | ClaimAnswered
    | AttemptAccepted
    | AttemptProgressed
    | AttemptFinished
    | AttemptFailed
    | CallerLeft
    | UpstreamsReported
    | SharesUpdated
    | FingerprintQuarantined
    | CrashReported
    | DeclarationAdopted
    | StopRequested
    | TimerFired
)

"""Events that the policy processes. Times are seconds on the host's monotonic clock."""

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
    """Result of a claim on the exclusive right to run a non-idempotent request.

    Attributes:
        GRANTED: The request may run.
        ANSWERED: The answer of an earlier run is stored and can be replayed.
        RUNNING: An earlier attempt under the same idempotency key still runs.
        RUN_UNKNOWN: An earlier attempt may have run; its outcome is unknown.
        KEY_REUSED: The idempotency key belongs to a different request.
        UNAVAILABLE: The claims store did not answer.
        OVER_BUDGET: This host has no budget left for writes to the claims store.
    """

    GRANTED = "granted"
    ANSWERED = "answered"
    RUNNING = "running"
    RUN_UNKNOWN = "run_unknown"
    KEY_REUSED = "key_reused"
    UNAVAILABLE = "unavailable"
    OVER_BUDGET = "over_budget"


class FailureKind(Enum):
    """How an attempt failed. Only ``NOT_SENT`` and ``REFUSED`` prove that nothing ran.

    Attributes:
        NOT_SENT: The request was not sent, for example because the connection failed.
        REFUSED: The upstream said that it did not start the request.
        LOST: The connection was lost after the request was sent.
        SILENT: The upstream sent nothing for longer than the timeout, and another one has begun to
            answer.
        INCOMPLETE: The answer began but did not end properly.
        ERROR: The upstream answered with an error, or its answer could not be processed.
    """

    NOT_SENT = "not_sent"
    REFUSED = "refused"
    LOST = "lost"
    SILENT = "silent"
    INCOMPLETE = "incomplete"
    ERROR = "error"


class UpstreamState(Enum):
    """The lifecycle state of an upstream."""

    LIVE = "live"
    LEAVING = "leaving"
    GONE = "gone"


@dataclass(frozen=True, slots=True, kw_only=True)
class Request:
    """The properties of a request that the policy uses.

    Attributes:
        prompt_tokens: Estimated length of the prompt.
        output_tokens_limit: The caller's limit on output tokens, if any.
        prefix_hashes: Hashes of prefixes of the prompt, shortest first.
        deadline_s: Monotonic time after which the caller no longer wants the answer.
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
    """The attempt to acquire a claim has ended, with any outcome.

    ``ClaimOutcome.ANSWERED`` is the outcome that the answer of an earlier run is stored.
    """

    request_id: RequestId
    outcome: ClaimOutcome


@dataclass(frozen=True, slots=True, kw_only=True)
class AttemptAccepted:
    """The upstream began its answer; no token has arrived yet."""

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
        upstream_leaving: The upstream refused because it is leaving.
        resumable: The delivered tokens are known, so another upstream can continue after them.
        retry_after_s: Delay that the upstream asked for before a retry, if any.
    """

    attempt_id: AttemptId
    kind: FailureKind
    upstream_leaving: bool = False
    resumable: bool = True
    retry_after_s: float | None = None


@dataclass(frozen=True, slots=True, kw_only=True)
class AttemptSilent:
    """The upstream has sent nothing for as long as its ``Dispatch`` allows.

    The attempt goes on. The event is repeated each time that the same span passes without data.

    Attributes:
        resumable: The delivered tokens are known, so another upstream can continue after them.
    """

    attempt_id: AttemptId
    resumable: bool = True


@dataclass(frozen=True, slots=True, kw_only=True)
class AttemptContinued:
    """The upstream of a silent attempt has sent data again, which is not delivered yet."""

    attempt_id: AttemptId


@dataclass(frozen=True, slots=True, kw_only=True)
class CallerLeft:
    """The caller closed its connection before the final answer."""

    request_id: RequestId


@dataclass(frozen=True, slots=True, kw_only=True)
class UpstreamReport:
    """State and load of one upstream, as reported to this host.

    Attributes:
        running: Requests in the upstream's batch, as it reports.
        waiting: Requests queued at the upstream, as it reports.
        peers_in_flight: Requests that other entry hosts have in flight at the upstream.
        measured_at_s: Monotonic time of the measurement; older reports weigh less.
        cached_prefixes: Hashes of prompt prefixes in the upstream's cache.
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
    """New reports on some upstreams; the other upstreams keep their last report."""

    reports: tuple[UpstreamReport, ...]


@dataclass(frozen=True, slots=True, kw_only=True)
class SharesUpdated:
    """This host's share of each upstream, as a number of slots, and the number of entry hosts."""

    slots: Mapping[UpstreamName, int]
    entry_hosts: int


@dataclass(frozen=True, slots=True, kw_only=True)
class FingerprintQuarantined:
    """Another host, or the store, quarantined a fingerprint that crashes upstreams."""

    fingerprint: Fingerprint


@dataclass(frozen=True, slots=True, kw_only=True)
class CrashReported:
    """Another host lost an upstream that was running a request with this fingerprint."""

    fingerprint: Fingerprint
    upstream: UpstreamName


@dataclass(frozen=True, slots=True, kw_only=True)
class DeclarationAdopted:
    """A new configuration takes effect."""

    declaration: Declaration


@dataclass(frozen=True, slots=True, kw_only=True)
class StopRequested:
    """The host drains: it refuses new requests and finishes the accepted ones."""


@dataclass(frozen=True, slots=True, kw_only=True)
class TimerFired:
    """The timer that ``WakeAt`` set has fired."""


Event = (
    RequestArrived
    | ClaimAnswered
    | AttemptAccepted
    | AttemptProgressed
    | AttemptFinished
    | AttemptFailed
    | AttemptSilent
    | AttemptContinued
    | CallerLeft
    | UpstreamsReported
    | SharesUpdated
    | FingerprintQuarantined
    | CrashReported
    | DeclarationAdopted
    | StopRequested
    | TimerFired
)

"""What the policy asks its shell to do."""

from dataclasses import dataclass
from enum import Enum

from greengagestage.ids import (
    AttemptId,
    Fingerprint,
    IdempotencyKey,
    RequestId,
    UpstreamName,
    WorkspaceId,
)
from greengagestage.results import ResultCode


class CancelReason(Enum):
    """Why an attempt is cancelled."""

    CALLER_LEFT = "caller_left"
    PREEMPTED = "preempted"
    DEADLINE = "deadline"
    TARGET = "target"
    QUARANTINED = "quarantined"


@dataclass(frozen=True, slots=True, kw_only=True)
class AcquireClaim:
    """Record the right to run a non-idempotent request; answer with ``ClaimAnswered``."""

    request_id: RequestId
    attempt_id: AttemptId
    workspace: WorkspaceId
    idempotency_key: IdempotencyKey
    fingerprint: Fingerprint


@dataclass(frozen=True, slots=True, kw_only=True)
class ReleaseClaim:
    """Give up a claim whose request was certainly not run."""

    request_id: RequestId
    attempt_id: AttemptId


@dataclass(frozen=True, slots=True, kw_only=True)
class Dispatch:
    """Send an attempt to an upstream.

    Attributes:
        priority: The engine's own priority, 0 the highest.
        resume_tokens: Tokens already delivered, from which the upstream goes on.
        first_token_timeout_s: Silence allowed before the first byte of the answer.
        inter_token_timeout_s: Silence allowed between bytes of the answer.
    """

    request_id: RequestId
    attempt_id: AttemptId
    upstream: UpstreamName
    priority: int
    resume_tokens: int
    first_token_timeout_s: float
    inter_token_timeout_s: float


@dataclass(frozen=True, slots=True, kw_only=True)
class CancelAttempt:
    """Stop an attempt at its upstream; nothing more of it is delivered."""

    attempt_id: AttemptId
    reason: CancelReason


@dataclass(frozen=True, slots=True, kw_only=True)
class Deliver:
    """Final: the answer is whole; end it properly."""

    request_id: RequestId


@dataclass(frozen=True, slots=True, kw_only=True)
class ReplayAnswer:
    """Final: give again the answer stored under the request's idempotency key."""

    request_id: RequestId


@dataclass(frozen=True, slots=True, kw_only=True)
class Reject:
    """Final: tell the caller at once that there is no whole answer.

    ``retry_after_s`` is None where coming back does not help.
    """

    request_id: RequestId
    code: ResultCode
    retry_after_s: float | None = None


@dataclass(frozen=True, slots=True, kw_only=True)
class ReportCrash:
    """Tell the other hosts that an upstream was lost while it ran a fingerprint."""

    fingerprint: Fingerprint
    upstream: UpstreamName


@dataclass(frozen=True, slots=True, kw_only=True)
class QuarantineFingerprint:
    """Tell the other hosts never to run a fingerprint."""

    fingerprint: Fingerprint


@dataclass(frozen=True, slots=True, kw_only=True)
class WakeAt:
    """Send ``TimerFired`` at this monotonic time; replaces the time asked for before."""

    at_s: float


Action = (
    AcquireClaim
    | ReleaseClaim
    | Dispatch
    | CancelAttempt
    | Deliver
    | ReplayAnswer
    | Reject
    | ReportCrash
    | QuarantineFingerprint
    | WakeAt
)

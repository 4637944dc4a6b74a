"""Actions that the policy returns; the entry server carries them out."""

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
    """Why an attempt is cancelled.

    Attributes:
        CALLER_LEFT: The caller closed its connection.
        PREEMPTED: A request of a higher class takes the slot.
        DEADLINE: The caller's deadline has passed.
        TARGET: The answer is useless when late, and its target time has passed.
        QUARANTINED: The request's fingerprint was quarantined.
        SILENT: The upstream is silent, and a later attempt has begun to answer.
        CONTINUED: An earlier attempt, whose upstream was silent, goes on.
    """

    CALLER_LEFT = "caller_left"
    PREEMPTED = "preempted"
    DEADLINE = "deadline"
    TARGET = "target"
    QUARANTINED = "quarantined"
    SILENT = "silent"
    CONTINUED = "continued"


@dataclass(frozen=True, slots=True, kw_only=True)
class AcquireClaim:
    """Acquire the exclusive right to run a non-idempotent request; ``ClaimAnswered`` follows."""

    request_id: RequestId
    attempt_id: AttemptId
    workspace: WorkspaceId
    idempotency_key: IdempotencyKey
    fingerprint: Fingerprint


@dataclass(frozen=True, slots=True, kw_only=True)
class ReleaseClaim:
    """Release a claim whose request certainly did not run."""

    request_id: RequestId
    attempt_id: AttemptId


@dataclass(frozen=True, slots=True, kw_only=True)
class Dispatch:
    """Send an attempt to an upstream.

    An earlier attempt of the request continues beside it if its upstream is silent.

    Attributes:
        priority: Scheduling priority passed to the engine, 0 the highest.
        resume_tokens: Tokens already delivered; the upstream continues after them.
        first_token_timeout_s: Wait for the first token after which ``AttemptSilent`` is due, timed
            to the first byte of the answer's body.
        inter_token_timeout_s: The same between tokens, timed between bytes of the body.
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
    """Cancel an attempt at its upstream; no more of its output is delivered."""

    attempt_id: AttemptId
    reason: CancelReason


@dataclass(frozen=True, slots=True, kw_only=True)
class Deliver:
    """Final: the answer is complete; end the response normally."""

    request_id: RequestId


@dataclass(frozen=True, slots=True, kw_only=True)
class ReplayAnswer:
    """Final: send the answer stored under the request's idempotency key."""

    request_id: RequestId


@dataclass(frozen=True, slots=True, kw_only=True)
class Reject:
    """Final: tell the caller that there is no complete answer.

    ``retry_after_s`` is None where a retry does not help.
    """

    request_id: RequestId
    code: ResultCode
    retry_after_s: float | None = None


@dataclass(frozen=True, slots=True, kw_only=True)
class ReportCrash:
    """Tell the other hosts that an upstream was lost while it ran a request."""

    fingerprint: Fingerprint
    upstream: UpstreamName


@dataclass(frozen=True, slots=True, kw_only=True)
class QuarantineFingerprint:
    """Tell the other hosts to quarantine a fingerprint, so that they refuse its requests."""

    fingerprint: Fingerprint


@dataclass(frozen=True, slots=True, kw_only=True)
class WakeAt:
    """Send ``TimerFired`` at this monotonic time; replaces any earlier ``WakeAt``."""

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

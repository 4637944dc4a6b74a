"""The row of a claim, and what it means for a new claim of the same key."""

import hashlib
from collections.abc import Callable, Collection
from dataclasses import dataclass
from enum import Enum
from typing import NewType
from urllib.parse import quote

import msgspec
from msgspec import Struct

from greengagestage.ids import AttemptId, Fingerprint, HostId, IdempotencyKey, WorkspaceId
from greengagestage.policy import ClaimOutcome
from greengagestage.services import Row

KEY_DIGITS = 32
CLAIM_PREFIX = "claim/"

ClaimToken = NewType("ClaimToken", str)


class ClaimState(Enum):
    """The states of a claim."""

    CLAIMED = "claimed"
    ANSWERED = "answered"
    UNKNOWN = "unknown"
    RELEASED = "released"
    """Released by its own host; the request was certainly not run. The row is kept, so that a
    late insert of the same claim conflicts with it and is refused."""


class ClaimRow(Struct, frozen=True, kw_only=True, omit_defaults=True):
    """A claim as stored in the table.

    Attributes:
        token: Random and unique to each claim, even if attempt ids repeat; a row belongs to a
            claim only if the tokens are equal.
        at: Wall clock seconds of the last change; used for retention only.
        answer: Key of the object that holds the answer's body, when the body is large.
        body: The answer's body, when it is small.
    """

    attempt_id: AttemptId
    token: ClaimToken = ClaimToken("")
    fingerprint: Fingerprint
    state: ClaimState
    host: HostId
    at: float = 0.0
    status: int = 0
    content_type: str = ""
    answer: str | None = None
    body: bytes | None = None


@dataclass(frozen=True, slots=True, kw_only=True)
class Granted:
    """The row is the claim's own: its request may run."""

    row: Row


@dataclass(frozen=True, slots=True, kw_only=True)
class Free:
    """No request ran under the key: it may be claimed at this revision."""

    revision: int


@dataclass(frozen=True, slots=True, kw_only=True)
class Taken:
    """Another claim used the key; ``outcome`` says with what result."""

    outcome: ClaimOutcome


RowEvaluation = Granted | Free | Taken


@dataclass(frozen=True, slots=True, kw_only=True)
class HostView:
    """What a host knows in addition to the row.

    Attributes:
        running: Own claims that are requested or held.
        not_run: Own claims whose release is being written; their requests were certainly not run.
        is_live_host: Whether a host is believed to be alive.
    """

    host: HostId
    running: Collection[ClaimToken]
    not_run: Collection[ClaimToken]
    is_live_host: Callable[[HostId], bool]


def hash_key(idempotency_key: IdempotencyKey) -> str:
    """Return the hash of an idempotency key that is used in a row's key."""
    return hashlib.sha256(idempotency_key.encode()).hexdigest()[:KEY_DIGITS]


def claim_prefix(workspace: WorkspaceId) -> str:
    """Return the prefix of a workspace's claims."""
    return f"{CLAIM_PREFIX}{quote(workspace, safe='')}/"


def claim_key(workspace: WorkspaceId, idempotency_key: IdempotencyKey) -> str:
    """Return the key of a claim's row."""
    return claim_prefix(workspace) + hash_key(idempotency_key)


def read_claim(row: Row) -> ClaimRow | None:
    """Return the claim of an existing row, or None when it cannot be read."""
    try:
        return row.decode(ClaimRow)
    except msgspec.DecodeError:
        return None


def evaluate_row(row: Row, own: ClaimRow, host_view: HostView) -> RowEvaluation:
    """Return what a row read from the table means for an own claim of the same key."""
    if not row.exists:
        return Free(revision=row.revision)
    claim = read_claim(row)
    if claim is None:
        return Taken(outcome=ClaimOutcome.RUN_UNKNOWN)
    if claim.state is ClaimState.RELEASED:
        return Free(revision=row.revision)
    if claim.token == own.token and claim.state is ClaimState.CLAIMED:
        return Granted(row=row)
    if claim.token in host_view.not_run and claim.state is ClaimState.CLAIMED:
        return Free(revision=row.revision)
    if claim.fingerprint != own.fingerprint:
        return Taken(outcome=ClaimOutcome.KEY_REUSED)
    return Taken(outcome=evaluate_state(claim, host_view))


def evaluate_state(claim: ClaimRow, host_view: HostView) -> ClaimOutcome:
    """Return the outcome for a resend of a request that another attempt claimed."""
    match claim.state:
        case ClaimState.ANSWERED:
            return ClaimOutcome.ANSWERED
        case ClaimState.CLAIMED if may_be_running(claim, host_view):
            return ClaimOutcome.RUNNING
        case _:
            return ClaimOutcome.RUN_UNKNOWN


def may_be_running(claim: ClaimRow, host_view: HostView) -> bool:
    """Whether a claim's request may still be running.

    An own claim's request may be running while the claim is in ``host_view.running``. Of a claim
    of another host, it is known only whether that host is believed to be alive.
    """
    if claim.host == host_view.host:
        return claim.token in host_view.running
    return host_view.is_live_host(claim.host)

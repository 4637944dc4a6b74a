"""Acquires, releases and records claims, so that a non-idempotent request runs at most once."""

import itertools
import time
import uuid
from collections.abc import Callable, Collection
from dataclasses import asdict, dataclass
from typing import Any

from eliot import log_message
from msgspec.structs import replace
from twisted.internet.defer import Deferred, inlineCallbacks, succeed

from greengagestage.ids import AttemptId, HostId, IdempotencyKey, WorkspaceId
from greengagestage.outcomes import Unavailable
from greengagestage.platform import ObjectClient
from greengagestage.policy import AcquireClaim, ClaimOutcome, ReleaseClaim
from greengagestage.services import (
    ABSENT,
    Put,
    Row,
    TableClient,
)

from ._answers import AnswerStore, StoredAnswer, describe_answer
from ._budget import WriteBudget
from ._changes import Change, plan_answer, plan_release, plan_unknown
from ._grouping import Refused, Unconfirmed, WriteOutcome, Written
from ._rows import (
    ClaimRow,
    ClaimState,
    ClaimToken,
    Free,
    Granted,
    HostView,
    RowEvaluation,
    Taken,
    claim_key,
    evaluate_row,
    may_be_running,
    read_claim,
)
from ._settling import Settler
from ._sweep import DEFAULT_RETENTION_S, Sweeper
from ._waiting import wait_at_most
from ._writer import GroupWriter

CLAIM_TRIES = 4
CLAIM_TIMEOUT_S = 2.0
"""A claim is not tried again after this time."""
RECORD_TIMEOUT_S = 5.0
UNSETTLED_LIMIT = 4096
UNSTORED_BYTES_LIMIT = 32 * 1024 * 1024


@dataclass(slots=True, kw_only=True)
class _Claim:
    """A claim that this host requested.

    It is open, which means listed in ``ClaimStore._open``, until its release or its marking as
    unknown begins, or until the recording of its answer has ended.

    Attributes:
        key: Key of the row in the table.
        claim_row: The content of the row as this claim inserts it.
        table_row: The row as of the grant; it saves a read before the next write.
        awaiting_grant: The table has not answered yet.
        unconfirmed: A write of the claim may have taken effect, or may do so later.
        abandoned: The claim was released before the table had answered.
    """

    key: str
    claim_row: ClaimRow
    table_row: Row | None = None
    awaiting_grant: bool = True
    unconfirmed: bool = False
    abandoned: bool = False


class ClaimStore:
    """Claims, answers and their retention, for one host.

    Args:
        host: This host, named in the rows of the claims that it makes.
        write_budget_per_s: Transactions a second that this host may send.
        is_live_host: Whether another host is believed to be alive.
        workspaces: The workspaces whose old claims are removed.
        retention_s: Seconds since the last change after which a claim is removed, unless its
            request may still be running.
    """

    def __init__(
        self,
        *,
        reactor: Any,
        table: TableClient,
        objects: ObjectClient,
        host: HostId,
        write_budget_per_s: float,
        is_live_host: Callable[[HostId], bool],
        workspaces: Callable[[], Collection[WorkspaceId]] = tuple,
        retention_s: float = DEFAULT_RETENTION_S,
        wall_clock: Callable[[], float] = time.time,
    ) -> None:
        self._reactor = reactor
        self._table = table
        self._host = host
        self._wall_clock = wall_clock
        self._is_live_host = is_live_host
        self._budget = WriteBudget(per_s=write_budget_per_s, now_s=reactor.seconds())
        self._writer = GroupWriter(reactor=reactor, table=table, budget=self._budget)
        self._settler = Settler(reactor=reactor, table=table, writer=self._writer)
        self._answers = AnswerStore(objects=objects)
        self._open: dict[AttemptId, _Claim] = {}
        self._not_run: set[ClaimToken] = set()
        self._instance = uuid.uuid4().hex
        self._count = itertools.count()
        self._unstored_bytes = 0
        self._sweeper = Sweeper(
            reactor=reactor,
            table=table,
            writer=self._writer,
            workspaces=workspaces,
            retention_s=retention_s,
            wall_clock=wall_clock,
            may_be_running=self._may_be_running,
        )

    @property
    def unsettled(self) -> int:
        """Releases, answers and marks as unknown that the table has not confirmed yet.

        New claims are not counted, nor are answers whose bodies are still being stored.
        """
        return self._settler.pending

    @property
    def transactions(self) -> int:
        """Transactions sent since the start."""
        return self._writer.transactions

    def set_write_budget(self, per_s: float) -> None:
        """Change the number of transactions a second that this host may send."""
        self._budget.set_rate(per_s, self._reactor.seconds())

    def set_retention(self, retention_s: float) -> None:
        """Change ``retention_s``, the seconds after which an unchanged claim is removed."""
        self._sweeper.retention_s = retention_s

    def start(self) -> None:
        """Start removing claims that are older than the retention."""
        self._sweeper.start()

    def stop(self) -> None:
        """Stop the removal, and each background change at its next failure."""
        self._sweeper.stop()
        self._settler.stop()

    def claim(self, ask: AcquireClaim) -> Deferred[ClaimOutcome]:
        """Claim the right to run a request; it must not run unless the outcome is ``GRANTED``."""
        if ask.attempt_id in self._open:
            return succeed(ClaimOutcome.UNAVAILABLE)
        if self._settler.pending >= UNSETTLED_LIMIT:
            return succeed(ClaimOutcome.UNAVAILABLE)
        if not self._writer.has_room():
            return succeed(ClaimOutcome.OVER_BUDGET)
        claim = _Claim(
            key=claim_key(ask.workspace, ask.idempotency_key),
            claim_row=ClaimRow(
                attempt_id=ask.attempt_id,
                token=self._create_token(),
                fingerprint=ask.fingerprint,
                state=ClaimState.CLAIMED,
                host=self._host,
                at=self._wall_clock(),
            ),
        )
        self._open[ask.attempt_id] = claim
        return self._claim(ask, claim)

    def _create_token(self) -> ClaimToken:
        return ClaimToken(f"{self._instance}-{next(self._count)}")

    @inlineCallbacks
    def _claim(self, ask: AcquireClaim, claim: _Claim) -> Any:
        evaluation = yield self._insert(claim)
        claim.awaiting_grant = False
        if isinstance(evaluation, Granted):
            claim.table_row = evaluation.row
        match evaluation:
            case Granted() if not claim.abandoned:
                return ClaimOutcome.GRANTED
            case Taken(outcome=outcome):
                del self._open[ask.attempt_id]
                return outcome
            case Granted():
                self._release(ask.attempt_id, claim)
            case _ if claim.unconfirmed:
                self._release(ask.attempt_id, claim)
            case _:
                del self._open[ask.attempt_id]
        return ClaimOutcome.UNAVAILABLE

    @inlineCallbacks
    def _insert(self, claim: _Claim) -> Any:
        """Write the claim's row; return what it means, or None if that is not known."""
        revision = ABSENT
        give_up_at_s = self._reactor.seconds() + CLAIM_TIMEOUT_S
        for _ in range(CLAIM_TRIES):
            write = Put(key=claim.key, value=claim.claim_row, expect=revision)
            outcome = yield self._writer.write(write)
            claim.unconfirmed = claim.unconfirmed or isinstance(outcome, Unconfirmed)
            evaluation = self._evaluate(outcome, claim.claim_row)
            if not isinstance(evaluation, Free):
                return evaluation
            if self._reactor.seconds() >= give_up_at_s:
                return None
            revision = evaluation.revision
        return None

    def _evaluate(self, outcome: WriteOutcome, own: ClaimRow) -> RowEvaluation | None:
        match outcome:
            case Written(row=row):
                return Granted(row=row)
            case Refused(row=row) | Unconfirmed(row=Row() as row):
                return evaluate_row(row, own, self._build_host_view())
            case _:
                return None

    def _build_host_view(self) -> HostView:
        return HostView(
            host=self._host,
            running={claim.claim_row.token for claim in self._open.values()},
            not_run=self._not_run,
            is_live_host=self._is_live_host,
        )

    def _may_be_running(self, claim_row: ClaimRow) -> bool:
        return may_be_running(claim_row, self._build_host_view())

    def release(self, action: ReleaseClaim) -> None:
        """Release a claim whose request was certainly not run, in the background.

        A claim that the table has not answered yet is released after the answer.
        """
        claim = self._open.get(action.attempt_id)
        if claim is None:
            log_message(message_type="claims: no such claim to give up", **asdict(action))
        elif claim.awaiting_grant:
            claim.abandoned = True
        else:
            self._release(action.attempt_id, claim)

    @inlineCallbacks
    def _release(self, attempt_id: AttemptId, claim: _Claim) -> Any:
        del self._open[attempt_id]
        self._not_run.add(claim.claim_row.token)
        yield self._settle(claim, plan_release(self._build_claim_row(claim)))
        self._not_run.discard(claim.claim_row.token)

    def _build_claim_row(self, claim: _Claim) -> ClaimRow:
        """Return the claim's row content with the current time in ``at``."""
        return replace(claim.claim_row, at=self._wall_clock())

    def _settle(self, claim: _Claim, change: Change) -> Deferred[bool]:
        table_row, claim.table_row = claim.table_row, None
        return self._settler.settle(claim.key, change, table_row)

    def record_answer(
        self,
        workspace: WorkspaceId,
        idempotency_key: IdempotencyKey,
        attempt_id: AttemptId,
        answer: StoredAnswer,
    ) -> Deferred[bool]:
        """Store the complete answer of an own claim for resends.

        The result is True only if the answer is certainly stored. After False it may still be
        stored later, in the background.
        """
        claim = self._open.get(attempt_id)
        if claim is None or claim.key != claim_key(workspace, idempotency_key):
            return succeed(False)
        if self._unstored_bytes + len(answer.body) > UNSTORED_BYTES_LIMIT:
            log_message(message_type="claims: answer not kept, too many wait", key=claim.key)
            self._mark_unknown(attempt_id, claim)
            return succeed(False)
        kept = self._record_answer(attempt_id, claim, answer)
        return wait_at_most(self._reactor, kept, RECORD_TIMEOUT_S, False)

    @inlineCallbacks
    def _record_answer(self, attempt_id: AttemptId, claim: _Claim, answer: StoredAnswer) -> Any:
        answered = describe_answer(self._build_claim_row(claim), claim.key, answer)
        self._unstored_bytes += len(answer.body)
        try:
            stored = yield self._answers.put_body(answered, answer.body)
            if not stored:
                yield self._settle(claim, plan_unknown(self._build_claim_row(claim)))
                stored = yield self._answers.put_body(answered, answer.body)
            if not stored:
                return False
            return (yield self._settle(claim, plan_answer(answered)))
        finally:
            self._unstored_bytes -= len(answer.body)
            self._open.pop(attempt_id, None)

    def mark_unknown(
        self, workspace: WorkspaceId, idempotency_key: IdempotencyKey, attempt_id: AttemptId
    ) -> Deferred[None]:
        """Record that the request of an own claim may have run and that its answer is unknown.

        The result comes when this is recorded, or after a time limit; the change then continues
        in the background.
        """
        claim = self._open.get(attempt_id)
        if claim is None or claim.key != claim_key(workspace, idempotency_key):
            return succeed(None)
        marked = self._mark_unknown(attempt_id, claim)
        return wait_at_most(self._reactor, marked, RECORD_TIMEOUT_S, None)

    @inlineCallbacks
    def _mark_unknown(self, attempt_id: AttemptId, claim: _Claim) -> Any:
        del self._open[attempt_id]
        yield self._settle(claim, plan_unknown(self._build_claim_row(claim)))

    @inlineCallbacks
    def _read_answer(self, workspace: WorkspaceId, idempotency_key: IdempotencyKey) -> Any:
        row = yield self._table.read_row(claim_key(workspace, idempotency_key))
        if isinstance(row, Unavailable) or not row.exists:
            return None
        claim_row = read_claim(row)
        if claim_row is None or claim_row.state is not ClaimState.ANSWERED:
            return None
        return (yield self._answers.read(claim_row))

    def read_answer(
        self, workspace: WorkspaceId, idempotency_key: IdempotencyKey
    ) -> Deferred[StoredAnswer | None]:
        """Return the answer stored under a key, or None if there is none or it cannot be read."""
        return self._read_answer(workspace, idempotency_key)

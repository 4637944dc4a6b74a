"""Baseline load balancers with the interface of the router's policy.

They stand for what a user would run without the router. Both dispatch every request immediately,
in order of arrival and with the same priority; requests that an engine cannot run yet wait in the
engine's FIFO queue. A request that certainly did not start, or whose answer has sent nothing yet,
is retried at most once on each other upstream. Answers are never resumed.
"""

from dataclasses import dataclass, field
from enum import Enum

from greengagestage.configuration import Declaration, Upstream, UpstreamKind
from greengagestage.ids import AttemptId, PoolName, RequestId, UpstreamName
from greengagestage.policy import (
    AcquireClaim,
    Action,
    AttemptFailed,
    AttemptFinished,
    AttemptProgressed,
    AttemptSilent,
    CallerLeft,
    CancelAttempt,
    CancelReason,
    ClaimAnswered,
    ClaimOutcome,
    DeclarationAdopted,
    Deliver,
    Dispatch,
    Event,
    FailureKind,
    PolicySnapshot,
    Reject,
    ReplayAnswer,
    Request,
    RequestArrived,
    StopRequested,
    UpstreamsReported,
    UpstreamState,
)
from greengagestage.results import ResultCode

FIRST_TOKEN_TIMEOUT_S = 60.0
INTER_TOKEN_TIMEOUT_S = 10.0
RETRY_AFTER_S = 2.0
SHARED_PRIORITY = 0
_NOT_RUN_FAILURES = (FailureKind.NOT_SENT, FailureKind.REFUSED)
_FAILURE_CODES = {
    FailureKind.LOST: ResultCode.UPSTREAM_LOST,
    FailureKind.SILENT: ResultCode.UPSTREAM_SILENT,
    FailureKind.INCOMPLETE: ResultCode.ANSWER_INCOMPLETE,
    FailureKind.ERROR: ResultCode.UPSTREAM_ERROR,
}


class Balancing(Enum):
    """How a baseline selects an upstream."""

    ROUND_ROBIN = "round_robin"
    LEAST_IN_FLIGHT = "least_in_flight"


@dataclass(slots=True, kw_only=True)
class _RequestRecord:
    request: Request
    attempts: int = 0
    possibly_ran: bool = False
    tokens: int = 0
    attempt_id: AttemptId | None = None
    upstream: UpstreamName | None = None
    tried: list[UpstreamName] = field(default_factory=list)


class BaselinePolicy:
    """A load balancer without classes, with the methods of ``greengagestage.policy.Policy``."""

    def __init__(self, *, balancing: Balancing) -> None:
        self._balancing = balancing
        self._pools: dict[PoolName, list[UpstreamName]] = {}
        self._states: dict[UpstreamName, UpstreamState] = {}
        self._in_flight: dict[UpstreamName, int] = {}
        self._positions: dict[PoolName, int] = {}
        self._records: dict[RequestId, _RequestRecord] = {}
        self._records_by_attempt: dict[AttemptId, _RequestRecord] = {}
        self._stopping = False

    def handle(self, event: Event, now_s: float) -> list[Action]:
        """Process an event and return the actions for the entry process to carry out."""
        match event:
            case RequestArrived(request=request):
                return self._admit(request)
            case ClaimAnswered(request_id=request_id, outcome=outcome):
                return self._handle_claim_outcome(request_id, outcome)
            case AttemptProgressed(attempt_id=attempt_id, tokens=tokens):
                if attempt_id in self._records_by_attempt:
                    self._records_by_attempt[attempt_id].tokens += tokens
            case AttemptFinished(attempt_id=attempt_id):
                return self._finish(attempt_id)
            case AttemptFailed():
                return self._handle_failure(event)
            case AttemptSilent():
                return self._end_silent_attempt(event)
            case CallerLeft(request_id=request_id):
                return self._cancel(request_id)
            case DeclarationAdopted(declaration=declaration):
                self._adopt(declaration)
            case UpstreamsReported(reports=reports):
                self._states.update({report.upstream: report.state for report in reports})
            case StopRequested():
                self._stopping = True
        return []

    def inspect(self) -> PolicySnapshot:
        """Return a snapshot with the number of open requests."""
        return PolicySnapshot(
            classes=(),
            upstreams=(),
            open_requests=len(self._records),
            claiming=0,
            quarantined=0,
            stopping=self._stopping,
        )

    def explain(self, request_id: RequestId) -> tuple[str, ...]:
        """Return an empty tuple, since baselines do not record their decisions."""
        return ()

    def _adopt(self, declaration: Declaration) -> None:
        self._pools = {}
        for upstream in declaration.upstreams:
            for pool in _list_pools(upstream):
                self._pools.setdefault(pool, []).append(upstream.name)

    def _admit(self, request: Request) -> list[Action]:
        record = _RequestRecord(request=request)
        self._records[request.request_id] = record
        if request.idempotent:
            return self._dispatch(record)
        if request.idempotency_key is None:
            return self._reject(record, ResultCode.IDEMPOTENCY_KEY_REQUIRED, None)
        claim = AcquireClaim(
            request_id=request.request_id,
            attempt_id=AttemptId(f"{request.request_id}.0"),
            workspace=request.workspace,
            idempotency_key=request.idempotency_key,
            fingerprint=request.fingerprint,
        )
        return [claim]

    def _handle_claim_outcome(self, request_id: RequestId, outcome: ClaimOutcome) -> list[Action]:
        record = self._records.get(request_id)
        if record is None:
            return []
        match outcome:
            case ClaimOutcome.GRANTED:
                return self._dispatch(record)
            case ClaimOutcome.ANSWERED:
                del self._records[request_id]
                return [ReplayAnswer(request_id=request_id)]
            case ClaimOutcome.RUNNING:
                return self._reject(record, ResultCode.STILL_RUNNING, RETRY_AFTER_S)
            case ClaimOutcome.RUN_UNKNOWN:
                return self._reject(record, ResultCode.EARLIER_RUN_UNKNOWN, None)
            case ClaimOutcome.KEY_REUSED:
                return self._reject(record, ResultCode.IDEMPOTENCY_KEY_REUSED, None)
        return self._reject(record, ResultCode.CLAIM_STORE_UNAVAILABLE, RETRY_AFTER_S)

    def _dispatch(self, record: _RequestRecord) -> list[Action]:
        upstream = self._choose_upstream(record)
        if upstream is None:
            lost = record.possibly_ran
            code = ResultCode.UPSTREAM_LOST if lost else ResultCode.NO_UPSTREAM
            return self._reject(record, code, None if lost else RETRY_AFTER_S)
        record.attempts += 1
        record.upstream = upstream
        record.tried.append(upstream)
        record.attempt_id = AttemptId(f"{record.request.request_id}.{record.attempts}")
        self._records_by_attempt[record.attempt_id] = record
        self._in_flight[upstream] = self._in_flight.get(upstream, 0) + 1
        dispatch = Dispatch(
            request_id=record.request.request_id,
            attempt_id=record.attempt_id,
            upstream=upstream,
            priority=SHARED_PRIORITY,
            resume_tokens=0,
            first_token_timeout_s=FIRST_TOKEN_TIMEOUT_S,
            inter_token_timeout_s=INTER_TOKEN_TIMEOUT_S,
        )
        return [dispatch]

    def _choose_upstream(self, record: _RequestRecord) -> UpstreamName | None:
        pool = record.request.pool
        candidates = [
            name
            for name in self._pools.get(pool, [])
            if self._states.get(name, UpstreamState.LIVE) is UpstreamState.LIVE
            and name not in record.tried
        ]
        if not candidates:
            return None
        position = self._positions.get(pool, 0)
        self._positions[pool] = position + 1
        match self._balancing:
            case Balancing.ROUND_ROBIN:
                return candidates[position % len(candidates)]
            case Balancing.LEAST_IN_FLIGHT:
                return min(candidates, key=lambda name: self._in_flight.get(name, 0))

    def _finish(self, attempt_id: AttemptId) -> list[Action]:
        record = self._release(attempt_id)
        if record is None:
            return []
        del self._records[record.request.request_id]
        return [Deliver(request_id=record.request.request_id)]

    def _handle_failure(self, event: AttemptFailed) -> list[Action]:
        record = self._release(event.attempt_id)
        if record is None:
            return []
        if event.kind in _NOT_RUN_FAILURES:
            return self._dispatch(record)
        record.possibly_ran = True
        if record.request.idempotent and event.resumable and record.tokens == 0:
            return self._dispatch(record)
        return self._reject(record, _FAILURE_CODES[event.kind], None)

    def _end_silent_attempt(self, event: AttemptSilent) -> list[Action]:
        if event.attempt_id not in self._records_by_attempt:
            return []
        failure = AttemptFailed(
            attempt_id=event.attempt_id, kind=FailureKind.SILENT, resumable=event.resumable
        )
        cancel = CancelAttempt(attempt_id=event.attempt_id, reason=CancelReason.SILENT)
        return [cancel, *self._handle_failure(failure)]

    def _cancel(self, request_id: RequestId) -> list[Action]:
        record = self._records.get(request_id)
        if record is None or (record.attempt_id and not record.request.idempotent):
            return []
        actions: list[Action] = []
        if record.attempt_id is not None:
            reason = CancelReason.CALLER_LEFT
            actions.append(CancelAttempt(attempt_id=record.attempt_id, reason=reason))
            self._release(record.attempt_id)
        ran = bool(actions) or record.possibly_ran
        code = ResultCode.CALLER_LEFT_RUNNING if ran else ResultCode.CALLER_LEFT
        return [*actions, *self._reject(record, code, None)]

    def _release(self, attempt_id: AttemptId) -> _RequestRecord | None:
        record = self._records_by_attempt.pop(attempt_id, None)
        if record is not None and record.upstream is not None:
            self._in_flight[record.upstream] -= 1
            record.attempt_id = record.upstream = None
        return record

    def _reject(
        self, record: _RequestRecord, code: ResultCode, retry_after_s: float | None
    ) -> list[Action]:
        request_id = record.request.request_id
        del self._records[request_id]
        return [Reject(request_id=request_id, code=code, retry_after_s=retry_after_s)]


def _list_pools(upstream: Upstream) -> tuple[PoolName, ...]:
    if upstream.kind is UpstreamKind.SERVICE:
        return (PoolName(upstream.service),) if upstream.service else ()
    return tuple(PoolName(model) for model in upstream.models)

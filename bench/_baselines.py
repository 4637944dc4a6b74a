"""What a user would otherwise run: simple balancers behind the policy's own interface.

Both send every request on at once, in its order of arrival, with one priority for all; what an
engine cannot run waits in the engine's queue, first in, first out. They retry what certainly did
not start or sent nothing yet, once on each other upstream, and they never resume.
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
ONE_PRIORITY = 0
_NOT_STARTED = (FailureKind.NOT_SENT, FailureKind.REFUSED)
_LOST_CODES = {
    FailureKind.LOST: ResultCode.UPSTREAM_LOST,
    FailureKind.SILENT: ResultCode.UPSTREAM_SILENT,
    FailureKind.INCOMPLETE: ResultCode.ANSWER_INCOMPLETE,
    FailureKind.ERROR: ResultCode.UPSTREAM_ERROR,
}


class Balancing(Enum):
    """How a baseline chooses the next upstream."""

    ROUND_ROBIN = "round_robin"
    LEAST_IN_FLIGHT = "least_in_flight"


@dataclass(slots=True, kw_only=True)
class _Open:
    request: Request
    attempts: int = 0
    possibly_ran: bool = False
    tokens: int = 0
    attempt_id: AttemptId | None = None
    upstream: UpstreamName | None = None
    tried: list[UpstreamName] = field(default_factory=list)


class BaselinePolicy:
    """A balancer without classes, with the methods of ``greengagestage.policy.Policy``."""

    def __init__(self, *, balancing: Balancing) -> None:
        self._balancing = balancing
        self._pools: dict[PoolName, list[UpstreamName]] = {}
        self._states: dict[UpstreamName, UpstreamState] = {}
        self._in_flight: dict[UpstreamName, int] = {}
        self._turns: dict[PoolName, int] = {}
        self._open: dict[RequestId, _Open] = {}
        self._by_attempt: dict[AttemptId, _Open] = {}
        self._stopping = False

    def handle(self, event: Event, now_s: float) -> list[Action]:
        """Take an event in and return what the shell has to do."""
        match event:
            case RequestArrived(request=request):
                return self._admit(request)
            case ClaimAnswered(request_id=request_id, outcome=outcome):
                return self._settle_claim(request_id, outcome)
            case AttemptProgressed(attempt_id=attempt_id, tokens=tokens):
                if attempt_id in self._by_attempt:
                    self._by_attempt[attempt_id].tokens += tokens
            case AttemptFinished(attempt_id=attempt_id):
                return self._finish(attempt_id)
            case AttemptFailed():
                return self._fail(event)
            case CallerLeft(request_id=request_id):
                return self._leave(request_id)
            case DeclarationAdopted(declaration=declaration):
                self._adopt(declaration)
            case UpstreamsReported(reports=reports):
                self._states.update({report.upstream: report.state for report in reports})
            case StopRequested():
                self._stopping = True
        return []

    def inspect(self) -> PolicySnapshot:
        """Return what runs now."""
        return PolicySnapshot(
            classes=(),
            upstreams=(),
            open_requests=len(self._open),
            claiming=0,
            quarantined=0,
            stopping=self._stopping,
        )

    def explain(self, request_id: RequestId) -> tuple[str, ...]:
        """Return nothing: baselines keep no record of their choices."""
        return ()

    def _adopt(self, declaration: Declaration) -> None:
        self._pools = {}
        for upstream in declaration.upstreams:
            for pool in _list_pools(upstream):
                self._pools.setdefault(pool, []).append(upstream.name)

    def _admit(self, request: Request) -> list[Action]:
        opened = _Open(request=request)
        self._open[request.request_id] = opened
        if request.idempotent:
            return self._dispatch(opened)
        if request.idempotency_key is None:
            return self._reject(opened, ResultCode.IDEMPOTENCY_KEY_REQUIRED, None)
        ask = AcquireClaim(
            request_id=request.request_id,
            attempt_id=AttemptId(f"{request.request_id}.0"),
            workspace=request.workspace,
            idempotency_key=request.idempotency_key,
            fingerprint=request.fingerprint,
        )
        return [ask]

    def _settle_claim(self, request_id: RequestId, outcome: ClaimOutcome) -> list[Action]:
        opened = self._open.get(request_id)
        if opened is None:
            return []
        match outcome:
            case ClaimOutcome.GRANTED:
                return self._dispatch(opened)
            case ClaimOutcome.ANSWERED:
                del self._open[request_id]
                return [ReplayAnswer(request_id=request_id)]
            case ClaimOutcome.RUNNING:
                return self._reject(opened, ResultCode.STILL_RUNNING, RETRY_AFTER_S)
            case ClaimOutcome.RUN_UNKNOWN:
                return self._reject(opened, ResultCode.EARLIER_RUN_UNKNOWN, None)
            case ClaimOutcome.KEY_REUSED:
                return self._reject(opened, ResultCode.IDEMPOTENCY_KEY_REUSED, None)
        return self._reject(opened, ResultCode.CLAIM_STORE_UNAVAILABLE, RETRY_AFTER_S)

    def _dispatch(self, opened: _Open) -> list[Action]:
        upstream = self._choose(opened)
        if upstream is None:
            lost = opened.possibly_ran
            code = ResultCode.UPSTREAM_LOST if lost else ResultCode.NO_UPSTREAM
            return self._reject(opened, code, None if lost else RETRY_AFTER_S)
        opened.attempts += 1
        opened.upstream = upstream
        opened.tried.append(upstream)
        opened.attempt_id = AttemptId(f"{opened.request.request_id}.{opened.attempts}")
        self._by_attempt[opened.attempt_id] = opened
        self._in_flight[upstream] = self._in_flight.get(upstream, 0) + 1
        dispatch = Dispatch(
            request_id=opened.request.request_id,
            attempt_id=opened.attempt_id,
            upstream=upstream,
            priority=ONE_PRIORITY,
            resume_tokens=0,
            first_token_timeout_s=FIRST_TOKEN_TIMEOUT_S,
            inter_token_timeout_s=INTER_TOKEN_TIMEOUT_S,
        )
        return [dispatch]

    def _choose(self, opened: _Open) -> UpstreamName | None:
        pool = opened.request.pool
        live = [
            name
            for name in self._pools.get(pool, [])
            if self._states.get(name, UpstreamState.LIVE) is UpstreamState.LIVE
            and name not in opened.tried
        ]
        if not live:
            return None
        turn = self._turns.get(pool, 0)
        self._turns[pool] = turn + 1
        match self._balancing:
            case Balancing.ROUND_ROBIN:
                return live[turn % len(live)]
            case Balancing.LEAST_IN_FLIGHT:
                return min(live, key=lambda name: self._in_flight.get(name, 0))

    def _finish(self, attempt_id: AttemptId) -> list[Action]:
        opened = self._release(attempt_id)
        if opened is None:
            return []
        del self._open[opened.request.request_id]
        return [Deliver(request_id=opened.request.request_id)]

    def _fail(self, event: AttemptFailed) -> list[Action]:
        opened = self._release(event.attempt_id)
        if opened is None:
            return []
        if event.kind in _NOT_STARTED:
            return self._dispatch(opened)
        opened.possibly_ran = True
        if opened.request.idempotent and event.resumable and opened.tokens == 0:
            return self._dispatch(opened)
        return self._reject(opened, _LOST_CODES[event.kind], None)

    def _leave(self, request_id: RequestId) -> list[Action]:
        opened = self._open.get(request_id)
        if opened is None or (opened.attempt_id and not opened.request.idempotent):
            return []
        actions: list[Action] = []
        if opened.attempt_id is not None:
            reason = CancelReason.CALLER_LEFT
            actions.append(CancelAttempt(attempt_id=opened.attempt_id, reason=reason))
            self._release(opened.attempt_id)
        ran = bool(actions) or opened.possibly_ran
        code = ResultCode.CALLER_LEFT_RUNNING if ran else ResultCode.CALLER_LEFT
        return [*actions, *self._reject(opened, code, None)]

    def _release(self, attempt_id: AttemptId) -> _Open | None:
        opened = self._by_attempt.pop(attempt_id, None)
        if opened is not None and opened.upstream is not None:
            self._in_flight[opened.upstream] -= 1
            opened.attempt_id = opened.upstream = None
        return opened

    def _reject(self, opened: _Open, code: ResultCode, retry_after_s: float | None) -> list[Action]:
        request_id = opened.request.request_id
        del self._open[request_id]
        return [Reject(request_id=request_id, code=code, retry_after_s=retry_after_s)]


def _list_pools(upstream: Upstream) -> tuple[PoolName, ...]:
    if upstream.kind is UpstreamKind.SERVICE:
        return (PoolName(upstream.service),) if upstream.service else ()
    return tuple(PoolName(model) for model in upstream.models)

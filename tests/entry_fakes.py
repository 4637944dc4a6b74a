"""In-memory fakes of the agent link, the policy and the claims store."""

from typing import Any

from twisted.internet.defer import Deferred, succeed

from greengagestage.policy import (
    AcquireClaim,
    AttemptFailed,
    AttemptFinished,
    AttemptSilent,
    CallerLeft,
    CancelAttempt,
    CancelReason,
    ClaimOutcome,
    Deliver,
    Dispatch,
    PolicySnapshot,
    Reject,
    ReleaseClaim,
    RequestArrived,
)
from greengagestage.results import ResultCode


class FakeLink:
    """An agent link that records the messages sent."""

    def __init__(self) -> None:
        self.sent: list[Any] = []
        self.silence_s = 0.0

    def send(self, message: Any) -> None:
        self.sent.append(message)

    def start(self) -> None:
        pass

    def stop(self) -> None:
        pass


class SimplePolicy:
    """Tries the upstreams of a request in order until an answer is complete."""

    def __init__(self, *, upstreams: tuple[str, ...]):
        self.upstreams = upstreams
        self.events: list[Any] = []
        self.requests: dict[str, Any] = {}
        self._timeouts = {"first_token_timeout_s": 9.0, "inter_token_timeout_s": 9.0}

    def set_timeouts(self, limit_s: float) -> None:
        self._timeouts = dict.fromkeys(self._timeouts, limit_s)

    def handle(self, event: Any, now_s: float) -> list[Any]:
        self.events.append(event)
        match event:
            case RequestArrived(request=request):
                self.requests[request.request_id] = request
                return [self.dispatch(request.request_id, 0)]
            case AttemptFinished(attempt_id=attempt_id):
                return [Deliver(request_id=attempt_id.rpartition(".")[0])]
            case AttemptFailed(attempt_id=attempt_id):
                return [self._handle_failure(event, *attempt_id.rsplit(".", 1))]
            case AttemptSilent(attempt_id=attempt_id):
                cancel = CancelAttempt(attempt_id=attempt_id, reason=CancelReason.SILENT)
                return [cancel, self._handle_failure(event, *attempt_id.rsplit(".", 1))]
            case CallerLeft(request_id=request_id):
                attempt_id = f"{request_id}.0"
                cancel = CancelAttempt(attempt_id=attempt_id, reason=CancelReason.CALLER_LEFT)
                return [cancel, Reject(request_id=request_id, code=ResultCode.CALLER_LEFT_RUNNING)]
        return []

    def find_events(self, kind: type) -> list[Any]:
        return [event for event in self.events if isinstance(event, kind)]

    def inspect(self) -> Any:
        return PolicySnapshot(
            classes=(), upstreams=(), open_requests=0, claiming=0, quarantined=0, stopping=False
        )

    def explain(self, request_id: str) -> tuple[str, ...]:
        return ("a note",)

    def dispatch(self, request_id: str, number: int) -> Any:
        return Dispatch(
            request_id=request_id,
            attempt_id=f"{request_id}.{number}",
            upstream=self.upstreams[number],
            priority=0,
            resume_tokens=0,
            **self._timeouts,
        )

    def _handle_failure(self, event: Any, request_id: str, number: str) -> Any:
        next_number = int(number) + 1
        if event.resumable and next_number < len(self.upstreams):
            return self.dispatch(request_id, next_number)
        return Reject(request_id=request_id, code=ResultCode.UPSTREAM_LOST)


class FakeClaims:
    """An in-memory claims store."""

    unsettled = 0

    def __init__(self) -> None:
        self.rows: dict[tuple[str, str], Any] = {}
        self.released: list[ReleaseClaim] = []
        self.recorded: Deferred[bool] | None = None
        self.marked: Deferred[None] | None = None

    def start(self) -> None:
        pass

    def stop(self) -> None:
        pass

    def claim(self, action: AcquireClaim) -> Deferred[ClaimOutcome]:
        row = self.rows.setdefault((action.workspace, action.idempotency_key), action)
        if row is action:
            return succeed(ClaimOutcome.GRANTED)
        if isinstance(row, AcquireClaim):
            return succeed(ClaimOutcome.RUNNING)
        if row == "unknown":
            return succeed(ClaimOutcome.RUN_UNKNOWN)
        return succeed(ClaimOutcome.ANSWERED)

    def release(self, action: ReleaseClaim) -> None:
        self.released.append(action)

    def record_answer(self, workspace: Any, key: Any, attempt_id: Any, answer: Any) -> Any:
        self.rows[workspace, key] = answer
        return self.recorded if self.recorded is not None else succeed(True)

    def mark_unknown(self, workspace: Any, key: Any, attempt_id: Any) -> Any:
        self.rows[workspace, key] = "unknown"
        return self.marked if self.marked is not None else succeed(None)

    def read_answer(self, workspace: Any, key: Any) -> Any:
        return succeed(self.rows.get((workspace, key)))

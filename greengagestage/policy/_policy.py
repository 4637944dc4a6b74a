"""The policy: takes events and the time, returns actions."""

from greengagestage.ids import HostId, RequestId

from ._actions import Action
from ._admission import Admission
from ._dispatching import Dispatcher
from ._events import (
    AttemptAccepted,
    AttemptFailed,
    AttemptFinished,
    AttemptProgressed,
    CallerLeft,
    ClaimAnswered,
    DeclarationAdopted,
    Event,
    FingerprintQuarantined,
    RequestArrived,
    SharesUpdated,
    StopRequested,
    TimerFired,
    UpstreamsReported,
)
from ._outcomes import Outcomes, find_current
from ._routing import Router
from ._snapshot import PolicySnapshot, take_snapshot
from ._state import PolicyState


class Policy:
    """The decisions of one host; the same seed and events give the same actions."""

    def __init__(self, *, host: HostId, seed: int) -> None:
        self._state = PolicyState(host=host, seed=seed)
        self._admission = Admission(state=self._state)
        self._outcomes = Outcomes(state=self._state)
        self._dispatcher = Dispatcher(
            state=self._state, router=Router(upstreams=self._state.upstreams)
        )

    def handle(self, event: Event, now_s: float) -> list[Action]:
        """Take an event in and return what the shell has to do, in order."""
        state = self._state
        state.now_s = max(state.now_s, now_s)
        state.actions = []
        self._apply(event)
        self._dispatcher.fill_dirty_pools()
        return state.actions

    def inspect(self) -> PolicySnapshot:
        """Return what waits and runs now."""
        return take_snapshot(self._state)

    def explain(self, request_id: RequestId) -> tuple[str, ...]:
        """Return the decisions about a request, one line each, oldest first."""
        return self._state.journal.read(request_id)

    def _apply(self, event: Event) -> None:
        match event:
            case RequestArrived(request=request):
                self._admission.admit(request)
            case ClaimAnswered():
                self._settle_claim(event)
            case AttemptAccepted() | AttemptProgressed() | AttemptFinished() | AttemptFailed():
                self._follow_attempt(event)
            case CallerLeft(request_id=request_id):
                self._leave(request_id)
            case StopRequested():
                self._state.stopping = True
            case TimerFired():
                pass
            case _:
                self._learn(event)

    def _follow_attempt(
        self, event: AttemptAccepted | AttemptProgressed | AttemptFinished | AttemptFailed
    ) -> None:
        record = find_current(self._state, event.attempt_id)
        if record is None:
            return
        match event:
            case AttemptAccepted():
                self._outcomes.accept(record)
            case AttemptProgressed(tokens=tokens):
                self._outcomes.progress(record, tokens)
            case AttemptFinished():
                self._outcomes.finish(record)
            case AttemptFailed():
                self._outcomes.fail(record, event)

    def _settle_claim(self, event: ClaimAnswered) -> None:
        record = self._state.records.get(event.request_id)
        if record is None:
            self._admission.settle_orphan_claim(event.request_id, event.outcome)
        else:
            self._admission.settle_claim(record, event.outcome)

    def _leave(self, request_id: RequestId) -> None:
        record = self._state.records.get(request_id)
        if record is not None:
            self._outcomes.leave(record)

    def _learn(self, event: Event) -> None:
        state = self._state
        match event:
            case UpstreamsReported(reports=reports):
                state.upstreams.apply_reports(reports)
            case SharesUpdated(slots=slots, entry_hosts=entry_hosts):
                state.upstreams.apply_shares(slots, entry_hosts)
            case FingerprintQuarantined(fingerprint=fingerprint):
                state.quarantined[fingerprint] = None
            case DeclarationAdopted(declaration=declaration):
                state.adopt(declaration)
        for pool in list(state.queues):
            state.mark_dirty(pool)

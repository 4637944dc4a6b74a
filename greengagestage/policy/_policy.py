"""The entry point of the policy: maps events and the current time to actions."""

from greengagestage.ids import FailureDomain, HostId, RequestId

from ._actions import Action
from ._admission import Admission
from ._dispatching import Dispatcher
from ._events import (
    AttemptAccepted,
    AttemptContinued,
    AttemptFailed,
    AttemptFinished,
    AttemptProgressed,
    AttemptSilent,
    CallerLeft,
    ClaimAnswered,
    CrashReported,
    DeclarationAdopted,
    Event,
    FingerprintQuarantined,
    RequestArrived,
    SharesUpdated,
    StopRequested,
    TimerFired,
    UpstreamsReported,
)
from ._measurements import Measurements
from ._outcomes import OutcomeHandler, find_current_attempt
from ._quarantine import Quarantine
from ._reviews import Reviewer
from ._routing import Router
from ._snapshot import PolicySnapshot, take_snapshot
from ._state import PolicyState

AttemptEvent = (
    AttemptAccepted
    | AttemptProgressed
    | AttemptContinued
    | AttemptSilent
    | AttemptFinished
    | AttemptFailed
)


class Policy:
    """The routing policy of one host; deterministic for a given seed and sequence of events."""

    def __init__(
        self, *, host: HostId, seed: int, failure_domain: FailureDomain | None = None
    ) -> None:
        state = PolicyState(host=host, seed=seed, failure_domain=failure_domain)
        router = Router(state=state)
        self._state = state
        self._quarantine = Quarantine(state=state)
        self._admission = Admission(state=state, router=router)
        self._outcomes = OutcomeHandler(
            state=state,
            router=router,
            quarantine=self._quarantine,
            measurements=Measurements(state=state),
        )
        self._dispatcher = Dispatcher(state=state, router=router)
        self._reviewer = Reviewer(state=state)

    def handle(self, event: Event, now_s: float) -> list[Action]:
        """Process an event and return the actions to carry out, in order."""
        state = self._state
        state.now_s = max(state.now_s, now_s)
        state.actions = []
        self._apply(event)
        self._reviewer.process_expired_timers()
        self._dispatcher.fill_dirty_pools()
        self._reviewer.emit_wakeup()
        return state.actions

    def inspect(self) -> PolicySnapshot:
        """Return a snapshot of queues, running requests and upstreams."""
        return take_snapshot(self._state)

    def explain(self, request_id: RequestId) -> tuple[str, ...]:
        """Return the logged decisions about a request, one line each, oldest first."""
        return self._state.journal.read(request_id)

    def _apply(self, event: Event) -> None:
        match event:
            case RequestArrived(request=request):
                self._admission.admit(request)
            case ClaimAnswered():
                self._handle_claim_answer(event)
            case AttemptAccepted() | AttemptProgressed() | AttemptContinued() | AttemptSilent():
                self._handle_attempt_event(event)
            case AttemptFinished() | AttemptFailed():
                self._handle_attempt_event(event)
            case CallerLeft(request_id=request_id):
                self._handle_caller_left(request_id)
            case StopRequested():
                self._state.stopping = True
            case TimerFired():
                self._state.timers.clear_requested()
            case CrashReported(fingerprint=fingerprint, upstream=upstream):
                self._quarantine.handle_remote_crash(fingerprint, upstream)
            case FingerprintQuarantined(fingerprint=fingerprint):
                self._quarantine.apply(fingerprint)
            case _:
                self._update_environment(event)

    def _handle_attempt_event(self, event: AttemptEvent) -> None:
        current = find_current_attempt(self._state, event.attempt_id)
        if current is None:
            return
        record, attempt = current
        match event:
            case AttemptFailed():
                self._outcomes.fail(record, attempt, event)
                return
            case AttemptSilent(resumable=resumable):
                self._outcomes.handle_silence(record, attempt, resumable=resumable)
                return
        self._outcomes.select_attempt(record, attempt)
        match event:
            case AttemptAccepted():
                self._outcomes.accept(record, attempt)
            case AttemptProgressed(tokens=tokens):
                self._outcomes.progress(record, attempt, tokens)
            case AttemptFinished():
                self._outcomes.finish(record, attempt)

    def _handle_claim_answer(self, event: ClaimAnswered) -> None:
        record = self._state.records.get(event.request_id)
        if record is None:
            self._admission.handle_orphan_claim_outcome(event.request_id, event.outcome)
        else:
            self._admission.handle_claim_outcome(record, event.outcome)

    def _handle_caller_left(self, request_id: RequestId) -> None:
        record = self._state.records.get(request_id)
        if record is not None:
            self._outcomes.handle_caller_left(record)

    def _update_environment(self, event: Event) -> None:
        state = self._state
        match event:
            case UpstreamsReported(reports=reports):
                state.upstreams.apply_reports(reports)
            case SharesUpdated(slots=slots, entry_hosts=entry_hosts):
                state.upstreams.apply_shares(slots, entry_hosts)
                state.limits.entry_hosts = max(entry_hosts, 1)
            case DeclarationAdopted(declaration=declaration):
                state.adopt(declaration)
        self._outcomes.reject_unservable()
        for pool in state.pools:
            state.dirty_pools[pool] = None

"""The shell around the policy: feeds it events and carries out its actions."""

from collections import deque
from typing import Any

from twisted.internet.base import DelayedCall
from twisted.python.failure import Failure

from greengagestage.ids import RequestId
from greengagestage.policy import (
    AcquireClaim,
    Action,
    CallerLeft,
    CancelAttempt,
    ClaimAnswered,
    ClaimOutcome,
    Deliver,
    Dispatch,
    Event,
    QuarantineFingerprint,
    Reject,
    ReleaseClaim,
    ReplayAnswer,
    ReportCrash,
    RequestArrived,
    TimerFired,
    WakeAt,
)
from greengagestage.results import ResultCode
from greengagestage.telemetry import EntryMetrics, log_current_fault, log_fault
from greengagestage.upstream import ConnectionPool
from greengagestage.wire import CrashReport, QuarantineNotice

from ._active import ActiveRequest
from ._calls import Call
from ._completions import HeaderList
from ._conclusions import Conclusions
from ._deliveries import build_delivery
from ._directory import Directory
from ._dispatch import Dispatcher
from ._http import CallerRequest
from ._ports import Claims, Outbox, RoutingPolicy
from ._requests import OpenRequests
from ._settings import DeliveryLimits


class Shell:
    """Owns the policy. All that it knows of the world comes in through ``feed``."""

    def __init__(
        self,
        *,
        reactor: Any,
        policy: RoutingPolicy,
        pool: ConnectionPool,
        claims: Claims,
        metrics: EntryMetrics,
        outbox: Outbox,
        limits: DeliveryLimits,
    ) -> None:
        self.policy = policy
        self.requests = OpenRequests()
        self._reactor = reactor
        self._claims = claims
        self._metrics = metrics
        self._outbox = outbox
        self._limits = limits
        self._dispatcher = Dispatcher(
            reactor=reactor, pool=pool, outbox=outbox, requests=self.requests, feed=self.feed
        )
        self.conclusions = Conclusions(
            reactor=reactor, claims=claims, metrics=metrics, limits=limits, requests=self.requests
        )
        self._events: deque[Event] = deque()
        self._busy = False
        self._wake: DelayedCall | None = None

    @property
    def is_idle(self) -> bool:
        """No request is open, and no answer waits for the store."""
        return not self.requests and self.conclusions.unsettled == 0

    def adopt(self, directory: Directory) -> None:
        """Send later attempts to the upstreams of this version."""
        self._dispatcher.directory = directory

    def submit(self, call: Call, caller: CallerRequest, headers: HeaderList) -> None:
        """Take in a valid request."""
        request = call.request
        active = ActiveRequest(
            reactor=self._reactor,
            call=call,
            caller=caller,
            headers=headers,
            delivery=build_delivery(call, caller, headers, self._limits),
            timer=self._metrics.get_timer(request.service_class, request.workspace),
            stall_limit_s=self._limits.caller_stall_s,
            feed=self.feed,
        )
        self.requests.add(active)
        caller.listener = active
        self.feed(RequestArrived(request=request))

    def feed(self, event: Event) -> None:
        """Tell the policy what happened, and carry out what it answers.

        An event that comes up meanwhile waits until all actions of this one are carried out.
        """
        self._events.append(event)
        if self._busy:
            return
        self._busy = True
        try:
            while self._events:
                self._handle(self._events.popleft())
        finally:
            self._busy = False

    def stop(self) -> None:
        """Forget the pending timer."""
        if self._wake is not None and self._wake.active():
            self._wake.cancel()

    def _handle(self, event: Event) -> None:
        try:
            for action in self.policy.handle(event, self._reactor.seconds()):
                self._carry_out(action)
        except Exception:
            log_current_fault("entry: fault of the router", event=type(event).__name__)
            self._give_up(event)

    def _carry_out(self, action: Action) -> None:
        match action:
            case Dispatch():
                self._dispatcher.dispatch(action)
            case CancelAttempt(attempt_id=attempt_id):
                self._dispatcher.cancel(attempt_id)
            case Deliver(request_id=request_id):
                self.conclusions.deliver(request_id)
            case Reject(request_id=request_id, code=code, retry_after_s=retry_after_s):
                self.conclusions.reject(request_id, code, retry_after_s)
            case ReplayAnswer(request_id=request_id):
                self.conclusions.replay(request_id)
            case WakeAt(at_s=at_s):
                self._wake_at(at_s)
            case AcquireClaim():
                self._ask_claim(action)
            case ReleaseClaim():
                self._claims.give_up(action)
            case ReportCrash(fingerprint=fingerprint, upstream=upstream):
                self._outbox.send(CrashReport(fingerprint=fingerprint, upstream=upstream))
            case QuarantineFingerprint(fingerprint=fingerprint):
                self._outbox.send(QuarantineNotice(fingerprint=fingerprint))

    def _ask_claim(self, ask: AcquireClaim) -> None:
        active = self.requests.get(ask.request_id)
        if active is not None:
            active.claim = ask
        outcome = self._claims.claim(ask)
        outcome.addErrback(_report_unavailable)
        outcome.addCallback(self._answer_claim, ask.request_id)

    def _answer_claim(self, outcome: ClaimOutcome, request_id: RequestId) -> None:
        active = self.requests.get(request_id)
        if active is not None and outcome is not ClaimOutcome.GRANTED:
            active.claim = None
        self.feed(ClaimAnswered(request_id=request_id, outcome=outcome))

    def _wake_at(self, at_s: float) -> None:
        delay_s = max(0.0, at_s - self._reactor.seconds())
        if self._wake is not None and self._wake.active():
            self._wake.reset(delay_s)
        else:
            self._wake = self._reactor.callLater(delay_s, self._fire_timer)

    def _fire_timer(self) -> None:
        self.feed(TimerFired())

    def _give_up(self, event: Event) -> None:
        """End the request that a fault of the router concerns, so that it cannot hang."""
        request_id = self._find_request(event)
        if request_id is None:
            return
        self.conclusions.reject(request_id, ResultCode.INTERNAL_ERROR)
        if not isinstance(event, CallerLeft):
            self._events.append(CallerLeft(request_id=request_id))

    def _find_request(self, event: Event) -> RequestId | None:
        if isinstance(event, RequestArrived):
            return event.request.request_id
        request_id: RequestId | None = getattr(event, "request_id", None)
        attempt_id = getattr(event, "attempt_id", None)
        if request_id is None and attempt_id is not None:
            active = self.requests.find(attempt_id)
            return None if active is None else active.request_id
        return request_id


def _report_unavailable(failure: Failure) -> ClaimOutcome:
    log_fault("entry: fault of the claims store", failure)
    return ClaimOutcome.UNAVAILABLE

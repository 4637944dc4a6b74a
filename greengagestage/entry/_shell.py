"""The imperative shell around the policy: feeds it events and executes its actions."""

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
from greengagestage.telemetry import EntryMetrics, log_current_exception, log_unexpected_failure
from greengagestage.upstream import ConnectionPool
from greengagestage.wire import CrashReport, QuarantineNotice

from ._active import ActiveRequest
from ._calls import Call
from ._completions import HeaderList
from ._conclusions import RequestFinisher
from ._deliveries import build_delivery
from ._directory import Directory
from ._dispatch import Dispatcher
from ._http import CallerRequest
from ._ports import Claims, MessageSender, RoutingPolicy
from ._requests import OpenRequests
from ._settings import DeliveryLimits


class Shell:
    """Owns the policy, which does no input or output, and executes its actions.

    The policy learns of everything that happens through ``feed``.
    """

    def __init__(
        self,
        *,
        reactor: Any,
        policy: RoutingPolicy,
        pool: ConnectionPool,
        claims: Claims,
        metrics: EntryMetrics,
        sender: MessageSender,
        limits: DeliveryLimits,
    ) -> None:
        self.policy = policy
        self.requests = OpenRequests()
        self._reactor = reactor
        self._claims = claims
        self._metrics = metrics
        self._sender = sender
        self._limits = limits
        self._dispatcher = Dispatcher(
            reactor=reactor, pool=pool, sender=sender, requests=self.requests, feed=self.feed
        )
        self.finisher = RequestFinisher(
            reactor=reactor, claims=claims, metrics=metrics, limits=limits, requests=self.requests
        )
        self._events: deque[Event] = deque()
        self._is_handling = False
        self._wakeup: DelayedCall | None = None

    @property
    def is_idle(self) -> bool:
        """Whether no request is open and no call to the claims store is pending."""
        return not self.requests and self.finisher.pending_store_calls == 0

    def adopt(self, directory: Directory) -> None:
        """Use this version of the configuration to address upstreams from now on."""
        self._dispatcher.directory = directory

    def submit(self, call: Call, caller: CallerRequest, headers: HeaderList) -> None:
        """Register a validated request and pass it to the policy."""
        request = call.request
        active = ActiveRequest(
            reactor=self._reactor,
            call=call,
            caller=caller,
            headers=headers,
            delivery=build_delivery(call, caller, headers, self._limits),
            timer=self._metrics.create_request_timer(request.service_class, request.workspace),
            stall_limit_s=self._limits.caller_stall_s,
            feed=self.feed,
        )
        self.requests.add(active)
        caller.listener = active
        self.feed(RequestArrived(request=request))

    def feed(self, event: Event) -> None:
        """Pass an event to the policy and execute the actions it returns.

        Executing an action may raise further events. They are queued until all actions of the
        current event have been executed.
        """
        self._events.append(event)
        if self._is_handling:
            return
        self._is_handling = True
        try:
            while self._events:
                self._handle(self._events.popleft())
        finally:
            self._is_handling = False

    def stop(self) -> None:
        """Cancel the pending timer."""
        if self._wakeup is not None and self._wakeup.active():
            self._wakeup.cancel()

    def _handle(self, event: Event) -> None:
        try:
            for action in self.policy.handle(event, self._reactor.seconds()):
                self._execute(action)
        except Exception:
            log_current_exception("entry: fault of the router", event=type(event).__name__)
            self._abort_request(event)

    def _execute(self, action: Action) -> None:
        match action:
            case Dispatch():
                self._dispatcher.dispatch(action)
            case CancelAttempt(attempt_id=attempt_id):
                self._dispatcher.cancel(attempt_id)
            case Deliver(request_id=request_id):
                self.finisher.deliver(request_id)
            case Reject(request_id=request_id, code=code, retry_after_s=retry_after_s):
                self.finisher.reject(request_id, code, retry_after_s)
            case ReplayAnswer(request_id=request_id):
                self.finisher.replay(request_id)
            case WakeAt(at_s=at_s):
                self._schedule_wakeup(at_s)
            case AcquireClaim():
                self._acquire_claim(action)
            case ReleaseClaim():
                self._claims.release(action)
            case ReportCrash(fingerprint=fingerprint, upstream=upstream):
                self._sender.send(CrashReport(fingerprint=fingerprint, upstream=upstream))
            case QuarantineFingerprint(fingerprint=fingerprint):
                self._sender.send(QuarantineNotice(fingerprint=fingerprint))

    def _acquire_claim(self, action: AcquireClaim) -> None:
        active = self.requests.get(action.request_id)
        if active is not None:
            active.claim = action
        outcome = self._claims.claim(action)
        outcome.addErrback(_treat_as_unavailable)
        outcome.addCallback(self._handle_claim_outcome, action.request_id)

    def _handle_claim_outcome(self, outcome: ClaimOutcome, request_id: RequestId) -> None:
        active = self.requests.get(request_id)
        if active is not None and outcome is not ClaimOutcome.GRANTED:
            active.claim = None
        self.feed(ClaimAnswered(request_id=request_id, outcome=outcome))

    def _schedule_wakeup(self, at_s: float) -> None:
        delay_s = max(0.0, at_s - self._reactor.seconds())
        if self._wakeup is not None and self._wakeup.active():
            self._wakeup.reset(delay_s)
        else:
            self._wakeup = self._reactor.callLater(delay_s, self._fire_timer)

    def _fire_timer(self) -> None:
        self.feed(TimerFired())

    def _abort_request(self, event: Event) -> None:
        """End the request of an event whose handling failed, so that its caller does not hang.

        The policy has no event for an internal error, so ``CallerLeft`` makes it drop the request;
        the caller itself receives a refusal.
        """
        request_id = self._find_request_id(event)
        if request_id is None:
            return
        self.finisher.reject(request_id, ResultCode.INTERNAL_ERROR)
        if not isinstance(event, CallerLeft):
            self._events.append(CallerLeft(request_id=request_id))

    def _find_request_id(self, event: Event) -> RequestId | None:
        if isinstance(event, RequestArrived):
            return event.request.request_id
        request_id: RequestId | None = getattr(event, "request_id", None)
        attempt_id = getattr(event, "attempt_id", None)
        if request_id is None and attempt_id is not None:
            active = self.requests.find_by_attempt(attempt_id)
            return None if active is None else active.request_id
        return request_id


def _treat_as_unavailable(failure: Failure) -> ClaimOutcome:
    log_unexpected_failure("entry: fault of the claims store", failure)
    return ClaimOutcome.UNAVAILABLE

"""The life of one request: placed, sent, perhaps sent again, and answered once."""

from dataclasses import dataclass
from typing import Any

from greengagestage.catalog import RouteKind, Workspace
from greengagestage.http1 import IncomingRequest, OutgoingRequest, Responder, ResponseHead
from greengagestage.ids import ClassName, Fingerprint, InstanceId, WorkspaceId
from greengagestage.platform import UpstreamRequestMetadata, build_upstream_headers
from greengagestage.refusals import Refusal
from greengagestage.results import ResultCode
from greengagestage.routing import AttemptEnd, Job, Placement, Refused, Waiting
from greengagestage.telemetry import Timing

from ._attempt import Attempt, AttemptFault, AttemptPlan
from ._context import ExchangeContext
from ._delivery import Delivery
from ._exchange_log import Conclusion, ExchangeLog
from ._refusal_answers import answer_refusal

MAX_SENDS = 4
"""Sendings of one request, those that prove not run included."""

ANSWER_SLACK_S = 0.05
"""An upstream's own answer at the deadline is waited for this long: links take a few ms."""

MIN_USEFUL_S = 0.03
"""Less time than this is too short for another upstream: plain answers take some 20 ms."""

PLAIN_PATIENCE_FACTOR = 4.0
MIN_PLAIN_PATIENCE_S = 0.25
"""A plain upstream silent for four times its usual answer, and longer than nearly all answers
take, is given up where the request may repeat."""

FIRST_EVENT_PATIENCE_FACTOR = 3.0
MIN_FIRST_EVENT_PATIENCE_S = 0.7
"""A resumable stream's first event is given up after three times its forecast; callers leave
after two seconds at the earliest."""

NEXT_EVENT_PATIENCE_S = 0.9
"""A resumable stream goes on elsewhere after a pause that is late on every sheet."""

REFUSED_RETRY_S = 0.3
"""When to come back after upstreams refused for want of room."""


@dataclass(frozen=True, slots=True, kw_only=True)
class ExchangeInputs:
    """A request with all that was found out about it."""

    request: IncomingRequest
    job: Job
    workspace: Workspace | None
    fingerprint: Fingerprint
    version: int
    version_age_s: float | None


class RequestExchange:
    """Carries one request through; hears its caller and its attempts."""

    def __init__(
        self, *, context: ExchangeContext, inputs: ExchangeInputs, responder: Responder
    ) -> None:
        self._context = context
        self._inputs = inputs
        self._job = inputs.job
        self._route = inputs.job.route
        self._responder = responder
        self._attempt: Attempt | None = None
        self._tried: frozenset[InstanceId] = frozenset()
        self._sends = 0
        self._runs = 0
        self._last_fault: AttemptFault | None = None
        self._done = False
        self._deadline: Any = None
        self._patience: Any = None
        self._review: Any = None
        self._waited = False
        workspace = "" if inputs.workspace is None else inputs.workspace.name
        timer = context.metrics.get_timer(ClassName(self._route.name), WorkspaceId(workspace))
        self._timer = timer
        self._delivery = Delivery(
            responder=responder,
            seconds=context.reactor.seconds,
            timer=timer,
            arrived_s=inputs.job.arrived_s,
        )
        self._log = ExchangeLog(
            job=inputs.job, version=inputs.version, version_age_s=inputs.version_age_s
        )

    def start(self) -> None:
        """Place the request and wait for its answer until its deadline."""
        reactor = self._context.reactor
        self._context.open_exchanges.add(self)
        self._responder.listener = self
        left_s = self._job.deadline_s - reactor.seconds() + ANSWER_SLACK_S
        self._deadline = reactor.callLater(max(left_s, 0.0), self._time_out)
        self._send_next()

    # What the caller does.

    def handle_disconnect(self) -> None:
        """The caller is gone: stop the work, unless it must not be stopped half way."""
        if self._done:
            return
        if self._attempt is not None:
            if self._route.kind is RouteKind.NON_IDEMPOTENT:
                self._attempt.detach()
            else:
                self._attempt.cancel()
        running = self._runs > 0
        self._conclude(ResultCode.CALLER_LEFT_RUNNING if running else ResultCode.CALLER_LEFT)

    def pause(self) -> None:
        """The caller reads too slowly."""
        if self._attempt is not None:
            self._attempt.pause()

    def resume(self) -> None:
        """The caller has caught up."""
        if self._attempt is not None:
            self._attempt.resume()

    # What the attempts do.

    def attempt_opened(self, attempt: Attempt) -> OutgoingRequest | None:
        """Return the request as this upstream gets it."""
        left_s = self._job.deadline_s - self._context.reactor.seconds()
        if self._done or left_s <= 0:
            return None
        if attempt.plan.number == 1:
            waited_s = self._context.reactor.seconds() - self._job.arrived_s
            self._timer.observe(Timing.QUEUE_WAIT, waited_s)
        self._runs += 1
        workspace = self._inputs.workspace
        order = UpstreamRequestMetadata(
            instance=attempt.plan.placement.upstream.instance,
            time_left_s=left_s,
            workspace=None if workspace is None else workspace.name,
            urgency=None if self._job.prompt is None else self._job.urgency,
            last_event_id=self._delivery.last_event_id,
        )
        request = self._inputs.request
        return OutgoingRequest(
            method=request.method,
            target=request.target,
            headers=build_upstream_headers(request.headers, order),
            body=request.body,
        )

    def attempt_answers(self, attempt: Attempt, head: ResponseHead) -> None:
        """Begin to pass a stream on, or to keep a plain answer."""
        streams = self._route.kind is RouteKind.STREAM and 200 <= head.status < 300
        if self._delivery.is_stream and not streams:
            attempt.cancel(AttemptEnd.FAILED)
            self._handle_fault(attempt, AttemptFault.MALFORMED)
            return
        if not streams:
            self._delivery.begin_plain(head)
            return
        self._delivery.begin_stream(head)
        self._watch_events()

    def attempt_continues(self, attempt: Attempt, data: bytes) -> None:
        """Pass whole events on, or keep the piece."""
        if self._delivery.take(data):
            self._watch_events()

    def attempt_ended(self, attempt: Attempt) -> None:
        """Deliver a whole answer, or try again where the upstream failed."""
        head = self._delivery.head
        if head is not None and head.status >= 500:
            attempt.settle_as(AttemptEnd.FAILED)
            if not self._delivery.begun and self._take_repeat():
                self._delivery.forget()
                self._send_next()
                return
        if self._delivery.finish():
            self._conclude(ResultCode.DELIVERED)
        else:
            self._handle_fault(attempt, AttemptFault.LOST)

    def attempt_failed(self, attempt: Attempt, fault: AttemptFault) -> None:
        """Try again where that is safe, or tell the caller."""
        self._handle_fault(attempt, fault)

    # Decisions.

    def _send_next(self) -> None:
        now_s = self._context.reactor.seconds()
        if self._context.strikes.is_quarantined(self._inputs.fingerprint, now_s):
            ran = self._runs > 0
            code = ResultCode.CRASHED_UPSTREAMS if ran else ResultCode.QUARANTINED
            self._refuse(Refusal(code=code))
            return
        placed = self._context.router.place(self._job, now_s, self._tried)
        match placed:
            case Refused():
                self._fail_placement(placed)
            case Placement():
                self._send_to(placed)
            case Waiting():
                self._wait(placed)

    def _wait(self, waiting: Waiting) -> None:
        if not self._waited:
            self._waited = True
            self._log.note_waiting(waiting)
        self._review = self._context.reactor.callLater(waiting.delay_s, self._send_next)

    def _send_to(self, placement: Placement) -> None:
        self._sends += 1
        self._log.note_sent(placement, self._sends)
        plan = AttemptPlan(
            attempt_id=self._job.attempt_id,
            number=self._sends,
            placement=placement,
            cautious=not self._route.is_retryable,
        )
        self._attempt = Attempt(context=self._context, plan=plan, listener=self)
        self._tried |= {placement.upstream.instance}
        self._watch_first_answer(placement)
        self._attempt.start()

    def _handle_fault(self, attempt: Attempt, fault: AttemptFault) -> None:
        self._stop_patience()
        self._attempt = None
        self._last_fault = fault
        if fault.proves_not_run and attempt.sent_s is not None:
            self._runs -= 1
        if fault is AttemptFault.LOST:
            self._note_strike(attempt)
        self._log.note_fault(attempt, fault, self._delivery)
        if self._may_send_again(fault):
            self._delivery.forget()
            self._send_next()
            return
        self._fail(fault)

    def _may_send_again(self, fault: AttemptFault) -> bool:
        if not self._has_time() or self._sends >= MAX_SENDS:
            return False
        if fault is AttemptFault.UNREACHABLE:
            return self._runs == 0 or self._route.is_retryable
        if fault.proves_not_run:
            now_s = self._context.reactor.seconds()
            return self._context.router.try_acquire_retry(self._job.service, now_s)
        return self._take_repeat()

    def _take_repeat(self) -> bool:
        """Return whether a request that may have run is sent once more, and count it."""
        if not self._route.is_retryable or self._runs >= self._route.max_attempts:
            return False
        if not self._has_time() or self._sends >= MAX_SENDS:
            return False
        if not self._delivery.can_restart:
            return False
        now_s = self._context.reactor.seconds()
        return self._context.router.try_acquire_retry(self._job.service, now_s)

    def _has_time(self) -> bool:
        return bool(self._job.deadline_s - self._context.reactor.seconds() >= MIN_USEFUL_S)

    def _fail_placement(self, refused: Refused) -> None:
        if self._runs > 0 or self._delivery.begun:
            self._fail(self._last_fault or AttemptFault.LOST)
            return
        self._refuse(
            Refusal(code=refused.code, detail=refused.reason, retry_after_s=refused.retry_after_s)
        )

    def _fail(self, fault: AttemptFault) -> None:
        if self._runs == 0 and not self._delivery.begun:
            code = ResultCode.UPSTREAM_REFUSED
            if fault is AttemptFault.UNREACHABLE:
                code = ResultCode.NO_UPSTREAM
            self._refuse(Refusal(code=code, detail=fault.value, retry_after_s=REFUSED_RETRY_S))
            return
        match fault:
            case AttemptFault.SILENT:
                self._refuse(Refusal(code=ResultCode.UPSTREAM_SILENT))
            case AttemptFault.MALFORMED:
                self._refuse(Refusal(code=ResultCode.ANSWER_INCOMPLETE))
            case _:
                self._refuse(Refusal(code=ResultCode.UPSTREAM_LOST))

    def _time_out(self) -> None:
        """Give the final answer at the deadline."""
        if self._attempt is not None:
            self._attempt.cancel()
        running = self._runs > 0
        code = ResultCode.DEADLINE_PASSED_RUNNING if running else ResultCode.DEADLINE_PASSED
        self._refuse(Refusal(code=code))

    # Waiting for answers.

    def _watch_first_answer(self, placement: Placement) -> None:
        if not self._route.is_retryable or self._runs + 1 >= self._route.max_attempts:
            return
        if self._job.prompt is None:
            patience_s = max(PLAIN_PATIENCE_FACTOR * placement.expected_s, MIN_PLAIN_PATIENCE_S)
        else:
            forecast_s = FIRST_EVENT_PATIENCE_FACTOR * placement.expected_s
            patience_s = max(forecast_s, MIN_FIRST_EVENT_PATIENCE_S)
        self._set_patience(patience_s)

    def _watch_events(self) -> None:
        if self._route.is_retryable and self._runs < self._route.max_attempts:
            self._set_patience(NEXT_EVENT_PATIENCE_S)

    def _set_patience(self, patience_s: float) -> None:
        self._stop_patience()
        self._patience = self._context.reactor.callLater(patience_s, self._lose_patience)

    def _lose_patience(self) -> None:
        """Give a silent upstream up where another one may run the request."""
        attempt = self._attempt
        if attempt is None or not self._take_repeat():
            return
        attempt.cancel(AttemptEnd.LOST)
        self._attempt = None
        self._last_fault = AttemptFault.SILENT
        self._log.note_fault(attempt, AttemptFault.SILENT, self._delivery)
        self._delivery.forget()
        self._send_next()

    def _stop_patience(self) -> None:
        if self._patience is not None and self._patience.active():
            self._patience.cancel()
        self._patience = None

    # The end.

    def _refuse(self, refusal: Refusal) -> None:
        """Give the final answer: a refusal, or a cut where the answer has begun."""
        if self._delivery.begun:
            self._responder.abort()
        else:
            left_s = self._job.deadline_s - self._context.reactor.seconds()
            answer_refusal(self._responder, refusal, time_left_s=left_s)
        self._conclude(refusal.code, refusal.retry_after_s)

    def _conclude(self, code: ResultCode, retry_after_s: float | None = None) -> None:
        self._done = True
        self._attempt = None
        self._responder.listener = None
        self._stop_patience()
        for timer in (self._deadline, self._review):
            if timer is not None and timer.active():
                timer.cancel()
        self._context.open_exchanges.discard(self)
        elapsed_s = self._context.reactor.seconds() - self._job.arrived_s
        self._timer.observe(Timing.ANSWER, elapsed_s)
        self._context.metrics.count_result(code, ClassName(self._route.name))
        conclusion = Conclusion(
            code=code,
            sends=self._sends,
            waited=self._waited,
            elapsed_s=elapsed_s,
            retry_after_s=retry_after_s,
        )
        self._log.note_end(conclusion, self._delivery)

    def _note_strike(self, attempt: Attempt) -> None:
        fingerprint = self._inputs.fingerprint
        strike = f"{self._job.attempt_id}.{attempt.plan.number}"
        now_s = self._context.reactor.seconds()
        count = self._context.strikes.record_loss(fingerprint, strike, now_s)
        self._context.report_strike(fingerprint, strike)
        if count > 1:
            self._log.note_strikes(fingerprint, count)

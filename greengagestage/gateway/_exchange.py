"""The exchange of one caller's request: places, sends and if safe retries it, answers it once."""

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
from ._exchange_log import ExchangeLog, ExchangeOutcome
from ._refusal_answers import answer_refusal

MAX_SENDS = 4
"""Maximum number of attempts to send one request, including those that provably did not run it.
``Route.max_attempts`` limits only the attempts that may have run it."""

DEADLINE_SLACK_S = 0.05
"""Time after the deadline in which an upstream's own answer is still awaited: links add a few
milliseconds."""

MIN_TIME_FOR_RETRY_S = 0.03
"""No retry is started with less time left than this: plain answers take about 20 ms."""

PLAIN_TIMEOUT_FACTOR = 4.0
MIN_PLAIN_TIMEOUT_S = 0.25
"""A retryable request that describes no prompt is sent elsewhere unless its answer is complete, or
its stream has begun, within four times the upstream's expected answer time, and at least this time,
which is longer than nearly all answers take. Data of a plain answer does not extend the time."""

FIRST_EVENT_TIMEOUT_FACTOR = 3.0
MIN_FIRST_EVENT_TIMEOUT_S = 0.7
"""A retryable request that describes its prompt is sent elsewhere unless its stream has begun, or
its plain answer is complete, within three times the forecast time to the first event, and at least
this time. Callers disconnect after two seconds at the earliest."""

NEXT_EVENT_TIMEOUT_S = 0.9
"""A retryable stream is resumed elsewhere if no event arrives for this long after its head or its
last event. A pause this long misses the target for time between events in every operator's
requirements."""

REFUSED_RETRY_AFTER_S = 0.3
"""``Retry-After`` once upstreams have refused a request for lack of capacity."""


@dataclass(frozen=True, slots=True, kw_only=True)
class ExchangeInputs:
    """A request with what admission determined about it.

    Attributes:
        workspace: The workspace that owns the caller's key; None on routes without keys.
        fingerprint: Hash that is equal for equal requests of one caller.
        version: Version of the configuration that admitted the request.
        version_age_s: Time since that version was known to be the newest.
    """

    request: IncomingRequest
    job: Job
    workspace: Workspace | None
    fingerprint: Fingerprint
    version: int
    version_age_s: float | None


class RequestExchange:
    """Handles one caller's request until its final answer; listens to its caller and its attempts.

    Each attempt is at most one ``http1.Exchange`` on a connection to an upstream.
    """

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
        self._possible_runs = 0  # attempts that may have run, or may be running, the request
        self._last_fault: AttemptFault | None = None
        self._done = False
        self._deadline_timer: Any = None
        self._response_timer: Any = None
        self._placement_timer: Any = None
        self._waited = False
        workspace = "" if inputs.workspace is None else inputs.workspace.name
        # In the metrics, the route takes the place of a service class.
        timer = context.metrics.create_request_timer(
            ClassName(self._route.name), WorkspaceId(workspace)
        )
        self._request_timer = timer
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
        remaining_s = self._job.deadline_s - reactor.seconds() + DEADLINE_SLACK_S
        self._deadline_timer = reactor.callLater(max(remaining_s, 0.0), self._handle_deadline)
        self._send_next()

    # Caller events.

    def handle_disconnect(self) -> None:
        """Handle the caller's disconnect.

        The attempt is cancelled, except for a non-idempotent request, which must not be stopped
        halfway.
        """
        if self._done:
            return
        if self._attempt is not None:
            if self._route.kind is RouteKind.NON_IDEMPOTENT:
                self._attempt.detach()
            else:
                self._attempt.cancel()
        may_have_run = self._possible_runs > 0
        self._conclude(ResultCode.CALLER_LEFT_RUNNING if may_have_run else ResultCode.CALLER_LEFT)

    def pause(self) -> None:
        """Stop reading from the upstream, since the caller reads too slowly."""
        if self._attempt is not None:
            self._attempt.pause()

    def resume(self) -> None:
        """Read from the upstream again, since the caller has caught up."""
        if self._attempt is not None:
            self._attempt.resume()

    # Attempt events.

    def prepare_attempt_request(self, attempt: Attempt) -> OutgoingRequest | None:
        """Return the request to send to this upstream; None past the deadline or when done.

        A returned request is counted as one that may have run. For the first attempt, the time
        since the request's arrival is recorded in the metrics.
        """
        remaining_s = self._job.deadline_s - self._context.reactor.seconds()
        if self._done or remaining_s <= 0:
            return None
        if attempt.plan.number == 1:
            waited_s = self._context.reactor.seconds() - self._job.arrived_s
            self._request_timer.observe(Timing.QUEUE_WAIT, waited_s)
        self._possible_runs += 1
        workspace = self._inputs.workspace
        metadata = UpstreamRequestMetadata(
            instance=attempt.plan.placement.upstream.instance,
            time_left_s=remaining_s,
            workspace=None if workspace is None else workspace.name,
            urgency=None if self._job.prompt is None else self._job.urgency,
            last_event_id=self._delivery.last_event_id,
        )
        request = self._inputs.request
        return OutgoingRequest(
            method=request.method,
            target=request.target,
            headers=build_upstream_headers(request.headers, metadata),
            body=request.body,
        )

    def attempt_head_received(self, attempt: Attempt, head: ResponseHead) -> None:
        """Start relaying a stream or buffering a plain answer."""
        streams = self._route.kind is RouteKind.STREAM and 200 <= head.status < 300
        if self._delivery.is_stream and not streams:
            attempt.cancel(AttemptEnd.FAILED)
            self._handle_fault(attempt, AttemptFault.MALFORMED)
            return
        if not streams:
            self._delivery.begin_plain(head)
            return
        self._delivery.begin_stream(head)
        self._start_next_event_timer()

    def attempt_body_received(self, attempt: Attempt, data: bytes) -> None:
        """Relay complete events, or buffer a part of a plain answer."""
        if self._delivery.feed(data):
            self._start_next_event_timer()

    def attempt_ended(self, attempt: Attempt) -> None:
        """Deliver a complete answer, or retry if the upstream answered with a server error."""
        head = self._delivery.head
        if head is not None and head.status >= 500:
            attempt.settle_early(AttemptEnd.FAILED)
            if not self._delivery.begun and self._try_acquire_retry():
                self._delivery.discard_undelivered()
                self._send_next()
                return
        if self._delivery.finish():
            self._conclude(ResultCode.DELIVERED)
        else:
            self._handle_fault(attempt, AttemptFault.LOST)

    def attempt_failed(self, attempt: Attempt, fault: AttemptFault) -> None:
        """Retry if that is safe, else refuse the request."""
        self._handle_fault(attempt, fault)

    # Placement and retries.

    def _send_next(self) -> None:
        now_s = self._context.reactor.seconds()
        if self._context.losses.is_quarantined(self._inputs.fingerprint, now_s):
            may_have_run = self._possible_runs > 0
            code = ResultCode.CRASHED_UPSTREAMS if may_have_run else ResultCode.QUARANTINED
            self._refuse(Refusal(code=code))
            return
        placed = self._context.router.place(self._job, now_s, self._tried)
        match placed:
            case Refused():
                self._refuse_unplaced(placed)
            case Placement():
                self._send_to(placed)
            case Waiting():
                self._schedule_placement(placed)

    def _schedule_placement(self, waiting: Waiting) -> None:
        if not self._waited:
            self._waited = True
            self._log.log_waiting(waiting)
        self._placement_timer = self._context.reactor.callLater(waiting.delay_s, self._send_next)

    def _send_to(self, placement: Placement) -> None:
        self._sends += 1
        self._log.log_sent(placement, self._sends)
        plan = AttemptPlan(
            attempt_id=self._job.attempt_id,
            number=self._sends,
            placement=placement,
            non_retryable=not self._route.is_retryable,
        )
        self._attempt = Attempt(context=self._context, plan=plan, listener=self)
        self._tried |= {placement.upstream.instance}
        self._start_first_answer_timer(placement)
        self._attempt.start()

    def _handle_fault(self, attempt: Attempt, fault: AttemptFault) -> None:
        self._cancel_response_timer()
        self._attempt = None
        self._last_fault = fault
        if fault.proves_not_run and attempt.sent_s is not None:
            self._possible_runs -= 1
        if fault is AttemptFault.LOST:
            self._record_loss(attempt)
        self._log.log_attempt_fault(attempt, fault, self._delivery)
        if self._try_acquire_resend(fault):
            self._delivery.discard_undelivered()
            self._send_next()
            return
        self._refuse_after_fault(fault)

    def _try_acquire_resend(self, fault: AttemptFault) -> bool:
        """Return whether the request can be sent again after a fault; count it as a retry if so.

        A send after an attempt that sent nothing is not counted.
        """
        if not self._has_time() or self._sends >= MAX_SENDS:
            return False
        if fault.proves_not_sent:
            return self._possible_runs == 0 or self._route.is_retryable
        if fault.proves_not_run:
            now_s = self._context.reactor.seconds()
            return self._context.router.try_acquire_retry(self._job.service, now_s)
        return self._try_acquire_retry()

    def _try_acquire_retry(self) -> bool:
        """Return whether a request that may have run can be sent again; count a retry if so."""
        if not self._route.is_retryable or self._possible_runs >= self._route.max_attempts:
            return False
        if not self._has_time() or self._sends >= MAX_SENDS:
            return False
        if not self._delivery.can_restart:
            return False
        now_s = self._context.reactor.seconds()
        return self._context.router.try_acquire_retry(self._job.service, now_s)

    def _has_time(self) -> bool:
        return bool(self._job.deadline_s - self._context.reactor.seconds() >= MIN_TIME_FOR_RETRY_S)

    def _refuse_unplaced(self, refused: Refused) -> None:
        if self._possible_runs > 0 or self._delivery.begun:
            self._refuse_after_fault(self._last_fault or AttemptFault.LOST)
            return
        self._refuse(
            Refusal(code=refused.code, detail=refused.reason, retry_after_s=refused.retry_after_s)
        )

    def _refuse_after_fault(self, fault: AttemptFault) -> None:
        if self._possible_runs == 0 and not self._delivery.begun:
            code = ResultCode.UPSTREAM_REFUSED
            if fault.proves_not_sent:
                code = ResultCode.NO_UPSTREAM
            now_s = self._context.reactor.seconds()
            pause_s = self._context.router.measure_pause_s(self._job.service, now_s)
            retry_after_s = max(REFUSED_RETRY_AFTER_S, pause_s)
            self._refuse(Refusal(code=code, detail=fault.value, retry_after_s=retry_after_s))
            return
        match fault:
            case AttemptFault.SILENT:
                self._refuse(Refusal(code=ResultCode.UPSTREAM_SILENT))
            case AttemptFault.MALFORMED:
                self._refuse(Refusal(code=ResultCode.ANSWER_INCOMPLETE))
            case _:
                self._refuse(Refusal(code=ResultCode.UPSTREAM_LOST))

    def _handle_deadline(self) -> None:
        """Give the final answer at the deadline."""
        if self._attempt is not None:
            self._attempt.cancel()
        may_have_run = self._possible_runs > 0
        code = ResultCode.DEADLINE_PASSED_RUNNING if may_have_run else ResultCode.DEADLINE_PASSED
        self._refuse(Refusal(code=code))

    # Timeouts of upstreams.

    def _start_first_answer_timer(self, placement: Placement) -> None:
        if not self._route.is_retryable or self._possible_runs + 1 >= self._route.max_attempts:
            return
        if self._job.prompt is None:
            timeout_s = max(PLAIN_TIMEOUT_FACTOR * placement.expected_s, MIN_PLAIN_TIMEOUT_S)
        else:
            scaled_forecast_s = FIRST_EVENT_TIMEOUT_FACTOR * placement.expected_s
            timeout_s = max(scaled_forecast_s, MIN_FIRST_EVENT_TIMEOUT_S)
        self._restart_response_timer(timeout_s)

    def _start_next_event_timer(self) -> None:
        if self._route.is_retryable and self._possible_runs < self._route.max_attempts:
            self._restart_response_timer(NEXT_EVENT_TIMEOUT_S)

    def _restart_response_timer(self, timeout_s: float) -> None:
        self._cancel_response_timer()
        self._response_timer = self._context.reactor.callLater(
            timeout_s, self._handle_response_timeout
        )

    def _handle_response_timeout(self) -> None:
        """Abandon an upstream that did not answer in time, if another one may run the request."""
        attempt = self._attempt
        if attempt is None or not self._try_acquire_retry():
            return
        attempt.cancel(AttemptEnd.LOST)
        self._attempt = None
        self._last_fault = AttemptFault.SILENT
        self._log.log_attempt_fault(attempt, AttemptFault.SILENT, self._delivery)
        self._delivery.discard_undelivered()
        self._send_next()

    def _cancel_response_timer(self) -> None:
        if self._response_timer is not None and self._response_timer.active():
            self._response_timer.cancel()
        self._response_timer = None

    # Final answer.

    def _refuse(self, refusal: Refusal) -> None:
        """Send a refusal as the final answer; abort the connection if an answer has begun."""
        if self._delivery.begun:
            self._responder.abort()
        else:
            remaining_s = self._job.deadline_s - self._context.reactor.seconds()
            answer_refusal(self._responder, refusal, time_left_s=remaining_s)
        self._conclude(refusal.code, refusal.retry_after_s)

    def _conclude(self, code: ResultCode, retry_after_s: float | None = None) -> None:
        self._done = True
        self._attempt = None
        self._responder.listener = None
        self._cancel_response_timer()
        for timer in (self._deadline_timer, self._placement_timer):
            if timer is not None and timer.active():
                timer.cancel()
        self._context.open_exchanges.discard(self)
        elapsed_s = self._context.reactor.seconds() - self._job.arrived_s
        self._request_timer.observe(Timing.ANSWER, elapsed_s)
        self._context.metrics.count_result(code, ClassName(self._route.name))
        outcome = ExchangeOutcome(
            code=code,
            sends=self._sends,
            waited=self._waited,
            elapsed_s=elapsed_s,
            retry_after_s=retry_after_s,
        )
        self._log.log_end(outcome, self._delivery)

    def _record_loss(self, attempt: Attempt) -> None:
        """Count a lost answer and report it to the other hosts.

        The number distinguishes the attempts, which all have the request's id.
        """
        fingerprint = self._inputs.fingerprint
        loss_id = f"{self._job.attempt_id}.{attempt.plan.number}"
        now_s = self._context.reactor.seconds()
        count = self._context.losses.record_loss(fingerprint, loss_id, now_s)
        self._context.report_loss(fingerprint, loss_id)
        if count > 1:
            self._log.log_repeated_losses(fingerprint, count)

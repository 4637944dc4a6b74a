"""The exchange of one caller's request: places, sends and if safe retries it, answers it once."""

from dataclasses import replace
from typing import Any

from greengagestage.catalog import RouteKind
from greengagestage.http1 import OutgoingRequest, Responder, ResponseHead
from greengagestage.ids import AttemptId, ClassName, WorkspaceId
from greengagestage.refusals import Refusal
from greengagestage.results import ResultCode
from greengagestage.routing import AttemptEnd, Placement, Refused, StreamOrigin, Waiting
from greengagestage.telemetry import Timing

from .._context import ExchangeContext
from ._attempt import Attempt, AttemptPlan
from ._attempt_faults import AttemptFault
from ._delivery import Delivery
from ._exchange_log import ExchangeLog, ExchangeOutcome
from ._inputs import ExchangeInputs
from ._refusal_answers import answer_refusal, choose_fault_refusal
from ._request_source import RequestSource
from ._send_limits import SendLimits
from ._silence import MAX_PAUSE_S, SilenceWatch, compute_answer_limit
from ._winner import Winner

DEADLINE_SLACK_S = 0.05
"""Time after the deadline in which an upstream's own answer is still awaited: links add a few
milliseconds."""

SUCCESSOR_RETRY_S = 0.25
"""Time until another successor is sought for a silent upstream if none could be found or kept."""


class RequestExchange:
    """Handles one caller's request until its final answer; listens to its caller and its attempts.

    Each attempt is at most one ``http1.Exchange`` on a connection to an upstream. ``Winner``
    decides between two that are under way.
    """

    def __init__(
        self, *, context: ExchangeContext, inputs: ExchangeInputs, responder: Responder
    ) -> None:
        self._context = context
        self._fingerprint = inputs.fingerprint
        self._stream = inputs.stream
        self._job = inputs.job
        self._source = RequestSource(
            request=inputs.request, job=inputs.job, workspace=inputs.workspace
        )
        self._route = inputs.job.route
        self._responder = responder
        self._winner = Winner[Attempt]()
        self._paused = False
        self._limits = SendLimits(job=inputs.job, router=context.router)
        self._last_fault: AttemptFault | None = None
        self._done = False
        self._silence = SilenceWatch(reactor=context.reactor, on_silent=self._handle_silence)
        self._deadline_timer: Any = None
        self._placement_timer: Any = None
        self._waited = False
        self._origin_recorded = False
        workspace = "" if inputs.workspace is None else inputs.workspace.name
        # In the metrics, the route takes the place of a service class.
        self._request_timer = context.metrics.create_request_timer(
            ClassName(self._route.name), WorkspaceId(workspace)
        )
        self._delivery = Delivery(
            responder=responder,
            seconds=context.reactor.seconds,
            timer=self._request_timer,
            arrived_s=inputs.job.arrived_s,
            last_event_id=inputs.last_event_id,
            on_begun=context.build_run_counter(inputs.job, inputs.workspace),
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

    @property
    def attempt_id(self) -> AttemptId:
        """The id that the caller gave the request."""
        return self._job.attempt_id

    @property
    def _now_s(self) -> float:
        now_s: float = self._context.reactor.seconds()
        return now_s

    def stop(self) -> None:
        """Give the final answer now, since the host is about to stop."""
        self._cancel_attempts()
        may_have_run = self._limits.may_have_run
        code = ResultCode.HOST_STOPPED_RUNNING if may_have_run else ResultCode.STOPPING
        self._refuse(Refusal(code=code, retry_after_s=None if may_have_run else 0.0))

    # Caller events.

    def handle_disconnect(self) -> None:
        """Handle the caller's disconnect.

        The attempt is cancelled, except for a non-idempotent request, which must not be stopped
        halfway.
        """
        if self._done:
            return
        if self._route.kind is RouteKind.NON_IDEMPOTENT:
            remaining_s = self._job.deadline_s - self._now_s
            for attempt in self._winner.take_all():
                attempt.detach(limit_s=remaining_s + DEADLINE_SLACK_S)
        self._cancel_attempts()
        may_have_run = self._limits.may_have_run
        self._conclude(ResultCode.CALLER_LEFT_RUNNING if may_have_run else ResultCode.CALLER_LEFT)

    def pause(self) -> None:
        """Stop reading from the upstream, since the caller reads too slowly."""
        self._paused = True
        self._silence.pause()
        if self._winner.current is not None:
            self._winner.current.pause()

    def resume(self) -> None:
        """Read from the upstream again, since the caller has caught up."""
        self._paused = False
        self._silence.resume()
        if self._winner.current is not None:
            self._winner.current.resume()

    # Attempt events.

    def prepare_attempt_request(self, attempt: Attempt) -> OutgoingRequest | None:
        """Return the request to send to this upstream; None past the deadline or when done.

        A returned request is counted as one that may have run. For the first attempt, the time
        since the request's arrival is recorded in the metrics.
        """
        time_left_s = self._job.deadline_s - self._now_s
        last_event_id = self._delivery.last_event_id
        request = self._source.build(
            attempt.plan, time_left_s=time_left_s, last_event_id=last_event_id
        )
        if request is None:
            return None
        if attempt.plan.number == 1:
            waited_s = self._now_s - self._job.arrived_s
            self._request_timer.observe(Timing.QUEUE_WAIT, waited_s)
        self._limits.possible_runs += 1
        return request

    def attempt_head_received(self, attempt: Attempt, head: ResponseHead) -> None:
        """Start relaying a stream or buffering a plain answer, if it is the one to take."""
        streams = self._route.kind is RouteKind.STREAM and 200 <= head.status < 300
        continues = streams or not self._delivery.is_stream
        fault = self._winner.judge_head(failed=head.status >= 500, continues=continues)
        if fault is not None:
            attempt.cancel(AttemptEnd.FAILED)
            self.attempt_failed(attempt, fault)
            return
        self._choose(attempt)
        if streams:
            self._delivery.begin_stream(head)
            self._watch_answer(attempt)
        else:
            self._delivery.begin_plain(head)

    def attempt_body_received(self, attempt: Attempt, data: bytes) -> None:
        """Relay complete events, or buffer a part of a plain answer or pass it on."""
        is_passed_on = self._delivery.feed(data)
        if self._delivery.defect is not None:
            attempt.cancel(AttemptEnd.FAILED)
            self.attempt_failed(attempt, AttemptFault.MALFORMED)
            return
        if is_passed_on:
            self._choose(attempt)
            if self._delivery.is_stream:
                self._handle_events(attempt)
        if not self._delivery.is_stream:
            self._silence.restart()

    def attempt_ending(self, attempt: Attempt) -> None:
        """Stop counting the upstream's silence."""
        self._silence.stop()

    def attempt_ended(self, attempt: Attempt) -> None:
        """Deliver a complete answer, or retry if the upstream answered with a server error."""
        self._silence.stop()
        self._winner.drop(attempt)
        head = self._delivery.head
        if head is not None and head.status >= 500:
            attempt.settle_early(AttemptEnd.FAILED)
            if self._replace_error(attempt):
                return
        if self._delivery.finish():
            attempt.record_complete_answer()
            self._conclude(ResultCode.DELIVERED)
        else:
            self._handle_fault(attempt, AttemptFault.LOST)

    def attempt_failed(self, attempt: Attempt, fault: AttemptFault) -> None:
        """Retry if that is safe, else refuse the request."""
        if attempt is self._winner.successor:
            self._drop_failed_successor(attempt, fault)
        else:
            self._handle_fault(attempt, fault)

    # Placement and retries.

    def _send_next(self) -> None:
        if self._limits.may_have_run and not self._limits.has_runs_left:
            self._refuse_after_fault(self._last_fault or AttemptFault.LOST)
            return
        detail = self._find_quarantine()
        if detail is not None:
            may_have_run = self._limits.may_have_run
            code = ResultCode.CRASHED_UPSTREAMS if may_have_run else ResultCode.QUARANTINED
            self._refuse(Refusal(code=code, detail=detail))
            return
        placed = self._place()
        match placed:
            case Refused():
                self._refuse_unplaced(placed)
            case Placement():
                self._send_to(placed)
            case Waiting():
                self._schedule_placement(placed)

    def _place(self) -> Placement | Refused | Waiting:
        limits = self._limits
        return self._context.place(self._job, self._fingerprint, limits.tried, limits.unreached)

    def _schedule_placement(self, waiting: Waiting) -> None:
        if not self._waited:
            self._waited = True
            self._log.log_waiting(waiting)
        self._placement_timer = self._context.reactor.callLater(waiting.delay_s, self._send_next)

    def _send_to(self, placement: Placement) -> None:
        attempt = self._create_attempt(placement)
        self._winner.begin(attempt)
        self._watch_answer(attempt)
        attempt.start()

    def _create_attempt(self, placement: Placement) -> Attempt:
        self._limits.record_send(placement.upstream.instance, self._now_s)
        self._log.log_sent(placement, self._limits.sends)
        plan = AttemptPlan(
            job=self._job,
            fingerprint=self._fingerprint,
            number=self._limits.sends,
            placement=placement,
            non_retryable=not self._route.is_retryable,
        )
        return Attempt(context=self._context, plan=plan, listener=self)

    def _handle_fault(self, attempt: Attempt, fault: AttemptFault) -> None:
        self._silence.stop()
        self._record_fault(attempt, fault)
        successor = self._winner.drop(attempt)
        if successor is not None:
            self._take_over(successor)
        elif self._try_acquire_resend(fault):
            self._delivery.discard_undelivered()
            self._send_next()
        else:
            self._refuse_after_fault(fault)

    def _record_fault(self, attempt: Attempt, fault: AttemptFault) -> None:
        self._last_fault = fault
        if fault.proves_not_run and attempt.sent_s is not None:
            self._limits.possible_runs -= 1
        self._limits.record_unsent(attempt.plan.placement.upstream.instance, fault)
        if fault is AttemptFault.LOST:
            attempt.record_loss(had_event=self._delivery.first_event_s is not None)
        self._log.log_attempt_fault(attempt, fault, self._delivery)

    def _try_acquire_resend(self, fault: AttemptFault) -> bool:
        if not fault.proves_not_run and not self._delivery.can_restart:
            return False
        return self._limits.try_acquire_resend(fault, self._now_s)

    def _refuse_unplaced(self, refused: Refused) -> None:
        if self._limits.may_have_run or self._delivery.begun:
            self._refuse_after_fault(self._last_fault or AttemptFault.LOST)
            return
        self._refuse(
            Refusal(code=refused.code, detail=refused.reason, retry_after_s=refused.retry_after_s)
        )

    def _refuse_after_fault(self, fault: AttemptFault) -> None:
        may_have_run = self._limits.may_have_run or self._delivery.begun
        pause_s = self._context.router.measure_pause_s(self._job.service, self._now_s)
        refusal = choose_fault_refusal(fault, may_have_run=may_have_run, pause_s=pause_s)
        self._refuse(refusal)

    def _handle_deadline(self) -> None:
        """Give the final answer at the deadline."""
        self._cancel_attempts()
        may_have_run = self._limits.may_have_run
        code = ResultCode.DEADLINE_PASSED_RUNNING if may_have_run else ResultCode.DEADLINE_PASSED
        self._refuse(Refusal(code=code))

    # Silent upstreams.

    def _watch_answer(self, attempt: Attempt) -> None:
        self._watch_silence(compute_answer_limit(self._job, attempt.plan.placement))
        if self._paused:
            attempt.pause()

    def _watch_silence(self, limit_s: float) -> None:
        if self._limits.has_runs_left:
            self._silence.start(limit_s)

    def _handle_events(self, attempt: Attempt) -> None:
        if not self._origin_recorded:
            self._record_origin(attempt)
            self._context.quarantine.record_answer(self._job)
        self._watch_silence(MAX_PAUSE_S)

    def _record_origin(self, attempt: Attempt) -> None:
        """Let only upstreams of the version that began the stream continue it, on any host."""
        self._origin_recorded = True
        upstream = attempt.plan.placement.upstream
        began_at = StreamOrigin(software_version=upstream.software_version)
        self._job = replace(self._job, began_at=began_at)
        if self._route.resumable:
            origins = self._context.router.stream_versions.origins
            origins.record_local(self._stream, began_at, self._now_s)

    def _handle_silence(self) -> None:
        """Send the request to another upstream too, if that one may run it."""
        may_join = self._winner.may_join(can_restart=self._delivery.can_restart)
        if not may_join or not self._limits.may_have_successor(self._now_s):
            return
        placement = self._place_elsewhere()
        if placement is None:
            self._silence.start(SUCCESSOR_RETRY_S)
        else:
            successor = self._create_attempt(placement)
            self._winner.join(successor)
            successor.start()

    def _replace_error(self, attempt: Attempt) -> bool:
        """Ask another upstream in place of one that answered with an error, if there is one."""
        if self._winner.current is not None:
            self._handle_fault(attempt, AttemptFault.FAILED)
            return True
        if self._delivery.begun or not self._limits.may_run_again(self._now_s):
            return False
        placement = self._place_elsewhere()
        if placement is None:
            return False
        self._delivery.discard_undelivered()
        self._send_to(placement)
        return True

    def _place_elsewhere(self) -> Placement | None:
        """Place the request at another upstream if there is room and a retry is allowed."""
        now_s = self._now_s
        if self._find_quarantine() is not None:
            return None
        placed = self._place()
        if not isinstance(placed, Placement):
            return None
        if not self._limits.try_reserve_retry(now_s):
            instance = placed.upstream.instance
            self._context.router.record_end(
                self._job.attempt_id, instance, AttemptEnd.CANCELLED, now_s
            )
            return None
        return placed

    def _find_quarantine(self) -> str | None:
        quarantine, sends = self._context.quarantine, self._limits.unproved_sends
        return quarantine.find_reason(self._fingerprint, self._job, sends, self._now_s)

    def _choose(self, attempt: Attempt) -> None:
        """Let this attempt alone answer from now on."""
        was_successor = attempt is self._winner.successor
        loser = self._winner.choose(attempt)
        if loser is not None and was_successor:
            self._record_fault(loser, AttemptFault.SILENT)
            loser.cancel(AttemptEnd.LOST)
            self._take_over(attempt)
        elif loser is not None:
            loser.cancel()

    def _take_over(self, successor: Attempt) -> None:
        """Await the successor's answer in place of the one received so far."""
        self._silence.stop()
        self._delivery.discard_undelivered()
        self._watch_answer(successor)

    def _drop_failed_successor(self, attempt: Attempt, fault: AttemptFault) -> None:
        self._winner.drop(attempt)
        self._record_fault(attempt, fault)
        if fault.proves_not_run and fault is not AttemptFault.UNFORWARDED:
            self._limits.record_refused_successor()
        self._silence.start(0.0 if fault.proves_not_sent else SUCCESSOR_RETRY_S)

    # Final answer.

    def _refuse(self, refusal: Refusal) -> None:
        """Send a refusal as the final answer; abort the connection if an answer has begun."""
        if self._delivery.begun:
            self._responder.abort()
        else:
            remaining_s = self._job.deadline_s - self._now_s
            answer_refusal(self._responder, refusal, time_left_s=remaining_s)
        self._conclude(refusal.code, refusal)

    def _conclude(self, code: ResultCode, refusal: Refusal | None = None) -> None:
        self._done = True
        self._source.release()
        self._limits.release_retry()
        if not self._limits.unproved_sends:
            self._context.quarantine.withdraw_trial(self._fingerprint, self._job)
        self._silence.close()
        self._cancel_attempts()
        for timer in (self._deadline_timer, self._placement_timer):
            if timer is not None and timer.active():
                timer.cancel()
        self._deadline_timer = self._placement_timer = None  # one that has fired refers to this
        self._context.open_exchanges.discard(self)
        elapsed_s = self._now_s - self._job.arrived_s
        self._request_timer.observe(Timing.ANSWER, elapsed_s)
        self._context.count_result(self._job, code)
        outcome = ExchangeOutcome(
            code=code,
            sends=self._limits.sends,
            waited=self._waited,
            elapsed_s=elapsed_s,
            retry_after_s=None if refusal is None else refusal.retry_after_s,
            detail=None if refusal is None else refusal.detail,
        )
        self._log.log_end(outcome, self._delivery)

    def _cancel_attempts(self) -> None:
        for attempt in self._winner.take_all():
            attempt.cancel()

"""One attempt: sends a request to an upstream and classifies the response."""

from dataclasses import dataclass, replace
from typing import Any, Protocol

from greengagestage.http1 import (
    ClientConnection,
    ConnectionPool,
    Endpoint,
    Exchange,
    ExchangeFailure,
    OutgoingRequest,
    ResponseHead,
)
from greengagestage.ids import AttemptId, Fingerprint, HostId
from greengagestage.platform import (
    ResponseKind,
    classify_response,
    is_answer_to,
    names_request,
)
from greengagestage.routing import AttemptEnd, ForwardingHost, Job, Placement

from .._context import ExchangeContext
from ..crashes import LostAnswer
from ..forwarding import ForwardFault, address_request, read_fault, restore_head
from ._attempt_faults import END_BY_FAULT, AttemptFault

MAX_IDLE_NON_RETRYABLE_S = 1.5
"""A request that is not retryable only uses a connection idle for less than this: on a connection
that the upstream is just closing it would be lost."""

MAX_DRAIN_S = 0.5
MAX_DRAIN_BYTES = 65_536
"""Limits on the rest of a refusal, which is read so that its connection can be used again. An
upstream in trouble may send bytes without end."""

MIN_LEFT_RUN_S = 1.0
MAX_LEFT_RUN_S = 10.0
"""Limits on the time for which an upstream may go on with a run whose connection was closed. Most
drop it, and others end it at its deadline."""

MAX_IDLE_S = 30.0
"""Idle limit for other requests, which may use any connection that its upstream has not announced
to close."""


class AttemptListener(Protocol):
    """Supplies the request of an attempt and receives its events until it ends or fails."""

    def prepare_attempt_request(self, attempt: "Attempt") -> OutgoingRequest | None:
        """Return the request to send on the open connection, or None to send nothing.

        It is called just before the request is sent, so that a returned request may run.
        """

    def attempt_head_received(self, attempt: "Attempt", head: ResponseHead) -> None:
        """Handle the head of the upstream's answer."""

    def attempt_body_received(self, attempt: "Attempt", data: bytes) -> None:
        """Handle a part of the answer's body."""

    def attempt_ending(self, attempt: "Attempt") -> None:
        """Handle an end without framing, until it is known whether the answer is complete."""

    def attempt_ended(self, attempt: "Attempt") -> None:
        """Handle the end of an answer.

        An answer with framing is complete, and so is one without it whose upstream lives on. An
        upstream may have broken off a stream all the same.
        """

    def attempt_failed(self, attempt: "Attempt", fault: AttemptFault) -> None:
        """Handle a missing or incomplete answer."""


@dataclass(frozen=True, slots=True, kw_only=True)
class AttemptPlan:
    """Where and how an attempt is sent.

    Attributes:
        job: The request.
        fingerprint: Hash that is equal for equal requests of one caller.
        number: Position among the attempts of the request, from 1.
        non_retryable: Whether the request must not be sent again once it may have run.
    """

    job: Job
    fingerprint: Fingerprint
    number: int
    placement: Placement
    non_retryable: bool

    @property
    def attempt_id(self) -> AttemptId:
        """The caller's id of the request, which all attempts to send it share."""
        return self.job.attempt_id


class Attempt:
    """One send of a request to an upstream.

    The router counts the attempt as in progress until it is settled. The ``Exchange`` of an attempt
    is its request and response on the connection to the upstream.
    """

    def __init__(
        self, *, context: ExchangeContext, plan: AttemptPlan, listener: AttemptListener
    ) -> None:
        self.plan = plan
        self.sent_s: float | None = None
        self._last_data_s: float | None = None
        self._context = context
        self._listener: AttemptListener | None = listener
        self._connection: ClientConnection | None = None
        self._paused = False
        self._closing_timer: Any = None
        self._drained_bytes = 0
        self._body_bytes = 0
        self._counted_in_router = True
        self._framed = True
        self._succeeds = False
        self._forwarded_by: HostId | None = None
        self._was_idle = False
        self._detached = False

    @property
    def silent_s(self) -> float | None:
        """Time since the upstream's last data, or since the send; None before the send."""
        since_s = self.sent_s if self._last_data_s is None else self._last_data_s
        if since_s is None:
            return None
        silent_s: float = self._context.reactor.seconds() - since_s
        return silent_s

    @property
    def answer_begun(self) -> bool:
        """Whether the head of the upstream's answer has arrived."""
        return self._last_data_s is not None

    @property
    def forwarded_by(self) -> HostId | None:
        """The host that forwards the request; None if it is sent directly."""
        return self._forwarded_by

    def record_loss(self, *, had_event: bool) -> None:
        """Record that this attempt's answer has just been lost, or is found to be broken off.

        Args:
            had_event: Whether the caller's request had brought an event.
        """
        self._settle(AttemptEnd.LOST)
        self._context.quarantine.record_loss(self._build_lost(had_event=had_event))

    def record_complete_answer(self) -> None:
        """Record that this attempt has brought the rest of the answer, so that it is complete.

        Only a success shows that the request ran to its end: an upstream can fail one that it has
        not begun.
        """
        if self.sent_s is not None and self._succeeds:
            plan = self.plan
            self._context.quarantine.record_complete_answer(plan.fingerprint, plan.job, self.sent_s)

    def start(self) -> None:
        """Send on an idle connection, or open a new one to the upstream or a forwarding host."""
        upstream, via = self.plan.placement.upstream, self.plan.placement.via
        endpoint = Endpoint(address=upstream.address, port=upstream.port)
        idle_limit_s = MAX_IDLE_NON_RETRYABLE_S if self.plan.non_retryable else MAX_IDLE_S
        if via is not None:
            # A connection that has brought data since the link was cut lives on.
            cut_s = self._context.router.links.get_cut_s(upstream.instance)
            idle_limit_s = min(idle_limit_s, self._context.reactor.seconds() - cut_s)
        if self._context.quarantine.awaits_proof(self.plan.fingerprint):
            idle_limit_s = 0.0  # the loss of a new connection needs no proof
        pool = self._context.pool
        idle = pool.take_idle(endpoint, idle_limit_s=idle_limit_s, recipient=upstream.instance)
        if idle is not None:
            self._was_idle = True
            self._send(idle, pool, endpoint)
        elif via is not None:
            self._start_forwarding(via)
        else:
            pool.open(
                endpoint,
                on_open=lambda connection: self._handle_open(connection, endpoint),
                on_failed=self._fail_unreachable,
            )

    def cancel(self, end: AttemptEnd = AttemptEnd.CANCELLED) -> None:
        """Close the connection, which cancels the run; the listener gets no further events."""
        self._listener = None
        self._settle(end)
        was_open = self._connection is not None
        self._close()
        if was_open:
            self._watch_left_run()

    def detach(self, limit_s: float) -> None:
        """Let the upstream finish within a time limit; the listener gets no further events."""
        self._listener, self._detached = None, True
        self.resume()
        self._close_after(limit_s)

    def pause(self) -> None:
        """Stop reading the response, also if the request is sent later."""
        self._paused = True
        if self._connection is not None:
            self._connection.pause()

    def resume(self) -> None:
        """Continue reading the response."""
        self._paused = False
        if self._connection is not None:
            self._connection.resume()

    def receive_head(self, head: ResponseHead) -> None:
        """Classify the response as an answer, a refusal, or neither."""
        self._framed = head.framed
        if self._forwarded_by is not None:
            fault = read_fault(head)
            if fault is not None:
                self._fail_forwarding(self._forwarded_by, fault)
                return
            head = restore_head(head)
            self._context.link_watch.record_forwarded(
                self._forwarded_by, self.plan.placement.upstream
            )
        self._record_data()
        now_s = self._context.reactor.seconds()
        sent_s = now_s if self.sent_s is None else self.sent_s
        upstream = self.plan.placement.upstream
        self._context.notices.record(upstream, head, sent_s=sent_s, now_s=now_s)
        kind = classify_response(head)
        self._succeeds = kind is ResponseKind.SUCCESS
        match kind:
            case ResponseKind.NOT_RUN:
                self._close_after(MAX_DRAIN_S)
                self._fail(AttemptFault.REFUSED)
            case ResponseKind.MISDIRECTED:
                self._close_after(MAX_DRAIN_S)
                self._fail(AttemptFault.MISDIRECTED)
            case ResponseKind.UNPROVEN:
                self._fail(AttemptFault.MALFORMED)
                self._close()
            case ResponseKind.SUCCESS | ResponseKind.FAILURE:
                if self._forwarded_by is None and names_request(head):
                    opened_s = None if self._connection is None else self._connection.opened_s
                    self._context.quarantine.record_head(upstream, sent_s, opened_s=opened_s)
                if head.status < 300 and self.plan.job.prompt is not None:
                    self._context.metrics.forecast_errors.observe(
                        self.plan.job.route.name,
                        observed_s=now_s - sent_s,
                        expected_s=self.plan.placement.expected_s,
                    )
                if self._listener is not None:
                    self._listener.attempt_head_received(self, head)

    def receive_body(self, data: bytes) -> None:
        """Pass a part of the body to the listener."""
        self._body_bytes += len(data)
        if self._counted_in_router:
            self._record_data()
        else:
            self._drained_bytes += len(data)
            if self._drained_bytes > MAX_DRAIN_BYTES:
                self._close()
        if self._listener is not None:
            self._listener.attempt_body_received(self, data)

    def end_response(self) -> None:
        """Settle the attempt after the end of an answer; its connection may now serve another."""
        self._forget_connection()
        is_awaited = self._listener is not None or self._detached
        if self._framed or not is_awaited:
            self._complete()
            return
        if self._listener is not None:
            self._listener.attempt_ending(self)
        self._context.answer_ends.call_when_judged(
            self.plan.attempt_id,
            self.plan.placement.upstream,
            on_complete=self._complete,
            on_lost=lambda: self.fail_response(ExchangeFailure.LOST),
        )

    def fail_response(self, failure: ExchangeFailure) -> None:
        """Settle the attempt after an incomplete or malformed response."""
        self._forget_connection()
        malformed = failure is ExchangeFailure.MALFORMED
        if self._detached and not malformed:
            self.record_loss(had_event=False)
        self._fail(AttemptFault.MALFORMED if malformed else AttemptFault.LOST)

    def settle_early(self, end: AttemptEnd) -> None:
        """Settle the attempt with an end that the caller has determined from the answer.

        Without this call, the attempt counts as answered once its response has ended.
        """
        self._settle(end)

    def _complete(self) -> None:
        listener, self._listener = self._listener, None
        if listener is not None:
            listener.attempt_ended(self)
        elif self._detached:
            self.record_complete_answer()
        self._settle(AttemptEnd.ANSWERED)

    def _start_forwarding(self, via: ForwardingHost) -> None:
        self._forwarded_by = via.host
        pool = self._context.forwarding_pool
        endpoint = Endpoint(address=via.address, port=via.port)
        idle = pool.take_idle(endpoint, idle_limit_s=MAX_IDLE_NON_RETRYABLE_S)
        if idle is not None:
            self._send(idle, pool, endpoint)
            return
        pool.open(
            endpoint,
            on_open=lambda connection: self._send(connection, pool, endpoint),
            on_failed=lambda: self._fail_forwarding(via.host, ForwardFault.STOPPING),
        )

    def _fail_forwarding(self, host: HostId, fault: ForwardFault) -> None:
        """Handle a fault that the forwarding host states, or that it cannot be reached."""
        links, now_s = self._context.router.links, self._context.reactor.seconds()
        if self._connection is not None:
            self._close_after(MAX_DRAIN_S)
        match fault:
            case ForwardFault.LOST:
                self._fail(AttemptFault.LOST)
                return
            case ForwardFault.MALFORMED:
                self._fail(AttemptFault.MALFORMED)
                return
        if fault.concerns_host:
            links.record_unusable(host, now_s)
        else:
            links.record_miss(
                host,
                self.plan.placement.upstream.instance,
                now_s,
                down=fault is ForwardFault.UNREACHABLE,
            )
        self._fail(AttemptFault.UNFORWARDED)

    def _fail_unreachable(self) -> None:
        self._fail(AttemptFault.UNREACHABLE)
        self._context.link_watch.handle_unreachable(self.plan.placement.upstream)

    def _handle_open(self, connection: ClientConnection, endpoint: Endpoint) -> None:
        self._context.link_watch.record_opened(self.plan.placement.upstream)
        self._send(connection, self._context.pool, endpoint)

    def _send(self, connection: ClientConnection, pool: ConnectionPool, endpoint: Endpoint) -> None:
        incarnation = self.plan.placement.upstream.incarnation
        if not self._context.router.accepts_requests(incarnation, self._context.reactor.seconds()):
            pool.put_idle(endpoint, connection)
            self._fail(AttemptFault.WITHDRAWN)
            return
        request = None if self._listener is None else self._listener.prepare_attempt_request(self)
        if request is None:
            pool.put_idle(endpoint, connection)
            self._settle(AttemptEnd.CANCELLED)
            return
        if self._forwarded_by is not None:
            request = address_request(request, incarnation)
        self._connection = connection
        self._body_bytes = len(request.body)
        self.sent_s = self._context.reactor.seconds()
        plan, attempt_id = self.plan, self.plan.attempt_id
        self._context.quarantine.log_send(
            attempt_id, plan.number, plan.fingerprint, plan.job.prompt, self.sent_s
        )
        connection.send(
            Exchange(
                request=request,
                listener=self,
                is_answer=lambda head: is_answer_to(attempt_id, head),
                recipient=None if self._forwarded_by is not None else incarnation[0],
            )
        )
        if self._paused:
            connection.pause()

    def _record_data(self) -> None:
        now_s = self._context.reactor.seconds()
        self._last_data_s = now_s
        instance = self.plan.placement.upstream.instance
        self._context.router.record_data(self.plan.attempt_id, instance, now_s)

    def _close_after(self, limit_s: float) -> None:
        """Close the connection unless the response has ended by then."""
        self._closing_timer = self._context.reactor.callLater(max(limit_s, 0.0), self._close)

    def _close(self) -> None:
        """Close the connection in the middle of its response."""
        connection = self._connection
        self._forget_connection()
        self._settle(AttemptEnd.CANCELLED)
        if connection is not None:
            connection.close()
            if self._detached:
                self._watch_left_run()

    def _watch_left_run(self) -> None:
        """Let a crash count against the request that comes while the upstream may still run it."""
        now_s = self._context.reactor.seconds()
        until_s = max(self.plan.job.deadline_s, now_s + MIN_LEFT_RUN_S)
        lost = replace(self._build_lost(had_event=False), was_left=True)
        self._context.quarantine.record_left_run(lost, min(until_s, now_s + MAX_LEFT_RUN_S))

    def _build_lost(self, *, had_event: bool) -> LostAnswer:
        """Return this attempt as one whose answer has just been lost."""
        now_s = self._context.reactor.seconds()
        return LostAnswer(
            attempt_id=self.plan.attempt_id,
            number=self.plan.number,
            fingerprint=self.plan.fingerprint,
            prompt=self.plan.job.prompt,
            upstream=self.plan.placement.upstream,
            sent_s=now_s if self.sent_s is None else self.sent_s,
            lost_s=now_s,
            forwarded_by=self._forwarded_by,
            begun=self.answer_begun,
            had_event=had_event,
            was_idle=self._was_idle,
        )

    def _forget_connection(self) -> None:
        """Leave the connection to others, since the response has ended."""
        self._connection = None
        timer, self._closing_timer = self._closing_timer, None
        if timer is not None and timer.active():
            timer.cancel()

    def _fail(self, fault: AttemptFault) -> None:
        self._settle(END_BY_FAULT[fault])
        self._detached = False
        if fault is AttemptFault.MALFORMED:
            self._watch_left_run()
        listener, self._listener = self._listener, None
        if listener is not None:
            listener.attempt_failed(self, fault)

    def _settle(self, end: AttemptEnd) -> None:
        if self._counted_in_router:
            self._counted_in_router = False
            crossing = self.plan.placement.crossing
            if crossing is not None and self.sent_s is not None:
                traffic = self._context.router.domain_traffic
                answered = end is AttemptEnd.ANSWERED
                traffic.record_attempt(crossing, self._body_bytes, answered=answered)
            self._context.router.record_end(
                self.plan.attempt_id,
                self.plan.placement.upstream.instance,
                end,
                self._context.reactor.seconds(),
            )

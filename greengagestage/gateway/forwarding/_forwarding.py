"""Forwards requests of other hosts that have lost their links to upstreams."""

from collections.abc import Callable
from dataclasses import replace
from typing import Any

from eliot import log_message

from greengagestage.catalog import Prompt, RegisteredUpstream
from greengagestage.http1 import (
    CallerConnection,
    ClientConnection,
    Endpoint,
    Exchange,
    ExchangeFailure,
    IncomingRequest,
    LimitExceeded,
    OutgoingRequest,
    ResponseHead,
)
from greengagestage.ids import AttemptId, Fingerprint
from greengagestage.platform import (
    ResponseKind,
    build_caller_headers,
    classify_response,
    is_answer_to,
    names_request,
    parse_caller_headers,
    replace_time_left,
    states_prompt,
)
from greengagestage.routing import AttemptEnd

from .._context import ExchangeContext
from .._relay import has_event_end
from ..crashes import LostAnswer
from ._forwarding_protocol import (
    FAULT_STATUS,
    ForwardFault,
    build_fault_headers,
    build_forwarded_headers,
    take_address,
)

MAX_FORWARDED_REQUESTS = 256
"""Open requests of other hosts beyond which no more are taken. Each holds two connections."""

MAX_IDLE_S = 1.5
"""Only connections idle for less than this are used: the other host may not send again a request
that is lost on a connection which its upstream is just closing."""

DEADLINE_SLACK_S = 0.25
"""Time after a request's deadline after which its connection is closed if the other host, which
does so itself, has not."""


class ForwardingHandler:
    """Takes requests from other hosts, and passes each one to the upstream that it names.

    Nothing is decided here: the other host has chosen the upstream and sends again elsewhere if it
    may. A request is never passed to a further host.

    Args:
        is_peer: Returns whether an address belongs to another host.
        is_stopping: Returns whether this host takes no more requests of others.
    """

    def __init__(
        self,
        *,
        context: ExchangeContext,
        is_peer: Callable[[str], bool],
        is_stopping: Callable[[], bool],
    ) -> None:
        self._context = context
        self._is_peer = is_peer
        self._is_stopping = is_stopping
        self.open_requests: set[ForwardedRequest] = set()
        self.forwarded = 0

    def handle(self, request: IncomingRequest, connection: CallerConnection) -> None:
        """Handle a complete request."""
        addressed = take_address(request.headers)
        if addressed is None or not self._is_peer(connection.transport.getPeer().host):
            log_message(
                message_type="forwarding: rejected",
                sender=connection.transport.getPeer().host,
                addressed=addressed is not None,
            )
            answer_fault(connection, ForwardFault.REJECTED)
            return
        (instance, started_ms), headers = addressed
        fault = self._find_obstacle()
        state = self._context.router.upstreams.get(instance)
        if fault is None and (state is None or state.record.started_ms != started_ms):
            fault = ForwardFault.UNKNOWN
        if fault is None and state is not None:
            now_s = self._context.reactor.seconds()
            if self._context.router.links.is_cut(instance):
                fault = ForwardFault.NO_LINK
            elif self._context.router.links.has_failed(instance) and not state.is_healthy(now_s):
                fault = ForwardFault.UNREACHABLE
        if fault is not None or state is None:
            answer_fault(connection, fault or ForwardFault.UNKNOWN)
            return
        self.forwarded += 1
        outgoing = OutgoingRequest(
            method=request.method,
            target=request.target,
            headers=headers,
            body=request.body,
            body_claim=request.body_claim,
        )
        ForwardedRequest(
            context=self._context,
            request=outgoing,
            received_s=request.received_s,
            upstream=state.record,
            connection=connection,
            open_requests=self.open_requests,
        ).start()

    def explain_limit(self, limit: LimitExceeded) -> bytes:
        """Return the response body for a request that exceeds a limit or cannot be parsed."""
        return limit.name.encode()

    def _find_obstacle(self) -> ForwardFault | None:
        if self._is_stopping():
            return ForwardFault.STOPPING
        if len(self.open_requests) >= MAX_FORWARDED_REQUESTS or self._context.memory.is_full:
            return ForwardFault.BUSY
        return None


class ForwardedRequest:
    """One request of another host: passes it to its upstream and the answer back as it arrives.

    Listens to the connection from the other host and to the one to the upstream. If either ends
    early, so does the other one.
    """

    def __init__(
        self,
        *,
        context: ExchangeContext,
        request: OutgoingRequest,
        received_s: float,
        upstream: RegisteredUpstream,
        connection: CallerConnection,
        open_requests: set["ForwardedRequest"],
    ) -> None:
        self._context = context
        self._request: OutgoingRequest | None = request  # None once it has been sent
        self._upstream = upstream
        self._responder = connection
        self._open_requests = open_requests
        self._connection: ClientConnection | None = None
        self._deadline_timer: Any = None
        self._received_s = received_s
        self._sent_s = 0.0
        self._begun = False
        self._framed = True
        self._last_bytes = b""
        self._ended = False
        parsed = parse_caller_headers(request.target, request.headers)
        metadata = parsed.value_or(None)
        self.attempt_id = AttemptId("") if metadata is None else metadata.attempt_id
        # A stream that is taken up again has brought events, perhaps through other hosts.
        self._had_event = metadata is not None and metadata.last_event_id is not None
        self._timeout_s = None if metadata is None else metadata.timeout_s
        self._prompt: Prompt | None = None
        if metadata is not None and states_prompt(request.headers):
            self._prompt = Prompt(
                tokens=metadata.prompt_tokens,
                output_tokens=metadata.output_tokens,
                parts=metadata.parts,
            )

    def start(self) -> None:
        """Send on an idle connection, or open a new one."""
        self._open_requests.add(self)
        self._context.open_exchanges.add(self)
        self._responder.listener = self
        time_left_s = self._measure_time_left()
        if time_left_s is not None:
            limit_s = max(time_left_s + DEADLINE_SLACK_S, 0.0)
            self._deadline_timer = self._context.reactor.callLater(limit_s, self.stop)
        endpoint = Endpoint(address=self._upstream.address, port=self._upstream.port)
        pool = self._context.pool
        recipient = self._upstream.instance
        idle = pool.take_idle(endpoint, idle_limit_s=MAX_IDLE_S, recipient=recipient)
        if idle is not None:
            self._send(idle, endpoint)
            return
        pool.open(
            endpoint,
            on_open=lambda connection: self._handle_open(connection, endpoint),
            on_failed=self._handle_unreachable,
        )

    def stop(self) -> None:
        """Break off the request on both sides."""
        if self._ended:
            return
        self._responder.abort()
        self._close_upstream()
        self._end(AttemptEnd.CANCELLED)

    # The connection from the other host.

    def handle_disconnect(self) -> None:
        """Cancel the run: the other host has left or is gone."""
        if not self._ended:
            self._close_upstream()
            self._end(AttemptEnd.CANCELLED)

    def pause(self) -> None:
        """Stop reading from the upstream."""
        if self._connection is not None:
            self._connection.pause()

    def resume(self) -> None:
        """Read from the upstream again."""
        if self._connection is not None:
            self._connection.resume()

    # The connection to the upstream.

    def receive_head(self, head: ResponseHead) -> None:
        """Begin to pass the answer back, and record what it states for this host, too."""
        kind = classify_response(head)
        if kind is ResponseKind.UNPROVEN:
            self._close_upstream()
            self.fail_response(ExchangeFailure.MALFORMED)
            return
        now_s = self._context.reactor.seconds()
        if kind in (ResponseKind.SUCCESS, ResponseKind.FAILURE) and names_request(head):
            opened_s = None if self._connection is None else self._connection.opened_s
            quarantine = self._context.quarantine
            quarantine.record_head(self._upstream, self._sent_s, opened_s=opened_s)
        self._context.notices.record(self._upstream, head, sent_s=self._sent_s, now_s=now_s)
        self._context.router.record_data(self.attempt_id, self._upstream.instance, now_s)
        self._begun, self._framed = True, head.framed
        headers = build_forwarded_headers(head, build_caller_headers(head.headers))
        self._responder.begin(head.status, headers)

    def receive_body(self, data: bytes) -> None:
        """Pass a part of the body back."""
        if self._prompt is not None and not self._had_event:
            self._had_event = has_event_end(self._last_bytes + data)
            self._last_bytes = (self._last_bytes + data)[-3:]
        self._responder.write(data)

    def end_response(self) -> None:
        """Complete the answer; one without framing once its upstream is known to live on."""
        self._connection = None
        if self._framed:
            self._complete()
        else:
            self._context.answer_ends.call_when_judged(
                self.attempt_id,
                self._upstream,
                on_complete=self._complete,
                on_lost=lambda: self.fail_response(ExchangeFailure.LOST),
            )

    def fail_response(self, failure: ExchangeFailure) -> None:
        """Break the answer off, or state the fault if none has begun."""
        self._connection = None
        if self._ended:
            return
        log_message(
            message_type="forwarding: answer lost",
            request=self.attempt_id,
            upstream=self._upstream.instance,
            begun=self._begun,
            malformed=failure is ExchangeFailure.MALFORMED,
            open_ms=round((self._context.reactor.seconds() - self._sent_s) * 1_000, 1),
        )
        if failure is ExchangeFailure.LOST:
            self._record_loss()
        if self._begun:
            self._responder.abort()
        else:
            malformed = failure is ExchangeFailure.MALFORMED
            answer_fault(
                self._responder, ForwardFault.MALFORMED if malformed else ForwardFault.LOST
            )
        self._end(AttemptEnd.LOST)

    def _complete(self) -> None:
        if self._ended:
            return
        if not self._framed and not self._had_event:
            self._record_loss()
        self._responder.finish()
        self._end(AttemptEnd.CANCELLED)

    def _record_loss(self) -> None:
        """Let this host judge whether the upstream has crashed: the other one cannot see it."""
        self._context.quarantine.record_forwarded_loss(
            LostAnswer(
                attempt_id=self.attempt_id,
                number=0,
                fingerprint=Fingerprint(f"forwarded {self.attempt_id}"),
                prompt=self._prompt,
                upstream=self._upstream,
                sent_s=self._sent_s,
                lost_s=self._context.reactor.seconds(),
                forwarded_by=None,
                begun=self._begun,
                had_event=self._had_event,
            )
        )

    def _handle_open(self, connection: ClientConnection, endpoint: Endpoint) -> None:
        self._context.link_watch.record_opened(self._upstream)
        self._send(connection, endpoint)

    def _handle_unreachable(self) -> None:
        if self._ended:
            return
        self._end(AttemptEnd.UNREACHABLE)
        self._context.link_watch.handle_unreachable(self._upstream)
        links = self._context.router.links
        cut = links.is_cut(self._upstream.instance)
        answer_fault(self._responder, ForwardFault.NO_LINK if cut else ForwardFault.UNREACHABLE)

    def _send(self, connection: ClientConnection, endpoint: Endpoint) -> None:
        fault, request = self._find_obstacle(), self._request
        if self._ended or fault is not None or request is None:
            self._context.pool.put_idle(endpoint, connection)
            if fault is not None and not self._ended:
                answer_fault(self._responder, fault)
                self._end(AttemptEnd.CANCELLED)
            return
        self._connection, self._request = connection, None
        self._sent_s = self._context.reactor.seconds()
        attempt_id = self.attempt_id
        connection.send(
            Exchange(
                request=self._update_time_left(request),
                listener=self,
                is_answer=lambda head: is_answer_to(attempt_id, head),
                recipient=self._upstream.instance,
            )
        )

    def _find_obstacle(self) -> ForwardFault | None:
        """Return why the request must not be sent on the open connection."""
        now_s = self._context.reactor.seconds()
        if not self._context.router.accepts_requests(self._upstream.incarnation, now_s):
            return ForwardFault.WITHDRAWN
        time_left_s = self._measure_time_left()
        return ForwardFault.EXPIRED if time_left_s is not None and time_left_s <= 0 else None

    def _measure_time_left(self) -> float | None:
        if self._timeout_s is None:
            return None
        elapsed_s: float = self._context.reactor.seconds() - self._received_s
        return self._timeout_s - elapsed_s

    def _update_time_left(self, request: OutgoingRequest) -> OutgoingRequest:
        time_left_s = self._measure_time_left()
        if time_left_s is None:
            return request
        return replace(request, headers=replace_time_left(request.headers, time_left_s))

    def _close_upstream(self) -> None:
        connection, self._connection = self._connection, None
        if connection is not None:
            connection.close()

    def _end(self, end: AttemptEnd) -> None:
        self._ended = True
        self._request = None
        self._open_requests.discard(self)
        self._context.open_exchanges.discard(self)
        if self._deadline_timer is not None and self._deadline_timer.active():
            self._deadline_timer.cancel()
        self._deadline_timer = None  # one that has fired refers to this
        now_s = self._context.reactor.seconds()
        self._context.router.record_end(self.attempt_id, self._upstream.instance, end, now_s)


def answer_fault(connection: CallerConnection, fault: ForwardFault) -> None:
    """Tell the other host why no upstream's answer comes back."""
    connection.answer(FAULT_STATUS, build_fault_headers(fault), b"")

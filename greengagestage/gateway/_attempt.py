"""Sending a request to one upstream and hearing its response."""

from dataclasses import dataclass
from enum import Enum
from typing import Protocol

from greengagestage.http1 import (
    ClientConnection,
    Endpoint,
    Exchange,
    ExchangeFailure,
    OutgoingRequest,
    ResponseHead,
)
from greengagestage.ids import AttemptId
from greengagestage.platform import ResponseKind, classify_response, is_answer_to
from greengagestage.routing import AttemptEnd, Placement

from ._context import ExchangeContext

CAUTIOUS_IDLE_S = 1.5
"""A request that must not repeat goes out on a connection idle for less than this: one that the
upstream is just closing would lose it."""

USUAL_IDLE_S = 30.0
"""Other requests take any connection that its upstream has not announced to close."""


class AttemptFault(Enum):
    """Why an attempt brought no answer. Only the first three prove that nothing ran."""

    UNREACHABLE = "unreachable"
    REFUSED = "refused"
    MISDIRECTED = "elsewhere"
    LOST = "lost"
    MALFORMED = "malformed"
    SILENT = "silent"

    @property
    def proves_not_run(self) -> bool:
        """Whether the upstream certainly did not run the request."""
        return self in (AttemptFault.UNREACHABLE, AttemptFault.REFUSED, AttemptFault.MISDIRECTED)


_ENDS = {
    AttemptFault.UNREACHABLE: AttemptEnd.UNREACHABLE,
    AttemptFault.REFUSED: AttemptEnd.FULL,
    AttemptFault.MISDIRECTED: AttemptEnd.MISDIRECTED,
    AttemptFault.LOST: AttemptEnd.LOST,
    AttemptFault.MALFORMED: AttemptEnd.FAILED,
    AttemptFault.SILENT: AttemptEnd.LOST,
}


class AttemptListener(Protocol):
    """Hears an attempt, until it ends or fails."""

    def attempt_opened(self, attempt: "Attempt") -> OutgoingRequest | None:
        """A connection is open; return what to send, or None to send nothing."""

    def attempt_answers(self, attempt: "Attempt", head: ResponseHead) -> None:
        """The upstream's answer began."""

    def attempt_continues(self, attempt: "Attempt", data: bytes) -> None:
        """More of the answer's body came."""

    def attempt_ended(self, attempt: "Attempt") -> None:
        """The answer ended as its framing says."""

    def attempt_failed(self, attempt: "Attempt", fault: AttemptFault) -> None:
        """There is no answer, or not all of it."""


@dataclass(frozen=True, slots=True, kw_only=True)
class AttemptPlan:
    """Where and how an attempt is sent."""

    attempt_id: AttemptId
    number: int
    placement: Placement
    cautious: bool


class Attempt:
    """One sending of a request; hears the connection until it is settled."""

    def __init__(
        self, *, context: ExchangeContext, plan: AttemptPlan, listener: AttemptListener
    ) -> None:
        self.plan = plan
        self.sent_s: float | None = None
        self._context = context
        self._listener: AttemptListener | None = listener
        self._connection: ClientConnection | None = None
        self._booked = True

    def start(self) -> None:
        """Take a connection and send, or open one first."""
        upstream = self.plan.placement.upstream
        endpoint = Endpoint(address=upstream.address, port=upstream.port)
        limit_s = CAUTIOUS_IDLE_S if self.plan.cautious else USUAL_IDLE_S
        idle = self._context.pool.take_idle(endpoint, idle_limit_s=limit_s)
        if idle is not None:
            self._send(idle, endpoint)
            return
        self._context.pool.open(
            endpoint,
            on_open=lambda connection: self._send(connection, endpoint),
            on_failed=lambda: self._fail(AttemptFault.UNREACHABLE),
        )

    def cancel(self, end: AttemptEnd = AttemptEnd.CANCELLED) -> None:
        """Stop the upstream's work by closing the connection; nothing more is heard."""
        self._listener = None
        self._settle(end)
        if self._connection is not None:
            self._connection.close()

    def detach(self) -> None:
        """Let the upstream finish without hearing it."""
        self._listener = None

    def pause(self) -> None:
        """Stop reading for a while."""
        if self._connection is not None:
            self._connection.pause()

    def resume(self) -> None:
        """Read on."""
        if self._connection is not None:
            self._connection.resume()

    def receive_head(self, head: ResponseHead) -> None:
        """Tell apart answers, refusals and responses that prove nothing."""
        self._note_heard()
        match classify_response(head):
            case ResponseKind.NOT_RUN:
                self._fail(AttemptFault.REFUSED)
            case ResponseKind.MISDIRECTED:
                self._fail(AttemptFault.MISDIRECTED)
            case ResponseKind.UNPROVEN:
                self._fail(AttemptFault.MALFORMED)
            case ResponseKind.SUCCESS | ResponseKind.FAILURE:
                if self._listener is not None:
                    self._listener.attempt_answers(self, head)

    def receive_body(self, data: bytes) -> None:
        """Pass a piece of the body on."""
        self._note_heard()
        if self._listener is not None:
            self._listener.attempt_continues(self, data)

    def end_response(self) -> None:
        """Settle a whole answer."""
        listener, self._listener = self._listener, None
        if listener is not None:
            listener.attempt_ended(self)
        self._settle(AttemptEnd.ANSWERED)

    def fail_response(self, failure: ExchangeFailure) -> None:
        """Settle an answer that was cut or is no answer."""
        malformed = failure is ExchangeFailure.MALFORMED
        self._fail(AttemptFault.MALFORMED if malformed else AttemptFault.LOST)

    def settle_as(self, end: AttemptEnd) -> None:
        """Book the attempt's end before it is whole, where its answer is a failure."""
        self._settle(end)

    def _send(self, connection: ClientConnection, endpoint: Endpoint) -> None:
        request = None if self._listener is None else self._listener.attempt_opened(self)
        if request is None:
            self._context.pool.put_idle(endpoint, connection)
            self._settle(AttemptEnd.CANCELLED)
            return
        self._connection = connection
        self.sent_s = self._context.reactor.seconds()
        attempt_id = self.plan.attempt_id
        connection.send(
            Exchange(
                request=request,
                listener=self,
                is_answer=lambda head: is_answer_to(attempt_id, head),
            )
        )

    def _note_heard(self) -> None:
        now_s = self._context.reactor.seconds()
        instance = self.plan.placement.upstream.instance
        self._context.router.record_event(self.plan.attempt_id, instance, now_s)

    def _fail(self, fault: AttemptFault) -> None:
        self._settle(_ENDS[fault])
        listener, self._listener = self._listener, None
        if listener is not None:
            listener.attempt_failed(self, fault)

    def _settle(self, end: AttemptEnd) -> None:
        if self._booked:
            self._booked = False
            self._context.router.end(
                self.plan.attempt_id,
                self.plan.placement.upstream.instance,
                end,
                self._context.reactor.seconds(),
            )

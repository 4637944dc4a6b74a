"""A request from its arrival to its final verdict."""

from collections.abc import Callable
from typing import Any

from eliot import start_task
from twisted.internet.base import DelayedCall

from greengagestage.ids import AttemptId, RequestId, UpstreamName
from greengagestage.policy import AcquireClaim, CallerLeft, Event
from greengagestage.results import ResultCode
from greengagestage.telemetry import RequestTimer, Timing
from greengagestage.upstream import AttemptFailure

from ._calls import Call
from ._completions import HeaderList
from ._deliveries import Delivery
from ._http import CallerRequest
from ._runs import Run

NOWHERE = UpstreamName("")


class ActiveRequest:
    """What the shell keeps of an open request: its caller, its delivery and its attempt."""

    def __init__(
        self,
        *,
        reactor: Any,
        call: Call,
        caller: CallerRequest,
        headers: HeaderList,
        delivery: Delivery,
        timer: RequestTimer,
        stall_limit_s: float,
        feed: Callable[[Event], None],
    ) -> None:
        self.call = call
        self.caller = caller
        self.headers = headers
        self.delivery = delivery
        self.run: Run | None = None
        self.claim: AcquireClaim | None = None
        self.arrived_s = reactor.seconds()
        self.first_token_s: float | None = None
        self.ended_s: float | None = None
        self.tokens = 0
        self.attempt_ids: list[AttemptId] = []
        self.upstream = NOWHERE
        self.code: ResultCode | None = None
        self.caller_is_gone = False
        self._reactor = reactor
        self._timer = timer
        self._stall_limit_s = stall_limit_s
        self._feed = feed
        self._stall: DelayedCall | None = None
        self._last_piece_s = 0.0
        request = call.request
        self._log = start_task(
            action_type="entry: request",
            request_id=request.request_id,
            workspace=request.workspace,
            service_class=request.service_class,
            pool=request.pool,
        )

    @property
    def request_id(self) -> RequestId:
        """The request's id."""
        return self.call.request.request_id

    @property
    def age_s(self) -> float:
        """Time since the request arrived, up to its verdict."""
        end_s = self._reactor.seconds() if self.ended_s is None else self.ended_s
        return float(end_s - self.arrived_s)

    def begin_run(self, run: Run) -> None:
        """Note that an attempt is sent."""
        if not self.attempt_ids:
            self._timer.observe(Timing.QUEUE_WAIT, self.age_s)
        self.attempt_ids.append(run.attempt_id)
        self.run = run
        self.upstream = run.upstream
        self._log.log(
            message_type="entry: attempt sent", attempt_id=run.attempt_id, upstream=run.upstream
        )

    def end_run(self) -> Run | None:
        """Stop the attempt; return it if it was still going on."""
        run, self.run = self.run, None
        if run is None or run.over:
            return None
        run.stop()
        return run

    def conclude(self, code: ResultCode) -> None:
        """Note the final verdict."""
        self.code = code
        self.ended_s = self._reactor.seconds()
        self._clear_stall()
        self.end_run()
        if code is ResultCode.DELIVERED:
            self._timer.observe(Timing.ANSWER, self.age_s)
        self._log.add_success_fields(code=code.value, name=code.name, tokens=self.tokens)
        self._log.finish()

    def note_tokens(self, tokens: int) -> float:
        """Time a piece of the answer and return the time."""
        now_s: float = self._reactor.seconds()
        if self.first_token_s is None:
            self.first_token_s = now_s
            self._timer.observe(Timing.FIRST_TOKEN, now_s - self.arrived_s)
        else:
            self._timer.observe(Timing.INTER_TOKEN, now_s - self._last_piece_s)
        self._last_piece_s = now_s
        self.tokens += tokens
        return now_s

    def note_failure(self, run: Run, failure: AttemptFailure) -> None:
        """Log that an attempt failed."""
        self.run = None
        self._log.log(
            message_type="entry: attempt failed",
            attempt_id=run.attempt_id,
            upstream=run.upstream,
            kind=failure.kind.value,
        )

    def pause(self) -> None:
        """The caller reads too slowly: stop reading from the upstream, for a limited time.

        A non-idempotent request runs on, as its answer is kept in any case.
        """
        if self._stall is None:
            self._stall = self._reactor.callLater(self._stall_limit_s, self._drop_caller)
        if self.run is not None and self.call.request.idempotent:
            self.run.pause()

    def resume(self) -> None:
        """The caller has caught up."""
        self._clear_stall()
        if self.run is not None:
            self.run.resume()

    def handle_disconnect(self) -> None:
        """The caller closed its connection."""
        self.caller_is_gone = True
        self._clear_stall()
        self._feed(CallerLeft(request_id=self.request_id))

    @property
    def is_stalled(self) -> bool:
        """The caller has not read what was sent."""
        return self._stall is not None

    def _drop_caller(self) -> None:
        self._stall = None
        self._log.log(message_type="entry: caller stalled")
        self.caller.abort()
        self.handle_disconnect()

    def _clear_stall(self) -> None:
        if self._stall is not None and self._stall.active():
            self._stall.cancel()
        self._stall = None

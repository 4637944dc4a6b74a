"""The state of an open request, from its arrival to its final result."""

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

NO_UPSTREAM = UpstreamName("")


class ActiveRequest:
    """An open request with its caller, its delivery and its attempts.

    Attributes:
        caller: The caller's HTTP request, through which the answer is sent.
        headers: Headers that the router adds to the answer, such as ``X-Request-Id``.
        runs: The attempts that have not ended, oldest first: two while another upstream is asked
            to replace a silent one.
        claim: The claim of a non-idempotent request: set when it is requested, before it is
            granted, and None again if it is not granted.
        arrived_s: Reactor time of the arrival; ``first_token_s`` and ``ended_s`` likewise.
        upstream: The upstream of the latest attempt, or of the one that goes on.
        code: The final result, or None while the request is open.
    """

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
        self.runs: dict[AttemptId, Run] = {}
        self.claim: AcquireClaim | None = None
        self.arrived_s = reactor.seconds()
        self.first_token_s: float | None = None
        self.ended_s: float | None = None
        self.tokens = 0
        self.attempt_ids: list[AttemptId] = []
        self.upstream = NO_UPSTREAM
        self.code: ResultCode | None = None
        self.caller_disconnected = False
        self._reactor = reactor
        self._timer = timer
        self._stall_limit_s = stall_limit_s
        self._feed = feed
        self._stall_timer: DelayedCall | None = None
        self._last_chunk_s = 0.0
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
        """Seconds from the arrival of the request to now, or to its end if it has ended."""
        end_s = self._reactor.seconds() if self.ended_s is None else self.ended_s
        return float(end_s - self.arrived_s)

    def register_run(self, run: Run) -> None:
        """Add and log an attempt; its exchange is started afterwards."""
        if not self.attempt_ids:
            self._timer.observe(Timing.QUEUE_WAIT, self.age_s)
        self.attempt_ids.append(run.attempt_id)
        self.runs[run.attempt_id] = run
        self.upstream = run.upstream
        self._log.log(
            message_type="entry: attempt sent", attempt_id=run.attempt_id, upstream=run.upstream
        )

    def stop_runs(self) -> None:
        """Stop all attempts."""
        for attempt_id in list(self.runs):
            self.stop_run(attempt_id)

    def stop_run(self, attempt_id: AttemptId) -> Run | None:
        """Stop an attempt; return it if it had not ended."""
        run = self._remove_run(attempt_id)
        if run is None or run.is_over:
            return None
        run.stop()
        return run

    def _remove_run(self, attempt_id: AttemptId) -> Run | None:
        run = self.runs.pop(attempt_id, None)
        for remaining in self.runs.values():
            self.upstream = remaining.upstream
        return run

    def finish(self, code: ResultCode) -> None:
        """Stop the attempts, closing their connections; record and log the final result."""
        self.code = code
        self.ended_s = self._reactor.seconds()
        self._cancel_stall_timer()
        self.stop_runs()
        if code is ResultCode.DELIVERED:
            self._timer.observe(Timing.ANSWER, self.age_s)
        self._log.add_success_fields(code=code.value, name=code.name, tokens=self.tokens)
        self._log.finish()

    def record_tokens(self, tokens: int) -> float:
        """Count tokens, observe their latency and return the current time."""
        now_s: float = self._reactor.seconds()
        if self.first_token_s is None:
            self.first_token_s = now_s
            self._timer.observe(Timing.FIRST_TOKEN, now_s - self.arrived_s)
        else:
            self._timer.observe(Timing.INTER_TOKEN, now_s - self._last_chunk_s)
        self._last_chunk_s = now_s
        self.tokens += tokens
        return now_s

    def record_failure(self, run: Run, failure: AttemptFailure) -> None:
        """Remove an attempt and log its failure."""
        self._remove_run(run.attempt_id)
        self._log.log(
            message_type="entry: attempt failed",
            attempt_id=run.attempt_id,
            upstream=run.upstream,
            kind=failure.kind.value,
        )

    def pause(self) -> None:
        """Stop reading from the upstream because the caller reads too slowly.

        The caller is disconnected if it does not catch up in time. The attempt of a
        non-idempotent request is not paused, because its answer is stored in any case. The
        dispatcher pauses every attempt that it starts while the caller is stalled. Once the request
        has ended, only its last bytes are written: nothing is left to pause.
        """
        if self.code is not None:
            return
        if self._stall_timer is None:
            self._stall_timer = self._reactor.callLater(
                self._stall_limit_s, self._disconnect_caller
            )
        if self.call.request.idempotent:
            for run in self.runs.values():
                run.pause()

    def resume(self) -> None:
        """Continue reading from the upstream after the caller has caught up."""
        self._cancel_stall_timer()
        for run in self.runs.values():
            run.resume()

    def handle_disconnect(self) -> None:
        """Tell the policy that the caller is gone.

        Either the caller closed its connection, or the router closed it because of a stall.
        """
        self.caller_disconnected = True
        self._cancel_stall_timer()
        self._feed(CallerLeft(request_id=self.request_id))

    @property
    def is_stalled(self) -> bool:
        """Whether the caller has yet to read data that was sent."""
        return self._stall_timer is not None

    def _disconnect_caller(self) -> None:
        self._stall_timer = None
        self._log.log(message_type="entry: caller stalled")
        self.caller.abort()
        self.handle_disconnect()

    def _cancel_stall_timer(self) -> None:
        if self._stall_timer is not None and self._stall_timer.active():
            self._stall_timer.cancel()
        self._stall_timer = None

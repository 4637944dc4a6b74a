"""Ends requests: each gets exactly one final result, as soon as the policy has decided it."""

from collections import deque
from collections.abc import Callable
from typing import Any

from twisted.internet.defer import Deferred
from twisted.python.failure import Failure

from greengagestage.claims import StoredAnswer
from greengagestage.ids import IdempotencyKey, RequestId
from greengagestage.refusals import Refusal
from greengagestage.results import CODE_DETAILS, ResultCode, RunVerdict
from greengagestage.telemetry import EntryMetrics, log_unexpected_failure
from greengagestage.wire import RequestRecord

from ._active import ActiveRequest
from ._calls import CompletionTarget
from ._ports import Claims
from ._records import build_request_record
from ._requests import OpenRequests
from ._settings import DeliveryLimits
from ._stored import send_stored_answer

REPLAY_RETRY_AFTER_S = 1.0
MAX_ENDED_RECORDS = 256
"""Largest number of records of ended requests kept between two reports to the agent; beyond it, the
oldest are dropped."""


class RequestFinisher:
    """Ends requests with their final result.

    The outcome of a non-idempotent request that may have run is normally stored before its caller
    gets the end of the answer or the refusal, so that a resend through any host meets the outcome.
    The caller is answered without it if the answer is too large to store, if storing fails, or if
    the store does not reply within ``store_wait_s``.

    Attributes:
        pending_store_calls: Calls to the claims store that have not returned.
        ended_records: Records of the requests that ended since the last report to the agent, the
            oldest first.
    """

    def __init__(
        self,
        *,
        reactor: Any,
        claims: Claims,
        metrics: EntryMetrics,
        limits: DeliveryLimits,
        requests: OpenRequests,
    ) -> None:
        self.pending_store_calls = 0
        self.ended_records: deque[RequestRecord] = deque(maxlen=MAX_ENDED_RECORDS)
        self._reactor = reactor
        self._claims = claims
        self._metrics = metrics
        self._limits = limits
        self._requests = requests

    def deliver(self, request_id: RequestId) -> None:
        """End a request whose answer is complete."""
        active = self._requests.pop(request_id)
        if active is None:
            return
        if active.claim is None:
            self._deliver_answer(active)
        else:
            self._store_then_deliver(active)

    def reject(
        self, request_id: RequestId, code: ResultCode, retry_after_s: float | None = None
    ) -> None:
        """End a request without a complete answer."""
        active = self._requests.pop(request_id)
        if active is None:
            return
        refusal = Refusal(code=code, retry_after_s=retry_after_s)
        claim = active.claim
        if claim is None or not _may_have_run(code):
            self._refuse(active, refusal)
            return
        active.stop_run()
        marked = self._claims.mark_unknown(claim.workspace, claim.idempotency_key, claim.attempt_id)
        self._finish_after(marked, active, lambda: self._refuse(active, refusal))

    def replay(self, request_id: RequestId) -> None:
        """End a request with the answer stored under its idempotency key."""
        active = self._requests.pop(request_id)
        if active is None:
            return
        request = active.call.request
        answer = self._claims.read_answer(
            request.workspace, request.idempotency_key or IdempotencyKey("")
        )
        answer.addErrback(_log_store_fault)
        self._track_store_call(answer.addCallback(self._replay_answer, active))

    def _replay_answer(self, answer: StoredAnswer | None, active: ActiveRequest) -> None:
        if answer is None:
            code = ResultCode.EARLIER_RUN_UNKNOWN
            self._finish_request(active, code)
            active.delivery.refuse(Refusal(code=code, retry_after_s=REPLAY_RETRY_AFTER_S))
            return
        self._finish_request(active, ResultCode.DELIVERED)
        match active.call.target:
            case CompletionTarget(endpoint=endpoint, body=body):
                send_stored_answer(
                    answer,
                    caller=active.caller,
                    headers=active.headers,
                    endpoint=endpoint,
                    stream=body.stream,
                )
            case _:
                send_stored_answer(
                    answer,
                    caller=active.caller,
                    headers=active.headers,
                    endpoint=None,
                    stream=False,
                )

    def _store_then_deliver(self, active: ActiveRequest) -> None:
        """Store the answer, and deliver its end once the store has replied or failed.

        The end is delivered after ``store_wait_s`` at the latest. An answer too large to store is
        delivered at once, and its outcome is marked unknown.
        """
        claim = active.claim
        answer = active.delivery.finish_stored_answer()
        if claim is None:
            return
        if answer is None:
            self._deliver_answer(active)
            self._track_store_call(
                self._claims.mark_unknown(claim.workspace, claim.idempotency_key, claim.attempt_id)
            )
            return
        active.stop_run()
        stored = self._claims.record_answer(
            claim.workspace, claim.idempotency_key, claim.attempt_id, answer
        )
        self._finish_after(stored, active, lambda: self._deliver_answer(active))

    def _finish_after(
        self, stored: Deferred[Any], active: ActiveRequest, finish: Callable[[], None]
    ) -> None:
        """Finish a request after a store call, and after ``store_wait_s`` at the latest."""

        def finish_if_open(_: object = None) -> None:
            if timeout.active():
                timeout.cancel()
            if active.code is None:
                finish()

        timeout = self._reactor.callLater(self._limits.store_wait_s, finish_if_open)
        self._track_store_call(stored.addErrback(_log_store_fault).addCallback(finish_if_open))

    def _deliver_answer(self, active: ActiveRequest) -> None:
        self._finish_request(active, ResultCode.DELIVERED)
        active.delivery.end()

    def _refuse(self, active: ActiveRequest, refusal: Refusal) -> None:
        self._finish_request(active, refusal.code)
        active.delivery.refuse(refusal)

    def _finish_request(self, active: ActiveRequest, code: ResultCode) -> None:
        """Set the final result, stop the current attempt, and record the result for reports."""
        active.finish(code)
        self.ended_records.append(build_request_record(active))
        self._metrics.count_result(code, active.call.request.service_class)

    def _track_store_call(self, deferred: Deferred[Any]) -> None:
        self.pending_store_calls += 1

        def complete(result: object) -> None:
            self.pending_store_calls -= 1
            if isinstance(result, Failure):
                log_unexpected_failure("entry: fault while settling an answer", result)

        deferred.addBoth(complete)


def _may_have_run(code: ResultCode) -> bool:
    return CODE_DETAILS[code].verdict is RunVerdict.MAY_HAVE_RUN


def _log_store_fault(failure: Failure) -> None:
    log_unexpected_failure("entry: fault of the claims store", failure)

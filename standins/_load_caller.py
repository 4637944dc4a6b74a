"""A simulated caller, which sends one request, resends it if needed, or gives up."""

from collections.abc import Callable
from typing import Any

from twisted.web.http_headers import Headers

from ._body_producer import BytesProducer
from ._http import reactor
from ._load_answers import AnswerReader
from ._load_plan import PlannedRequest
from ._load_results import RequestResult, Verdict

RESEND_AFTER_FAILURE_S = 0.5
_RETRYABLE_FAILURES = (Verdict.MAY_HAVE_RUN, Verdict.BROKEN)


class Caller:
    """Sends one planned request, and resends it after refusals and failures."""

    def __init__(
        self, *, planned: PlannedRequest, result: RequestResult, due_s: float, agent: Any
    ) -> None:
        self._planned = planned
        self._result = result
        self._due_s = due_s
        self._agent = agent
        self._pending_response: Any = None
        self._reader: AnswerReader | None = None
        self._give_up_timer: Any = None
        self._resend_timer: Any = None
        self._resends_left = planned.resends
        self._entries: list[str] = []
        self._on_end: Callable[[RequestResult], None] = lambda _: None

    def start(self, entries: list[str], on_end: Callable[[RequestResult], None]) -> None:
        """Send the request to the next entry host in turn; call ``on_end`` once, at the end."""
        self._entries = entries
        self._on_end = on_end
        if self._planned.give_up_s is not None:
            self._give_up_timer = reactor.callLater(self._planned.give_up_s, self._give_up)
        self._send()

    def _send(self) -> None:
        planned = self._planned
        self._resend_timer = None
        self._reader = None
        producer = BytesProducer(body=planned.body.encode()) if planned.body else None
        resends_made = planned.resends - self._resends_left
        entry = self._entries[(planned.index + resends_made) % len(self._entries)]
        url = f"{entry}{planned.path}"
        self._pending_response = self._agent.request(
            planned.method.encode(), url.encode(), _build_headers(planned), producer
        )
        self._pending_response.addCallback(self._read_response)
        self._pending_response.addErrback(self._record_failure)

    def _read_response(self, response: Any) -> None:
        self._result.status = response.code
        self._result.request_id = (response.headers.getRawHeaders("x-request-id") or [""])[0]
        self._reader = AnswerReader(
            result=self._result,
            expected=self._planned.expected,
            measure_elapsed_s=self._measure_elapsed_s,
            on_end=self._handle_end,
        )
        response.deliverBody(self._reader)

    def _measure_elapsed_s(self) -> float:
        return float(reactor.seconds() - self._due_s)

    def _record_failure(self, _failure: Any) -> None:
        if self._result.verdict is Verdict.UNANSWERED:
            self._result.verdict = Verdict.BROKEN
        self._result.answer_s = self._measure_elapsed_s()
        self._handle_end(self._result)

    def _give_up(self) -> None:
        """Close the connection, or cancel the pending resend."""
        self._resends_left = 0
        if self._resend_timer is not None:
            self._resend_timer.cancel()
            self._report_result()
        elif self._reader is not None:
            self._reader.give_up()
        else:
            self._result.verdict = Verdict.GAVE_UP
            self._pending_response.cancel()

    def _handle_end(self, result: RequestResult) -> None:
        delay_s = self._compute_resend_delay_s(result)
        if delay_s is None or self._resends_left == 0:
            self._report_result()
            return
        self._resends_left -= 1
        self._resend_timer = reactor.callLater(delay_s, self._resend)

    def _compute_resend_delay_s(self, result: RequestResult) -> float | None:
        """Return the delay before a resend, or None if the request is not sent again."""
        if result.verdict is Verdict.NOT_RUN:
            return result.retry_after_s
        return RESEND_AFTER_FAILURE_S if result.verdict in _RETRYABLE_FAILURES else None

    def _resend(self) -> None:
        result = self._result
        if result.verdict is Verdict.NOT_RUN:
            result.refusals += 1
        else:
            result.failures += 1
        result.verdict = Verdict.UNANSWERED
        result.status = result.code = result.tokens = 0
        result.retry_after_s = result.first_token_s = result.answer_s = None
        self._send()

    def _report_result(self) -> None:
        if self._give_up_timer is not None and self._give_up_timer.active():
            self._give_up_timer.cancel()
        self._on_end(self._result)


def _build_headers(planned: PlannedRequest) -> Headers:
    headers = Headers(
        {
            "Authorization": [f"Bearer {planned.key}"],
            "Content-Type": ["application/json"],
            "X-Service-Class": [planned.service_class],
        }
    )
    if planned.idempotency_key is not None:
        headers.addRawHeader("Idempotency-Key", planned.idempotency_key)
    return headers

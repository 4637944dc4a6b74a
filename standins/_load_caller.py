"""One caller: sends its request, reads the answer, comes back when told to, or gives up."""

from collections.abc import Callable
from typing import Any

from twisted.web.http_headers import Headers

from ._body_producer import BytesProducer
from ._http import reactor
from ._load_answers import AnswerReader
from ._load_plan import PlannedRequest
from ._load_results import RequestResult, Verdict

RESEND_AFTER_FAILURE_S = 0.5
_FAILED = (Verdict.MAY_HAVE_RUN, Verdict.BROKEN)


class Caller:
    """Follows one planned request to its end."""

    def __init__(
        self, *, planned: PlannedRequest, result: RequestResult, due_s: float, agent: Any
    ) -> None:
        self._planned = planned
        self._result = result
        self._due_s = due_s
        self._agent = agent
        self._sending: Any = None
        self._reader: AnswerReader | None = None
        self._leaving: Any = None
        self._returning: Any = None
        self._resends_left = planned.resends
        self._entries: list[str] = []
        self._on_end: Callable[[RequestResult], None] = lambda _: None

    def start(self, entries: list[str], on_end: Callable[[RequestResult], None]) -> None:
        """Send the request to the next entry host in turn; ``on_end`` gets the result once."""
        self._entries = entries
        self._on_end = on_end
        if self._planned.give_up_s is not None:
            self._leaving = reactor.callLater(self._planned.give_up_s, self._leave)
        self._send()

    def _send(self) -> None:
        planned = self._planned
        self._returning = None
        self._reader = None
        producer = BytesProducer(body=planned.body.encode()) if planned.body else None
        sent_before = planned.resends - self._resends_left
        entry = self._entries[(planned.index + sent_before) % len(self._entries)]
        url = f"{entry}{planned.path}"
        self._sending = self._agent.request(
            planned.method.encode(), url.encode(), _build_headers(planned), producer
        )
        self._sending.addCallback(self._read)
        self._sending.addErrback(self._fail)

    def _read(self, response: Any) -> None:
        self._result.status = response.code
        self._result.request_id = (response.headers.getRawHeaders("x-request-id") or [""])[0]
        self._reader = AnswerReader(
            result=self._result,
            expected=self._planned.expected,
            read_clock=self._read_clock,
            on_end=self._conclude,
        )
        response.deliverBody(self._reader)

    def _read_clock(self) -> float:
        return float(reactor.seconds() - self._due_s)

    def _fail(self, _failure: Any) -> None:
        if self._result.verdict is Verdict.UNANSWERED:
            self._result.verdict = Verdict.BROKEN
        self._result.answer_s = self._read_clock()
        self._conclude(self._result)

    def _leave(self) -> None:
        """Give up: close the connection, or do not come back."""
        self._resends_left = 0
        if self._returning is not None:
            self._returning.cancel()
            self._end()
        elif self._reader is not None:
            self._reader.give_up()
        else:
            self._result.verdict = Verdict.GAVE_UP
            self._sending.cancel()

    def _conclude(self, result: RequestResult) -> None:
        wait_s = self._find_wait_s(result)
        if wait_s is None or self._resends_left == 0:
            self._end()
            return
        self._resends_left -= 1
        self._returning = reactor.callLater(wait_s, self._send_again)

    def _find_wait_s(self, result: RequestResult) -> float | None:
        """Return when to send again, or None if that makes no sense."""
        if result.verdict is Verdict.NOT_RUN:
            return result.retry_after_s
        return RESEND_AFTER_FAILURE_S if result.verdict in _FAILED else None

    def _send_again(self) -> None:
        result = self._result
        if result.verdict is Verdict.NOT_RUN:
            result.refusals += 1
        else:
            result.failures += 1
        result.verdict = Verdict.UNANSWERED
        result.status = result.code = result.tokens = 0
        result.retry_after_s = result.first_token_s = result.answer_s = None
        self._send()

    def _end(self) -> None:
        if self._leaving is not None and self._leaving.active():
            self._leaving.cancel()
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

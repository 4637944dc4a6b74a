"""Sends a plan open loop: each request at its time, however the earlier ones fare."""

from collections.abc import Callable
from io import BytesIO
from typing import Any

from twisted.web import client as _client
from twisted.web.http_headers import Headers

from ._http import reactor
from ._load_answers import AnswerReader
from ._load_plan import PlannedRequest
from ._load_results import LoadResult, RequestResult, Verdict

CONNECT_TIMEOUT_S = 5.0
CONNECTIONS_PER_ENTRY = 512
START_DELAY_S = 0.1
_web: Any = _client


class LoadClient:
    """Runs one plan against entry hosts in turn."""

    def __init__(
        self,
        *,
        entries: list[str],
        requests: list[PlannedRequest],
        patience_s: float,
        on_done: Callable[[LoadResult], None],
    ) -> None:
        pool = _web.HTTPConnectionPool(reactor)
        pool.maxPersistentPerHost = CONNECTIONS_PER_ENTRY
        pool.retryAutomatically = False
        self._agent = _web.Agent(reactor, pool=pool, connectTimeout=CONNECT_TIMEOUT_S)
        self._entries = entries
        self._requests = requests
        self._patience_s = patience_s
        self._on_done = on_done
        self._results: list[RequestResult] = []
        self._open: dict[int, RequestResult] = {}
        self._readers: dict[int, AnswerReader] = {}
        self._leaving: dict[int, Any] = {}
        self._started_s = 0.0
        self._last_call: Any = None

    @property
    def ended(self) -> int:
        """Requests that have their final verdict."""
        return len(self._results)

    @property
    def in_flight(self) -> int:
        """Requests sent that have no verdict yet."""
        return len(self._open)

    def start(self) -> None:
        """Set every request's timer."""
        self._started_s = reactor.seconds() + START_DELAY_S
        for request in self._requests:
            reactor.callLater(START_DELAY_S + request.at_s, self._send, request)
        last_s = max((request.at_s for request in self._requests), default=0.0)
        self._last_call = reactor.callLater(START_DELAY_S + last_s + self._patience_s, self._finish)

    def _send(self, planned: PlannedRequest) -> None:
        due_s = self._started_s + planned.at_s
        result = RequestResult(
            index=planned.index,
            workspace=planned.workspace,
            service_class=planned.service_class,
            completion=planned.expected is not None,
            at_s=planned.at_s,
        )
        self._open[planned.index] = result
        entry = self._entries[planned.index % len(self._entries)]
        producer = _web.FileBodyProducer(BytesIO(planned.body.encode())) if planned.body else None
        sending = self._agent.request(
            planned.method.encode(),
            f"{entry}{planned.path}".encode(),
            _build_headers(planned),
            producer,
        )
        if planned.give_up_s is not None:
            self._leaving[planned.index] = reactor.callLater(
                planned.give_up_s, self._leave, result, sending
            )
        sending.addCallback(self._read, planned, result, due_s)
        sending.addErrback(self._fail, result, due_s)

    def _leave(self, result: RequestResult, sending: Any) -> None:
        reader = self._readers.get(result.index)
        if reader is not None:
            reader.give_up()
            return
        result.verdict = Verdict.GAVE_UP
        sending.cancel()

    def _read(
        self, response: Any, planned: PlannedRequest, result: RequestResult, due_s: float
    ) -> None:
        result.status = response.code
        result.request_id = (response.headers.getRawHeaders("x-request-id") or [""])[0]
        reader = AnswerReader(
            result=result,
            expected=planned.expected,
            read_clock=lambda: float(reactor.seconds() - due_s),
            on_end=self._end,
        )
        self._readers[result.index] = reader
        response.deliverBody(reader)

    def _fail(self, _failure: Any, result: RequestResult, due_s: float) -> None:
        if result.verdict is not Verdict.GAVE_UP:
            result.verdict = Verdict.BROKEN
        result.answer_s = reactor.seconds() - due_s
        self._end(result)

    def _end(self, result: RequestResult) -> None:
        if self._open.pop(result.index, None) is None:
            return
        self._readers.pop(result.index, None)
        leaving = self._leaving.pop(result.index, None)
        if leaving is not None and leaving.active():
            leaving.cancel()
        self._results.append(result)
        if len(self._results) == len(self._requests):
            self._finish()

    def _finish(self) -> None:
        if self._last_call.active():
            self._last_call.cancel()
        duration_s = reactor.seconds() - self._started_s
        results = sorted([*self._results, *self._open.values()], key=lambda r: r.index)
        self._open.clear()
        self._on_done(LoadResult(duration_s=duration_s, results=results))


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

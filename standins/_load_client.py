"""Open-loop load client: sends each request at its planned time, whatever the answers are."""

from collections.abc import Callable
from typing import Any

from twisted.web import client as _client

from ._http import reactor
from ._load_caller import Caller
from ._load_plan import PlannedRequest
from ._load_results import LoadResult, RequestResult

CONNECT_TIMEOUT_S = 5.0
CONNECTIONS_PER_ENTRY = 512
START_DELAY_S = 0.1
_web: Any = _client


class LoadClient:
    """Sends the requests of one plan to the entry hosts in turn.

    ``answer_timeout_s`` is how long the client waits for answers after the last planned request.
    """

    def __init__(
        self,
        *,
        entries: list[str],
        requests: list[PlannedRequest],
        answer_timeout_s: float,
        on_done: Callable[[LoadResult], None],
    ) -> None:
        pool = _web.HTTPConnectionPool(reactor)
        pool.maxPersistentPerHost = CONNECTIONS_PER_ENTRY
        pool.retryAutomatically = False
        self._agent = _web.Agent(reactor, pool=pool, connectTimeout=CONNECT_TIMEOUT_S)
        self._entries = entries
        self._requests = requests
        self._answer_timeout_s = answer_timeout_s
        self._on_done = on_done
        self._results: list[RequestResult] = []
        self._in_flight: dict[int, RequestResult] = {}
        self._started_s = 0.0
        self._timeout_call: Any = None

    @property
    def completed_count(self) -> int:
        """Number of requests that have their final verdict."""
        return len(self._results)

    @property
    def in_flight(self) -> int:
        """Number of requests that were sent and have no final verdict yet."""
        return len(self._in_flight)

    def start(self) -> None:
        """Schedule every request and the end of the run."""
        self._started_s = reactor.seconds() + START_DELAY_S
        for request in self._requests:
            reactor.callLater(START_DELAY_S + request.at_s, self._start_caller, request)
        self._timeout_call = reactor.callLater(
            START_DELAY_S + self._compute_last_arrival_s() + self._answer_timeout_s, self._finish
        )

    def _compute_last_arrival_s(self) -> float:
        return max((request.at_s for request in self._requests), default=0.0)

    def _start_caller(self, planned: PlannedRequest) -> None:
        result = RequestResult(
            index=planned.index,
            workspace=planned.workspace,
            service_class=planned.service_class,
            completion=planned.expected is not None,
            at_s=planned.at_s,
        )
        caller = Caller(
            planned=planned, result=result, due_s=self._started_s + planned.at_s, agent=self._agent
        )
        self._in_flight[planned.index] = result
        caller.start(self._entries, self._record_result)

    def _record_result(self, result: RequestResult) -> None:
        if self._in_flight.pop(result.index, None) is None:
            return
        self._results.append(result)
        if len(self._results) == len(self._requests):
            self._finish()

    def _finish(self) -> None:
        if self._timeout_call.active():
            self._timeout_call.cancel()
        results = sorted([*self._results, *self._in_flight.values()], key=lambda r: r.index)
        self._in_flight.clear()
        self._on_done(LoadResult(duration_s=self._compute_last_arrival_s(), results=results))

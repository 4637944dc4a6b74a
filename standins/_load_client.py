"""Sends a plan open loop: each request at its time, however the earlier ones fare."""

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
            reactor.callLater(START_DELAY_S + request.at_s, self._begin, request)
        self._last_call = reactor.callLater(
            START_DELAY_S + self._find_last_s() + self._patience_s, self._finish
        )

    def _find_last_s(self) -> float:
        return max((request.at_s for request in self._requests), default=0.0)

    def _begin(self, planned: PlannedRequest) -> None:
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
        self._open[planned.index] = result
        caller.start(self._entries, self._end)

    def _end(self, result: RequestResult) -> None:
        if self._open.pop(result.index, None) is None:
            return
        self._results.append(result)
        if len(self._results) == len(self._requests):
            self._finish()

    def _finish(self) -> None:
        if self._last_call.active():
            self._last_call.cancel()
        results = sorted([*self._results, *self._open.values()], key=lambda r: r.index)
        self._open.clear()
        self._on_done(LoadResult(duration_s=self._find_last_s(), results=results))

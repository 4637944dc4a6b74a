"""Collects the rows of an operator's query from all hosts, within a time limit."""

import time
from dataclasses import dataclass, field
from typing import Any

import msgspec
from eliot import log_message
from returns.result import Failure, Success
from twisted.internet.defer import Deferred

from greengagestage.ids import HostId, RequestId
from greengagestage.language import Explain, Row, Show, Subject, check_show, parse, select_rows
from greengagestage.outcomes import Unavailable
from greengagestage.wire import QueryAnswer, QueryRequest

from ._fleet import Fleet, QueryMessage
from ._host_view import HostView
from ._request_log import REQUESTS_KEPT

ROWS_LIMIT = REQUESTS_KEPT
ROWS_LIMIT_BYTES = 2 * 1024 * 1024

_DECODER = msgspec.json.Decoder(list[Row])


@dataclass(frozen=True, slots=True, kw_only=True)
class GatheredRows:
    """Rows of all hosts, and the hosts whose rows are missing or incomplete.

    ``silent_hosts`` names the hosts that did not answer in time, whose answer could not be decoded,
    or that returned only a part of their rows.
    """

    rows: list[Row]
    silent_hosts: tuple[HostId, ...]


@dataclass(slots=True, kw_only=True)
class _OpenQuery:
    waiting: set[HostId]
    done: Deferred[None]
    rows: list[Row] = field(default_factory=list)
    partial: set[HostId] = field(default_factory=set)


class QueryService:
    """Sends the queries of this host and answers those of others."""

    def __init__(
        self, *, reactor: Any, fleet: Fleet, host_view: HostView, timeout_s: float
    ) -> None:
        self._reactor = reactor
        self._fleet = fleet
        self._host_view = host_view
        self._timeout_s = timeout_s
        self._open: dict[int, _OpenQuery] = {}
        self._number = 0

    async def gather(self, text: str) -> GatheredRows:
        """Return the rows that a query selects on all hosts, this one included."""
        local = await select_local_rows(text, self._host_view)
        membership = self._fleet.membership
        others = [r for r in membership.list_members() if r.host != membership.own.host]
        if not others:
            return GatheredRows(rows=local, silent_hosts=())
        self._number += 1
        number = self._number
        query = _OpenQuery(waiting={record.host for record in others}, done=Deferred())
        self._open[number] = query
        for record in others:
            request = QueryRequest(query=number, text=text, address=membership.own.address)
            self._fleet.socket.send(record.address, request)
        timeout = self._reactor.callLater(self._timeout_s, self._finish, number)
        await query.done
        if timeout.active():
            timeout.cancel()
        silent = tuple(sorted(query.waiting | query.partial))
        return GatheredRows(rows=local + query.rows, silent_hosts=silent)

    def receive(self, sender: HostId, message: QueryMessage) -> None:
        """Process a query or an answer from another host."""
        match message:
            case QueryRequest():
                answering = Deferred.fromCoroutine(self._answer(message))
                answering.addErrback(
                    lambda failure: log_message("agent: fault", fault=failure.getTraceback())
                )
            case QueryAnswer():
                self._receive_answer(sender, message)

    async def _answer(self, request: QueryRequest) -> None:
        rows = await select_local_rows(request.text, self._host_view)
        encoded, complete = encode_rows(rows)
        answer = QueryAnswer(query=request.query, rows=encoded, truncated=not complete)
        self._fleet.socket.send(request.address, answer)

    def _receive_answer(self, sender: HostId, answer: QueryAnswer) -> None:
        query = self._open.get(answer.query)
        if query is None or sender not in query.waiting:
            return
        try:
            query.rows += _DECODER.decode(answer.rows)
        except msgspec.MsgspecError:
            return
        query.waiting.discard(sender)
        if answer.truncated:
            query.partial.add(sender)
        if not query.waiting:
            self._finish(answer.query)

    def _finish(self, number: int) -> None:
        query = self._open.pop(number, None)
        if query is not None:
            query.done.callback(None)


async def select_local_rows(text: str, host_view: HostView) -> list[Row]:
    """Return this host's rows of a query, or none if the text is not a query."""
    match parse(text):
        case Success(Show() as show):
            return await _select_shown(show, host_view)
        case Success(Explain(subject=Subject.REQUEST, name=name)):
            lines = host_view.explain_request(RequestId(name))
            return [(line,) for line in lines or ()]
    return []


async def _select_shown(show: Show, host_view: HostView) -> list[Row]:
    if isinstance(check_show(show), Failure):
        return []
    rows = await host_view.list_rows(show.table)
    if isinstance(rows, Unavailable):
        return []
    return select_rows(show, rows, time.time())


def encode_rows(rows: list[Row]) -> tuple[bytes, bool]:
    """Return the first rows, encoded for one answer, and whether these are all.

    At most ``ROWS_LIMIT`` rows are returned. While they exceed ``ROWS_LIMIT_BYTES``, their number
    is halved, so about half of the rows that would fit may be left out.
    """
    kept = rows[:ROWS_LIMIT]
    encoded = msgspec.json.encode(kept)
    while len(encoded) > ROWS_LIMIT_BYTES:
        kept = kept[: len(kept) // 2]
        encoded = msgspec.json.encode(kept)
    return encoded, len(kept) == len(rows)

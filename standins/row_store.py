"""The operators' store with its change feed, run inside a test process."""

from dataclasses import dataclass, field
from enum import Enum
from typing import Any
from urllib.parse import parse_qs

from greengagestage.http1 import IncomingRequest, LimitExceeded, Responder

from ._row_tables import RowTables, StoreReply

JSON_HEADERS = [(b"Content-Type", b"application/json")]
ERA_HEADER = b"Store-Era"


class StoreFault(Enum):
    """How the store misbehaves.

    ``DOWN`` answers 503, ``SILENT`` never answers, ``ANSWER_LOST`` closes the connection after
    a transaction was executed, and ``HISTORY_LOST`` answers 410 to watches of the feed.
    """

    NONE = "none"
    DOWN = "down"
    SILENT = "silent"
    ANSWER_LOST = "answer_lost"
    HISTORY_LOST = "forgetful"


@dataclass(slots=True, kw_only=True)
class _Watch:
    table: str
    after: int
    responder: Responder
    timer: Any = None


@dataclass(slots=True, kw_only=True)
class RowStore:
    """Tables whose changes can be watched through a feed.

    Attributes:
        clock_offset_s: Difference of the store's clock to that of the reactor.
        calls: The paths of all calls, in the order of arrival.
        fault: The active fault.
    """

    reactor: Any
    clock_offset_s: float = 0.0
    calls: list[str] = field(default_factory=list)
    fault: StoreFault = StoreFault.NONE
    _tables: RowTables = field(default_factory=RowTables)
    _watches: list[_Watch] = field(default_factory=list)

    def put(self, table: str, key: str, value: bytes) -> None:
        """Write a row, as the operator or an upstream does, and notify watches."""
        self._tables.put(table, key, value)
        self._notify_watches()

    def remove(self, table: str, key: str) -> None:
        """Remove a row and notify watches."""
        self._tables.remove(table, key)
        self._notify_watches()

    def list_keys(self, table: str) -> list[str]:
        """Return the keys of a table's rows."""
        return [row.key for row in self._tables.list_rows(table)]

    def take_copy(self) -> RowTables:
        """Return a copy from which the store can come back."""
        return self._tables.copy()

    def restore(self, copy: RowTables) -> None:
        """Come back from an older copy; the connections with open watches are closed."""
        self._tables.restore(copy)
        watches, self._watches = self._watches, []
        for watch in watches:
            watch.timer.cancel()
            watch.responder.abort()

    def handle(self, request: IncomingRequest, responder: Responder) -> None:
        """Answer one call, subject to the active fault."""
        path, _, query = request.target.decode().partition("?")
        self.calls.append(path)
        if self.fault is StoreFault.DOWN:
            self._refuse(responder, 503)
            return
        if self.fault is StoreFault.SILENT:
            return
        self._update_clock()
        arguments = {name: values[0] for name, values in parse_qs(query).items()}
        match path:
            case "/rows-get":
                self._answer(responder, self._tables.read(arguments))
            case "/rows-feed":
                self._start_watch(arguments, responder)
            case "/rows-tx":
                self._transact(request.body, responder)
            case _:
                self._refuse(responder, 404)

    def explain_limit(self, limit: LimitExceeded) -> bytes:
        """Return the body of the answer to a request that exceeds a limit."""
        return limit.name.encode()

    def _start_watch(self, arguments: dict[str, str], responder: Responder) -> None:
        after = int(arguments["AfterRevision"])
        if self.fault is StoreFault.HISTORY_LOST or after > self._tables.revision:
            self._refuse(responder, 410)
            return
        watch = _Watch(table=arguments["Table"], after=after, responder=responder)
        if self._answer_watch(watch):
            return
        wait_s = int(arguments.get("WaitMs", "0")) / 1_000
        watch.timer = self.reactor.callLater(wait_s, self._expire_watch, watch)
        self._watches.append(watch)

    def _answer_watch(self, watch: _Watch) -> bool:
        rows = self._tables.list_changes(watch.table, watch.after)
        if rows:
            self._answer(watch.responder, self._tables.build_reply(rows))
        return bool(rows)

    def _expire_watch(self, watch: _Watch) -> None:
        self._watches.remove(watch)
        self._update_clock()
        self._answer(watch.responder, self._tables.build_reply([]))

    def _notify_watches(self) -> None:
        for watch in list(self._watches):
            if self._answer_watch(watch):
                self._watches.remove(watch)
                watch.timer.cancel()

    def _transact(self, body: bytes, responder: Responder) -> None:
        reply = self._tables.transact(body)
        self._notify_watches()
        if self.fault is StoreFault.ANSWER_LOST:
            responder.abort()
            return
        self._answer(responder, reply)

    def _update_clock(self) -> None:
        self._tables.now_ms = round((self.reactor.seconds() + self.clock_offset_s) * 1_000)

    def _answer(self, responder: Responder, reply: StoreReply) -> None:
        responder.answer(reply.status, [*JSON_HEADERS, *self._build_era_headers()], reply.body)

    def _refuse(self, responder: Responder, status: int) -> None:
        responder.answer(status, self._build_era_headers(), b"")

    def _build_era_headers(self) -> list[tuple[bytes, bytes]]:
        return [(ERA_HEADER, b"%d" % self._tables.era)]

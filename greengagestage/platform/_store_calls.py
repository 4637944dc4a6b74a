"""Single HTTP calls to the platform's stores, each with its complete response."""

from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from twisted.internet.defer import Deferred

from greengagestage.http1 import (
    ClientConnection,
    ConnectionPool,
    Endpoint,
    Exchange,
    ExchangeFailure,
    HeaderList,
    OutgoingRequest,
    PieceBuffer,
    ResponseHead,
)
from greengagestage.outcomes import Unavailable, Unknown

from ._headers import MAX_NUMBER_DIGITS, STORE_ERA

CALL_TIMEOUT_S = 0.7
"""Time limit for the begin of an answer, in addition to the time that a watch waits, and for each
further part of it. The store usually answers in 4 ms, and in 240 ms when it is sixty times slower.
The transfer of a large answer, like a configuration with many routes, takes seconds on a slow
link."""

MAX_IDLE_S = 30.0
"""Idle time from which a connection is not reused; the store may close it at any time. The idle
limit of ``ClientConnection.reusable`` applies as well, and is shorter unless the store announces a
longer timeout. Both are checked when a connection is taken; the pool does not close it earlier."""

MAX_ANSWER_BYTES = 8_388_608
"""Larger responses are aborted: the store holds no larger objects, and pages of rows are at most
1 MB."""

MAX_CALLS_IN_FLIGHT = 64
"""Limit for concurrent calls. At the store's usual 4 ms, it allows 16,000 calls a second."""

UNAVAILABLE_STATUS = 503
"""The only 5xx status that proves that the store did nothing; every 4xx status proves it too."""


@dataclass(frozen=True, slots=True, kw_only=True)
class StoreAnswer:
    """A complete response of the store.

    Attributes:
        era: The store's era, which grows by one each time the store comes back from an older copy
            and loses its newest writes; None if the store does not state it. Revisions and clock
            times of different eras cannot be compared.
        framed: Whether the body's end is marked. One that ends with its connection may be cut
            short by the end of the store's process.
    """

    status: int
    body: bytes
    era: int | None = None
    framed: bool = True


CallOutcome = StoreAnswer | Unavailable | Unknown


class StoreCalls:
    """Sends calls to the store; never retries one.

    Args:
        on_era: Handles the store's era in the head of each response, before the call ends.

    Attributes:
        sent: Number of calls started so far, including those for which no connection could be
            opened, but not those refused because of ``MAX_CALLS_IN_FLIGHT``.
    """

    def __init__(
        self,
        *,
        reactor: Any,
        endpoint: Endpoint,
        timeout_s: float = CALL_TIMEOUT_S,
        on_era: Callable[[int], None] = lambda era: None,
    ) -> None:
        self._reactor = reactor
        self._on_era = on_era
        self._endpoint = endpoint
        self._timeout_s = timeout_s
        self._pool = ConnectionPool(reactor=reactor)
        self._in_flight = 0
        self.sent = 0

    def send(
        self,
        method: bytes,
        target: str,
        *,
        body: bytes = b"",
        headers: HeaderList | None = None,
        wait_s: float = 0.0,
        may_send: Callable[[], bool] = lambda: True,
    ) -> Deferred[CallOutcome]:
        """Send one call; ``wait_s`` is added to the time limit.

        Args:
            may_send: Asked once a connection is open. If it denies, the call is ``Unavailable``.
        """
        call = _Call(
            reactor=self._reactor,
            pool=self._pool,
            endpoint=self._endpoint,
            timeout_s=wait_s + self._timeout_s,
            part_timeout_s=self._timeout_s,
            on_era=self._on_era,
            may_send=may_send,
        )
        if self._in_flight >= MAX_CALLS_IN_FLIGHT:
            call.finish(Unavailable(reason="too many calls in flight"))
            return call.done
        self._in_flight += 1
        self.sent += 1
        host = f"{self._endpoint.address}:{self._endpoint.port}".encode()
        call.start(
            OutgoingRequest(
                method=method,
                target=target.encode(),
                headers=[(b"Host", host), *(headers or [])],
                body=body,
            )
        )
        return call.done.addCallback(self._count_ended_call)

    def close(self) -> None:
        """Close the idle connections."""
        self._pool.close()

    def _count_ended_call(self, outcome: CallOutcome) -> CallOutcome:
        self._in_flight -= 1
        return outcome


def classify_error_status(status: int) -> Unavailable | Unknown:
    """Return whether a write with an error status certainly had no effect or may have had one."""
    reason = f"status {status}"
    if 400 <= status < 500 or status == UNAVAILABLE_STATUS:
        return Unavailable(reason=reason)
    return Unknown(reason=reason)


class _Call:
    """One request to the store and its complete response.

    Args:
        timeout_s: Time limit for the begin of the response.
        part_timeout_s: Time limit for each further part of it.
    """

    def __init__(
        self,
        *,
        reactor: Any,
        pool: ConnectionPool,
        endpoint: Endpoint,
        timeout_s: float,
        part_timeout_s: float,
        on_era: Callable[[int], None] = lambda era: None,
        may_send: Callable[[], bool] = lambda: True,
    ) -> None:
        self._on_era = on_era
        self._may_send = may_send
        self._era: int | None = None
        self.done: Deferred[CallOutcome] = Deferred()
        self._endpoint = endpoint
        self._pool = pool
        self._connection: ClientConnection | None = None
        self._status = 0
        self._framed = True
        self._body = PieceBuffer()
        self._part_timeout_s = part_timeout_s
        self._timer = reactor.callLater(timeout_s, self._time_out)

    def start(self, request: OutgoingRequest) -> None:
        """Send the request on an idle connection or a new one."""
        exchange = Exchange(request=request, listener=self)
        idle = self._pool.take_idle(self._endpoint, idle_limit_s=MAX_IDLE_S)
        if idle is not None:
            self._send(idle, exchange)
            return
        self._pool.open(
            self._endpoint,
            on_open=lambda connection: self._send(connection, exchange),
            on_failed=lambda: self.finish(Unavailable(reason="not connected")),
        )

    def finish(self, outcome: CallOutcome) -> None:
        """End the call with an outcome, unless it has ended."""
        if self._timer.active():
            self._timer.cancel()
        if not self.done.called:
            self.done.callback(outcome)

    def receive_head(self, head: ResponseHead) -> None:
        """Record the status and the store's era."""
        self._status = head.status
        self._framed = head.framed
        self._era = _parse_era(head.get(STORE_ERA))
        if self._era is not None:
            self._on_era(self._era)
        self._await_next_part()

    def receive_body(self, data: bytes) -> None:
        """Buffer the next bytes of the body; abort the call if the body exceeds the limit."""
        if self._body.size + len(data) > MAX_ANSWER_BYTES:
            self._abort("the answer is too large")
            return
        self._body.append(data)
        self._await_next_part()

    def end_response(self) -> None:
        """End the call with the complete response."""
        body = self._body.take()
        self.finish(StoreAnswer(status=self._status, body=body, era=self._era, framed=self._framed))

    def fail_response(self, failure: ExchangeFailure) -> None:
        """End the call without a complete response; it may have had an effect."""
        self.finish(Unknown(reason=failure.value))

    def _send(self, connection: ClientConnection, exchange: Exchange) -> None:
        if self.done.called or not self._may_send():
            self._pool.put_idle(self._endpoint, connection)
            self.finish(Unavailable(reason="not to be sent any more"))
            return
        self._connection = connection
        connection.send(exchange)

    def _await_next_part(self) -> None:
        if self._timer.active():
            self._timer.reset(self._part_timeout_s)

    def _time_out(self) -> None:
        if self._connection is None:
            self.finish(Unavailable(reason="not connected in time"))
            return
        self._abort("no answer in time")

    def _abort(self, reason: str) -> None:
        if self._connection is not None:
            self._connection.close()
        self.finish(Unknown(reason=reason))


def _parse_era(value: bytes | None) -> int | None:
    if value is None or not value.isdigit() or len(value) > MAX_NUMBER_DIGITS:
        return None
    return int(value)

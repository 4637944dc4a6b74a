"""Proof that an answer which ended with its connection is complete."""

from collections.abc import Callable, Iterable
from typing import Any

from eliot import log_message

from greengagestage.catalog import RegisteredUpstream
from greengagestage.http1 import ClientConnection, ConnectionPool, Endpoint
from greengagestage.ids import AttemptId

SETTLE_S = 0.05
"""Time after the end of one connection in which a process that exits stops listening, too."""

SURVIVAL_S = 0.3
"""Time in which the other connections of an upstream end that accepts none any more, if its process
exits. One that closes them itself takes a while, and a lost segment is sent again after 0.2 s."""


class AnswerEnds:
    """Finds out whether an upstream closed a connection, or the end of its process did.

    The kernel closes the connections of a process that exits in the same way as the process closes
    one after a whole answer. An answer without framing is complete only if its upstream lives on:
    it accepts a new connection, or where it has no room for one, another connection stays open.

    Args:
        pool: Connections to upstreams.
        list_upstreams: Returns the upstreams in the registry.
    """

    def __init__(
        self,
        *,
        reactor: Any,
        pool: ConnectionPool,
        list_upstreams: Callable[[], Iterable[RegisteredUpstream]],
    ) -> None:
        self._reactor = reactor
        self._pool = pool
        self._list_upstreams = list_upstreams

    def call_when_judged(
        self,
        attempt_id: AttemptId,
        upstream: RegisteredUpstream,
        *,
        on_complete: Callable[[], None],
        on_lost: Callable[[], None],
    ) -> None:
        """Call one of two functions once it shows whether an answer that has just ended is whole.

        Args:
            on_complete: Called if the upstream lives on.
            on_lost: Called if it does not, or cannot be reached.
        """
        endpoint = Endpoint(address=upstream.address, port=upstream.port)
        ended_s = self._reactor.seconds()

        def report(connections: int) -> None:
            complete = connections > 0 and not self._is_replaced(upstream)
            log_message(
                message_type="upstream: answer ended with its connection",
                request=attempt_id,
                upstream=upstream.instance,
                complete=complete,
                open_connections=connections,
            )
            (on_complete if complete else on_lost)()

        def handle_open(connection: ClientConnection) -> None:
            self._pool.put_idle(endpoint, connection)
            report(connections=1)

        def count_others() -> int:
            return self._pool.count_alive_since_before(endpoint, ended_s)

        def handle_failure() -> None:
            if count_others():
                self._call_later(SURVIVAL_S, lambda: report(connections=count_others()))
            else:
                report(connections=0)

        def connect() -> None:
            self._pool.open(endpoint, on_open=handle_open, on_failed=handle_failure)

        self._call_later(SETTLE_S, connect)

    def _is_replaced(self, upstream: RegisteredUpstream) -> bool:
        """Whether another upstream has the address: an end can be read seconds late."""
        listed = list(self._list_upstreams())
        endpoint = (upstream.address, upstream.port)
        at_endpoint = any((each.address, each.port) == endpoint for each in listed)
        return at_endpoint and all(each.incarnation != upstream.incarnation for each in listed)

    def _call_later(self, delay_s: float, judge: Callable[[], None]) -> None:
        # Timers run before sockets are read: a process that was held up has yet to read the ends
        # that have arrived in the meantime.
        self._reactor.callLater(delay_s, self._reactor.callLater, 0.0, judge)

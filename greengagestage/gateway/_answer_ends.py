"""Proof that an answer which ended with its connection is complete."""

from collections.abc import Callable
from typing import Any

from eliot import log_message

from greengagestage.catalog import RegisteredUpstream
from greengagestage.http1 import ClientConnection, ConnectionPool, Endpoint
from greengagestage.ids import AttemptId

SETTLE_S = 0.05
"""Time after the end of one connection in which the others of a process that exits end, too."""


class AnswerEnds:
    """Finds out whether an upstream closed a connection, or the end of its process did.

    The kernel closes the connections of a process that exits in the same way as the process closes
    one after a whole answer. An answer without framing is complete only if its upstream lives on:
    another connection to it does, or it accepts a new one.

    Args:
        pool: Connections to upstreams.
    """

    def __init__(self, *, reactor: Any, pool: ConnectionPool) -> None:
        self._reactor = reactor
        self._pool = pool

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

        def report(*, complete: bool, connections: int) -> None:
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
            report(complete=True, connections=0)

        def judge() -> None:
            alive = self._pool.count_alive_since_before(endpoint, ended_s)
            if alive:
                report(complete=True, connections=alive)
            else:
                self._pool.open(
                    endpoint,
                    on_open=handle_open,
                    on_failed=lambda: report(complete=False, connections=0),
                )

        # Timers run before sockets are read: a process that was held up has yet to read the ends
        # that have arrived in the meantime.
        self._reactor.callLater(SETTLE_S, self._reactor.callLater, 0.0, judge)

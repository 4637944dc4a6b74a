"""Graceful shutdown of a host, which waits for open requests as long as the grace period allows."""

from collections.abc import Collection, Sequence
from typing import Any, Protocol

from eliot import log_message
from twisted.internet.defer import Deferred

from greengagestage.http1 import ServerFactory
from greengagestage.ids import AttemptId
from greengagestage.telemetry import log_current_exception

from ._site import ConfigurationView

LOAD_BALANCER_DELAY_S = 2.6
"""The load balancer probes once a second and removes a host after two failures. Until then new
requests are served as usual."""

CHECK_INTERVAL_S = 0.1
"""Time between two checks for open requests."""

GRACE_MARGIN_S = 0.4
"""Open requests are awaited until this long before the end of the grace period, when the process
would be killed."""

END_MARGIN_S = 0.2
"""The answers to interrupted requests, and to those that arrived last, are sent until this long
before the end of the grace period. They take ``CHECK_INTERVAL_S`` at least, however short it is."""


class Stoppable(Protocol):
    """A request that is still open."""

    @property
    def attempt_id(self) -> AttemptId:
        """The id that the caller gave the request."""

    def stop(self) -> None:
        """Give the request's final answer now."""


class Shutdown:
    """Stops a host in steps.

    It reports itself as not ready, still serves requests until the load balancer has removed it,
    then refuses new ones and waits for the open ones. Requests that are still open shortly before
    the end of the grace period are interrupted; callers whose answer has not begun are told so. At
    the end, when none is open, it accepts no more connections, closes those without a request and
    answers what has arrived on the others.
    """

    def __init__(
        self,
        *,
        reactor: Any,
        grace_s: float,
        servers: Sequence[ServerFactory],
        configuration: ConfigurationView,
        open_exchanges: Collection[Stoppable],
    ) -> None:
        self._reactor = reactor
        self.grace_s = grace_s
        self._servers = servers
        self._configuration = configuration
        self._open_exchanges = open_exchanges
        self._done: Deferred[None] | None = None
        self._began_s = 0.0
        self._ends_s = 0.0
        self._interrupted = False

    @property
    def begun(self) -> bool:
        """Whether the shutdown has begun; new requests are still served for a while."""
        return self._done is not None

    def begin(self) -> Deferred[None]:
        """Start the shutdown.

        The result fires once the load balancer has had time to remove the host, no request is open
        or waits unread any more and all answers have been sent, or shortly before the grace period
        ends.
        """
        if self._done is None:
            self._done = Deferred()
            self._began_s = self._reactor.seconds()
            for server in self._servers:
                server.closing = True
            self._reactor.callLater(LOAD_BALANCER_DELAY_S, self._refuse_new)
        return self._done

    def _refuse_new(self) -> None:
        self._configuration.refuses_requests = True
        for server in self._servers:
            server.close_idle()
        self._check_open_requests()

    def _check_open_requests(self) -> None:
        """Take the last requests once none is open, or when the grace period is nearly over."""
        if self._open_exchanges and self._has_time(GRACE_MARGIN_S):
            self._reactor.callLater(CHECK_INTERVAL_S, self._check_open_requests)
            return
        for server in self._servers:
            server.stop_accepting()
        self._postpone_end()
        self._check_last_requests()

    def _check_last_requests(self) -> None:
        """End once everything that has arrived is answered; connections without a request end."""
        for server in self._servers:
            server.close_idle()
        open_requests = len(self._open_exchanges)
        unsent_answers = sum(server.count_sending() for server in self._servers)
        unread = sum(server.count_unread() for server in self._servers)
        if not self._has_time(GRACE_MARGIN_S):
            self._interrupt(open_requests, unsent_answers)
        is_busy = open_requests or unsent_answers or unread
        if is_busy and self._reactor.seconds() < self._ends_s:
            self._reactor.callLater(CHECK_INTERVAL_S, self._check_last_requests)
        else:
            self._end()

    def _interrupt(self, open_requests: int, unsent_answers: int) -> None:
        """Give the requests that are still open their final answers, once."""
        if self._interrupted or not (open_requests or unsent_answers):
            return
        self._interrupted = True
        log_message(
            message_type="host: grace is over",
            open_requests=open_requests,
            unsent_answers=unsent_answers,
        )
        for exchange in list(self._open_exchanges):
            self._stop_exchange(exchange)
        self._postpone_end()

    def _postpone_end(self) -> None:
        """Set the end to when the grace period allows, but leave time for what is still unsent."""
        now_s = self._reactor.seconds()
        planned_s = self._began_s + self.grace_s - END_MARGIN_S
        self._ends_s = max(planned_s, now_s + CHECK_INTERVAL_S)

    def _has_time(self, margin_s: float) -> bool:
        """Whether the grace period lasts for longer than a margin."""
        elapsed_s = self._reactor.seconds() - self._began_s
        return bool(elapsed_s < self.grace_s - margin_s)

    def _end(self) -> None:
        if self._done is not None and not self._done.called:
            self._done.callback(None)

    def _stop_exchange(self, exchange: Stoppable) -> None:
        """Stop one request. An exception must not keep the host from stopping, so it is logged."""
        try:
            exchange.stop()
        except Exception:
            log_current_exception("host: request not answered", request=exchange.attempt_id)

"""Graceful stop of an entry process, which lets requests in progress finish."""

from typing import Any

from eliot import log_message
from twisted.internet.defer import Deferred
from twisted.internet.task import LoopingCall

from greengagestage.policy import StopRequested

from ._http import CallerServer
from ._ports import Claims
from ._readiness import Readiness
from ._settings import LifecycleTimes
from ._shell import Shell

CHECK_INTERVAL_S = 0.05
CLAIMS_TIMEOUT_S = 5.0
"""How long a stop waits for the store to confirm pending changes of claims."""


class Shutdown:
    """Fails readiness, stops listening after a fixed delay, and drains requests.

    The delay, ``LifecycleTimes.drain_notice_s``, gives the load balancer time to notice.

    Args:
        answer_read_limit_s: How long to wait for callers to read their answers.
        request_receive_limit_s: How long to wait for callers to finish sending their requests.
    """

    def __init__(
        self,
        *,
        reactor: Any,
        shell: Shell,
        readiness: Readiness,
        server: CallerServer,
        claims: Claims,
        times: LifecycleTimes,
        answer_read_limit_s: float,
        request_receive_limit_s: float,
    ) -> None:
        self._reactor = reactor
        self._shell = shell
        self._readiness = readiness
        self._server = server
        self._claims = claims
        self._times = times
        self._answer_read_limit_s = answer_read_limit_s
        self._request_receive_limit_s = request_receive_limit_s
        self._check = LoopingCall(self._check_progress)
        self._check.clock = reactor
        self._stop_requested = False
        self._closed_at_s = 0.0
        self._idle_since_s: float | None = None
        self._done: Deferred[None] = Deferred()

    def begin(self) -> Deferred[None]:
        """Start the stop; the result fires when it is finished. Later calls have no effect."""
        if not self._readiness.stopping:
            log_message(message_type="entry: stop begins")
            self._readiness.stopping = True
            self._server.closing = True
            self._reactor.callLater(self._times.drain_notice_s, self._close)
        return self._done

    def _close(self) -> None:
        log_message(message_type="entry: listener closed", open_requests=len(self._shell.requests))
        self._server.stop_accepting()
        self._closed_at_s = self._reactor.seconds()
        self._check.start(CHECK_INTERVAL_S)

    def _check_progress(self) -> None:
        self._server.close_idle()
        if (
            self._server.receiving
            and self._compute_elapsed_s(self._closed_at_s) < self._request_receive_limit_s
        ):
            return
        if not self._stop_requested:
            self._stop_requested = True
            self._shell.feed(StopRequested())
        if not self._shell.is_idle:
            return
        if self._idle_since_s is None:
            self._idle_since_s = self._reactor.seconds()
        idle_s = self._compute_elapsed_s(self._idle_since_s)
        if self._server.channels and idle_s < self._answer_read_limit_s:
            return
        if self._claims.unsettled and idle_s < CLAIMS_TIMEOUT_S:
            return
        self._check.stop()
        log_message(message_type="entry: stop ends", unread_answers=len(self._server.channels))
        self._done.callback(None)

    def _compute_elapsed_s(self, since_s: float) -> float:
        return float(self._reactor.seconds() - since_s)

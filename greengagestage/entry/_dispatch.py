"""Starts attempts on upstreams and cancels them."""

from collections.abc import Callable
from typing import Any

from greengagestage.ids import AttemptId
from greengagestage.policy import AttemptFailed, Dispatch, Event, FailureKind
from greengagestage.upstream import (
    Address,
    ConnectionPool,
    EngineAttempt,
    Exchange,
    ExchangeListener,
    OutboundRequest,
    ResponseHead,
    ServiceAttempt,
    SilenceLimits,
)
from greengagestage.wire import UpstreamLeavingNotice

from ._active import ActiveRequest
from ._calls import build_outbound
from ._deliveries import CompletionDelivery, ServiceDelivery
from ._directory import Directory
from ._ports import MessageSender
from ._requests import OpenRequests
from ._runs import EngineRun, Run, ServiceRun

CANCEL_LIMITS = SilenceLimits(first_byte_s=2.0, between_bytes_s=2.0)


class Dispatcher:
    """Starts and cancels attempts.

    Attributes:
        directory: Resolves upstream names to addresses; None before the first configuration.
    """

    def __init__(
        self,
        *,
        reactor: Any,
        pool: ConnectionPool,
        sender: MessageSender,
        requests: OpenRequests,
        feed: Callable[[Event], None],
    ) -> None:
        self.directory: Directory | None = None
        self._reactor = reactor
        self._pool = pool
        self._sender = sender
        self._requests = requests
        self._feed = feed

    def dispatch(self, action: Dispatch) -> None:
        """Start an attempt, or report at once that it was not sent.

        The attempt is paused from the start while the caller is stalled.
        """
        active = self._requests.get(action.request_id)
        address = self.directory.find_address(action.upstream) if self.directory else None
        if active is None or address is None:
            self._feed(AttemptFailed(attempt_id=action.attempt_id, kind=FailureKind.NOT_SENT))
        elif not active.delivery.resumable:
            self._feed(
                AttemptFailed(
                    attempt_id=action.attempt_id, kind=FailureKind.NOT_SENT, resumable=False
                )
            )
        else:
            self._start(active, action, address)

    def cancel(self, attempt_id: AttemptId) -> None:
        """Close an attempt's connection at once; if it ran on an engine, cancel it there too."""
        active = self._requests.unbind_attempt(attempt_id)
        run = None if active is None else active.stop_run(attempt_id)
        if isinstance(run, EngineRun):
            self._send_cancel(run)

    def _start(self, active: ActiveRequest, action: Dispatch, address: Address) -> None:
        run, listener = self._build_run(active, action, address)
        exchange = Exchange(
            reactor=self._reactor,
            pool=self._pool,
            address=address,
            request=build_outbound(
                active.call,
                attempt_id=action.attempt_id,
                priority=action.priority,
                resume_token_ids=active.delivery.list_token_ids(),
            ),
            limits=SilenceLimits(
                first_byte_s=action.first_token_timeout_s,
                between_bytes_s=action.inter_token_timeout_s,
            ),
            listener=listener,
            fresh_connection=not active.call.request.idempotent,
        )
        run.exchange = exchange
        active.register_run(run)
        self._requests.bind_attempt(action.attempt_id, active)
        if active.is_stalled:
            exchange.pause()
        exchange.start()

    def _build_run(
        self, active: ActiveRequest, action: Dispatch, address: Address
    ) -> tuple[Run, ExchangeListener]:
        fields: dict[str, Any] = {
            "attempt_id": action.attempt_id,
            "upstream": action.upstream,
            "address": address,
            "feed": self._feed,
            "observer": active,
            "report_leaving": self._report_leaving,
        }
        match active.delivery:
            case CompletionDelivery() as completion:
                engine_run = EngineRun(delivery=completion, **fields)
                return engine_run, EngineAttempt(listener=engine_run)
            case ServiceDelivery() as service:
                service_run = ServiceRun(delivery=service, **fields)
                return service_run, ServiceAttempt(listener=service_run)

    def _report_leaving(self, run: Run) -> None:
        self._sender.send(UpstreamLeavingNotice(upstream=run.upstream))

    def _send_cancel(self, run: Run) -> None:
        listener = _ResponseDiscarder()
        listener.exchange = Exchange(
            reactor=self._reactor,
            pool=self._pool,
            address=run.address,
            request=OutboundRequest(
                method=b"DELETE", target=b"/v1/attempts/%b" % run.attempt_id.encode()
            ),
            limits=CANCEL_LIMITS,
            listener=listener,
        )
        listener.exchange.start()


class _ResponseDiscarder:
    """Listener that ignores the response to a cancellation: the attempt is already stopped here.

    An upstream that does not respond in time is no longer awaited.
    """

    exchange: Exchange | None = None

    def receive_head(self, head: ResponseHead) -> None:
        pass

    def receive_body(self, data: bytes) -> None:
        pass

    def end_body(self) -> None:
        pass

    def report_silence(self) -> None:
        if self.exchange is not None:
            self.exchange.close()

    def fail(self, kind: FailureKind) -> None:
        pass

"""HTTP handler of the readiness probe and the metrics endpoint."""

from collections.abc import Callable

from greengagestage.http1 import IncomingRequest, LimitExceeded, Responder
from greengagestage.platform import READINESS_PATH
from greengagestage.telemetry import METRICS_CONTENT_TYPE

METRICS_PATH = b"/metrics"


class ReadinessHandler:
    """Answers readiness probes of the load balancer and metrics scrapes.

    Args:
        find_unready_reason: Returns why the host is not ready, or None if it is ready.
        render_metrics: Returns all metrics in the text exposition format.
    """

    def __init__(
        self, *, find_unready_reason: Callable[[], str | None], render_metrics: Callable[[], bytes]
    ) -> None:
        self._find_unready_reason = find_unready_reason
        self._render_metrics = render_metrics

    def handle(self, request: IncomingRequest, responder: Responder) -> None:
        """Answer a probe or a scrape; any other path is answered with 404."""
        path = request.target.partition(b"?")[0]
        if path == METRICS_PATH:
            content_type = [(b"Content-Type", METRICS_CONTENT_TYPE.encode())]
            responder.answer(200, content_type, self._render_metrics())
            return
        if path != READINESS_PATH:
            responder.answer(404, [], b"")
            return
        reason = self._find_unready_reason()
        responder.answer(200 if reason is None else 503, [], (reason or "ready").encode())

    def explain_limit(self, limit: LimitExceeded) -> bytes:
        """Return the response body for a request that exceeds a limit or cannot be parsed."""
        return limit.name.encode()

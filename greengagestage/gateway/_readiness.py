"""The address where the balancer asks for readiness, and the metrics are read."""

from collections.abc import Callable

from greengagestage.http1 import IncomingRequest, LimitExceeded, Responder
from greengagestage.platform import READINESS_PATH
from greengagestage.telemetry import METRICS_CONTENT_TYPE

METRICS_PATH = b"/metrics"


class ReadinessSite:
    """Answers the balancer and whoever reads the metrics.

    Args:
        find_obstacle: Returns why the host is not ready, or None.
        render_metrics: Returns all metrics as text.
    """

    def __init__(
        self, *, get_unready_reason: Callable[[], str | None], render_metrics: Callable[[], bytes]
    ) -> None:
        self._find_obstacle = get_unready_reason
        self._render_metrics = render_metrics

    def handle(self, request: IncomingRequest, responder: Responder) -> None:
        """Answer one request."""
        path = request.target.partition(b"?")[0]
        if path == METRICS_PATH:
            content_type = [(b"Content-Type", METRICS_CONTENT_TYPE.encode())]
            responder.answer(200, content_type, self._render_metrics())
            return
        if path != READINESS_PATH:
            responder.answer(404, [], b"")
            return
        obstacle = self._find_obstacle()
        responder.answer(200 if obstacle is None else 503, [], (obstacle or "ready").encode())

    def explain_limit(self, limit: LimitExceeded) -> bytes:
        """Return the body of the answer to a request that cannot be read."""
        return limit.name.encode()

"""The caller's request, from which the requests to upstreams are built."""

from greengagestage.catalog import Workspace
from greengagestage.http1 import IncomingRequest, OutgoingRequest
from greengagestage.platform import UpstreamRequestMetadata, build_upstream_headers
from greengagestage.routing import Job

from ._attempt import AttemptPlan


class RequestSource:
    """Holds a caller's request for as long as it may be sent again.

    Args:
        workspace: The workspace that owns the caller's key; None on routes without keys.
    """

    def __init__(self, *, request: IncomingRequest, job: Job, workspace: Workspace | None) -> None:
        self._request: IncomingRequest | None = request
        self._job = job
        self._workspace = workspace

    def build(
        self, plan: AttemptPlan, *, time_left_s: float, last_event_id: bytes | None
    ) -> OutgoingRequest | None:
        """Return the request for one send; None without time left or after ``release``.

        Args:
            last_event_id: Id of the last event that the caller has got, after which a stream is
                to go on.
        """
        request = self._request
        if request is None or time_left_s <= 0:
            return None
        metadata = UpstreamRequestMetadata(
            instance=plan.placement.upstream.instance,
            time_left_s=time_left_s,
            workspace=None if self._workspace is None else self._workspace.name,
            urgency=None if self._job.prompt is None else self._job.urgency,
            last_event_id=last_event_id,
        )
        return OutgoingRequest(
            method=request.method,
            target=request.target,
            headers=build_upstream_headers(request.headers, metadata),
            body=request.body,
            body_claim=request.body_claim,
        )

    def release(self) -> None:
        """Drop the request with its body, since it is not sent again."""
        self._request = None

"""Dependencies that all request exchanges of a host share."""

from collections.abc import Callable
from dataclasses import dataclass, field
from functools import partial
from typing import Any

from twisted.internet.defer import Deferred

from greengagestage.catalog import Workspace
from greengagestage.http1 import ConnectionPool
from greengagestage.ids import ClassName, WorkspaceId
from greengagestage.results import ResultCode
from greengagestage.routing import Job, Router
from greengagestage.telemetry import EntryMetrics

from ._link_watch import LinkWatch
from ._quarantine import Quarantine
from ._upstream_notices import UpstreamNotices


@dataclass(frozen=True, slots=True, kw_only=True)
class ExchangeContext:
    """The objects that the ``RequestExchange`` objects of a host share.

    Attributes:
        forwarding_pool: Connections to other hosts, which forward requests to upstreams.
        link_watch: Follows the links to the upstreams.
        quarantine: Keeps requests from being sent that crash upstreams.
        notices: Records what upstreams state about further requests.
        confirm_registry: Reads the list of upstreams; the result is whether that succeeded.
        count_begun: Counts a request of a workspace that has begun to run, for usage reports.
        open_exchanges: All exchanges that have not delivered a final answer.
    """

    reactor: Any
    router: Router
    pool: ConnectionPool
    forwarding_pool: ConnectionPool
    link_watch: LinkWatch
    quarantine: Quarantine
    notices: UpstreamNotices
    metrics: EntryMetrics
    confirm_registry: Callable[[], Deferred[bool]]
    count_begun: Callable[[WorkspaceId], None] = lambda workspace: None
    open_exchanges: set[Any] = field(default_factory=set)

    def count_result(self, job: Job, code: ResultCode) -> None:
        """Count the end of a request in the metrics.

        In the metrics, the route takes the place of a service class.
        """
        service_class = ClassName(job.route.name)
        self.metrics.count_result(code, service_class)
        if job.prompt is not None:
            self.metrics.prompt_sizes.observe(code, service_class, job.prompt.tokens)

    def build_run_counter(self, job: Job, workspace: Workspace | None) -> Callable[[], None]:
        """Return a function that counts a request when it begins to run.

        Requests without a workspace are not counted, nor is the rest of a stream that has begun
        with another request.
        """
        if workspace is None or job.began_at is not None:
            return lambda: None
        return partial(self.count_begun, workspace.name)

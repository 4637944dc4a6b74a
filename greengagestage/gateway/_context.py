"""Dependencies that all request exchanges of a host share."""

from collections.abc import Callable
from dataclasses import dataclass, field
from functools import partial
from typing import Any

from twisted.internet.defer import Deferred

from greengagestage.catalog import RouteKind, Workspace
from greengagestage.http1 import ConnectionPool, MemoryAccount
from greengagestage.ids import ClassName, Fingerprint, InstanceId, ServiceName, WorkspaceId
from greengagestage.results import ResultCode
from greengagestage.routing import Job, Placement, Refused, Router, Waiting
from greengagestage.telemetry import EntryMetrics

from ._answer_ends import AnswerEnds
from .crashes import Quarantine
from .watches import LinkWatch, UpstreamNotices

OTHER_HOST_RETRY_AFTER_S = 0.1
"""``Retry-After`` of a refusal where another host can probably serve the request at once."""

RECORD_POLL_S = 0.05
"""Pause until a request is placed again that waits for the record of crashes. Shorter ones keep a
host busy, whose callers may all wait, and delay the record."""


@dataclass(frozen=True, slots=True, kw_only=True)
class ExchangeContext:
    """The objects that the ``RequestExchange`` objects of a host share.

    Attributes:
        forwarding_pool: Connections to other hosts, which forward requests to upstreams.
        answer_ends: Judges answers that end with their connections.
        link_watch: Follows the links to the upstreams.
        quarantine: Keeps requests from being sent that crash upstreams.
        notices: Records what upstreams state about further requests.
        confirm_versions: Reads which versions of a service are, and were, listed; the result is
            whether each version at which a stream began is known then.
        memory: Counts what the host holds for callers and other hosts.
        awaits_crashes: Returns whether this host has just started and does not know yet what has
            crashed upstreams.
        takes_requests: Returns whether the host is not in the later part of a shutdown.
        count_begun: Counts a request of a workspace that has begun to run, for usage reports.
        open_exchanges: All exchanges that have not delivered a final answer.
    """

    reactor: Any
    router: Router
    pool: ConnectionPool
    forwarding_pool: ConnectionPool
    answer_ends: AnswerEnds
    link_watch: LinkWatch
    quarantine: Quarantine
    notices: UpstreamNotices
    metrics: EntryMetrics
    confirm_versions: Callable[[ServiceName], Deferred[bool]]
    memory: MemoryAccount = field(default_factory=MemoryAccount)
    awaits_crashes: Callable[[], bool] = lambda: False
    takes_requests: Callable[[], bool] = lambda: True
    count_begun: Callable[[WorkspaceId], None] = lambda workspace: None
    open_exchanges: set[Any] = field(default_factory=set)

    def place(
        self,
        job: Job,
        fingerprint: Fingerprint,
        tried: frozenset[InstanceId],
        unreached: frozenset[InstanceId],
    ) -> Placement | Refused | Waiting:
        """Choose an upstream for a job; see ``Router.place``.

        Late in a shutdown, a job is not sent for the first time, nor again if it may run only
        once: it would be cut off with an unknown result, while another host can serve it. A job
        that has been sent may be retried. Right after the start, a job waits until this host knows
        what has crashed upstreams, and later for what ``Quarantine.find_wait_reason`` says.
        """
        if self.awaits_crashes():
            reason = "the record of crashes has not been read yet"
            return Waiting(delay_s=RECORD_POLL_S, reason=reason)
        now_s = self.reactor.seconds()
        wait_reason = self.quarantine.find_wait_reason(fingerprint, job.attempt_id, now_s)
        if wait_reason is not None:
            return Waiting(delay_s=RECORD_POLL_S, reason=wait_reason)
        is_first = not tried and not unreached
        may_repeat = job.route.kind is not RouteKind.NON_IDEMPOTENT
        if job.began_at is None and (is_first or not may_repeat) and not self.takes_requests():
            retry_after_s = OTHER_HOST_RETRY_AFTER_S
            reason = "the host is about to stop"
            return Refused(code=ResultCode.STOPPING, retry_after_s=retry_after_s, reason=reason)
        return self.router.place(job, self.reactor.seconds(), tried, unreached)

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

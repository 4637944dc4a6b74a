"""Dependencies that all request exchanges of a host share."""

from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

from greengagestage.http1 import ConnectionPool
from greengagestage.ids import Fingerprint
from greengagestage.routing import LossTracker, Router
from greengagestage.telemetry import EntryMetrics

from ._crash_watch import CrashWatch
from ._upstream_notices import UpstreamNotices


@dataclass(frozen=True, slots=True, kw_only=True)
class ExchangeContext:
    """The objects that the ``RequestExchange`` objects of a host share.

    Attributes:
        losses: Answers that were lost, by the request's fingerprint.
        notices: Records what upstreams state about further requests.
        crash_watch: Finds prompts that crash upstreams.
        report_loss: Tells the other hosts of such a loss; takes the fingerprint and the loss's id.
        read_registry_age_s: Returns the seconds since the list of upstreams was confirmed.
        open_exchanges: All exchanges that have not delivered a final answer.
    """

    reactor: Any
    router: Router
    pool: ConnectionPool
    losses: LossTracker
    crash_watch: CrashWatch
    notices: UpstreamNotices
    metrics: EntryMetrics
    report_loss: Callable[[Fingerprint, str], None]
    read_registry_age_s: Callable[[], float | None]
    open_exchanges: set[Any] = field(default_factory=set)

"""What all exchanges of a host share."""

from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

from greengagestage.http1 import ConnectionPool
from greengagestage.ids import Fingerprint
from greengagestage.routing import LossTracker, Router
from greengagestage.telemetry import EntryMetrics


@dataclass(frozen=True, slots=True, kw_only=True)
class ExchangeContext:
    """The parts that an exchange works with.

    Attributes:
        report_strike: Tells the other hosts of an upstream lost under a request.
        open_exchanges: All exchanges without a final answer.
    """

    reactor: Any
    router: Router
    pool: ConnectionPool
    strikes: LossTracker
    metrics: EntryMetrics
    report_strike: Callable[[Fingerprint, str], None]
    open_exchanges: set[Any] = field(default_factory=set)

"""The queued and running requests of this host in one pool."""

from sortedcontainers import SortedKeyList

from greengagestage.ids import ClassName

from ._demand import PoolDemand
from ._latencies import PoolLatencies
from ._minimum_shares import ShareAccounts
from ._queues import PoolQueue
from ._records import Attempt, RequestRecord


def _order_preemptors(record: RequestRecord) -> tuple[int, float, int]:
    return (record.preemptor_priority, record.due_s, record.sequence)


class PoolState:
    """Queue, running requests, minimum shares, latencies and demand of a pool.

    Attributes:
        preemptors: Queued requests that may preempt a lower class, most urgent first.
    """

    def __init__(self) -> None:
        self.queue = PoolQueue()
        self.shares = ShareAccounts()
        self.latencies = PoolLatencies()
        self.demand = PoolDemand()
        self.preemptors = SortedKeyList(key=_order_preemptors)
        self._running: dict[ClassName, int] = {}
        self._running_by_priority: dict[int, int] = {}

    def count_running(self, name: ClassName) -> int:
        """Return the number of running requests of a class."""
        return self._running.get(name, 0)

    def count_running_at_or_below(self, priority: int) -> int:
        """Return the number of running requests at this priority or a lower one."""
        return sum(n for below, n in self._running_by_priority.items() if below >= priority)

    def add_preemptor(self, record: RequestRecord) -> None:
        """Let a queued request preempt a lower class."""
        if record not in self.preemptors:
            record.preemptor_priority = record.priority
            self.preemptors.add(record)

    def note_started(self, record: RequestRecord) -> None:
        """Count a request as running."""
        name = record.service_class.name
        self._running[name] = self._running.get(name, 0) + 1
        self._running_by_priority[record.priority] = (
            self._running_by_priority.get(record.priority, 0) + 1
        )

    def note_ended(self, record: RequestRecord, attempt: Attempt) -> None:
        """Count a request as no longer running."""
        self._running[record.service_class.name] -= 1
        self._running_by_priority[attempt.priority] -= 1

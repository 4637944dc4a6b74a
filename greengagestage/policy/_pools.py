"""What this host has waiting and running in one pool."""

from sortedcontainers import SortedKeyList

from greengagestage.ids import ClassName

from ._demand import PoolDemand
from ._queues import PoolQueue
from ._records import Attempt, RequestRecord
from ._shares import ShareAccounts
from ._speeds import PoolLatencies


def _order_by_urgency(record: RequestRecord) -> tuple[int, float, int]:
    return (record.urgency, record.due_s, record.sequence)


class PoolState:
    """The queue of a pool, the work that runs in it and how fast it answers.

    Attributes:
        impatient: Waiting requests that may take a slot from a lower class.
    """

    def __init__(self) -> None:
        self.queue = PoolQueue()
        self.shares = ShareAccounts()
        self.latencies = PoolLatencies()
        self.demand = PoolDemand()
        self.impatient = SortedKeyList(key=_order_by_urgency)
        self._running: dict[ClassName, int] = {}
        self._running_by_priority: dict[int, int] = {}

    def count_running(self, name: ClassName) -> int:
        """Return the number of running requests of a class."""
        return self._running.get(name, 0)

    def count_running_from(self, priority: int) -> int:
        """Return the number of running requests of this priority and lower ones."""
        return sum(n for below, n in self._running_by_priority.items() if below >= priority)

    def add_impatient(self, record: RequestRecord) -> None:
        """Let a waiting request take a slot from a lower class."""
        if record not in self.impatient:
            record.urgency = record.priority
            self.impatient.add(record)

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

"""What this host has waiting and running in one pool."""

from greengagestage.ids import ClassName

from ._queues import PoolQueue
from ._records import RequestRecord
from ._shares import ShareLedger
from ._speeds import PoolSpeed


class PoolState:
    """The queue of a pool, the work that runs in it and how fast it answers."""

    def __init__(self) -> None:
        self.queue = PoolQueue()
        self.shares = ShareLedger()
        self.speed = PoolSpeed()
        self._running: dict[ClassName, int] = {}

    def count_running(self, name: ClassName) -> int:
        """Return the number of running requests of a class."""
        return self._running.get(name, 0)

    def note_started(self, record: RequestRecord) -> None:
        """Count a request as running."""
        name = record.service_class.name
        self._running[name] = self._running.get(name, 0) + 1

    def note_ended(self, record: RequestRecord) -> None:
        """Count a request as no longer running."""
        self._running[record.service_class.name] -= 1

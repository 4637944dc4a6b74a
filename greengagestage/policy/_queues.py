"""The queue of one pool: one fair queue per class, ordered by priority."""

from collections.abc import Iterator, Mapping

from greengagestage.configuration import ServiceClass
from greengagestage.ids import ClassName

from ._fairness import ClassQueue
from ._records import RequestRecord


class PoolQueue:
    """The queued requests of a pool."""

    def __init__(self) -> None:
        self._queues: dict[ClassName, ClassQueue] = {}
        self._classes: dict[ClassName, ServiceClass] = {}

    def __len__(self) -> int:
        return sum(len(queue) for queue in self._queues.values())

    def __iter__(self) -> Iterator[RequestRecord]:
        for queue in list(self._queues.values()):
            yield from queue

    def count(self, name: ClassName) -> int:
        """Return the number of queued requests of a class."""
        queue = self._queues.get(name)
        return len(queue) if queue else 0

    def count_at_or_above(self, priority: int) -> int:
        """Return the number of queued requests at this priority or a higher one."""
        return sum(
            len(queue)
            for name, queue in self._queues.items()
            if self._classes[name].priority <= priority
        )

    def push(self, record: RequestRecord) -> None:
        """Queue a request in its class."""
        self._get_or_create_queue(record.service_class).push(record)

    def pop(self, record: RequestRecord) -> None:
        """Remove a request that is dispatched."""
        self._queues[record.service_class.name].pop(record)

    def remove(self, record: RequestRecord) -> None:
        """Remove a request that is not dispatched."""
        self._queues[record.service_class.name].remove(record)

    def demote(self, record: RequestRecord) -> None:
        """Mark a request as late and move it behind those of its class that are not."""
        self._queues[record.service_class.name].demote(record)

    def list_waiting(self) -> list[tuple[ServiceClass, ClassQueue]]:
        """Return the classes that have queued requests, the highest class first."""
        return [(self._classes[name], queue) for name, queue in self._queues.items() if queue]

    def find_highest_priority(self) -> int | None:
        """Return the priority of the highest class that has queued requests."""
        for name, queue in self._queues.items():
            if queue:
                return self._classes[name].priority
        return None

    def estimate_work_ahead(self, record: RequestRecord) -> float:
        """Return the queued work ahead of a new request, in slot-seconds."""
        own = record.service_class.name
        ahead_s = 0.0
        for name, queue in self._queues.items():
            if name == own:
                ahead_s += queue.estimate_work_ahead(record)
            elif self._classes[name].priority < record.priority:
                ahead_s += queue.work_s
        return ahead_s

    def find_shed_victim(self, priority: int) -> RequestRecord | None:
        """Return the queued request to shed: the newest of the lowest class below a priority.

        Requests that were dispatched before, and the last one of a class, are never chosen.
        """
        for name in reversed(self._queues):
            if self._classes[name].priority <= priority:
                return None
            victim = self._queues[name].find_newest_unsent()
            if victim is not None:
                return victim
        return None

    def adopt(self, classes: Mapping[ClassName, ServiceClass]) -> None:
        """Apply changed classes; queues of removed classes are kept."""
        for name in self._classes:
            self._classes[name] = classes.get(name, self._classes[name])
        self._sort()

    def _get_or_create_queue(self, service_class: ServiceClass) -> ClassQueue:
        queue = self._queues.get(service_class.name)
        if queue is None:
            queue = self._queues[service_class.name] = ClassQueue()
            self._classes[service_class.name] = service_class
            self._sort()
        return queue

    def _sort(self) -> None:
        names = sorted(self._classes, key=lambda name: (self._classes[name].priority, name))
        self._classes = {name: self._classes[name] for name in names}
        self._queues = {name: self._queues[name] for name in names}

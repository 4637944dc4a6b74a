"""The queue of one pool: one fair queue per class, in the order of priority."""

from collections.abc import Iterator

from greengagestage.configuration import ServiceClass
from greengagestage.ids import ClassName

from ._fairness import ClassQueue
from ._records import RequestRecord


class PoolQueue:
    """The queued requests of a pool."""

    def __init__(self) -> None:
        self._queues: dict[ClassName, ClassQueue] = {}
        self._priorities: dict[ClassName, int] = {}

    def __len__(self) -> int:
        return sum(len(queue) for queue in self._queues.values())

    def __iter__(self) -> Iterator[RequestRecord]:
        for queue in self._queues.values():
            yield from queue

    def count(self, name: ClassName) -> int:
        """Return the number of queued requests of a class."""
        queue = self._queues.get(name)
        return len(queue) if queue else 0

    def push(self, record: RequestRecord) -> None:
        """Queue a request in its class."""
        self._find_queue(record.service_class).push(record)

    def pop(self, record: RequestRecord) -> None:
        """Take a request out because it is served."""
        self._queues[record.service_class.name].pop(record)

    def remove(self, record: RequestRecord) -> None:
        """Take a request out without serving it."""
        self._queues[record.service_class.name].remove(record)

    def iterate_heads(self) -> Iterator[RequestRecord]:
        """Return the next request of each class, the highest class first."""
        for queue in self._queues.values():
            head = queue.peek()
            if head is not None:
                yield head

    def find_victim(self, priority: int) -> RequestRecord | None:
        """Return the newest unsent request of the lowest class below a priority."""
        for name in reversed(self._priorities):
            if self._priorities[name] <= priority:
                return None
            victim = self._queues[name].find_newest_unsent()
            if victim is not None:
                return victim
        return None

    def _find_queue(self, service_class: ServiceClass) -> ClassQueue:
        queue = self._queues.get(service_class.name)
        if queue is None:
            queue = self._queues[service_class.name] = ClassQueue()
        if self._priorities.get(service_class.name) != service_class.priority:
            self._priorities[service_class.name] = service_class.priority
            self._sort()
        return queue

    def _sort(self) -> None:
        names = sorted(self._priorities, key=lambda name: (self._priorities[name], name))
        self._priorities = {name: self._priorities[name] for name in names}
        self._queues = {name: self._queues[name] for name in names}

"""The offered load of each class in a pool, as a decaying average over its arrivals.

The offered load is the expected service time that arrives per second, which is the mean number of
slots that the class needs.
"""

import math
from dataclasses import dataclass

from greengagestage.configuration import ServiceClass

DECAY_TIME_S = 5.0


@dataclass(slots=True, kw_only=True)
class ClassDemand:
    """The work of one class that arrived recently.

    Attributes:
        work_s: Expected service time of the arrivals in slot-seconds, decaying exponentially.
    """

    priority: int
    work_s: float = 0.0
    updated_s: float = 0.0

    def decay(self, now_s: float) -> float:
        """Decay the work up to a time and return the offered load in slots."""
        self.work_s *= math.exp(-(now_s - self.updated_s) / DECAY_TIME_S)
        self.updated_s = now_s
        return self.work_s / DECAY_TIME_S


class PoolDemand:
    """The demand of all classes in one pool."""

    def __init__(self) -> None:
        self._classes: dict[str, ClassDemand] = {}

    def observe(self, service_class: ServiceClass, service_s: float, now_s: float) -> None:
        """Record one arrival and its expected service time."""
        demand = self._classes.get(service_class.name)
        if demand is None:
            demand = ClassDemand(priority=service_class.priority, updated_s=now_s)
            self._classes[service_class.name] = demand
        demand.priority = service_class.priority
        demand.decay(now_s)
        demand.work_s += service_s

    def measure_load_above(self, priority: int, now_s: float) -> float:
        """Return the offered load of the classes above a priority, in slots."""
        return sum(
            demand.decay(now_s) for demand in self._classes.values() if demand.priority < priority
        )

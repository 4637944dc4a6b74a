"""The slots that each class's arrivals keep busy, as a decaying average."""

import math
from dataclasses import dataclass

from greengagestage.configuration import ServiceClass

DECAY_S = 5.0


@dataclass(slots=True, kw_only=True)
class ClassDemand:
    """Slot-seconds that arrived lately, fading with time."""

    priority: int
    work_s: float = 0.0
    updated_s: float = 0.0

    def fade(self, now_s: float) -> float:
        """Return the slots that the class keeps busy."""
        self.work_s *= math.exp(-(now_s - self.updated_s) / DECAY_S)
        self.updated_s = now_s
        return self.work_s / DECAY_S


class PoolDemand:
    """The demand of the classes of one pool."""

    def __init__(self) -> None:
        self._classes: dict[str, ClassDemand] = {}

    def observe(self, service_class: ServiceClass, service_s: float, now_s: float) -> None:
        """Take one arrival in."""
        demand = self._classes.get(service_class.name)
        if demand is None:
            demand = ClassDemand(priority=service_class.priority, updated_s=now_s)
            self._classes[service_class.name] = demand
        demand.priority = service_class.priority
        demand.fade(now_s)
        demand.work_s += service_s

    def measure_above(self, priority: int, now_s: float) -> float:
        """Return the slots that higher classes keep busy."""
        return sum(
            demand.fade(now_s) for demand in self._classes.values() if demand.priority < priority
        )

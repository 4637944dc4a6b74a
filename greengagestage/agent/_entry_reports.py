"""The demand and the requests in flight that the entry process reported last."""

import time
from dataclasses import dataclass, field

from greengagestage.configuration import Declaration
from greengagestage.ids import PoolName, UpstreamName
from greengagestage.wire import EntryStatus

SMOOTHING = 0.3
"""Weight of a new status in the smoothed demand."""
PRIORITY_FACTOR = 0.5
"""Weight of a class as a fraction of the weight of the class before it in the order of priority,
whatever the difference of the two priorities. Of two classes with equal priority, the one declared
first has the higher weight."""
ENTRY_TIMEOUT_S = 5.0


@dataclass(slots=True, kw_only=True)
class EntryReports:
    """The newest status of the entry process, with its demand smoothed over some seconds."""

    demand: dict[PoolName, float] = field(default_factory=dict)
    in_flight: dict[UpstreamName, int] = field(default_factory=dict)
    stopping: bool = False
    last_status_at_s: float = 0.0

    @property
    def is_entry_silent(self) -> bool:
        """Whether the entry process has reported before, but not within ``ENTRY_TIMEOUT_S``."""
        silence_s = time.monotonic() - self.last_status_at_s
        return self.last_status_at_s > 0 and silence_s > ENTRY_TIMEOUT_S

    def record(self, status: EntryStatus, declaration: Declaration | None) -> None:
        """Record a status."""
        self.last_status_at_s = time.monotonic()
        self.in_flight = {name: count for name, count in status.in_flight.items() if count}
        self.stopping = status.stopping
        weights = _compute_class_weights(declaration)
        current = {
            pool: sum(weights.get(name, 1.0) * count for name, count in classes.items())
            for pool, classes in status.demand.items()
        }
        for pool in self.demand.keys() | current.keys():
            old = self.demand.get(pool, 0.0)
            self.demand[pool] = old + SMOOTHING * (current.get(pool, 0.0) - old)


def _compute_class_weights(declaration: Declaration | None) -> dict[str, float]:
    if declaration is None:
        return {}
    ordered = sorted(declaration.classes, key=lambda item: item.priority)
    return {item.name: PRIORITY_FACTOR**rank for rank, item in enumerate(ordered)}

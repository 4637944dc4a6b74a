"""When hosts, upstreams and the store were disturbed, by which checks decide what is excused."""

import math
from collections import defaultdict
from dataclasses import dataclass, field

from ._bounds import STABILITY_WINDOW_S

STORE = "store"


@dataclass(slots=True, kw_only=True)
class Disturbance:
    """A disturbance of one target; its end is infinite while it lasts."""

    kind: str
    began_s: float
    ended_s: float = math.inf

    def touches(self, began_s: float, ended_s: float) -> bool:
        """Return whether the disturbance overlaps a span."""
        return self.began_s <= ended_s and self.ended_s >= began_s

    def is_final(self, now_s: float) -> bool:
        """Return whether it began before a time and does not end, as that of an ended upstream."""
        return math.isinf(self.ended_s) and self.began_s < now_s


@dataclass(slots=True)
class Disturbances:
    """All disturbances of a run by target.

    Stops by SIGTERM are listed apart: they excuse late changes, but no lost request.
    """

    _faults: dict[str, list[Disturbance]] = field(default_factory=lambda: defaultdict(list))
    _stops: dict[str, list[Disturbance]] = field(default_factory=lambda: defaultdict(list))
    _reloads: dict[str, list[Disturbance]] = field(default_factory=lambda: defaultdict(list))

    def begin(self, target: str, kind: str, now_s: float) -> Disturbance:
        """Record the beginning of a fault; set ``ended_s`` at its end."""
        fault = Disturbance(kind=kind, began_s=now_s)
        self._faults[target].append(fault)
        return fault

    def mark(self, target: str, kind: str, now_s: float) -> None:
        """Record a fault without duration."""
        self.begin(target, kind, now_s).ended_s = now_s

    def begin_stop(self, target: str, now_s: float) -> Disturbance:
        """Record a SIGTERM; set ``ended_s`` when the process runs again."""
        stop = Disturbance(kind="stop", began_s=now_s)
        self._stops[target].append(stop)
        return stop

    def mark_reload(self, target: str, now_s: float) -> None:
        """Record a SIGHUP."""
        self._reloads[target].append(Disturbance(kind="reload", began_s=now_s, ended_s=now_s))

    def is_calm(self, target: str, began_s: float, ended_s: float) -> bool:
        """Return whether no fault touched a target from the stability window before a span on."""
        return not any(
            fault.touches(began_s - STABILITY_WINDOW_S, ended_s) for fault in self._faults[target]
        )

    def was_harmed(self, target: str, began_s: float, ended_s: float) -> bool:
        """Return whether a fault or a stop touched a target within a span."""
        faults = any(fault.touches(began_s, ended_s) for fault in self._faults[target])
        return faults or self.find_stop(target, began_s, ended_s) is not None

    def was_link_harmed(self, target: str, began_s: float, ended_s: float) -> bool:
        """Return whether the link to a target was harmed within a span."""
        return any(
            fault.kind.endswith("link") and fault.touches(began_s, ended_s)
            for fault in self._faults[target]
        )

    def is_in_touch(self, host: str, began_s: float, ended_s: float) -> bool:
        """Return whether a host and the store were calm, and the host was not stopped."""
        return (
            self.is_calm(host, began_s, ended_s)
            and self.is_calm(STORE, began_s, ended_s)
            and self.find_stop(host, began_s - STABILITY_WINDOW_S, ended_s) is None
        )

    def find_stop(self, host: str, began_s: float, ended_s: float) -> Disturbance | None:
        """Return the last stop of a host that overlaps a span."""
        stops = [stop for stop in self._stops[host] if stop.touches(began_s, ended_s)]
        return stops[-1] if stops else None

    def find_reload(self, host: str, began_s: float, ended_s: float) -> Disturbance | None:
        """Return the last SIGHUP of a host within a span."""
        reloads = [reload for reload in self._reloads[host] if reload.touches(began_s, ended_s)]
        return reloads[-1] if reloads else None

    def list_recent(self, began_s: float, ended_s: float, *, origin_s: float) -> list[str]:
        """Describe all disturbances that overlap a span, with times since the origin."""
        tables = (self._faults, self._stops, self._reloads)
        return [
            f"{target}:{item.kind}@{item.began_s - origin_s:.2f}"
            for table in tables
            for target, items in table.items()
            for item in items
            if item.touches(began_s, ended_s) and not item.is_final(began_s)
        ]

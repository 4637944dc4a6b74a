"""When hosts, upstreams and the store were disturbed, by which checks decide what is excused."""

import math
from collections import defaultdict
from collections.abc import Collection
from dataclasses import dataclass, field

from ._bounds import STABILITY_WINDOW_S

STORE = "store"
FREEZE = "freeze"
"""Kind of the faults of a host that does not run for a while."""


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
    _starts: dict[str, list[Disturbance]] = field(default_factory=lambda: defaultdict(list))
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

    def begin_start(self, target: str, now_s: float) -> Disturbance:
        """Record the start of a process; set ``ended_s`` when it listens."""
        start = Disturbance(kind="starting", began_s=now_s)
        self._starts[target].append(start)
        return start

    def list_disturbed_hosts(self, began_s: float, ended_s: float) -> list[str]:
        """Return the hosts, of those that were started, with a fault that overlaps a span."""
        return [host for host in self._starts if self.find_fault(host, began_s, ended_s)]

    def mark_reload(self, target: str, now_s: float) -> None:
        """Record a SIGHUP."""
        self._reloads[target].append(Disturbance(kind="reload", began_s=now_s, ended_s=now_s))

    def is_calm(self, target: str, began_s: float, ended_s: float) -> bool:
        """Return whether no fault touched a target from the stability window before a span on."""
        return self.find_fault(target, began_s - STABILITY_WINDOW_S, ended_s) is None

    def find_fault(
        self, target: str, began_s: float, ended_s: float, *, besides: Collection[str] = ()
    ) -> Disturbance | None:
        """Return the last fault of a target that overlaps a span, of another than some kinds."""
        faults = (fault for fault in reversed(self._faults[target]) if fault.kind not in besides)
        return next((fault for fault in faults if fault.touches(began_s, ended_s)), None)

    def find_start(self, host: str, began_s: float, ended_s: float) -> Disturbance | None:
        """Return the last start of a host that overlaps a span."""
        starts = reversed(self._starts[host])
        return next((start for start in starts if start.touches(began_s, ended_s)), None)

    def is_anything_disturbed(self, began_s: float, ended_s: float) -> bool:
        """Return whether a fault of any target touched a span, but for earlier final ones."""
        return any(
            fault.touches(began_s, ended_s) and not fault.is_final(began_s)
            for faults in self._faults.values()
            for fault in faults
        )

    def was_harmed(self, target: str, began_s: float, ended_s: float) -> bool:
        """Return whether a fault or a stop touched a target within a span."""
        fault = self.find_fault(target, began_s, ended_s)
        return fault is not None or self.find_stop(target, began_s, ended_s) is not None

    def was_link_harmed(self, target: str, began_s: float, ended_s: float) -> bool:
        """Return whether the link to a target was harmed within a span."""
        return any(
            fault.kind.endswith("link") and fault.touches(began_s, ended_s)
            for fault in self._faults[target]
        )

    def is_in_touch(self, host: str, began_s: float, ended_s: float) -> bool:
        """Return whether a host and the store were calm, and the host was not stopped."""
        return self.find_cause(host, began_s, ended_s) is None

    def find_cause(self, host: str, began_s: float, ended_s: float) -> str | None:
        """Return what kept a host out of touch from the stability window before a span on."""
        began_s -= STABILITY_WINDOW_S
        if (fault := self.find_fault(host, began_s, ended_s)) is not None:
            return f"host: {fault.kind}"
        if self.find_stop(host, began_s, ended_s) is not None:
            return "host: stop"
        fault = self.find_fault(STORE, began_s, ended_s)
        return None if fault is None else f"store: {fault.kind}"

    def find_stop(self, host: str, began_s: float, ended_s: float) -> Disturbance | None:
        """Return the last stop of a host that overlaps a span."""
        stops = [stop for stop in self._stops[host] if stop.touches(began_s, ended_s)]
        return stops[-1] if stops else None

    def find_reload(self, host: str, began_s: float, ended_s: float) -> Disturbance | None:
        """Return the last SIGHUP of a host within a span."""
        reloads = [reload for reload in self._reloads[host] if reload.touches(began_s, ended_s)]
        return reloads[-1] if reloads else None

    def list_all(self) -> list[tuple[str, Disturbance]]:
        """Return all disturbances with their targets, in the order of their beginnings."""
        tables = (self._faults, self._stops, self._starts, self._reloads)
        listed = [(name, item) for table in tables for name in table for item in table[name]]
        return sorted(listed, key=lambda pair: pair[1].began_s)

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

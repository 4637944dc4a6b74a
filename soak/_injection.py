"""Injects scheduled faults into a running system."""

from dataclasses import dataclass
from random import Random
from typing import Any

from ._disturbances import Disturbances
from ._faults import Fault, ScheduledFault
from ._fleet import UpstreamFleet
from ._host_fleet import HostFleet
from ._operator import Operator
from ._store import StoreControl


@dataclass(slots=True, kw_only=True)
class Injector:
    """Begins faults, records them as disturbances and ends them."""

    reactor: Any
    disturbances: Disturbances
    hosts: HostFleet
    upstreams: UpstreamFleet
    operator: Operator
    store: StoreControl

    def schedule(self, faults: list[ScheduledFault]) -> None:
        """Schedule all faults of a run."""
        for scheduled in faults:
            self.reactor.callLater(scheduled.at_s, self.inject, scheduled)

    def inject(self, scheduled: ScheduledFault) -> None:
        """Begin one fault; its details are drawn from its own seed."""
        random = Random(scheduled.seed)
        match scheduled.fault:
            case Fault.CONFIGURATION:
                self.operator.change()
        del random

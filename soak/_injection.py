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
        host = random.choice(self.hosts.hosts)
        match scheduled.fault:
            case Fault.CONFIGURATION:
                self.operator.change()
            case Fault.HOST_STOP:
                self.hosts.stop_host(host)
            case Fault.HOST_KILL:
                self.hosts.kill_host(host)
            case Fault.HOST_FREEZE:
                self.hosts.suspend_host(host, random.choice((0.1, 0.5, 1.5, 4.0)))
            case Fault.HOST_RELOAD:
                self.hosts.reload_host(host, random, signalled=True)
            case Fault.SETTINGS_CHANGE:
                self.hosts.reload_host(host, random, signalled=False)

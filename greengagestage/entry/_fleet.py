"""What an entry process knows of the other entry hosts."""

from collections.abc import Callable

from greengagestage.ids import HostId
from greengagestage.wire import HostShares


class FleetView:
    """The entry hosts of the fleet, as the agent last told.

    Attributes:
        entry_hosts: The number of entry hosts, this one counted.
    """

    def __init__(self) -> None:
        self.entry_hosts = 1
        self._subscribers: list[Callable[[], None]] = []
        self._live_hosts: frozenset[HostId] = frozenset()

    def update(self, shares: HostShares) -> None:
        """Take in a message of the agent."""
        self.entry_hosts = max(1, shares.entry_hosts)
        self._live_hosts = frozenset(shares.live_hosts)
        for notify in self._subscribers:
            notify()

    def subscribe(self, notify: Callable[[], None]) -> None:
        """Have a function called after each message."""
        self._subscribers.append(notify)

    def is_live_host(self, host: HostId) -> bool:
        """Tell whether a host has not gone; every host counts as live until the agent knows."""
        return not self._live_hosts or host in self._live_hosts

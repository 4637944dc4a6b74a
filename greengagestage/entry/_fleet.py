"""An entry process's view of the other entry hosts."""

from collections.abc import Callable

from greengagestage.ids import HostId
from greengagestage.wire import HostShares


class FleetView:
    """The entry hosts of the fleet, as last reported by the agent.

    Attributes:
        entry_hosts: The number of entry hosts, including this one.
    """

    def __init__(self) -> None:
        self.entry_hosts = 1
        self._subscribers: list[Callable[[], None]] = []
        self._live_hosts: frozenset[HostId] = frozenset()

    def update(self, shares: HostShares) -> None:
        """Apply a message from the agent and notify the subscribers."""
        self.entry_hosts = max(1, shares.entry_hosts)
        self._live_hosts = frozenset(shares.live_hosts)
        for notify in self._subscribers:
            notify()

    def subscribe(self, notify: Callable[[], None]) -> None:
        """Call ``notify`` after each update."""
        self._subscribers.append(notify)

    def is_live_host(self, host: HostId) -> bool:
        """Return whether a host is live; all hosts count as live until the agent lists some."""
        return not self._live_hosts or host in self._live_hosts

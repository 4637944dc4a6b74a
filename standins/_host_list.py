"""The platform's list of hosts and upstreams, whose changes become visible after a delay."""

from collections import deque
from enum import Enum

from msgspec import Struct


class ListedState(Enum):
    """The state of a host or an upstream in the list."""

    LIVE = "live"
    LEAVING = "leaving"


class ListedHost(Struct, frozen=True, kw_only=True):
    """One host; ``address`` is where its agent listens for other agents."""

    host: str
    address: str
    failure_domain: str
    state: ListedState = ListedState.LIVE


class ListedUpstream(Struct, frozen=True, kw_only=True):
    """One upstream and its state."""

    name: str
    state: ListedState = ListedState.LIVE


class HostListing(Struct, frozen=True, kw_only=True):
    """The body of ``GET /hosts``."""

    hosts: tuple[ListedHost, ...] = ()
    upstreams: tuple[ListedUpstream, ...] = ()


class LaggingHostList:
    """Holds host lists and returns the one that was current ``lag_s`` seconds ago."""

    def __init__(self, *, lag_s: float) -> None:
        self._lag_s = lag_s
        self._pending: deque[tuple[float, HostListing]] = deque()
        self._visible = HostListing()

    def set(self, listing: HostListing, now_s: float) -> None:
        """Set a new list; it becomes visible after the lag."""
        self._pending.append((now_s, listing))

    def read(self, now_s: float) -> HostListing:
        """Return the visible list."""
        while self._pending and self._pending[0][0] + self._lag_s <= now_s:
            _, self._visible = self._pending.popleft()
        return self._visible

"""Applies new shares: decreases at once, increases after a delay.

Hosts compute the shares from the same data, but do not receive it at the same time. A host that
gains slots therefore waits until the others have had time to release them.
"""

from collections.abc import Callable
from typing import Any

from msgspec.structs import replace

from greengagestage.wire import HostShares

RAISE_DELAY_S = 3.0


class ShareUpdates:
    """The shares sent to the entry process. ``send`` is called with each change."""

    def __init__(self, *, reactor: Any, send: Callable[[HostShares], None]) -> None:
        self._reactor = reactor
        self._send = send
        self._sent: HostShares | None = None
        self._computed: HostShares | None = None
        self._pending_raise: Any = None

    @property
    def current(self) -> HostShares | None:
        """The shares that were sent last, or None before the first."""
        return self._sent

    def update(self, computed: HostShares) -> None:
        """Apply newly computed shares."""
        if computed == self._computed:
            return
        self._computed = computed
        self.stop()
        if self._sent is None:
            self._publish(computed)
            return
        self._publish(lower_shares(self._sent, computed))
        if self._sent != computed:
            self._pending_raise = self._reactor.callLater(RAISE_DELAY_S, self._publish, computed)

    def stop(self) -> None:
        """Cancel a pending increase."""
        if self._pending_raise is not None and self._pending_raise.active():
            self._pending_raise.cancel()
        self._pending_raise = None

    def _publish(self, shares: HostShares) -> None:
        if shares != self._sent:
            self._sent = shares
            self._send(shares)


def lower_shares(current: HostShares, computed: HostShares) -> HostShares:
    """Return the smaller share of each upstream; a new upstream gets its computed share."""
    slots = {
        name: min(number, current.slots.get(name, number))
        for name, number in computed.slots.items()
    }
    return replace(computed, slots=slots)

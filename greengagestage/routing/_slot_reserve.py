"""Room that tolerant requests leave for the next crowd of urgent ones.

What has been sent to an engine cannot be called back: a request that runs keeps its slot, and one
that waits there is begun whatever has arrived since. Urgent streams that have begun hold their
slots for seconds, so that the slots which are free when a crowd comes decide how many of its first
requests are served. Hosts remember how many slots urgent requests needed lately, and tolerant
requests leave about as many free.
"""

import math
from collections.abc import Sequence

from ._upstreams import UpstreamState

MEMORY_S = 30.0
"""Time constant with which the need for slots is forgotten. Crowds come in series, some seconds
apart."""

UPDATE_INTERVAL_S = 0.1
"""Time for which the sum over all engines is kept: about the delay of the load reports."""

CROWD_SHARE = 0.6
"""Share of all slots that urgent requests use in a crowd which is remembered. Smaller crowds find
room beside tolerant requests."""

SCARCE_SHARE = 0.25
"""Share of the slots that a remembered crowd would need, from which on tolerant requests leave room
to it."""

MIN_TOLERANT_SHARE = 1 / 16
"""Share of an engine's slots that tolerant requests may use in any case, one at least, so that they
are served at last."""


class SlotReserve:
    """Remembers the need of urgent requests for the slots of a service.

    Attributes:
        slots: Number of requests that an engine runs at once.
    """

    def __init__(self, *, slots: int) -> None:
        self.slots = slots
        self._needed = 0.0
        self._engines = 0
        self._updated_s = -math.inf

    def update(self, engines: Sequence[UpstreamState], now_s: float) -> None:
        """Follow the load and the number of the engines that stay.

        Requests that wait for a slot count up to the number of slots: beyond it, more of them need
        no more room.
        """
        if now_s - self._updated_s < UPDATE_INTERVAL_S and len(engines) == self._engines:
            return
        loads = [engine.measure(now_s) for engine in engines]
        used = float(sum(min(load.sensitive_requests, self.slots) for load in loads))
        decay = math.exp(-(now_s - self._updated_s) / MEMORY_S)
        self._needed *= decay
        if used >= CROWD_SHARE * self.slots * len(engines):
            self._needed = max(self._needed, used)
        self._engines = len(engines)
        self._updated_s = now_s

    @property
    def is_scarce(self) -> bool:
        """Whether tolerant requests have to leave room."""
        return self._needed > 0 and self._needed >= SCARCE_SHARE * self.slots * self._engines

    def list_open(
        self, engines: Sequence[UpstreamState], pool: Sequence[UpstreamState], now_s: float
    ) -> Sequence[UpstreamState]:
        """Return the engines to which a tolerant request may be sent; none if it has to wait.

        Args:
            engines: The engines that the request may use, which are some of the pool.
            pool: All engines for tolerant requests. A request does not wait while there is room on
                any of them: whether it leaves its failure domain for that is decided elsewhere.
        """
        if not self.is_scarce:
            return engines
        kept = self._needed / max(self._engines, 1)
        limit = max(self.slots - kept, MIN_TOLERANT_SHARE * self.slots)
        below = [each for each in engines if each.measure(now_s).tolerant_requests < limit]
        if below:
            return below
        total = sum(each.measure(now_s).tolerant_requests for each in pool)
        return engines if total < limit * len(pool) else []

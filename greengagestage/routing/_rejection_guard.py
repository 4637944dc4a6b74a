"""Use of free slots that belong to other hosts, at upstreams that fall over after rejections."""

import math
from collections.abc import Callable

LOAD_SHARE = 0.5
"""Share of a brittle upstream's slots up to which hosts use slots that are not their own. The rest
is room for requests that others have sent and not reported yet: the upstream may let none wait."""

ROOM_SHARE = 0.25
"""Share of the free room that all hosts use on average until they know of each other's requests."""

EXCHANGE_S = 0.1
"""Time until all hosts know of a request, with a margin."""

RATE_TIME_CONSTANT_S = 0.5
"""Time constant of the average rate at which this host asks."""

CAUTION_AFTER_REJECTION = 4.0
CAUTION_TIME_CONSTANT_S = 0.5
"""Factor by which requests are sent less often right after a rejection, and how it declines. What
an upstream bears is counted by the second."""


class RejectionGuard:
    """Decides whether a request may be sent to an upstream that falls over after some rejections.

    Hosts do not coordinate: each sees the reported load of all, and tells the others of a
    rejection. All see the same room, and each uses it with the probability at which all of them
    together do not overfill it.

    Args:
        draw: Returns random numbers from 0 up to 1.

    Attributes:
        allowance: Requests a second that the upstream can turn away.
        named_s: When an answer last named the allowance.
    """

    def __init__(self, *, allowance: int, named_s: float, draw: Callable[[], float]) -> None:
        self.allowance = allowance
        self.named_s = named_s
        self._draw = draw
        self._asked = 0.0
        self._asked_s = named_s
        self._rejected_s = -math.inf

    def __repr__(self) -> str:
        return f"RejectionGuard(allowance={self.allowance})"

    def allows_request(
        self, *, slots: int, requests: int, hosts: int, upstreams: int, now_s: float
    ) -> bool:
        """Return whether a request may be sent now; to be asked once for each placement.

        Args:
            slots: Requests that the upstream works on at the same time.
            requests: Requests of all hosts at the upstream, as far as they are reported.
            hosts: Number of hosts that share the upstream, all with requests like this one.
            upstreams: Number of upstreams among which they choose.
        """
        competing = self._count_placement(now_s) * hosts * EXCHANGE_S / max(upstreams, 1)
        room = max(LOAD_SHARE * slots, 1.0) - requests
        if room < 1.0 and requests:
            return False
        return self._draw() * competing * self._measure_caution(now_s) < ROOM_SHARE * room

    def record_rejection(self, now_s: float) -> None:
        """Record that the upstream has turned a request away, here or at another host."""
        self._rejected_s = now_s

    def _count_placement(self, now_s: float) -> float:
        """Count a placement and return their average rate per second."""
        elapsed_s = max(now_s - self._asked_s, 0.0)
        self._asked = self._asked * math.exp(-elapsed_s / RATE_TIME_CONSTANT_S) + 1.0
        self._asked_s = now_s
        return self._asked / RATE_TIME_CONSTANT_S

    def _measure_caution(self, now_s: float) -> float:
        elapsed_s = max(now_s - self._rejected_s, 0.0)
        decline = math.exp(-elapsed_s / CAUTION_TIME_CONSTANT_S)
        return 1.0 + (CAUTION_AFTER_REJECTION - 1.0) * decline

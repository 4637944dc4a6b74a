"""The share of an upstream's request rate that one host may use."""

import math
from collections.abc import Callable

from ._retries import ASSUMED_HOSTS

RATE_SHARE = 0.65
"""Share of a named rate that all hosts use together. They draw the times of their slots
independently, so that in a large fleet twice as many as on average may fall into a few seconds."""

SLOT_LIFETIME_S = 0.5
"""Time for which an unused slot stays valid. Without a limit, all hosts could use the slots of a
quiet time at the same moment."""

MIN_RATE_PER_S = 0.1
"""Smallest rate that is kept to. The end of a limit shows only in an answer to some request."""


class RequestPacer:
    """Gives out slots for single requests at the host's equal share of a rate.

    Hosts do not coordinate: each has slots at a constant interval from a random time on.

    Args:
        draw: Returns random numbers from 0 up to 1.

    Attributes:
        rate_per_s: Requests per second that the upstream takes from all hosts together.
    """

    def __init__(self, *, rate_per_s: float, draw: Callable[[], float]) -> None:
        self.rate_per_s = rate_per_s
        self._draw = draw
        self._interval_s = 0.0
        self._origin_s = 0.0
        self._next_slot = 0

    def __repr__(self) -> str:
        return f"RequestPacer(rate_per_s={self.rate_per_s}, interval_s={self._interval_s:.2f})"

    def measure_wait_s(self, hosts: int | None, now_s: float) -> float:
        """Return the time until the next slot; 0 if a request may be sent now.

        Args:
            hosts: Number of hosts that share the rate; None while it is unknown.
        """
        self._update_interval(hosts, now_s)
        return self._measure_wait_s(now_s)

    def use_slot(self, hosts: int | None, now_s: float) -> None:
        """Count a request against the oldest valid slot, or the next one if there is none."""
        self._update_interval(hosts, now_s)
        self._next_slot = self._find_slot(now_s) + 1

    def _update_interval(self, hosts: int | None, now_s: float) -> None:
        """Follow the rate and the number of hosts.

        The wait for the next slot is scaled and not drawn again: a rate that changes with each
        answer would otherwise double the number of slots.
        """
        sharing = max(hosts or ASSUMED_HOSTS, 1)
        interval_s = sharing / (RATE_SHARE * max(self.rate_per_s, MIN_RATE_PER_S))
        if interval_s == self._interval_s:
            return
        began = self._interval_s > 0
        share = self._measure_wait_s(now_s) / self._interval_s if began else self._draw()
        self._interval_s, self._origin_s = interval_s, now_s + share * interval_s
        self._next_slot = 0

    def _measure_wait_s(self, now_s: float) -> float:
        opens_s = self._origin_s + self._find_slot(now_s) * self._interval_s
        return max(opens_s - now_s, 0.0)

    def _find_slot(self, now_s: float) -> int:
        """Return the first unused slot that has not expired."""
        oldest = math.ceil((now_s - SLOT_LIFETIME_S - self._origin_s) / self._interval_s)
        return max(oldest, self._next_slot)

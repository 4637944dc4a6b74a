"""The answers that all hosts have lost lately, to tell crashes from failures of a host's links.

The ends of connections to several upstreams at the same time have a common cause, unless equal
requests explain them: a request that crashes upstreams is sent again at once, by its caller through
any host, so that the crashes under it are milliseconds apart.
"""

from collections import deque
from dataclasses import dataclass

from greengagestage.ids import Fingerprint

RECENT_S = 1.0
"""Time for which losses are kept."""

MAX_RECENT = 2_048
"""Maximum number of losses that are kept; the first known ones are dropped."""


@dataclass(frozen=True, slots=True, kw_only=True)
class ObservedLoss:
    """An answer whose connection ended before it was complete, as its host has seen it.

    Attributes:
        address: Address of the upstream, and ``port`` its port.
        sent_s: Time at which the request was sent.
        lost_s: Time at which the answer was lost. Both are times of this host's clock; those of a
            loss at another host are too late by the time for which its message was on its way.
    """

    fingerprint: Fingerprint
    address: str
    port: int
    sent_s: float
    lost_s: float

    def is_in_sequence_with(self, other: "ObservedLoss") -> bool:
        """Whether one of two requests was sent after the answer to the other one was lost."""
        return self.sent_s >= other.lost_s or other.sent_s >= self.lost_s


class RecentLosses:
    """The losses of the last second, on this host and on others."""

    def __init__(self) -> None:
        self._losses: deque[ObservedLoss] = deque(maxlen=MAX_RECENT)

    def add(self, loss: ObservedLoss) -> None:
        """Keep a loss for a while."""
        self._losses.append(loss)
        while self._losses[0].lost_s < loss.lost_s - RECENT_S:
            self._losses.popleft()

    def list_explained(self, loss: ObservedLoss) -> set[tuple[str, int]]:
        """Return the addresses and ports at which equal requests were lost before or after one."""
        return {
            (other.address, other.port)
            for other in self._losses
            if other.fingerprint == loss.fingerprint and other.is_in_sequence_with(loss)
        }

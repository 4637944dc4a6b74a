"""Whether a tolerant request gets room on an engine now, waits on its host, or is refused.

Requests are compared by their delay: the time until an engine begins them. The prefill that a
request needs itself is no part of it, so that a limit holds for the smallest and the largest
prompts alike. Where more requests wait than can be in time, those that still can be in time
come before those that are late already.
"""

from dataclasses import dataclass
from enum import Enum

from ._overload import MEMORY_S, UrgencyTraffic

TOTAL_DELAY_SHARE = 0.75
"""A request is sent if an engine begins it within this share of the target, minus the time it has
already waited, so that it meets its target."""

LATE_DELAY_SHARE = 0.35
"""Longest delay of a request that has waited for too long to be in time, as a share of its
target: it is sent where it does not make other requests late."""

MAX_WAIT_TARGETS = 2.5
"""Longest wait of a request on its host, as a multiple of its target. Callers leave after four
targets without an event, and the rest of their patience is left for the engine."""

LAST_DELAY_SHARE = 0.6
"""Longest delay of a request that has waited for as long as it may, as a share of its target.
Longer queues at engines would hold the next requests up, and begin when more urgent ones need the
room."""

IDLE_DELAY_S = 0.1
"""Delay up to which an engine begins a request at once: about the prefill of one long prompt. Late
requests get no other room while requests wait that can be in time, and no request does while it
has to leave room to more urgent ones."""

COMPLETION_MARGIN = 1.3
"""A waiting request is sent at the latest when the time left falls to this multiple of the forecast
time to the end of its stream."""


class RoomDecision(Enum):
    """What happens to a request that no engine can begin within its limit."""

    SEND = "send"
    WAIT = "wait"
    REFUSE = "refuse"


@dataclass(frozen=True, slots=True, kw_only=True)
class RoomRequest:
    """A tolerant request that asks for room.

    Attributes:
        waited_s: Time since its arrival.
        target_s: Target of its route for the first event.
        time_left_s: Time until its deadline.
        contended: Whether more requests wait for room than can be in time.
        leaves_room: Whether more urgent requests may soon need the room of those that wait at
            engines, which cannot be called back.
    """

    waited_s: float
    target_s: float
    time_left_s: float
    contended: bool
    leaves_room: bool = False

    @property
    def may_wait(self) -> bool:
        """Whether the request may wait on its host for longer."""
        return self.waited_s < MAX_WAIT_TARGETS * self.target_s

    def limit_delay_s(self, share: float) -> float:
        """Return the longest delay, in seconds, with which the request is sent to an engine.

        Args:
            share: Share of the target up to which the request may be delayed in all.
        """
        if self.leaves_room:
            return IDLE_DELAY_S
        return max(share * self.target_s - self.waited_s, self._limit_late_s(LATE_DELAY_SHARE))

    def decide(self, *, delay_s: float, completion_s: float) -> RoomDecision:
        """Decide about the request if the engine with the least cost is over its limit.

        Args:
            delay_s: Delay at that engine.
            completion_s: Time to the end of the stream there.
        """
        has_room = delay_s <= self._limit_late_s(LAST_DELAY_SHARE)
        could_complete = completion_s - delay_s < self.time_left_s
        must_start = COMPLETION_MARGIN * completion_s >= self.time_left_s
        if self.may_wait and (not must_start or (could_complete and not has_room)):
            return RoomDecision.WAIT
        return RoomDecision.SEND if has_room else RoomDecision.REFUSE

    def _limit_late_s(self, share: float) -> float:
        return IDLE_DELAY_S if self.contended or self.leaves_room else share * self.target_s


def is_contended(alike: UrgencyTraffic, engines: int, target_s: float) -> bool:
    """Whether more requests wait than engines begin within a target at the present rate.

    One for each engine may always wait, so that a pause in the traffic is no contention.

    Args:
        alike: Requests on all hosts that are as urgent.
    """
    return alike.waiting > max(engines, alike.placed / MEMORY_S * target_s)


def may_use_room(room_s: float, unreported_s: float, draw: float) -> bool:
    """Decide at random whether to use the room on an engine, given the work not reported yet.

    All hosts see the same free room and would use it at the same time. Each uses it with the
    probability at which all of them together just fill it.

    Args:
        room_s: Time by which the delay is below the request's limit.
        draw: Random number from 0 up to 1.
    """
    return room_s >= 0 and draw * unreported_s <= room_s

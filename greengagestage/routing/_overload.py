"""Signs that the more urgent requests of a service do not get enough room.

Upstreams begin the more urgent of their waiting requests first, but a less urgent request that has
begun keeps its room. Hosts therefore tell each other how many requests of each urgency arrive and
how many are overdue, and send nothing less urgent while the more urgent ones are.
"""

import math
from collections import Counter
from collections.abc import Mapping
from dataclasses import dataclass

from greengagestage.ids import AttemptId

MEMORY_S = 1.0
"""Time constant with which arrivals and rejections are forgotten."""

MIN_OVERDUE = 3.0
OVERDUE_SHARE = 0.1
"""Requests of one urgency are short of room once at least this number of them are overdue, and more
than this share of those that arrive within a second. Single requests are overdue for other
reasons, such as a lost packet or a slow upstream."""

MIN_RELATIVE_SIZE = 0.5
"""Less urgent requests that are smaller than this, in relation to those that are short of room, are
sent all the same: they fit where the others do not."""

WAITING_LIFETIME_S = 0.3
"""Time after its last placement for which a request counts as waiting on this host. It is placed
again sooner, unless its caller has left."""


@dataclass(frozen=True, slots=True, kw_only=True)
class UrgencyTraffic:
    """The requests of one urgency for a service, from one host or summed over several.

    Attributes:
        arrivals: Requests that arrived within about a second.
        size: Sum of their sizes in prompt tokens; requests without a prompt count alike.
        overdue: Requests that wait for much longer than the target of their route, or that found
            no room within about a second.
        waiting: Requests that wait on hosts.
        placed: Requests that were placed within about a second.
    """

    arrivals: float = 0.0
    size: float = 0.0
    overdue: float = 0.0
    waiting: float = 0.0
    placed: float = 0.0

    @property
    def mean_size(self) -> float:
        """Mean size of the requests; 0 without any."""
        return self.size / self.arrivals if self.arrivals else 0.0

    @property
    def is_short_of_room(self) -> bool:
        """Whether so many requests are overdue that less urgent ones should leave room."""
        return self.overdue >= MIN_OVERDUE and self.overdue > OVERDUE_SHARE * self.arrivals

    def __add__(self, other: "UrgencyTraffic") -> "UrgencyTraffic":
        return UrgencyTraffic(
            arrivals=self.arrivals + other.arrivals,
            size=self.size + other.size,
            overdue=self.overdue + other.overdue,
            waiting=self.waiting + other.waiting,
            placed=self.placed + other.placed,
        )


def is_queue_full(requests: UrgencyTraffic, upstreams: int, max_wait_s: float) -> bool:
    """Whether one more request of an urgency would probably wait for longer than it may.

    One request for each upstream may always wait, so that free room is noticed.

    Args:
        upstreams: Number of upstreams of the service.
        max_wait_s: Longest time for which a request waits on its host.
    """
    return requests.waiting >= max(upstreams, requests.placed / MEMORY_S * max_wait_s)


def find_urgency_in_need(traffic: Mapping[int, UrgencyTraffic], urgency: int) -> int | None:
    """Return the first urgency before the given one that is short of room, or None.

    Requests that are much larger than those of the given urgency are left out.
    """
    size = traffic.get(urgency, UrgencyTraffic()).mean_size
    return min(
        (
            each
            for each, requests in traffic.items()
            if each < urgency
            and requests.is_short_of_room
            and size >= MIN_RELATIVE_SIZE * requests.mean_size
        ),
        default=None,
    )


@dataclass(slots=True, kw_only=True)
class _Counts:
    arrivals: float = 0.0
    size: float = 0.0
    rejections: float = 0.0
    placed: float = 0.0


@dataclass(frozen=True, slots=True, kw_only=True)
class _WaitingRequest:
    urgency: int
    due_s: float
    expires_s: float


class OverloadMeter:
    """Counts this host's requests for one service by urgency.

    The requests that have been sent are counted by their upstreams.
    """

    def __init__(self) -> None:
        self._counts: dict[int, _Counts] = {}
        self._waiting: dict[AttemptId, _WaitingRequest] = {}
        self._updated_s = 0.0

    def record_arrival(self, urgency: int, size: float, now_s: float) -> None:
        """Count a caller's request; see ``UrgencyTraffic`` for its size."""
        self._decay(now_s)
        counts = self._counts.setdefault(urgency, _Counts())
        counts.arrivals += 1.0
        counts.size += size

    def record_placement(self, urgency: int, now_s: float) -> None:
        """Count a request that is about to be sent."""
        self._decay(now_s)
        self._counts.setdefault(urgency, _Counts()).placed += 1.0

    def record_rejection(self, urgency: int, now_s: float) -> None:
        """Count a request that found no room, here or at its upstream."""
        self._decay(now_s)
        self._counts.setdefault(urgency, _Counts()).rejections += 1.0

    def record_waiting(
        self, attempt_id: AttemptId, *, urgency: int, due_s: float, now_s: float, delay_s: float
    ) -> None:
        """Count a request that waits on this host.

        Args:
            due_s: From when on it is overdue.
            delay_s: Time until it is placed again.
        """
        self._waiting[attempt_id] = _WaitingRequest(
            urgency=urgency, due_s=due_s, expires_s=now_s + delay_s + WAITING_LIFETIME_S
        )

    def is_waiting(self, attempt_id: AttemptId) -> bool:
        """Whether a request counts as waiting on this host."""
        return attempt_id in self._waiting

    def forget_waiting(self, attempt_id: AttemptId) -> None:
        """Stop counting a request as waiting on this host, if it does."""
        self._waiting.pop(attempt_id, None)

    def measure(self, sent_overdue: Mapping[int, int], now_s: float) -> dict[int, UrgencyTraffic]:
        """Return the requests by urgency.

        Args:
            sent_overdue: Number of overdue requests by urgency that wait at upstreams.
        """
        self._decay(now_s)
        self._waiting = {
            attempt_id: request
            for attempt_id, request in self._waiting.items()
            if now_s <= request.expires_s
        }
        waiting = Counter(request.urgency for request in self._waiting.values())
        overdue = Counter(sent_overdue)
        overdue.update(
            request.urgency for request in self._waiting.values() if now_s > request.due_s
        )
        return {
            urgency: UrgencyTraffic(
                arrivals=counts.arrivals,
                size=counts.size,
                overdue=counts.rejections + overdue[urgency],
                waiting=waiting[urgency],
                placed=counts.placed,
            )
            for urgency, counts in self._counts.items()
        }

    def _decay(self, now_s: float) -> None:
        factor = math.exp(-max(now_s - self._updated_s, 0.0) / MEMORY_S)
        for counts in self._counts.values():
            counts.arrivals *= factor
            counts.size *= factor
            counts.rejections *= factor
            counts.placed *= factor
        self._updated_s = now_s

"""Whose turn it is among the requests that wait on this host.

Each placement of a request costs forecasts of many engines. Requests that wait therefore take
turns: only the first ones of each line are placed again, and more of them while they find room.
Those that can still be in time come first, then those that waited longest.
"""

from collections.abc import Hashable
from dataclasses import dataclass

from sortedcontainers import SortedDict

from greengagestage.ids import AttemptId

from ._jobs import Job, Placement, Refused, Waiting

MIN_TURNS = 4
"""Number of requests of a line that are placed again within a recheck interval while none of them
finds room. Several, since engines are preferred by the prefixes that they have cached."""

MAX_TURNS = 64
"""The same number after many of them have found room."""

RECHECK_INTERVAL_S = 0.1
"""Time after which a request whose turn it is is placed again: about the prefill of a long
prompt."""

MAX_TURN_DELAY_SHARE = 0.5
"""Longest time between two placements of a request, as a share of its target, so that it is refused
or sent in time whatever its place in the line."""

LIFETIME_S = 0.3
"""Time after its delay for which a request stays in a line. It comes back sooner, unless its caller
has left."""

_Position = tuple[float, AttemptId]


@dataclass(slots=True, kw_only=True)
class _Entry:
    """A request in a line.

    Attributes:
        latest_turn_s: When it is placed again at the latest.
        expires_s: When it counts as gone unless it has come back.
    """

    latest_turn_s: float
    expires_s: float


class WaitingLine:
    """The requests of one route and urgency that wait on this host.

    Args:
        in_time_s: Time since its arrival within which a request can still be in time.
        max_wait_s: Time since its arrival after which a request waits no longer.
    """

    def __init__(self, *, in_time_s: float, max_wait_s: float) -> None:
        self._in_time_s = in_time_s
        self._max_wait_s = max_wait_s
        self._entries: SortedDict[_Position, _Entry] = SortedDict()
        self._turns = MIN_TURNS
        self._next_cleanup_s = 0.0

    def __len__(self) -> int:
        return len(self._entries)

    def find_delay_s(self, job: Job, now_s: float) -> float:
        """Return the time until a request may take its turn; 0 if it may now.

        The request counts as waiting until then, and a while longer.
        """
        entry = self._entries.get(_locate(job))
        if entry is None or now_s >= entry.latest_turn_s:
            return 0.0
        self._drop_expired(now_s)
        rounds = self._count_ahead(job, now_s) // self._turns
        delay_s: float = min(rounds * RECHECK_INTERVAL_S, entry.latest_turn_s - now_s)
        entry.expires_s = now_s + delay_s + LIFETIME_S
        return delay_s

    def record_waiting(self, job: Job, delay_s: float, now_s: float) -> None:
        """Record that a request has found no room and stays in line."""
        self._turns = max(self._turns // 2, MIN_TURNS)
        self._entries[_locate(job)] = _Entry(
            latest_turn_s=min(
                now_s + MAX_TURN_DELAY_SHARE * job.route.target_s, job.arrived_s + self._max_wait_s
            ),
            expires_s=now_s + delay_s + LIFETIME_S,
        )

    def record_placement(self, job: Job) -> None:
        """Record that a request is sent; if it was in line, the next ones follow sooner."""
        if self._entries.pop(_locate(job), None) is not None:
            self._turns = min(self._turns * 2, MAX_TURNS)

    def remove(self, job: Job) -> None:
        """Take a request out of the line, if it is there."""
        self._entries.pop(_locate(job), None)

    def _count_ahead(self, job: Job, now_s: float) -> int:
        """Return how many requests are placed before a job.

        Entries are sorted by arrival: the late ones come first, and their turn last.
        """
        first_in_time = self._entries.bisect_left((now_s - self._in_time_s, ""))
        position = self._entries.bisect_left(_locate(job))
        if position >= first_in_time:
            return int(position - first_in_time)
        return int(len(self._entries) - first_in_time + position)

    def _drop_expired(self, now_s: float) -> None:
        if now_s < self._next_cleanup_s:
            return
        self._next_cleanup_s = now_s + RECHECK_INTERVAL_S
        for position in [each for each, entry in self._entries.items() if entry.expires_s < now_s]:
            del self._entries[position]


class WaitingLines:
    """The lines of this host by route and urgency.

    Plain services, whose upstreams are compared at little cost, and streams that have begun have
    no line.

    Args:
        in_time_targets: Time since its arrival within which a request can still be in time, as a
            multiple of its target.
        max_wait_targets: Longest wait of a request, as a multiple of its target.
    """

    def __init__(self, *, in_time_targets: float, max_wait_targets: float) -> None:
        self._in_time_targets = in_time_targets
        self._max_wait_targets = max_wait_targets
        self._lines: dict[Hashable, WaitingLine] = {}

    def __len__(self) -> int:
        return sum(len(line) for line in self._lines.values())

    def keep_in_line(self, job: Job, now_s: float) -> Waiting | None:
        """Return the wait of a request whose turn it is not; None if it is, or it is in no line."""
        line = self._lines.get(_get_key(job))
        delay_s = 0.0 if line is None else line.find_delay_s(job, now_s)
        if not delay_s:
            return None
        return Waiting(delay_s=delay_s, reason="other requests are placed first")

    def record_placed(self, job: Job, placed: Placement | Refused | Waiting, now_s: float) -> None:
        """Record the result of placing a request."""
        if job.prompt is None or job.began_at is not None:
            return
        line = self._lines.get(_get_key(job))
        match placed:
            case Waiting(delay_s=delay_s):
                if line is None:
                    line = self._lines[_get_key(job)] = WaitingLine(
                        in_time_s=self._in_time_targets * job.route.target_s,
                        max_wait_s=self._max_wait_targets * job.route.target_s,
                    )
                line.record_waiting(job, delay_s, now_s)
            case Placement() if line is not None:
                line.record_placement(job)
            case Refused() if line is not None:
                line.remove(job)
        if line is not None and not len(line):
            del self._lines[_get_key(job)]


def _locate(job: Job) -> _Position:
    return job.arrived_s, job.attempt_id


def _get_key(job: Job) -> Hashable:
    return job.service, job.route.name, job.urgency

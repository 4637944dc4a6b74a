"""Queued requests of one class: weighted fairness between workspaces, deadlines within one."""

from collections.abc import Iterator
from itertools import islice

from sortedcontainers import SortedDict, SortedKeyList, SortedList

from greengagestage.ids import WorkspaceId

from ._records import RequestRecord

MINIMUM_WEIGHT = 0.01
MINIMUM_COST_S = 0.001
LATE_TURN = 32
CANDIDATES_PER_LANE = 4


def _order_by_due(record: RequestRecord) -> tuple[float, int]:
    return (record.due_s, record.sequence)


def _order_by_newest(record: RequestRecord) -> tuple[float, int]:
    return (-record.due_s, -record.sequence)


class ClassQueue:
    """A start-time fair queue over workspaces.

    Each workspace has a start tag in virtual time; the lowest tag is served next and moves on by
    the expected service time over the workspace's weight. Requests that come back from an
    upstream have been paid for and go first. Requests that can no longer be on time go last,
    the newest first, because callers of the oldest are the likeliest to leave; but every eighth
    turn is the oldest's, so that it is served too.
    """

    def __init__(self) -> None:
        self.work_s = 0.0
        self._returned = SortedKeyList(key=_order_by_due)
        self._late = SortedKeyList(key=_order_by_newest)
        self._lanes: dict[WorkspaceId, SortedKeyList] = {}
        self._tags: dict[WorkspaceId, float] = {}
        self._order: SortedList = SortedList()
        self._virtual_s = 0.0
        self._arrivals: SortedDict = SortedDict()
        self._turns = 0

    def __len__(self) -> int:
        return len(self._arrivals)

    def __iter__(self) -> Iterator[RequestRecord]:
        return iter(list(self._arrivals.values()))

    def push(self, record: RequestRecord) -> None:
        """Queue a request, at the front if an attempt of it was dispatched before."""
        self._arrivals[record.sequence] = record
        self.work_s += record.service_s
        self._choose_list(record).add(record)

    def peek(self) -> RequestRecord | None:
        """Return the request to serve next."""
        return next(self.iterate_candidates(), None)

    def iterate_candidates(self) -> Iterator[RequestRecord]:
        """Return requests in the order of service, a few of each workspace."""
        yield from islice(self._returned, CANDIDATES_PER_LANE)
        if self._late and self._turns % LATE_TURN == LATE_TURN - 1:
            yield from islice(reversed(self._late), CANDIDATES_PER_LANE)
            return
        for _, workspace in self._order:
            yield from islice(self._lanes[workspace], CANDIDATES_PER_LANE)
        yield from islice(self._late, CANDIDATES_PER_LANE)
        yield from islice(reversed(self._late), CANDIDATES_PER_LANE)

    def estimate_work_ahead(self, record: RequestRecord) -> float:
        """Return the slot-seconds served before a new request, under fairness."""
        lane = self._lanes.get(record.workspace)
        length = (len(lane) if lane is not None else 0) + 1
        lanes = len(self._lanes) + (lane is None)
        count = len(self)
        if not count:
            return 0.0
        ahead = min(count, length * lanes + len(self._returned))
        return self.work_s * ahead / count

    def pop(self, record: RequestRecord) -> None:
        """Take a request out because it is served; its workspace's tag moves on."""
        if self._is_in_lane(record):
            self._charge(record)
        self._turns += 1
        self.remove(record)

    def remove(self, record: RequestRecord) -> None:
        """Take a request out without serving it."""
        del self._arrivals[record.sequence]
        self.work_s = max(0.0, self.work_s - record.service_s) if self._arrivals else 0.0
        if not self._is_in_lane(record):
            (self._late if record.late else self._returned).remove(record)
            return
        lane = self._lanes[record.workspace]
        lane.remove(record)
        if not lane:
            self._close_lane(record.workspace)

    def demote(self, record: RequestRecord) -> None:
        """Put a request that can no longer be on time behind those that can."""
        if record.late:
            return
        self.remove(record)
        record.late = True
        self.push(record)

    def find_newest_unsent(self) -> RequestRecord | None:
        """Return the newest request of which nothing was ever sent.

        The last one left is not given up: it waits for the minimum share of its class.
        """
        if len(self._arrivals) < 2:
            return None
        for sequence in reversed(self._arrivals):
            record: RequestRecord = self._arrivals[sequence]
            if not record.attempts_sent:
                return record
        return None

    def _is_in_lane(self, record: RequestRecord) -> bool:
        return not record.late and not record.attempts_sent

    def _choose_list(self, record: RequestRecord) -> SortedKeyList:
        if record.late:
            return self._late
        if record.attempts_sent:
            return self._returned
        lane = self._lanes.get(record.workspace)
        return self._open_lane(record.workspace) if lane is None else lane

    def _open_lane(self, workspace: WorkspaceId) -> SortedKeyList:
        lane = self._lanes[workspace] = SortedKeyList(key=_order_by_due)
        tag = max(self._virtual_s, self._tags.get(workspace, 0.0))
        self._tags[workspace] = tag
        self._order.add((tag, workspace))
        return lane

    def _close_lane(self, workspace: WorkspaceId) -> None:
        del self._lanes[workspace]
        self._order.remove((self._tags[workspace], workspace))
        if not self._arrivals:
            self._tags.clear()
            self._virtual_s = 0.0

    def _charge(self, record: RequestRecord) -> None:
        tag = self._tags[record.workspace]
        self._virtual_s = max(self._virtual_s, tag)
        cost_s = max(record.service_s, MINIMUM_COST_S)
        moved = tag + cost_s / max(record.weight, MINIMUM_WEIGHT)
        self._order.remove((tag, record.workspace))
        self._order.add((moved, record.workspace))
        self._tags[record.workspace] = moved

"""Queued requests of one class: weighted fairness between workspaces, deadlines within one."""

from collections.abc import Iterator

from sortedcontainers import SortedDict, SortedKeyList, SortedList

from greengagestage.ids import WorkspaceId

from ._records import RequestRecord

MINIMUM_WEIGHT = 0.01
MINIMUM_COST_S = 0.001


def _order_by_due(record: RequestRecord) -> tuple[float, int]:
    return (record.due_s, record.sequence)


class ClassQueue:
    """A start-time fair queue over workspaces.

    Each workspace has a start tag in virtual time; the lowest tag is served next and moves on by
    the expected service time over the workspace's weight. Requests that come back from an
    upstream have been paid for and go first.
    """

    def __init__(self) -> None:
        self._returned = SortedKeyList(key=_order_by_due)
        self._lanes: dict[WorkspaceId, SortedKeyList] = {}
        self._tags: dict[WorkspaceId, float] = {}
        self._order: SortedList = SortedList()
        self._virtual_s = 0.0
        self._arrivals: SortedDict = SortedDict()

    def __len__(self) -> int:
        return len(self._arrivals)

    def __iter__(self) -> Iterator[RequestRecord]:
        return iter(list(self._arrivals.values()))

    def push(self, record: RequestRecord) -> None:
        """Queue a request, at the front if an attempt of it was dispatched before."""
        self._arrivals[record.sequence] = record
        if record.attempts_sent:
            self._returned.add(record)
            return
        lane = self._lanes.get(record.workspace)
        if lane is None:
            lane = self._open_lane(record.workspace)
        lane.add(record)

    def peek(self) -> RequestRecord | None:
        """Return the request to serve next."""
        if self._returned:
            returned: RequestRecord = self._returned[0]
            return returned
        if not self._order:
            return None
        first: RequestRecord = self._lanes[self._order[0][1]][0]
        return first

    def pop(self, record: RequestRecord) -> None:
        """Take a request out because it is served; its workspace's tag moves on."""
        if record not in self._returned:
            self._charge(record)
        self.remove(record)

    def remove(self, record: RequestRecord) -> None:
        """Take a request out without serving it."""
        del self._arrivals[record.sequence]
        if record in self._returned:
            self._returned.remove(record)
            return
        lane = self._lanes[record.workspace]
        lane.remove(record)
        if not lane:
            self._close_lane(record.workspace)

    def find_newest_unsent(self) -> RequestRecord | None:
        """Return the newest request of which nothing was ever sent."""
        for sequence in reversed(self._arrivals):
            record: RequestRecord = self._arrivals[sequence]
            if not record.attempts_sent:
                return record
        return None

    def _open_lane(self, workspace: WorkspaceId) -> SortedKeyList:
        lane = self._lanes[workspace] = SortedKeyList(key=_order_by_due)
        tag = max(self._virtual_s, self._tags.get(workspace, 0.0))
        self._tags[workspace] = tag
        self._order.add((tag, workspace))
        return lane

    def _close_lane(self, workspace: WorkspaceId) -> None:
        del self._lanes[workspace]
        self._order.remove((self._tags[workspace], workspace))
        if not self._lanes:
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

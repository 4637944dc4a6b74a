"""The queue of one class: weighted fair between workspaces, earliest deadline first within one."""

from collections.abc import Iterator
from itertools import islice

from sortedcontainers import SortedDict, SortedKeyList, SortedList

from greengagestage.ids import WorkspaceId

from ._records import RequestRecord

MINIMUM_WEIGHT = 0.01
MINIMUM_COST_S = 0.001
LATE_SERVICE_INTERVAL = 32
CANDIDATES_PER_FLOW = 4


def _order_by_due(record: RequestRecord) -> tuple[float, int]:
    return (record.due_s, record.sequence)


def _order_by_newest(record: RequestRecord) -> tuple[float, int]:
    return (-record.due_s, -record.sequence)


class ClassQueue:
    """A start-time fair queue over workspaces.

    Each workspace is a flow with a start tag in virtual time. The flow with the lowest tag is
    served next, and its tag increases by the expected service time divided by the workspace's
    weight. Requests that were dispatched before have been charged already and go first. Late
    requests (see ``RequestRecord.late``) go last, also those that were dispatched before. Of them,
    the one with the latest due time goes first, because the callers of the oldest are the most
    likely to leave. Once in ``LATE_SERVICE_INTERVAL`` served requests, the oldest late request goes
    before all but the requeued ones, so that it does not starve.

    Attributes:
        work_s: Expected service time of all queued requests, in slot-seconds.
    """

    def __init__(self) -> None:
        self.work_s = 0.0
        self._requeued = SortedKeyList(key=_order_by_due)
        self._late = SortedKeyList(key=_order_by_newest)
        self._flows: dict[WorkspaceId, SortedKeyList] = {}
        self._start_tags: dict[WorkspaceId, float] = {}
        self._flow_order: SortedList = SortedList()
        self._virtual_time_s = 0.0
        self._arrivals: SortedDict = SortedDict()
        self._served = 0

    def __len__(self) -> int:
        return len(self._arrivals)

    def __iter__(self) -> Iterator[RequestRecord]:
        return iter(list(self._arrivals.values()))

    def push(self, record: RequestRecord) -> None:
        """Queue a request: last if it is late, else ahead of new ones if dispatched before."""
        self._arrivals[record.sequence] = record
        self.work_s += record.service_s
        self._choose_list(record).add(record)

    def peek(self) -> RequestRecord | None:
        """Return the request to serve next."""
        return next(self.iterate_candidates(), None)

    def iterate_candidates(self) -> Iterator[RequestRecord]:
        """Yield the first requests in service order.

        These are at most ``CANDIDATES_PER_FLOW`` of the requeued ones, of each workspace, and of
        the late ones from either end, so a late request may be yielded twice. When it is the turn
        of the oldest late requests, only requeued ones precede them and nothing follows.
        """
        yield from islice(self._requeued, CANDIDATES_PER_FLOW)
        if self._late and self._served % LATE_SERVICE_INTERVAL == LATE_SERVICE_INTERVAL - 1:
            yield from islice(reversed(self._late), CANDIDATES_PER_FLOW)
            return
        for _, workspace in self._flow_order:
            yield from islice(self._flows[workspace], CANDIDATES_PER_FLOW)
        yield from islice(self._late, CANDIDATES_PER_FLOW)
        yield from islice(reversed(self._late), CANDIDATES_PER_FLOW)

    def estimate_work_ahead(self, record: RequestRecord) -> float:
        """Return the slot-seconds of work that is expected to be served before a new request."""
        flow = self._flows.get(record.workspace)
        position = (len(flow) if flow is not None else 0) + 1
        flows = len(self._flows) + (flow is None)
        count = len(self)
        if not count:
            return 0.0
        ahead = min(count, position * flows + len(self._requeued))
        return self.work_s * ahead / count

    def pop(self, record: RequestRecord) -> None:
        """Remove a request to serve it and advance the tag of its workspace."""
        if self._is_in_flow(record):
            self._advance_tag(record)
        self._served += 1
        self.remove(record)

    def remove(self, record: RequestRecord) -> None:
        """Remove a request without serving it."""
        del self._arrivals[record.sequence]
        self.work_s = max(0.0, self.work_s - record.service_s) if self._arrivals else 0.0
        if not self._is_in_flow(record):
            (self._late if record.late else self._requeued).remove(record)
            return
        flow = self._flows[record.workspace]
        flow.remove(record)
        if not flow:
            self._close_flow(record.workspace)

    def demote(self, record: RequestRecord) -> None:
        """Mark a request as late and move it behind the requests that are not."""
        if record.late:
            return
        self.remove(record)
        record.late = True
        self.push(record)

    def find_newest_unsent(self) -> RequestRecord | None:
        """Return the newest request that was never dispatched, or None.

        The last request in the queue is never returned: it waits for the minimum share of its
        class.
        """
        if len(self._arrivals) < 2:
            return None
        for sequence in reversed(self._arrivals):
            record: RequestRecord = self._arrivals[sequence]
            if not record.attempts_sent:
                return record
        return None

    def _is_in_flow(self, record: RequestRecord) -> bool:
        return not record.late and not record.attempts_sent

    def _choose_list(self, record: RequestRecord) -> SortedKeyList:
        if record.late:
            return self._late
        if record.attempts_sent:
            return self._requeued
        flow = self._flows.get(record.workspace)
        return self._open_flow(record.workspace) if flow is None else flow

    def _open_flow(self, workspace: WorkspaceId) -> SortedKeyList:
        flow = self._flows[workspace] = SortedKeyList(key=_order_by_due)
        tag = max(self._virtual_time_s, self._start_tags.get(workspace, 0.0))
        self._start_tags[workspace] = tag
        self._flow_order.add((tag, workspace))
        return flow

    def _close_flow(self, workspace: WorkspaceId) -> None:
        del self._flows[workspace]
        self._flow_order.remove((self._start_tags[workspace], workspace))
        if not self._arrivals:
            self._start_tags.clear()
            self._virtual_time_s = 0.0

    def _advance_tag(self, record: RequestRecord) -> None:
        tag = self._start_tags[record.workspace]
        self._virtual_time_s = max(self._virtual_time_s, tag)
        cost_s = max(record.service_s, MINIMUM_COST_S)
        new_tag = tag + cost_s / max(record.weight, MINIMUM_WEIGHT)
        self._flow_order.remove((tag, record.workspace))
        self._flow_order.add((new_tag, record.workspace))
        self._start_tags[record.workspace] = new_tag

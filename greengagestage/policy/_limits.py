"""Limits of a workspace on this host: its share of the fleet's rate and concurrency."""

import math
from dataclasses import dataclass, field

from greengagestage.configuration import Workspace
from greengagestage.ids import RequestId, WorkspaceId

from ._records import RequestRecord

MINIMUM_RATE_PER_S = 0.001


@dataclass(slots=True, kw_only=True, eq=False)
class WorkspaceUse:
    """What a workspace has taken of its limits.

    Attributes:
        tokens: Requests that the workspace may send at once.
        open: The workspace's open requests.
    """

    tokens: float
    refilled_s: float
    open: dict[RequestId, RequestRecord] = field(default_factory=dict)


class WorkspaceLimits:
    """Token buckets and counts of open requests, by workspace."""

    def __init__(self) -> None:
        self.entry_hosts = 1
        self._uses: dict[WorkspaceId, WorkspaceUse] = {}

    def take(self, workspace: Workspace, now_s: float) -> float | None:
        """Take one request from the rate; return the seconds to wait if there is none."""
        use = self._find(workspace, now_s)
        rate = max(workspace.requests_per_s / self.entry_hosts, MINIMUM_RATE_PER_S)
        burst = self._compute_burst(workspace)
        use.tokens = min(burst, use.tokens + (now_s - use.refilled_s) * rate)
        use.refilled_s = now_s
        if use.tokens < 1.0:
            return (1.0 - use.tokens) / rate
        use.tokens -= 1.0
        return None

    def is_full(self, workspace: Workspace, now_s: float) -> bool:
        """Return whether the workspace has all the open requests that it may have here."""
        limit = max(1, math.ceil(workspace.concurrency / self.entry_hosts))
        return len(self._find(workspace, now_s).open) >= limit

    def list_open(self, workspace: WorkspaceId) -> list[RequestRecord]:
        """Return the workspace's open requests, oldest first."""
        use = self._uses.get(workspace)
        return list(use.open.values()) if use else []

    def open(self, record: RequestRecord, now_s: float) -> None:
        """Count a request as open."""
        use = self._uses.get(record.workspace)
        if use is not None:
            use.open[record.request_id] = record

    def close(self, record: RequestRecord) -> None:
        """Count a request as ended."""
        use = self._uses.get(record.workspace)
        if use is not None:
            use.open.pop(record.request_id, None)

    def remove_undeclared(self, declared: dict[WorkspaceId, Workspace]) -> None:
        """Drop workspaces that are no longer declared and have nothing open."""
        for name in [n for n, use in self._uses.items() if n not in declared and not use.open]:
            del self._uses[name]

    def _compute_burst(self, workspace: Workspace) -> float:
        return max(1.0, workspace.burst / self.entry_hosts)

    def _find(self, workspace: Workspace, now_s: float) -> WorkspaceUse:
        use = self._uses.get(workspace.name)
        if use is None:
            use = WorkspaceUse(tokens=self._compute_burst(workspace), refilled_s=now_s)
            self._uses[workspace.name] = use
        return use

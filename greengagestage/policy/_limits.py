"""Rate and concurrency limits of workspaces: this host's share of the fleet-wide limits."""

import math
from dataclasses import dataclass, field

from greengagestage.configuration import Workspace
from greengagestage.ids import RequestId, WorkspaceId

from ._records import RequestRecord

MINIMUM_RATE_PER_S = 0.001


@dataclass(slots=True, kw_only=True, eq=False)
class WorkspaceUsage:
    """The usage of a workspace on this host.

    Attributes:
        tokens: Tokens in the rate limiter's bucket; each admits one request.
        open: The workspace's open requests.
    """

    tokens: float
    refilled_s: float
    open: dict[RequestId, RequestRecord] = field(default_factory=dict)


class WorkspaceLimits:
    """Token buckets and open requests of all workspaces."""

    def __init__(self) -> None:
        self.entry_hosts = 1
        self._usages: dict[WorkspaceId, WorkspaceUsage] = {}

    def take_token(self, workspace: Workspace, now_s: float) -> float | None:
        """Take one token and return None, or return the seconds until one is available.

        Each admitted request takes one token of its workspace's rate limit.
        """
        usage = self._get_or_create(workspace, now_s)
        rate = max(workspace.requests_per_s / self.entry_hosts, MINIMUM_RATE_PER_S)
        burst = self._compute_burst(workspace)
        usage.tokens = min(burst, usage.tokens + (now_s - usage.refilled_s) * rate)
        usage.refilled_s = now_s
        if usage.tokens < 1.0:
            return (1.0 - usage.tokens) / rate
        usage.tokens -= 1.0
        return None

    def is_full(self, workspace: Workspace, now_s: float) -> bool:
        """Return whether the workspace has reached its limit of open requests on this host."""
        limit = max(1, math.ceil(workspace.concurrency / self.entry_hosts))
        return len(self._get_or_create(workspace, now_s).open) >= limit

    def list_open(self, workspace: WorkspaceId) -> list[RequestRecord]:
        """Return the workspace's open requests, oldest first."""
        usage = self._usages.get(workspace)
        return list(usage.open.values()) if usage else []

    def open(self, record: RequestRecord, now_s: float) -> None:
        """Add a request to its workspace's open requests."""
        usage = self._usages.get(record.workspace)
        if usage is not None:
            usage.open[record.request_id] = record

    def close(self, record: RequestRecord) -> None:
        """Remove a request from its workspace's open requests."""
        usage = self._usages.get(record.workspace)
        if usage is not None:
            usage.open.pop(record.request_id, None)

    def remove_undeclared(self, declared: dict[WorkspaceId, Workspace]) -> None:
        """Remove workspaces that are no longer declared and have no open requests."""
        for name in [
            n for n, usage in self._usages.items() if n not in declared and not usage.open
        ]:
            del self._usages[name]

    def _compute_burst(self, workspace: Workspace) -> float:
        return max(1.0, workspace.burst / self.entry_hosts)

    def _get_or_create(self, workspace: Workspace, now_s: float) -> WorkspaceUsage:
        usage = self._usages.get(workspace.name)
        if usage is None:
            usage = WorkspaceUsage(tokens=self._compute_burst(workspace), refilled_s=now_s)
            self._usages[workspace.name] = usage
        return usage

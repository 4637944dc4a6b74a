"""Removes claims that are older than the retention, a bounded number at a time."""

import random
from collections.abc import Callable, Collection
from typing import Any

from eliot import log_message
from twisted.internet.defer import gatherResults, inlineCallbacks
from twisted.internet.task import LoopingCall

from greengagestage.ids import WorkspaceId
from greengagestage.outcomes import Unavailable
from greengagestage.services import Delete, Row, TableClient

from ._grouping import MAX_GROUP_ROWS
from ._rows import KEY_DIGITS, ClaimRow, ClaimState, claim_prefix, read_claim
from ._writer import GroupWriter

DEFAULT_RETENTION_S = 7 * 24 * 3600.0
SWEEP_INTERVAL_S = 60.0
SWEEP_JITTER_S = 20.0
PAGE_ROWS = 128
HEX_DIGITS = "0123456789abcdef"


def is_expired(
    claim: ClaimRow, now_s: float, retention_s: float, may_be_running: Callable[[ClaimRow], bool]
) -> bool:
    """Whether a claim may be deleted; one whose request may be running is kept at any age."""
    if now_s - claim.at < retention_s:
        return False
    return claim.state is not ClaimState.CLAIMED or not may_be_running(claim)


class Sweeper:
    """Periodically reads a random part of the claims and deletes the expired ones.

    The table service reads by prefix only, so a part is a workspace and the first digits of
    a key's hash; digits are added until a part fits one page.
    """

    def __init__(
        self,
        *,
        reactor: Any,
        table: TableClient,
        writer: GroupWriter,
        workspaces: Callable[[], Collection[WorkspaceId]],
        retention_s: float,
        wall_clock: Callable[[], float],
        may_be_running: Callable[[ClaimRow], bool],
    ) -> None:
        self.retention_s = retention_s
        self._table = table
        self._writer = writer
        self._workspaces = workspaces
        self._wall_clock = wall_clock
        self._may_be_running = may_be_running
        self._loop = LoopingCall(self.sweep_once)
        self._loop.clock = reactor

    def start(self) -> None:
        """Start the periodic removal."""
        if not self._loop.running:
            interval_s = SWEEP_INTERVAL_S + random.uniform(-SWEEP_JITTER_S, SWEEP_JITTER_S)
            self._loop.start(interval_s, now=False)

    def stop(self) -> None:
        """Stop the periodic removal."""
        if self._loop.running:
            self._loop.stop()

    @inlineCallbacks
    def sweep_once(self) -> Any:
        """Delete up to ``MAX_GROUP_ROWS`` expired claims of one random part.

        Return the number of deletions sent, whatever their outcomes.
        """
        workspaces = sorted(self._workspaces())
        if not workspaces or not self._writer.has_room():
            return 0
        rows = yield self._read_part(claim_prefix(random.choice(workspaces)))
        deletions = [self._writer.write(deletion) for deletion in self._plan_deletions(rows)]
        yield gatherResults(deletions)
        if deletions:
            log_message(message_type="claims: old claims removed", count=len(deletions))
        return len(deletions)

    @inlineCallbacks
    def _read_part(self, prefix: str) -> Any:
        for _ in range(KEY_DIGITS):
            rows = yield self._table.read_rows(prefix, PAGE_ROWS)
            if isinstance(rows, Unavailable):
                return ()
            if len(rows) < PAGE_ROWS:
                return rows
            prefix += random.choice(HEX_DIGITS)
        return ()

    def _plan_deletions(self, rows: tuple[Row, ...]) -> list[Delete]:
        now_s = self._wall_clock()
        deletions = []
        for row in rows:
            claim = read_claim(row)
            if claim and is_expired(claim, now_s, self.retention_s, self._may_be_running):
                deletions.append(Delete(key=row.key, expect=row.revision))
        return deletions[:MAX_GROUP_ROWS]

"""Clears the leaving marks that refusals have set, after a growing backoff."""

import math
import time
from collections.abc import Callable
from typing import Any

from eliot import log_message

from greengagestage.ids import UpstreamName
from greengagestage.membership import Membership

from ._upstream_view import UpstreamView

FIRST_BACKOFF_S = 5.0
"""Backoff after an upstream's first refusal. It is longer than the 3 s within which all hosts learn
of a leaving upstream, and shorter than the usual time until a refused caller retries."""
BACKOFF_FACTOR = 2.0
"""Growth of the backoff with each further refusal: the usual doubling."""
MAX_BACKOFF_S = 60.0
"""Longest backoff: the lag of the platform's host list, after which the list clears the mark."""


class RefusalBackoff:
    """Clears the leaving mark of a refusing upstream when a pool has no other one available.

    A plain service announces that it is leaving only by refusing a request, and cannot announce
    that it is back. While its pool has another available upstream, it stays marked until the host
    list shows it as live. When its pool has no other, the mark is cleared after a backoff, so that
    requests are sent to it again. A refused request has not started, so this cannot make anything
    run twice. The backoff runs from the refusal and is logged as ``hold_s``; after it, the pool is
    checked, and checked again at the same interval while the mark has to stay.
    """

    def __init__(
        self,
        *,
        reactor: Any,
        membership: Membership,
        upstreams: UpstreamView,
        is_listed_leaving: Callable[[UpstreamName], bool],
        on_cleared: Callable[[UpstreamName], None],
    ) -> None:
        self._reactor = reactor
        self._membership = membership
        self._upstreams = upstreams
        self._is_listed_leaving = is_listed_leaving
        self._on_cleared = on_cleared
        self._backoffs_s: dict[UpstreamName, float] = {}
        self._cleared_at_s: dict[UpstreamName, float] = {}
        self._checks: dict[UpstreamName, Any] = {}

    def note_refusal(self, upstream: UpstreamName) -> None:
        """Schedule the check of an upstream that refused a request because it is leaving.

        Nothing is changed if a check is already scheduled. Otherwise the backoff is doubled if the
        last mark was cleared less than ``MAX_BACKOFF_S`` ago.
        """
        if upstream in self._checks:
            return
        since_cleared_s = self._reactor.seconds() - self._cleared_at_s.get(upstream, -math.inf)
        previous_s = self._backoffs_s.get(upstream)
        backoff_s = FIRST_BACKOFF_S
        if previous_s is not None and since_cleared_s < MAX_BACKOFF_S:
            backoff_s = min(MAX_BACKOFF_S, previous_s * BACKOFF_FACTOR)
        self._backoffs_s[upstream] = backoff_s
        self._schedule_check(upstream)

    def stop(self) -> None:
        """Cancel all checks."""
        for check in self._checks.values():
            check.cancel()
        self._checks.clear()

    def _schedule_check(self, upstream: UpstreamName) -> None:
        backoff_s = self._backoffs_s[upstream]
        self._checks[upstream] = self._reactor.callLater(backoff_s, self._check, upstream)

    def _check(self, upstream: UpstreamName) -> None:
        del self._checks[upstream]
        if upstream not in self._upstreams.declared or not self._membership.is_leaving(upstream):
            return
        if self._is_listed_leaving(upstream) or not self._upstreams.has_unserved_pool(upstream):
            self._schedule_check(upstream)
            return
        backoff_s = self._backoffs_s[upstream]
        log_message("membership: refusal is over its hold", upstream=upstream, hold_s=backoff_s)
        self._cleared_at_s[upstream] = self._reactor.seconds()
        self._membership.mark_upstream(upstream, False, time.monotonic())
        self._on_cleared(upstream)

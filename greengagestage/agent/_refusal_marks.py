"""Marks set because an upstream refused, and when they are taken back."""

import math
import time
from collections.abc import Callable
from typing import Any

from eliot import log_message

from greengagestage.ids import UpstreamName
from greengagestage.membership import Membership

from ._upstream_view import UpstreamView

FIRST_BACKOFF_S = 5.0
"""How long a refusal keeps the last upstream of a pool out: a caller's usual first retry comes
later, and the 3 s in which all hosts have heard of a leaving upstream are over."""
BACKOFF_FACTOR = 2.0
"""How much longer each further refusal counts: the usual doubling of a back-off."""
MAX_BACKOFF_S = 60.0
"""Longest hold: the lag of the platform's list, after which the list brings the upstream back."""


class RefusalBackoff:
    """Tries the last upstream of a pool again after it refused because it leaves.

    A plain service says that it leaves only by a refusal, and has no way to say that it is back. An
    upstream whose pool has another that works stays out until the list calls it live; one without
    which its pool has nothing is offered a request again after a hold. A refusal means that the
    request did not start, so the offer cannot make anything run twice.
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
        """Plan a review of an upstream that has refused because it leaves."""
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
        """Cancel all reviews."""
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
        if self._is_listed_leaving(upstream) or not self._upstreams.is_last_of_pool(upstream):
            self._schedule_check(upstream)
            return
        backoff_s = self._backoffs_s[upstream]
        log_message("membership: refusal is over its hold", upstream=upstream, hold_s=backoff_s)
        self._cleared_at_s[upstream] = self._reactor.seconds()
        self._membership.mark_upstream(upstream, False, time.monotonic())
        self._on_cleared(upstream)

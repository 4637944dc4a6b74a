"""Marks set because an upstream refused, and when they are taken back."""

import math
import time
from collections.abc import Callable
from typing import Any

from eliot import log_message

from greengagestage.ids import UpstreamName
from greengagestage.membership import Membership

from ._upstream_view import UpstreamView

FIRST_HOLD_S = 5.0
"""How long a refusal keeps the last upstream of a pool out: a caller's usual first retry comes
later, and the 3 s in which all hosts have heard of a leaving upstream are over."""
HOLD_FACTOR = 2.0
"""How much longer each further refusal counts: the usual doubling of a back-off."""
HOLD_LIMIT_S = 60.0
"""Longest hold: the lag of the platform's list, after which the list brings the upstream back."""


class RefusalMarks:
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
        on_back: Callable[[UpstreamName], None],
    ) -> None:
        self._reactor = reactor
        self._membership = membership
        self._upstreams = upstreams
        self._is_listed_leaving = is_listed_leaving
        self._on_back = on_back
        self._holds_s: dict[UpstreamName, float] = {}
        self._taken_back_s: dict[UpstreamName, float] = {}
        self._reviews: dict[UpstreamName, Any] = {}

    def note_refusal(self, upstream: UpstreamName) -> None:
        """Plan a review of an upstream that has refused because it leaves."""
        if upstream in self._reviews:
            return
        quiet_s = self._reactor.seconds() - self._taken_back_s.get(upstream, -math.inf)
        last_s = self._holds_s.get(upstream)
        hold_s = FIRST_HOLD_S
        if last_s is not None and quiet_s < HOLD_LIMIT_S:
            hold_s = min(HOLD_LIMIT_S, last_s * HOLD_FACTOR)
        self._holds_s[upstream] = hold_s
        self._plan(upstream)

    def stop(self) -> None:
        """Cancel all reviews."""
        for review in self._reviews.values():
            review.cancel()
        self._reviews.clear()

    def _plan(self, upstream: UpstreamName) -> None:
        hold_s = self._holds_s[upstream]
        self._reviews[upstream] = self._reactor.callLater(hold_s, self._review, upstream)

    def _review(self, upstream: UpstreamName) -> None:
        del self._reviews[upstream]
        if upstream not in self._upstreams.declared or not self._membership.is_leaving(upstream):
            return
        if self._is_listed_leaving(upstream) or not self._upstreams.is_last_of_pool(upstream):
            self._plan(upstream)
            return
        hold_s = self._holds_s[upstream]
        log_message("membership: refusal is over its hold", upstream=upstream, hold_s=hold_s)
        self._taken_back_s[upstream] = self._reactor.seconds()
        self._membership.mark_upstream(upstream, False, time.monotonic())
        self._on_back(upstream)

"""Polls the platform's host list: the larger the fleet, the less often on each host."""

import time
from random import Random
from typing import Any

from eliot import log_message
from twisted.internet.defer import Deferred

from greengagestage.ids import UpstreamName
from greengagestage.membership import Membership
from greengagestage.services import HostList, HostListClient, HostState

from ._fleet import Fleet
from ._listed_upstreams import find_mark_changes

FLEET_POLL_INTERVAL_S = 2.0
"""Mean time between two polls by any host, in a large fleet."""


class HostListWatch:
    """Takes seeds and leaving upstreams from the list; never removes anything because of it."""

    def __init__(
        self,
        *,
        reactor: Any,
        client: HostListClient,
        fleet: Fleet,
        interval_s: float,
        lag_s: float,
        random: Random,
    ) -> None:
        self._reactor = reactor
        self._client = client
        self._fleet = fleet
        self._interval_s = interval_s
        self._lag_s = lag_s
        self._random = random
        self._next_poll: Any = None
        self._leaving: frozenset[UpstreamName] = frozenset()

    def start(self) -> None:
        """Start polling."""
        self._poll()

    def stop(self) -> None:
        """Stop polling."""
        if self._next_poll is not None and self._next_poll.active():
            self._next_poll.cancel()

    def is_leaving(self, upstream: UpstreamName) -> bool:
        """Return whether the list that was read last marks an upstream as leaving."""
        return upstream in self._leaving

    def _poll(self) -> None:
        hosts = len(self._fleet.membership.list_members())
        mean_s = max(self._interval_s, hosts * FLEET_POLL_INTERVAL_S)
        if hosts <= 1:
            mean_s = self._interval_s
        self._next_poll = self._reactor.callLater(
            mean_s * self._random.uniform(0.5, 1.5), self._poll
        )
        Deferred.fromCoroutine(self._read()).addErrback(
            lambda failure: log_message("membership: fault", fault=failure.getTraceback())
        )

    async def _read(self) -> None:
        listed = await self._client.read()
        if isinstance(listed, HostList):
            self._apply(listed, self._fleet.membership)

    def _apply(self, listed: HostList, membership: Membership) -> None:
        now_s = time.monotonic()
        self._leaving = frozenset(
            upstream.name for upstream in listed.upstreams if upstream.state is HostState.LEAVING
        )
        membership.add_seeds(
            host.address
            for host in listed.hosts
            if host.state is HostState.LIVE and host.host != membership.own.host
        )
        marks = {
            mark.upstream: (mark, membership.records.get_age_s(mark, now_s))
            for mark in membership.records.list_marks()
        }
        for name, leaving in find_mark_changes(listed, marks, self._lag_s):
            log_message("membership: list marks upstream", upstream=name, leaving=leaving)
            membership.mark_upstream(name, leaving, now_s)
        self._fleet.send_pending()

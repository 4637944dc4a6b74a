"""Sends upstream states and shares to the entry process and stores this host's demand report."""

import time
from collections.abc import Callable, Iterable
from typing import Any

from twisted.internet.task import LoopingCall

from greengagestage.configuration import UpstreamKind
from greengagestage.ids import HostId, UpstreamName
from greengagestage.membership import HostDemand, Membership, SharedUpstream, compute_shares
from greengagestage.wire import (
    AgentMessage,
    HostReport,
    HostShares,
    MemberState,
    UpstreamStatuses,
)

from ._entry_reports import EntryReports
from ._load_poller import LoadPoller
from ._share_updates import ShareUpdates
from ._upstream_view import UpstreamView, list_pools

FEED_INTERVAL_S = 0.5
IN_FLIGHT_REPORT_MAX_HOSTS = 10
"""Reports include the requests in flight only in fleets of up to this number of hosts."""
TENTHS_PER_REQUEST = 10
SHARE_INTERVAL_FACTOR = 50
"""Shortest interval between two computations of the shares, as a multiple of the run time of the
last one. They take at most 2% of the time, however often hosts join or leave, upstreams start or
stop leaving, or configurations are adopted."""

HOST_DISCOVERY_S = 15.0
"""Time after the start in which hosts that are not known yet may be live."""


class EntryFeed:
    """Collects changes and sends them to the entry process every ``FEED_INTERVAL_S``.

    At the same time it stores this host's demand report in the membership, which sends it to the
    other hosts, sets this host to leaving while its entry process is silent, and lets the poller
    poll the engines in which this host has slots.
    """

    def __init__(
        self,
        *,
        reactor: Any,
        membership: Membership,
        upstreams: UpstreamView,
        reports: EntryReports,
        poller: LoadPoller,
        send: Callable[[AgentMessage], None],
    ) -> None:
        self._reactor = reactor
        self._membership = membership
        self._upstreams = upstreams
        self._reports = reports
        self._poller = poller
        self._send = send
        self._changed: set[UpstreamName] = set()
        self._leaving: set[UpstreamName] = set()
        self._are_shares_outdated = False
        self._reported_at_s = float("-inf")
        self._shares_computed_at_s = float("-inf")
        self._share_compute_s = 0.0
        self._sequence = 0
        self._started_s = 0.0
        self._shares = ShareUpdates(reactor=reactor, send=self._apply_shares)
        self._loop = LoopingCall(self._feed)
        self._loop.clock = reactor

    def start(self) -> None:
        """Start sending."""
        self._started_s = self._reactor.seconds()
        self._loop.start(FEED_INTERVAL_S, now=False)

    def stop(self) -> None:
        """Stop sending."""
        self._shares.stop()
        if self._loop.running:
            self._loop.stop()

    def note_upstreams_changed(self, names: Iterable[UpstreamName]) -> None:
        """Send the status of these upstreams soon, or at once if one starts or stops leaving."""
        self._changed.update(names)
        leaving = {name for name in self._changed if self._membership.is_leaving(name)}
        returned = (self._changed - leaving) & self._leaving
        if leaving - self._leaving or returned:
            self._leaving = (self._leaving | leaving) - returned
            self._send_statuses()
            self._are_shares_outdated = True

    def note_hosts_changed(self) -> None:
        """Recompute the shares soon."""
        self._are_shares_outdated = True

    def _feed(self) -> None:
        """Send and store what is due; set this host to leaving if its entry process is silent."""
        now_s = time.monotonic()
        if self._reports.is_entry_silent:
            self._membership.set_state(MemberState.LEAVING, now_s)
        self._send_statuses()
        interval_s = self._membership.get_report_interval_s()
        if now_s - self._reported_at_s >= interval_s:
            self._reported_at_s = now_s
            self._store_demand_report(now_s)
        pause_s = (
            SHARE_INTERVAL_FACTOR * self._share_compute_s
            if self._are_shares_outdated
            else interval_s
        )
        if now_s - self._shares_computed_at_s >= pause_s:
            self._are_shares_outdated = False
            self._shares_computed_at_s = now_s
            self._compute_shares()
            self._share_compute_s = time.monotonic() - now_s

    def _send_statuses(self) -> None:
        if self._changed:
            statuses = self._upstreams.build_statuses(self._changed)
            self._changed.clear()
            if statuses:
                self._send(UpstreamStatuses(statuses=statuses))

    def _store_demand_report(self, now_s: float) -> None:
        self._sequence += 1
        includes_in_flight = len(self._membership.list_members()) <= IN_FLIGHT_REPORT_MAX_HOSTS
        demand = {
            pool: round(TENTHS_PER_REQUEST * weight)
            for pool, weight in self._reports.demand.items()
        }
        self._membership.store_report(
            HostReport(
                host=self._membership.own.host,
                incarnation=self._membership.own.incarnation,
                sequence=self._sequence,
                version=self._membership.version,
                demand={pool: tenths for pool, tenths in demand.items() if tenths},
                in_flight=dict(self._reports.in_flight) if includes_in_flight else {},
            ),
            now_s,
        )

    def _compute_shares(self) -> None:
        """Compute this host's shares; a leaving host keeps its current ones."""
        own = self._membership.own
        if not self._upstreams.declared or own.state is not MemberState.LIVE:
            return
        members = self._membership.list_members()
        reports = self._membership.measurements.reports
        hosts = [
            HostDemand(
                host=record.host,
                demand=reports[record.host].demand if record.host in reports else {},
            )
            for record in members
        ]
        available = [
            SharedUpstream(name=upstream.name, slots=upstream.slots, pools=list_pools(upstream))
            for upstream in self._upstreams.list_available()
        ]
        shares = compute_shares(hosts, available).get(own.host, {})
        slots = dict.fromkeys(self._upstreams.declared, 0) | shares
        self._shares.update(
            HostShares(
                slots=slots, entry_hosts=len(members), live_hosts=self._list_hosts_not_gone()
            )
        )

    def _list_hosts_not_gone(self) -> tuple[HostId, ...]:
        """Return the hosts that are not gone, or none while this agent still discovers hosts."""
        if self._reactor.seconds() - self._started_s < HOST_DISCOVERY_S:
            return ()
        records = self._membership.records.list_hosts()
        return tuple(sorted(r.host for r in records if r.state is not MemberState.GONE))

    def _apply_shares(self, shares: HostShares) -> None:
        """Send the shares, and from now on poll the engines in which they give this host slots."""
        self._send(shares)
        self._poller.set_engines(
            {
                upstream.name: upstream.url
                for upstream in self._upstreams.declared.values()
                if upstream.kind is UpstreamKind.ENGINE and shares.slots.get(upstream.name, 0)
            }
        )

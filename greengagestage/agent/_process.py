"""The agent process of one host."""

import time
from random import Random
from typing import Any

from eliot import log_message
from twisted.internet.defer import Deferred, DeferredList
from twisted.internet.task import deferLater

from greengagestage.configuration import Version
from greengagestage.ids import UpstreamName
from greengagestage.membership import (
    Change,
    FingerprintQuarantined,
    HostsChanged,
    RemoteCrashReported,
    UpstreamsChanged,
    VersionAnnounced,
)
from greengagestage.orders import Reconciler
from greengagestage.wire import (
    ConfigurationInForce,
    CrashReport,
    EntryEndpoint,
    EntryMessage,
    EntryStatus,
    LoadRecord,
    MemberState,
    QuarantineNotice,
    RequestRecords,
    UpstreamLeavingNotice,
)

from ._commands import CommandRunner
from ._configuration_store import ConfigurationStore
from ._configuration_watch import ConfigurationWatch
from ._entry_feed import EntryFeed
from ._entry_reports import EntryReports
from ._fleet import Fleet
from ._host_list_watch import HostListWatch
from ._host_view import HostView
from ._load_client import LoadClient
from ._load_poller import LoadPoller
from ._orders import OrderHandler
from ._platform_clients import PlatformClients
from ._queries import QueryService
from ._refusal_backoff import RefusalBackoff
from ._request_log import RequestLog
from ._settings import AgentSettings
from ._upstream_view import UpstreamView


class AgentProcess:
    """Builds the parts of an agent and routes events between them."""

    def __init__(self, *, reactor: Any, settings: AgentSettings, random: Random) -> None:
        self.settings = settings
        self._reactor = reactor
        self._random = random
        self._stopping = False
        self.reports = EntryReports()
        self.requests = RequestLog()
        self._platform = PlatformClients(
            reactor=reactor,
            base_url=settings.platform,
            timeout_s=settings.times.platform_timeout_s,
        )
        self._build_configuration()
        self._build_membership()
        self._build_polls()
        self._build_entry_side()
        self._build_operators_side()

    def _build_configuration(self) -> None:
        self.store = ConfigurationStore(
            table=self._platform.table,
            objects=self._platform.objects,
            pause=lambda seconds: deferLater(self._reactor, seconds),
        )
        self.watch = ConfigurationWatch(
            reactor=self._reactor,
            store=self.store,
            interval_s=self.settings.times.head_interval_s,
            random=self._random,
            on_adopted=self._adopt,
        )

    def _build_membership(self) -> None:
        times = self.settings.times
        self.fleet = Fleet(
            reactor=self._reactor,
            settings=self.settings,
            random=self._random,
            on_change=self._receive_change,
            on_document=self.watch.receive_document,
            on_query=lambda sender, message: self.queries.receive(sender, message),
        )
        self._list_watch = HostListWatch(
            reactor=self._reactor,
            client=self._platform.hosts,
            fleet=self.fleet,
            interval_s=times.list_interval_s,
            lag_s=times.list_lag_s,
            random=self._random,
        )

    def _build_polls(self) -> None:
        times = self.settings.times
        membership = self.fleet.membership
        self._poller = LoadPoller(
            reactor=self._reactor,
            client=LoadClient(reactor=self._reactor, timeout_s=times.load_timeout_s),
            loads=membership.measurements.loads,
            polls_per_s=self.settings.load_polls_per_s,
            interval_s=times.load_interval_s,
            on_load=self._receive_load,
            on_failure=lambda name: self._feed.note_upstreams_changed([name]),
        )
        self.upstreams = UpstreamView(membership=membership, poller=self._poller)

    def _build_entry_side(self) -> None:
        self.entries = EntryEndpoint(
            reactor=self._reactor,
            address=self.settings.entry_listen,
            fleet_keys=self.settings.fleet_keys,
            on_message=self._receive_entry_message,
        )
        self._feed = EntryFeed(
            reactor=self._reactor,
            membership=self.fleet.membership,
            upstreams=self.upstreams,
            reports=self.reports,
            poller=self._poller,
            send=self.entries.broadcast,
        )
        self._refusals = RefusalBackoff(
            reactor=self._reactor,
            membership=self.fleet.membership,
            upstreams=self.upstreams,
            is_listed_leaving=self._list_watch.is_leaving,
            on_cleared=self._receive_cleared_mark,
        )

    def _build_operators_side(self) -> None:
        membership = self.fleet.membership
        self.host_view = HostView(
            host=self.settings.host,
            adoption=self.watch.adoption,
            membership=membership,
            upstreams=self.upstreams,
            requests=self.requests,
            table=self._platform.table,
        )
        self.queries = QueryService(
            reactor=self._reactor,
            fleet=self.fleet,
            host_view=self.host_view,
            timeout_s=self.settings.times.query_timeout_s,
        )
        self._reconciler = Reconciler(
            reactor=self._reactor,
            table=self._platform.table,
            weights=self._platform.weights,
            host=self.settings.host,
            upstreams=lambda: self.upstreams.declared.values(),
            hosts=lambda: [record.host for record in membership.list_members()],
            is_leaving=membership.is_leaving,
        )
        self.commands = CommandRunner(
            host_view=self.host_view,
            queries=self.queries,
            store=self.store,
            watch=self.watch,
            orders=OrderHandler(reconciler=self._reconciler),
        )

    @property
    def is_ready(self) -> bool:
        """Whether a configuration is in force here and the process is not stopping."""
        return self.watch.adoption.in_force is not None and not self._stopping

    @property
    def is_stopping(self) -> bool:
        """Whether a planned stop has begun."""
        return self._stopping

    def start(self) -> None:
        """Start listening and all periodic work.

        Raises:
            pynng.exceptions.NNGException: An address cannot be listened on.
        """
        self.entries.start()
        self.fleet.start()
        self.watch.start()
        self._list_watch.start()
        self._poller.start()
        self._feed.start()
        self._reconciler.start()
        log_message("agent: started", host=self.settings.host)

    def stop(self) -> Deferred[Any]:
        """Announce the stop to the neighbours, release the leases, then close everything."""
        if not self._stopping:
            self._stopping = True
            self.fleet.set_state(MemberState.LEAVING)
        notice: Deferred[Any] = deferLater(self._reactor, self.settings.times.leave_notice_s)
        released = DeferredList([notice, self._reconciler.stop()], consumeErrors=True)
        return released.addCallback(lambda _: self._close())

    def _close(self) -> Deferred[Any]:
        self._refusals.stop()
        self._feed.stop()
        self._list_watch.stop()
        self.watch.stop()
        self.fleet.stop()
        self.entries.stop()
        log_message("agent: stopped", host=self.settings.host)
        return DeferredList([self._poller.stop(), self._platform.close()])

    def _adopt(self, version: Version) -> None:
        head = version.head
        self.upstreams.set_declaration(version.declaration)
        names = [upstream.name for upstream in version.declaration.upstreams]
        self.fleet.membership.measurements.retain_loads(names)
        self.entries.broadcast(
            ConfigurationInForce(
                version=head.version, digest=head.digest, document=version.document
            )
        )
        self.fleet.set_version(version)
        self._feed.note_hosts_changed()
        self._feed.note_upstreams_changed(names)

    def _receive_load(self, record: LoadRecord) -> None:
        self.fleet.membership.store_load(record, time.monotonic())
        self._feed.note_upstreams_changed([record.upstream])

    def _receive_change(self, change: Change) -> None:
        match change:
            case HostsChanged():
                self._feed.note_hosts_changed()
            case UpstreamsChanged(upstreams=upstreams):
                self._feed.note_upstreams_changed(upstreams)
            case FingerprintQuarantined(fingerprint=fingerprint):
                log_message("membership: fingerprint quarantined", fingerprint=fingerprint)
                self.entries.broadcast(QuarantineNotice(fingerprint=fingerprint))
            case RemoteCrashReported(fingerprint=fingerprint, upstream=upstream):
                self.entries.broadcast(CrashReport(fingerprint=fingerprint, upstream=upstream))
            case VersionAnnounced(version=version, address=address):
                self.fleet.request_document(version, address)

    def _receive_entry_message(self, message: EntryMessage) -> None:
        now_s = time.monotonic()
        membership = self.fleet.membership
        match message:
            case EntryStatus():
                self._receive_status(message)
            case CrashReport(fingerprint=fingerprint, upstream=upstream):
                membership.report_crash(fingerprint, upstream, now_s)
            case QuarantineNotice(fingerprint=fingerprint):
                membership.quarantine(fingerprint, now_s)
            case UpstreamLeavingNotice(upstream=upstream):
                self._mark_leaving(upstream)
            case RequestRecords(records=records):
                self.requests.record(records)
        self.fleet.send_pending()

    def _receive_status(self, status: EntryStatus) -> None:
        version = self.watch.adoption.in_force
        self.reports.record(status, version.declaration if version else None)
        if not self._stopping:
            state = MemberState.LEAVING if status.stopping else MemberState.LIVE
            self.fleet.membership.set_state(state, time.monotonic())

    def _mark_leaving(self, upstream: UpstreamName) -> None:
        log_message("membership: upstream refuses because it leaves", upstream=upstream)
        self.fleet.membership.mark_upstream(upstream, True, time.monotonic())
        self._feed.note_upstreams_changed([upstream])
        self._refusals.note_refusal(upstream)

    def _receive_cleared_mark(self, upstream: UpstreamName) -> None:
        self._feed.note_upstreams_changed([upstream])
        self.fleet.send_pending()

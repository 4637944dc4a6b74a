"""The duties of a host: their leases, and the parts that perform them."""

import uuid
from collections.abc import Callable, Iterable, Mapping
from typing import Any

from eliot import log_message
from twisted.internet.defer import Deferred, maybeDeferred
from twisted.internet.task import LoopingCall

from greengagestage.catalog import Duty, DutySettings, HostSettings
from greengagestage.ids import HostId, ServiceName, WorkspaceId
from greengagestage.platform import DutyCalls, RowClient
from greengagestage.routing import Demand
from greengagestage.telemetry import LabelledGauge, log_unexpected_failure

from ._autoscaler import Autoscaler, FleetView
from ._clocks import Clocks
from ._lease import REFUSAL_PAUSE_S, RELEASE_PAUSE_S, DutyLease
from ._lease_keeper import LeaseKeeper
from ._link import DutyLink
from ._messages import DutyBody, DutyReport, UsageReceipt, UsageReport
from ._usage_reporting import UsageReporting
from ._usage_windows import Term

STEP_INTERVAL_S = 0.1

MAX_UNANSWERED_S = 2.0
"""Time without a response of the platform API after which a holder leaves its duties to others."""

GAUGES = {
    Duty.USAGE_REPORTING: ("duty_usage_reporting_held", "duty_usage_reporting_token"),
    Duty.AUTOSCALING: ("duty_autoscaling_held", "duty_autoscaling_token"),
}
"""Names of the metrics of each duty."""


class DutyService:
    """Competes for the leases of the duties, and performs those that this host holds.

    Args:
        started_ms: Start of the process in Unix milliseconds.
        read_era: Returns the store's newest known era; None if the store does not state it.
        fleet: What autoscaling is decided from.
        knows_hosts: Whether this host has read the list of hosts.
    """

    def __init__(
        self,
        *,
        reactor: Any,
        settings: HostSettings,
        duties: DutySettings,
        started_ms: int,
        rows: RowClient,
        link: DutyLink,
        clocks: Clocks,
        read_era: Callable[[], int | None],
        fleet: FleetView,
        knows_hosts: Callable[[], bool],
    ) -> None:
        self._reactor = reactor
        self._clocks = clocks
        # Other hosts may start in the same millisecond.
        instance = uuid.uuid4().hex
        self._leases = {
            duty: DutyLease(
                duty=duty,
                host=settings.host,
                address=settings.address,
                instance=instance,
                duration_s=duties.lease_s,
                thaw_slack_s=duties.thaw_slack_s,
                now_s=clocks.read_boot_s(),
            )
            for duty in sorted(duties.duties, key=lambda duty: duty.value)
        }
        self.calls = DutyCalls(
            reactor=reactor,
            address=duties.address,
            host=settings.host,
            calls_per_s=duties.calls_per_s,
            is_current=lambda token: token in map(self.get_token, self._leases),
        )
        self._usage = None
        if Duty.USAGE_REPORTING in duties.duties:
            self._usage = UsageReporting(
                host=settings.host,
                started_ms=started_ms,
                window_s=duties.usage_window_s,
                late_s=duties.usage_late_s,
                clocks=clocks,
                link=link,
                calls=self.calls,
                holder=self,
                read_term=self._read_usage_term,
                on_refused=self.release_refused,
            )
        self._autoscaler = None
        if Duty.AUTOSCALING in duties.duties:
            self._autoscaler = Autoscaler(
                fleet=fleet,
                calls=self.calls,
                holder=self,
                on_refused=self.release_refused,
                seconds=reactor.seconds,
            )
        self._keeper = LeaseKeeper(
            host=settings.host,
            rows=rows,
            leases=self._leases,
            clocks=clocks,
            link=link,
            read_era=read_era,
            knows_hosts=knows_hosts,
            usage=self._usage,
        )
        self._loops = [
            self._build_loop("duties", self._act),
            self._build_loop("leases", self._keeper.step),
        ]

    def start(self) -> None:
        """Start to compete for the duties; the link must already be listening."""
        for loop in self._loops:
            loop.start(STEP_INTERVAL_S, now=False)

    def stop(self) -> None:
        """Send the last counts and stop."""
        if self._usage is not None:
            self._usage.begin_leaving()
        for loop in self._loops:
            if loop.running:
                loop.stop()
        self.calls.close()

    def leave(self) -> None:
        """Stop acting at once and leave the duties to others, since this host is stopping."""
        for lease in self._leases.values():
            self._release(lease, "stopping", float("inf"))

    def get_token(self, duty: Duty) -> int | None:
        """Return the token for a call that is sent now; see ``DutyHolder``."""
        lease = self._leases.get(duty)
        if lease is None or not lease.is_held(self._clocks.read_boot_s()):
            return None
        return lease.token

    def release_refused(self, duty: Duty, token: int) -> None:
        """Leave a duty to others because the platform has refused this token."""
        lease = self._leases[duty]
        lease.raise_floor(token)
        if self.get_token(duty) == token:
            self._release(lease, "token refused", REFUSAL_PAUSE_S)

    def count_begun(self, workspace: WorkspaceId) -> None:
        """Count a request of a workspace that has begun to run."""
        if self._usage is not None:
            self._usage.count(workspace)

    def update_peer_demand(self, demands: Mapping[ServiceName, Demand]) -> None:
        """Replace the known demand on all other hosts."""
        if self._autoscaler is not None:
            self._autoscaler.update_peer_demand(demands)

    def receive(self, host: HostId, started_ms: int, body: DutyBody) -> None:
        """Process a message of another host's process."""
        match body:
            case DutyReport():
                self._keeper.receive(body)
                if self._usage is not None and body.duty == Duty.USAGE_REPORTING.value:
                    self._usage.learn_holder(body)
            case UsageReport() if self._usage is not None:
                self._usage.receive(host, started_ms, body)
            case UsageReceipt() if self._usage is not None:
                self._usage.receive_receipt(host, body)

    def read_gauges(self) -> dict[str, float]:
        """Return the values of this part's metrics."""
        gauges: dict[str, float] = {}
        for duty in self._leases:
            token, (held_name, token_name) = self.get_token(duty), GAUGES[duty]
            gauges[held_name] = float(token is not None)
            gauges[token_name] = float(token or 0)
        if self._usage is not None:
            windows = self._usage.windows
            gauges["usage_windows_reported"] = windows.reported
            gauges["usage_windows_late"] = windows.late
            gauges["usage_windows_missed"] = windows.missed
        return gauges

    def list_labelled_gauges(self) -> Iterable[LabelledGauge]:
        """Return the values of this part's metrics that have labels."""
        return () if self._autoscaler is None else self._autoscaler.list_gauges()

    def _act(self) -> None:
        if self.calls.unanswered_s >= MAX_UNANSWERED_S:
            for lease in self._leases.values():
                self._release(lease, "platform API unreachable", RELEASE_PAUSE_S)
            self.calls.forget_unanswered()
        if self._usage is not None:
            self._usage.exchange()
            self._usage.act()
        if self._autoscaler is not None:
            self._autoscaler.act()

    def _release(self, lease: DutyLease, reason: str, pause_s: float) -> None:
        now_s = self._clocks.read_boot_s()
        if lease.is_held(now_s):
            log_message(message_type="duties: gives up", duty=lease.duty.value, reason=reason)
        lease.release(now_s, pause_s)

    def _read_usage_term(self) -> Term:
        lease = self._leases[Duty.USAGE_REPORTING]
        return Term(
            acquired_s=self._clocks.convert_to_unix(lease.acquired_s),
            era_since_s=self._clocks.convert_to_unix(self._keeper.era_since_s),
        )

    def _build_loop(self, name: str, step: Callable[[], Any]) -> LoopingCall:
        def run() -> Deferred[Any]:
            return maybeDeferred(step).addErrback(
                lambda failure: log_unexpected_failure(f"{name}: unexpected fault", failure)
            )

        loop = LoopingCall(run)
        loop.clock = self._reactor
        return loop

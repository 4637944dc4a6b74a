"""Usage reports: exchanges the hosts' counts, and reports the decided windows as their holder."""

from collections.abc import Callable, Mapping

from eliot import log_message

from greengagestage.catalog import Duty
from greengagestage.ids import HostId, WorkspaceId
from greengagestage.platform import Accepted, Busy, DutyCalls, DutyOutcome, Refused

from ._clocks import Clocks
from ._holder import DutyHolder
from ._link import DutyLink
from ._messages import DutyReport, UsageReceipt, UsageReport
from ._usage_counts import UsageCounts
from ._usage_windows import Decision, Term, UsageWindows

RETRY_S = 0.5
"""Time between the end of a call and the next one for the same window."""


class UsageReporting:
    """This host's part in usage reports, whether it holds the duty or not.

    Args:
        holder: Tells whether this host holds the duty.
        read_term: Returns the term of this host as the holder.
        on_refused: Handles that the platform has refused a token.
    """

    def __init__(
        self,
        *,
        host: HostId,
        started_ms: int,
        window_s: float,
        late_s: float,
        clocks: Clocks,
        link: DutyLink,
        calls: DutyCalls,
        holder: DutyHolder,
        read_term: Callable[[], Term],
        on_refused: Callable[[Duty, int], None],
    ) -> None:
        self._host = host
        self._process = (host, started_ms)
        self._clocks = clocks
        self._link = link
        self._calls = calls
        self._duty_holder = holder
        self._read_term = read_term
        self._on_refused = on_refused
        self._counts = UsageCounts(window_s=window_s, now_s=clocks.read_unix_s())
        self.windows = UsageWindows(window_s=window_s, late_s=late_s)
        self._holder: tuple[HostId, int] | None = None
        self._standby = HostId("")
        self._expired: list[int] = []
        self._calls_from_s = 0.0
        self._calling = False

    @property
    def standby(self) -> HostId:
        """The host that this one names as its successor; empty if it knows none."""
        hosts = self.windows.list_hosts(self._clocks.read_unix_s()) - {self._host}
        return min(hosts, default=HostId(""))

    def count(self, workspace: WorkspaceId) -> None:
        """Count a request that has begun to run."""
        self._counts.count(workspace, self._clocks.read_unix_s())

    def begin_leaving(self) -> None:
        """Send the final counts, since this host serves no further requests."""
        self._counts.begin_leaving()
        self.exchange()

    def learn_holder(self, report: DutyReport) -> None:
        """Learn from a holder's report to whom counts are sent, and what is decided."""
        if self._holder is not None and report.token < self._holder[1]:
            return
        self._set_holder(report.holder, report.token)
        self._standby = report.standby
        now_s = self._clocks.read_unix_s()
        self._counts.settle_until(report.decided, now_s)
        self.windows.learn_settled(report.settled, now_s)

    def learn_own_term(self, token: int) -> None:
        """Learn that this host holds the duty."""
        self._set_holder(self._host, token)

    def receive(self, host: HostId, started_ms: int, report: UsageReport) -> None:
        """Merge the counts of another host; the holder confirms final ones."""
        is_final = self.windows.receive((host, started_ms), report, self._clocks.read_unix_s())
        if is_final and self._duty_holder.get_token(Duty.USAGE_REPORTING) is not None:
            self._link.send_duty(host, UsageReceipt(report.window))

    def receive_receipt(self, host: HostId, receipt: UsageReceipt) -> None:
        """Stop repeating final counts that the holder has."""
        if self._holder is not None and host == self._holder[0]:
            self._counts.settle([receipt.window], self._clocks.read_unix_s())

    def exchange(self) -> None:
        """Send this host's counts that are due to the holder and to its standby."""
        self._expired += self.windows.forget(self._clocks.read_unix_s())
        if self._holder is None or not self._holder[0]:
            return
        now_s = self._clocks.read_unix_s()
        reports = self._counts.plan_reports(now_s)
        is_holder = self._holder[0] == self._host
        targets = {self._holder[0], self.standby if is_holder else self._standby}
        for report in reports:
            self.windows.receive(self._process, report, now_s)
            for target in sorted(targets - {self._host, HostId("")}):
                self._link.send_duty(target, report)
        if is_holder:
            self._counts.settle((report.window for report in reports if report.final), now_s)

    def compute_settled(self) -> int:
        """Return the window up to which none remains to be reported; -1 if none is known."""
        return self.windows.compute_settled(self._clocks.read_unix_s())

    def take_expired(self, limit: int) -> list[int]:
        """Return decided windows whose rows are to be removed."""
        taken, self._expired = self._expired[:limit], self._expired[limit:]
        return taken

    def plan_decision(self) -> Decision | None:
        """Return the next window that this host should decide as the holder."""
        return self.windows.plan_decision(self._read_term(), self._clocks.read_unix_s())

    def act(self) -> None:
        """As the holder, report the next decided window unless a call is under way."""
        token = self._duty_holder.get_token(Duty.USAGE_REPORTING)
        if token is None:
            return
        now_s = self._clocks.read_unix_s()
        for window, reason in self.windows.take_missed(self._read_term(), now_s):
            log_message(message_type="usage: not reported", window=window, reason=reason)
        found = self.windows.find_unreported(now_s)
        if found is None or self._calling or self._clocks.read_boot_s() < self._calls_from_s:
            return
        window, counts = found
        self._calling = True
        call = self._calls.report_usage(token, window, counts)
        call.addCallback(self._end_report, token, window, counts)

    def _end_report(
        self, outcome: DutyOutcome, token: int, window: int, counts: Mapping[WorkspaceId, int]
    ) -> None:
        self._calling = False
        match outcome:
            case Accepted():
                in_time = self.windows.record_accepted(window, self._clocks.read_unix_s())
                log_message(
                    message_type="usage: reported",
                    window=window,
                    total=sum(counts.values()),
                    token=token,
                    in_time=in_time,
                )
                return
            case Refused():
                self._on_refused(Duty.USAGE_REPORTING, token)
        if not (isinstance(outcome, Busy) and not outcome.sent):
            log_message(
                message_type="usage: report failed", window=window, token=token, fault=str(outcome)
            )
        self._calls_from_s = self._clocks.read_boot_s() + RETRY_S

    def _set_holder(self, holder: HostId, token: int) -> None:
        if self._holder != (holder, token):
            self._holder = (holder, token)
            self._counts.begin_holder()

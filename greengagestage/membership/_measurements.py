"""The newest engine loads and host reports.

They change often and soon expire, so each gossip message carries only a limited number of them.
"""

from collections.abc import Iterable
from dataclasses import dataclass, field

from greengagestage.ids import HostId, UpstreamName
from greengagestage.wire import HostReport, LoadRecord

LOADS_PER_MESSAGE = 8
REPORTS_PER_MESSAGE = 4
MAX_SENT_LOAD_AGE_S = 10.0
"""Older loads are not sent to other hosts."""


@dataclass(slots=True, kw_only=True)
class Load:
    """The newest known load of an engine, measured by any host."""

    running: int
    waiting: int
    measured_at_s: float


@dataclass(slots=True, kw_only=True)
class _PendingUpdates:
    """Loads and reports to send, newest last, with the host each came from (None: this host)."""

    loads: dict[UpstreamName, HostId | None] = field(default_factory=dict)
    reports: dict[HostId, HostId | None] = field(default_factory=dict)


class Measurements:
    """The newest load of each engine and report of each host.

    Attributes:
        report_stored_at_s: When this host stored the newest report of each host.
    """

    def __init__(self) -> None:
        self.loads: dict[UpstreamName, Load] = {}
        self.reports: dict[HostId, HostReport] = {}
        self.report_stored_at_s: dict[HostId, float] = {}
        self._pending = _PendingUpdates()

    def merge_load(self, record: LoadRecord, source: HostId | None, now_s: float) -> bool:
        """Store a load if it is newer than the known one. Return whether it was stored."""
        measured_at_s = now_s - record.age_ms / 1000
        known = self.loads.get(record.upstream)
        if known is not None and known.measured_at_s >= measured_at_s:
            return False
        self.loads[record.upstream] = Load(
            running=record.running, waiting=record.waiting, measured_at_s=measured_at_s
        )
        self._pending.loads.pop(record.upstream, None)
        self._pending.loads[record.upstream] = source
        return True

    def merge_report(self, report: HostReport, source: HostId | None, now_s: float) -> bool:
        """Store a report if it is newer than the known one. Return whether it was stored."""
        known = self.reports.get(report.host)
        if known is not None and _get_stamp(report) <= _get_stamp(known):
            return False
        self.reports[report.host] = report
        self.report_stored_at_s[report.host] = now_s
        self._pending.reports.pop(report.host, None)
        self._pending.reports[report.host] = source
        return True

    def forget_host(self, host: HostId) -> None:
        """Delete the report of a host that is gone."""
        self.reports.pop(host, None)
        self.report_stored_at_s.pop(host, None)
        self._pending.reports.pop(host, None)

    def retain_loads(self, kept: Iterable[UpstreamName]) -> None:
        """Delete the loads of all engines except the given ones."""
        for name in self.loads.keys() - set(kept):
            del self.loads[name]
            self._pending.loads.pop(name, None)

    def take_updates(self) -> "UpdateBatch":
        """Return the updates since the last call, and start a new batch."""
        pending, self._pending = self._pending, _PendingUpdates()
        return UpdateBatch(
            loads=list(reversed(pending.loads.items())),
            reports=list(reversed(pending.reports.items())),
        )

    def select_loads(
        self, batch: "UpdateBatch", include_remote: bool, now_s: float
    ) -> list[LoadRecord]:
        """Return the loads of a batch for one neighbour, newest first, at most LOADS_PER_MESSAGE.

        Without ``include_remote``, only loads that this host has measured itself.
        """
        records: list[LoadRecord] = []
        for name, source in batch.loads:
            load = self.loads.get(name)
            if load is None or (source is not None and not include_remote):
                continue
            age_s = now_s - load.measured_at_s
            if age_s <= MAX_SENT_LOAD_AGE_S and len(records) < LOADS_PER_MESSAGE:
                records.append(
                    LoadRecord(
                        upstream=name,
                        running=load.running,
                        waiting=load.waiting,
                        age_ms=int(1000 * age_s),
                    )
                )
        return records

    def select_reports(
        self, batch: "UpdateBatch", include_remote: bool, receiver: HostId
    ) -> list[HostReport]:
        """Return the reports of a batch for one neighbour, newest first.

        At most REPORTS_PER_MESSAGE, and none that the receiver itself wrote or sent. Without
        ``include_remote``, only the report of this host.
        """
        chosen = [
            self.reports[host]
            for host, source in batch.reports
            if host in self.reports
            and host != receiver
            and source != receiver
            and (include_remote or source is None)
        ]
        return chosen[:REPORTS_PER_MESSAGE]


@dataclass(frozen=True, slots=True, kw_only=True)
class UpdateBatch:
    """Names of the updated items with the host each came from (None: this host), newest first."""

    loads: list[tuple[UpstreamName, HostId | None]]
    reports: list[tuple[HostId, HostId | None]]


def _get_stamp(report: HostReport) -> tuple[int, int]:
    return (report.incarnation, report.sequence)

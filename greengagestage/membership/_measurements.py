"""Loads of engines and reports of hosts: refreshed often, passed on within a bound, soon old."""

from collections.abc import Iterable
from dataclasses import dataclass, field

from greengagestage.ids import HostId, UpstreamName
from greengagestage.wire import HostReport, LoadRecord

LOADS_PER_MESSAGE = 8
REPORTS_PER_MESSAGE = 4
PASSED_ON_AGE_S = 10.0
"""Older loads are not passed on."""


@dataclass(slots=True, kw_only=True)
class Load:
    """The newest known load of an engine, by whichever host measured it."""

    running: int
    waiting: int
    measured_at_s: float


@dataclass(slots=True, kw_only=True)
class _News:
    """What is to be passed on, newest last, with the host that told it."""

    loads: dict[UpstreamName, HostId | None] = field(default_factory=dict)
    reports: dict[HostId, HostId | None] = field(default_factory=dict)


class Measurements:
    """The newest load of each engine and report of each host."""

    def __init__(self) -> None:
        self.loads: dict[UpstreamName, Load] = {}
        self.reports: dict[HostId, HostReport] = {}
        self.reported_at_s: dict[HostId, float] = {}
        self._news = _News()

    def merge_load(self, record: LoadRecord, source: HostId | None, now_s: float) -> bool:
        """Take a load if it is newer than the known one; tell whether it is."""
        measured_at_s = now_s - record.age_ms / 1000
        known = self.loads.get(record.upstream)
        if known is not None and known.measured_at_s >= measured_at_s:
            return False
        self.loads[record.upstream] = Load(
            running=record.running, waiting=record.waiting, measured_at_s=measured_at_s
        )
        self._news.loads.pop(record.upstream, None)
        self._news.loads[record.upstream] = source
        return True

    def merge_report(self, report: HostReport, source: HostId | None, now_s: float) -> bool:
        """Take a report if it is newer than the known one; tell whether it is."""
        known = self.reports.get(report.host)
        if known is not None and _order(report) <= _order(known):
            return False
        self.reports[report.host] = report
        self.reported_at_s[report.host] = now_s
        self._news.reports.pop(report.host, None)
        self._news.reports[report.host] = source
        return True

    def forget_host(self, host: HostId) -> None:
        """Forget the report of a host that is gone."""
        self.reports.pop(host, None)
        self.reported_at_s.pop(host, None)
        self._news.reports.pop(host, None)

    def retain_loads(self, kept: Iterable[UpstreamName]) -> None:
        """Forget the loads of all engines but some."""
        for name in self.loads.keys() - set(kept):
            del self.loads[name]
            self._news.loads.pop(name, None)

    def take_news(self) -> "NewsParcel":
        """Return what is new since the last call, and begin anew."""
        news, self._news = self._news, _News()
        return NewsParcel(
            loads=list(reversed(news.loads.items())), reports=list(reversed(news.reports.items()))
        )

    def select_loads(self, parcel: "NewsParcel", foreign: bool, now_s: float) -> list[LoadRecord]:
        """Return the loads of a parcel for one neighbour, newest first, within the bound.

        Without ``foreign``, only what this host has measured itself.
        """
        records: list[LoadRecord] = []
        for name, source in parcel.loads:
            load = self.loads.get(name)
            if load is None or (source is not None and not foreign):
                continue
            age_s = now_s - load.measured_at_s
            if age_s <= PASSED_ON_AGE_S and len(records) < LOADS_PER_MESSAGE:
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
        self, parcel: "NewsParcel", foreign: bool, receiver: HostId
    ) -> list[HostReport]:
        """Return the reports of a parcel for one neighbour, newest first, within the bound."""
        chosen = [
            self.reports[host]
            for host, source in parcel.reports
            if host in self.reports
            and host != receiver
            and source != receiver
            and (foreign or source is None)
        ]
        return chosen[:REPORTS_PER_MESSAGE]


@dataclass(frozen=True, slots=True, kw_only=True)
class NewsParcel:
    """Names of what is new and the hosts that told it (None: this one), newest first."""

    loads: list[tuple[UpstreamName, HostId | None]]
    reports: list[tuple[HostId, HostId | None]]


def _order(report: HostReport) -> tuple[int, int]:
    return (report.incarnation, report.sequence)

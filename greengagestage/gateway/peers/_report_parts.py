"""Reports of load that are larger than a datagram: sent in parts, and put together again."""

from dataclasses import dataclass, field

from msgspec.structs import replace

from greengagestage.ids import HostId

from ._peer_messages import LoadEntry, LoadsReport, PeerMessage, Work, WorkReport
from ._work_sums import split_work

AddressedReport = tuple[HostId, WorkReport | LoadsReport]


def split_reports(reports: list[tuple[HostId, WorkReport]], sequence: int) -> list[AddressedReport]:
    """Cut reports to the size of a datagram; return them and then the parts that were cut off.

    Args:
        sequence: The sequence under which the reports are sent. Their parts follow under later
            ones.
    """
    split: dict[int, tuple[Work, list[list[LoadEntry]]]] = {}
    first: list[AddressedReport] = []
    further: list[AddressedReport] = []
    for host, report in reports:
        key = id(report.work)  # most reports of a round share their work
        if key not in split:
            split[key] = split_work(report.work)
        work, parts = split[key]
        first.append((host, replace(report, work=work) if parts else report))
        further += [(host, LoadsReport(sequence, loads)) for loads in parts]
    return [*first, *further]


@dataclass(slots=True, kw_only=True)
class _Incomplete:
    """A report whose parts have not all come.

    Attributes:
        message: The message that brought the report.
        loads: The loads of the report and of the parts that have come.
        missing: Number of parts that have not.
    """

    message: PeerMessage
    report: WorkReport
    loads: list[LoadEntry]
    missing: int


@dataclass(slots=True, kw_only=True)
class ReportAssembler:
    """Puts the reports of other hosts together from their parts.

    A report of which a part is lost is dropped; the sender's next one takes its place.
    """

    _incomplete: dict[HostId, _Incomplete] = field(default_factory=dict)

    def add_report(self, message: PeerMessage, report: WorkReport) -> PeerMessage | None:
        """Return the message if it is complete; keep it until its parts have come otherwise."""
        host = message.sender.host
        self._incomplete.pop(host, None)
        if not report.work.further_parts:
            return message
        self._incomplete[host] = _Incomplete(
            message=message,
            report=report,
            loads=list(report.work.loads),
            missing=report.work.further_parts,
        )
        return None

    def add_part(self, host: HostId, part: LoadsReport) -> PeerMessage | None:
        """Return the message that a part completes, as if it had been sent whole."""
        incomplete = self._incomplete.get(host)
        if incomplete is None or incomplete.message.sender.sequence != part.report:
            return None
        incomplete.loads += part.loads
        incomplete.missing -= 1
        if incomplete.missing:
            return None
        del self._incomplete[host]
        work = Work(incomplete.loads, incomplete.report.work.demands)
        return PeerMessage(incomplete.message.sender, replace(incomplete.report, work=work))

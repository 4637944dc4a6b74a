"""Tests of reports that are sent in parts."""

from greengagestage.gateway.peers._peer_messages import (
    DemandEntry,
    LoadEntry,
    LoadReport,
    LoadsReport,
    PeerMessage,
    Sender,
    Work,
)
from greengagestage.gateway.peers._report_parts import ReportAssembler, split_reports
from greengagestage.ids import FailureDomain, HostId, ServiceName

HOST = HostId("h1")
WORK = Work(
    [LoadEntry(2**31 + number, 900, 3, 9, 400, 700) for number in range(150)],
    [DemandEntry(ServiceName("engines"), 10, 20)],
)


def build_messages(sequence: int) -> list[PeerMessage]:
    """Return the messages by which a host reports its work to another one."""
    reports = split_reports([(HOST, LoadReport(FailureDomain("a"), WORK))], sequence)
    return [
        PeerMessage(Sender(3, HOST, 1, sequence + number), report)
        for number, (_, report) in enumerate(reports)
    ]


def receive(assembler: ReportAssembler, messages: list[PeerMessage]) -> list[PeerMessage]:
    """Return the messages that are complete."""
    complete = []
    for message in messages:
        match message.body:
            case LoadsReport() as part:
                complete.append(assembler.add_part(HOST, part))
            case LoadReport() as report:
                complete.append(assembler.add_report(message, report))
    return [message for message in complete if message is not None]


# Guards against loads that are lost or come twice where a report is put together.
def test_parts_are_put_together_under_the_first_sequence() -> None:
    messages = build_messages(7)
    assert len(messages) == 3
    (complete,) = receive(ReportAssembler(), messages)
    assert complete.sender.sequence == 7
    assert complete.body == LoadReport(FailureDomain("a"), WORK)


# Guards against a sum that mixes two reports, or takes a part of one for the whole.
def test_a_report_without_one_of_its_parts_is_replaced_by_the_next() -> None:
    assembler = ReportAssembler()
    first, second = build_messages(7), build_messages(20)
    assert receive(assembler, [first[0], first[1], second[0], first[2], second[1]]) == []
    (complete,) = receive(assembler, [second[2]])
    assert complete.sender.sequence == 20
    assert complete.body == LoadReport(FailureDomain("a"), WORK)

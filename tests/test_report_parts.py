"""Tests of reports that are sent in parts."""

from twisted.internet.task import Clock

from greengagestage.gateway.peers._early_losses import (
    COLLECTION_S,
    MAX_REPORTS,
    EarlyLossReporter,
)
from greengagestage.gateway.peers._peer_messages import (
    MAX_DATAGRAM_BYTES,
    DemandEntry,
    LoadEntry,
    LoadReport,
    LoadsReport,
    PeerMessage,
    Sender,
    Work,
    encode_message,
)
from greengagestage.gateway.peers._report_parts import ReportAssembler, split_reports
from greengagestage.ids import FailureDomain, Fingerprint, HostId, ServiceName
from greengagestage.routing import ObservedLoss

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


# Guards against reports of losses that are dropped as too large, and against thousands of them from
# each host while links fail.
def test_reports_of_early_losses_fit_into_a_datagram_and_are_few() -> None:
    clock, sizes = Clock(), []
    sender = Sender(3, HostId("h" * 60), 2**40, 2**32)
    reporter = EarlyLossReporter(
        reactor=clock,
        send=lambda body: sizes.append(len(encode_message(PeerMessage(sender, body)))),
    )
    for number in range(2_000):
        loss = ObservedLoss(
            fingerprint=Fingerprint("f" * 32),
            address="fe80:" * 8,
            port=65_535 - number,
            sent_s=clock.seconds() - 1_000.0,
            lost_s=clock.seconds(),
        )
        reporter.add(loss)
        clock.advance(COLLECTION_S / 20)
    assert max(sizes) <= MAX_DATAGRAM_BYTES
    assert len(sizes) <= MAX_REPORTS


# Guards against a caller who repeats a crashing request through the next host before it hears
# of two crashes (review/9).
def test_the_second_loss_of_equal_requests_is_reported_at_once() -> None:
    clock, reports = Clock(), []
    reporter = EarlyLossReporter(reactor=clock, send=reports.append)
    for number, fingerprint in enumerate("abaaa"):
        reporter.add(
            ObservedLoss(
                fingerprint=Fingerprint(fingerprint),
                address="10.0.0.1",
                port=8_000 + number,
                sent_s=clock.seconds(),
                lost_s=clock.seconds(),
            )
        )
    ((_, _, _),) = [report.losses for report in reports]
    clock.advance(COLLECTION_S)
    assert [len(report.losses) for report in reports] == [3, 2]

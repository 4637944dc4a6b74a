"""Tests of the quarantine of equal requests and of its reports, without network or clock."""

from itertools import permutations, product

import pytest

from greengagestage.gateway.peers._loss_reports import build_loss_reports, read_loss_report
from greengagestage.gateway.peers._peer_messages import (
    MAX_DATAGRAM_BYTES,
    PROTOCOL_VERSION,
    PeerMessage,
    Sender,
    encode_message,
)
from greengagestage.ids import Fingerprint, HostId, LossHash
from greengagestage.routing import LossRecord, LossTracker
from greengagestage.routing._losses import MAX_FINGERPRINTS


def record_losses(tracker: LossTracker, fingerprint: Fingerprint, losses: int) -> None:
    """Record losses of which the latest is at time 0."""
    for number in range(losses):
        tracker.record_loss(fingerprint, f"loss-{number}", 2.0 * (number + 1 - losses))


def is_quarantined(tracker: LossTracker, fingerprint: Fingerprint, now_s: float) -> bool:
    subjects = tracker.list_quarantined(fingerprint, now_s)
    return any(now_s < subject.ends_s for subject in subjects)


def exchange(sender: LossTracker, receiver: LossTracker, now_s: float) -> None:
    for report in build_loss_reports(sender.list_records(now_s, most=64), now_s):
        receiver.learn(read_loss_report(report, now_s), now_s)


def test_requests_are_quarantined_at_the_third_lost_upstream() -> None:
    tracker, bad = LossTracker(), Fingerprint("f")
    for number in range(3):
        assert not is_quarantined(tracker, bad, 0.0)
        tracker.record_loss(bad, f"loss-{number}", 0.0)
    assert is_quarantined(tracker, bad, 0.0)
    assert not is_quarantined(tracker, Fingerprint("other"), 0.0)


def test_a_loss_reported_more_than_once_counts_once() -> None:
    tracker, bad = LossTracker(), Fingerprint("f")
    for _ in range(5):
        tracker.record_loss(bad, "loss-1", 0.0)
    assert not is_quarantined(tracker, bad, 0.0)


# Guards against hosts that keep a quarantine alive by telling each other of it, and against
# spreading a loss that turns out to have another cause.
def test_hosts_exchange_confirmed_losses_with_their_age() -> None:
    first, second, bad = LossTracker(), LossTracker(), Fingerprint("f")
    for number in range(3):
        first.record_loss(bad, f"loss-{number}", 0.0)
    first.record_loss(Fingerprint("g"), "loss-9", 0.0, confirmed=False)
    for now_s in (10.0, 50.0):
        second.learn(first.list_records(now_s, most=9), now_s)
        first.learn(second.list_records(now_s, most=9), now_s)
    assert is_quarantined(second, bad, 59.0)
    assert not is_quarantined(second, bad, 61.0)
    assert [record.fingerprint for record in second.list_records(50.0, most=9)] == [bad]


# Guards against a caller that comes again slowly and crashes upstreams without limit (review/9).
@pytest.mark.parametrize("losses", [1, 2, 3, 12])
def test_only_an_answer_ends_the_memory_of_losses(losses: int) -> None:
    tracker, bad, later_s = LossTracker(), Fingerprint("f"), 30 * 86_400.0
    record_losses(tracker, bad, losses)
    (record,) = tracker.list_records(later_s, most=9)
    assert len(record.losses) == min(losses, 9)
    tracker.clear(bad, later_s)
    assert [record.losses for record in tracker.list_records(later_s + 1.0, most=9)] == [set()]
    assert not tracker.list_records(later_s + 7_201.0, most=9)


# Guards against hosts that tell each other for ever what all of them know.
@pytest.mark.parametrize(("losses", "told_s"), [(2, 60.0), (3, 480.0), (12, 7_200.0)])
def test_losses_are_told_for_a_while(losses: int, told_s: float) -> None:
    tracker, bad = LossTracker(), Fingerprint("f")
    record_losses(tracker, bad, losses)
    assert tracker.list_news(told_s - 1.0, most=9)
    assert not tracker.list_news(told_s + 1.0, most=9)
    tracker.record_loss(bad, "later", told_s + 1.0)
    assert tracker.list_news(told_s + 2.0, most=9)


# Guards against requests that are lost once, as in the crash of an upstream, displacing one that
# has crashed several.
def test_the_requests_with_the_fewest_losses_are_forgotten_first() -> None:
    tracker, bad = LossTracker(), Fingerprint("f")
    record_losses(tracker, bad, 2)
    for number in range(MAX_FINGERPRINTS + 10):
        tracker.record_loss(Fingerprint(f"other-{number}"), "lost once", 10.0 + number)
    assert len(tracker.list_records(9_000.0, most=9_000)) == MAX_FINGERPRINTS
    tracker.record_loss(bad, "later", 9_000.0)
    assert is_quarantined(tracker, bad, 9_000.0)


# Guards against a request that has crashed many upstreams being sent again after a minute.
@pytest.mark.parametrize(("losses", "quarantine_s"), [(3, 60.0), (8, 1_920.0), (20, 3_600.0)])
@pytest.mark.parametrize("told", [False, True])
def test_each_further_loss_doubles_the_quarantine(
    losses: int, quarantine_s: float, told: bool
) -> None:
    tracker, bad = LossTracker(), Fingerprint("f")
    record_losses(tracker, bad, losses)
    if told:
        first, tracker = tracker, LossTracker()
        exchange(first, tracker, 1.0)
    assert is_quarantined(tracker, bad, quarantine_s - 0.1)
    assert not is_quarantined(tracker, bad, quarantine_s + 0.1)
    assert tracker.list_quarantined(bad, quarantine_s + 0.1)


# Guards against a sound request being refused for an hour because an upstream has reset connections
# on which many equal ones were under way, from several hosts.
def test_losses_at_the_same_moment_do_not_prolong_a_quarantine() -> None:
    hosts, popular = [LossTracker() for _ in range(4)], Fingerprint("f")
    for number, (host, _) in enumerate(product(range(4), range(6))):
        hosts[host].record_loss(popular, f"loss-{number}", host / 10)
    for sender, receiver in permutations(hosts, 2):
        exchange(sender, receiver, 1.0)
    for host in hosts:
        assert is_quarantined(host, popular, 59.0)
        assert not is_quarantined(host, popular, 61.5)


# Guards against hosts that go on telling a host of losses that an answer has cleared.
def test_an_answer_after_the_quarantine_clears_the_losses_on_all_hosts() -> None:
    first, second, bad = LossTracker(), LossTracker(), Fingerprint("f")
    record_losses(first, bad, 4)
    exchange(first, second, 1.0)
    first.clear(bad)
    second.record_loss(bad, "later", 130.0)
    for sender, receiver in ((second, first), (first, second)):
        exchange(sender, receiver, 131.0)
        assert not receiver.list_quarantined(bad, 131.0)
        assert [len(record.losses) for record in receiver.list_records(131.0, most=9)] == [1]


def test_reports_of_losses_fit_into_a_datagram() -> None:
    tracker, sender = LossTracker(), Sender(PROTOCOL_VERSION, HostId("h" * 40), 2**40, 2**40)
    for number in range(200):
        fingerprint = Fingerprint(f"{number:032x}")
        for part in ("cleared", "kept"):
            for loss in range(9):
                tracker.record_loss(fingerprint, f"{part}-{number}-{loss}", 2.0 * loss)
            if number % 2 and part == "cleared":
                tracker.clear(fingerprint)
    reports = build_loss_reports(tracker.list_records(2_000.0, most=64), 2_000.0)
    assert sum(len(report.entries) for report in reports) == 64
    for report in reports:
        assert len(encode_message(PeerMessage(sender, report))) <= MAX_DATAGRAM_BYTES


# Guards against odd reports of other hosts, which name more trials than any host sends.
def test_a_record_of_many_trials_is_kept_within_the_limit() -> None:
    tracker, bad = LossTracker(), Fingerprint("f")
    trials = frozenset(LossHash(number) for number in range(20))
    for last_s in (0.0, 5.0):
        record = LossRecord(fingerprint=bad, losses=trials, trials=trials, last_s=last_s)
        tracker.learn([record], last_s)
    (kept,) = tracker.list_records(6.0, most=9)
    assert len(kept.losses) == 9
    assert kept.trials <= kept.losses

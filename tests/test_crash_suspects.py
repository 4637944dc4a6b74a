"""Tests of the search for prompt parts that crash upstreams, without network or clock."""

from itertools import permutations
from random import Random

import pytest
from hypothesis import given
from hypothesis import strategies as st

from greengagestage.gateway.peers._suspect_reports import (
    SuspectGossip,
    build_suspect_reports,
    read_suspect_report,
)
from greengagestage.ids import Crash, HostId, PromptPartId
from greengagestage.routing import CrashSuspects, PartLoss

from .suspect_builders import build_loss, build_parts, record_losses


def is_kept_back(suspects: CrashSuspects, parts: str, now_s: float = 10.0) -> bool:
    quarantined = suspects.list_quarantined(build_parts(parts), now_s)
    return any(now_s < subject.ends_s for subject in quarantined)


def test_a_part_is_quarantined_after_the_second_crash() -> None:
    suspects = CrashSuspects()
    record_losses(suspects, "bad", [1])
    assert not is_kept_back(suspects, "bad")
    record_losses(suspects, "bad", [2])
    assert is_kept_back(suspects, "bad")


# Guards against a part that all sound requests share being taken for the one that crashes.
@pytest.mark.parametrize("order", ["all bad", "bad all"])
def test_parts_shared_by_all_prompts_are_not_blamed(order: str) -> None:
    suspects = CrashSuspects()
    record_losses(suspects, order, range(1, 6))
    assert is_kept_back(suspects, order)
    assert not is_kept_back(suspects, "all good")
    assert not is_kept_back(suspects, "all")


# Guards against blaming a shared part because one host did not learn of one crash.
def test_a_missed_report_does_not_turn_the_blame_to_a_shared_part() -> None:
    suspects = CrashSuspects()
    record_losses(suspects, "all bad", [1, 2, 4])
    record_losses(suspects, "all", [3])
    assert is_kept_back(suspects, "all bad")
    assert not is_kept_back(suspects, "all good")


def test_prompts_lost_beside_the_crashing_one_are_not_kept_back() -> None:
    suspects = CrashSuspects()
    record_losses(suspects, "all bad", range(1, 5))
    record_losses(suspects, "all beside", range(1, 3))
    assert is_kept_back(suspects, "all bad")
    assert not is_kept_back(suspects, "all beside")


def test_two_crashing_parts_are_both_found() -> None:
    suspects = CrashSuspects()
    record_losses(suspects, "all bad", [1, 3, 5])
    record_losses(suspects, "all worse", [2, 4, 6])
    suspects.record_answer(build_parts("all good"), 6.5)
    assert is_kept_back(suspects, "all bad")
    assert is_kept_back(suspects, "all worse")
    assert not is_kept_back(suspects, "all good")


# Guards against a failure domain that loses power being blamed on the prompts of that moment.
def test_crashes_at_the_same_moment_count_once() -> None:
    suspects = CrashSuspects()
    for crash in range(1, 6):
        loss = build_loss(crash, sent_s=0.5, lost_s=1.0 + crash / 1_000)
        suspects.record_loss(build_parts("all some"), loss)
    assert not is_kept_back(suspects, "all some")


def test_an_answer_proves_that_a_part_is_sound() -> None:
    suspects = CrashSuspects()
    record_losses(suspects, "part", [1])
    (cleared,) = suspects.record_answer(build_parts("part"), 1.5)
    assert (cleared.answered_s, cleared.losses) == (1.5, ())
    assert suspects.record_answer(build_parts("part"), 1.6) == []
    record_losses(suspects, "part", [2])
    assert not is_kept_back(suspects, "part")


# Guards against a late report of an old crash outweighing an answer since then.
def test_a_loss_from_before_an_answer_is_ignored() -> None:
    suspects = CrashSuspects()
    record_losses(suspects, "part", [1])
    suspects.record_answer(build_parts("part"), 5.0)
    record_losses(suspects, "part", [2, 3, 4])
    assert not is_kept_back(suspects, "part")


# Guards against a shared part being blamed where the crashing part's own losses count for less:
# its requests were under way together, and a sound one was sent between the crashes.
def test_a_shared_part_with_more_evidence_than_the_crashing_one_is_not_blamed() -> None:
    suspects = CrashSuspects()
    record_losses(suspects, "bad", [1, 2], sent_s=0.5)
    record_losses(suspects, "all", [1, 2])
    assert not is_kept_back(suspects, "all good")


# Guards against hosts that hold an old loss against a part although others have answers to it.
def test_a_host_tells_what_contradicts_another() -> None:
    suspects, other = CrashSuspects(), CrashSuspects()
    suspects.record_answer(build_parts("part"), 5.0)
    record_losses(other, "part", [1, 2])
    contradicting = suspects.learn(other.list_records(5.0))
    assert [record.answered_s for record in contradicting] == [5.0]
    assert other.learn(contradicting) == []
    assert other.list_records(5.0) == []


@pytest.mark.parametrize(
    ("crashes", "after_s", "kept_back"),
    [(2, 59.0, True), (2, 61.0, False), (3, 61.0, True), (3, 121.0, False)],
)
def test_each_further_crash_doubles_the_quarantine(
    crashes: int, after_s: float, kept_back: bool
) -> None:
    suspects = CrashSuspects()
    record_losses(suspects, "bad", range(1, crashes + 1))
    assert is_kept_back(suspects, "bad", crashes + after_s) is kept_back


# Guards against crashes that requests under way together caused: only the first of them counted,
# so that a part that had crashed five upstreams came back after a minute.
@pytest.mark.parametrize(("crashes", "quarantine_s"), [(5, 480.0), (20, 3_600.0)])
@pytest.mark.parametrize("told", [False, True])
def test_crashes_at_the_same_moment_prolong_a_quarantine(
    crashes: int, quarantine_s: float, told: bool
) -> None:
    suspects = CrashSuspects()
    record_losses(suspects, "all bad", [0])
    for crash in range(1, crashes):
        loss = build_loss(crash, sent_s=0.01, lost_s=0.1 + crash / 1_000)
        suspects.record_loss(build_parts("all bad"), loss)
    if told:
        (report,) = build_suspect_reports(suspects.list_records(1.0), 1.0)
        suspects = CrashSuspects()
        suspects.learn(read_suspect_report(report, 1.0))
    assert is_kept_back(suspects, "all bad", quarantine_s)
    assert not is_kept_back(suspects, "all bad", quarantine_s + 0.2)
    suspects.record_answer(build_parts("all good"), 1.0)
    assert not is_kept_back(suspects, "all good", 2.0)
    assert is_kept_back(suspects, "all bad", quarantine_s)


def test_what_is_tracked_is_bounded() -> None:
    suspects = CrashSuspects()
    for number in range(3_000):
        suspects.record_loss([PromptPartId(f"p{number}")], build_loss(number, lost_s=3_000.0))
    record_losses(suspects, "bad", range(4_000, 4_100))
    records = suspects.list_records(3_000.0)
    assert len(records) == 2_048
    assert max(len(record.losses) for record in records) == 8
    assert is_kept_back(suspects, "bad", 4_100.0)


# Guards against hosts that go on telling each other of single crashes for ever.
@pytest.mark.parametrize(("crashes", "kept_s"), [(1, 120.0), (2, 480.0), (3, 960.0), (9, 7_200.0)])
def test_old_evidence_is_dropped(crashes: int, kept_s: float) -> None:
    suspects = CrashSuspects()
    record_losses(suspects, "part", range(1, crashes + 1))
    assert suspects.list_records(crashes + kept_s - 1.0)
    assert not suspects.list_records(crashes + kept_s + 1.0)


# Guards against a crash of very many upstreams that displaces what is known for certain.
def test_many_new_suspects_do_not_displace_a_quarantined_part() -> None:
    suspects = CrashSuspects()
    record_losses(suspects, "bad", [1, 2])
    for number in range(3_000):
        suspects.record_loss([PromptPartId(f"p{number}")], build_loss(10 + number, lost_s=3.0))
    assert is_kept_back(suspects, "bad")


LOSSES = st.builds(
    build_loss,
    st.integers(1, 6),
    lost_s=st.floats(0, 10),
)


@given(st.lists(st.tuples(st.sampled_from(["all bad", "all good", "all"]), LOSSES), max_size=12))
def test_hosts_that_exchange_records_agree(observed: list[tuple[str, PartLoss]]) -> None:
    hosts = [CrashSuspects() for _ in range(3)]
    for index, (parts, loss) in enumerate(observed):
        hosts[index % 3].record_loss(build_parts(parts), loss)
    for _ in range(2):
        for sender, receiver in permutations(hosts, 2):
            receiver.learn(sender.list_records(10.0))
    crashes = [
        {record.part: {loss.crash for loss in record.losses} for record in host.list_records(10.0)}
        for host in hosts
    ]
    assert crashes[0] == crashes[1] == crashes[2]


# Guards against any mix of losses and answers keeping back parts that were just answered.
@given(
    st.lists(
        st.tuples(st.sampled_from(["all bad", "all good", "good"]), st.booleans()),
        max_size=30,
    )
)
def test_a_part_is_never_kept_back_right_after_its_answer(steps: list) -> None:
    suspects = CrashSuspects()
    for number, (parts, answered) in enumerate(steps, 1):
        if answered:
            suspects.record_answer(build_parts(parts), float(number))
            assert not is_kept_back(suspects, parts, float(number))
        else:
            loss = PartLoss(crash=Crash(number), sent_s=number - 0.5, lost_s=float(number))
            suspects.record_loss(build_parts(parts), loss)


# Guards against hosts whose turns differ for as long as a quarantine lasts, since one of them was
# busy or had stopped for a while when it was told of a crash.
def test_a_host_that_was_told_late_of_a_crash_corrects_its_time() -> None:
    first, late = CrashSuspects(), CrashSuspects()
    record_losses(first, "bad", [1, 2])
    for told_s, read_s in ((3.0, 7.0), (8.0, 8.0)):
        (report,) = build_suspect_reports(first.list_records(told_s), told_s)
        late.learn(read_suspect_report(report, read_s))
    times = [
        subject.crashed_s
        for suspects in (first, late)
        for subject in suspects.list_quarantined(build_parts("bad"), 10.0)
    ]
    assert times[1] == pytest.approx(times[0], abs=0.01)


# Guards against hosts that send on what crashes upstreams, since they read the reports of two
# crashes with different delays and lose their order, and against blame for crashes together.
@pytest.mark.parametrize("delays_s", [(0.09, 0.0), (0.0, 0.09)])
@pytest.mark.parametrize(("sent_s", "is_in_sequence"), [(1.001, True), (0.95, False)])
def test_crashes_that_are_told_with_different_delays_keep_their_order(
    delays_s: tuple[float, float], sent_s: float, is_in_sequence: bool
) -> None:
    first, told = CrashSuspects(), CrashSuspects()
    second = build_loss(2, sent_s=sent_s, lost_s=1.03)
    for loss, delay_s in zip((build_loss(1, lost_s=1.0), second), delays_s, strict=True):
        first.record_loss(build_parts("bad"), loss)
        told_s = loss.lost_s + 0.1
        (report,) = build_suspect_reports(first.list_records(told_s), told_s)
        told.learn(read_suspect_report(report, told_s + delay_s))
    assert is_kept_back(told, "bad") is is_in_sequence


# Guards against evidence that is never told again, since older parts with more of it fill a round.
def test_all_parts_are_told_again_however_many_there_are() -> None:
    suspects, told = CrashSuspects(), CrashSuspects()
    for number in range(30):
        record_losses(suspects, f"old{number}", range(8 * number, 8 * number + 8))
    record_losses(suspects, "new", [240, 241])
    gossip = SuspectGossip(draw=Random(1).random)
    for _ in range(100):
        for _, report in gossip.plan_reports(suspects.list_records(242.0), [HostId("h1")], 242.0):
            told.learn(read_suspect_report(report, 242.0))
    assert len(told.list_records(242.0)) == 31

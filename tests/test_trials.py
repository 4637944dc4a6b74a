"""Tests of what hosts send after a quarantine, without network or clock."""

from dataclasses import dataclass, field
from heapq import heappop, heappush
from itertools import count, pairwise

import pytest

from greengagestage.ids import AttemptId, Crash, HostId
from greengagestage.routing import (
    CrashSuspects,
    PartLoss,
    QuarantinedSubject,
    SubjectKind,
    TrialRequest,
    Trials,
)

from .suspect_builders import build_parts, record_losses

JUDGED_AFTER_S = 0.1
TOLD_AFTER_S = 0.05
ONE_HOST = [HostId("h0")]


def build_request(name: str, *, sends: int = 0, deadline_s: float = 10.0) -> TrialRequest:
    return TrialRequest(attempt_id=AttemptId(name), sends=sends, deadline_s=deadline_s)


def build_subject(key: str = "part 1", *, crashed_s: float = 0.0) -> QuarantinedSubject:
    return QuarantinedSubject(
        kind=SubjectKind.PART, key=key, reason=key, crashed_s=crashed_s, ends_s=crashed_s + 60.0
    )


def may_send(trials: Trials, request: TrialRequest, now_s: float, **fields: float) -> bool:
    return trials.find_refusing([build_subject(**fields)], request, ONE_HOST, now_s) is None


@dataclass(kw_only=True)
class Fleet:
    """Hosts whose callers all repeat prompts; those with the deadly part crash upstreams.

    Attributes:
        prompts: The parts of the prompts that callers send in turn at each host.
        crash_s: Time from the send to the crash of an upstream, or to its answer.
        sends_s: Times at which prompts with the part "bad" were sent.
    """

    hosts: int
    prompts: list[str]
    crash_s: float
    is_deadly: bool = True
    sends_s: list[float] = field(default_factory=list)

    def __post_init__(self) -> None:
        self.names = [HostId(f"h{number}") for number in range(self.hosts)]
        self.suspects = [CrashSuspects() for _ in self.names]
        self.trials = [Trials(name) for name in self.names]
        self._events: list[tuple[float, int, object]] = []
        self._numbers = count(100)

    def record_crashes(self, crashes: int) -> None:
        """Let all hosts know of crashes in sequence, of which the latest is at time 0."""
        deadly = [prompt for prompt in self.prompts if "bad" in prompt]
        for suspects in self.suspects:
            for crash in range(1 - crashes, 1):
                record_losses(suspects, deadly[crash % len(deadly)], [crash])

    def run(self, until_s: float, *, step_s: float = 0.5) -> None:
        """Let callers repeat a prompt at all hosts at each step, for some seconds."""
        for step in range(int(until_s / step_s)):
            now_s = step * step_s
            while self._events and self._events[0][0] <= now_s:
                heappop(self._events)[2]()  # type: ignore[operator]
            for host in range(self.hosts):
                self._call(host, self.prompts[(step + host) % len(self.prompts)], now_s)

    def _call(self, host: int, prompt: str, now_s: float) -> None:
        parts = build_parts(prompt)
        subjects = self.suspects[host].list_quarantined(parts, now_s)
        request = build_request(f"a{next(self._numbers)}", deadline_s=now_s + 2.0)
        if self.trials[host].find_refusing(subjects, request, self.names, now_s) is not None:
            return
        if "bad" in parts:
            self.sends_s.append(now_s)
        ended_s = now_s + self.crash_s
        loss = PartLoss(crash=Crash(next(self._numbers)), sent_s=now_s, lost_s=ended_s)

        def judge() -> None:
            if self.is_deadly and "bad" in parts:
                records = self.suspects[host].record_loss(parts, loss)
            else:
                self.trials[host].end(request.attempt_id, SubjectKind.PART)
                records = self.suspects[host].record_answer(parts, ended_s)
            self._schedule(ended_s + JUDGED_AFTER_S + TOLD_AFTER_S, lambda: self._tell(records))

        self._schedule(ended_s + JUDGED_AFTER_S, judge)

    def _tell(self, records: list) -> None:
        for suspects in self.suspects:
            suspects.learn(records)

    def _schedule(self, time_s: float, event: object) -> None:
        heappush(self._events, (time_s, next(self._numbers), event))


# Guards against a quarantine's end at which each host, and each of its callers, tries again.
@pytest.mark.parametrize("hosts", [1, 2, 8, 30])
@pytest.mark.parametrize("crash_s", [0.05, 1.7])
@pytest.mark.parametrize("prompts", [["bad"], ["all bad", "bad cc", "all cc"]])
def test_one_request_of_the_fleet_is_sent_at_the_end_of_a_quarantine(
    hosts: int, crash_s: float, prompts: list[str]
) -> None:
    fleet = Fleet(hosts=hosts, prompts=prompts, crash_s=crash_s)
    fleet.record_crashes(2)
    fleet.run(1_000.0)
    pauses_s = [later - earlier for earlier, later in pairwise([0.0, *fleet.sends_s])]
    assert len(pauses_s) == 4
    for pause_s, quarantine_s in zip(pauses_s, (60.0, 120.0, 240.0, 480.0), strict=True):
        assert quarantine_s <= pause_s <= quarantine_s + 20.0


# Guards against more than three tries after the fifth crash, however long callers go on.
def test_a_part_that_has_crashed_five_upstreams_is_seldom_tried() -> None:
    fleet = Fleet(hosts=8, prompts=["all bad"], crash_s=0.05)
    fleet.record_crashes(5)
    fleet.run(6_900.0, step_s=1.0)
    assert len(fleet.sends_s) == 3


# Guards against a sound part that stays quarantined because no trial, or no answer to it, counts.
def test_an_answer_to_a_trial_frees_all_callers() -> None:
    fleet = Fleet(hosts=8, prompts=["bad"], crash_s=0.2, is_deadly=False)
    fleet.record_crashes(4)
    fleet.run(300.0)
    first_s = fleet.sends_s[0]
    assert 240.0 <= first_s <= 270.0
    assert sum(first_s < sent_s <= first_s + 0.2 for sent_s in fleet.sends_s) == 0
    assert sum(sent_s > first_s + 0.5 for sent_s in fleet.sends_s) > 100


def test_a_trial_is_sent_again_only_if_it_has_not_run() -> None:
    trials, request = Trials(ONE_HOST[0]), build_request("a")
    assert not may_send(trials, request, 59.9)
    assert may_send(trials, request, 60.0)
    assert may_send(trials, request, 61.9)
    assert not may_send(trials, build_request("a", sends=1), 60.1)
    assert not may_send(trials, build_request("b"), 60.1)
    assert may_send(trials, build_request("b"), 60.1, crashed_s=-400.0, key="part 2")
    assert not may_send(trials, request, 63.0)
    assert may_send(trials, build_request("c"), 64.0)


# Guards against a trial that is never sent, or that shows nothing, keeping all others back.
@pytest.mark.parametrize(("deadline_s", "expires_s"), [(70.0, 120.0), (130.0, 130.0)])
def test_a_trial_without_outcome_expires(deadline_s: float, expires_s: float) -> None:
    trials = Trials(ONE_HOST[0])
    assert may_send(trials, build_request("a", deadline_s=deadline_s), 60.0)
    assert not may_send(trials, build_request("b"), expires_s - 0.1)
    assert any(may_send(trials, build_request("b"), expires_s + wait_s) for wait_s in (0.0, 2.0))


# Guards against hosts that take themselves for the only one before they know the others.
def test_a_host_that_does_not_know_the_others_sends_no_trial() -> None:
    trials = Trials(ONE_HOST[0])
    assert trials.find_refusing([build_subject()], build_request("a"), [], 60.0) is not None


# Guards against trials of several hosts that wait past their turns and then are sent together.
def test_a_trial_that_has_waited_beyond_its_turn_is_not_sent() -> None:
    names = [HostId(f"h{number}") for number in range(8)]
    trials = {name: Trials(name) for name in names}
    waiting = []
    for step in range(80):
        for name in names:
            request = build_request(f"{name} {step}", deadline_s=200.0)
            if not trials[name].find_refusing([build_subject()], request, names, 60.0 + step / 2):
                waiting.append((name, request))
    sent = [
        name
        for name, request in waiting
        if not trials[name].find_refusing([build_subject()], request, names, 100.0)
    ]
    assert len(waiting) > 1
    assert len(sent) <= 1

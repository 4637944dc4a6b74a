"""Claims of trials by one host, without a store."""

import pytest
from twisted.internet.defer import Deferred

from greengagestage.gateway.crashes._request_trials import RETRY_S, RequestTrials
from greengagestage.ids import AttemptId, Fingerprint
from greengagestage.routing import LossTracker, TrialRequest

BAD = Fingerprint("f")
NOW_S = 100.0


class Claims:
    """The trials of one host, whose claims the test settles."""

    def __init__(self) -> None:
        self.open: list[Deferred[bool]] = []
        self.withdrawn: list[Fingerprint] = []
        self.losses = LossTracker()
        for number in range(3):
            self.losses.record_loss(BAD, f"loss-{number}", 0.0)
        self._trials = RequestTrials(
            losses=self.losses, claim=self._claim, report_withdrawn=self.withdrawn.append
        )
        self.is_awaited = self._trials.is_awaited

    def _claim(self, fingerprint: Fingerprint, attempt_id: AttemptId) -> Deferred[bool]:
        claim: Deferred[bool] = Deferred()
        self.open.append(claim)
        return claim.addCallback(self._begin, attempt_id)

    def _begin(self, is_granted: bool, attempt_id: AttemptId) -> bool:
        if is_granted:
            self.losses.begin_trial(BAD, attempt_id, NOW_S)
        return is_granted

    def may_send(self, name: str, now_s: float = NOW_S, *, sends: int = 0) -> bool:
        (subject,) = self.losses.list_quarantined(BAD, now_s)
        return self._trials.may_send(BAD, subject, build_request(name, sends=sends), now_s)

    def withdraw(self, name: str) -> None:
        self._trials.withdraw(BAD, build_request(name))


def build_request(name: str, *, sends: int = 0) -> TrialRequest:
    return TrialRequest(attempt_id=AttemptId(name), sends=sends, deadline_s=NOW_S + 5.0)


def count_trials(losses: LossTracker) -> int:
    (record,) = losses.list_records(NOW_S, most=9)
    assert isinstance(record.trials, frozenset)
    return len(record.trials)


def test_one_request_waits_for_the_store_and_keeps_others_back() -> None:
    claims = Claims()
    assert claims.may_send("a")
    assert claims.is_awaited(AttemptId("a"))
    assert not claims.may_send("b")
    claims.open[0].callback(True)
    assert not claims.is_awaited(AttemptId("a"))
    assert claims.may_send("a")
    assert not claims.may_send("a", sends=1)
    assert not claims.may_send("b")
    assert len(claims.open) == 1


# Guards against a trial that waits for ever, and keeps others back, where the claim has failed.
@pytest.mark.parametrize("fails", [False, True])
def test_a_claim_that_is_not_granted_is_made_again_after_a_pause(fails: bool) -> None:
    claims = Claims()
    assert claims.may_send("a")
    if fails:
        claims.open[0].errback(RuntimeError())
    else:
        claims.open[0].callback(False)
    assert not claims.is_awaited(AttemptId("a"))
    assert not claims.may_send("a")
    assert not claims.may_send("b", NOW_S + RETRY_S - 0.1)
    assert claims.may_send("b", NOW_S + RETRY_S + 0.1)


# Guards against trials that are used up by requests which have not been sent.
@pytest.mark.parametrize("is_granted_first", [False, True])
def test_a_trial_that_is_not_sent_is_taken_back(is_granted_first: bool) -> None:
    claims = Claims()
    claims.may_send("a")
    if is_granted_first:
        claims.open[0].callback(True)
    claims.withdraw("a")
    if not is_granted_first:
        claims.open[0].callback(True)
    assert claims.withdrawn == [BAD]
    assert count_trials(claims.losses) == 0
    assert claims.may_send("b")

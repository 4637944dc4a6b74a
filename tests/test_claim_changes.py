"""The planned change of a claim for each row that it can find, as a table of cases."""

import msgspec
import pytest
from msgspec.structs import replace

from greengagestage.claims._changes import Settled, plan_answer, plan_release, plan_unknown
from greengagestage.claims._rows import ClaimRow, ClaimState, ClaimToken
from greengagestage.ids import AttemptId, Fingerprint, HostId
from greengagestage.services import ABSENT, Row

OWN = ClaimRow(
    attempt_id=AttemptId("a1"),
    token=ClaimToken("t1"),
    fingerprint=Fingerprint("f"),
    state=ClaimState.CLAIMED,
    host=HostId("h1"),
)
WRITES = "writes"
ACHIEVED = Settled(achieved=True)
NOT_ACHIEVED = Settled(achieved=False)

# state of the row, whether it is the claim's own: release, answer, unknown
CASES = {
    (ClaimState.CLAIMED, True): (WRITES, WRITES, WRITES),
    (ClaimState.RELEASED, True): (ACHIEVED, NOT_ACHIEVED, ACHIEVED),
    (ClaimState.ANSWERED, True): (NOT_ACHIEVED, ACHIEVED, ACHIEVED),
    (ClaimState.UNKNOWN, True): (NOT_ACHIEVED, WRITES, ACHIEVED),
    (ClaimState.CLAIMED, False): (ACHIEVED, NOT_ACHIEVED, ACHIEVED),
    (ClaimState.RELEASED, False): (WRITES, NOT_ACHIEVED, ACHIEVED),
    (ClaimState.ANSWERED, False): (ACHIEVED, NOT_ACHIEVED, ACHIEVED),
    (ClaimState.UNKNOWN, False): (ACHIEVED, NOT_ACHIEVED, ACHIEVED),
    (None, False): (WRITES, NOT_ACHIEVED, NOT_ACHIEVED),
}
CHANGES = {
    "release": (0, plan_release(OWN), ClaimState.RELEASED),
    "answer": (1, plan_answer(replace(OWN, state=ClaimState.ANSWERED)), ClaimState.ANSWERED),
    "unknown": (2, plan_unknown(OWN), ClaimState.UNKNOWN),
}


def build_row(state: ClaimState | None, own: bool) -> Row:
    if state is None:
        return Row(key="claim/w/k", revision=ABSENT)
    claim = replace(OWN, state=state, token=OWN.token if own else ClaimToken("t2"))
    return Row(key="claim/w/k", revision=7, value=msgspec.Raw(msgspec.json.encode(claim)))


@pytest.mark.parametrize("change", CHANGES)
@pytest.mark.parametrize(("state", "own"), CASES)
def test_change(change: str, state: ClaimState | None, own: bool) -> None:
    column, plan, becomes = CHANGES[change]
    row = build_row(state, own)
    step = plan(row)
    expected = CASES[state, own][column]
    if expected is not WRITES:
        assert step == expected
        return
    assert not isinstance(step, Settled)
    assert (step.key, step.expect) == (row.key, row.revision)
    assert (step.value.state, step.value.token) == (becomes, OWN.token)


@pytest.mark.parametrize("change", CHANGES)
def test_unreadable_row_is_not_overwritten(change: str) -> None:
    row = Row(key="claim/w/k", revision=7, value=msgspec.Raw(b'{"other": 1}'))
    assert isinstance(CHANGES[change][1](row), Settled)

"""Drawn orders of events around a silent upstream and its successor; a longer run is by hand.

``python -m tests.handover_exploration --orders 10000``
"""

import pytest

from .handover_exploration import play

ORDERS = 250


# Guards against an answer that is joined from those of two upstreams, and against a run that goes
# on for a caller who gets the bytes of another one.
@pytest.mark.parametrize("first", range(0, 4 * ORDERS, ORDERS))
def test_a_caller_gets_the_answer_of_one_run(first: int) -> None:
    outcomes = [play(seed) for seed in range(first, first + ORDERS)]
    assert [str(outcome) for outcome in outcomes if outcome.fault] == []
    assert sum(outcome.joined for outcome in outcomes) >= ORDERS // 10
    assert sum(outcome.complete for outcome in outcomes) >= ORDERS // 10

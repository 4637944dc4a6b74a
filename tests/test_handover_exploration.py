"""Drawn orders of events around one request at several upstreams; a longer run is by hand.

``python -m tests.handover_exploration --orders 10000``
"""

import pytest

from greengagestage.http1 import ExchangeFailure

from .exchange_world import Answer, World
from .handover_exploration import play

ORDERS = 250


# Guards against an answer that is joined from those of two upstreams, or looks complete and is not,
# against events of a stream that come twice, and against a run that goes on for a caller who gets
# the bytes of another one.
@pytest.mark.parametrize("first", range(0, 4 * ORDERS, ORDERS))
def test_a_caller_gets_the_answer_of_one_run(first: int) -> None:
    outcomes = [play(seed) for seed in range(first, first + ORDERS)]
    assert [str(outcome) for outcome in outcomes if outcome.fault] == []
    assert sum(outcome.joined for outcome in outcomes) >= ORDERS // 10
    assert sum(outcome.complete for outcome in outcomes) >= ORDERS // 10
    assert sum(outcome.resumed and outcome.complete for outcome in outcomes) >= ORDERS // 50


# Guards against a further send whose answer is read although its caller takes nothing.
@pytest.mark.parametrize("is_open", [True, False])
def test_a_further_send_waits_for_a_caller_that_reads_nothing(is_open: bool) -> None:
    world = World(Answer.RESUMABLE)
    world.exchange.start()
    first = world.runs[0]
    first.begin(200, world.build_headers(first), framed=True)
    first.send_part(100)
    world.caller.listener.pause()
    world.keeps_idle = is_open
    first.fail(ExchangeFailure.LOST)
    for _, on_open, _ in world.opening:
        on_open()
    assert world.runs[1].is_paused
    world.caller.listener.resume()
    assert not world.runs[1].is_paused

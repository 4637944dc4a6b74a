"""Tests of the decision whether a long prompt is sent, waits or is refused."""

from typing import Any

import pytest

from greengagestage.routing._overload import UrgencyTraffic
from greengagestage.routing._room import (
    IDLE_DELAY_S,
    RoomDecision,
    RoomRequest,
    is_contended,
    may_use_room,
)


def build_request(**fields: Any) -> RoomRequest:
    defaults = {"waited_s": 0.0, "target_s": 1.5, "time_left_s": 10.0, "contended": False}
    return RoomRequest(**{**defaults, **fields})


# Guards against late requests that take room from those which can be in time: a crowd of long
# prompts, in which a request has waited for one target.
def test_late_requests_get_only_idle_engines_while_others_wait() -> None:
    late = {"waited_s": 1.5, "time_left_s": 8.5}
    assert build_request(**late, contended=True).limit_delay_s(0.75) == IDLE_DELAY_S
    assert build_request(**late).limit_delay_s(0.75) > IDLE_DELAY_S
    in_time = build_request(waited_s=0.3, contended=True)
    assert in_time.limit_delay_s(0.75) == pytest.approx(0.75 * 1.5 - 0.3)


# Guards against callers that wait on for an answer which no engine can begin any more.
@pytest.mark.parametrize(
    ("contended", "delay_s", "decision"),
    [
        (False, 0.8, RoomDecision.SEND),
        (False, 1.0, RoomDecision.REFUSE),
        (True, 0.05, RoomDecision.SEND),
        (True, 0.8, RoomDecision.REFUSE),
    ],
)
def test_a_request_at_its_wait_limit_is_sent_or_refused(
    contended: bool, delay_s: float, decision: RoomDecision
) -> None:
    request = build_request(waited_s=3.8, time_left_s=6.2, contended=contended)
    assert request.decide(delay_s=delay_s, completion_s=delay_s + 1.0) is decision


# Guards against a large prompt that waits until it cannot be completed: it prefills for 1.2 s and
# streams for 3 s.
def test_a_request_is_sent_before_its_deadline_cannot_be_met() -> None:
    request = build_request(waited_s=1.0, time_left_s=5.0)
    assert request.decide(delay_s=0.5, completion_s=4.7) is RoomDecision.SEND
    patient = build_request(waited_s=1.0, time_left_s=9.0)
    assert patient.decide(delay_s=0.5, completion_s=4.7) is RoomDecision.WAIT


# Guards against a queue of usual length that counts as a crowd, on few engines and on many.
@pytest.mark.parametrize(("engines", "placed_per_s"), [(3, 30.0), (56, 250.0)])
def test_a_queue_is_contended_if_it_takes_longer_than_a_target(
    engines: int, placed_per_s: float
) -> None:
    usual = UrgencyTraffic(waiting=placed_per_s * 1.4, placed=placed_per_s)
    crowd = UrgencyTraffic(waiting=placed_per_s * 1.6, placed=placed_per_s)
    assert not is_contended(usual, engines, 1.5)
    assert is_contended(crowd, engines, 1.5)
    assert not is_contended(UrgencyTraffic(waiting=float(engines)), engines, 1.5)


# Guards against all hosts that use the same free room at once.
def test_room_is_used_with_the_probability_at_which_it_is_just_filled() -> None:
    draws = [number / 100 for number in range(100)]
    assert sum(may_use_room(0.2, 0.8, draw) for draw in draws) == pytest.approx(25, abs=1)
    assert all(may_use_room(0.2, 0.1, draw) for draw in draws)
    assert not any(may_use_room(-0.1, 0.0, draw) for draw in draws)


# Guards against prompts that wait at an engine, from where they cannot be called back, while more
# urgent requests may soon need their room.
@pytest.mark.parametrize("waited_s", [0.0, 1.0, 3.75])
def test_a_request_that_leaves_room_is_sent_only_where_it_begins_at_once(waited_s: float) -> None:
    request = build_request(waited_s=waited_s, leaves_room=True)
    assert request.limit_delay_s(0.75) == IDLE_DELAY_S
    assert request.decide(delay_s=0.05, completion_s=9.0) is not RoomDecision.REFUSE
    refused = RoomDecision.REFUSE if waited_s >= 3.75 else RoomDecision.WAIT
    assert request.decide(delay_s=0.2, completion_s=1.0) is refused

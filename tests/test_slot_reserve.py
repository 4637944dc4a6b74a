"""Room that tolerant requests leave for the next crowd of urgent ones."""

import pytest

from greengagestage.routing import Placement, Refused, UpstreamLoad, Waiting
from greengagestage.routing._slot_reserve import MEMORY_S, MIN_TOLERANT_SHARE, SlotReserve

from .catalog_builders import LONG, build_job, build_prompt, build_router

SLOTS = 48
ENGINE_COUNT = 4


def build_load(sensitive: int, tolerant: int = 0) -> UpstreamLoad:
    return UpstreamLoad(sensitive_requests=sensitive, tolerant_requests=tolerant)


def set_loads(router, loads: list[UpstreamLoad]) -> list:
    router.update_peer_loads(dict(zip(router.upstreams, loads, strict=True)), {})
    return list(router.upstreams.values())


@pytest.fixture
def router():
    return build_router(engines=ENGINE_COUNT)


# Guards against limits for tolerant requests beside as many urgent ones as there usually are.
def test_nothing_is_kept_free_without_a_crowd(router) -> None:
    reserve = SlotReserve(slots=SLOTS)
    engines = set_loads(router, [build_load(SLOTS // 2, SLOTS)] * ENGINE_COUNT)
    reserve.update(engines, 0.0)
    assert not reserve.is_scarce
    assert reserve.list_open(engines, engines, 0.0) == engines


# Guards against slots that are given away as soon as a crowd has gone.
def test_slots_that_a_crowd_needed_are_kept_free_for_a_while(router) -> None:
    reserve = SlotReserve(slots=SLOTS)
    reserve.update(set_loads(router, [build_load(40)] * ENGINE_COUNT), 0.0)
    loads = [build_load(0, tolerant) for tolerant in (0, 7, 20, 48)]
    engines = set_loads(router, loads)
    reserve.update(engines, 1.0)
    assert reserve.is_scarce
    assert reserve.list_open(engines, engines, 1.0) == engines[:2]
    later_s = 2 * MEMORY_S
    reserve.update(engines, later_s)
    assert not reserve.is_scarce
    assert reserve.list_open(engines, engines, later_s) == engines


# Guards against room that is computed for engines which have left.
def test_engines_that_stay_keep_the_room_of_those_that_leave(router) -> None:
    reserve = SlotReserve(slots=SLOTS)
    reserve.update(set_loads(router, [build_load(32)] * ENGINE_COUNT), 0.0)
    engines = set_loads(router, [build_load(0, 8)] * ENGINE_COUNT)
    reserve.update(engines, 0.1)
    assert reserve.list_open(engines, engines, 0.1) == engines
    staying = engines[: ENGINE_COUNT // 2]
    reserve.update(staying, 0.11)
    assert reserve.list_open(staying, staying, 0.11) == []


# Guards against tolerant requests that are never served after a crowd which needed all slots.
def test_tolerant_requests_may_always_use_some_slots(router) -> None:
    reserve = SlotReserve(slots=SLOTS)
    least = int(MIN_TOLERANT_SHARE * SLOTS)
    loads = [build_load(SLOTS + 10, tolerant) for tolerant in (least - 1, least, 0, 9)]
    engines = set_loads(router, loads)
    reserve.update(engines, 0.0)
    assert reserve.list_open(engines, engines, 0.0) == [engines[0], engines[2]]


# Guards against requests that wait although another failure domain has room for them.
def test_a_request_waits_only_if_the_whole_pool_is_taken(router) -> None:
    reserve = SlotReserve(slots=SLOTS)
    reserve.update(set_loads(router, [build_load(40)] * ENGINE_COUNT), 0.0)
    engines = set_loads(router, [build_load(0, tolerant) for tolerant in (12, 12, 0, 0)])
    reserve.update(engines, 1.0)
    assert reserve.list_open(engines[:2], engines, 1.0) == engines[:2]
    assert reserve.list_open(engines[:2], engines[:2], 1.0) == []


# Guards against long prompts that wait at an engine when a crowd of urgent requests may come.
def test_a_long_prompt_is_sent_after_a_crowd_only_if_an_engine_begins_it_at_once() -> None:
    router = build_router(engines=ENGINE_COUNT)
    slots = next(iter(router.upstreams.values())).record.slots
    set_loads(router, [build_load(slots)] * ENGINE_COUNT)
    job = build_job(1, route=LONG, prompt=build_prompt(shared="a"))
    router.place(job, 0.0)
    queued = UpstreamLoad(prefill_s=0.3, tolerant_requests=1, tolerant_prefill_s=0.3)
    set_loads(router, [queued] * ENGINE_COUNT)
    placed = router.place(build_job(2, route=LONG, prompt=build_prompt(shared="b")), 1.0)
    assert isinstance(placed, Waiting)
    set_loads(router, [build_load(0, 1)] * ENGINE_COUNT)
    job = build_job(3, route=LONG, prompt=build_prompt(shared="c"))
    assert isinstance(router.place(job, 1.2), Placement)


# Guards against long prompts that wait for kept slots until their callers leave.
def test_a_long_prompt_is_refused_once_it_has_waited_for_kept_slots() -> None:
    router = build_router(engines=ENGINE_COUNT)
    slots = next(iter(router.upstreams.values())).record.slots
    set_loads(router, [build_load(slots, slots)] * ENGINE_COUNT)
    job = build_job(1, route=LONG, prompt=build_prompt(shared="a"))
    assert isinstance(router.place(job, 0.0), Waiting)
    assert isinstance(router.place(job, 3.0 * LONG.target_s), Refused)

"""Signs of too little room, and what they keep back."""

import pytest

from greengagestage.gateway.peers._work_codec import build_work, read_work
from greengagestage.gateway.peers._work_sums import add_work
from greengagestage.ids import AttemptId
from greengagestage.routing import (
    AttemptEnd,
    Demand,
    Placement,
    Refused,
    UpstreamLoad,
    UrgencyTraffic,
    Waiting,
)
from greengagestage.routing._overload import (
    MEMORY_S,
    OverloadMeter,
    find_urgency_in_need,
    is_queue_full,
)

from .catalog_builders import (
    ARCHIVE,
    ENGINES,
    LONG,
    LOOKUP,
    SHORT,
    build_job,
    build_router,
    build_short_prompt,
)

SHORT_OF_ROOM = UrgencyTraffic(arrivals=40, size=32_000, overdue=20)
CALM = UrgencyTraffic(arrivals=40, size=32_000, overdue=2)
LARGE = UrgencyTraffic(arrivals=10, size=120_000)


@pytest.mark.parametrize(
    ("traffic", "urgency", "in_need"),
    [
        ({0: SHORT_OF_ROOM, 2: LARGE}, 2, 0),
        ({0: CALM, 2: LARGE}, 2, None),
        ({0: SHORT_OF_ROOM, 2: LARGE}, 0, None),
        ({2: LARGE, 3: SHORT_OF_ROOM}, 2, None),
        ({0: UrgencyTraffic(arrivals=4, size=3_200, overdue=2), 2: LARGE}, 2, None),
        ({0: UrgencyTraffic(arrivals=10, size=120_000, overdue=9), 2: CALM}, 2, None),
        ({}, 2, None),
    ],
    ids=["short", "calm", "most_urgent", "less_urgent", "few", "much_larger", "unknown"],
)
def test_only_more_urgent_requests_that_are_short_of_room_keep_others_back(
    traffic: dict[int, UrgencyTraffic], urgency: int, in_need: int | None
) -> None:
    assert find_urgency_in_need(traffic, urgency) == in_need


def test_overdue_requests_are_those_that_wait_too_long_or_found_no_room() -> None:
    meter = OverloadMeter()
    meter.record_arrival(1, 100.0, 0.0)
    meter.record_rejection(1, 0.0)
    for number, due_s in enumerate((0.5, 2.0)):
        meter.record_waiting(
            AttemptId(f"a{number}"), urgency=1, due_s=due_s, now_s=0.9, delay_s=0.1
        )
    traffic = meter.measure({1: 3}, 1.0)[1]
    assert traffic.overdue == pytest.approx(3 + 1 + 0.37, abs=0.01)
    assert traffic.waiting == 2
    assert traffic.mean_size == pytest.approx(100.0)
    meter.forget_waiting(AttemptId("a0"))
    assert meter.measure({}, 1.0)[1].waiting == 1


# Guards against requests that count as waiting after their callers have left.
def test_a_request_that_is_not_placed_again_waits_no_more() -> None:
    meter = OverloadMeter()
    meter.record_arrival(0, 1.0, 0.0)
    meter.record_waiting(AttemptId("a"), urgency=0, due_s=0.0, now_s=0.0, delay_s=0.1)
    assert meter.measure({}, 0.2)[0].waiting == 1
    assert meter.measure({}, 1.0)[0].waiting == 0


def test_as_many_requests_wait_as_can_probably_be_sent_in_time() -> None:
    busy = UrgencyTraffic(waiting=30, placed=10 * MEMORY_S)
    assert not is_queue_full(busy, upstreams=5, max_wait_s=3.75)
    assert is_queue_full(busy, upstreams=5, max_wait_s=2.0)
    stopped = UrgencyTraffic(waiting=4)
    assert not is_queue_full(stopped, upstreams=5, max_wait_s=3.75)
    assert is_queue_full(stopped, upstreams=4, max_wait_s=3.75)


def report_urgent_need(router, *, prefill_s: float) -> None:
    load = UpstreamLoad(prefill_s=prefill_s, sensitive_requests=10)
    router.update_peer_loads(
        dict.fromkeys(router.upstreams, load),
        {ENGINES: Demand(sensitive=2.0, tolerant=1.0, urgencies={0: SHORT_OF_ROOM, 2: LARGE})},
    )


def test_a_less_urgent_request_waits_where_no_engine_is_free_and_is_then_refused() -> None:
    router = build_router(engines=6)
    report_urgent_need(router, prefill_s=0.3)
    job = build_job(1, route=LONG)
    assert isinstance(router.place(job, 0.0), Waiting)
    refused = router.place(job, 4.0)
    assert isinstance(refused, Refused)
    assert refused.retry_after_s > 0
    assert not router.measure_local_loads(4.0)


# Guards against engines that stay idle for the sake of requests that wait at other ones.
def test_a_less_urgent_request_takes_a_free_engine() -> None:
    router = build_router(engines=6)
    report_urgent_need(router, prefill_s=0.0)
    assert isinstance(router.place(build_job(1, route=LONG), 0.0), Placement)


# Guards against urgent requests that pass by an engine because less urgent ones wait there.
def test_urgent_requests_pass_less_urgent_ones_that_wait_at_an_engine() -> None:
    router = build_router(engines=2)
    first, second = sorted(router.upstreams)
    queued = UpstreamLoad(
        prefill_s=4.0, tolerant_prefill_s=4.0, sensitive_requests=30, tolerant_requests=50
    )
    full = UpstreamLoad(prefill_s=1.0, sensitive_requests=70)
    router.update_peer_loads(
        {first: queued, second: full}, {ENGINES: Demand(sensitive=1.0, tolerant=1.0)}
    )
    placed = [router.place(build_job(number, route=SHORT), 0.0) for number in range(3)]
    assert all(isinstance(each, Placement) for each in placed)
    assert {each.upstream.instance for each in placed} == {first}


# Guards against overdue requests that are not seen because they wait at an upstream.
def test_requests_without_an_event_are_overdue_after_twice_their_target() -> None:
    router = build_router(engines=1)
    router.count_request(build_job(1), 0.0)
    placed = router.place(build_job(1), 0.0)
    assert isinstance(placed, Placement)
    for now_s, overdue in ((0.4, 0.0), (0.6, 1.0)):
        traffic = router.measure_local_demand(now_s)[ENGINES].urgencies[0]
        assert traffic.overdue == overdue
    router.record_end(build_job(1).attempt_id, placed.upstream.instance, AttemptEnd.FULL, 0.6)
    assert router.measure_local_demand(0.6)[ENGINES].urgencies[0].overdue == 1.0


# Guards against sizes that are lost in rounding, so that nothing is kept back at plain services.
def test_requests_without_prompts_leave_room_to_more_urgent_ones_of_other_hosts() -> None:
    router = build_router(engines=0, plain=1)
    for number in range(2):
        router.count_request(build_job(number, route=LOOKUP, urgency=0), 0.0)
    work = build_work({}, router.measure_local_demand(0.0))
    _, demands = read_work(add_work([work] * 30), [])
    urgencies = demands[ARCHIVE].urgencies
    assert urgencies[0].arrivals == pytest.approx(60)
    assert urgencies[0].mean_size == pytest.approx(1_000)


# Guards against a lack of room that is forgotten as soon as those who suffer from it have left.
@pytest.mark.parametrize(("left_s", "overdue"), [(0.1, 0), (2.4, 1)])
def test_callers_who_leave_without_an_answer_show_a_lack_of_room(
    left_s: float, overdue: int
) -> None:
    router = build_router()
    job = build_job(1, prompt=build_short_prompt())
    router.count_request(job, 0.0)
    placed = router.place(job, 0.0)
    assert isinstance(placed, Placement)
    router.record_end(job.attempt_id, placed.upstream.instance, AttemptEnd.CANCELLED, left_s)
    demand = router.measure_local_demand(left_s)[ENGINES]
    assert demand.urgencies[job.urgency].overdue == overdue

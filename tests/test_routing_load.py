"""Loads that decide how callers are served, each named by its pattern. No network, no engine."""

from collections import Counter

from greengagestage.ids import InstanceId
from greengagestage.routing import (
    AttemptEnd,
    Demand,
    Placement,
    Refused,
    Router,
    UpstreamLoad,
    Waiting,
)

from .catalog_builders import (
    ENGINES,
    LONG,
    LOOKUP,
    SHORT,
    build_job,
    build_prompt,
    build_router,
    build_short_prompt,
)


def place(router: Router, number: int, now_s: float = 0.0, **fields: object) -> InstanceId:
    placed = router.place(build_job(number, now_s=now_s, **fields), now_s)
    assert isinstance(placed, Placement)
    return placed.upstream.instance


def finish(router: Router, number: int, instance: InstanceId, now_s: float) -> None:
    router.end(build_job(number).attempt_id, instance, AttemptEnd.ANSWERED, now_s)


def test_burst_of_long_prompts_stays_off_the_engines_of_short_answers() -> None:
    router = build_router(engines=6)
    short = {place(router, n, prompt=build_short_prompt(f"s{n}")) for n in range(20)}
    long = {
        place(router, 100 + n, route=LONG, prompt=build_prompt(shared=f"l{n}")) for n in range(40)
    }
    assert short
    assert long
    assert not short & long


def test_burst_of_short_answers_gets_more_engines() -> None:
    calm, burst = build_router(engines=10), build_router(engines=10)
    calm.update_peer_loads({}, {ENGINES: Demand(sensitive=0.4, tolerant=3.0)})
    burst.update_peer_loads({}, {ENGINES: Demand(sensitive=2.0, tolerant=1.0)})
    used = []
    for router in (calm, burst):
        jobs = set()
        for number in range(60):
            instance = place(router, number, prompt=build_short_prompt(f"s{number}"))
            finish(router, number, instance, 0.0)
            jobs.add(instance)
        used.append(len(jobs))
    assert used[0] < used[1]


def test_hot_key_of_long_prompts_stays_home_until_it_would_be_late() -> None:
    router = build_router(engines=8)
    homes: Counter[InstanceId] = Counter()
    for number in range(60):
        placed = router.place(build_job(number, route=LONG), 0.0)
        if isinstance(placed, Placement):
            homes[placed.upstream.instance] += 1
    assert 1 < len(homes) < 6
    loads = [router.upstreams[instance].measure(0.0).prefill_s for instance in homes]
    assert max(loads) < LONG.target_s


def fill_engines(router: Router, prefill_s: float) -> None:
    """Report the same prefill on every engine."""
    load = UpstreamLoad(prefill_s=prefill_s, tolerant=4, tokens=50_000)
    router.update_peer_loads(dict.fromkeys(router.upstreams, load), {})


def test_burst_beyond_capacity_waits_on_the_host_and_new_ones_are_in_time() -> None:
    """Long prompts that would be late wait, so that the engines' queues stay short."""
    router = build_router(engines=6)
    fill_engines(router, 2.0)
    assert isinstance(router.place(build_job(1, route=LONG), 0.0), Waiting)
    assert not router.measure_local_loads(0.0)
    fill_engines(router, 1.0)
    assert isinstance(router.place(build_job(1, route=LONG), 0.5), Waiting)
    assert isinstance(router.place(build_job(2, route=LONG, now_s=0.5), 0.5), Placement)
    fill_engines(router, 0.3)
    assert isinstance(router.place(build_job(1, route=LONG), 0.8), Placement)


def test_burst_that_does_not_end_serves_waiting_prompts_late() -> None:
    router = build_router(engines=6)
    fill_engines(router, 2.0)
    job = build_job(1, route=LONG)
    assert isinstance(router.place(job, 3.0), Waiting)
    assert isinstance(router.place(job, 4.0), Placement)


def test_shared_beginnings_are_read_on_one_engine() -> None:
    router = build_router(engines=8)
    for shared in ("s1", "s2", "s3"):
        prompt = build_short_prompt(shared)
        used = set()
        for number in range(10):
            instance = place(router, number, prompt=prompt)
            finish(router, number, instance, 0.0)
            used.add(instance)
        assert len(used) == 1


def test_two_hosts_choose_the_same_home_without_a_word() -> None:
    one, other = build_router(engines=8), build_router(engines=8)
    for number in range(30):
        prompt = build_prompt(shared=f"l{number}")
        chosen = [place(router, number, route=LONG, prompt=prompt) for router in (one, other)]
        assert chosen[0] == chosen[1]
        for router in (one, other):
            finish(router, number, chosen[0], 0.0)


def test_work_of_other_hosts_counts() -> None:
    router = build_router(engines=8)
    home = place(router, 1, route=LONG)
    finish(router, 1, home, 0.0)
    router.update_peer_loads({home: UpstreamLoad(prefill_s=3.0, tolerant=9)}, {})
    assert place(router, 2, route=LONG) != home
    router.update_peer_loads({}, {})
    assert place(router, 3, 0.1, route=LONG) == home


def test_hanging_engine_gets_nothing_new_once_one_host_noticed() -> None:
    router = build_router(engines=8)
    home = place(router, 1, route=LONG)
    assert place(router, 2, 5.0, route=LONG) != home
    peer = build_router(engines=8)
    assert place(peer, 1, route=LONG) == home
    finish(peer, 1, home, 0.0)
    peer.update_peer_loads(router.measure_local_loads(5.0), {})
    assert place(peer, 2, 5.0, route=LONG) != home


def test_engine_that_answers_again_is_used_again() -> None:
    router = build_router(engines=8)
    home = place(router, 1, route=LONG)
    assert place(router, 2, 5.0, route=LONG) != home
    router.record_event(build_job(1).attempt_id, home, 5.1)
    finish(router, 1, home, 5.2)
    assert place(router, 3, 5.3, route=LONG) == home


def test_slow_engine_is_left_to_others_by_short_answers() -> None:
    router = build_router(engines=6)
    prompt = build_short_prompt()
    home = place(router, 0, prompt=prompt)
    now_s = 0.0
    for number in range(1, 12):
        router.record_event(build_job(number - 1).attempt_id, home, now_s + 0.5)
        finish(router, number - 1, home, now_s + 0.5)
        now_s += 0.5
        chosen = place(router, number, now_s, prompt=build_prompt(tokens=9_000, shared="s1"))
        if chosen != home:
            return
    raise AssertionError("the slow engine kept its work")


def saturate(router: Router, gap_s: float) -> None:
    """Report long pauses and much prefill from a peer on every engine."""
    load = UpstreamLoad(prefill_s=1.0, tolerant=40, tokens=400_000, gap_s=gap_s)
    router.update_peer_loads(dict.fromkeys(router.upstreams, load), {})


def test_streams_that_no_engine_would_end_in_time_are_refused_at_once() -> None:
    router = build_router(engines=6)
    saturate(router, 2.0)
    refused = router.place(build_job(1, route=LONG), 0.0)
    assert isinstance(refused, Refused)
    assert refused.retry_after_s > 0
    assert not router.measure_local_loads(0.0)


def test_latency_sensitive_requests_are_never_refused_for_load() -> None:
    router = build_router(engines=6)
    saturate(router, 0.5)
    for number in range(30):
        assert isinstance(router.place(build_job(number, route=SHORT), 0.0), Placement)


def test_lost_quarter_of_the_engines_moves_only_its_own_prompts() -> None:
    before, after = build_router(engines=8), build_router(engines=8)
    lost = {InstanceId("i-0"), InstanceId("i-1")}
    for instance in lost:
        after.upstreams[instance].health.note_unreachable(0.0)
    moved = 0
    for number in range(60):
        prompt = build_prompt(shared=f"l{number}")
        one = place(before, number, route=LONG, prompt=prompt)
        other = place(after, number, route=LONG, prompt=prompt)
        finish(before, number, one, 0.0)
        finish(after, number, other, 0.0)
        assert other not in lost
        moved += one != other and one not in lost
    assert moved == 0


def test_half_failing_service_upstream_gets_less() -> None:
    router = build_router(engines=0, plain=4)
    bad = InstanceId("i-100")
    used: Counter[InstanceId] = Counter()
    for number in range(200):
        now_s = number / 50
        instance = place(router, number, now_s, route=LOOKUP)
        used[instance] += 1
        failed = instance == bad and number % 2 == 0
        end = AttemptEnd.FAILED if failed else AttemptEnd.ANSWERED
        router.end(build_job(number).attempt_id, instance, end, now_s + 0.02)
    assert used[bad] < 200 / 4 / 2


def test_slow_service_upstream_gets_less() -> None:
    router = build_router(engines=0, plain=4)
    slow = InstanceId("i-101")
    used: Counter[InstanceId] = Counter()
    for number in range(200):
        instance = place(router, number, number / 50, route=LOOKUP)
        used[instance] += 1
        taken_s = 0.2 if instance == slow else 0.02
        router.end(
            build_job(number).attempt_id, instance, AttemptEnd.ANSWERED, number / 50 + taken_s
        )
    assert used[slow] < 200 / 4 / 2


def test_full_slots_of_a_service_send_work_to_the_free_ones() -> None:
    router = build_router(engines=0, plain=4)
    used = Counter(place(router, number, route=LOOKUP) for number in range(24))
    assert set(used.values()) == {6}


def test_short_answers_are_spread_though_their_beginnings_are_equal() -> None:
    """A hot key of short answers: no engine runs many more of them than the others."""
    router = build_router(engines=10)
    used = Counter(place(router, number, prompt=build_short_prompt("hot")) for number in range(40))
    assert len(used) >= 4
    assert max(used.values()) <= 2 * min(used.values()) + 2


def test_work_of_others_that_was_not_known_makes_no_engine_slow_for_long() -> None:
    """A large fleet: one first event came late behind another host's prompt, and then none."""
    router = build_router(engines=8)
    home = place(router, 1, route=LONG)
    state = router.upstreams[home]
    state.record_event(build_job(1).attempt_id, 1.2)
    finish(router, 1, home, 1.5)
    assert state.read_pace(1.2) < 3.0
    assert state.read_pace(20.0) < 1.1
    assert place(router, 2, 1.6, route=LONG) == home


def test_an_engine_that_turned_slow_is_believed_after_a_few_first_events() -> None:
    router = build_router(engines=1)
    state = router.upstreams[InstanceId("i-0")]
    for number in range(8):
        now_s = float(number)
        placed = router.place(build_job(number, now_s=now_s, route=LONG), now_s)
        assert isinstance(placed, Placement)
        state.record_event(build_job(number).attempt_id, now_s + 0.6)
        finish(router, number, placed.upstream.instance, now_s + 0.7)
    assert state.read_pace(8.0) > 2.5


def build_fleet(hosts: int, engines: int) -> list[Router]:
    """Return the routers of a large fleet in a burst, with the same stale view of the engines."""
    routers = [build_router(engines=engines, seed=number) for number in range(hosts)]
    for router in routers:
        router.report_delay_s = 0.15
    return routers


def test_hosts_that_see_one_idle_engine_do_not_all_send_there() -> None:
    """A burst of long prompts on 58 hosts: all engines are busy but one."""
    busy = UpstreamLoad(prefill_s=1.4, tolerant=6, tokens=60_000)
    demand = {ENGINES: Demand(sensitive=0.5, tolerant=30.0)}
    sent = Counter[InstanceId]()
    for number, router in enumerate(build_fleet(58, 34)):
        idle = sorted(router.upstreams)[7]
        loads = {each: busy for each in router.upstreams if each != idle}
        router.update_peer_loads(loads, demand)
        job = build_job(number, route=LONG, prompt=build_prompt(shared=f"l{number}"))
        placed = router.place(job, 0.0)
        if isinstance(placed, Placement):
            sent[placed.upstream.instance] += 1
    assert sent[idle] <= 12


def test_short_answers_of_many_hosts_spread_over_their_engines() -> None:
    """58 hosts leave busy engines at once; the two idle ones must not get all of it."""
    busy = UpstreamLoad(prefill_s=0.12, sensitive=3, tokens=3_000)
    sent = Counter[InstanceId]()
    for number, router in enumerate(build_fleet(58, 30)):
        idle = sorted(router.upstreams)[:2]
        router.update_peer_loads({each: busy for each in router.upstreams if each not in idle}, {})
        sent[place(router, number, prompt=build_short_prompt(f"s{number}"))] += 1
    assert max(sent.values()) <= 58 / 2

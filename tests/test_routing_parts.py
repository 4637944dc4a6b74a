"""Tests of the parts of the router: retry budget, health, peer loads."""

from hypothesis import given
from hypothesis import strategies as st

from greengagestage.catalog import Availability, Bounds
from greengagestage.ids import InstanceId
from greengagestage.results import ResultCode
from greengagestage.routing import (
    AttemptEnd,
    Demand,
    Health,
    Placement,
    Refused,
    UpstreamLoad,
)
from greengagestage.routing._slot_shares import divide_slots

from .catalog_builders import (
    ARCHIVE,
    ENGINES,
    LONG,
    LOOKUP,
    build_job,
    build_router,
    build_short_prompt,
    build_upstream,
)


def test_exclusion_needs_two_losses_or_one_failed_connection() -> None:
    health = Health()
    health.record_lost_answer(0.0)
    assert not health.is_excluded(0.0)
    health.record_lost_answer(0.0)
    assert health.is_excluded(0.4)
    assert not health.is_excluded(0.6)
    other = Health()
    other.record_connection_failure(0.0)
    assert other.is_excluded(0.0)


def test_exclusions_grow_until_an_answer_arrives() -> None:
    health = Health()
    for now_s in (0.0, 1.0, 3.0, 8.0, 20.0):
        health.record_connection_failure(now_s)
    assert health.is_excluded(23.9)
    assert not health.is_excluded(24.1)
    health.record_answer(failed=False)
    health.record_connection_failure(30.0)
    assert not health.is_excluded(30.6)


def test_a_leaving_upstream_gets_no_requests() -> None:
    router = build_router(engines=0, plain=2)
    leaving = build_upstream(100, service=ARCHIVE, availability=Availability.LEAVING)
    router.update_upstreams([leaving, build_upstream(101, service=ARCHIVE)], 0.0)
    for number in range(10):
        placed = router.place(build_job(number, route=LOOKUP), 0.0)
        assert isinstance(placed, Placement)
        assert placed.upstream.instance == "i-101"


def test_an_upstream_is_excluded_after_a_misdirected_answer() -> None:
    router = build_router(engines=0, plain=1)
    job = build_job(1, route=LOOKUP)
    placed = router.place(job, 0.0)
    assert isinstance(placed, Placement)
    router.record_end(job.attempt_id, placed.upstream.instance, AttemptEnd.MISDIRECTED, 0.0)
    refused = router.place(job, 0.1)
    assert isinstance(refused, Refused)
    assert refused.code is ResultCode.NO_UPSTREAM
    assert isinstance(router.place(build_job(2, route=LOOKUP, now_s=3.1), 3.1), Placement)


def test_a_new_incarnation_starts_without_history() -> None:
    router = build_router(engines=1)
    state = router.upstreams[InstanceId("i-0")]
    state.health.record_connection_failure(0.0)
    router.place(build_job(1, route=LONG), 0.0)
    router.update_upstreams([build_upstream(0, started_ms=2_000)], 1.0)
    new_state = router.upstreams[InstanceId("i-0")]
    assert new_state is not state
    assert new_state.local_requests == 0
    assert not new_state.health.is_excluded(0.0)


def test_an_unchanged_entry_keeps_its_state() -> None:
    router = build_router(engines=2)
    state = router.upstreams[InstanceId("i-0")]
    router.update_upstreams([build_upstream(0), build_upstream(1)], 1.0)
    assert router.upstreams[InstanceId("i-0")] is state


LOADS = st.builds(
    UpstreamLoad,
    prefill_s=st.sampled_from((0.0, 0.5, 2.0)),
    sensitive_requests=st.integers(0, 5),
    tolerant_requests=st.integers(0, 5),
    tokens=st.integers(0, 1_000),
    gap_s=st.sampled_from((0.0, 0.25)),
    stalled=st.booleans(),
)


@given(st.dictionaries(st.sampled_from(("i-0", "i-1", "i-9")), LOADS))
def test_peer_load_applies_to_an_upstream_that_registers_later(loads: dict) -> None:
    router = build_router(engines=2)
    router.update_peer_loads(loads, {})
    records = [state.record for state in router.upstreams.values()]
    router.update_upstreams([*records, build_upstream(9)], 0.0)
    for instance, state in router.upstreams.items():
        reported = loads.get(instance, UpstreamLoad())
        total = state.measure(0.0)
        assert (total.requests, total.tokens) == (reported.requests, reported.tokens)
        assert total.prefill_s == reported.prefill_s
        assert state.is_healthy(0.0) is not reported.stalled
    router.update_peer_loads({}, {})
    assert all(state.measure(0.0).requests == 0 for state in router.upstreams.values())


def test_hosts_share_the_connections_of_an_upstream() -> None:
    router = build_router(engines=0, plain=2, bounds=Bounds())
    router.hosts = 100
    used = []
    for number in range(2):
        placed = router.place(build_job(number, route=LOOKUP), 0.0)
        assert isinstance(placed, Placement)
        used.append(placed.upstream.instance)
    assert len(set(used)) == 2


def test_a_registry_change_keeps_the_split() -> None:
    """A rollout during a burst of long prompts takes no engines from sensitive streams."""
    router = build_router(engines=5)
    router.update_peer_loads({}, {ENGINES: Demand(sensitive=0.5, tolerant=3.0)})

    def count_sensitive_engines() -> int:
        used = set()
        for number in range(40):
            job = build_job(number, prompt=build_short_prompt(f"s{number}"))
            placed = router.place(job, 0.0)
            assert isinstance(placed, Placement)
            router.record_end(job.attempt_id, placed.upstream.instance, AttemptEnd.CANCELLED, 0.0)
            used.add(placed.upstream.instance)
        return len(used)

    before = count_sensitive_engines()
    records = [state.record for state in router.upstreams.values()]
    router.update_upstreams([*records[1:], build_upstream(9)], 0.0)
    assert count_sensitive_engines() == before


# Guards against slots of brittle upstreams that two hosts use, or none.
@given(
    st.lists(st.integers(0, 9), min_size=1, max_size=8),
    st.integers(1, 40),
)
def test_each_slot_belongs_to_one_host(numbers: list[int], hosts: int) -> None:
    slots = [
        (1_000 - index, InstanceId(f"i-{index}"), number) for index, number in enumerate(numbers)
    ]
    shares = [divide_slots(slots, position=position, hosts=hosts) for position in range(hosts)]
    for _, instance, number in slots:
        assert sum(share[instance] for share in shares) == number
    totals = [sum(share.values()) for share in shares]
    assert max(totals) - min(totals) <= 1

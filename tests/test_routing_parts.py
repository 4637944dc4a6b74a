"""The parts of the routing decisions: budgets, strikes, health, sums of peers' loads."""

from hypothesis import given
from hypothesis import strategies as st

from greengagestage.catalog import Availability, Bounds
from greengagestage.ids import Fingerprint, InstanceId
from greengagestage.results import ResultCode
from greengagestage.routing import (
    AttemptEnd,
    Demand,
    EngineSplit,
    Health,
    LossTracker,
    Placement,
    Refused,
    RetryBudget,
    UpstreamLoad,
)
from greengagestage.routing._demand import SENSITIVE_WEIGHT

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

RATIO, SLACK, WINDOW_S = 0.2, 58.0, 10.0


def spend(budget: RetryBudget, now_s: float, hosts: int | None) -> int:
    """Repeat as often as the budget allows."""
    count = 0
    while budget.allows_repeat(now_s, hosts):
        budget.note_repeat(now_s)
        count += 1
    return count


def build_budget() -> RetryBudget:
    return RetryBudget(ratio=RATIO, slack=SLACK, window_s=WINDOW_S)


@given(hosts=st.integers(1, 400), requests=st.integers(0, 300))
def test_all_hosts_together_stay_within_the_retry_budget(hosts: int, requests: int) -> None:
    budgets = [build_budget() for _ in range(hosts)]
    for number in range(requests):
        budgets[number % hosts].note_request(number * WINDOW_S / 300)
    spent = sum(spend(budget, WINDOW_S, hosts) for budget in budgets)
    assert spent <= RATIO * requests + SLACK


@given(hosts=st.integers(1, 16), requests=st.integers(0, 300))
def test_restarted_hosts_stay_within_the_retry_budget(hosts: int, requests: int) -> None:
    spent = 0
    for known in (hosts, None):
        budgets = [build_budget() for _ in range(hosts)]
        for number in range(requests):
            budgets[number % hosts].note_request(WINDOW_S / 2)
        spent += sum(spend(budget, WINDOW_S / 2, known) for budget in budgets)
    assert spent <= RATIO * 2 * requests + SLACK


def test_spent_repeats_return_after_the_window() -> None:
    budget = build_budget()
    assert spend(budget, 0.0, 8)
    assert spend(budget, 5.0, 8) == 0
    assert spend(budget, WINDOW_S + 0.1, 8)


def test_equal_requests_that_lose_upstreams_are_stopped_at_the_third() -> None:
    book, bad = LossTracker(), Fingerprint("f")
    for number in range(3):
        assert not book.is_quarantined(bad, 0.0)
        book.record_loss(bad, f"loss-{number}", 0.0)
    assert book.is_quarantined(bad, 0.0)
    assert not book.is_quarantined(Fingerprint("other"), 0.0)


def test_a_loss_reported_more_than_once_counts_once() -> None:
    book, bad = LossTracker(), Fingerprint("f")
    for _ in range(5):
        book.record_loss(bad, "loss-1", 0.0)
    assert not book.is_quarantined(bad, 0.0)


def test_strikes_are_forgotten() -> None:
    book, bad = LossTracker(), Fingerprint("f")
    for number in range(3):
        book.record_loss(bad, f"loss-{number}", 0.0)
    assert not book.is_quarantined(bad, 61.0)


def test_exclusion_needs_two_losses_or_one_failed_connection() -> None:
    health = Health()
    health.note_lost(0.0)
    assert not health.is_excluded(0.0)
    health.note_lost(0.0)
    assert health.is_excluded(0.4)
    assert not health.is_excluded(0.6)
    other = Health()
    other.note_unreachable(0.0)
    assert other.is_excluded(0.0)


def test_exclusions_grow_until_an_answer_comes() -> None:
    health = Health()
    for now_s in (0.0, 1.0, 3.0, 8.0, 20.0):
        health.note_unreachable(now_s)
    assert health.is_excluded(23.9)
    assert not health.is_excluded(24.1)
    health.note_answer(failed=False)
    health.note_unreachable(30.0)
    assert not health.is_excluded(30.6)


def test_an_upstream_that_leaves_gets_nothing_new() -> None:
    router = build_router(engines=0, plain=2)
    leaving = build_upstream(100, service=ARCHIVE, availability=Availability.LEAVING)
    router.update_upstreams([leaving, build_upstream(101, service=ARCHIVE)], 0.0)
    for number in range(10):
        placed = router.place(build_job(number, route=LOOKUP), 0.0)
        assert isinstance(placed, Placement)
        assert placed.upstream.instance == "i-101"


def test_an_address_of_another_upstream_is_left_out_for_a_while() -> None:
    router = build_router(engines=0, plain=1)
    job = build_job(1, route=LOOKUP)
    placed = router.place(job, 0.0)
    assert isinstance(placed, Placement)
    router.end(job.attempt_id, placed.upstream.instance, AttemptEnd.MISDIRECTED, 0.0)
    refused = router.place(job, 0.1)
    assert isinstance(refused, Refused)
    assert refused.code is ResultCode.NO_UPSTREAM
    assert isinstance(router.place(build_job(2, route=LOOKUP, now_s=3.1), 3.1), Placement)


def test_a_new_start_under_the_same_id_has_no_past() -> None:
    router = build_router(engines=1)
    state = router.upstreams[InstanceId("i-0")]
    state.health.note_unreachable(0.0)
    router.place(build_job(1, route=LONG), 0.0)
    router.update_upstreams([build_upstream(0, started_ms=2_000)], 1.0)
    again = router.upstreams[InstanceId("i-0")]
    assert again is not state
    assert again.local_requests == 0
    assert not again.health.is_excluded(0.0)


def test_an_unchanged_entry_keeps_what_was_learnt() -> None:
    router = build_router(engines=2)
    state = router.upstreams[InstanceId("i-0")]
    router.update_upstreams([build_upstream(0), build_upstream(1)], 1.0)
    assert router.upstreams[InstanceId("i-0")] is state


LOADS = st.builds(
    UpstreamLoad,
    prefill_s=st.sampled_from((0.0, 0.5, 2.0)),
    sensitive=st.integers(0, 5),
    tolerant=st.integers(0, 5),
    tokens=st.integers(0, 1_000),
    gap_s=st.sampled_from((0.0, 0.25)),
    stalled=st.booleans(),
)


@given(st.dictionaries(st.sampled_from(("i-0", "i-1", "i-9")), LOADS))
def test_work_of_others_is_kept_for_an_upstream_that_registers_later(loads: dict) -> None:
    router = build_router(engines=2)
    router.update_peer_loads(loads, {})
    records = [state.record for state in router.upstreams.values()]
    router.update_upstreams([*records, build_upstream(9)], 0.0)
    for instance, state in router.upstreams.items():
        told = loads.get(instance, UpstreamLoad())
        total = state.measure(0.0)
        assert (total.requests, total.tokens) == (told.requests, told.tokens)
        assert total.prefill_s == told.prefill_s
        assert state.is_trusted(0.0) is not told.stalled
    router.update_peer_loads({}, {})
    assert all(state.measure(0.0).requests == 0 for state in router.upstreams.values())


def test_connections_of_an_upstream_are_shared_by_the_hosts() -> None:
    router = build_router(engines=0, plain=2, bounds=Bounds())
    router.hosts = 100
    used = []
    for number in range(2):
        placed = router.place(build_job(number, route=LOOKUP), 0.0)
        assert isinstance(placed, Placement)
        used.append(placed.upstream.instance)
    assert len(set(used)) == 2


def build_demand(share: float, each: float, engines: int = 5) -> Demand:
    """Return weighed demand of so much an engine, of which a part is sensitive."""
    total = each * engines
    return Demand(sensitive=share * total / SENSITIVE_WEIGHT, tolerant=(1 - share) * total)


def test_the_split_of_engines_follows_clear_changes_only() -> None:
    split = EngineSplit()
    assert split.count(5, build_demand(0.4, 1.0)) == 2
    assert split.count(5, build_demand(0.25, 1.0)) == 2
    assert split.count(5, build_demand(0.62, 1.0)) == 3


def test_the_split_of_many_engines_does_not_follow_each_engine() -> None:
    split = EngineSplit()
    assert split.count(56, build_demand(0.4, 1.0, 56)) == 22
    assert split.count(56, build_demand(0.46, 1.0, 56)) == 22
    assert split.count(56, build_demand(0.5, 1.0, 56)) == 28


def test_the_split_stays_while_both_kinds_have_room() -> None:
    """A burst of long prompts on a quiet day: no beginning is read anew for it."""
    split = EngineSplit()
    assert split.count(5, build_demand(0.1, 0.4)) == 2
    assert split.count(5, build_demand(0.1, 0.9)) == 1


def test_a_changed_registry_does_not_move_the_split() -> None:
    """A release during a burst of long prompts leaves the short answers their engines."""
    router = build_router(engines=5)
    router.update_peer_loads({}, {ENGINES: Demand(sensitive=0.5, tolerant=3.0)})

    def count_engines_of_short_answers() -> int:
        used = set()
        for number in range(40):
            job = build_job(number, prompt=build_short_prompt(f"s{number}"))
            placed = router.place(job, 0.0)
            assert isinstance(placed, Placement)
            router.end(job.attempt_id, placed.upstream.instance, AttemptEnd.CANCELLED, 0.0)
            used.add(placed.upstream.instance)
        return len(used)

    before = count_engines_of_short_answers()
    records = [state.record for state in router.upstreams.values()]
    router.update_upstreams([*records[1:], build_upstream(9)], 0.0)
    assert count_engines_of_short_answers() == before

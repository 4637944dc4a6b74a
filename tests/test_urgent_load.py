"""More urgent requests come first wherever they and less urgent ones need the same room."""

from collections import Counter
from dataclasses import replace

import pytest

from greengagestage.ids import InstanceId, RouteName
from greengagestage.routing import Placement, UpstreamLoad

from .brittle_fleet import BrittleFleet
from .catalog_builders import LOOKUP, build_job, build_router, build_short_prompt
from .engine_fleet import BRIEF_KINDS, CHAT, KINDS, REVIEW, SUMMARY, EngineFleet, Kind

CROWD_S = (3.0, 12.0)
WINDOW_S = 5.0
LEARNING_S = 1.0
"""Time in which hosts learn that a crowd has come."""

URGENT_LOOKUP = replace(LOOKUP, name=RouteName("urgent"), prefix="/urgent/")
PATIENT_LOOKUP = replace(
    LOOKUP, name=RouteName("patient"), prefix="/patient/", target_s=1.5, timeout_s=6.0, priority=1
)


def is_starved(fleet: EngineFleet, kind: Kind, from_s: float) -> bool:
    """Whether over a twelfth of the requests of a kind, and ten or more, get nothing."""
    sent, unanswered = fleet.count_without_answer(kind, from_s, from_s + WINDOW_S)
    return unanswered >= 10 and unanswered > sent / 12


def count_larger_begun(fleet: EngineFleet, kind: Kind, from_s: float) -> int:
    """Count less urgent requests of over twice the size that hosts send and engines begin."""
    larger = [
        each
        for each in KINDS
        if each.route.priority > kind.route.priority and each.tokens > 2 * kind.tokens
    ]
    return sum(
        fleet.count_begun(each, from_s, from_s + WINDOW_S, CROWD_S[0] + LEARNING_S)
        for each in larger
    )


# Guards against urgent requests that get nothing while engines begin less urgent, larger ones.
@pytest.mark.parametrize("seed", range(8))
@pytest.mark.parametrize(("engines", "leaving"), [(5, (3.0, 3.5)), (4, (3.0, 3.2))])
def test_nothing_larger_begins_while_urgent_requests_get_nothing(
    engines: int, leaving: tuple[float, ...], seed: int
) -> None:
    fleet = EngineFleet(engines=engines, crowds=[CROWD_S], leaving=leaving, seed=seed)
    fleet.run(CROWD_S[1])
    first_s = CROWD_S[0] + LEARNING_S
    for from_s in (first_s, first_s + 1, first_s + 2, first_s + 3):
        for kind in (CHAT, SUMMARY):
            if is_starved(fleet, kind, from_s):
                assert count_larger_begun(fleet, kind, from_s) == 0


# Guards against a mend that gives the less urgent kind nothing where there is room for it.
def test_less_urgent_requests_keep_what_is_left() -> None:
    fleet = EngineFleet(crowds=[CROWD_S], crowd_factor=1.6)
    fleet.run(CROWD_S[1])
    sent, unanswered = fleet.count_without_answer(REVIEW, *CROWD_S)
    assert unanswered < sent / 2
    for kind in (CHAT, SUMMARY):
        sent, unanswered = fleet.count_without_answer(kind, *CROWD_S)
        assert unanswered <= sent / 100


# Guards against less urgent requests that win the room of brittle upstreams by waiting longer.
@pytest.mark.parametrize("load", [1.5, 3.0])
def test_patient_requests_leave_brittle_upstreams_to_urgent_ones(load: float) -> None:
    fleet = BrittleFleet(hosts=8, upstreams=3, routes=(URGENT_LOOKUP, PATIENT_LOOKUP))
    fleet.run(rate_per_s=load * fleet.capacity_per_s, duration_s=6.0)
    served = fleet.outcomes_by_route
    assert served[URGENT_LOOKUP.name]["served"] > 2 * served[PATIENT_LOOKUP.name]["served"]


# Guards against a named rate that is used by whoever comes first.
def test_less_urgent_requests_leave_a_named_rate_to_urgent_ones() -> None:
    fleet = BrittleFleet(
        hosts=4, upstreams=2, routes=(URGENT_LOOKUP, PATIENT_LOOKUP), tells=False, limit_per_s=10.0
    )
    fleet.run(rate_per_s=60.0, duration_s=6.0)
    served = fleet.outcomes_by_route
    assert served[URGENT_LOOKUP.name]["served"] > 2 * served[PATIENT_LOOKUP.name]["served"]


# Guards against hosts that all send to the one engine which looks idle until they learn what the
# others have sent: urgent requests while all other engines are busy.
def test_hosts_do_not_all_send_urgent_requests_to_the_same_engine() -> None:
    chosen: Counter[InstanceId] = Counter()
    for number in range(20):
        router = build_router(engines=28, seed=number)
        *busy, _ = router.upstreams
        load = UpstreamLoad(prefill_s=0.5, sensitive_requests=40, tokens=100_000)
        router.update_peer_loads(dict.fromkeys(busy, load), {})
        placed = router.place(build_job(number, prompt=build_short_prompt(f"s{number}")), 0.0)
        assert isinstance(placed, Placement)
        chosen[placed.upstream.instance] += 1
    assert max(chosen.values()) <= 10


# Guards against long prompts that take the engines of urgent requests: a crowd of them beside the
# usual urgent requests in a fleet of 30 hosts.
def test_urgent_requests_are_in_time_beside_a_crowd_of_long_prompts() -> None:
    factor = 28 / 8
    brief, *urgent = (replace(kind, rate_per_s=kind.rate_per_s * factor) for kind in BRIEF_KINDS)
    fleet = EngineFleet(
        engines=28,
        hosts=30,
        kinds=(brief, *urgent),
        crowds=[(0.5, 5.0)],
        crowd_factor=2.9,
        crowd_kinds=[brief],
    )
    fleet.run(5.0)
    for kind in urgent:
        sent = fleet.list_sent(kind, 0.5, 5.0)
        in_time = [
            each
            for each in sent
            if each.begun_s is not None and each.begun_s - each.job.arrived_s <= kind.route.target_s
        ]
        assert len(in_time) >= 0.85 * len(sent)

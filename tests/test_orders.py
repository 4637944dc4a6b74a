"""Leases and orders: each fault at each step, and orders of a former lease holder."""

import pytest
from twisted.internet.defer import Deferred

from greengagestage.configuration import EngineRole, FencingMode
from greengagestage.ids import UpstreamName
from greengagestage.orders import (
    OrderAccepted,
    OrderConflict,
    OrderRefused,
    OrderState,
    OrderUndecided,
    RoleChange,
)
from greengagestage.orders._groups import choose_candidates, group_upstreams
from greengagestage.outcomes import Unavailable
from greengagestage.results import ResultCode
from greengagestage.services import Conflict, Put

from .fake_platform import Call
from .order_builders import LARGE, FakeEngine, OrderFleet, build_command

MODES = list(FencingMode)
SETTLE_S = 20
STALE_ORDER_S = 20
"""Bound on how long a late order of a former holder stays in effect if numbers are ignored."""


def get_result(work: Deferred[object]) -> object:
    results: list[object] = []
    work.addCallback(results.append)
    return results[0]


@pytest.mark.parametrize("fencing", MODES)
def test_order_is_carried_out_and_settles(fencing: FencingMode) -> None:
    fleet = OrderFleet(fencing=fencing)
    fleet.start()
    assert isinstance(fleet.request(build_command(1), host="h2")[0], OrderAccepted)
    fleet.pass_time(SETTLE_S)
    assert fleet.engine.state.agrees_with(LARGE)
    assert fleet.weights.asked == [("large", "e0")]
    (order,) = get_result(fleet.reconcilers["h1"].describe_orders())
    assert (order.upstream, order.state) == ("e0", OrderState.SETTLED)
    (lease,) = get_result(fleet.reconcilers[fleet.find_holders()[0]].describe_leases())
    assert lease.holder == fleet.find_holders()[0]
    assert lease.remaining_s > 0


def test_lease_stays_with_one_holder() -> None:
    fleet = OrderFleet()
    fleet.start()
    holders = set()
    for _ in range(60):
        fleet.pass_time(1)
        holders.update(fleet.find_holders())
        assert len(fleet.find_holders()) == 1
    assert len(holders) == 1


@pytest.mark.parametrize("planned", [True, False])
def test_lease_moves_to_another_host(planned: bool) -> None:
    fleet = OrderFleet()
    fleet.start()
    fleet.pass_time(10)
    (first,) = fleet.find_holders()
    if planned:
        fleet.reconcilers[first].stop()
        fleet.pass_time(5)
        assert fleet.find_holders() not in ([], [first])
    else:
        fleet.clients[first].alive = False
        fleet.pass_time(30)
        assert fleet.find_holders() not in ([], [first])


FAULTS = {
    "engine down": lambda fleet: set_fault(fleet, "down"),
    "answers of orders lost": lambda fleet: set_fault(fleet, "lost"),
    "no permits": lambda fleet: setattr(fleet.weights, "left", 0),
}


def set_fault(fleet: OrderFleet, fault: str) -> None:
    fleet.engine.fault = fault


@pytest.mark.parametrize("name", FAULTS)
@pytest.mark.parametrize("fencing", MODES)
def test_fault_then_recovery(name: str, fencing: FencingMode) -> None:
    fleet = OrderFleet(fencing=fencing)
    fleet.start()
    fleet.pass_time(10)
    FAULTS[name](fleet)
    fleet.request(build_command(1))
    fleet.pass_time(SETTLE_S)
    if name == "no permits":
        assert not fleet.engine.received
        (order,) = get_result(fleet.reconcilers[fleet.find_holders()[0]].describe_orders())
        assert "weight store" in order.message
    set_fault(fleet, "none")
    fleet.weights.left = 10
    fleet.pass_time(SETTLE_S)
    assert fleet.engine.state.agrees_with(LARGE)
    assert len(fleet.weights.asked) == 1


def test_repeated_orders_of_one_load_use_one_permit() -> None:
    fleet = OrderFleet()
    fleet.start()
    set_fault(fleet, "unheard")
    fleet.request(build_command(1))
    fleet.pass_time(30)
    set_fault(fleet, "none")
    fleet.pass_time(SETTLE_S)
    assert fleet.engine.state.agrees_with(LARGE)
    assert len(fleet.weights.asked) == 1


def test_adoption_that_lands_after_the_lease_was_lost_is_refused() -> None:
    fleet = OrderFleet(hosts=("h1",))
    fleet.start()
    fleet.pass_time(10)
    fleet.request(build_command(1))
    adoption = hold_intent_write(fleet)
    fleet.table.apply([Put(key="lease/orders-0", value=None)])
    assert isinstance(fleet.table.apply(adoption.operations), Conflict)


def hold_intent_write(fleet: OrderFleet) -> Call:
    """Serve every call up to the holder's next write of an intent; return that write unanswered."""
    fleet.table.automatic = False
    for _ in range(20):
        for call in list(fleet.table.calls):
            operation = call.operations[0]
            if isinstance(operation, Put) and operation.key == "intent/e0":
                return call
            fleet.table.serve(call)
        fleet.pass_time(1)
    raise AssertionError("no intent was written")


def test_own_renewal_does_not_refuse_an_adoption() -> None:
    fleet = OrderFleet(hosts=("h1",))
    fleet.start()
    fleet.pass_time(10)
    fleet.request(build_command(1))
    adoption = hold_intent_write(fleet)
    lease = fleet.table.get("lease/orders-0")
    fleet.table.apply([Put(key=lease.key, value=lease.value, expect=lease.revision)])
    fleet.table.automatic = True
    fleet.table.serve(adoption)
    assert fleet.engine.state.agrees_with(LARGE)


def test_same_command_again_changes_nothing() -> None:
    fleet = OrderFleet()
    fleet.request(build_command(1))
    before = fleet.table.get("intent/e0")
    assert isinstance(fleet.request(build_command(1), "h2")[0], OrderAccepted)
    assert fleet.table.get("intent/e0") == before


def pause_holder_with_order(fleet: OrderFleet) -> str:
    """Hold back an order of the lease holder, and stop the holder; return its name."""
    fleet.start()
    fleet.pass_time(10)
    (first,) = fleet.find_holders()
    set_fault(fleet, "held")
    fleet.request(build_command(1))
    fleet.pass_time(6)
    assert fleet.engine.held
    set_fault(fleet, "none")
    fleet.clients[first].alive = False
    return first


@pytest.mark.parametrize("fencing", MODES)
def test_woken_holder_does_no_lasting_harm(fencing: FencingMode) -> None:
    fleet = OrderFleet(fencing=fencing)
    first = pause_holder_with_order(fleet)
    fleet.hosts = tuple(host for host in fleet.hosts if host != first)
    undo = build_command(2, loaded=False, forced=True)
    fleet.request(undo, host=fleet.hosts[0])
    fleet.pass_time(60)
    assert fleet.engine.state.models == ("small",)
    fleet.engine.apply_order(fleet.engine.held[0])
    if fencing is FencingMode.CHECKED:
        assert fleet.engine.state.models == ("small",)
    fleet.pass_time(STALE_ORDER_S)
    assert fleet.engine.state.models == ("small",)


def test_paused_holder_sends_nothing_after_its_lease() -> None:
    """A holder whose table calls hang until its lease has expired sends no order afterwards."""
    fleet = OrderFleet(hosts=("h1",))
    fleet.start()
    fleet.pass_time(10)
    fleet.table.automatic = False
    fleet.pass_time(6)
    fleet.request(build_command(1))
    fleet.pass_time(30)
    assert fleet.find_holders() == []
    for call in list(fleet.table.calls):
        fleet.table.serve(call)
    assert not fleet.engine.received


def test_holder_checks_its_time_before_each_order() -> None:
    """A read that ends after the lease has expired is not followed by an order."""
    fleet = OrderFleet(hosts=("h1",))
    fleet.start()
    fleet.request(build_command(1))
    set_fault(fleet, "slow")
    fleet.pass_time(6)
    assert fleet.engine.pending_reads
    fleet.table.automatic = False
    fleet.pass_time(30)
    set_fault(fleet, "none")
    fleet.engine.finish_reads()
    assert not fleet.engine.received


def test_higher_number_at_the_engine_is_exceeded() -> None:
    fleet = OrderFleet()
    fleet.engine.state = fleet.engine.state.__class__(models=("other",), fencing_number=7)
    fleet.start()
    fleet.request(build_command(1))
    fleet.pass_time(30)
    assert fleet.engine.state.agrees_with(LARGE)
    assert fleet.engine.state.fencing_number > 7


def test_second_of_two_contradicting_orders_names_both() -> None:
    fleet = OrderFleet()
    assert isinstance(fleet.request(build_command(1))[0], OrderAccepted)
    (outcome,) = fleet.request(build_command(2, loaded=False), host="h2")
    assert isinstance(outcome, OrderConflict)
    assert (outcome.command_id, outcome.other_command_id) == ("c2", "c1")
    assert "operator-1" in outcome.message


def test_concurrent_orders_for_different_artifacts_are_both_accepted() -> None:
    fleet = OrderFleet()
    fleet.table.automatic = False
    first, second = fleet.request(build_command(1)), fleet.request(build_command(2, "other"), "h2")
    while fleet.table.calls:
        fleet.table.serve(fleet.table.calls[0])
    assert isinstance(first[0], OrderAccepted)
    assert isinstance(second[0], OrderAccepted)
    assert second[0].intent.models == ("small", "large", "other")


def test_last_copy_is_unloaded_only_if_forced() -> None:
    fleet = OrderFleet()
    second = UpstreamName("e1")
    assert isinstance(fleet.request(build_command(1, "small", loaded=False))[0], OrderAccepted)
    last = build_command(2, "small", loaded=False, upstream=second)
    refused = fleet.request(last)[0]
    assert isinstance(refused, OrderRefused)
    assert refused.code is ResultCode.ORDER_REFUSED
    forced = build_command(3, "small", loaded=False, upstream=second, forced=True)
    assert isinstance(fleet.request(forced)[0], OrderAccepted)


def test_concurrent_orders_cannot_unload_the_last_two_copies() -> None:
    fleet = OrderFleet()
    fleet.table.automatic = False
    first = fleet.request(build_command(1, "small", loaded=False))
    other = build_command(2, "small", loaded=False, upstream=UpstreamName("e1"))
    second = fleet.request(other, "h2")
    while fleet.table.calls:
        fleet.table.serve(fleet.table.calls[0])
    assert {type(first[0]), type(second[0])} == {OrderAccepted, OrderRefused}


ANSWERS = {
    "refused": ("refuse", "serve", OrderRefused),
    "lost, read back": ("lose_answer", "serve", OrderAccepted),
    "lost, cannot read": ("lose_answer", "refuse", OrderUndecided),
    "not applied": ("time_out", "serve", OrderUndecided),
}


@pytest.mark.parametrize("name", ANSWERS)
def test_order_outcome_for_each_table_answer(name: str) -> None:
    write, read_back, expected = ANSWERS[name]
    fleet = OrderFleet()
    fleet.table.automatic = False
    outcomes = fleet.request(build_command(1))
    for response in ("serve", write, read_back):
        if fleet.table.calls:
            getattr(fleet.table, response)(fleet.table.calls[0])
    assert type(outcomes[0]) is expected
    fleet.table.automatic = True
    assert isinstance(fleet.request(build_command(1))[0], OrderAccepted)


def test_role_and_unknown_engine() -> None:
    fleet = OrderFleet()
    fleet.start()
    fleet.request(build_command(1, change=RoleChange(role=EngineRole.DECODE)))
    fleet.pass_time(SETTLE_S)
    assert fleet.engine.state.role is EngineRole.DECODE
    (refused,) = fleet.request(build_command(2, upstream=UpstreamName("no")))
    assert isinstance(refused, OrderRefused)
    assert refused.code is ResultCode.UNKNOWN_NAME


def test_descriptions_while_the_table_is_down() -> None:
    fleet = OrderFleet()
    fleet.table.automatic = False
    work = fleet.reconcilers["h1"].describe_orders()
    fleet.table.refuse(fleet.table.calls[0])
    assert isinstance(get_result(work), Unavailable)


def test_lease_groups_cover_all_upstreams_and_are_spread_over_hosts() -> None:
    names = [UpstreamName(f"u{n}") for n in range(670)]
    groups = group_upstreams(names)
    assert sorted(x for members in groups.values() for x in members) == sorted(names)
    assert len(groups) <= 42
    hosts = [f"h{n}" for n in range(370)]
    watching = {host for lease in groups for host in choose_candidates(lease, hosts)}
    assert len(watching) > 90


def test_engine_that_checks_has_seen_the_number_before_it_is_settled() -> None:
    engine = FakeEngine(checks=True)
    fleet = OrderFleet()
    fleet.engines["http://127.0.0.1:0"] = engine
    engine.state = LARGE
    fleet.start()
    fleet.request(build_command(1))
    fleet.pass_time(SETTLE_S)
    assert engine.state.fencing_number > 0

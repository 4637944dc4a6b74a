"""Claims: the outcome of a resend in each state, and each table fault at each step."""

from collections.abc import Callable

import pytest

from greengagestage.claims import ClaimStore, StoredAnswer
from greengagestage.claims._rows import ClaimState
from greengagestage.claims._sweep import DEFAULT_RETENTION_S
from greengagestage.ids import AttemptId
from greengagestage.outcomes import Unavailable
from greengagestage.policy import ClaimOutcome
from greengagestage.services import Put

from .claim_builders import KEY, LARGE, SMALL, WORKSPACE, ClaimHosts, build_ask
from .fake_platform import Call

GRANTED = [ClaimOutcome.GRANTED]


def release(hosts: ClaimHosts, store: ClaimStore) -> None:
    hosts.release(store, "a1")


def answer(hosts: ClaimHosts, store: ClaimStore) -> None:
    store.record_answer(WORKSPACE, KEY, AttemptId("a1"), SMALL)
    hosts.pass_time()


def mark_unknown(hosts: ClaimHosts, store: ClaimStore) -> None:
    store.mark_unknown(WORKSPACE, KEY, AttemptId("a1"))
    hosts.pass_time()


def do_nothing(hosts: ClaimHosts, store: ClaimStore) -> None:
    pass


def lose_host(hosts: ClaimHosts, store: ClaimStore) -> None:
    hosts.live.discard("h1")


RESEND_CASES = {
    "running": (do_nothing, "f1", ClaimOutcome.RUNNING),
    "running, other body": (do_nothing, "f2", ClaimOutcome.KEY_REUSED),
    "host gone": (lose_host, "f1", ClaimOutcome.RUN_UNKNOWN),
    "answered": (answer, "f1", ClaimOutcome.ANSWERED),
    "answered, other body": (answer, "f2", ClaimOutcome.KEY_REUSED),
    "unknown": (mark_unknown, "f1", ClaimOutcome.RUN_UNKNOWN),
    "given up": (release, "f1", ClaimOutcome.GRANTED),
    "given up, other body": (release, "f2", ClaimOutcome.GRANTED),
}


RESEND_TO_GONE_HOST = ("host gone", "h1")


@pytest.mark.parametrize(
    ("name", "host"),
    [
        (name, host)
        for name in RESEND_CASES
        for host in ("h1", "h2")
        if (name, host) != RESEND_TO_GONE_HOST
    ],
)
def test_resend(name: str, host: str) -> None:
    change, body, expected = RESEND_CASES[name]
    hosts = ClaimHosts()
    first, second = hosts.build("h1"), hosts.build("h2")
    assert hosts.ask(first, "a1") == GRANTED
    change(hosts, first)
    resend_to = first if host == "h1" else second
    assert hosts.ask(resend_to, "a2", body=body) == [expected]


def test_restarted_host_does_not_know_its_own_run() -> None:
    hosts = ClaimHosts()
    hosts.ask(hosts.build("h1"), "a1")
    assert hosts.ask(hosts.build("h1"), "a2") == [ClaimOutcome.RUN_UNKNOWN]


def test_equal_attempt_ids_of_two_hosts_are_not_confused() -> None:
    hosts = ClaimHosts()
    assert hosts.ask(hosts.build("h1"), "a1") == GRANTED
    assert hosts.ask(hosts.build("h2"), "a1") == [ClaimOutcome.RUNNING]


def serve(hosts: ClaimHosts, call: Call) -> None:
    hosts.table.serve(call)


def lose_answer(hosts: ClaimHosts, call: Call) -> None:
    hosts.table.lose_answer(call)


def time_out(hosts: ClaimHosts, call: Call) -> None:
    hosts.table.time_out(call)


def refuse(hosts: ClaimHosts, call: Call) -> None:
    hosts.table.refuse(call)


TableResponse = Callable[[ClaimHosts, Call], None]
INSERT_FAULTS: dict[str, tuple[list[TableResponse], ClaimOutcome]] = {
    "insert refused": ([refuse], ClaimOutcome.UNAVAILABLE),
    "answer lost, read back": ([lose_answer, serve], ClaimOutcome.GRANTED),
    "answer lost, cannot read": ([lose_answer, refuse], ClaimOutcome.UNAVAILABLE),
    "answer lost, read lost": ([lose_answer, lose_answer], ClaimOutcome.UNAVAILABLE),
    "not applied, inserted again": ([time_out, serve, serve], ClaimOutcome.GRANTED),
    "not applied, then refused": ([time_out, serve, refuse], ClaimOutcome.UNAVAILABLE),
    "not applied, cannot read": ([time_out, refuse], ClaimOutcome.UNAVAILABLE),
    "twice lost": ([time_out, serve, lose_answer, serve], ClaimOutcome.GRANTED),
    "never applied": ([time_out, serve] * 4, ClaimOutcome.UNAVAILABLE),
}


@pytest.mark.parametrize("name", INSERT_FAULTS)
@pytest.mark.parametrize("late", ["before the give-up", "after the give-up", "after a resend"])
def test_insert_faults(name: str, late: str) -> None:
    """A claim that was not granted leaves the key free, even if its insert is applied late."""
    responses, expected = INSERT_FAULTS[name]
    hosts = ClaimHosts()
    first, second = hosts.build("h1"), hosts.build("h2")
    hosts.table.automatic = False
    outcomes = hosts.ask(first, "a1")
    for response in responses:
        response(hosts, hosts.table.calls[0])
        hosts.clock.advance(0.06)
    assert outcomes == [expected]
    if late == "before the give-up":
        apply_all_late_calls(hosts)
    hosts.table.automatic = True
    for call in list(hosts.table.calls):
        hosts.table.serve(call)
    hosts.pass_time(5.0)
    if late == "after the give-up":
        apply_all_late_calls(hosts)
    granted = expected is ClaimOutcome.GRANTED
    assert hosts.ask(second, "a2") == ([ClaimOutcome.RUNNING] if granted else GRANTED)
    apply_all_late_calls(hosts)
    holder = hosts.read()
    assert holder is not None
    assert (holder.attempt_id, holder.state) == ("a1" if granted else "a2", ClaimState.CLAIMED)
    assert first.unsettled == second.unsettled == 0


def apply_all_late_calls(hosts: ClaimHosts) -> None:
    for call in list(hosts.table.late):
        hosts.table.apply_late(call)


def test_late_claim_of_a_released_row_is_refused_after_its_release() -> None:
    hosts = ClaimHosts()
    first, second = hosts.build("h1"), hosts.build("h2")
    hosts.ask(first, "a1")
    hosts.release(first, "a1")
    hosts.table.automatic = False
    outcomes = hosts.ask(second, "a2")
    for response in (serve, time_out, refuse):
        response(hosts, hosts.table.calls[0])
        hosts.clock.advance(0.06)
    assert outcomes == [ClaimOutcome.UNAVAILABLE]
    hosts.table.automatic = True
    for call in list(hosts.table.calls):
        hosts.table.serve(call)
    hosts.pass_time(5.0)
    apply_all_late_calls(hosts)
    claim = hosts.read()
    assert claim is not None
    assert claim.state is ClaimState.RELEASED


def test_claim_given_up_before_the_table_answered() -> None:
    hosts = ClaimHosts()
    store = hosts.build()
    hosts.table.automatic = False
    outcomes = hosts.ask(store, "a1")
    hosts.release(store, "a1")
    hosts.table.automatic = True
    hosts.table.serve(hosts.table.calls[0])
    hosts.pass_time()
    assert outcomes == [ClaimOutcome.UNAVAILABLE]
    assert hosts.ask(hosts.build("h2"), "a2") == GRANTED


def test_resend_to_same_host_replaces_a_claim_whose_release_is_pending() -> None:
    hosts = ClaimHosts()
    store = hosts.build()
    hosts.ask(store, "a1")
    hosts.table.automatic = False
    hosts.release(store, "a1")
    hosts.table.refuse(hosts.table.calls[0])
    hosts.table.automatic = True
    assert hosts.ask(store, "a2") == GRANTED
    hosts.pass_time(5.0)
    claim = hosts.read()
    assert claim is not None
    assert claim.attempt_id == "a2"
    assert store.unsettled == 0


def test_one_conflict_does_not_refuse_the_whole_group() -> None:
    hosts = ClaimHosts()
    store = hosts.build()
    hosts.ask(hosts.build("h2"), "b", key="k3")
    hosts.table.writes = 0
    outcomes: list[list[ClaimOutcome]] = [[] for _ in range(10)]
    for n in range(10):
        store.claim(build_ask(f"a{n}", key=f"k{n}")).addCallback(outcomes[n].append)
    hosts.pass_time()
    expected = [[ClaimOutcome.RUNNING] if n == 3 else GRANTED for n in range(10)]
    assert outcomes == expected
    assert hosts.table.writes == 2


def test_second_claim_of_a_key_in_the_same_tick_is_told_running() -> None:
    hosts = ClaimHosts()
    store = hosts.build()
    outcomes: list[ClaimOutcome] = []
    for attempt in ("a1", "a2"):
        store.claim(build_ask(attempt)).addCallback(outcomes.append)
    hosts.pass_time()
    assert outcomes == [ClaimOutcome.GRANTED, ClaimOutcome.RUNNING]


def test_spent_budget_refuses_claims_until_it_is_refilled() -> None:
    hosts = ClaimHosts()
    store = hosts.build(write_budget_per_s=0.01)
    outcomes = [hosts.ask(store, f"a{n}", key=f"k{n}") for n in range(14)]
    assert outcomes == [GRANTED] * 10 + [[ClaimOutcome.OVER_BUDGET]] * 4
    store.set_write_budget(100.0)
    hosts.pass_time()
    assert hosts.ask(store, "b", key="b") == GRANTED


def test_mandatory_writes_are_sent_without_budget() -> None:
    hosts = ClaimHosts()
    store = hosts.build(write_budget_per_s=0.01)
    for n in range(10):
        assert hosts.ask(store, f"a{n}", key=f"k{n}" if n else KEY)
    kept: list[bool] = []
    store.record_answer(WORKSPACE, KEY, AttemptId("a0"), SMALL).addCallback(kept.append)
    hosts.pass_time()
    assert kept == [True]


@pytest.mark.parametrize("stored", [SMALL, LARGE], ids=["in the row", "as an object"])
def test_stored_answer_is_read_back_unchanged(stored: StoredAnswer) -> None:
    hosts = ClaimHosts()
    store, other = hosts.build("h1"), hosts.build("h2")
    hosts.ask(store, "a1")
    results: list[object] = []
    store.record_answer(WORKSPACE, KEY, AttemptId("a1"), stored).addCallback(results.append)
    hosts.pass_time()
    other.read_answer(WORKSPACE, KEY).addCallback(results.append)
    assert results == [True, stored]


def test_large_answer_without_object_store() -> None:
    hosts = ClaimHosts()
    store, other = hosts.build("h1"), hosts.build("h2")
    hosts.ask(store, "a1")
    hosts.objects.fault = lambda: Unavailable(reason="test")
    kept: list[bool] = []
    store.record_answer(WORKSPACE, KEY, AttemptId("a1"), LARGE).addCallback(kept.append)
    hosts.pass_time(10.0)
    assert kept == [False]
    assert hosts.ask(other, "a2") == [ClaimOutcome.RUN_UNKNOWN]


@pytest.mark.parametrize("response", [lose_answer, time_out, refuse])
def test_record_faults(response: TableResponse) -> None:
    hosts = ClaimHosts()
    store = hosts.build()
    hosts.ask(store, "a1")
    hosts.table.automatic = False
    kept: list[bool] = []
    store.record_answer(WORKSPACE, KEY, AttemptId("a1"), SMALL).addCallback(kept.append)
    hosts.clock.advance(0.06)
    assert isinstance(hosts.table.calls[0].operations[0], Put)
    response(hosts, hosts.table.calls[0])
    hosts.table.automatic = True
    for call in list(hosts.table.calls):
        hosts.table.serve(call)
    hosts.pass_time(4.0)
    assert kept == [True]
    claim = hosts.read()
    assert claim is not None
    assert claim.state is ClaimState.ANSWERED


def test_table_down_while_recording_tells_the_caller_in_time() -> None:
    hosts = ClaimHosts()
    store = hosts.build()
    hosts.ask(store, "a1")
    hosts.table.automatic = False
    kept: list[bool] = []
    store.record_answer(WORKSPACE, KEY, AttemptId("a1"), SMALL).addCallback(kept.append)
    hosts.pass_time(6.0)
    assert kept == [False]
    hosts.table.automatic = True
    hosts.table.serve(hosts.table.calls[0])
    hosts.pass_time()
    claim = hosts.read()
    assert claim is not None
    assert claim.state is ClaimState.ANSWERED


def test_answer_of_a_claim_that_is_not_held() -> None:
    hosts = ClaimHosts()
    kept: list[bool] = []
    hosts.build().record_answer(WORKSPACE, KEY, AttemptId("a1"), SMALL).addCallback(kept.append)
    assert kept == [False]
    assert not hosts.table.rows


RETENTION = {
    "answered": (answer, True),
    "unknown": (mark_unknown, True),
    "given up": (release, True),
    "running": (do_nothing, False),
    "host gone": (lose_host, True),
}


@pytest.mark.parametrize("name", RETENTION)
def test_retention(name: str) -> None:
    change, removed = RETENTION[name]
    hosts = ClaimHosts()
    first, second = hosts.build("h1"), hosts.build("h2")
    hosts.ask(first, "a1")
    change(hosts, first)
    second.start()
    hosts.pass_time(200.0)
    assert hosts.read() is not None
    hosts.clock.advance(DEFAULT_RETENTION_S)
    hosts.pass_time(200.0)
    second.stop()
    assert (hosts.read() is None) is removed

"""However late a request that crashes upstreams comes again, the hosts remember it."""

from collections.abc import Callable
from random import Random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from greengagestage.routing._losses import MAX_TRIALS

from .crash_world import CrashWorld

MAX_LATE_SENDS = 3
HOUR_S = 3_600.0

DISTURBANCES: dict[str, Callable[[CrashWorld, int], None]] = {
    "none": lambda world, number: None,
    "one host ends": lambda world, number: world.start_host(number),
    "all hosts end": lambda world, number: world.restart_all(),
    "the store is away": lambda world, number: world.take_store_down(5.0),
    "a copy is taken": lambda world, number: world.copy_store(),
    "the store is an older copy": lambda world, number: world.restore_store(),
    "a host is cut off": lambda world, number: world.cut_off(number, 600.0),
}

PAUSES_S = st.sampled_from([1.0, 5.0, 12.5, 30.0, 61.0, 90.0, 185.0, 300.0, 600.0])


@st.composite
def draw_visits(draw: st.DrawFn) -> list[tuple[float, str, int, list[int]]]:
    """Draw pauses, disturbances, first hosts, and for each send of a visit its attempts."""
    sends = st.lists(st.integers(1, 2), min_size=1, max_size=4)
    disturbance = st.sampled_from(["none", *DISTURBANCES])
    visit = st.tuples(PAUSES_S, disturbance, st.integers(0, 3), sends)
    return draw(st.lists(visit, min_size=6, max_size=12))


def play(world: CrashWorld, visits: list[tuple[float, str, int, list[int]]]) -> None:
    hosts = len(world.hosts)
    for pause_s, disturbance, first, sends in visits:
        world.run(pause_s)
        DISTURBANCES[disturbance](world, first % hosts)
        world.run(10.0 if disturbance != "none" else 0.0)
        for number, attempts in enumerate(sends):
            world.call((first + number) % hosts, sends=attempts)


# Guards against losses that are forgotten after some time, so that a caller who comes again slowly
# crashes upstreams without limit (review/9).
@pytest.mark.parametrize("hosts", [1, 2, 4])
@pytest.mark.parametrize("interval_s", [1.0, 30.0, 61.0, 90.0, 300.0, 900.0, HOUR_S])
@pytest.mark.parametrize("attempts", [1, 2])
def test_a_request_that_comes_at_any_interval_is_sent_three_times_late_at_most(
    monkeypatch: pytest.MonkeyPatch, hosts: int, interval_s: float, attempts: int
) -> None:
    world = CrashWorld(monkeypatch, hosts=hosts)
    for number in range(40 if interval_s < 100.0 else 9):
        world.call(number % hosts, sends=attempts)
        world.run(interval_s)
    assert len(world.late_sends_s) <= MAX_LATE_SENDS


# The same for drawn intervals, retries, ends of hosts and states of the store.
@given(hosts=st.integers(1, 3), visits=draw_visits())
@settings(max_examples=20)
def test_a_request_is_sent_three_times_late_at_most(
    hosts: int, visits: list[tuple[float, str, int, list[int]]]
) -> None:
    with pytest.MonkeyPatch.context() as monkeypatch:
        world = CrashWorld(monkeypatch, hosts=hosts)
        play(world, visits)
        assert len(world.late_sends_s) <= MAX_LATE_SENDS, world.late_sends_s


# Guards against errors, refusals and reports that come late, twice or never, and make hosts forget
# or miss a crash (review/15).
@pytest.mark.parametrize("hosts", [1, 3, 8])
@pytest.mark.parametrize("seed", range(6))
def test_errors_and_lost_reports_let_no_more_be_sent(
    monkeypatch: pytest.MonkeyPatch, hosts: int, seed: int
) -> None:
    random = Random(seed)
    world = CrashWorld(monkeypatch, hosts=hosts, seed=seed)
    world.fail_share, world.refuse_share, world.lossy = 0.45, 0.1, True
    for number in range(60):
        for _ in range(random.randint(1, 2)):
            world.call((number + random.randint(0, 1)) % hosts, sends=random.randint(1, 2))
            world.run(random.uniform(0.1, 1.0))
        world.run(random.choice((0.0, 3.0, 7.0, 30.0, 61.0)))
    assert len(world.crashed_s) >= 3
    assert len(world.late_sends_s) <= MAX_LATE_SENDS


# Guards against a caller who repeats at once, through one host after the other, before they know of
# each other's losses: sound requests are lost with each upstream (review/9).
@pytest.mark.parametrize("attempts", [1, 2])
def test_a_request_that_is_repeated_at_once_crashes_few_upstreams(
    monkeypatch: pytest.MonkeyPatch, attempts: int
) -> None:
    world = CrashWorld(monkeypatch, hosts=4)
    for number in range(8):
        world.call(number % 4, sends=attempts)
    assert len(world.crashed_s) == 3


# Guards against hosts that each send trials of their own, as they know nothing of each other's.
def test_hosts_that_do_not_reach_each_other_share_the_trials(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    world = CrashWorld(monkeypatch, hosts=4)
    crash_three_times(world)
    world.are_apart = True
    for _ in range(60):
        for number in world.hosts:
            world.call(number)
        world.run(10.0)
    assert len(world.late_sends_s) == MAX_TRIALS


# Guards against a trial that the store has not recorded, which no host but the sender would know.
def test_no_trial_is_sent_while_the_store_is_away(monkeypatch: pytest.MonkeyPatch) -> None:
    world = CrashWorld(monkeypatch, hosts=2)
    crash_three_times(world)
    world.run(70.0)
    world.is_down = True
    assert not world.call(0)
    assert not world.late_sends_s
    world.is_down = False
    world.run(5.0)
    assert not world.call(0)
    assert len(world.late_sends_s) == 1


# Guards against sound requests that stay refused, since losses of other causes are not forgotten.
@pytest.mark.parametrize("hosts", [1, 4])
@pytest.mark.parametrize("failed_trials", [0, 1])
@pytest.mark.parametrize("interval_s", [7.0, 90.0, HOUR_S])
def test_an_answered_trial_frees_a_request_at_all_hosts(
    monkeypatch: pytest.MonkeyPatch, hosts: int, failed_trials: int, interval_s: float
) -> None:
    world = CrashWorld(monkeypatch, hosts=hosts)
    crash_three_times(world)
    while len(world.late_sends_s) < failed_trials:
        world.run(interval_s)
        world.call(0)
    world.is_deadly = False
    ends_s = world.clock.seconds() + 150.0 + interval_s
    world.run(interval_s)
    while not world.call(hosts - 1):
        assert world.clock.seconds() < ends_s
        world.run(interval_s)
    world.run(3.0)
    assert all(world.call(number) for number in world.hosts)
    world.restart_all()
    assert all(world.call(number) for number in world.hosts)


def crash_three_times(world: CrashWorld) -> None:
    for number in range(3):
        world.call(number % len(world.hosts))
        world.run(1.0)
    assert len(world.crashed_s) == 3

"""Decisions about cut links, without network."""

from collections.abc import Callable
from random import Random
from types import SimpleNamespace
from typing import Any

import pytest
from twisted.internet.task import Clock

from greengagestage.gateway.watches._link_watch import LinkWatch
from greengagestage.http1 import Endpoint
from greengagestage.ids import HostId, InstanceId, ServiceName
from greengagestage.routing import ForwardingHost, LinkMonitor

from .catalog_builders import build_upstream

ENGINES = [InstanceId(f"engine-{number}") for number in range(5)]
ARCHIVES = [InstanceId(f"archive-{number}") for number in range(3)]
HOSTS = [HostId(f"host-{number}") for number in range(6)]


def build_monitor(draws: list[float] | None = None) -> LinkMonitor:
    numbers = iter(draws or [])
    monitor = LinkMonitor(draw=lambda: next(numbers, 0.0))
    monitor.update_upstreams(
        {
            **dict.fromkeys(ENGINES, ServiceName("engines")),
            **dict.fromkeys(ARCHIVES, ServiceName("archive")),
        }
    )
    monitor.update_hosts(
        ForwardingHost(host=host, address=f"10.0.0.{number}", port=7_000)
        for number, host in enumerate(HOSTS)
    )
    return monitor


def list_cut(monitor: LinkMonitor) -> set[InstanceId]:
    return {instance for instance in (*ENGINES, *ARCHIVES) if monitor.is_cut(instance)}


# Guards against work that goes through other hosts because a single upstream has ended.
def test_one_upstream_out_of_reach_does_not_make_links_suspect() -> None:
    monitor = build_monitor()
    assert monitor.record_unreachable(ENGINES[0], 1.0) == []
    assert list_cut(monitor) == set()


def test_two_upstreams_out_of_reach_make_their_links_suspect() -> None:
    monitor = build_monitor()
    monitor.record_unreachable(ENGINES[0], 1.0)
    assert set(monitor.record_unreachable(ARCHIVES[0], 1.1)) == {ENGINES[0], ARCHIVES[0]}


# Guards against a connection attempt that each further upstream costs, when no link is left.
def test_three_upstreams_of_a_service_in_a_row_make_all_its_links_suspect() -> None:
    monitor = build_monitor()
    for at_s, instance in enumerate(ENGINES[:3], 1):
        monitor.record_unreachable(instance, float(at_s))
    assert list_cut(monitor) == set(ENGINES)


# Guards against hosts that forward nothing to one service because they are cut from another one.
def test_links_to_one_service_say_nothing_about_another_one() -> None:
    monitor = build_monitor()
    for instance in ARCHIVES:
        monitor.record_unreachable(instance, 1.0)
    assert list_cut(monitor) == set(ARCHIVES)


def test_an_upstream_whose_connection_was_opened_since_is_not_suspected() -> None:
    monitor = build_monitor()
    monitor.record_unreachable(ENGINES[0], 1.0)
    monitor.record_unreachable(ENGINES[1], 1.1)
    monitor.record_opened(ENGINES[3], 1.2)
    monitor.record_unreachable(ENGINES[2], 1.3)
    assert list_cut(monitor) == set(ENGINES[:3])


def test_an_opened_connection_ends_the_suspicion() -> None:
    monitor = build_monitor()
    for instance in ENGINES[:3]:
        monitor.record_unreachable(instance, 1.0)
    assert monitor.record_opened(ENGINES[0], 2.0)
    assert list_cut(monitor) == set(ENGINES[1:3])


# Guards against upstreams that are asked for again and again through other hosts after they ended.
def test_an_upstream_that_other_hosts_cannot_reach_counts_as_down_for_longer_and_longer() -> None:
    monitor = build_monitor()
    down_s = []
    now_s = 10.0
    for _ in range(4):
        for host in HOSTS[:2]:
            monitor.record_miss(host, ENGINES[0], now_s, down=True)
        began_s = now_s
        while not monitor.can_forward(ENGINES[0], now_s):
            now_s += 0.25
        down_s.append(now_s - began_s)
    assert down_s == [1.0, 2.0, 4.0, 4.0]


# Guards against an upstream that counts as down because other hosts are without links, too.
def test_hosts_without_links_do_not_make_an_upstream_count_as_down() -> None:
    monitor = build_monitor()
    for host in HOSTS[:5]:
        monitor.record_miss(host, ENGINES[0], 1.0, down=False)
    chosen = monitor.choose_host(ENGINES[0], 1.0)
    assert chosen is not None and chosen.host == HOSTS[5]


# Guards against one host that does the work of all that have lost their links.
def test_work_is_spread_over_the_hosts_that_forward() -> None:
    monitor = build_monitor([number / 12 for number in range(12)])
    for host in HOSTS[:3]:
        monitor.record_forwarded(host, ENGINES[0], 1.0)
    chosen = [monitor.choose_host(ENGINES[0], 1.0) for _ in range(12)]
    assert {each.host for each in chosen if each} == set(HOSTS[:3])


def test_a_host_that_stops_is_not_asked_for_a_while() -> None:
    monitor = build_monitor()
    for host in HOSTS[1:]:
        monitor.record_unusable(host, 1.0)
    assert {monitor.choose_host(each, 1.5).host for each in ENGINES} == {HOSTS[0]}
    monitor.record_unusable(HOSTS[0], 1.5)
    assert not monitor.can_forward(ENGINES[0], 1.6)
    assert monitor.can_forward(ENGINES[0], 3.1)


def test_upstreams_that_have_left_the_registry_are_forgotten() -> None:
    monitor = build_monitor()
    for instance in ENGINES[:2]:
        monitor.record_unreachable(instance, 1.0)
    monitor.update_upstreams(dict.fromkeys(ENGINES[1:], ServiceName("engines")))
    assert list_cut(monitor) == set()


class ProbingFleet:
    """Hosts that all suspect their links to the same upstreams, before a pool without sockets.

    Attributes:
        attempts: Times of all attempts to connect to the first upstream.
    """

    def __init__(self, size: int) -> None:
        self.clock = Clock()
        self.upstreams = [build_upstream(number) for number in range(3)]
        self.attempts: list[float] = []
        self.reachable = False
        hosts = [HostId(f"host-{number}") for number in range(size)]
        draw = Random(1).random
        self.monitors = []
        for host in hosts:
            monitor = LinkMonitor(draw=draw)
            states = {each.instance: SimpleNamespace(record=each) for each in self.upstreams}
            monitor.update_upstreams({each.instance: each.service for each in self.upstreams})
            monitor.update_hosts(
                ForwardingHost(host=other, address="", port=0) for other in hosts if other != host
            )
            router: Any = SimpleNamespace(links=monitor, upstreams=states)
            pool: Any = self
            watch = LinkWatch(reactor=self.clock, host=host, router=router, pool=pool, draw=draw)
            for upstream in self.upstreams[:2]:
                monitor.record_unreachable(upstream.instance, 0.0)
                watch.handle_unreachable(upstream)
            self.monitors.append(monitor)

    def open(
        self, endpoint: Endpoint, *, on_open: Callable[[Any], None], on_failed: Callable[[], None]
    ) -> None:
        if endpoint.port == self.upstreams[0].port:
            self.attempts.append(self.clock.seconds())
        if self.reachable:
            on_open(None)
        else:
            on_failed()

    def put_idle(self, endpoint: Endpoint, connection: Any) -> None:
        pass

    def run(self, seconds: float) -> None:
        self.clock.pump([0.05] * round(seconds / 0.05))

    def count_restored(self) -> int:
        return sum(not each.is_cut(self.upstreams[0].instance) for each in self.monitors)


# Guards against sound upstreams that are tried by no host once all suspect their links, and against
# an upstream that each host of a large fleet tries every second.
@pytest.mark.parametrize(("size", "max_per_s"), [(1, 1.5), (8, 4.0), (371, 8.0)])
def test_links_that_all_hosts_suspect_are_tried_at_a_bounded_rate(
    size: int, max_per_s: float
) -> None:
    fleet = ProbingFleet(size)
    fleet.run(60.0)
    assert len(fleet.attempts) <= 60.0 * max_per_s
    assert len([each for each in fleet.attempts if each < 1.6]) >= 1
    fleet.reachable = True
    fleet.run(1.6)
    assert fleet.count_restored() >= 1
    fleet.run(1.5 * size)
    assert fleet.count_restored() == size

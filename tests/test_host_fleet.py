"""Several hosts over real datagrams, each on a loopback address of its own."""

import time
from collections import Counter
from dataclasses import replace

import pytest

from greengagestage.gateway import HostProcess
from greengagestage.ids import InstanceId
from greengagestage.routing import UpstreamLoad

from .host_harness import ROUTES, HostFleet, build_document, choose_port, running_fleet

HOSTS = 4


class TalkingHosts:
    """Hosts of two failure domains that know each other."""

    def __init__(self, fleet: HostFleet) -> None:
        self.fleet = fleet
        port = choose_port()
        self.processes = [
            fleet.start_host(
                f"host-{number}",
                address=f"127.0.0.{number + 1}",
                domain="ab"[number % 2],
                peer_port=port,
            )
            for number in range(HOSTS)
        ]
        fleet.turn_until(lambda: all(each._peers.active == HOSTS - 1 for each in self.processes))


@pytest.fixture
def hosts():
    with running_fleet() as fleet:
        fleet.add_upstream("one")
        yield TalkingHosts(fleet)


def read_others(process: HostProcess) -> int:
    """Return the requests of other hosts that a host knows of at the upstream."""
    state = process._router.upstreams[InstanceId("one")]
    return state.measure(0.0).requests - state.local_requests


def test_hosts_know_each_others_work(hosts: TalkingHosts) -> None:
    for number, process in enumerate(hosts.processes, 1):
        load = {InstanceId("one"): UpstreamLoad(tolerant=number, tokens=1_000)}
        events = process._peers._events
        process._peers._events = replace(events, measure_local_loads=lambda now_s, load=load: load)
    total = sum(range(1, HOSTS + 1))
    hosts.fleet.turn_until(
        lambda: all(
            read_others(process) == total - number
            for number, process in enumerate(hosts.processes, 1)
        )
    )


def test_two_hosts_watch_and_all_follow_a_change(hosts: TalkingHosts) -> None:
    fleet = hosts.fleet
    fleet.turn(1.5)
    fleet.store.calls.clear()
    fleet.turn(2.0)
    calls = Counter(fleet.store.calls)
    assert calls["/rows-feed"] <= 2 * 2.0 / 0.9 + 2
    assert calls["/rows-get"] <= 2.0 / 0.75 + 1
    fleet.store.put("op", "config", build_document(2, Routes=ROUTES[:1]))
    fleet.turn_until(
        lambda: all(
            each._configuration.table is not None and each._configuration.table.version == 2
            for each in hosts.processes
        )
    )


def test_a_registry_change_is_told_not_read(hosts: TalkingHosts) -> None:
    fleet = hosts.fleet
    fleet.turn(1.0)
    fleet.store.calls.clear()
    fleet.add_upstream("two")
    fleet.turn_until(lambda: all(len(each._router.upstreams) == 2 for each in hosts.processes))
    assert fleet.store.calls.count("/rows-get") <= 2


def test_a_process_that_stood_still_keeps_its_hub(hosts: TalkingHosts) -> None:
    """A second without processor time: the datagrams of that time are read after the timers run."""
    fleet = hosts.fleet
    fleet.turn(0.5)
    hubs = [process._peers._exchange.hub for process in hosts.processes]
    ranks = [process._peers.rank for process in hosts.processes]
    time.sleep(1.0)
    for _ in range(5):
        fleet.turn(0.02)
        assert [process._peers._exchange.hub for process in hosts.processes] == hubs
        assert [process._peers.rank for process in hosts.processes] == ranks

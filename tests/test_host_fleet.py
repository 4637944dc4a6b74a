"""Tests of several hosts that exchange real datagrams, each on its own loopback address."""

import time
from collections import Counter
from dataclasses import replace

import pytest

from greengagestage.gateway import HostProcess
from greengagestage.ids import InstanceId
from greengagestage.routing import UpstreamLoad

from .host_harness import ROUTES, HostFleet, build_document, choose_port, running_fleet

HOSTS = 4


class ConnectedHosts:
    """Running hosts in two failure domains that have received each other's reports."""

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
        fleet.run_until(
            lambda: all(each._peers.active_peers == HOSTS - 1 for each in self.processes)
        )


@pytest.fixture
def hosts():
    with running_fleet() as fleet:
        fleet.add_upstream("one")
        yield ConnectedHosts(fleet)


def count_remote_requests(process: HostProcess) -> int:
    """Return how many requests of other hosts at the upstream a host knows of."""
    state = process._router.upstreams[InstanceId("one")]
    return state.measure(0.0).requests - state.local_requests


def test_hosts_learn_each_others_load(hosts: ConnectedHosts) -> None:
    for number, process in enumerate(hosts.processes, 1):
        load = {InstanceId("one"): UpstreamLoad(tolerant_requests=number, tokens=1_000)}
        callbacks = process._peers._callbacks
        process._peers._callbacks = replace(
            callbacks, measure_local_loads=lambda now_s, load=load: load
        )
    total = sum(range(1, HOSTS + 1))
    hosts.fleet.run_until(
        lambda: all(
            count_remote_requests(process) == total - number
            for number, process in enumerate(hosts.processes, 1)
        )
    )


def test_two_hosts_watch_and_all_follow_a_change(hosts: ConnectedHosts) -> None:
    fleet = hosts.fleet
    fleet.run_for(1.5)
    fleet.store.calls.clear()
    fleet.run_for(2.0)
    calls = Counter(fleet.store.calls)
    assert calls["/rows-feed"] <= 2 * 2.0 / 0.9 + 2
    assert calls["/rows-get"] <= 2.0 / 0.75 + 1
    fleet.store.put("op", "config", build_document(2, Routes=ROUTES[:1]))
    fleet.run_until(
        lambda: all(
            each._configuration.table is not None and each._configuration.table.version == 2
            for each in hosts.processes
        )
    )


def test_a_registry_change_is_reported_instead_of_read_by_every_host(hosts: ConnectedHosts) -> None:
    fleet = hosts.fleet
    fleet.run_for(1.0)
    fleet.store.calls.clear()
    fleet.add_upstream("two")
    fleet.run_until(lambda: all(len(each._router.upstreams) == 2 for each in hosts.processes))
    assert fleet.store.calls.count("/rows-get") <= 2


def test_a_suspended_process_keeps_its_hub(hosts: ConnectedHosts) -> None:
    """After a second without CPU time, timers run before the waiting datagrams are read."""
    fleet = hosts.fleet
    fleet.run_for(0.5)
    hubs = [process._peers._load_exchange.hub for process in hosts.processes]
    ranks = [process._peers.rank for process in hosts.processes]
    time.sleep(1.0)
    for _ in range(5):
        fleet.run_for(0.02)
        assert [process._peers._load_exchange.hub for process in hosts.processes] == hubs
        assert [process._peers.rank for process in hosts.processes] == ranks

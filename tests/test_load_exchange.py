"""Tests of the load exchange between hosts, with a simulated clock and network."""

from collections import Counter
from functools import partial
from random import Random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from greengagestage.gateway.peers._load_exchange import (
    MAX_HUB_DATAGRAMS_PER_S,
    REPORT_LIFETIME_S,
    LoadExchange,
)
from greengagestage.gateway.peers._peer_messages import (
    MAX_DATAGRAM_BYTES,
    PROTOCOL_VERSION,
    DemandEntry,
    LoadEntry,
    LoadsReport,
    PeerMessage,
    Sender,
    TotalsReport,
    UrgencyEntry,
    Work,
    encode_message,
)
from greengagestage.gateway.peers._report_parts import split_reports
from greengagestage.gateway.peers._work_sums import (
    MAX_LOADS,
    add_work,
    subtract_work,
)
from greengagestage.ids import FailureDomain, HostId, ServiceName

SETTLE_S = 6.0
"""Time in which dead hubs of each domain are replaced one after the other and old sums expire."""


def build_work(number: int) -> Work:
    service = ServiceName("engines")
    return Work(
        [LoadEntry(number % 7, 10 + number, 1, number % 3, 5, 40, 0), LoadEntry(99, 0, 1, 0, 1)],
        [DemandEntry(service, number, 2 * number)],
    )


class SimulatedFleet:
    """Hosts in failure domains on a network that may lose datagrams; hosts can be suspended."""

    def __init__(self, *, hosts: int, domains: int, loss_rate: float = 0.0, seed: int = 1) -> None:
        self.random = Random(seed)
        self.loss_rate = loss_rate
        self.now_s = 0.0
        self.suspended: set[HostId] = set()
        self.received: Counter[HostId] = Counter()
        self.sent: Counter[HostId] = Counter()
        self.domains = {
            HostId(f"h{number:03}"): FailureDomain(f"d{number % domains}")
            for number in range(hosts)
        }
        self.work = {host: build_work(number) for number, host in enumerate(self.domains)}
        self.exchanges: dict[HostId, LoadExchange] = {}
        self.sequences: Counter[HostId] = Counter()
        self.next_round_s: dict[HostId, float] = {}
        for host in self.domains:
            self.start(host, known=list(self.domains))

    def start(self, host: HostId, known: list[HostId]) -> None:
        exchange = LoadExchange(host=host, domain=self.domains[host])
        for other in known:
            exchange.add_host(other, self.domains[other])
        self.exchanges[host] = exchange
        self.next_round_s[host] = self.now_s + 0.3 * self.random.random()

    def run(self, duration_s: float) -> None:
        end_s = self.now_s + duration_s
        while self.now_s < end_s:
            host = min(self.next_round_s, key=lambda each: self.next_round_s[each])
            self.now_s = max(self.now_s, self.next_round_s[host])
            exchange = self.exchanges[host]
            self.next_round_s[host] += exchange.interval_s
            if host not in self.suspended:
                self.run_round(host, exchange)

    def run_round(self, host: HostId, exchange: LoadExchange) -> None:
        self.sequences[host] += 1
        sequence = self.sequences[host]
        for target, body in exchange.plan_reports(self.work[host], sequence, self.now_s):
            self.sent[host] += 1
            if isinstance(body, LoadsReport):
                self.sequences[host] += 1
                sequence = self.sequences[host]
            message = PeerMessage(Sender(PROTOCOL_VERSION, host, 1, sequence), body)
            assert len(encode_message(message)) <= MAX_DATAGRAM_BYTES
            if target in self.suspended or self.random.random() < self.loss_rate:
                continue
            self.received[target] += 1
            self.exchanges[target].receive(message, self.now_s)

    def check_sums(self) -> None:
        """Assert that every live host knows the work of all other live hosts."""
        live = [host for host in self.domains if host not in self.suspended]
        for host in live:
            others = add_work(self.work[other] for other in live if other != host)
            assert self.exchanges[host].sum_peer_work(self.now_s) == others, host
            assert self.exchanges[host].active_hosts == len(live)


@pytest.mark.parametrize(("hosts", "domains"), [(1, 1), (8, 3), (9, 4), (58, 4), (84, 4)])
def test_every_host_knows_the_work_of_all_others(hosts: int, domains: int) -> None:
    fleet = SimulatedFleet(hosts=hosts, domains=domains)
    fleet.run(SETTLE_S)
    fleet.check_sums()
    ranks = [exchange.rank for exchange in fleet.exchanges.values()]
    assert sorted(ranks)[: min(hosts, domains)] == list(range(min(hosts, domains)))
    assert len(set(ranks)) == len(ranks)


@settings(max_examples=30, deadline=None)
@given(
    lost_numbers=st.sets(st.integers(0, 11), max_size=10),
    returned_numbers=st.sets(st.integers(0, 11), max_size=4),
    seed=st.integers(0, 99),
)
def test_lost_hosts_expire_and_returning_hosts_are_included(
    lost_numbers, returned_numbers, seed
) -> None:
    """Several hosts are lost at once, possibly hubs among them, and some return."""
    fleet = SimulatedFleet(hosts=12, domains=3, seed=seed)
    fleet.run(SETTLE_S)
    hosts = list(fleet.domains)
    fleet.suspended = {hosts[number] for number in lost_numbers}
    fleet.run(SETTLE_S)
    fleet.check_sums()
    fleet.suspended -= {hosts[number] for number in returned_numbers}
    fleet.run(SETTLE_S)
    fleet.check_sums()


def test_an_added_host_announces_itself() -> None:
    """A host whose id is lower than the hub's joins a running fleet and becomes the hub."""
    fleet = SimulatedFleet(hosts=9, domains=3)
    fleet.run(SETTLE_S)
    added = HostId("a000")
    fleet.domains = {added: FailureDomain("d0"), **fleet.domains}
    fleet.work[added] = build_work(50)
    fleet.start(added, known=list(fleet.domains))
    fleet.run(SETTLE_S)
    fleet.check_sums()
    assert fleet.exchanges[HostId("h000")].hub == added


def test_a_frozen_hub_is_replaced_before_its_sums_expire() -> None:
    fleet = SimulatedFleet(hosts=8, domains=2)
    fleet.run(SETTLE_S)
    fleet.suspended = {HostId("h000")}
    for _ in range(12):
        fleet.run(0.2)
        assert fleet.exchanges[HostId("h003")].sum_peer_work(fleet.now_s).loads
    fleet.check_sums()


@pytest.mark.parametrize("suspended_host", ["h003", "h000"])
def test_a_suspended_host_does_not_consider_others_unresponsive(suspended_host: str) -> None:
    """After a second without CPU time, the first round runs before waiting datagrams are read."""
    fleet = SimulatedFleet(hosts=8, domains=2)
    fleet.run(SETTLE_S)
    host = HostId(suspended_host)
    fleet.suspended = {host}
    fleet.run(1.0)
    fleet.suspended = set()
    fleet.next_round_s[host] = fleet.now_s
    hub, contacts = fleet.exchanges[host].hub, dict(fleet.exchanges[host]._remote_hubs)
    fleet.run_round(host, fleet.exchanges[host])
    assert fleet.exchanges[host].hub == hub
    assert not fleet.exchanges[host]._unresponsive
    assert {d: c for d, (c, _) in fleet.exchanges[host]._remote_hubs.items()} == {
        d: c for d, (c, _) in contacts.items()
    }


def test_an_isolated_host_expires_the_reports_of_the_others() -> None:
    fleet = SimulatedFleet(hosts=8, domains=2)
    fleet.run(SETTLE_S)
    fleet.suspended = set(fleet.domains) - {HostId("h003")}
    fleet.run(REPORT_LIFETIME_S + 0.5)
    assert fleet.exchanges[HostId("h003")].sum_peer_work(fleet.now_s) == Work()


def test_lost_datagrams_do_not_change_the_hubs() -> None:
    fleet = SimulatedFleet(hosts=12, domains=3, loss_rate=0.03)
    fleet.run(SETTLE_S)
    hubs = {host: exchange.hub for host, exchange in fleet.exchanges.items()}
    for _ in range(20):
        fleet.run(0.5)
        assert {host: exchange.hub for host, exchange in fleet.exchanges.items()} == hubs


@pytest.mark.parametrize(
    ("hosts", "domains", "upstreams", "parts"),
    [(9, 4, 8, 1), (58, 4, 8, 1), (84, 4, 8, 1), (371, 7, 8, 1), (58, 4, 60, 1), (58, 4, 150, 3)],
)
def test_datagram_rate_is_bounded_for_any_fleet_size(
    hosts: int, domains: int, upstreams: int, parts: int
) -> None:
    """Even if work changes all the time, no host exceeds the datagram rate of a hub."""
    fleet = SimulatedFleet(hosts=hosts, domains=domains)
    build = build_work if upstreams == 8 else partial(build_host_work, upstreams)
    fleet.work = {host: build(position) for position, host in enumerate(fleet.work)}
    fleet.run(1.5)
    fleet.sent.clear()
    fleet.received.clear()
    for number in range(10):
        fleet.work = {host: build(number + position) for position, host in enumerate(fleet.work)}
        fleet.run(0.2)
    max_datagrams_per_s = (
        max(fleet.sent[host] + fleet.received[host] for host in fleet.domains) / 2.0
    )
    assert max_datagrams_per_s <= MAX_HUB_DATAGRAMS_PER_S * 1.1
    mean_datagrams_per_s = sum(fleet.sent.values()) / 2.0 / hosts
    assert mean_datagrams_per_s <= 2.5 * parts / fleet.exchanges[HostId("h000")].interval_s


WORK_LISTS = st.lists(
    st.builds(
        Work,
        st.lists(
            st.builds(
                LoadEntry,
                st.integers(1, 5),
                *[st.integers(0, 9)] * 7,
            ),
            max_size=4,
            unique_by=lambda entry: entry.upstream,
        ),
        st.lists(
            st.builds(
                DemandEntry,
                st.sampled_from(["one", "two"]),
                st.integers(0, 9),
                st.integers(0, 9),
                urgencies=st.lists(
                    st.builds(UrgencyEntry, st.integers(0, 3), *[st.integers(0, 9)] * 5),
                    max_size=3,
                    unique_by=lambda entry: entry.urgency,
                ),
            ),
            max_size=2,
            unique_by=lambda entry: entry.service,
        ),
    ),
    max_size=5,
)


@given(WORK_LISTS)
def test_subtracting_a_part_gives_the_sum_of_the_others(works: list[Work]) -> None:
    total = add_work(works)
    for position, work in enumerate(works):
        others = add_work(
            each for other_position, each in enumerate(works) if other_position != position
        )
        assert subtract_work(total, work) == others


def build_host_work(upstreams: int, number: int) -> Work:
    """Return the work of one of several hosts with load at many upstreams."""
    loads = [LoadEntry(2**32 - 1 - n, 40 + n + number, 1, 2, 30, 60) for n in range(upstreams)]
    return Work(loads, build_work(number).demands)


def build_large_work(upstreams: int) -> Work:
    """Return the work of many hosts: load at many upstreams, and demand of ten urgencies."""
    loads = [
        LoadEntry(2**32 - 1 - n, 30_000 + n, 60, 60, 5_000, 9_000, 9, 3_000)
        for n in range(upstreams)
    ]
    urgencies = [UrgencyEntry(each, 20_000, 20_000, 9_000, 9_000, 20_000) for each in range(10)]
    demands = [
        DemandEntry(ServiceName(f"service-{each}"), 9_000, 9_000, [], [], urgencies)
        for each in range(3)
    ]
    return Work(loads, demands)


def test_work_at_very_many_upstreams_is_limited_to_the_busiest() -> None:
    total = add_work([Work(build_large_work(300).loads)])
    assert len(total.loads) == MAX_LOADS
    assert total.loads[0].prefill_ms == 30_299


# Guards against loads that are left out although they keep an upstream busy without any prefill.
def test_upstreams_with_many_streams_are_reported_before_idle_ones() -> None:
    streaming = LoadEntry(1, 0, 4, 12, 300)
    nearly_idle = [LoadEntry(number, 300, 0, 1, 20) for number in range(2, 302)]
    assert add_work([Work([*nearly_idle, streaming])]).loads[0] == streaming


# Guards against reports that are too large to be read, since demand and load share a datagram.
def test_work_with_demand_of_every_urgency_fits_into_a_datagram() -> None:
    work = build_large_work(300)
    total = add_work([work])
    assert [entry.urgencies for entry in total.demands] == [
        entry.urgencies for entry in work.demands
    ]
    host = HostId("front-csepel-a-100")
    reports = split_reports([(host, TotalsReport(2**32 - 1, 300, 371, total))], 2**32 - 2)
    assert len(reports) == 4
    sender = Sender(PROTOCOL_VERSION, host, 2**42, 2**32 - 1)
    for _, report in reports:
        assert len(encode_message(PeerMessage(sender, report))) <= MAX_DATAGRAM_BYTES
    first = reports[0][1]
    assert isinstance(first, TotalsReport)
    assert len(first.work.loads) >= 30


# Guards against engines that look idle to all hosts because a report has no room for their load.
@pytest.mark.parametrize("loss_rate", [0.0, 0.02])
@pytest.mark.parametrize("upstreams", [60, 150])
def test_work_at_more_upstreams_than_fit_into_a_datagram_is_known_to_every_host(
    upstreams: int, loss_rate: float
) -> None:
    fleet = SimulatedFleet(hosts=12, domains=4, loss_rate=loss_rate)
    fleet.work = {
        host: build_host_work(upstreams, number) for number, host in enumerate(fleet.domains)
    }
    fleet.run(SETTLE_S)
    fleet.loss_rate = 0.0
    fleet.run(1.0)
    fleet.check_sums()
    for exchange in fleet.exchanges.values():
        assert len(exchange.sum_peer_work(fleet.now_s).loads) == upstreams

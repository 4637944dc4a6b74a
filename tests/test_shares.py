"""Tests of the split of slots: within each upstream's slots, a slot in every pool, the same on
every host."""

from hypothesis import given
from hypothesis import strategies as st

from greengagestage.ids import HostId, PoolName, UpstreamName
from greengagestage.membership import HostDemand, SharedUpstream, compute_shares

POOLS = [PoolName("small"), PoolName("large"), PoolName("archive")]

hosts_strategy = st.lists(
    st.builds(
        HostDemand,
        host=st.integers(0, 30).map(lambda n: HostId(f"host-{n}")),
        demand=st.dictionaries(st.sampled_from(POOLS), st.floats(0, 100)),
    ),
    min_size=1,
    max_size=12,
    unique_by=lambda item: item.host,
)
upstreams_strategy = st.lists(
    st.builds(
        SharedUpstream,
        name=st.integers(0, 30).map(lambda n: UpstreamName(f"engine-{n}")),
        slots=st.integers(1, 40),
        pools=st.lists(st.sampled_from(POOLS), min_size=1, max_size=2, unique=True).map(tuple),
    ),
    max_size=6,
    unique_by=lambda item: item.name,
)


@given(hosts_strategy, upstreams_strategy)
def test_all_slots_are_assigned_and_every_host_is_served(
    hosts: list[HostDemand], upstreams: list[SharedUpstream]
) -> None:
    shares = compute_shares(hosts, upstreams)
    for pool in POOLS:
        members = [upstream for upstream in upstreams if pool in upstream.pools]
        for host in hosts:
            served = sum(shares[host.host][upstream.name] for upstream in members)
            assert served >= min(len(members), 1)
    for upstream in upstreams:
        total = sum(split[upstream.name] for split in shares.values())
        # A pool with fewer slots than hosts gives one extra slot to each host left without one.
        extra = sum(_count_possible_extra_slots(pool, hosts, upstreams) for pool in upstream.pools)
        assert upstream.slots <= total <= upstream.slots + extra


def _count_possible_extra_slots(
    pool: PoolName, hosts: list[HostDemand], upstreams: list[SharedUpstream]
) -> int:
    slots = sum(upstream.slots for upstream in upstreams if pool in upstream.pools)
    return len(hosts) if slots < 2 * len(hosts) else 0


@given(hosts_strategy, upstreams_strategy, st.randoms(use_true_random=False))
def test_input_order_does_not_change_the_shares(
    hosts: list[HostDemand], upstreams: list[SharedUpstream], random: object
) -> None:
    expected = compute_shares(hosts, upstreams)
    random.shuffle(hosts)  # type: ignore[attr-defined]
    random.shuffle(upstreams)  # type: ignore[attr-defined]
    assert compute_shares(hosts, upstreams) == expected


def build_hosts(*demands: float) -> list[HostDemand]:
    return [
        HostDemand(host=HostId(f"host-{number}"), demand={POOLS[0]: demand})
        for number, demand in enumerate(demands)
    ]


ENGINE = SharedUpstream(name=UpstreamName("engine"), slots=20, pools=(POOLS[0],))


def test_demand_decides_half_of_the_spare_slots() -> None:
    engine = SharedUpstream(name=UpstreamName("engine"), slots=22, pools=(POOLS[0],))
    shares = compute_shares(build_hosts(9, 0), [engine])
    assert [split[engine.name] for split in shares.values()] == [16, 6]


def test_slots_are_split_evenly_without_demand() -> None:
    shares = compute_shares(build_hosts(0, 0, 0, 0), [ENGINE])
    assert [split[ENGINE.name] for split in shares.values()] == [5, 5, 5, 5]


def test_removed_host_changes_few_assignments() -> None:
    hosts = [HostDemand(host=HostId(f"host-{number}")) for number in range(40)]
    engines = [
        SharedUpstream(name=UpstreamName(f"engine-{n}"), slots=32, pools=(POOLS[0],))
        for n in range(40)
    ]
    before, after = compute_shares(hosts, engines), compute_shares(hosts[1:], engines)
    moved = sum(
        bool(before[host.host][engine.name]) != bool(after[host.host][engine.name])
        for host in hosts[1:]
        for engine in engines
    )
    assert moved <= sum(bool(before[hosts[0].host][engine.name]) for engine in engines)

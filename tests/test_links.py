"""Decisions about cut links, without network."""

from greengagestage.ids import HostId, InstanceId, ServiceName
from greengagestage.routing import ForwardingHost, LinkMonitor

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

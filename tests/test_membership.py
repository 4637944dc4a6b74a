"""Tests of the membership: failure detection, leaving hosts, and propagation to all hosts."""

import pytest

from greengagestage.ids import ConfigurationVersion, Fingerprint, HostId, UpstreamName
from greengagestage.membership import (
    FingerprintQuarantined,
    RemoteCrashReported,
    UpstreamsChanged,
    VersionAnnounced,
)
from greengagestage.membership._records import CRASH_LIFETIME_S
from greengagestage.wire import LoadRecord, MemberState

from .membership_fleet import TIMES, MembershipFleet

ENGINE = UpstreamName("engine-1")
FIRST, LAST = HostId("host-0"), HostId("host-8")


@pytest.fixture
def fleet() -> MembershipFleet:
    fleet = MembershipFleet(size=9, domains=3)
    fleet.run(30)
    return fleet


def test_all_hosts_find_each_other(fleet: MembershipFleet) -> None:
    assert fleet.all_views_match(set(fleet.members))
    assert fleet.has_converged()


def test_late_host_is_known_within_two_heartbeats(fleet: MembershipFleet) -> None:
    fleet.start_host(HostId("host-9"))
    fleet.run(2 * TIMES.gossip_interval_s)
    assert fleet.all_views_match(set(fleet.members))


def test_killed_host_is_gone_within_the_bound(fleet: MembershipFleet) -> None:
    fleet.kill(FIRST)
    fleet.run(TIMES.suspect_after_s + TIMES.gone_after_s + 3 * TIMES.gossip_interval_s)
    assert fleet.all_views_match(set(fleet.members))


def test_leaving_host_stops_being_a_member_at_once_and_is_then_gone(fleet: MembershipFleet) -> None:
    fleet.members[FIRST].set_state(MemberState.LEAVING, fleet.now_s)
    fleet.collect()
    fleet.deliver_all()
    assert fleet.all_views_match(set(fleet.members) - {FIRST})
    fleet.kill(FIRST)
    fleet.run(20)
    record = fleet.members[LAST].records.find_host(FIRST)
    assert record is not None and record.state is MemberState.GONE


@pytest.mark.parametrize("incarnation", [None, 3], ids=["newer clock", "older clock"])
def test_replaced_host_with_the_same_name_is_accepted(
    fleet: MembershipFleet, incarnation: int | None
) -> None:
    fleet.kill(FIRST)
    fleet.start_host(FIRST, incarnation)
    fleet.run(40)
    assert fleet.all_views_match(set(fleet.members))
    assert fleet.has_converged()


def test_false_gone_state_is_refuted(fleet: MembershipFleet) -> None:
    fleet.members[LAST]._set_host_state(FIRST, MemberState.GONE, fleet.now_s)
    fleet.run(5)
    assert fleet.all_views_match(set(fleet.members))


def test_paused_host_suspects_nobody(fleet: MembershipFleet) -> None:
    before = {host: member.own.sequence for host, member in fleet.members.items()}
    paused = fleet.members.pop(FIRST)
    fleet.now_s += 60
    fleet.members[FIRST] = paused
    fleet.packets.clear()
    fleet.tick(FIRST)
    assert {r.state for r in paused.records.list_hosts()} == {MemberState.LIVE}
    assert before == {host: member.own.sequence for host, member in fleet.members.items()}


def test_partition_between_domains_heals(fleet: MembershipFleet) -> None:
    for other in ("domain-1", "domain-2"):
        fleet.partition("domain-0", other)
    fleet.run(60)
    assert len(fleet.get_view(FIRST)) == 3
    fleet.partitions.clear()
    fleet.run(60)
    assert fleet.all_views_match(set(fleet.members))
    assert fleet.has_converged()


def test_upstream_mark_reaches_all_hosts_despite_message_loss(fleet: MembershipFleet) -> None:
    fleet.members[FIRST].mark_upstream(ENGINE, True, fleet.now_s)
    fleet.run(30, loss_rate=0.3)
    fleet.run(20)
    assert all(member.is_leaving(ENGINE) for member in fleet.members.values())
    assert fleet.all_views_match(set(fleet.members))


@pytest.mark.parametrize("size", [2, 9, 40])
def test_leaving_upstream_is_known_everywhere_without_a_heartbeat(size: int) -> None:
    fleet = MembershipFleet(size=size, domains=3)
    fleet.run(40)
    fleet.members[FIRST].mark_upstream(ENGINE, True, fleet.now_s)
    fleet.collect()
    fleet.deliver_all()
    assert all(member.is_leaving(ENGINE) for member in fleet.members.values())
    assert UpstreamsChanged(upstreams=frozenset([ENGINE])) in fleet.changes[HostId("host-1")]


def test_outdated_mark_does_not_restore_a_leaving_upstream(fleet: MembershipFleet) -> None:
    first = fleet.members[FIRST]
    first.mark_upstream(ENGINE, True, fleet.now_s)
    first.mark_upstream(ENGINE, False, fleet.now_s)
    old = first.records.find_mark(ENGINE)
    first.mark_upstream(ENGINE, True, fleet.now_s)
    assert old is not None
    fleet.run(2)
    for member in fleet.members.values():
        member._merge(old, LAST, fleet.now_s)
        assert member.is_leaving(ENGINE)


def test_version_in_force_is_announced_to_other_hosts(fleet: MembershipFleet) -> None:
    fleet.members[FIRST].set_version(ConfigurationVersion(7))
    fleet.run(2)
    announcements = [
        c for changes in fleet.changes.values() for c in changes if isinstance(c, VersionAnnounced)
    ]
    assert {change.version for change in announcements} == {7}


def test_loads_reach_all_hosts_and_the_newest_wins(fleet: MembershipFleet) -> None:
    new = LoadRecord(upstream=ENGINE, running=5, waiting=1, age_ms=100)
    old = LoadRecord(upstream=ENGINE, running=0, waiting=0, age_ms=2000)
    fleet.members[FIRST].store_load(new, fleet.now_s)
    fleet.members[LAST].store_load(old, fleet.now_s)
    fleet.run(4)
    assert {m.measurements.loads[ENGINE].running for m in fleet.members.values()} == {5}


def test_crash_is_reported_once_to_every_other_host(fleet: MembershipFleet) -> None:
    poison = Fingerprint("poison")
    fleet.members[FIRST].report_crash(poison, ENGINE, fleet.now_s)
    fleet.run(3)
    report = RemoteCrashReported(fingerprint=poison, upstream=ENGINE)
    counts = {host: changes.count(report) for host, changes in fleet.changes.items()}
    assert counts == {host: 0 if host == FIRST else 1 for host in fleet.members}


def test_expired_crash_is_not_reported_to_a_new_host(fleet: MembershipFleet) -> None:
    fleet.members[FIRST].report_crash(Fingerprint("poison"), ENGINE, fleet.now_s)
    fleet.run(CRASH_LIFETIME_S + 15)
    new_host = fleet.start_host(HostId("host-9"))
    fleet.run(15)
    assert new_host.own.host in fleet.get_view(FIRST)
    assert not [c for c in fleet.changes[new_host.own.host] if isinstance(c, RemoteCrashReported)]


def test_quarantine_reaches_all_hosts(fleet: MembershipFleet) -> None:
    fleet.members[FIRST].quarantine(Fingerprint("poison"), fleet.now_s)
    fleet.run(2)
    notice = FingerprintQuarantined(fingerprint=Fingerprint("poison"))
    assert all(changes.count(notice) == 1 for changes in fleet.changes.values())


def count_messages_per_host_per_s(size: int) -> float:
    fleet = MembershipFleet(size=size, domains=3)
    fleet.run(40)
    before = fleet.packets_sent
    fleet.run(60)
    return (fleet.packets_sent - before) / size / 60


def test_messages_per_host_do_not_grow_with_the_fleet() -> None:
    assert count_messages_per_host_per_s(48) <= 1.2 * count_messages_per_host_per_s(12)


def test_longest_gossip_path_is_short_in_a_large_fleet() -> None:
    fleet = MembershipFleet(size=150, domains=7)
    records = [member.own for member in fleet.members.values()]
    for member in fleet.members.values():
        for record in records:
            member.records.merge(record, 0.0)
        member._hosts_changed = True
        member._update_neighbours()
    reached, steps = {records[0].host}, 0
    frontier: set[HostId] = set(reached)
    while frontier:
        frontier = {
            record.host for host in frontier for record in fleet.members[host].neighbours
        } - reached
        reached |= frontier
        steps += 1
    assert len(reached) == 150
    assert steps <= 8


def test_unwatched_dead_host_is_detected_by_synchronization(fleet: MembershipFleet) -> None:
    fleet.kill(FIRST)
    for member in fleet.members.values():
        member._detector.record_heartbeat(FIRST, watched=False, now_s=fleet.now_s)
    fleet.run(120)
    assert fleet.all_views_match(set(fleet.members))


def test_older_load_does_not_replace_a_newer_one(fleet: MembershipFleet) -> None:
    measurements = fleet.members[FIRST].measurements
    for age_ms, running in ((100, 5), (2000, 0)):
        record = LoadRecord(upstream=ENGINE, running=running, waiting=0, age_ms=age_ms)
        measurements.merge_load(record, LAST, fleet.now_s)
    assert measurements.loads[ENGINE].running == 5

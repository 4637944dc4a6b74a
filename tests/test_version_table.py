"""The table of software versions: what hosts that start learn from it, and what it costs."""

import pytest

from greengagestage.gateway.watches._version_rows import decode_row, encode_row
from greengagestage.ids import SoftwareVersion
from greengagestage.routing import VersionRecord

from .catalog_builders import ENGINES
from .version_fleet import TABLE, VersionFleet

OLD, NEW = "v1", "v2"


def run_system(*listed: str | None, hosts: int = 3) -> VersionFleet:
    """Run a system from its first start until its history is complete."""
    fleet = VersionFleet(*listed)
    fleet.start(hosts, first_start=True)
    fleet.run(40.0)
    return fleet


# Load scenario: all hosts new, the old version gone 1 s before, a stream of 8 s ago.
def test_replaced_hosts_know_a_version_that_left_before_their_start() -> None:
    fleet = run_system(OLD)
    fleet.list(OLD, NEW)
    fleet.run(7.0)
    fleet.list(NEW)
    fleet.run(1.0)
    fleet.kill_all()
    host, *_ = fleet.start(3)
    for _ in range(28):
        fleet.run(1.0)
        assert host.find() is None
    fleet.run(2.0)
    assert host.find() == NEW


# Load scenario: all hosts are killed while both versions serve; the old one leaves meanwhile.
def test_a_version_that_left_while_no_host_ran_still_counts() -> None:
    fleet = run_system(OLD)
    fleet.list(OLD, NEW)
    fleet.run(7.0)
    fleet.kill_all()
    fleet.listed = (NEW,)
    (host,) = fleet.start()
    fleet.run(29.0)
    assert host.find() is None
    fleet.run(2.0)
    assert host.find() == NEW


# Guards against a guess while the store does not tell what served before.
def test_replaced_hosts_refuse_while_the_table_cannot_be_read() -> None:
    fleet = run_system(OLD)
    fleet.kill_all()
    fleet.store.available = False
    host, *_ = fleet.start(3, first_start=True)
    fleet.run(20.0)
    assert host.find() is None
    fleet.store.available = True
    fleet.run(1.0)
    assert host.find() == OLD


# Guards against a row of an older copy of the store, which lacks the newest changes.
@pytest.mark.parametrize("lost", ["all rows", "the last change"])
def test_a_row_from_an_older_copy_proves_nothing(lost: str) -> None:
    fleet = run_system(OLD)
    copy = fleet.store.tables.copy()
    if lost == "all rows":
        copy.remove(TABLE, ENGINES)
    fleet.list(OLD, NEW)
    fleet.run(7.0)
    fleet.kill_all()
    fleet.store.tables.restore(copy)
    fleet.listed = (OLD,)
    host, *_ = fleet.start(3)
    fleet.run(29.0)
    assert host.find("begun at v2") is None
    fleet.run(3.0)
    assert host.find("begun at v2") == OLD


# Guards against refusals after a restored copy although the other hosts know the history.
def test_running_hosts_write_the_rows_again_in_a_new_era() -> None:
    fleet = run_system(OLD)
    copy = fleet.store.tables.copy()
    fleet.list(OLD, NEW)
    fleet.run(7.0)
    fleet.list(NEW)
    fleet.run(1.0)
    fleet.store.tables.restore(copy)
    writes = fleet.store.writes
    for host in fleet.hosts:
        host.era.observe(fleet.store.tables.era)
    fleet.run(2.0)
    assert fleet.store.writes == writes + 1
    (alone,) = fleet.start()
    fleet.run(1.0)
    assert alone.versions.history.is_complete(ENGINES, fleet.clock.seconds())
    assert alone.find() is None
    fleet.run(30.0)
    assert alone.find() == NEW


# Guards against a row that lacks a version which only some hosts have seen: the host that writes
# first in a new era was cut off while the version came and went.
def test_hosts_add_what_a_row_of_a_new_era_lacks() -> None:
    fleet = run_system(OLD)
    copy = fleet.store.tables.copy()
    cut_off = fleet.hosts.pop(0)
    fleet.list(OLD, NEW)
    fleet.run(7.0)
    fleet.list(OLD)
    fleet.run(1.0)
    fleet.store.tables.restore(copy)
    fleet.hosts.insert(0, cut_off)
    for host in fleet.hosts:
        host.era.observe(fleet.store.tables.era)
    fleet.run(3.0)
    (alone,) = fleet.start()
    fleet.run(1.0)
    assert alone.find("begun at v2") is None
    fleet.run(30.0)
    assert alone.find() == OLD


# Guards against needless refusals: the row of a host that knew nothing is completed by the others.
def test_hosts_complete_the_row_of_a_host_that_knows_less() -> None:
    fleet = run_system(OLD)
    fleet.store.tables.remove(TABLE, ENGINES)
    (alone,) = fleet.start()
    fleet.run(6.0)
    assert alone.find() == OLD


# Guards against calls to the store that grow with the number of hosts.
def test_a_change_is_written_once_and_each_host_reads_once() -> None:
    fleet = run_system(OLD, hosts=80)
    reads, writes = fleet.store.reads, fleet.store.writes
    assert reads == 80
    fleet.list(OLD, NEW)
    fleet.run(10.0)
    fleet.list(NEW)
    fleet.run(10.0)
    assert (fleet.store.reads - reads, fleet.store.writes - writes) == (0, 2)
    fleet.start()
    fleet.run(10.0)
    assert (fleet.store.reads - reads, fleet.store.writes - writes) == (1, 2)


# Guards against streams at a new version while the store could not be written.
def test_a_new_version_waits_for_the_store_if_another_serves() -> None:
    fleet = run_system(OLD)
    fleet.store.available = False
    fleet.list(OLD, NEW)
    fleet.run(10.0)
    host, new = fleet.hosts[0], SoftwareVersion(NEW)
    assert not host.versions.is_settled(ENGINES, new, fleet.clock.seconds())
    fleet.store.available = True
    fleet.run(1.0)
    assert all(
        each.versions.is_settled(ENGINES, new, fleet.clock.seconds()) for each in fleet.hosts
    )


# Guards against streams at a version without a record because a read fails in a new era.
def test_a_failed_read_in_a_new_era_does_not_let_unrecorded_versions_begin() -> None:
    fleet = run_system(OLD)
    fleet.store.tables.restore(fleet.store.tables.copy())
    fleet.store.available = False
    for host in fleet.hosts:
        host.era.observe(fleet.store.tables.era)
    fleet.list(NEW)
    fleet.run(1.0)
    now_s, new = fleet.clock.seconds(), SoftwareVersion(NEW)
    assert not any(host.versions.list_beginnings(ENGINES, {new}, now_s) for host in fleet.hosts)


# Guards against streams at a version that left, came back, and is not recorded as listed.
def test_a_version_that_returns_is_recorded_again_before_streams_begin() -> None:
    fleet = run_system(OLD, NEW)
    fleet.list(NEW)
    fleet.run(5.0)
    fleet.store.available = False
    fleet.list(OLD, NEW)
    fleet.run(5.0)
    host, old = fleet.hosts[0], SoftwareVersion(OLD)
    assert not host.versions.is_settled(ENGINES, old, fleet.clock.seconds())
    fleet.store.available = True
    fleet.run(1.0)
    assert host.versions.is_settled(ENGINES, old, fleet.clock.seconds())


# Guards against hosts that stay without a new version because each report was lost.
def test_hosts_learn_a_row_whose_reports_were_lost() -> None:
    fleet = run_system(OLD)
    fleet.loses_reports = True
    fleet.list(OLD, NEW)
    fleet.run(5.0)
    now_s = fleet.clock.seconds()
    new = SoftwareVersion(NEW)
    assert all(host.versions.is_settled(ENGINES, new, now_s) for host in fleet.hosts)


# Guards against upstreams without a version that are confused with those of an empty one.
@pytest.mark.parametrize("listed", [(None,), ("",), (None, "")])
def test_versions_that_are_not_stated_are_kept_apart(listed: tuple[str | None, ...]) -> None:
    fleet = run_system(*listed)
    fleet.kill_all()
    (host,) = fleet.start()
    fleet.run(0.5)
    known = host.versions.history.describe(ENGINES, fleet.clock.seconds())
    assert known.listed == frozenset(listed)


# Guards against times that become earlier, and versions that are forgotten too soon, on their way
# through the store.
def test_times_are_the_same_on_another_host() -> None:
    record = VersionRecord(
        complete_since_s=50.0,
        last_listed_s={SoftwareVersion(OLD): 97.0, SoftwareVersion(NEW): None, None: 99.0},
    )
    value = encode_row(record, era=2, now_s=100.0, store_s=7.0)
    assert decode_row(value, era=2, now_s=1_003.0, store_s=10.0) == VersionRecord(
        complete_since_s=950.0,
        last_listed_s={SoftwareVersion(OLD): 997.0, SoftwareVersion(NEW): None, None: 999.0},
    )
    assert decode_row(value, era=3, now_s=1_003.0, store_s=10.0) is None
    assert decode_row(b"[]", era=2, now_s=1_003.0, store_s=10.0) is None

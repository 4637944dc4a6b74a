"""Tests of hosts whose store comes back from an older copy and gives out its revisions again."""

from base64 import b64encode
from random import Random

import pytest
from twisted.internet.defer import Deferred
from twisted.internet.task import Clock

from greengagestage.catalog import Availability, Bounds, HostSettings, RouteTable
from greengagestage.gateway import HostProcess, _host
from greengagestage.gateway.peers._peer_messages import ConfigurationReport, RegistryReport
from greengagestage.gateway.watches._host_list import HostList
from greengagestage.gateway.watches._registry_watch import RegistryWatch
from greengagestage.gateway.watches._route_watch import RouteWatch
from greengagestage.gateway.watches._store_era import StoreEra
from greengagestage.http1 import Endpoint, IncomingRequest, Responder
from greengagestage.ids import FailureDomain, HostId
from greengagestage.outcomes import Unavailable, Unknown
from greengagestage.platform import HistoryLost, RowClient, RowsRead, StoredRow, Transaction
from greengagestage.services import (
    ABSENT,
    PRODUCT_TABLE,
    Committed,
    Conflict,
    Put,
    Row,
    TableClient,
)
from standins._row_tables import RowTables
from standins.row_store import StoreFault

from .host_harness import (
    KEY,
    ROUTES,
    HostFleet,
    build_document,
    choose_port,
    running_fleet,
)

ONLY_LOOKUP = {"Routes": ROUTES[:1]}
OTHER_KEY = {"Tenants": [{"Name": "gyor", "ApiKeys": ["other"]}]}


@pytest.fixture
def fleet():
    with running_fleet() as running:
        running.add_upstream("one")
        yield running


def start(fleet: HostFleet, **bounds: float) -> HostProcess:
    process = fleet.start_host(**bounds)
    fleet.wait_ready()
    return process


def adopt(fleet: HostFleet, version: int, **changes: object) -> None:
    """Let the operator write a version, and wait until the host has adopted it."""
    fleet.store.put("op", "config", build_document(version, **changes))
    fleet.run_until(
        lambda: all(each._routes._adopted_version == version for each in fleet.processes)
    )


def lose_version(fleet: HostFleet, version: int, **changes: object) -> RowTables:
    """Let the host adopt a version which the store then loses; return the copy without it."""
    copy = fleet.store.take_copy()
    adopt(fleet, version, **changes)
    fleet.store.restore(copy)
    return copy


def request(fleet: HostFleet, path: str = "/order/x", key: str = KEY) -> tuple[int, int]:
    """Return the status of a request and its error code, 0 for a success."""
    caller = fleet.call(path, key=key)
    return caller.status, 0 if caller.status == 200 else caller.error["code"]


class StoreCaller:
    """A client of the store that records the eras of its answers."""

    def __init__(self, fleet: HostFleet) -> None:
        self._fleet = fleet
        address = fleet.store_port.getHost()
        self.eras: list[int] = []
        self.client = RowClient(
            reactor=fleet.reactor,
            endpoint=Endpoint(address=address.host, port=address.port),
            on_era=self.eras.append,
        )

    def wait_for(self, answer: Deferred[object]) -> object:
        outcomes: list[object] = []
        answer.addCallback(outcomes.append)
        self._fleet.run_until(lambda: bool(outcomes))
        return outcomes[0]


def test_the_era_is_read_from_answers_and_refusals(fleet: HostFleet) -> None:
    caller = StoreCaller(fleet)
    assert caller.wait_for(caller.client.read("op")).era == 1
    fleet.store.restore(fleet.store.take_copy())
    watched = caller.wait_for(caller.client.watch("op", after=10_000, wait_s=0.0))
    assert isinstance(watched, HistoryLost)
    fleet.store.restore(fleet.store.take_copy())
    fleet.store.fault = StoreFault.DOWN
    assert isinstance(caller.wait_for(caller.client.read("op")), Unavailable)
    assert caller.eras == [1, 2, 3]


def test_pages_of_two_eras_are_not_joined(fleet: HostFleet) -> None:
    for number in range(700):
        fleet.store.put("t", f"{number:04}", b"x")
    copy = fleet.store.take_copy()

    def restore_after_answer(request: IncomingRequest, responder: Responder) -> None:
        fleet.store.handle(request, responder)
        fleet.store.restore(copy)

    caller = StoreCaller(fleet)
    assert len(caller.wait_for(caller.client.read("t")).rows) == 700
    fleet.store_port.factory.on_request = restore_after_answer
    assert isinstance(caller.wait_for(caller.client.read("t")), Unavailable)
    assert caller.eras[-2:] == [1, 2]


def test_a_version_written_at_a_reused_revision_is_adopted(fleet: HostFleet) -> None:
    """The host watches after the revision at which the next version is written again."""
    start(fleet)
    lose_version(fleet, 2, **ONLY_LOOKUP)
    fleet.store.put("op", "config", build_document(3))
    fleet.run_for(1.3)
    assert request(fleet) == (200, 0)


def test_an_older_version_of_the_copy_is_not_adopted(fleet: HostFleet) -> None:
    start(fleet)
    lose_version(fleet, 2, **ONLY_LOOKUP)
    for _ in range(5):
        fleet.run_for(0.3)
        assert request(fleet) == (404, 1010)
        assert fleet.ask_readiness() == 200
    fleet.store.put("op", "config", build_document(2, **ONLY_LOOKUP))
    fleet.run_for(0.3)
    assert request(fleet) == (404, 1010)
    adopt(fleet, 3)
    assert request(fleet) == (200, 0)


def test_an_older_version_of_the_copy_does_not_prove_that_keys_are_valid(fleet: HostFleet) -> None:
    start(fleet, key_revocation_s=2.0)
    lose_version(fleet, 2)
    fleet.run_for(4.0)
    assert request(fleet) == (503, 2017)
    fleet.store.put("op", "config", build_document(2))
    fleet.run_for(0.3)
    assert request(fleet) == (200, 0)


def test_a_version_that_peers_know_counts_as_known(fleet: HostFleet) -> None:
    process = start(fleet, key_revocation_s=2.0)
    process._routes.receive_report(ConfigurationReport(1, 0.0, version=2))
    fleet.run_for(2.2)
    assert request(fleet) == (503, 2017)
    adopt(fleet, 2)
    assert request(fleet) == (200, 0)


def test_a_version_lost_before_this_host_saw_it_may_have_revoked_keys(fleet: HostFleet) -> None:
    """At the beginning of an era the store may lack a version until the operator repeats it."""
    start(fleet, key_revocation_s=2.0)
    copy = fleet.store.take_copy()
    fleet.store.fault = StoreFault.DOWN
    fleet.run_for(1.0)
    fleet.store.put("op", "config", build_document(2, **OTHER_KEY))
    fleet.store.restore(copy)
    fleet.store.fault = StoreFault.NONE
    fleet.run_for(1.8)
    assert request(fleet) == (503, 2017)
    fleet.store.put("op", "config", build_document(2, **OTHER_KEY))
    fleet.run_for(0.3)
    assert request(fleet)[0] in (401, 503)
    fleet.run_for(2.0)
    assert request(fleet) == (401, 1015)
    assert request(fleet, key="other") == (200, 0)


def test_keys_are_accepted_again_if_nothing_was_lost(fleet: HostFleet) -> None:
    start(fleet, key_revocation_s=2.0)
    fleet.store.restore(fleet.store.take_copy())
    for _ in range(4):
        fleet.run_for(1.0)
        fleet.ask_readiness()
    assert request(fleet) == (200, 0)
    assert fleet.ask_readiness() == 200


# Guards against a key that a lost version had taken away, at a host that starts before the operator
# has written that version again.
def test_a_host_that_starts_after_a_loss_accepts_no_key_before_writes_are_repeated(
    fleet: HostFleet,
) -> None:
    start(fleet)
    copy = fleet.store.take_copy()
    adopt(fleet, 2, **OTHER_KEY)
    fleet.store.restore(copy)
    process = fleet.start_host("host-2", address="127.0.0.2")
    fleet.run_until(lambda: process._routes._adopted_version == 1)
    for _ in range(4):
        assert request(fleet) == (503, 2017)
        assert fleet.ask_readiness() == 503
        fleet.run_for(0.4)
    fleet.store.put("op", "config", build_document(2, **OTHER_KEY))
    fleet.run_for(1.8)
    assert request(fleet) == (401, 1015)
    assert request(fleet, key="other") == (200, 0)


# Guards against hosts that refuse keys after each restart: all hosts are replaced at once.
def test_hosts_that_start_in_a_known_era_accept_keys_at_once(fleet: HostFleet) -> None:
    fleet.store.remove("greengagestage-eras", "current")
    start(fleet)
    assert fleet.store.list_keys("greengagestage-eras") == ["current"]
    fleet.processes.pop()._close(None)
    began_s = fleet.reactor.seconds()
    start(fleet)
    assert request(fleet) == (200, 0)
    assert fleet.reactor.seconds() - began_s < 1.0


def test_a_version_number_used_again_replaces_the_lost_content(fleet: HostFleet) -> None:
    start(fleet)
    lose_version(fleet, 2, **ONLY_LOOKUP)
    fleet.store.put("op", "config", build_document(2))
    fleet.run_for(1.3)
    assert request(fleet) == (200, 0)
    fleet.store.put("op", "config", build_document(2, **ONLY_LOOKUP))
    fleet.run_for(1.3)
    assert request(fleet) == (200, 0)


class NonWatchingHost:
    """A host of low rank, after the store has come back from a copy as old as itself."""

    def __init__(self, fleet: HostFleet, *, clock_offset_s: float = 0.0) -> None:
        self.routes = start(fleet)._routes
        self.routes._get_rank = lambda: 5
        fleet.store.restore(fleet.store.take_copy())
        fleet.store.clock_offset_s = clock_offset_s
        fleet.run_for(4.0)
        assert self.routes._era.number == 2


def test_a_report_of_an_older_era_neither_confirms_nor_starts_a_read(fleet: HostFleet) -> None:
    routes = NonWatchingHost(fleet).routes
    fleet.store.fault = StoreFault.DOWN
    fleet.run_for(0.3)
    before_s = routes.age_s
    now_s = fleet.reactor.seconds()
    routes.receive_report(ConfigurationReport(routes._row_revision, now_s, era=1))
    routes.receive_report(ConfigurationReport(10_000, now_s, era=1))
    assert routes.age_s >= before_s
    assert not routes._pending_row_revision
    routes.receive_report(ConfigurationReport(routes._row_revision, now_s, era=2))
    assert routes.age_s < 0.1


def test_the_clock_of_an_older_era_does_not_date_reports(fleet: HostFleet) -> None:
    """The store's clock is ahead of its former one, so that old times would seem to be new."""
    routes = NonWatchingHost(fleet, clock_offset_s=100.0).routes
    fleet.store.fault = StoreFault.DOWN
    fleet.run_for(0.3)
    before_s = routes.age_s
    old_s = fleet.reactor.seconds() + 100.0 - 30.0
    routes.receive_report(ConfigurationReport(routes._row_revision, old_s, era=2))
    assert routes.age_s >= before_s


def test_a_report_of_a_new_era_makes_the_host_read_the_table_again(fleet: HostFleet) -> None:
    routes = start(fleet)._routes
    routes._get_rank = lambda: 5
    lose_version(fleet, 2, **ONLY_LOOKUP)
    fleet.store.put("op", "config", build_document(3))
    revision = fleet.store.take_copy().revision
    assert revision == routes._row_revision
    routes.receive_report(ConfigurationReport(revision, 0.0, era=2))
    fleet.run_for(0.2)
    assert routes._adopted_version == 3


def test_connected_hosts_pass_on_a_new_era_without_a_storm_of_calls(fleet: HostFleet) -> None:
    """One host alone learns from the store that the era has changed."""
    port = choose_port()
    for number in range(4):
        address = f"127.0.0.{number + 1}"
        fleet.start_host(f"host-{number}", address=address, domain="a", peer_port=port)
    fleet.run_until(lambda: all(each._peers.active_peers == 3 for each in fleet.processes))
    fleet.run_for(1.5)
    lose_version(fleet, 2, **ONLY_LOOKUP)
    fleet.store.put("op", "config", build_document(3))
    fleet.store.calls.clear()
    fleet.run_for(1.0)
    assert {each._routes._adopted_version for each in fleet.processes} == {3}
    assert {each._era.number for each in fleet.processes} == {2}
    fleet.run_for(1.5)
    assert fleet.store.calls.count("/rows-get") + fleet.store.calls.count("/rows-feed") <= 40


def list_upstreams(process: HostProcess) -> list[str]:
    return sorted(process._router.upstreams)


def test_registry_changes_at_reused_revisions_are_seen(fleet: HostFleet) -> None:
    process = start(fleet)
    copy = fleet.store.take_copy()
    for number in range(5):
        fleet.store.put("t", f"{number}", b"x")
    fleet.run_for(1.2)
    fleet.store.restore(copy)
    fleet.add_upstream("two")
    fleet.run_for(1.2)
    assert list_upstreams(process) == ["one", "two"]


def test_entries_that_the_store_lost_are_kept_for_a_while(fleet: HostFleet) -> None:
    """The upstream writes its entry again, or is gone."""
    process = start(fleet)
    copy = fleet.store.take_copy()
    for name in ("two", "three"):
        fleet.add_upstream(name)
    fleet.run_until(lambda: list_upstreams(process) == ["one", "three", "two"])
    fleet.store.restore(copy)
    fleet.run_for(1.5)
    assert list_upstreams(process) == ["one", "three", "two"]
    fleet.store.put("servers", "two", fleet.upstreams["two"].build_entry())
    fleet.run_for(2.7)
    assert list_upstreams(process) == ["one", "two"]
    assert request(fleet) == (200, 0)


def test_a_draining_upstream_stays_excluded_when_its_older_entry_returns(fleet: HostFleet) -> None:
    process = start(fleet)
    copy = fleet.store.take_copy()
    upstream = fleet.upstreams["one"]
    fleet.store.put("servers", "one", upstream.build_entry(State="draining"))
    fleet.run_until(lambda: process._router.upstreams["one"].is_leaving)
    fleet.store.restore(copy)
    for _ in range(4):
        fleet.run_for(0.4)
        assert request(fleet)[0] == 503
    assert process._registry._known["one"].availability is Availability.READY
    fleet.store.put("servers", "one", upstream.build_entry(born=2_000))
    fleet.run_for(1.2)
    assert request(fleet) == (200, 0)


def test_an_upstream_that_was_gone_is_not_used_when_its_older_entry_returns(
    fleet: HostFleet, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Until the registry has removed the entry again, or shown that the upstream renews it."""
    monkeypatch.setattr(_host, "RETURNED_ENTRY_PAUSE_S", 2.0)
    process = start(fleet)
    copy = fleet.store.take_copy()
    fleet.store.remove("servers", "one")
    fleet.run_until(lambda: not list_upstreams(process))
    fleet.store.restore(copy)
    fleet.run_until(lambda: list_upstreams(process) == ["one"])
    assert request(fleet)[0] == 503
    assert not fleet.upstreams["one"].requests
    fleet.run_for(2.1)
    assert request(fleet) == (200, 0)


def test_an_entry_that_returns_in_the_same_era_is_used_at_once(fleet: HostFleet) -> None:
    process = start(fleet)
    fleet.store.remove("servers", "one")
    fleet.run_until(lambda: not list_upstreams(process))
    fleet.store.put("servers", "one", fleet.upstreams["one"].build_entry())
    fleet.run_until(lambda: list_upstreams(process) == ["one"])
    assert request(fleet) == (200, 0)


def test_a_registry_report_of_an_older_era_is_ignored(fleet: HostFleet) -> None:
    registry = start(fleet)._registry
    registry.receive_report(RegistryReport(registry._digest, 5, era=2))
    confirmed_s = registry._confirmed_s
    registry.receive_report(RegistryReport(registry._digest, 10_000, era=1))
    registry.receive_report(RegistryReport(12_345, 10_000, era=1))
    assert (registry._confirmed_s, registry._revision) == (confirmed_s, 5)
    assert not registry._pending_revision


def test_a_registry_report_of_a_new_era_replaces_revisions_and_keeps_entries(
    fleet: HostFleet,
) -> None:
    """The host has a higher revision of the former era, and has to read what the report names."""
    process = start(fleet)
    copy = fleet.store.take_copy()
    fleet.add_upstream("two")
    fleet.run_until(lambda: list_upstreams(process) == ["one", "two"])
    registry = process._registry
    revision = registry._revision
    fleet.store.restore(copy)
    registry.receive_report(RegistryReport(12_345, revision - 1, era=2))
    assert registry._pending_revision == revision - 1
    fleet.run_for(0.3)
    assert not registry._pending_revision
    assert list_upstreams(process) == ["one", "two"]


class HeldRows:
    """Holds the answer to each call until the test releases it."""

    def __init__(self) -> None:
        self.held: list[Deferred[RowsRead]] = []

    def read(self, table: str) -> Deferred[RowsRead]:
        self.held.append(Deferred())
        return self.held[-1]


def test_a_registry_read_answered_in_an_older_era_is_dropped() -> None:
    """The answer was on its way while another host reported the new era."""
    clock, rows, era = Clock(), HeldRows(), StoreEra()
    watch = RegistryWatch(
        reactor=clock,
        rows=rows,
        era=era,
        random=Random(1),
        on_change=lambda upstreams: None,
        on_returned=lambda upstream: None,
        on_report=lambda report: None,
        get_rank=lambda: 0,
    )
    era.observe(1)
    watch.start()
    clock.advance(0.0)
    era.observe(2)
    rows.held[0].callback(RowsRead(rows=[], revision=9, era=1))
    assert not watch.is_loaded
    clock.advance(0.5)
    rows.held[1].callback(RowsRead(rows=[], revision=4, era=2))
    assert (watch.is_loaded, watch._revision) == (True, 4)


def test_a_configuration_read_answered_in_an_older_era_is_dropped() -> None:
    clock, rows, era = Clock(), HeldRows(), StoreEra()
    adopted: list[RouteTable] = []
    watch = RouteWatch(
        reactor=clock,
        rows=rows,
        era=era,
        random=Random(1),
        on_table=adopted.append,
        on_report=lambda report, changed: None,
        get_rank=lambda: 0,
    )
    value = b64encode(build_document(1)).decode()
    row = StoredRow(key="config", value_base64=value, revision=3)
    era.observe(1)
    watch.start()
    clock.advance(0.0)
    era.observe(2)
    rows.held[0].callback(RowsRead(rows=[row], revision=9, era=1))
    assert (adopted, watch.age_s) == ([], None)
    clock.advance(0.5)
    rows.held[1].callback(RowsRead(rows=[row], revision=4, era=2))
    assert len(adopted) == 1


def test_a_host_registers_again_when_the_store_lost_its_row(fleet: HostFleet) -> None:
    copy = fleet.store.take_copy()
    start(fleet)
    fleet.run_until(lambda: fleet.store.list_keys("greengagestage-hosts") == ["host-1"])
    fleet.store.restore(copy)
    fleet.run_for(3.5)
    assert fleet.store.list_keys("greengagestage-hosts") == ["host-1"]


class HostRows:
    """Answers writes of a host's row and reads of the list after a while, in the given era."""

    def __init__(self, clock: Clock) -> None:
        self.era = 1
        self.puts_s: list[float] = []
        self.reads_s: list[float] = []
        self._clock = clock

    def transact(self, transaction: Transaction) -> Deferred[RowsRead]:
        self.puts_s.append(self._clock.seconds())
        return self._answer()

    def read(self, table: str) -> Deferred[RowsRead]:
        self.reads_s.append(self._clock.seconds())
        return self._answer()

    def _answer(self) -> Deferred[RowsRead]:
        answer: Deferred[RowsRead] = Deferred()
        self._clock.callLater(0.1, answer.callback, RowsRead(revision=1, era=self.era))
        return answer


class HostListHarness:
    """A host list on a simulated clock, some time after its start."""

    def __init__(self, *, ran_s: float = 5.0) -> None:
        self.clock, self.era = Clock(), StoreEra()
        self.rows = HostRows(self.clock)
        self.hosts = HostList(
            reactor=self.clock,
            rows=self.rows,
            era=self.era,
            settings=HostSettings(
                host=HostId("h1"),
                address="10.0.0.1",
                failure_domain=FailureDomain("a"),
                callers=("10.0.0.1", 80),
                readiness=("10.0.0.1", 81),
                peer_port=7_340,
                store=("10.0.0.9", 80),
                bounds=Bounds(),
            ),
            random=Random(1),
            on_hosts=lambda rows: None,
        )
        self.era.observe(1)
        self.hosts.start()
        self.run_for(ran_s)

    def begin_era(self) -> None:
        self.rows.era += 1
        self.era.observe(self.rows.era)

    def run_for(self, duration_s: float) -> None:
        self.clock.pump([0.05] * round(duration_s / 0.05))


def test_the_host_list_is_read_again_once_the_other_hosts_have_registered() -> None:
    """Otherwise hosts that start after the loss would stay unknown until the usual refresh."""
    harness = HostListHarness()
    assert (len(harness.rows.puts_s), len(harness.rows.reads_s)) == (1, 1)
    harness.begin_era()
    harness.run_for(3.0)
    assert len(harness.rows.puts_s) == 2
    harness.run_for(6.0)
    assert len(harness.rows.puts_s) == 2
    assert harness.rows.reads_s[-1] - harness.rows.puts_s[-1] > 2.0
    harness.run_for(10.0)
    assert len(harness.rows.reads_s) == 3


@pytest.mark.parametrize("ran_s", [0.05, 0.15])
def test_a_row_written_just_before_a_new_era_is_written_again(ran_s: float) -> None:
    """The new era is known while the answer to the write or to the read is on its way."""
    harness = HostListHarness(ran_s=ran_s)
    harness.begin_era()
    harness.run_for(3.0)
    assert len(harness.rows.puts_s) == 2


class TableHarness:
    """A client of the router's own table, and the row ``a`` as the client has read it."""

    def __init__(self, fleet: HostFleet) -> None:
        self.fleet = fleet
        address = fleet.store_port.getHost()
        self.table = TableClient(
            reactor=fleet.reactor, base_url=f"http://{address.host}:{address.port}", timeout_s=1.0
        )
        self.copy = fleet.store.take_copy()
        fleet.store.put(PRODUCT_TABLE, "a", b'"first"')
        self.row = self.read()

    def read(self) -> Row:
        return self.wait_for(self.table.read_row("a"))

    def write(self, value: str, *, expect: int) -> object:
        return self.wait_for(self.table.transact([Put(key="a", value=value, expect=expect)]))

    def wait_for(self, answer: Deferred[object]) -> object:
        outcomes: list[object] = []
        answer.addCallback(outcomes.append)
        self.fleet.run_until(lambda: bool(outcomes))
        return outcomes[0]

    def lose_row(self) -> None:
        """Replace the row by one that another host wrote at the same revision of a new era."""
        self.fleet.store.restore(self.copy)
        self.fleet.store.put(PRODUCT_TABLE, "a", b'"other"')


def test_a_row_is_not_overwritten_by_a_plan_from_an_older_era(fleet: HostFleet) -> None:
    harness = TableHarness(fleet)
    harness.lose_row()
    assert isinstance(harness.wait_for(harness.table.read_row("b")), Row)
    outcome = harness.write("second", expect=harness.row.revision)
    assert isinstance(outcome, Conflict)
    (row,) = outcome.rows
    assert (outcome.failed, row.decode(str)) == ((0,), "other")
    written = harness.write("third", expect=row.revision)
    assert isinstance(written, Committed)
    assert written.rows[0] == harness.read()


def test_a_write_that_met_an_unknown_new_era_is_not_reported_as_committed(
    fleet: HostFleet,
) -> None:
    """The client learns of the era from the answer, after its condition was met by chance."""
    harness = TableHarness(fleet)
    harness.lose_row()
    assert isinstance(harness.write("second", expect=harness.row.revision), Unknown)


def test_a_conflict_in_a_new_era_shows_revisions_of_that_era(fleet: HostFleet) -> None:
    harness = TableHarness(fleet)
    harness.fleet.store.restore(harness.copy)
    harness.fleet.store.put("t", "x", b"x")
    harness.fleet.store.put(PRODUCT_TABLE, "a", b'"other"')
    outcome = harness.write("second", expect=harness.row.revision)
    assert isinstance(outcome, Conflict)
    assert outcome.rows == (harness.read(),)


def test_rows_that_must_be_absent_can_be_written_in_any_era(fleet: HostFleet) -> None:
    harness = TableHarness(fleet)
    harness.fleet.store.restore(harness.copy)
    assert isinstance(harness.write("second", expect=ABSENT), Committed)
    assert harness.read().decode(str) == "second"

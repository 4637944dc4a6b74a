"""Streams while upstreams of several software versions serve, over loopback sockets."""

import pytest
from twisted.internet.defer import Deferred

from greengagestage.http1 import IncomingRequest, Responder
from standins._row_tables import RowTables, StoreReply

from . import host_harness as harness
from .host_harness import EVENTS, HostFleet, UpstreamStandin, choose_port, running_fleet
from .raw_caller import RawCaller

OLD, NEW = "v1", "v2"

RESUMED = ("Last-Event-Id: 2",)


@pytest.fixture
def fleet():
    with running_fleet() as running:
        yield running


def add_engine(
    fleet: HostFleet, name: str, version: str, behavior: harness.Behavior = harness.serve
) -> UpstreamStandin:
    engine = fleet.add_upstream(name, service="engines", behavior=behavior)
    fleet.store.put("servers", name, engine.build_entry(Version=version))
    return engine


def write_two_events(
    upstream: UpstreamStandin, request: IncomingRequest, responder: Responder
) -> None:
    responder.begin(200, harness.build_identity_headers(request))
    responder.write(EVENTS[0] + EVENTS[1])
    upstream.hanging.append(responder)


def wait_listed(fleet: HostFleet) -> None:
    """Wait until all hosts know all upstreams."""
    fleet.run_until(
        lambda: all(len(each._router.upstreams) == len(fleet.upstreams) for each in fleet.processes)
    )


def begin_stream(fleet: HostFleet) -> tuple[RawCaller, UpstreamStandin]:
    """Start a stream at the only upstream; return its caller, with two events, and the upstream."""
    engine = add_engine(fleet, "first", OLD, write_two_events)
    fleet.start_host()
    fleet.wait_ready()
    caller = fleet.connect(harness.build_request("/short/x", deadline_ms=10_000))
    fleet.run_until(lambda: b"id: 2" in caller.data)
    return caller, engine


# Guards against a stream that a host resumes at another software version than it began at.
def test_an_interrupted_stream_resumes_at_the_version_that_began_it(fleet: HostFleet) -> None:
    caller, first = begin_stream(fleet)
    others = [add_engine(fleet, f"new-{number}", NEW) for number in range(8)]
    same = add_engine(fleet, "same", OLD)
    wait_listed(fleet)
    first.hanging[0].abort()
    fleet.run_until(lambda: caller.is_complete or caller.closed)
    assert (caller.is_complete, caller.body) == (True, b"".join(EVENTS))
    assert sum(len(other.requests) for other in others) == 0
    assert same.requests[0].get(b"last-event-id") == b"2"


# Guards against a stream that goes on at another software version because no other one is left.
def test_a_stream_whose_version_is_gone_does_not_go_on(fleet: HostFleet) -> None:
    caller, first = begin_stream(fleet)
    other = add_engine(fleet, "new", NEW)
    wait_listed(fleet)
    first.hanging[0].abort()
    fleet.run_until(lambda: caller.is_complete or caller.closed)
    assert not caller.is_complete
    assert caller.body == EVENTS[0] + EVENTS[1]
    assert not other.requests


class TwoHosts:
    """Two connected hosts and one stream of each version that was begun on the first host."""

    def __init__(self, fleet: HostFleet) -> None:
        self.fleet = fleet
        self.old = add_engine(fleet, "old", OLD, write_two_events)
        port = choose_port()
        for number in (1, 2):
            fleet.start_host(f"host-{number}", address=f"127.0.0.{number}", peer_port=port)
        fleet.run_until(lambda: all(each._peers.active_peers == 1 for each in fleet.processes))
        fleet.wait_ready()
        self.begin("began-old")
        self.new = add_engine(fleet, "new", NEW, write_two_events)
        wait_listed(fleet)
        fleet.store.remove("servers", "old")
        fleet.run_until(lambda: self.begin("began-new") is self.new)
        fleet.store.put("servers", "old", self.old.build_entry(Version=OLD))
        fleet.run_for(1.5)
        self.old.behavior = self.new.behavior = harness.serve

    def begin(self, attempt: str) -> UpstreamStandin:
        """Begin a stream on the first host and return the upstream that got it."""
        engines = list(self.fleet.upstreams.values())
        counts = [len(engine.requests) for engine in engines]
        request = harness.build_request("/short/x", attempt=attempt, deadline_ms=10_000)
        caller = self.fleet.connect(request, self.fleet._host_settings[0].callers)
        self.fleet.run_until(lambda: b"id: 2" in caller.data)
        caller.transport.abortConnection()
        (served,) = (
            engine
            for engine, count in zip(engines, counts, strict=True)
            if len(engine.requests) > count
        )
        return served

    def take_up(self, began_as: str, attempt: str) -> RawCaller:
        """Take up a stream on the second host after its second event."""
        headers = (*RESUMED, f"Resumes: {began_as}")
        request = harness.build_request("/short/x", attempt=attempt, headers=headers)
        caller = self.fleet.connect(request, self.fleet._host_settings[1].callers)
        self.fleet.run_until(lambda: caller.is_complete or caller.closed)
        return caller


# Guards against a stream that a caller takes up at a host that does not know which software version
# began it.
@pytest.mark.parametrize("version", [OLD, NEW])
def test_a_stream_taken_up_at_another_host_goes_on_at_its_version(
    fleet: HostFleet, version: str
) -> None:
    hosts = TwoHosts(fleet)
    engine = hosts.old if version == OLD else hosts.new
    began_as = "began-old" if version == OLD else "began-new"
    for number in range(6):
        caller = hosts.take_up(began_as, f"again-{number}")
        assert (caller.status, caller.body) == (200, b"".join(EVENTS[2:]))
    attempts = [attempt for attempt in engine.attempt_ids if attempt.startswith(b"again")]
    assert len(attempts) == 6


# Guards against a stream of unknown origin that goes on at a guessed software version.
def test_a_stream_of_unknown_origin_is_refused_while_two_versions_serve(fleet: HostFleet) -> None:
    hosts = TwoHosts(fleet)
    caller = hosts.take_up("never-seen", "again")
    assert (caller.status, caller.error["run"]) == (503, "not_run")
    assert float(caller.headers["retry-after"]) > 0
    assert b"again" not in hosts.old.attempt_ids + hosts.new.attempt_ids


def replace_host(fleet: HostFleet, **settings: object) -> None:
    """Kill the running hosts and start a host that has no state of theirs."""
    for process in fleet.processes:
        process._close(None)
    fleet.processes.clear()
    fleet.start_host("successor", **settings)
    fleet.wait_ready()


def take_up(fleet: HostFleet, began_as: str = "a1") -> RawCaller:
    """Take up a stream after its second event at the host that was started last."""
    headers = (*RESUMED, f"Resumes: {began_as}")
    return fleet.call("/short/x", attempt="again", headers=headers)


# Guards against text of two versions in one stream: all hosts are replaced, so that none remembers
# the version that began the stream and whose last upstream left 1 s before. The stream is 8 s old
# when it is taken up, and the new host has watched the registry for longer than 5 s.
def test_a_stream_is_not_joined_with_another_version_after_all_hosts_were_replaced(
    fleet: HostFleet,
) -> None:
    caller, _ = begin_stream(fleet)
    new = add_engine(fleet, "new", NEW)
    wait_listed(fleet)
    fleet.store.remove("servers", "first")
    fleet.run_until(lambda: len(fleet.processes[0]._router.upstreams) == 1)
    fleet.run_for(1.0)
    caller.transport.abortConnection()
    replace_host(fleet)
    fleet.run_for(5.5)
    resumed = take_up(fleet)
    assert not new.requests
    assert (resumed.status, resumed.error["run"]) == (503, "not_run")


# Guards against a host that becomes ready later, or guesses, while the table cannot be read.
def test_a_host_serves_new_streams_while_the_table_cannot_be_read(
    fleet: HostFleet, monkeypatch: pytest.MonkeyPatch
) -> None:
    read = RowTables.read

    def fail(tables: RowTables, arguments: dict[str, str]) -> StoreReply:
        if arguments["Table"] == "greengagestage-versions":
            return StoreReply(status=503, body=b"")
        return read(tables, arguments)

    monkeypatch.setattr(RowTables, "read", fail)
    engine = add_engine(fleet, "first", OLD)
    fleet.start_host(first_start=True)
    fleet.wait_ready()
    assert fleet.call("/short/x", attempt="new").body == b"".join(EVENTS)
    fleet.run_for(5.5)
    assert take_up(fleet, "begun-elsewhere").status == 503
    assert len(engine.requests) == 1


# Guards against needless refusals: one host starts alone while the others and the only version
# serve on.
def test_a_host_that_starts_alone_takes_up_streams_at_once(fleet: HostFleet) -> None:
    engine = add_engine(fleet, "first", OLD)
    fleet.start_host(first_start=True)
    fleet.run_for(5.5)
    assert fleet.store.list_keys("greengagestage-versions") == ["engines"]
    fleet.start_host("second", address="127.0.0.2")
    fleet.wait_ready()
    resumed = take_up(fleet, "begun-elsewhere")
    assert (resumed.status, resumed.body) == (200, b"".join(EVENTS[2:]))
    assert len(engine.requests) == 1


# Guards against refusals at the first start of a whole system, whose table is empty.
def test_the_first_start_of_a_system_takes_up_streams_as_soon_as_before(fleet: HostFleet) -> None:
    add_engine(fleet, "first", OLD)
    fleet.start_host(first_start=True)
    fleet.wait_ready()
    fleet.run_for(5.5)
    assert take_up(fleet, "begun-elsewhere").status == 200
    assert fleet.store.calls.count("/rows-tx") == 2  # the host's own row and that of the versions


# Guards against calls to the store by each host for one change, with real hosts and datagrams.
def test_one_of_several_hosts_writes_a_change(fleet: HostFleet) -> None:
    add_engine(fleet, "first", OLD)
    port = choose_port()
    for number in (1, 2, 3):
        fleet.start_host(f"host-{number}", address=f"127.0.0.{number}", peer_port=port)
    fleet.run_until(lambda: all(each._peers.active_peers == 2 for each in fleet.processes))
    fleet.run_for(3.0)
    written = [fleet.store.calls.count("/rows-tx")]
    add_engine(fleet, "new", NEW)
    fleet.run_for(2.0)
    written.append(fleet.store.calls.count("/rows-tx"))
    fleet.store.remove("servers", "first")
    fleet.run_for(2.0)
    written.append(fleet.store.calls.count("/rows-tx"))
    assert [count - written[0] for count in written] == [0, 1, 2]


def start_after_a_while(fleet: HostFleet) -> UpstreamStandin:
    """Start a host that knows that one version alone has served; return the upstream."""
    engine = add_engine(fleet, "first", OLD)
    fleet.start_host(first_start=True)
    fleet.wait_ready()
    fleet.run_for(5.5)
    return engine


# Guards against text of two versions in one stream: a server of a new version has joined since the
# host last read the registry, and began the stream through another host.
def test_a_stream_that_may_have_begun_since_the_last_read_is_refused(fleet: HostFleet) -> None:
    engine = start_after_a_while(fleet)
    registry = fleet.processes[0]._registry
    age_s = registry.age_s
    fleet.run_until(lambda: registry.age_s < age_s)
    add_engine(fleet, "new", NEW)
    resumed = take_up(fleet, "begun-elsewhere")
    assert (resumed.status, resumed.error["run"]) == (503, "not_run")
    assert not engine.requests


# Guards against the same at a host that is cut off from the store: its copy is young, but older
# than the stream may be.
def test_a_host_that_cannot_read_the_registry_takes_up_no_stream_of_unknown_origin(
    fleet: HostFleet, monkeypatch: pytest.MonkeyPatch
) -> None:
    engine = start_after_a_while(fleet)

    def fail(tables: RowTables, arguments: dict[str, str]) -> StoreReply:
        return StoreReply(status=503, body=b"")

    monkeypatch.setattr(RowTables, "read", fail)
    resumed = take_up(fleet, "begun-elsewhere")
    assert (resumed.status, resumed.error["run"]) == (503, "not_run")
    assert not engine.requests


# Guards against callers who wait for a store that does not answer.
def test_a_caller_waits_only_shortly_for_the_registry(
    fleet: HostFleet, monkeypatch: pytest.MonkeyPatch
) -> None:
    start_after_a_while(fleet)
    process = fleet.processes[0]
    monkeypatch.setattr(process._registry._rows, "read", lambda table: Deferred())
    began_s = process._reactor.seconds()
    assert take_up(fleet, "begun-elsewhere").status == 503
    assert process._reactor.seconds() - began_s < 1.0

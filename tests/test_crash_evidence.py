"""What hosts find out about crashing prompt parts beside faults, and keep beyond their own end."""

from collections.abc import Iterator
from functools import partial

import pytest

from greengagestage.catalog import Availability
from greengagestage.gateway import HostProcess
from greengagestage.http1 import Endpoint, IncomingRequest, Responder
from greengagestage.ids import Crash, InstanceId
from greengagestage.routing import PartLoss
from standins.row_store import RowStore

from . import host_harness as harness
from .cut_links import Cut, CutHost
from .host_harness import HostFleet, UpstreamStandin, choose_port, running_fleet
from .suspect_builders import build_parts
from .test_crashing_parts import MAX_CRASHES, add_engines, count_arrivals, send


@pytest.fixture
def fleet() -> Iterator[HostFleet]:
    with running_fleet() as running:
        yield running


# Guards against crashes that count for nothing because another host has forwarded the requests.
@pytest.mark.parametrize("path", ["/long", "/short"])
@pytest.mark.parametrize("cut", [Cut.RESET, Cut.SURVIVING])
def test_crashes_under_forwarded_requests_count(fleet: HostFleet, cut: Cut, path: str) -> None:
    host = CutHost(fleet)
    engines = add_engines(fleet, 9)
    fleet.run_until(lambda: len(host.process._router.upstreams) == 15)
    host.lose_links(cut)
    host.set_behavior(harness.crash_on_part("bad"))
    engines += [fleet.upstreams[f"engine-{number}"] for number in (1, 2, 3)]
    for number in range(8):
        caller = send(fleet, number, f"aa:600,bad:300,own{number}:40", path)
    assert host.forwarded
    assert count_arrivals(engines) <= MAX_CRASHES
    assert (caller.status, caller.error["code"]) == (503, 2012)


def record_crash(host: HostProcess, crash: int, part: str = "bad") -> None:
    """Let a host find out that an upstream has crashed under a prompt."""
    now_s = host._reactor.seconds()
    loss = PartLoss(crash=Crash(crash), sent_s=now_s - 0.02, lost_s=now_s)
    records = host._crashes.suspects.record_loss(build_parts(part), loss)
    host._crashes._report_suspects(records)


def end_hosts(fleet: HostFleet) -> None:
    """Cut off what hosts tell each other and the store, as a kill of all processes does."""
    for host in fleet.processes:
        host._peers.stop()
        host._crashes.stop()


def start_hosts(fleet: HostFleet, count: int) -> None:
    peer_port = choose_port()
    for number in range(count):
        fleet.start_host(f"host-{number}", address=f"127.0.0.{number + 1}", peer_port=peer_port)
        fleet.wait_ready()
    fleet.run_until(lambda: all(each._peers.active_peers == count - 1 for each in fleet.processes))


def count_known(fleet: HostFleet) -> int:
    """Start a host alone and return how many crashes it knows."""
    host = fleet.start_host("later", address="127.0.0.9")
    fleet.wait_ready()
    fleet.run_for(0.1)
    records = host._crashes.suspects.list_records(fleet.reactor.seconds())
    return sum(len(each.losses) for each in records)


# Guards against a record that stays behind what hosts know, so that after the end of all hosts a
# part is sent again long before the end of its quarantine.
@pytest.mark.parametrize("pause_s", [0.0, 0.05])
def test_all_crashes_that_hosts_know_outlast_them(fleet: HostFleet, pause_s: float) -> None:
    start_hosts(fleet, 3)
    for crash in range(5):
        record_crash(fleet.processes[crash % 3], crash)
        if pause_s:
            fleet.run_for(pause_s)
    fleet.run_for(0.3)
    end_hosts(fleet)
    assert count_known(fleet) == 5


# Guards against a record that lacks crashes because the host that saw them could not write them.
def test_the_first_host_completes_a_row_of_the_record(fleet: HostFleet) -> None:
    start_hosts(fleet, 2)
    for crash in range(2):
        record_crash(fleet.processes[0], crash)
    fleet.run_until(lambda: bool(fleet.store.list_keys("greengagestage-crashes")))
    fleet.processes[1]._crashes._table.stop()
    for crash in range(2, 5):
        record_crash(fleet.processes[1], crash)
    fleet.run_for(6.0)
    end_hosts(fleet)
    assert count_known(fleet) == 5


# Guards against forgetting with the end of all hosts what crashed upstreams, once the store has
# come back from an older copy.
@pytest.mark.parametrize("hosts_see_it", [True, False])
def test_crashes_outlast_the_hosts_and_an_older_copy_of_the_store(
    fleet: HostFleet, hosts_see_it: bool
) -> None:
    start_hosts(fleet, 2)
    for crash in range(3):
        record_crash(fleet.processes[0], crash)
        fleet.run_for(0.6)
    copy = fleet.store.take_copy()
    for crash in range(3, 5):
        record_crash(fleet.processes[0], crash)
        fleet.run_for(0.6)
    if hosts_see_it:
        fleet.store.restore(copy)
        fleet.run_for(7.0)
    end_hosts(fleet)
    if not hosts_see_it:
        fleet.store.restore(copy)
    assert count_known(fleet) == (5 if hosts_see_it else 3)


# Guards against a host that sends requests before it has read what crashes upstreams.
@pytest.mark.parametrize("late_s", [0.0, 0.4, 1.0])
def test_a_host_sends_nothing_before_it_knows_what_crashes_upstreams(
    monkeypatch: pytest.MonkeyPatch, late_s: float
) -> None:
    reads: list[float] = []

    def answer_late(store: RowStore, request: IncomingRequest, responder: Responder) -> None:
        is_read = b"/rows-get" in request.target and b"greengagestage-crashes" in request.target
        if is_read:
            reads.append(store.reactor.seconds())
        # The first read of the host that starts is late, or not answered in time.
        delay_s = late_s if is_read and len(reads) == 2 else 0.0
        store.reactor.callLater(delay_s, handle, store, request, responder)

    handle = RowStore.handle
    monkeypatch.setattr(RowStore, "handle", answer_late)
    with running_fleet() as fleet:
        engines = add_engines(fleet, 9)
        start_hosts(fleet, 1)
        for number in range(3):
            send(fleet, number, f"aa:600,bad:300,own{number}:40")
        end_hosts(fleet)
        arrivals = count_arrivals(engines)
        fleet.start_host("later", address="127.0.0.9")
        fleet.wait_ready()
        caller = fleet.call("/long/x", attempt="b1", parts="aa:600,bad:300,c:4")
        assert count_arrivals(engines) == arrivals
        assert caller.error["code"] == 2012
        assert fleet.call("/long/y", attempt="b2", parts="aa:600,cc:300,c:4").status == 200


# Guards against a host that serves nobody while the record of crashes cannot be read.
def test_a_host_waits_for_the_record_of_crashes_for_a_limited_time(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    def refuse_reads(store: RowStore, request: IncomingRequest, responder: Responder) -> None:
        if b"greengagestage-crashes" not in request.target:
            handle(store, request, responder)

    handle = RowStore.handle
    monkeypatch.setattr(RowStore, "handle", refuse_reads)
    with running_fleet() as fleet:
        fleet.add_upstream("s1")
        fleet.start_host()
        fleet.wait_ready()
        assert fleet.call("/lookup/x", attempt="a1", deadline_ms=3_000).status == 200


def is_unlisted(host: HostProcess, instance: InstanceId) -> bool:
    return instance not in host._router.upstreams


def end_entries(fleet: HostFleet, engines: list[UpstreamStandin]) -> None:
    """Remove the entries of crashed engines, as the platform does after some heartbeats."""
    for engine in engines:
        if not engine.port.connected:
            fleet.store.remove("servers", engine.name)
            fleet.run_until(partial(is_unlisted, fleet.processes[0], InstanceId(engine.name)))


def send_together(
    fleet: HostFleet, number: int, count: int, part: str = "bad"
) -> list[harness.RawCaller]:
    """Send different prompts with one part at the same moment, and wait for their ends."""
    callers = [
        fleet.connect(
            harness.build_request(
                f"/long/{number}-{each}",
                attempt=f"a{number}-{each}",
                body=b"%d-%d" % (number, each),
                parts=f"p{number}-{each}:600,{part}:300,own:40",
            )
        )
        for each in range(count)
    ]
    fleet.run_until(lambda: all(each.is_complete or each.closed for each in callers))
    fleet.run_for(0.2)
    return callers


# Guards against crashes at the same moment that pass for a failure of links again and again, while
# prompts with one part crash an upstream each.
def test_a_part_that_crashes_upstreams_at_the_same_moment_is_found(fleet: HostFleet) -> None:
    engines = add_engines(fleet, 20)
    for engine in engines:  # each of the requests has an engine to itself
        fleet.store.put("servers", engine.name, engine.build_entry(Slots=1))
    start_hosts(fleet, 1)
    for number in range(4):
        callers = send_together(fleet, number, 2)
        end_entries(fleet, engines)
    assert count_arrivals(engines) <= MAX_CRASHES
    assert [each.error["code"] for each in callers] == [2012, 2012]


def break_off(upstream: UpstreamStandin, request: IncomingRequest, responder: Responder) -> None:
    """Begin an answer and lose its connection, as a link that is reset does."""
    responder.begin(200, harness.build_identity_headers(request))
    upstream.reactor.callLater(0.02, responder.abort)


# Guards against sound parts that are blamed because entries end for another cause, some time after
# links to several upstreams were reset.
@pytest.mark.parametrize("proof", ["answers", "is connected", "leaves"])
def test_upstreams_that_do_not_end_with_a_loss_do_not_count_as_crashed(
    fleet: HostFleet, proof: str
) -> None:
    engines = add_engines(fleet, 2)
    for engine in engines:
        fleet.store.put("servers", engine.name, engine.build_entry(Slots=1))
        engine.behavior = break_off
    start_hosts(fleet, 1)
    host = fleet.processes[0]
    send_together(fleet, 0, 2)
    assert all(engine.requests for engine in engines)
    for engine in engines:
        engine.behavior = harness.serve
        record = host._router.upstreams[InstanceId(engine.name)].record
        if proof == "is connected":
            host._pool.open(
                Endpoint(address=record.address, port=record.port),
                on_open=lambda connection: None,
                on_failed=lambda: None,
            )
        elif proof == "leaves":
            entry = engine.build_entry(Slots=1, State="draining", Sequence=2)
            fleet.store.put("servers", engine.name, entry)
            fleet.run_until(partial(is_leaving, host, record.instance))
    if proof == "answers":
        send_together(fleet, 1, 2, part="other")
        for engine in engines:
            engine.port.factory.close_idle()
    fleet.run_for(0.1)
    for engine in engines:
        fleet.store.remove("servers", engine.name)
        fleet.run_until(partial(is_unlisted, host, InstanceId(engine.name)))
    assert not host._crashes.suspects.list_records(fleet.reactor.seconds())


def is_leaving(host: HostProcess, instance: InstanceId) -> bool:
    return host._router.upstreams[instance].record.availability is Availability.LEAVING


def crash_on_resume(
    upstream: UpstreamStandin, request: IncomingRequest, responder: Responder
) -> None:
    """Break a stream off after two events, and crash under the request that takes it up again."""
    is_resumed = request.get(b"last-event-id") is not None
    (harness.crash if is_resumed else harness.abort_mid_stream)(upstream, request, responder)


# Guards against parts that are blamed although a prompt with them has just brought events: the host
# that forwards the rest of a stream does not see these.
def test_a_resumed_stream_that_is_forwarded_suspects_no_part(fleet: HostFleet) -> None:
    host = CutHost(fleet)
    host.lose_links()
    host.set_behavior(crash_on_resume)
    fleet.call("/short/x", attempt="a1", parts="aa:600,bad:300,own:40")
    fleet.run_for(0.3)
    assert host.forwarded
    assert not any(
        other._crashes.suspects.list_records(fleet.reactor.seconds()) for other in host.others
    )

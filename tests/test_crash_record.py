"""What the record in the store says of crashes that are too few for a quarantine, and its cost."""

from collections.abc import Iterator

import pytest

from greengagestage.gateway import HostProcess
from greengagestage.gateway.crashes._recorded_crashes import RecordedCrashes
from greengagestage.http1 import IncomingRequest, Responder
from greengagestage.ids import Crash
from greengagestage.routing import CrashSuspects, LossTracker, PartLoss
from standins.row_store import RowStore

from . import host_harness as harness
from .host_harness import EVENTS, HostFleet, running_fleet
from .suspect_builders import build_parts, record_losses
from .test_crash_evidence import count_known, end_hosts, record_crash, start_hosts
from .test_crashing_parts import add_engines, count_arrivals, send

TABLE = "greengagestage-crashes"


@pytest.fixture
def writes(monkeypatch: pytest.MonkeyPatch) -> list[bytes]:
    """The transactions on the record, in order."""
    seen: list[bytes] = []

    def note(store: RowStore, request: IncomingRequest, responder: Responder) -> None:
        if b"/rows-tx" in request.target and TABLE.encode() in request.body:
            seen.append(request.body)
        handle(store, request, responder)

    handle = RowStore.handle
    monkeypatch.setattr(RowStore, "handle", note)
    return seen


@pytest.fixture
def fleet(writes: list[bytes]) -> Iterator[HostFleet]:
    with running_fleet() as running:
        yield running


def start_alone(fleet: HostFleet, number: int) -> HostProcess:
    host = fleet.start_host(f"alone-{number}", address=f"127.0.0.{number + 20}")
    fleet.wait_ready()
    return host


# Guards against a count of crashes that begins anew whenever all hosts end.
def test_crashes_under_a_part_count_beyond_the_end_of_all_hosts(fleet: HostFleet) -> None:
    engines = add_engines(fleet, 9)
    for number in range(6):
        start_alone(fleet, number)
        caller = fleet.call_at(
            number,
            f"/long/a{number}",
            attempt=f"a{number}",
            body=b"%d" % number,
            parts=f"aa:600,bad:300,own{number}:40",
        )
        fleet.run_for(0.5)
        end_hosts(fleet)
    assert caller.error["code"] == 2012
    assert count_arrivals(engines) == 2
    sound = fleet.call_at(5, "/long/sound", attempt="s", body=b"s", parts="aa:600,cc:300,s:40")
    assert sound.body == b"".join(EVENTS)


# Guards against the same under equal requests.
def test_losses_of_equal_requests_count_beyond_the_end_of_all_hosts(fleet: HostFleet) -> None:
    upstreams = [fleet.add_upstream(f"s{number}", behavior=harness.reset) for number in range(9)]
    for number in range(6):
        start_alone(fleet, number)
        caller = fleet.call_at(number, "/lookup/x", attempt=f"a{number}")
        fleet.run_for(0.5)
        end_hosts(fleet)
    assert caller.error["code"] == 2012
    assert sum(len(upstream.requests) for upstream in upstreams) == 3


# Guards against a sound part that is refused after the end of all hosts for crashes from before an
# answer, and against a write for each answer.
def test_an_answer_clears_a_part_in_the_record_once(fleet: HostFleet, writes: list[bytes]) -> None:
    add_engines(fleet, 9)
    start_hosts(fleet, 2)
    send(fleet, 0, "aa:600,bad:300,own0:40")
    fleet.run_for(0.5)
    for number in range(1, 12):
        send(fleet, number, f"aa:600,cc:300,own{number}:40")
    fleet.run_for(6.0)
    assert 0 < len(writes) <= 3
    end_hosts(fleet)
    later = start_alone(fleet, 0)
    fleet.run_for(0.2)
    suspects = later._crashes.suspects
    known = {each.part: len(each.losses) for each in suspects.list_records(0.0)}
    assert list(known.values()) == [1]  # under "bad"
    record_crash(later, 77, "aa")
    assert not suspects.list_quarantined(build_parts("aa"), fleet.reactor.seconds())


# Guards against a row for each part and a write for each crash where a common cause ends many
# upstreams at once, and against a record that grows without end.
def test_many_crashes_at_once_cost_few_rows_and_writes(
    fleet: HostFleet, writes: list[bytes]
) -> None:
    start_hosts(fleet, 3)
    now_s = fleet.reactor.seconds()
    for crash in range(300):
        host = fleet.processes[crash % 3]._crashes
        loss = PartLoss(crash=Crash(crash), sent_s=now_s - 1.0, lost_s=now_s)
        parts = build_parts(f"a{crash} b{crash}")
        host._report_suspects(host.suspects.record_loss(parts, loss))
    fleet.run_for(8.0)
    assert len(fleet.store.list_keys(TABLE)) == 1
    assert 0 < len(writes) <= 12
    assert max(map(len, writes)) < 40_000
    end_hosts(fleet)
    assert 200 < count_known(fleet) <= 240


# Guards against a record of nothing where one moment has more crashes than the row can hold.
def test_the_row_is_filled_from_crashes_at_one_moment() -> None:
    suspects = CrashSuspects()
    for crash in range(300):
        record_losses(suspects, f"a{crash} b{crash}", [crash], lost_s=1.0)
    recorded = RecordedCrashes(losses=LossTracker(), suspects=suspects)
    (row,) = recorded.build_rows(now_s=2.0).values()
    assert len(row) == 240

"""Real processes stay within memory and descriptors while crowds read long answers slowly."""

from collections.abc import Iterator
from pathlib import Path

import pytest

from .host_harness import build_request
from .slow_readers import BulkFleet, running_bulk_fleet

pytestmark = [pytest.mark.process, pytest.mark.memory]

MAX_FDS = 240


@pytest.fixture
def fleet(tmp_path: Path) -> Iterator[BulkFleet]:
    with running_bulk_fleet(tmp_path) as fleet:
        yield fleet


def ask(path: str, count: int = 1) -> list[bytes]:
    return [build_request(path, attempt=f"a{n}", deadline_ms=60_000) for n in range(count)]


# Each of these guards against a host that holds whole answers for callers that read them slowly.
@pytest.mark.parametrize("framing", ["plain", "unframed"])
def test_long_answers_read_slowly(fleet: BulkFleet, framing: str) -> None:
    fleet.join(160, *ask(f"/lookup/{framing}/1000000"))
    fleet.play(20)
    fleet.check_within_memory()
    fleet.check_serves()


def test_long_answers_not_read_at_all(fleet: BulkFleet) -> None:
    fleet.join(160, *ask("/lookup/plain/1000000"))
    fleet.play(20, reads=False)
    fleet.check_within_memory()
    fleet.check_serves()


def test_streams_read_slowly(fleet: BulkFleet) -> None:
    fleet.join(800, *ask("/short/stream/1500000"))
    fleet.play(20)
    fleet.check_within_memory()
    fleet.check_serves()


# Guards against memory of a whole answer for each request sent ahead on a connection.
@pytest.mark.parametrize(("count", "size"), [(30, 900_000), (250, 60_000)])
def test_requests_sent_ahead(fleet: BulkFleet, count: int, size: int) -> None:
    fleet.join(20, *ask(f"/lookup/plain/{size}", count))
    fleet.play(20)
    fleet.check_within_memory()
    fleet.check_serves()


# Guards against long bodies that add up while slow callers send them (review/5).
def test_long_bodies_sent_slowly(fleet: BulkFleet) -> None:
    body = b"x" * 4_000_000
    request = build_request("/lookup/plain/20", body=body, deadline_ms=60_000)
    fleet.join(40, request[:-1])
    fleet.play(20)
    fleet.check_within_memory()
    fleet.check_serves()


# Guards against a host that accepts callers until it has no descriptors left for upstreams.
def test_more_callers_than_descriptors(tmp_path: Path) -> None:
    with running_bulk_fleet(tmp_path, max_fds=MAX_FDS) as fleet:
        fleet.join(150, *ask("/lookup/plain/1500000"))
        fleet.join(150)
        fleet.play(8)
        assert fleet.count_descriptors() < MAX_FDS
        fleet.check_within_memory()
        fleet.check_serves()


# Guards against a planned stop that waits for slow readers until the process is killed.
def test_a_planned_stop_beside_slow_readers(fleet: BulkFleet) -> None:
    fleet.join(40, *ask("/lookup/plain/1500000"))
    fleet.join(40, *ask("/lookup/plain/60000", 20))
    fleet.play(4)
    assert fleet.stop_host() == 0


# Guards against upstream connections that stay open although no request can use them any more.
def test_upstream_connections_end_after_callers_have_left(fleet: BulkFleet) -> None:
    before = fleet.count_descriptors()
    fleet.join(100, *ask("/lookup/plain/60000"))
    fleet.play(4)
    fleet.leave()
    fleet.wait_for_descriptors(before)
    fleet.check_serves()

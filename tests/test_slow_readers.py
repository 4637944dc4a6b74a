"""Real processes stay within memory and descriptors while crowds read long answers slowly."""

from collections.abc import Iterator
from pathlib import Path

import pytest

from .host_harness import build_request
from .raw_caller import build_request as build_entry_request
from .slow_readers import EntryPlay, HostPlay, running_play

pytestmark = [pytest.mark.process, pytest.mark.memory]

MAX_FDS = 240


@pytest.fixture
def host(tmp_path: Path) -> Iterator[HostPlay]:
    with running_play(HostPlay, tmp_path) as host:
        yield host


@pytest.fixture
def entry(tmp_path: Path) -> Iterator[EntryPlay]:
    with running_play(EntryPlay, tmp_path) as entry:
        yield entry


def ask(path: str, count: int = 1) -> list[bytes]:
    return [build_request(path, attempt=f"a{n}", deadline_ms=60_000) for n in range(count)]


def ask_entry(size: int, count: int = 1) -> list[bytes]:
    path = f"/services/bookings/plain/{size}"
    return [build_entry_request(method="GET", path=path)] * count


# Each of these guards against a host that holds whole answers for callers that read them slowly.
@pytest.mark.parametrize("framing", ["plain", "unframed"])
def test_long_answers_read_slowly(host: HostPlay, framing: str) -> None:
    host.join(160, *ask(f"/lookup/{framing}/1000000"))
    host.play(20)
    host.check_within_memory()
    host.check_serves()


def test_long_answers_not_read_at_all(host: HostPlay) -> None:
    host.join(160, *ask("/lookup/plain/1000000"))
    host.play(20, reads=False)
    host.check_within_memory()
    host.check_serves()


def test_streams_read_slowly(host: HostPlay) -> None:
    host.join(800, *ask("/short/stream/1500000"))
    host.play(20)
    host.check_within_memory()
    host.check_serves()


# Guards against memory of a whole answer for each request sent ahead on a connection.
@pytest.mark.parametrize(("count", "size"), [(30, 900_000), (250, 60_000)])
def test_requests_sent_ahead(host: HostPlay, count: int, size: int) -> None:
    host.join(20, *ask(f"/lookup/plain/{size}", count))
    host.play(20)
    host.check_within_memory()
    host.check_serves()


# Guards against long bodies that add up while slow callers send them (review/5).
def test_long_bodies_sent_slowly(host: HostPlay) -> None:
    body = b"x" * 4_000_000
    request = build_request("/lookup/plain/20", body=body, deadline_ms=60_000)
    host.join(40, request[:-1])
    host.play(20)
    host.check_within_memory()
    host.check_serves()


# Guards against a host that accepts callers until it has no descriptors left for upstreams.
def test_more_callers_than_descriptors(tmp_path: Path) -> None:
    with running_play(HostPlay, tmp_path, max_fds=MAX_FDS) as host:
        host.join(150, *ask("/lookup/plain/1500000"))
        host.join(150)
        host.play(8)
        assert host.count_descriptors() < MAX_FDS
        host.check_within_memory()
        host.check_serves()


# Guards against a planned stop that waits for slow readers until the process is killed.
def test_a_planned_stop_beside_slow_readers(host: HostPlay) -> None:
    host.join(40, *ask("/lookup/plain/1500000"))
    host.join(40, *ask("/lookup/plain/60000", 20))
    host.play(4)
    assert host.stop_process() == 0


# Guards against upstream connections that stay open although no request can use them any more.
def test_upstream_connections_end_after_callers_have_left(host: HostPlay) -> None:
    before = host.count_descriptors()
    host.join(100, *ask("/lookup/plain/60000"))
    host.play(4)
    host.leave()
    host.wait_for_descriptors(before)
    host.check_serves()


# The same for the entry process, with answers of plain services up to 1 MiB buffered.
@pytest.mark.parametrize("reads", [True, False])
def test_entry_with_long_answers_read_slowly(entry: EntryPlay, reads: bool) -> None:
    entry.join(160, *ask_entry(1_000_000))
    entry.play(20, reads=reads)
    entry.check_within_memory()
    entry.check_serves()


@pytest.mark.parametrize(("count", "size"), [(30, 900_000), (250, 60_000)])
def test_entry_with_requests_sent_ahead(entry: EntryPlay, count: int, size: int) -> None:
    entry.join(20, *ask_entry(size, count))
    entry.play(20)
    entry.check_within_memory()
    entry.check_serves()


def test_entry_with_streams_read_slowly(entry: EntryPlay) -> None:
    path = "/services/bookings/stream/1500000"
    entry.join(800, build_entry_request(method="GET", path=path))
    entry.play(20)
    entry.check_within_memory()
    entry.check_serves()


def test_a_planned_stop_of_an_entry_beside_slow_readers(entry: EntryPlay) -> None:
    entry.join(40, *ask_entry(900_000))
    entry.join(40, *ask_entry(60_000, 20))
    entry.play(4)
    assert entry.stop_process() == 0


def test_entry_with_long_bodies_sent_slowly(entry: EntryPlay) -> None:
    request = build_entry_request(b"x" * 4_000_000, path="/services/bookings/plain/20")
    entry.join(40, request[:-1])
    entry.play(20)
    entry.check_within_memory()
    entry.check_serves()

"""What proves that a stream of unknown origin began at the only version that a host sees."""

import pytest

from greengagestage.ids import AttemptId

from .store_timeline import NEW, OLD, Timeline


def release_at_once(timeline: Timeline) -> None:
    """Let the new version's upstream join and the old one's drain."""
    timeline.list_upstream(NEW)
    timeline.list_upstream(OLD, "draining")


def begin_at_new(timeline: Timeline, number: int) -> AttemptId:
    """Begin a stream at the new version as soon as the host may."""
    for _ in range(400):
        stream = timeline.hosts[number].begin_stream()
        if stream is not None and timeline.hosts[number].begun[stream] == NEW:
            return stream
        timeline.run(0.01)
    raise AssertionError("no stream began at the new version")


# Guards against text of two versions in one stream: the store has lost the entries of a release,
# whose upstreams have not written them again, when a host reads them for the first time.
@pytest.mark.parametrize("from_copy", [True, False])
def test_a_list_that_its_writers_have_not_completed_proves_nothing(
    monkeypatch: pytest.MonkeyPatch, from_copy: bool
) -> None:
    timeline = Timeline(monkeypatch)
    timeline.cut.add(0)
    release_at_once(timeline)
    stream = begin_at_new(timeline, 1)
    timeline.run(1.6)
    timeline.take_down()
    timeline.run(0.5)
    timeline.bring_back(from_copy=from_copy, without=(NEW,))
    timeline.cut.clear()
    timeline.apart = True
    for _ in range(30):
        assert timeline.hosts[0].take_up(stream) in (None, NEW)
        timeline.run(0.1)


# Guards against a version that came and went while a host was cut off.
@pytest.mark.parametrize("cut_s", [4.0, 8.0])
def test_a_version_that_came_and_went_during_a_cut_still_counts(
    monkeypatch: pytest.MonkeyPatch, cut_s: float
) -> None:
    timeline = Timeline(monkeypatch)
    timeline.cut.add(0)
    release_at_once(timeline)
    stream = begin_at_new(timeline, 1)
    timeline.remove_upstream(NEW)
    timeline.list_upstream(OLD)
    timeline.run(cut_s)
    timeline.cut.clear()
    timeline.apart = True
    for _ in range(60):
        assert timeline.hosts[0].take_up(stream) in (None, NEW)
        timeline.run(0.1)


# Guards against a version that no row and no host remembers: it was listed alone, got streams at
# once, and left while all hosts were replaced.
def test_a_version_that_is_listed_alone_is_recorded_before_streams_begin(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    timeline = Timeline(monkeypatch)
    timeline.cut.add(0)  # the host that would write at once
    release_at_once(timeline)
    stream = begin_at_new(timeline, 1)
    timeline.cut.clear()
    for host in timeline.hosts.values():
        host.stop()
    timeline.remove_upstream(NEW)
    timeline.list_upstream(OLD)
    timeline.start_host(0)
    timeline.run(3.0)
    assert timeline.hosts[0].take_up(stream) in (None, NEW)


# Guards against the same at hosts that have not yet read which versions are recorded.
def test_a_version_is_recorded_before_streams_begin_after_a_start(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    timeline = Timeline(monkeypatch)
    for host in timeline.hosts.values():
        host.stop()
    release_at_once(timeline)
    timeline.start_host(0)
    host = timeline.hosts[0]
    while not host.upstreams:
        timeline.step()
    assert host.begin_stream() is None
    timeline.run(0.4)
    assert host.begin_stream() is None
    timeline.run(2.0)
    assert host.begin_stream() is not None


# Guards against a version that was listed between two reads of a host only: the other host has
# begun a stream at it, and no datagram of that host has arrived.
def test_a_version_that_came_and_went_between_two_reads_still_counts(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    timeline = Timeline(monkeypatch)
    timeline.apart = True
    begun: list[AttemptId] = []
    for _ in range(20):
        release_at_once(timeline)
        for _ in range(20):
            timeline.run(0.02)
            stream = timeline.hosts[1].begin_stream()
            if stream is not None and timeline.hosts[1].begun[stream] == NEW:
                begun.append(stream)
                break
        timeline.remove_upstream(NEW)
        timeline.list_upstream(OLD)
        assert {timeline.hosts[0].take_up(stream) for stream in begun} <= {None, NEW}
        timeline.run(0.3)
    assert begun


# Guards against streams that wait without end while the store takes no writes.
def test_a_version_that_is_listed_alone_serves_soon_without_a_record(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    timeline = Timeline(monkeypatch)
    timeline.takes_writes = False
    release_at_once(timeline)
    assert begin_at_new(timeline, 1)


# Guards against refusals for longer than upstreams need to write their entries again.
@pytest.mark.parametrize(("down_s", "from_copy"), [(0.5, True), (0.5, False), (4.0, False)])
def test_streams_are_taken_up_again_soon_after_an_outage(
    monkeypatch: pytest.MonkeyPatch, down_s: float, from_copy: bool
) -> None:
    timeline = Timeline(monkeypatch)
    timeline.take_down()
    timeline.run(down_s)
    timeline.bring_back(from_copy=from_copy)
    timeline.run(3.5)
    assert {host.take_up(AttemptId("elsewhere")) for host in timeline.hosts.values()} == {OLD}


# Guards against refusals of streams that their host can tell of, while no host can prove that it
# has seen all versions: the store was away for long and has lost the row.
def test_streams_of_running_hosts_are_taken_up_after_a_long_drill(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    timeline = Timeline(monkeypatch)
    stream = timeline.hosts[1].begin_stream()
    timeline.take_down()
    timeline.run(4.0)
    timeline.bring_back(from_copy=True)
    timeline.run(1.5)
    assert timeline.hosts[0].take_up(stream) == OLD

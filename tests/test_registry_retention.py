"""Entries that are missing after an outage: kept if they may come back, and gone after a cut."""

import pytest

from .store_timeline import NEW, OLD, Timeline


def list_known(timeline: Timeline, number: int) -> set[str | None]:
    return {each.software_version for each in timeline.hosts[number].upstreams}


# Guards against requests to an upstream that left while this host alone was cut off (DRAIN): the
# host is in touch again 3 s after the cut.
@pytest.mark.parametrize("cut_off", [0, 1])
@pytest.mark.parametrize("healed_s", [0.0, 0.2, 0.4, 0.6, 0.8])
def test_an_upstream_that_left_during_a_cut_is_dropped_once_other_hosts_show_that(
    monkeypatch: pytest.MonkeyPatch, cut_off: int, healed_s: float
) -> None:
    timeline = Timeline(monkeypatch)
    timeline.list_upstream(NEW)
    timeline.run(2.0)
    timeline.cut.add(cut_off)
    timeline.run(4.0)
    timeline.remove_upstream(NEW)
    timeline.run(1.6 + healed_s)
    timeline.cut.clear()
    timeline.run(2.9)
    assert list_known(timeline, cut_off) == {OLD}


# Guards against the loss of upstreams whose entries expired while the store was away, also where a
# host has started since, and has seen nothing of the outage.
@pytest.mark.parametrize("restarted", [None, 0, 1])
def test_entries_that_expired_in_an_outage_are_kept_until_they_are_written_again(
    monkeypatch: pytest.MonkeyPatch, restarted: int | None
) -> None:
    timeline = Timeline(monkeypatch)
    timeline.take_down()
    timeline.run(4.0)
    timeline.bring_back(without=(OLD,))
    if restarted is not None:
        timeline.start_host(restarted)
    for _ in range(30):
        timeline.run(0.1)
        kept = [number for number in (0, 1) if number != restarted]
        assert all(list_known(timeline, number) == {OLD} for number in kept)


# Guards against an entry that stays longer than its upstream has time to write it again.
def test_a_missing_entry_is_dropped_when_the_time_to_write_it_has_passed(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    timeline = Timeline(monkeypatch)
    timeline.list_upstream(NEW)
    timeline.run(2.0)
    timeline.take_down()
    timeline.run(4.0)
    timeline.bring_back()
    timeline.remove_upstream(NEW)
    timeline.run(2.3 + 0.7)
    assert [list_known(timeline, number) for number in (0, 1)] == [{OLD}, {OLD}]

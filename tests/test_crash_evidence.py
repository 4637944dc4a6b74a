"""What hosts find out about crashing prompt parts beside faults, and keep beyond their own end."""

from collections.abc import Iterator

import pytest

from . import host_harness as harness
from .cut_links import Cut, CutHost
from .host_harness import HostFleet, running_fleet
from .test_crashing_parts import MAX_CRASHES, add_engines, count_arrivals, send


@pytest.fixture
def fleet() -> Iterator[HostFleet]:
    with running_fleet() as running:
        yield running


# Guards against crashes that count for nothing because another host has forwarded the requests.
@pytest.mark.parametrize("cut", [Cut.RESET, Cut.SURVIVING])
def test_crashes_under_forwarded_requests_count(fleet: HostFleet, cut: Cut) -> None:
    host = CutHost(fleet)
    engines = add_engines(fleet, 9)
    fleet.run_until(lambda: len(host.process._router.upstreams) == 15)
    host.lose_links(cut)
    host.set_behavior(harness.crash_on_part("bad"))
    engines += [fleet.upstreams[f"engine-{number}"] for number in (1, 2, 3)]
    for number in range(8):
        caller = send(fleet, number, f"aa:600,bad:300,own{number}:40")
    assert host.forwarded
    assert count_arrivals(engines) <= MAX_CRASHES
    assert (caller.status, caller.error["code"]) == (503, 2012)

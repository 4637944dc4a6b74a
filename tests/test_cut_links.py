"""Hosts that have lost their links to upstreams, which the other hosts still reach."""

import pytest

from .cut_links import Cut, CutHost
from .host_harness import EVENTS, running_fleet

CALLS = 12


@pytest.fixture
def host():
    with running_fleet() as fleet:
        yield CutHost(fleet)


# Guards against callers that are refused at a host without links to upstreams, while the other
# hosts still reach them.
@pytest.mark.parametrize("cut", list(Cut))
@pytest.mark.parametrize("path", ["/lookup/x", "/order/x", "/short/x", "/long/x"])
def test_a_host_without_links_to_upstreams_serves_its_callers(
    host: CutHost, path: str, cut: Cut
) -> None:
    for number in range(CALLS):
        host.fleet.call("/lookup/x", attempt=f"before-{number}")
    host.cut(cut)
    host.fleet.run_for(0.1)
    for number in range(CALLS):  # within the stability window, when failures are allowed
        host.fleet.call("/lookup/x", attempt=f"early-{number}", deadline_ms=1_000)
        host.fleet.call("/short/x", attempt=f"early-stream-{number}", deadline_ms=1_000)
    statuses = []
    for number in range(CALLS):
        caller = host.fleet.call(path, attempt=f"late-{number}")
        statuses.append(caller.status)
        assert host.count_runs(f"late-{number}") == 1
        if path in ("/short/x", "/long/x"):
            assert caller.body == b"".join(EVENTS)
    assert statuses == [200] * CALLS

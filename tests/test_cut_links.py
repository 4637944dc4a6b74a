"""Hosts that have lost their links to upstreams, which the other hosts still reach."""

import pytest

from .cut_links import Cut, CuttableReactor
from .host_harness import EVENTS, HostFleet, choose_port, running_fleet

CALLS = 12


class CutHost:
    """A host with links that can be cut, beside two others with links of their own."""

    def __init__(self, fleet: HostFleet) -> None:
        self.fleet = fleet
        for number in (1, 2, 3):
            fleet.add_upstream(f"archive-{number}")
            fleet.add_upstream(f"engine-{number}", service="engines")
        port = choose_port()
        self.links = CuttableReactor(fleet.reactor)
        self.others = [
            fleet.start_host(f"host-{number}", address=f"127.0.0.{number}", peer_port=port)
            for number in (2, 3)
        ]
        self.process = fleet.start_host(
            "host-1", address="127.0.0.4", peer_port=port, reactor=self.links
        )
        fleet.wait_ready()
        fleet.run_until(lambda: self.process._peers.known_hosts == 3)

    def cut(self, cut: Cut) -> None:
        """Cut the links to all upstreams."""
        ports = [each.port.getHost().port for each in self.fleet.upstreams.values()]
        self.links.cut(cut, ports)

    def count_runs(self, attempt: str) -> int:
        """Return how often upstreams have received a request."""
        upstreams = self.fleet.upstreams.values()
        return sum(each.attempt_ids.count(attempt.encode()) for each in upstreams)


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

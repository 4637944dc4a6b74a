"""Hosts that have lost their links to upstreams, which the other hosts still reach."""

import pytest

from . import host_harness as harness
from .cut_links import Cut, CutHost, SuspectingHosts
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


# Guards against sound parts of prompts that are blamed for crashes because a host's links to all
# upstreams were reset in the middle of answers.
def test_links_that_are_reset_do_not_look_like_crashes(host: CutHost) -> None:
    def begin(upstream, request, responder) -> None:
        responder.begin(200, harness.build_identity_headers(request))

    host.set_behavior(begin)
    callers = [
        host.fleet.connect(
            harness.build_request("/long/x", attempt=f"c{n}", parts=f"aa:600,b{n}:9")
        )
        for n in range(9)
    ]
    host.fleet.run_until(lambda: all(b"\r\n\r\n" in each.data for each in callers))
    host.set_behavior(harness.serve)
    host.cut(Cut.RESET)
    for number in range(6):
        host.fleet.call("/short/x", attempt=f"next-{number}", parts=f"other{number}:10,c:9")
    host.fleet.run_for(0.2)
    suspects = host.process._crashes.suspects
    assert not suspects.list_records(host.fleet.reactor.seconds())
    assert host.fleet.call("/long/x", attempt="sound").status == 200


# Guards against sound upstreams that get no work any more because all hosts suspected their links
# at once, so that no host could forward a request, and none tried its own link.
def test_upstreams_that_all_hosts_suspected_at_once_get_work_again() -> None:
    with running_fleet() as fleet:
        hosts = SuspectingHosts(fleet, suspected=("archive-1", "archive-2"))
        hosts.suspect()
        assert hosts.call_until_served(1.0) == 0
        hosts.heal()
        assert hosts.call_until_restored(6.0) == 6
        assert hosts.call_until_served(0.5) >= 1

"""Reads of the registry that many hosts share, in memory: who reads, and how often."""

import json
from base64 import b64encode
from random import Random

import pytest
from twisted.internet.defer import Deferred
from twisted.internet.task import Clock

from greengagestage.gateway.peers._peer_messages import RegistryReport
from greengagestage.gateway.watches._registry_watch import READ_INTERVAL_S, RegistryWatch
from greengagestage.gateway.watches._store_era import StoreEra
from greengagestage.platform import RowsRead, StoredRow

READ_TIME_S = 0.03
REPORT_TIME_S = 0.02
STEP_S = 0.005
ENTRY = {
    "Service": "archive",
    "Address": "10.0.0.1:80",
    "Zone": "a",
    "Slots": 4,
    "State": "ready",
    "Sequence": 1,
}


class SlowRows:
    """Answers each read after ``READ_TIME_S`` and keeps the times at which reads began."""

    def __init__(self, clock: Clock) -> None:
        self.started_s: list[float] = []
        self._clock = clock

    def read(self, table: str) -> Deferred[RowsRead]:
        self.started_s.append(self._clock.seconds())
        answer: Deferred[RowsRead] = Deferred()
        value = b64encode(json.dumps(ENTRY).encode()).decode()
        rows = [StoredRow(key="one", value_base64=value, revision=1)]
        self._clock.callLater(READ_TIME_S, answer.callback, RowsRead(rows=rows, revision=1))
        return answer


class SharingHosts:
    """Hosts of all ranks that read one registry and report each read to all others."""

    def __init__(self, hosts: int, seed: int) -> None:
        self.clock = Clock()
        self.rows = SlowRows(self.clock)
        self.watches = [self._build_watch(rank, Random(seed + rank)) for rank in range(hosts)]
        for watch in self.watches:
            watch.start()

    def _build_watch(self, rank: int, random: Random) -> RegistryWatch:
        return RegistryWatch(
            reactor=self.clock,
            rows=self.rows,
            era=StoreEra(),
            random=random,
            on_change=lambda upstreams: None,
            on_returned=lambda upstream: None,
            on_report=self._send_report,
            get_rank=lambda: rank,
        )

    def _send_report(self, report: RegistryReport) -> None:
        self.clock.callLater(REPORT_TIME_S, self._deliver, report)

    def _deliver(self, report: RegistryReport) -> None:
        for watch in self.watches:
            watch.receive_report(report)

    def run_for(self, duration_s: float) -> int:
        """Let time pass; return the number of reads that began meanwhile."""
        before = len(self.rows.started_s)
        for _ in range(round(duration_s / STEP_S)):
            self.clock.advance(STEP_S)
        return len(self.rows.started_s) - before


@pytest.mark.parametrize("seed", range(5))
@pytest.mark.parametrize("hosts", [2, 4, 9, 84])
def test_one_host_reads_for_all(hosts: int, seed: int) -> None:
    """Hosts of neighbouring ranks must not read before the report of the first has arrived."""
    fleet = SharingHosts(hosts, seed)
    fleet.run_for(2.0)
    assert fleet.run_for(30.0) <= 30.0 / READ_INTERVAL_S + 1


@pytest.mark.parametrize("seed", range(5))
def test_few_hosts_read_when_the_first_ones_are_lost(seed: int) -> None:
    fleet = SharingHosts(195, seed)
    fleet.run_for(2.0)
    for watch in fleet.watches[:6]:
        watch.stop()
    assert fleet.run_for(1.5) <= 195 / 2


def test_a_host_told_by_peers_does_not_read() -> None:
    """A host alone reads about every interval; one that receives reports of peers does not read."""
    fleet = SharingHosts(1, seed=1)
    assert fleet.run_for(3.0) >= 3
    (watch,) = fleet.watches
    for _ in range(6):
        watch.receive_report(RegistryReport(watch._digest, 10_000))
        assert fleet.run_for(0.4) == 0

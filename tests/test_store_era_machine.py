"""Random drills: a store that goes down and comes back from older copies, under several hosts."""

from random import Random

import pytest
from twisted.internet.defer import Deferred
from twisted.internet.task import Clock

from greengagestage.gateway.peers._peer_messages import ConfigurationReport
from greengagestage.gateway.watches import _route_watch
from greengagestage.gateway.watches._route_watch import RouteWatch
from greengagestage.gateway.watches._store_era import StoreEra
from greengagestage.outcomes import Unavailable
from greengagestage.platform._rows import ReadOutcome, _interpret_read
from greengagestage.platform._store_calls import StoreAnswer
from standins._row_tables import RowTables, StoreReply

from .host_harness import build_document

HOSTS = 4
DRILL_S = 40.0
STEP_S = 0.02
MAX_REWRITE_S = 2.0
"""The operator writes a lost version again within this time of the store's return."""


class DrilledStore:
    """The operator's table and the operator, on a simulated clock."""

    def __init__(self, *, clock: Clock, random: Random) -> None:
        self.clock = clock
        self.tables = RowTables()
        self.is_down = False
        self.acknowledged_s: dict[int, float] = {}
        self._random = random
        self._clock_offset_s = 50.0
        self._copy = self.tables.copy()
        self._watches: list[tuple[int, Deferred[StoreReply | None]]] = []
        self.write(1)

    @property
    def newest(self) -> int:
        return max(self.acknowledged_s)

    def write(self, version: int) -> None:
        self.tables.put("op", "config", build_document(version))
        self.acknowledged_s.setdefault(version, self.clock.seconds())
        for after, answer in list(self._watches):
            self._answer_watch(after, answer)

    def take_copy(self) -> None:
        self._copy = self.tables.copy()

    def go_down(self) -> None:
        self.is_down = True
        watches, self._watches = self._watches, []
        for _, answer in watches:
            answer.callback(None)

    def come_back(self, *, lost: bool) -> None:
        self.is_down = False
        if lost:
            self.tables.restore(self._copy)
            self._clock_offset_s = self._random.uniform(0.0, 100.0)
            self.clock.callLater(self._random.uniform(0.0, MAX_REWRITE_S), self._rewrite)

    def read(self) -> Deferred[StoreReply | None]:
        answer: Deferred[StoreReply | None] = Deferred()
        answer.callback(None if self.is_down else self._stamp().read({"Table": "op"}))
        return answer

    def watch(self, after: int, wait_s: float) -> Deferred[StoreReply | None]:
        answer: Deferred[StoreReply | None] = Deferred()
        if self.is_down:
            answer.callback(None)
        elif after > self.tables.revision:
            answer.callback(StoreReply(status=410, body=b""))
        else:
            self._watches.append((after, answer))
            if not self._answer_watch(after, answer):
                self.clock.callLater(wait_s, self._answer_watch, after, answer, expired=True)
        return answer

    def _rewrite(self) -> None:
        if self.is_down:
            self.clock.callLater(0.1, self._rewrite)
        elif build_document(self.newest) not in [row.value for row in self.tables.list_rows("op")]:
            self.write(self.newest)

    def _answer_watch(
        self, after: int, answer: Deferred[StoreReply | None], *, expired: bool = False
    ) -> bool:
        rows = self.tables.list_changes("op", after)
        if answer.called or not (rows or expired):
            return False
        self._watches.remove((after, answer))
        answer.callback(self._stamp().build_reply(rows))
        return True

    def _stamp(self) -> RowTables:
        self.tables.now_ms = round((self.clock.seconds() + self._clock_offset_s) * 1_000)
        return self.tables


class DrilledRows:
    """One host's client of the store, with links that take a while."""

    def __init__(self, *, store: DrilledStore, random: Random, era: StoreEra) -> None:
        self._store = store
        self._random = random
        self._era = era

    def read(self, table: str) -> Deferred[ReadOutcome]:
        return self._call(lambda: self._store.read())

    def watch(self, table: str, *, after: int, wait_s: float) -> Deferred[ReadOutcome]:
        return self._call(lambda: self._store.watch(after, wait_s))

    def _call(self, start: object) -> Deferred[ReadOutcome]:
        outcome: Deferred[ReadOutcome] = Deferred()

        def deliver(reply: StoreReply | None, era: int) -> None:
            if reply is None:
                outcome.callback(Unavailable(reason="down"))
                return
            self._era.observe(era)
            outcome.callback(
                _interpret_read(StoreAnswer(status=reply.status, body=reply.body, era=era))
            )

        def send() -> None:
            start().addCallback(lambda reply: self._delay(deliver, reply, self._store.tables.era))

        self._delay(send)
        return outcome

    def _delay(self, function: object, *arguments: object) -> None:
        self._store.clock.callLater(self._random.uniform(0.001, 0.06), function, *arguments)


class DrilledHosts:
    """Hosts that watch the configuration and report to each other; a fifth of reports are lost."""

    def __init__(self, seed: int) -> None:
        self.clock, self._random = Clock(), Random(seed)
        self.clock.advance(1_000.0)
        self.store = DrilledStore(clock=self.clock, random=self._random)
        self.adopted: list[list[int]] = [[] for _ in range(HOSTS)]
        self.calls = 0
        self.watches = [self._build_watch(rank) for rank in range(HOSTS)]
        for watch in self.watches:
            watch.start()

    def _build_watch(self, rank: int) -> RouteWatch:
        era = StoreEra()
        return RouteWatch(
            reactor=self.clock,
            rows=DrilledRows(store=self.store, random=self._random, era=era),
            era=era,
            random=self._random,
            on_table=lambda table: self.adopted[rank].append(table.version),
            on_report=lambda report, changed: self._send(rank, report),
            get_rank=lambda: rank,
        )

    def _send(self, sender: int, report: ConfigurationReport) -> None:
        for rank, watch in enumerate(self.watches):
            if rank != sender and self._random.random() < 0.8:
                delay_s = self._random.uniform(0.001, 0.1)
                self.clock.callLater(delay_s, watch.receive_report, report)

    def run_for(self, duration_s: float) -> None:
        """Let time pass and check after each step that no confirmation is wrong."""
        for _ in range(round(duration_s / STEP_S)):
            self.clock.advance(STEP_S)
            for watch, adopted in zip(self.watches, self.adopted, strict=True):
                if watch.age_s is None:
                    continue
                confirmed_s = self.clock.seconds() - watch.age_s
                for version, acknowledged_s in self.store.acknowledged_s.items():
                    assert version <= adopted[-1] or acknowledged_s >= confirmed_s - 0.01

    def drill(self) -> None:
        """Write versions, take copies and let the store fail, at random times."""
        random, store = self._random, self.store
        ends_s = self.clock.seconds() + DRILL_S
        while self.clock.seconds() < ends_s:
            self.run_for(random.uniform(0.05, 1.2))
            match random.choice(("write", "copy", "outage", "loss", "unseen loss")):
                case "write":
                    store.write(store.newest + random.randint(1, 3))
                case "copy":
                    store.take_copy()
                case "outage":
                    self._interrupt(lost=False)
                case "loss":
                    self._interrupt(lost=True)
                case "unseen loss":
                    self._interrupt(lost=True, written=store.newest + 1)

    def _interrupt(self, *, lost: bool, written: int | None = None) -> None:
        """Let the store fail; a version may be written when no host reaches it any more."""
        self.store.go_down()
        if written is not None:
            self.store.write(written)
        self.run_for(self._random.uniform(0.02, 2.5))
        self.store.come_back(lost=lost)


@pytest.mark.parametrize("seed", [*range(12), 22, 31, 1394])
def test_no_drill_reverts_a_configuration_or_confirms_an_outdated_one(
    seed: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Confirmed versions must have been the newest acknowledged ones, or keys would live on."""
    hosts = DrilledHosts(seed)
    monkeypatch.setattr(_route_watch, "read_boot_time_s", hosts.clock.seconds)
    hosts.run_for(2.0)
    hosts.drill()
    hosts.run_for(6.0)
    for watch, adopted in zip(hosts.watches, hosts.adopted, strict=True):
        assert adopted == sorted(set(adopted))
        assert adopted[-1] == hosts.store.newest
        assert watch.age_s < 2.0

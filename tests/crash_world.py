"""Hosts that know what crashes upstreams, a store and callers, on a simulated clock.

A request crashes each upstream that runs it. The world sees all sends and crashes, whatever hosts
know of them.
"""

from collections.abc import Callable
from dataclasses import replace
from itertools import count
from random import Random
from types import SimpleNamespace
from typing import Any

import pytest
from twisted.internet.task import Clock

from greengagestage.gateway.crashes import CrashKnowledge, LostAnswer, _crash_table
from greengagestage.gateway.peers import MAX_RECORDS, build_loss_reports, read_loss_report
from greengagestage.gateway.watches._store_era import StoreEra
from greengagestage.ids import Fingerprint, HostId
from greengagestage.routing import Job, LossRecord, ObservedLoss
from standins._row_tables import RowTables

from .catalog_builders import LOOKUP, build_job, build_upstream
from .store_timeline import DATAGRAM_S, TimelineRows

DEADLY = Fingerprint("deadly")

GOSSIP_S = 0.5
CRASH_S = 0.02
"""Time from a send to the end of its connection, or to its answer."""

SETTLE_S = 3.0
"""Time after a disturbance until a host is in touch again."""

CRASHES_BEFORE = 3
"""Number of crashes after which the sends of a request are counted."""


class CrashWorld:
    """Hosts that callers ask to send equal requests.

    Attributes:
        is_deadly: Whether the requests crash the upstreams that run them; they are answered else.
        late_sends_s: Times of the sends by hosts in touch, later than ``SETTLE_S`` after the crash
            number ``CRASHES_BEFORE``.
        fail_share: Share of the sends that an upstream answers with an error before it begins them.
        refuse_share: Share of the sends that an upstream refuses.
        lossy: Whether datagrams between hosts get lost, arrive twice, or up to a second late.
        is_down: Whether the store is away.
        cut: Numbers of the hosts that reach neither the store nor each other.
        are_apart: Whether the hosts do not reach each other.
        crashed_s: Times of all crashes.
    """

    def __init__(self, monkeypatch: pytest.MonkeyPatch, *, hosts: int, seed: int = 0) -> None:
        self._random = Random(seed)
        self.fail_share = self.refuse_share = 0.0
        self.lossy = False
        self.clock = Clock()
        self.clock.advance(1_000.0)
        monkeypatch.setattr(_crash_table, "read_boot_time_s", self.clock.seconds)
        self.tables = RowTables(revision=1)
        self.is_deadly = True
        self.is_down = False
        self.takes_writes = True
        self.cut: set[int] = set()
        self.are_apart = False
        self.crashed_s: list[float] = []
        self.late_sends_s: list[float] = []
        self._copy = self.tables.copy()
        self._calm_s = dict.fromkeys(range(hosts), 0.0)
        self._attempts = count()
        self.hosts: dict[int, CrashHost] = {}
        for number in range(hosts):
            self.start_host(number)
        self.run(SETTLE_S)

    def run(self, duration_s: float) -> None:
        """Let time pass; hosts tell each other what is new."""
        end_s = self.clock.seconds() + duration_s
        while self.clock.seconds() < end_s:
            left_s = end_s - self.clock.seconds()
            news = [host.number for host in self.hosts.values() if host.list_news()]
            for number in news:
                self.hosts[number].tell_news()
            self._step(min(left_s, GOSSIP_S if news else left_s))

    def _step(self, duration_s: float) -> None:
        """Let time pass, from one timer to the next."""
        end_s = self.clock.seconds() + duration_s
        while (left_s := end_s - self.clock.seconds()) > 0:
            pending = [call.getTime() for call in self.clock.getDelayedCalls()]
            next_s = min(pending, default=end_s) - self.clock.seconds()
            self.clock.advance(min(max(next_s, 0.0), left_s))

    def start_host(self, number: int) -> None:
        """Start a host, in place of the one that had the number, whose memory is lost."""
        if number in self.hosts:
            self.hosts[number].stop()
        self.hosts[number] = CrashHost(self, number)
        self._disturb(number)

    def restart_all(self) -> None:
        for number in self.hosts:
            self.hosts[number].stop()
        for number in list(self.hosts):
            self.start_host(number)

    def cut_off(self, number: int, duration_s: float) -> None:
        """Let a host reach neither the store nor other hosts for a while."""
        self.cut.add(number)
        self.run(duration_s)
        self.cut.remove(number)
        self._disturb(number)

    def take_store_down(self, duration_s: float) -> None:
        self.is_down = True
        self.run(duration_s)
        self.is_down = False
        for number in self.hosts:
            self._disturb(number)

    def copy_store(self) -> None:
        """Take the copy from which the store comes back."""
        self._copy = self.tables.copy()

    def restore_store(self) -> None:
        """Let the store lose what was written since the copy was taken.

        Hosts always watch the registry, and so learn of the new era.
        """
        self.tables.restore(self._copy)
        for number, host in self.hosts.items():
            host.era.observe(self.tables.era)
            self._disturb(number)

    def _disturb(self, number: int) -> None:
        self._calm_s[number] = self.clock.seconds() + SETTLE_S

    def call(self, number: int, *, sends: int = 1) -> bool:
        """Let a caller ask a host to send a request; return whether it was answered."""
        host, now_s = self.hosts[number], self.clock.seconds()
        job = build_job(next(self._attempts), route=LOOKUP, now_s=now_s)
        unproved = 0
        while unproved < sends and self._may_send(host, job, unproved):
            if self._random.random() < self.refuse_share:
                break
            unproved += 1
            if self._send(host, job, unproved):
                return True
        if not unproved:
            host.quarantine.withdraw_trial(DEADLY, job)
        return False

    def _may_send(self, host: "CrashHost", job: Job, unproved: int) -> bool:
        while self.clock.seconds() < job.deadline_s:
            now_s = self.clock.seconds()
            if host.quarantine.find_reason(DEADLY, job, unproved, now_s) is not None:
                return False
            wait_reason = host.quarantine.find_wait_reason(DEADLY, job.attempt_id, now_s)
            if wait_reason is None and not host.crashes.is_awaited:
                return True
            self._step(0.05)
        return False

    def _send(self, host: "CrashHost", job: Job, number: int) -> bool:
        """Send a request to an upstream that nobody else uses; return whether it is answered."""
        sent_s = self.clock.seconds()
        is_counted = len(self.crashed_s) >= CRASHES_BEFORE
        is_late = is_counted and sent_s > self.crashed_s[CRASHES_BEFORE - 1] + SETTLE_S
        if self.is_deadly and is_late and sent_s >= self._calm_s[host.number]:
            self.late_sends_s.append(sent_s)
        self._step(CRASH_S)
        if self._random.random() < self.fail_share:
            return False
        if not self.is_deadly:
            host.quarantine.record_complete_answer(DEADLY, job, sent_s)
            return True
        self.crashed_s.append(self.clock.seconds())
        host.lose(job, number, sent_s=sent_s, upstream=len(self.crashed_s))
        return False

    def deliver(self, sender: int, handle: Callable[["CrashHost"], None]) -> None:
        """Send a datagram to the other hosts."""
        for number, host in list(self.hosts.items()):
            is_cut = self.are_apart or self.cut.intersection((sender, number))
            if number == sender or is_cut:
                continue
            for _ in range(self._random.choice((0, 1, 1, 2)) if self.lossy else 1):
                late_s = self._random.random() if self.lossy else 0.0
                self.clock.callLater(DATAGRAM_S + late_s, handle, host)


class CrashHost:
    """What one host knows of the requests that crash upstreams."""

    def __init__(self, world: CrashWorld, number: int) -> None:
        self.number = number
        self._world = world
        self.era = era = StoreEra()
        rows: Any = TimelineRows(world, number, era)  # type: ignore[arg-type]
        connections: Any = SimpleNamespace(
            count_alive_since_before=lambda endpoint, time_s: 0,
            list_aborted=lambda began_s, ended_s: {},
        )
        self.crashes = CrashKnowledge(
            reactor=world.clock,
            pool=connections,
            rows=rows,
            random=Random(number),
            report_loss=self._tell_loss,
            report_early_loss=self._tell_early_loss,
            report_suspects=lambda records: None,
            get_era=lambda: era.number,
            get_rank=lambda: number,
            host=HostId(f"h{number}"),
            list_hosts=lambda: [HostId(f"h{each}") for each in world.hosts],
        )
        self.quarantine = self.crashes.quarantine
        self.crashes.start()

    def stop(self) -> None:
        self.crashes.stop()

    def list_news(self) -> list[LossRecord]:
        return self.crashes.list_losses(self._world.clock.seconds())[:MAX_RECORDS]

    def tell_news(self) -> None:
        """Tell the other hosts what this one has learned lately."""
        now_s = self._world.clock.seconds()
        for report in build_loss_reports(self.list_news(), now_s):
            self._world.deliver(
                self.number,
                lambda host, report=report: host.crashes.learn_losses(
                    read_loss_report(report, self._world.clock.seconds())
                ),
            )

    def lose(self, job: Job, number: int, *, sent_s: float, upstream: int) -> None:
        """Lose the answer to a request as its upstream crashes."""
        lost = LostAnswer(
            attempt_id=job.attempt_id,
            number=number,
            fingerprint=DEADLY,
            prompt=None,
            upstream=build_upstream(upstream),
            sent_s=sent_s,
            lost_s=self._world.clock.seconds(),
            forwarded_by=None,
            begun=False,
            had_event=False,
        )
        self.quarantine.record_loss(lost)

    def _tell_loss(self, fingerprint: Fingerprint, loss_id: str) -> None:
        self._world.deliver(self.number, lambda host: host.crashes.learn_loss(fingerprint, loss_id))

    def _tell_early_loss(self, loss: ObservedLoss) -> None:
        told = replace(loss, seen_here=False)
        self._world.deliver(self.number, lambda host: host.crashes.learn_early_losses([told]))

"""Measures claims and recorded answers at a constant rate on the stand-in platform."""

import time
from collections import Counter
from dataclasses import dataclass
from typing import Any

from twisted.internet.defer import Deferred, DeferredList, inlineCallbacks
from twisted.internet.task import deferLater

from greengagestage.claims import ClaimStore, StoredAnswer
from greengagestage.ids import (
    AttemptId,
    Fingerprint,
    HostId,
    IdempotencyKey,
    RequestId,
    WorkspaceId,
)
from greengagestage.platform import ObjectClient
from greengagestage.policy import AcquireClaim, ClaimOutcome
from greengagestage.services import (
    TableClient,
)

from ._state_platform import TIMEOUT_S, read_counters

WORKSPACE = WorkspaceId("gyor")
ANSWER = StoredAnswer(status=200, content_type="application/json", body=b"x" * 512)
CLOSE_DELAY_S = 1.0
MS_PER_S = 1e3
US_PER_S = 1e6


@dataclass(frozen=True, slots=True, kw_only=True)
class ClaimLoad:
    """The load of one run: claims per second at each host and the fleet's write budget."""

    hosts: int
    rate_per_s: float
    fleet_budget_per_s: float
    duration_s: float


@dataclass(frozen=True, slots=True, kw_only=True)
class ClaimResult:
    """The result of one run; costs are per granted claim, including recording its answer."""

    load: ClaimLoad
    granted: int
    over_budget: int
    other: int
    writes_per_s: float
    writes_per_claim: float
    reads_per_claim: float
    p50_ms: float
    p99_ms: float
    cpu_us_per_claim: float


class ClaimRun:
    """Drives the claim stores of all hosts with an open-loop load."""

    def __init__(self, *, reactor: Any, url: str, load: ClaimLoad) -> None:
        self._reactor = reactor
        self._url = url
        self._load = load
        self._outcomes: Counter[ClaimOutcome] = Counter()
        self._waits_s: list[float] = []
        self._clients = [self._build_clients() for _ in range(load.hosts)]
        self._stores = [self._build_store(n, clients) for n, clients in enumerate(self._clients)]

    def _build_clients(self) -> tuple[TableClient, ObjectClient]:
        options: dict[str, Any] = {
            "reactor": self._reactor,
            "base_url": self._url,
            "timeout_s": TIMEOUT_S,
        }
        return TableClient(**options), ObjectClient(**options)

    def _build_store(self, number: int, clients: tuple[TableClient, ObjectClient]) -> ClaimStore:
        return ClaimStore(
            reactor=self._reactor,
            table=clients[0],
            objects=clients[1],
            host=HostId(f"h{number}"),
            write_budget_per_s=self._load.fleet_budget_per_s / self._load.hosts,
            is_live_host=lambda _: True,
        )

    @inlineCallbacks
    def _claim_and_record(self, store: ClaimStore, number: int) -> Any:
        name = f"{id(self)}-{number}"
        action = AcquireClaim(
            request_id=RequestId(name),
            attempt_id=AttemptId(name),
            workspace=WORKSPACE,
            idempotency_key=IdempotencyKey(name),
            fingerprint=Fingerprint("f"),
        )
        requested_s = time.monotonic()
        outcome = yield store.claim(action)
        self._outcomes[outcome] += 1
        if outcome is ClaimOutcome.GRANTED:
            self._waits_s.append(time.monotonic() - requested_s)
            yield store.record_answer(WORKSPACE, action.idempotency_key, action.attempt_id, ANSWER)

    @inlineCallbacks
    def _run(self) -> Any:
        before = yield read_counters(self._reactor, self._url)
        cpu_s = time.process_time()
        total = round(self._load.duration_s * self._load.rate_per_s * self._load.hosts)
        started_s = self._reactor.seconds()
        pending = []
        for number in range(total):
            due_s = started_s + number * self._load.duration_s / total
            delay_s = due_s - self._reactor.seconds()
            if delay_s > 0:
                yield deferLater(self._reactor, delay_s)
            pending.append(self._claim_and_record(self._stores[number % len(self._stores)], number))
        yield DeferredList(pending)
        cpu_s = time.process_time() - cpu_s
        after = yield read_counters(self._reactor, self._url)
        yield deferLater(self._reactor, CLOSE_DELAY_S)
        yield DeferredList([client.close() for clients in self._clients for client in clients])
        return self._summarize(after.writes - before.writes, after.reads - before.reads, cpu_s)

    def run(self) -> Deferred[ClaimResult]:
        """Run the load once."""
        return self._run()

    def _summarize(self, writes: int, reads: int, cpu_s: float) -> ClaimResult:
        granted = self._outcomes[ClaimOutcome.GRANTED]
        over_budget = self._outcomes[ClaimOutcome.OVER_BUDGET]
        claims = max(1, granted)
        waits_ms = sorted(wait_s * MS_PER_S for wait_s in self._waits_s) or [0.0]
        return ClaimResult(
            load=self._load,
            granted=granted,
            over_budget=over_budget,
            other=self._outcomes.total() - granted - over_budget,
            writes_per_s=writes / self._load.duration_s,
            writes_per_claim=writes / claims,
            reads_per_claim=reads / claims,
            p50_ms=waits_ms[len(waits_ms) // 2],
            p99_ms=waits_ms[int(len(waits_ms) * 0.99)],
            cpu_us_per_claim=cpu_s * US_PER_S / claims,
        )

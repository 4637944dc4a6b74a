"""Claims of several hosts on one table, with table faults in any order."""

from dataclasses import dataclass
from typing import Any

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    precondition,
    rule,
)
from twisted.internet.task import Clock

from greengagestage.claims import ClaimStore, StoredAnswer
from greengagestage.claims._rows import ClaimState, claim_key, read_claim
from greengagestage.ids import (
    AttemptId,
    Fingerprint,
    HostId,
    IdempotencyKey,
    RequestId,
    WorkspaceId,
)
from greengagestage.policy import AcquireClaim, ClaimOutcome, ReleaseClaim

from .fake_platform import FakeObjects, FakeTable, FakeTableClient

WORKSPACE = WorkspaceId("gyor")
KEYS = [IdempotencyKey("k1"), IdempotencyKey("k2")]
BODIES = [Fingerprint("f1"), Fingerprint("f2")]
LARGE = StoredAnswer(status=200, content_type="text/plain", body=b"x" * 5000)
SMALL = StoredAnswer(status=201, content_type="text/plain", body=b"small")
UNKNOWN_OUTCOMES = (ClaimOutcome.RUNNING, ClaimOutcome.RUN_UNKNOWN)


@dataclass(eq=False)
class Host:
    store: ClaimStore
    client: FakeTableClient
    name: HostId


@dataclass(eq=False)
class ObservedClaim:
    """What the test knows of a claim: its outcome and how it was used."""

    host: Host
    ask: AcquireClaim
    outcome: ClaimOutcome | None = None
    given_up: bool = False
    ended: bool = False

    @property
    def held(self) -> bool:
        return self.outcome is ClaimOutcome.GRANTED and not self.given_up


class ClaimsMachine(RuleBasedStateMachine):
    """At most one claim of a key is granted, unless the earlier one was given up before sending."""

    @initialize(reuse_host_names=st.booleans(), reuse_attempts=st.booleans())
    def begin(self, reuse_host_names: bool, reuse_attempts: bool) -> None:
        self.clock = Clock()
        self.table = FakeTable()
        self.table.automatic = False
        self.objects = FakeObjects()
        self.reuse_host_names = reuse_host_names
        self.reuse_attempts = reuse_attempts
        self.hosts_built = 0
        self.failures: list[Any] = []
        self.hosts = [self.build_host(index) for index in range(3)]
        self.observed: list[ObservedClaim] = []

    def build_host(self, index: int) -> Host:
        self.hosts_built += 1
        name = HostId(f"h{index}" if self.reuse_host_names else f"h{index}.{self.hosts_built}")
        client = FakeTableClient(self.table)
        store = ClaimStore(
            reactor=self.clock,
            table=client,
            objects=self.objects,
            host=name,
            write_budget_per_s=50.0,
            is_live_host=lambda host: host in {x.name for x in self.hosts},
            wall_clock=self.clock.seconds,
        )
        return Host(store, client, name)

    @rule(
        index=st.integers(0, 2),
        key=st.sampled_from(KEYS),
        body=st.sampled_from([BODIES[0], *BODIES]),
        attempt=st.integers(0, 3),
        together=st.booleans(),
    )
    def ask(
        self, index: int, key: IdempotencyKey, body: Fingerprint, attempt: int, together: bool
    ) -> None:
        number = attempt if self.reuse_attempts else 100 + len(self.observed)
        ask = AcquireClaim(
            request_id=RequestId(f"r{number}"),
            attempt_id=AttemptId(f"a{number}"),
            workspace=WORKSPACE,
            idempotency_key=key,
            fingerprint=body,
        )
        observed = ObservedClaim(self.hosts[index], ask)
        self.observed.append(observed)
        claimed = observed.host.store.claim(ask)
        claimed.addCallback(lambda outcome: self.check_outcome(observed, outcome))
        claimed.addErrback(self.failures.append)
        if not together:
            self.clock.advance(0.06)

    def check_outcome(self, observed: ObservedClaim, outcome: ClaimOutcome) -> None:
        observed.outcome = outcome
        others = [
            x
            for x in self.observed
            if x is not observed and x.ask.idempotency_key == observed.ask.idempotency_key
        ]
        bodies = {x.ask.fingerprint for x in others}
        match outcome:
            case ClaimOutcome.GRANTED:
                assert not any(x.held for x in others)
            case ClaimOutcome.KEY_REUSED:
                assert bodies - {observed.ask.fingerprint}
            case ClaimOutcome.ANSWERED:
                assert any(x.held and x.ended for x in others)
            case ClaimOutcome.RUNNING | ClaimOutcome.RUN_UNKNOWN:
                assert others

    @precondition(lambda self: self.table.calls)
    @rule(data=st.data(), response=st.sampled_from(["serve", "serve", "lose_answer", "time_out"]))
    def answer(self, data: Any, response: str) -> None:
        call = data.draw(st.sampled_from(self.table.calls))
        getattr(self.table, response)(call)

    @rule(rounds=st.integers(1, 3))
    def serve_all(self, rounds: int) -> None:
        for _ in range(rounds):
            for call in list(self.table.calls):
                self.table.serve(call)
            self.clock.advance(0.06)

    @precondition(lambda self: self.table.calls)
    @rule()
    def refuse(self) -> None:
        self.table.refuse(self.table.calls[0])

    @precondition(lambda self: self.table.late)
    @rule(data=st.data())
    def apply_late(self, data: Any) -> None:
        self.table.apply_late(data.draw(st.sampled_from(self.table.late)))

    @rule(seconds=st.sampled_from([0.0, 0.06, 0.5, 5.0]))
    def advance(self, seconds: float) -> None:
        self.clock.advance(seconds)

    def pick_held(self, data: Any) -> ObservedClaim | None:
        held = [x for x in self.observed if x.held and not x.ended and x.host.client.alive]
        return data.draw(st.sampled_from(held)) if held else None

    @rule(data=st.data())
    def give_up_unsent(self, data: Any) -> None:
        observed = self.pick_held(data)
        if observed:
            observed.given_up = True
            release = ReleaseClaim(
                request_id=observed.ask.request_id, attempt_id=observed.ask.attempt_id
            )
            observed.host.store.release(release)

    @rule(data=st.data(), ending=st.sampled_from([SMALL, LARGE, None]))
    def end_run(self, data: Any, ending: StoredAnswer | None) -> None:
        observed = self.pick_held(data)
        if observed is None:
            return
        observed.ended = True
        key = observed.ask.idempotency_key
        if ending is None:
            observed.host.store.mark_unknown(WORKSPACE, key, observed.ask.attempt_id)
        else:
            observed.host.store.record_answer(WORKSPACE, key, observed.ask.attempt_id, ending)

    @rule(index=st.integers(0, 2))
    def replace_host(self, index: int) -> None:
        """Kill a host and start a new one; the old one's open calls may still take effect."""
        dead = self.hosts[index].client
        dead.alive = False
        for call in [x for x in self.table.calls if x.client is dead]:
            self.table.time_out(call)
        self.hosts[index] = self.build_host(index)

    @invariant()
    def nothing_failed(self) -> None:
        for failure in getattr(self, "failures", ()):
            failure.raiseException()

    @invariant()
    def one_grant_per_key(self) -> None:
        for key in KEYS:
            held = [x for x in self.observed if x.held and x.ask.idempotency_key == key]
            assert len(held) <= 1

    def teardown(self) -> None:
        """Once the table works again, every change settles and no claim stays pending."""
        if not hasattr(self, "table"):
            return
        self.table.automatic = True
        for call in list(self.table.calls):
            self.table.serve(call)
        for call in list(self.table.late):
            self.table.apply_late(call)
        for _ in range(40):
            self.clock.advance(1.0)
        self.nothing_failed()
        assert all(host.store.unsettled == 0 for host in self.hosts)
        assert all(x.outcome is not None for x in self.observed if x.host.client.alive)
        for key in KEYS:
            self.check_row(key)

    def check_row(self, key: IdempotencyKey) -> None:
        claim = read_claim(self.table.get(claim_key(WORKSPACE, key)))
        held = [x for x in self.observed if x.held and x.ask.idempotency_key == key]
        alive = [x for x in held if x.host.client.alive]
        if alive:
            assert claim is not None
            assert claim.state is not ClaimState.RELEASED
            assert (claim.state is ClaimState.CLAIMED) is not alive[0].ended
        elif claim and claim.state is ClaimState.CLAIMED:
            assert not all(x.host.client.alive for x in self.observed)


ClaimsMachine.TestCase.settings = settings(max_examples=300, stateful_step_count=60)
TestClaims = ClaimsMachine.TestCase

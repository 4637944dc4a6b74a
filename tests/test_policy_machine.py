"""Any sequence of events keeps the guarantees that the oracle checks."""

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, precondition, rule

from greengagestage.configuration import LateAnswer
from greengagestage.ids import AttemptId, Fingerprint, HostId, UpstreamName, WorkspaceId
from greengagestage.policy import (
    AttemptAccepted,
    AttemptContinued,
    AttemptFailed,
    AttemptFinished,
    AttemptProgressed,
    AttemptSilent,
    CallerLeft,
    ClaimAnswered,
    ClaimOutcome,
    CrashReported,
    DeclarationAdopted,
    Event,
    FailureKind,
    FingerprintQuarantined,
    Policy,
    RequestArrived,
    SharesUpdated,
    StopRequested,
    TimerFired,
    UpstreamReport,
    UpstreamsReported,
    UpstreamState,
    WakeAt,
)
from tests.policy_builders import (
    TIERS,
    build_class,
    build_declaration,
    build_engine,
    build_request,
    build_workspace,
)
from tests.policy_oracle import Oracle, RequestModel

ENGINES = ("e0", "e1", "e2")
failure_kinds = st.sampled_from(list(FailureKind))
waits = st.sampled_from([0.0, 0.0, 0.01, 0.3, 1.0, 5.0, 30.0])


# The Hypothesis profile is derandomized: renaming a rule changes which sequences are explored.
class PolicyMachine(RuleBasedStateMachine):
    """Sends the same events to two policies with one seed, which must return the same actions."""

    def __init__(self) -> None:
        super().__init__()
        self.policies = [Policy(host=HostId("h0"), seed=7) for _ in range(2)]
        self.oracle = Oracle()
        self.oracle.shared_fingerprints = {Fingerprint("x"), Fingerprint("y")}
        self.now_s = 50.0
        self.wake_s: float | None = None
        self.count = 0
        self.draining: set[str] = set()
        self.states = dict.fromkeys(ENGINES, UpstreamState.LIVE)
        self.slots = dict.fromkeys(ENGINES, 2)
        self.stopping = False

    def send(self, event: Event) -> None:
        self.oracle.healthy = {
            load.upstream
            for load in self.policies[0].inspect().upstreams
            if load.health.value == "in_use"
        }
        answers = [policy.handle(event, self.now_s) for policy in self.policies]
        assert answers[0] == answers[1], "the same seed and events must give the same actions"
        state = self.policies[0]._state
        self.oracle.reserved |= {
            a.attempt_id for r in state.records.values() for a in r.attempts if a.reserved
        }
        self.oracle.check(answers[0])
        queued = [r.request_id for pool in state.pools.values() for r in pool.queue]
        expected = [r.request_id for r in state.records.values() if r.state.value == "queued"]
        assert sorted(queued) == sorted(expected), "the queues hold other requests than queued ones"
        for model in self.oracle.models.values():
            model.chosen = None
        for action in answers[0]:
            if isinstance(action, WakeAt):
                self.wake_s = action.at_s

    def update_usable(self) -> None:
        self.oracle.usable = {
            UpstreamName(name): self.slots[name]
            for name in ENGINES
            if self.states[name] is UpstreamState.LIVE and name not in self.draining
        }

    def adopt(self, tiers: tuple[str, ...]) -> None:
        self.update_usable()
        engines = [build_engine(n, slots=2, draining=n in self.draining) for n in ENGINES]
        classes = [
            build_class(
                name,
                queue_limit=2,
                late_answer=LateAnswer.USELESS if name == "phone" else LateAnswer.USEFUL,
            )
            for name in tiers
        ]
        workspaces = [build_workspace("w0", concurrency=6), build_workspace("w1", weight=3.0)]
        declaration = build_declaration(engines=engines, classes=classes, workspaces=workspaces)
        self.send(DeclarationAdopted(declaration=declaration))

    @initialize()
    def start(self) -> None:
        self.adopt(TIERS)

    @rule(
        tier=st.sampled_from(TIERS),
        workspace=st.sampled_from(["w0", "w1"]),
        idempotent=st.sampled_from([True, True, False]),
        fingerprint=st.sampled_from([None, None, "x", "y"]),
        deadline_s=st.sampled_from([None, None, 0.5, 20.0]),
    )
    def arrive(
        self,
        tier: str,
        workspace: str,
        idempotent: bool,
        fingerprint: str | None,
        deadline_s: float | None,
    ) -> None:
        self.count += 1
        request = build_request(
            f"r{self.count}",
            tier,
            workspace=WorkspaceId(workspace),
            idempotent=idempotent,
            fingerprint=Fingerprint(fingerprint or f"f{self.count}"),
            deadline_s=None if deadline_s is None else self.now_s + deadline_s,
        )
        self.oracle.arrive(request)
        self.send(RequestArrived(request=request))

    def running(self) -> list[RequestModel]:
        return [model for model in self.oracle.models.values() if model.running]

    def claiming(self) -> list[RequestModel]:
        return [model for model in self.oracle.models.values() if model.claim == "asked"]

    @precondition(lambda self: self.claiming())
    @rule(data=st.data(), outcome=st.sampled_from(list(ClaimOutcome) + 4 * [ClaimOutcome.GRANTED]))
    def answer_claim(self, data: st.DataObject, outcome: ClaimOutcome) -> None:
        model = data.draw(st.sampled_from(self.claiming()))
        model.claim = outcome.value
        self.send(ClaimAnswered(request_id=model.request.request_id, outcome=outcome))

    @precondition(lambda self: self.running())
    @rule(data=st.data(), tokens=st.integers(0, 30))
    def progress(self, data: st.DataObject, tokens: int) -> None:
        model, attempt = self.draw_attempt(data)
        model.accepted = model.accepted or attempt == model.running
        model.held_accepted = model.held_accepted or attempt == model.held
        self.oracle.note_data(model, attempt)
        if tokens:
            model.tokens += tokens
            self.send(AttemptProgressed(attempt_id=attempt, tokens=tokens))
        else:
            self.send(AttemptAccepted(attempt_id=attempt))
        assert model.current == [attempt], "an attempt that sends data is the only one"

    def draw_attempt(self, data: st.DataObject) -> tuple[RequestModel, AttemptId]:
        model = data.draw(st.sampled_from(self.running()))
        return model, data.draw(st.sampled_from(model.current))

    @precondition(lambda self: self.running())
    @rule(data=st.data(), resumable=st.sampled_from([True, True, False]))
    def fall_silent(self, data: st.DataObject, resumable: bool) -> None:
        model, attempt = self.draw_attempt(data)
        self.oracle.note_silence(model, attempt, resumable=resumable)
        self.send(AttemptSilent(attempt_id=attempt, resumable=resumable))

    @precondition(lambda self: any(m.held or m.silent for m in self.running()))
    @rule(data=st.data())
    def go_on(self, data: st.DataObject) -> None:
        models = [m for m in self.running() if m.held or m.silent]
        model = data.draw(st.sampled_from(models))
        attempt = data.draw(st.sampled_from(model.current))
        self.oracle.note_data(model, attempt)
        self.send(AttemptContinued(attempt_id=attempt))
        assert model.current == [attempt], "an attempt that sends data is the only one"

    @precondition(lambda self: self.running())
    @rule(data=st.data())
    def finish(self, data: st.DataObject) -> None:
        self.end(data.draw(st.sampled_from(self.running())))

    def end(self, model: RequestModel) -> None:
        attempt = model.running
        assert attempt
        self.oracle.note_data(model, attempt)
        self.oracle.end_attempt(model, None)
        self.send(AttemptFinished(attempt_id=attempt))
        assert model.final is not None

    @precondition(lambda self: any(m.held for m in self.running()))
    @rule(data=st.data())
    def finish_held(self, data: st.DataObject) -> None:
        model = data.draw(st.sampled_from([m for m in self.running() if m.held]))
        attempt = model.held
        assert attempt
        self.oracle.note_data(model, attempt)
        self.send(AttemptFinished(attempt_id=attempt))
        assert model.final is not None and model.current == [attempt]
        self.oracle.end_attempt(model, None)

    @precondition(lambda self: any(m.held for m in self.running()))
    @rule(data=st.data(), kind=failure_kinds)
    def fail_held(self, data: st.DataObject, kind: FailureKind) -> None:
        model = data.draw(st.sampled_from([m for m in self.running() if m.held]))
        attempt = model.held
        assert attempt
        self.oracle.end_held_attempt(model, kind)
        self.send(AttemptFailed(attempt_id=attempt, kind=kind))

    @precondition(lambda self: self.running())
    @rule(data=st.data(), kind=failure_kinds, resumable=st.booleans(), leaving=st.booleans())
    def fail(self, data: st.DataObject, kind: FailureKind, resumable: bool, leaving: bool) -> None:
        model = data.draw(st.sampled_from(self.running()))
        attempt = model.running
        assert attempt
        leaving = leaving and kind is FailureKind.REFUSED and not model.accepted
        if leaving and model.upstream:
            self.states[model.upstream] = UpstreamState.LEAVING
            self.update_usable()
        self.oracle.end_attempt(model, kind)
        self.send(
            AttemptFailed(
                attempt_id=attempt, kind=kind, resumable=resumable, upstream_leaving=leaving
            )
        )

    @precondition(lambda self: self.running())
    @rule(data=st.data())
    def crash_upstream(self, data: st.DataObject) -> None:
        upstream = data.draw(st.sampled_from(self.running())).upstream
        assert upstream
        for model in self.oracle.in_flight(upstream):
            if attempt := model.running:
                self.oracle.end_attempt(model, FailureKind.LOST)
                self.send(AttemptFailed(attempt_id=attempt, kind=FailureKind.LOST))
        for model in self.running():
            if model.held and model.held_upstream == upstream:
                attempt = model.held
                self.oracle.end_held_attempt(model, FailureKind.LOST)
                self.send(AttemptFailed(attempt_id=attempt, kind=FailureKind.LOST))

    @precondition(lambda self: self.oracle.by_attempt)
    @rule(data=st.data())
    def send_late_event(self, data: st.DataObject) -> None:
        attempt = data.draw(st.sampled_from(sorted(self.oracle.by_attempt)))
        if attempt not in self.oracle.by_attempt[attempt].current:
            for event in (
                AttemptProgressed(attempt_id=attempt, tokens=9),
                AttemptFinished(attempt_id=attempt),
                AttemptSilent(attempt_id=attempt),
                AttemptContinued(attempt_id=attempt),
                AttemptFailed(attempt_id=attempt, kind=FailureKind.LOST),
            ):
                self.send(event)

    @precondition(lambda self: self.oracle.models)
    @rule(data=st.data())
    def leave(self, data: st.DataObject) -> None:
        name = data.draw(st.sampled_from(sorted(self.oracle.models)))
        model = self.oracle.models[name]
        keeps_running = model.running and not model.request.idempotent
        self.send(CallerLeft(request_id=name))
        assert keeps_running or model.final is not None

    @rule(wait_s=waits)
    def wait(self, wait_s: float) -> None:
        """Move the clock and fire the timers that become due on the way, each at its time."""
        end_s = self.now_s + wait_s
        while self.wake_s is not None and self.wake_s <= end_s:
            self.now_s = max(self.now_s, self.wake_s)
            self.wake_s = None
            self.send(TimerFired())
        self.now_s = end_s

    @rule(wait_s=waits)
    def wait_suspended(self, wait_s: float) -> None:
        """Move the clock of a process that did not run meanwhile: its timer fires late."""
        self.now_s += wait_s
        if self.wake_s is not None and self.wake_s <= self.now_s:
            self.wake_s = None
            self.send(TimerFired())

    @rule(name=st.sampled_from(ENGINES), state=st.sampled_from(list(UpstreamState)))
    def report(self, name: str, state: UpstreamState) -> None:
        self.wait(40.0)
        self.states[name] = state
        self.update_usable()
        report = UpstreamReport(
            upstream=UpstreamName(name), state=state, running=1, measured_at_s=self.now_s
        )
        self.send(UpstreamsReported(reports=(report,)))

    @rule(slots=st.sampled_from([0, 1, 2]))
    def share(self, slots: int) -> None:
        self.slots = {name: slots if name == "e0" else 2 for name in ENGINES}
        self.update_usable()
        shares = {UpstreamName(name): count for name, count in self.slots.items()}
        self.send(SharesUpdated(slots=shares, entry_hosts=1))

    @rule(
        tiers=st.sampled_from([TIERS, TIERS[:1], TIERS[1:]]),
        drained=st.sets(st.sampled_from(ENGINES), max_size=2),
    )
    def redeclare(self, tiers: tuple[str, ...], drained: set[str]) -> None:
        self.draining = drained
        self.adopt(tiers)

    @rule(fingerprint=st.sampled_from(["x", "y"]), kind=st.sampled_from(["crash", "stop"]))
    def hear_from_peer(self, fingerprint: str, kind: str) -> None:
        reported = Fingerprint(fingerprint)
        if kind == "stop":
            self.oracle.quarantined.add(reported)
            self.send(FingerprintQuarantined(fingerprint=reported))
        else:
            self.send(CrashReported(fingerprint=reported, upstream=UpstreamName("elsewhere")))

    @precondition(lambda self: self.count > 8)
    @rule()
    def stop(self) -> None:
        self.stopping = True
        self.send(StopRequested())

    def teardown(self) -> None:
        """Check that every accepted request is answered once the upstreams work again."""
        for name in ENGINES:
            self.report(name, UpstreamState.LIVE)
        self.slots = dict.fromkeys(ENGINES, 2)
        self.draining = set()
        self.update_usable()
        self.send(SharesUpdated(slots={}, entry_hosts=1))
        self.adopt(TIERS)
        for _ in range(60):
            for model in self.claiming():
                model.claim = "granted"
                name = model.request.request_id
                self.send(ClaimAnswered(request_id=name, outcome=ClaimOutcome.GRANTED))
            for model in self.running():
                if model.running:
                    self.end(model)
            self.wait(5.0)
        unfinished = [n for n, m in self.oracle.models.items() if m.final is None]
        assert not unfinished, unfinished
        state = self.policies[0]._state
        assert (
            not state.records and not state.records_by_attempt and not state.running_by_fingerprint
        )
        assert not state.orphan_claims
        assert all(not e.in_flight and not e.suspects for e in state.upstreams)
        assert all(not len(pool.queue) for pool in state.pools.values())


TestPolicyMachine = PolicyMachine.TestCase
TestPolicyMachine.settings = settings(max_examples=400, stateful_step_count=40)

"""Tests of failing, slow and leaving upstreams, and of requests that crash upstreams."""

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from greengagestage.configuration import LateAnswer
from greengagestage.ids import Fingerprint, HostId, UpstreamName, WorkspaceId
from greengagestage.policy import (
    Action,
    AttemptFailed,
    AttemptFinished,
    CancelAttempt,
    CrashReported,
    DeclarationAdopted,
    Deliver,
    Dispatch,
    FailureKind,
    FingerprintQuarantined,
    Policy,
    QuarantineFingerprint,
    Reject,
    ReportCrash,
    RequestArrived,
    SharesUpdated,
    TimerFired,
    UpstreamReport,
    UpstreamsReported,
    UpstreamState,
)
from greengagestage.results import ResultCode
from tests.policy_builders import (
    Host,
    build_class,
    build_declaration,
    build_engine,
    build_request,
    build_workspace,
)

POISON = Fingerprint("poison")


def build_report(name: str, now_s: float, **changes: object) -> UpstreamsReported:
    fields: dict[str, object] = {"state": UpstreamState.LIVE, "measured_at_s": now_s}
    row = UpstreamReport(upstream=UpstreamName(name), **{**fields, **changes})  # type: ignore[arg-type]
    return UpstreamsReported(reports=(row,))


def test_leaving_upstream_gets_no_new_work_and_an_old_report_does_not_mark_it_live() -> None:
    host = Host(build_declaration(engines=2, slots=4))
    host.arrive("r0")
    first = host.dispatches("r0")[0]
    host.fail(first.attempt_id, FailureKind.REFUSED, upstream_leaving=True)
    host.send(build_report(first.upstream, host.now_s - 1.0))
    host.now_s += 5.0
    for n in range(1, 5):
        host.arrive(f"r{n}")
    assert all(
        d.upstream != first.upstream for n in range(5) for d in host.dispatches(f"r{n}")[-1:]
    )
    host.now_s += 60.0
    host.send(build_report(first.upstream, host.now_s))
    host.arrive("later")
    assert host.dispatches("later")[0].upstream == first.upstream


def test_an_idle_pool_refuses_nothing_on_an_old_estimate() -> None:
    """A long run of another class must not make a class whose late answers are useless unservable.

    Only requests that run correct the estimate.
    """
    classes = [build_class("desk"), build_class("phone", late_answer=LateAnswer.USELESS)]
    host = Host(build_declaration(engines=2, slots=2, classes=classes))
    host.arrive("slow", "desk")
    host.finish(host.dispatches("slow")[0].attempt_id, after_s=40.0)
    host.arrive("call", "phone")
    assert host.code("call") is None
    assert host.dispatches("call")


def test_a_live_report_after_a_leaving_report_marks_the_upstream_live() -> None:
    host = Host(build_declaration(engines=1, slots=4))
    host.arrive("r0")
    first = host.dispatches("r0")[0]
    host.fail(first.attempt_id, FailureKind.REFUSED, upstream_leaving=True)
    host.send(build_report(first.upstream, host.now_s, state=UpstreamState.LEAVING))
    host.now_s += 5.0
    host.send(build_report(first.upstream, host.now_s))
    host.arrive("later")
    assert host.dispatches("later")[0].upstream == first.upstream


def test_waiting_and_new_requests_are_refused_without_a_live_upstream() -> None:
    host = Host(build_declaration(engines=1, slots=1))
    host.arrive("running")
    host.arrive("waits")
    host.send(build_report("e0", host.now_s, state=UpstreamState.GONE))
    host.arrive("comes")
    assert (host.code("waits"), host.code("comes")) == ("NO_UPSTREAM", "NO_UPSTREAM")
    assert host.code("running") is None


def test_load_of_peers_counts_and_decays_with_age() -> None:
    host = Host(build_declaration(engines=2, slots=8))
    for name in ("e0", "e1"):
        host.send(build_report(name, host.now_s, peers_in_flight=6 if name == "e0" else 0))
    host.arrive("fresh")
    assert host.dispatches("fresh")[0].upstream == "e1"
    host.finish(host.dispatches("fresh")[0].attempt_id)
    host.now_s += 60.0
    host.send(build_report("e1", host.now_s, running=3))
    host.arrive("aged")
    assert host.dispatches("aged")[0].upstream == "e0"


def test_prefix_affinity_is_limited_by_load_imbalance() -> None:
    host = Host(build_declaration(engines=4, slots=64, classes=[build_class("desk")]))
    upstreams: list[str] = []
    for n in range(32):
        host.arrive(f"r{n}", prefix_hashes=(1, 2, 3), fingerprint=Fingerprint(f"p{n}"))
        upstreams.append(host.dispatches(f"r{n}")[0].upstream)
    most = max(upstreams.count(name) for name in set(upstreams))
    assert upstreams[0] == upstreams[1]
    assert most <= 1.25 * 32 / 4 + 2


def test_circuit_opens_after_failures_and_one_idempotent_probe_closes_it() -> None:
    host = Host(build_declaration(engines=1, slots=4))
    host.arrive("r0")
    host.fail(host.dispatches("r0")[0].attempt_id, FailureKind.NOT_SENT)
    assert len(host.dispatches("r0")) == 1
    host.arrive("r1")
    assert host.dispatches("r1") == []
    host.send(TimerFired(), after_s=1.5)
    probes = host.dispatches("r0")[1:] + host.dispatches("r1")
    assert len(probes) == 1
    host.progress(probes[0].attempt_id, 1)
    assert len(host.dispatches("r0")[1:] + host.dispatches("r1")) == 2


def run_round(host: Host, names: list[str]) -> set[str]:
    """Run requests concurrently, six times slower on e0, and return the upstreams used."""
    for name in names:
        host.arrive(name)
    running = [d for name in names for d in host.dispatches(name)]
    for step in range(1, 25):
        host.now_s += 0.16
        for dispatch in running:
            slow = dispatch.upstream == "e0"
            if (slow and step % 6 == 0) or (not slow and step <= 4):
                host.progress(dispatch.attempt_id, 8)
    for dispatch in running:
        host.finish(dispatch.attempt_id)
    return {d.upstream for d in running}


@pytest.mark.parametrize(("engines", "ejected"), [(4, True), (2, False)])
def test_straggler_is_ejected_unless_too_many_would_be_ejected(engines: int, ejected: bool) -> None:
    host = Host(build_declaration(engines=engines, slots=2))
    for turn in range(3):
        used = run_round(host, [f"r{turn}-{n}" for n in range(2 * engines)])
    assert ("e0" in used) != ejected
    states = {load.upstream: load.health.value for load in host.policy.inspect().upstreams}
    assert (states[UpstreamName("e0")] == "out") == ejected


def test_straggler_stays_ejected_after_a_slow_probe() -> None:
    host = Host(build_declaration(engines=4, slots=2))
    for turn in range(3):
        run_round(host, [f"r{turn}-{n}" for n in range(8)])
    host.send(TimerFired(), after_s=15.0)
    assert "e0" in run_round(host, [f"probe{n}" for n in range(8)])
    states = {load.upstream: load.health.value for load in host.policy.inspect().upstreams}
    assert states[UpstreamName("e0")] == "out"


def test_retry_budget_limits_a_retry_storm() -> None:
    classes = [build_class("desk", retry_ratio=0.0, queue_limit=100)]
    host = Host(build_declaration(engines=3, slots=20, classes=classes))
    for n in range(20):
        host.arrive(f"r{n}")
    for n in range(20):
        host.fail(host.dispatches(f"r{n}")[0].attempt_id, FailureKind.SILENT)
    retried = sum(len(host.dispatches(f"r{n}")) == 2 for n in range(20))
    assert retried == 5
    assert {host.code(f"r{n}") for n in range(20)} == {None, "UPSTREAM_SILENT"}


def test_refused_attempts_do_not_use_the_retry_budget() -> None:
    classes = [build_class("desk", retry_ratio=0.0, queue_limit=100)]
    host = Host(build_declaration(engines=2, slots=20, classes=classes))
    for n in range(20):
        host.arrive(f"r{n}")
        host.fail(host.dispatches(f"r{n}")[0].attempt_id, FailureKind.REFUSED)
        host.send(TimerFired(), after_s=1.0)
    assert {host.code(f"r{n}") for n in range(20)} == {None}


def spend_retry_budget(host: Host) -> None:
    """Let requests time out until one is refused because the budget is spent."""
    names = [f"spent{n}" for n in range(6)]
    for name in names:
        host.arrive(name)
    for name in names:
        host.fail(host.dispatches(name)[0].attempt_id, FailureKind.SILENT)
    assert host.code(names[-1]) == "UPSTREAM_SILENT"
    for name in names[:-1]:
        host.finish(host.dispatches(name)[1].attempt_id)


@pytest.mark.parametrize("kind", [FailureKind.LOST, FailureKind.INCOMPLETE])
def test_requests_lost_in_a_crash_are_delivered_without_a_retry_budget(kind: FailureKind) -> None:
    classes = [build_class("desk", retry_ratio=0.0, queue_limit=100)]
    host = Host(build_declaration(engines=3, slots=8, classes=classes))
    spend_retry_budget(host)
    names = [f"r{n}" for n in range(12)]
    for name in names:
        host.arrive(name)
    crashed = host.dispatches("r0")[0].upstream
    lost = [name for name in names if host.dispatches(name)[0].upstream == crashed]
    assert len(lost) >= 3
    for name in lost:
        host.fail(host.dispatches(name)[0].attempt_id, kind)
    assert {host.code(name) for name in lost} == {None}
    for _ in lost:
        for name in names:
            if host.code(name) is None and host.dispatches(name)[-1].upstream != crashed:
                host.finish(host.dispatches(name)[-1].attempt_id)
    assert {host.code(name) for name in lost} == {"DELIVERED"}


@pytest.mark.parametrize("first", [FailureKind.LOST, FailureKind.INCOMPLETE])
def test_the_second_loss_of_a_request_uses_the_retry_budget(first: FailureKind) -> None:
    classes = [build_class("desk", retry_ratio=0.0, queue_limit=100)]
    host = Host(build_declaration(engines=4, slots=8, classes=classes))
    spend_retry_budget(host)
    host.arrive("twice")
    for kind in (first, FailureKind.INCOMPLETE):
        host.fail(host.dispatches("twice")[-1].attempt_id, kind)
    assert len(host.dispatches("twice")) == 2
    assert host.code("twice") == "ANSWER_INCOMPLETE"


def test_errors_of_one_workspace_eject_no_upstream_and_errors_of_several_do() -> None:
    workspaces = [build_workspace(f"w{n}") for n in range(4)]
    host = Host(build_declaration(engines=2, slots=8, workspaces=workspaces))
    for n in range(12):
        host.arrive(f"bad{n}")
        while host.code(f"bad{n}") is None:
            host.fail(host.dispatches(f"bad{n}")[-1].attempt_id, FailureKind.ERROR)
        assert len(host.dispatches(f"bad{n}")) <= 2
    states = {load.health.value for load in host.policy.inspect().upstreams}
    assert states == {"in_use"}
    for n in range(1, 4):
        host.arrive(f"other{n}", workspace=WorkspaceId(f"w{n}"))
        for _ in range(2):
            host.fail(host.dispatches(f"other{n}")[-1].attempt_id, FailureKind.ERROR)
    states = {load.health.value for load in host.policy.inspect().upstreams}
    assert states == {"out"}


def test_upstream_is_tried_again_only_after_a_refusal_and_without_an_alternative() -> None:
    host = Host(build_declaration(engines=1, slots=2))
    host.arrive("busy")
    host.fail(host.dispatches("busy")[0].attempt_id, FailureKind.REFUSED)
    host.send(TimerFired(), after_s=1.0)
    assert len(host.dispatches("busy")) == 2
    host.fail(host.dispatches("busy")[1].attempt_id, FailureKind.LOST)
    assert len(host.dispatches("busy")) == 2
    assert host.code("busy") == "UPSTREAM_LOST"


def test_suspects_run_on_separate_upstreams() -> None:
    host = Host(build_declaration(engines=3, slots=4))
    for n in range(12):
        host.arrive(f"r{n}")
    crashed = host.dispatches("r0")[0].upstream
    lost = [f"r{n}" for n in range(12) if host.dispatches(f"r{n}")[0].upstream == crashed]
    for n in range(12):
        if f"r{n}" not in lost:
            host.finish(host.dispatches(f"r{n}")[0].attempt_id)
    for name in lost:
        host.fail(host.dispatches(name)[0].attempt_id, FailureKind.LOST)
    assert len(lost) >= 3
    again = [d for name in lost for d in host.dispatches(name)[1:]]
    assert len(again) == 2 and len({d.upstream for d in again}) == 2
    for _ in range(len(lost)):
        for name in lost:
            if len(host.dispatches(name)) == 2 and host.code(name) is None:
                host.finish(host.dispatches(name)[1].attempt_id)
    assert {host.code(name) for name in lost} == {"DELIVERED"}


def test_successful_run_clears_a_suspect() -> None:
    host = Host(build_declaration(engines=4, slots=4))
    for turn in range(4):
        name = f"r{turn}"
        host.arrive(name, fingerprint=POISON)
        host.fail(host.dispatches(name)[0].attempt_id, FailureKind.LOST)
        host.finish(host.dispatches(name)[1].attempt_id)
        host.now_s += 60.0
    assert {host.code(f"r{turn}") for turn in range(4)} == {"DELIVERED"}


def test_quarantine_ends_running_waiting_and_new_requests() -> None:
    host = Host(build_declaration(engines=3, slots=1))
    host.arrive("running", fingerprint=POISON)
    host.arrive("waiting", fingerprint=POISON)
    actions = host.send(FingerprintQuarantined(fingerprint=POISON))
    assert any(isinstance(a, CancelAttempt) for a in actions)
    host.arrive("later", fingerprint=POISON)
    codes = [host.code(name) for name in ("running", "waiting", "later")]
    assert codes == ["CRASHED_UPSTREAMS", "QUARANTINED", "QUARANTINED"]


class Fleet:
    """Several hosts with the same engines. A poison request crashes each engine that runs it."""

    def __init__(self, *, hosts: int, engines: int, gossip: bool) -> None:
        upstreams = [build_engine(f"e{n}", slots=8) for n in range(engines)]
        self.policies = [Policy(host=HostId(f"h{n}"), seed=n) for n in range(hosts)]
        self.running: dict[str, tuple[int, Dispatch]] = {}
        self.poison_requests: set[str] = set()
        self.crashed: list[str] = []
        self.verdicts: dict[str, Action] = {}
        self.gossip = gossip
        self.now_s = 10.0
        for n in range(hosts):
            declaration = build_declaration(engines=upstreams)
            self.apply_actions(
                n, self.policies[n].handle(DeclarationAdopted(declaration=declaration), 10.0)
            )
            shares = SharesUpdated(slots={}, entry_hosts=hosts)
            self.apply_actions(n, self.policies[n].handle(shares, 10.0))

    def arrive(self, host: int, name: str, *, poison: bool) -> None:
        request = build_request(name, fingerprint=POISON if poison else Fingerprint(name))
        if poison:
            self.poison_requests.add(name)
        self.apply_actions(
            host, self.policies[host].handle(RequestArrived(request=request), self.now_s)
        )

    def apply_actions(self, host: int, actions: list[Action]) -> None:
        for action in actions:
            match action:
                case Dispatch():
                    self.running[action.attempt_id] = (host, action)
                case CancelAttempt():
                    self.running.pop(action.attempt_id, None)
                case Deliver() | Reject():
                    assert action.request_id not in self.verdicts
                    self.verdicts[action.request_id] = action
                case ReportCrash() if self.gossip:
                    event = CrashReported(fingerprint=action.fingerprint, upstream=action.upstream)
                    self.send_to_peers(host, event)
                case QuarantineFingerprint() if self.gossip:
                    self.send_to_peers(host, FingerprintQuarantined(fingerprint=action.fingerprint))

    def send_to_peers(self, host: int, event: CrashReported | FingerprintQuarantined) -> None:
        for n, policy in enumerate(self.policies):
            if n != host:
                self.apply_actions(n, policy.handle(event, self.now_s))

    def crash_one_engine(self) -> bool:
        """Crash the engine of one running poison request, so that all its attempts are lost."""
        running_poison = [
            d for _, d in self.running.values() if d.request_id in self.poison_requests
        ]
        if not running_poison:
            return False
        engine = running_poison[0].upstream
        self.crashed.append(engine)
        for attempt in [a for a, (_, d) in self.running.items() if d.upstream == engine]:
            if attempt in self.running:
                host, dispatch = self.running.pop(attempt)
                event = AttemptFailed(attempt_id=dispatch.attempt_id, kind=FailureKind.LOST)
                self.apply_actions(host, self.policies[host].handle(event, self.now_s))
        return True

    def finish_other_requests(self) -> None:
        for attempt, (host, dispatch) in list(self.running.items()):
            if attempt in self.running and dispatch.request_id not in self.poison_requests:
                del self.running[attempt]
                event = AttemptFinished(attempt_id=dispatch.attempt_id)
                self.apply_actions(host, self.policies[host].handle(event, self.now_s))

    def run_to_completion(self) -> None:
        for _ in range(20):
            self.now_s += 1.0
            while self.crash_one_engine():
                pass
            self.finish_other_requests()
            for n, policy in enumerate(self.policies):
                self.apply_actions(n, policy.handle(TimerFired(), self.now_s))


@given(
    hosts=st.integers(1, 5),
    engines=st.integers(3, 7),
    other_requests=st.integers(0, 24),
    first_host=st.integers(0, 4),
    names=st.text("abcdef", min_size=1, max_size=4),
)
@settings(max_examples=60)
def test_poison_request_retried_through_other_hosts_crashes_two_upstreams(
    hosts: int, engines: int, other_requests: int, first_host: int, names: str
) -> None:
    fleet = Fleet(hosts=hosts, engines=engines, gossip=True)
    for n in range(other_requests):
        fleet.arrive(n % hosts, f"{names}{n}", poison=False)
    for n in range(8):
        fleet.arrive((first_host + n) % hosts, f"bad{n}", poison=True)
        fleet.run_to_completion()
    assert len(fleet.crashed) == 2
    bad = [fleet.verdicts[f"bad{n}"] for n in range(8)]
    assert isinstance(bad[0], Reject) and bad[0].code is ResultCode.CRASHED_UPSTREAMS
    assert all(isinstance(v, Reject) and v.code is ResultCode.QUARANTINED for v in bad[1:])
    good = [fleet.verdicts.get(f"{names}{n}") for n in range(other_requests)]
    assert all(isinstance(verdict, Deliver) for verdict in good)


@given(hosts=st.integers(1, 5), engines=st.integers(3, 7), copies=st.integers(1, 12))
@settings(max_examples=40)
def test_poison_request_sent_through_all_hosts_at_once_crashes_two_upstreams(
    hosts: int, engines: int, copies: int
) -> None:
    fleet = Fleet(hosts=hosts, engines=engines, gossip=True)
    for n in range(copies):
        fleet.arrive(n % hosts, f"bad{n}", poison=True)
    fleet.run_to_completion()
    assert len(fleet.crashed) == 2
    assert all(isinstance(fleet.verdicts[f"bad{n}"], Reject) for n in range(copies))


def test_a_request_suspected_elsewhere_waits_for_the_crash_reports_of_its_last_answer() -> None:
    host = Host(build_declaration(engines=3))
    shares = {UpstreamName(f"e{number}"): 1 for number in range(3)}
    host.send(SharesUpdated(slots=shares, entry_hosts=2))
    suspect = Fingerprint("f-again")
    host.send(CrashReported(fingerprint=suspect, upstream=UpstreamName("e0")))
    host.now_s += 60.0
    assert not any(isinstance(action, Dispatch) for action in host.arrive("again"))
    answers = host.send(FingerprintQuarantined(fingerprint=suspect), after_s=0.01)
    assert [a.code for a in answers if isinstance(a, Reject)] == [ResultCode.QUARANTINED]


def test_stalled_upstream_gets_no_requests_while_another_responds() -> None:
    host = Host(build_declaration(engines=2, slots=2, classes=[build_class("phone")]))
    for name in ("a0", "a1"):
        host.arrive(name, "phone")
    frozen, working = host.dispatches("a0")[0], host.dispatches("a1")[0]
    assert frozen.upstream != working.upstream
    for _ in range(4):
        host.progress(working.attempt_id, 8, after_s=0.25)
    for n in range(3):
        host.arrive(f"b{n}", "phone")
    assert [d.upstream for n in range(3) for d in host.dispatches(f"b{n}")] == [working.upstream]
    host.progress(frozen.attempt_id, 1)
    assert len([d for n in range(3) for d in host.dispatches(f"b{n}")]) == 2

"""What counts as a crash under equal requests, and what takes it back."""

from collections.abc import Iterable, Iterator
from functools import partial
from types import SimpleNamespace
from typing import Any

import pytest
from twisted.internet.defer import succeed
from twisted.internet.task import Clock

from greengagestage.gateway.crashes import LostAnswer
from greengagestage.gateway.crashes._crash_watch import CrashWatch
from greengagestage.gateway.crashes._quarantine import Quarantine
from greengagestage.http1 import Endpoint, Exchange, IncomingRequest, OutgoingRequest, Responder
from greengagestage.ids import AttemptId, Fingerprint, HostId
from greengagestage.routing import LossTracker, ObservedLoss, Trials

from . import host_harness as harness
from .catalog_builders import build_job, build_upstream
from .host_harness import HostFleet, UpstreamStandin, build_request, running_fleet


@pytest.fixture
def fleet() -> Iterator[HostFleet]:
    with running_fleet() as running:
        yield running


HOST = HostId("h1")


class JudgedLosses:
    """A quarantine whose host's connections and registry a test sets.

    Attributes:
        survivors: Number of connections to the lost upstream that seem to live on.
        told: The losses that other hosts are told of.
        aborted: When the connections to upstreams ended.
    """

    def __init__(self, *, survivors: int = 0, opens: bool = True) -> None:
        self.clock = Clock()
        self.survivors = survivors
        self.told: list[str] = []
        self.aborted: dict[Endpoint, float] = {}
        open_ = self._open_connection if opens else self._fail_to_open
        pool = SimpleNamespace(
            count_alive_since_before=lambda endpoint, time_s: self.survivors,
            list_aborted=lambda began_s, ended_s: self.aborted,
            open=open_,
            put_idle=lambda endpoint, connection: None,
        )
        self.watch = CrashWatch(reactor=self.clock, pool=pool, report=lambda records: None)
        self.quarantine = Quarantine(
            losses=LossTracker(),
            crash_watch=self.watch,
            trials=Trials(HOST),
            claim_trial=lambda fingerprint, attempt_id: succeed(True),
            list_hosts=lambda: [HOST],
            report_loss=lambda fingerprint, loss_id: self.told.append(loss_id),
            report_cleared=lambda fingerprint: None,
        )

    def _open_connection(self, endpoint: Endpoint, *, on_open: Any, on_failed: Any) -> None:
        on_open(None)

    def _fail_to_open(self, endpoint: Endpoint, *, on_open: Any, on_failed: Any) -> None:
        on_failed()

    def lose(self, number: int, **fields: Any) -> None:
        """Lose the answer to one of some equal requests, each at an upstream of its own."""
        self.quarantine.record_loss(self._build_lost(number, **fields))

    def leave(self, number: int) -> None:
        """Close the connection of one of some equal requests, which may run for a second more."""
        lost = self._build_lost(number, was_left=True)
        self.quarantine.record_left_run(lost, self.clock.seconds() + 1.0)

    def _build_lost(self, number: int, **fields: Any) -> LostAnswer:
        now_s = self.clock.seconds()
        return LostAnswer(
            attempt_id=AttemptId(f"a{number}"),
            number=1,
            fingerprint=Fingerprint("f"),
            prompt=None,
            upstream=build_upstream(number),
            lost_s=now_s,
            begun=False,
            had_event=False,
            **{"sent_s": now_s, "forwarded_by": None, "was_idle": False, **fields},
        )

    @property
    def is_quarantined(self) -> bool:
        job = build_job(1)
        reason = self.quarantine.find_reason(Fingerprint("f"), job, 0, self.clock.seconds())
        return reason is not None


# Guards against sound requests that are refused because upstreams have dropped idle connections,
# and against requests that pass for these while they crash upstreams at once.
@pytest.mark.parametrize(
    ("survivors", "opens", "fields", "is_crash"),
    [
        (0, True, {"was_idle": True}, False),
        (1, False, {"was_idle": True}, False),
        (0, False, {"was_idle": True}, True),
        (1, True, {}, False),
        (0, True, {}, True),
        (1, True, {"forwarded_by": HOST, "was_idle": True}, True),
    ],
)
def test_a_loss_counts_if_its_upstream_has_crashed(
    survivors: int, opens: bool, fields: dict[str, Any], is_crash: bool
) -> None:
    judged = JudgedLosses(survivors=survivors, opens=opens)
    for number in range(3):
        judged.lose(number, **fields)
    assert judged.is_quarantined  # no further send until it is known
    judged.clock.advance(0.2)
    assert judged.is_quarantined is is_crash
    assert len(judged.told) == (3 if is_crash else 0)


# Guards against crashes that go unnoticed at a host which was held up: it judges by connections
# whose ends have arrived, but are not read yet.
def test_a_loss_is_judged_after_the_ends_of_connections_have_been_read() -> None:
    judged = JudgedLosses(survivors=1)
    for number in range(3):
        judged.lose(number)
    judged.clock.callLater(0.1, setattr, judged, "survivors", 0)  # read after the timers have run
    judged.clock.advance(0.2)
    assert judged.is_quarantined


# Guards against a failure of links that passes for crashes under equal requests, since several
# hosts lose them together, and against the opposite: only requests that were sent one after the
# other explain the ends of connections to several upstreams.
# Other hosts' losses are heard of late, at which their times must not be taken to be later.
@pytest.mark.parametrize(
    ("sent_after_s", "lost_after_s", "is_crash"),
    [(0.01, 0.03, True), (-0.01, 0.03, False), (-0.04, -0.02, True)],
)
@pytest.mark.parametrize("delay_s", [0.0, 0.08])
def test_losses_of_other_hosts_explain_the_ends_of_connections_in_sequence(
    sent_after_s: float, lost_after_s: float, delay_s: float, is_crash: bool
) -> None:
    elsewhere = Endpoint(address="10.0.0.9", port=80)
    judged = JudgedLosses()
    for number in range(3):
        upstream, now_s = build_upstream(number), judged.clock.seconds()
        own = Endpoint(address=upstream.address, port=upstream.port)
        judged.aborted = {own: now_s, elsewhere: now_s + lost_after_s}
        judged.lose(number)
        other = ObservedLoss(
            fingerprint=Fingerprint("f"),
            address=elsewhere.address,
            port=elsewhere.port,
            sent_s=now_s + sent_after_s + delay_s,
            lost_s=now_s + lost_after_s + delay_s,
        )
        judged.watch.remember(other)
        judged.clock.advance(1.2)
    assert judged.is_quarantined is is_crash
    assert len(judged.told) == (3 if is_crash else 0)


# Guards against a crash that is left out as a common cause as its request is sent again at once:
# the end of a connection is noticed some time before the loss of the answer is.
def test_a_request_that_is_sent_again_at_once_explains_both_losses() -> None:
    judged = JudgedLosses()
    judged.clock.advance(1.0)
    first, second = build_upstream(0), build_upstream(1)
    judged.aborted = {
        Endpoint(address=first.address, port=first.port): 0.999,
        Endpoint(address=second.address, port=second.port): 1.002,
    }
    judged.lose(0, sent_s=0.98)
    judged.clock.advance(0.005)
    judged.lose(1, sent_s=1.0)
    judged.clock.advance(0.2)
    assert judged.told == ["a0.1", "a1.1"]


# Guards against a crash that is never counted, since on a busy machine a connection to the upstream
# looks alive 0.1 s later (review/15), and against the opposite.
@pytest.mark.parametrize("is_listed", [False, True])
@pytest.mark.parametrize("answers_later", [False, True])
def test_the_registry_shows_a_crash_that_other_connections_did_not_show(
    is_listed: bool, answers_later: bool
) -> None:
    judged = JudgedLosses(survivors=1)
    upstreams = [build_upstream(number) for number in range(3)]
    for number in range(3):
        judged.lose(number)
    judged.clock.advance(0.2)
    assert not judged.is_quarantined
    judged.survivors = 0
    if answers_later:
        for upstream in upstreams:
            judged.watch.record_head(upstream, judged.clock.seconds())
    judged.clock.advance(4.0)
    judged.watch.observe_upstreams(upstreams if is_listed else [])
    assert judged.is_quarantined is not (is_listed or answers_later)


# Guards against a crash that is taken back, since a connection that its upstream accepted last is
# still served for a while (review/15).
def test_an_answer_on_an_older_connection_does_not_contradict_a_crash() -> None:
    judged = JudgedLosses(survivors=1)
    upstreams = [build_upstream(number) for number in range(3)]
    opened_s = judged.clock.seconds()
    judged.clock.advance(1.0)
    for number in range(3):
        judged.lose(number)
    judged.clock.advance(1.0)
    for upstream in upstreams:
        judged.watch.record_head(upstream, judged.clock.seconds(), opened_s=opened_s)
    judged.clock.advance(3.0)
    judged.watch.observe_upstreams([])
    assert not judged.is_quarantined
    judged.survivors = 0
    judged.watch.observe_upstreams([])
    assert judged.is_quarantined


# Guards against equal requests that crash upstreams side by side, whose losses are left out as a
# common cause each time, and against the opposite: links that fail together end no upstream, and
# upstreams that fail together with others say no more than one of them.
@pytest.mark.parametrize(
    ("ends_others", "is_listed", "crashes"),
    [(False, False, 3), (False, True, 0), (True, False, 1), (True, True, 0)],
)
def test_the_registry_shows_whether_upstreams_crashed_under_requests_side_by_side(
    ends_others: bool, is_listed: bool, crashes: int
) -> None:
    judged = JudgedLosses()
    judged.clock.advance(1.0)
    upstreams = [build_upstream(number) for number in range(4)]
    judged.aborted = {
        Endpoint(address=each.address, port=each.port): 1.0
        for each in upstreams[: 4 if ends_others else 3]
    }
    for number in range(3):
        judged.lose(number, sent_s=0.98)
    judged.clock.advance(0.2)
    assert judged.told == []
    judged.clock.advance(4.0)
    judged.watch.observe_upstreams(upstreams if is_listed else [])
    assert len(judged.told) == crashes
    assert judged.is_quarantined is (crashes == 3)


# Guards against crashes of upstreams that come back at once, so that a connection can be opened.
@pytest.mark.parametrize("is_listed", [False, True])
def test_the_registry_shows_that_an_idle_connection_ended_with_its_upstream(
    is_listed: bool,
) -> None:
    judged = JudgedLosses()
    for number in range(3):
        judged.lose(number, was_idle=True)
    judged.clock.advance(4.0)
    assert not judged.is_quarantined
    judged.watch.observe_upstreams([build_upstream(each) for each in range(3 if is_listed else 0)])
    assert judged.is_quarantined is not is_listed


def crash(upstream: UpstreamStandin, request: IncomingRequest, responder: Responder) -> None:
    upstream.crash()


def keep_idle(pool: Any, upstreams: Iterable[UpstreamStandin]) -> None:
    """Let a host have an idle connection to each of some upstreams that has not crashed."""
    for upstream in [each for each in upstreams if each.port.connected]:
        address = upstream.port.getHost()
        endpoint = Endpoint(address=address.host, port=address.port)
        pool.open(endpoint, on_open=partial(pool.put_idle, endpoint), on_failed=lambda: None)


def call_at_once(fleet: HostFleet, requests: Iterable[bytes]) -> None:
    """Send requests to one host each, and wait for the ends of all."""
    callers = [
        fleet.connect(request, fleet._host_settings[number].callers)
        for number, request in enumerate(requests)
    ]
    fleet.run_until(lambda: all(each.is_complete or each.closed for each in callers))


def order(fleet: HostFleet, number: int) -> harness.RawCaller:
    """Send a request that is not sent again by the host, and wait until its end is judged."""
    caller = fleet.call("/order/x", attempt=f"a{number}", body=b"same")
    fleet.run_for(0.2)
    return caller


# Guards against requests that crash upstreams on connections that had been idle.
@pytest.mark.parametrize("path", ["/order/x", "/lookup/x"])
def test_crashes_on_idle_connections_count(fleet: HostFleet, path: str) -> None:
    upstreams = [fleet.add_upstream(f"u{number}", behavior=crash) for number in range(9)]
    pool = fleet.start_host()._pool
    fleet.wait_ready()
    keep_idle(pool, upstreams)
    fleet.run_for(0.2)
    for number in range(6):
        caller = fleet.call(path, attempt=f"a{number}", body=b"same")
        fleet.run_for(0.2)
    assert caller.error["code"] == 2012
    assert sum(len(upstream.requests) for upstream in upstreams) == 3


# Guards against requests that crash one upstream after the other on kept connections, while these
# are back at once.
def test_crashes_of_upstreams_that_are_back_at_once_count(fleet: HostFleet) -> None:
    upstreams = [fleet.add_upstream(f"u{number}", behavior=break_off) for number in range(9)]
    pool = fleet.start_host()._pool
    fleet.wait_ready()
    for number in range(8):
        keep_idle(pool, upstreams)
        fleet.run_for(0.1)
        order(fleet, number)
    assert sum(len(upstream.requests) for upstream in upstreams) <= 4


def break_off(upstream: Any, request: IncomingRequest, responder: Responder) -> None:
    """End all connections, and go on as the upstream's next process at once."""
    for connection in list(upstream.port.factory.connections):
        connection.transport.abortConnection()


# Guards against losing the evidence of several hosts as a common cause, since the idle connections
# of each end with what another one's request has crashed. Losses are told within 0.15 s.
def test_crashes_through_several_hosts_with_idle_connections_count(fleet: HostFleet) -> None:
    upstreams = [fleet.add_upstream(f"u{number}", behavior=crash) for number in range(24)]
    port = harness.choose_port()
    for number in range(3):
        host = fleet.start_host(f"host-{number}", address=f"127.0.0.{number + 1}", peer_port=port)
        fleet.wait_ready()
        keep_idle(host._pool, upstreams)
    fleet.run_for(1.0)
    for number in range(18):
        fleet.call_at(number % 3, "/order/x", attempt=f"a{number}", body=b"same")
        fleet.run_for(0.03)
    assert sum(len(upstream.requests) for upstream in upstreams) <= 6


# Guards against a request that several callers send again at the same time, each through another
# host, and that goes on to crash upstreams side by side.
def test_crashes_side_by_side_through_several_hosts_count(fleet: HostFleet) -> None:
    upstreams = [fleet.add_upstream(f"u{number}", behavior=crash) for number in range(12)]
    port = harness.choose_port()
    for number in range(3):
        host = fleet.start_host(f"host-{number}", address=f"127.0.0.{number + 1}", peer_port=port)
        fleet.wait_ready()
        keep_idle(host._pool, upstreams)
    fleet.run_for(1.0)
    for tick in range(3):
        call_at_once(
            fleet,
            [build_request("/order/x", attempt=f"a{tick}{at}", body=b"same") for at in range(3)],
        )
        for upstream in upstreams:
            if upstream.requests:
                fleet.store.remove("servers", upstream.name)
        fleet.run_for(2.5)
    assert sum(len(upstream.requests) for upstream in upstreams) <= 6


# Guards against orders that crash one upstream after the other once their callers have left.
def test_crashes_under_orders_whose_callers_have_left_count(fleet: HostFleet) -> None:
    behavior = harness.delay(0.2, crash)
    upstreams = [fleet.add_upstream(f"u{number}", behavior=behavior) for number in range(9)]
    fleet.start_host()
    fleet.wait_ready()
    for number in range(8):
        request = build_request("/order/x", attempt=f"a{number}", body=b"same")
        caller = fleet.connect(request)
        fleet.run_for(0.1)
        caller.transport.abortConnection()
        fleet.run_for(0.4)
    assert sum(len(upstream.requests) for upstream in upstreams) == 3


# Guards against a crowd of connections to an upstream that many callers had left, and against many
# losses of one crash.
def test_runs_that_were_left_at_one_upstream_try_one_connection(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    judged, failing = JudgedLosses(), list[Any]()

    def open_later(endpoint: Endpoint, *, on_open: Any, on_failed: Any) -> None:
        failing.append(on_failed)

    monkeypatch.setattr(judged.watch._pool, "open", open_later)
    for _ in range(20):
        judged.leave(1)
    upstream = build_upstream(1)
    judged.watch._pool.on_aborted(Endpoint(address=upstream.address, port=upstream.port))
    judged.clock.advance(0.2)
    assert len(failing) == 1
    failing[0]()
    assert set(judged.told) == {"left i-1 1000"}
    assert not judged.is_quarantined


# Guards against a crash that is not seen since a connection to its upstream had ended just before.
def test_a_run_that_was_left_is_watched_on_after_another_connection_has_ended() -> None:
    judged = JudgedLosses(survivors=1, opens=False)
    judged.leave(1)
    upstream = build_upstream(1)
    endpoint = Endpoint(address=upstream.address, port=upstream.port)
    judged.watch._pool.on_aborted(endpoint)
    judged.clock.advance(0.2)
    assert judged.told == []
    judged.survivors = 0
    judged.watch._pool.on_aborted(endpoint)
    judged.clock.advance(0.2)
    assert judged.told == ["left i-1 1000"]


def crash_later(upstream: UpstreamStandin, request: IncomingRequest, responder: Responder) -> None:
    """Go on with the run although its connection is closed, and crash."""
    upstream.reactor.callLater(0.1, upstream.crash)


def break_off_later(
    upstream: UpstreamStandin, request: IncomingRequest, responder: Responder
) -> None:
    upstream.reactor.callLater(0.1, break_off, upstream, request, responder)


# Guards against requests that crash one upstream after the other, each once its caller has left and
# its connection is closed, and against refusing those under which upstreams only reset idle
# connections, or go on.
@pytest.mark.parametrize(
    ("behavior", "has_idle", "is_crash"),
    [
        (crash_later, True, True),
        (crash_later, False, True),
        (break_off_later, True, False),
        (harness.hang, True, False),
    ],
)
def test_crashes_under_requests_whose_callers_have_left_count(
    fleet: HostFleet, behavior: harness.Behavior, has_idle: bool, is_crash: bool
) -> None:
    upstreams = [fleet.add_upstream(f"u{number}", behavior=behavior) for number in range(9)]
    pool = fleet.start_host()._pool
    fleet.wait_ready()
    for number in range(6):
        keep_idle(pool, 2 * upstreams if has_idle else [])  # the request takes one
        fleet.run_for(0.1)
        caller = fleet.connect(build_request("/lookup/x", attempt=f"a{number}"))
        fleet.run_for(0.05)
        caller.transport.abortConnection()
        fleet.run_for(0.04)
        reached = [upstream for upstream in upstreams if upstream.requests]
        assert sum(each.disconnects for each in reached) >= sum(len(e.requests) for e in reached)
        fleet.run_for(0.4)
        if is_crash and not has_idle:
            for upstream in reached:
                fleet.store.remove("servers", upstream.name)
            fleet.run_for(1.0)
    assert sum(len(upstream.requests) for upstream in upstreams) == (3 if is_crash else 6)


# Guards against losses that go on counting although equal requests have been answered since.
def test_an_answer_to_an_equal_request_clears_the_losses_before_it(fleet: HostFleet) -> None:
    upstreams = [fleet.add_upstream(f"u{number}", behavior=harness.reset) for number in range(9)]
    fleet.start_host()
    fleet.wait_ready()
    for number in range(2):
        order(fleet, number)
    for upstream in upstreams:
        upstream.behavior = harness.serve
    assert order(fleet, 2).status == 200
    for upstream in upstreams:
        upstream.port.factory.close_idle()
        upstream.behavior = harness.reset
    fleet.run_for(0.1)
    assert [order(fleet, number).status for number in (3, 4)] == [502, 502]
    assert order(fleet, 5).status == 502


# Guards against requests that stay refused because a link was cut while the upstream was tried.
def test_a_loss_on_an_idle_connection_is_taken_back_once_its_upstream_answers() -> None:
    judged = JudgedLosses(opens=False)
    for number in range(3):
        judged.lose(number, was_idle=True)
    judged.clock.advance(0.2)
    assert judged.is_quarantined
    for number in range(3):
        judged.quarantine.record_head(build_upstream(number), judged.clock.seconds())
    assert not judged.is_quarantined


# Guards against crashes that go unnoticed beside streams that a slow caller keeps from being read.
def test_connections_that_are_not_read_show_no_sign_of_life(fleet: HostFleet) -> None:
    pool = fleet.start_host()._pool
    upstream = fleet.add_upstream("u1")
    fleet.wait_ready()
    address = upstream.port.getHost()
    endpoint = Endpoint(address=address.host, port=address.port)
    opened: list[Any] = []
    pool.open(endpoint, on_open=opened.append, on_failed=lambda: None)
    fleet.run_until(lambda: bool(opened))
    request = OutgoingRequest(method=b"GET", target=b"/", headers=[(b"Host", b"h")])
    opened[0].send(Exchange(request=request, listener=SimpleNamespace()))
    now_s = fleet.reactor.seconds()
    assert pool.count_alive_since_before(endpoint, now_s) == 1
    opened[0].pause()
    assert pool.count_alive_since_before(endpoint, now_s) == 0


# Guards against answers that pass for an upstream's sign of life: those of another server at its
# address, and those to requests that were sent before it crashed.
@pytest.mark.parametrize(("since_loss_s", "is_crash"), [(-0.1, True), (0.1, False)])
def test_only_an_answer_to_a_later_request_takes_a_loss_back(
    since_loss_s: float, is_crash: bool
) -> None:
    judged = JudgedLosses()
    for number in range(3):
        judged.lose(number)
    judged.clock.advance(0.2)
    for number in range(3):
        judged.quarantine.record_head(build_upstream(number), since_loss_s)
    assert judged.is_quarantined is is_crash


def test_a_failure_that_names_no_request_takes_no_loss_back(fleet: HostFleet) -> None:
    upstreams = [fleet.add_upstream(f"u{number}", behavior=harness.reset) for number in range(3)]
    fleet.start_host()
    fleet.wait_ready()
    for number in range(3):
        order(fleet, number)
    for upstream in upstreams:
        upstream.behavior = fail_anonymously
    for number in range(6):
        fleet.call(f"/lookup/{number}", attempt=f"b{number}")
    assert order(fleet, 4).error["code"] == 2012


def fail_anonymously(upstream: Any, request: IncomingRequest, responder: Responder) -> None:
    responder.answer(502, [], b"")


# Guards against connections that are reset while their upstreams live on: other requests show it.
def test_a_loss_is_taken_back_once_its_upstream_answers(fleet: HostFleet) -> None:
    upstreams = [fleet.add_upstream(f"u{number}", behavior=harness.reset) for number in range(3)]
    fleet.start_host()
    fleet.wait_ready()
    for number in range(3):
        order(fleet, number)
    assert order(fleet, 3).error["code"] == 2012
    for upstream in upstreams:
        upstream.behavior = harness.serve
    for number in range(6):
        assert fleet.call(f"/lookup/{number}", attempt=f"b{number}").status == 200
    assert order(fleet, 4).status == 200

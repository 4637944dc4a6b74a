"""Unit tests of the parts of the agent."""

import hashlib
import time
import zlib
from collections.abc import Collection, Iterator
from typing import Any

import pytest
from twisted.internet.task import Clock

from greengagestage.agent._entry_feed import HOST_DISCOVERY_S, EntryFeed
from greengagestage.agent._entry_reports import EntryReports
from greengagestage.agent._fleet import DOCUMENT_LIMIT_BYTES, decompress_document
from greengagestage.agent._listed_upstreams import find_mark_changes
from greengagestage.agent._load_poller import FAILURES_BEFORE_GONE, LoadPoller
from greengagestage.agent._operators import find_operator
from greengagestage.agent._queries import encode_rows
from greengagestage.agent._refusal_backoff import BACKOFF_FACTOR, FIRST_BACKOFF_S, RefusalBackoff
from greengagestage.agent._request_log import MINUTES_KEPT, REQUESTS_KEPT, RequestLog
from greengagestage.agent._share_updates import RAISE_DELAY_S, ShareUpdates
from greengagestage.agent._upstream_view import UpstreamView
from greengagestage.configuration import Operator
from greengagestage.ids import (
    ClassName,
    HostId,
    ModelName,
    OperatorName,
    PoolName,
    RequestId,
    UpstreamName,
    WorkspaceId,
)
from greengagestage.results import ResultCode
from greengagestage.services import HostList, HostState, PlatformUpstream
from greengagestage.wire import (
    AgentMessage,
    Gossip,
    HostShares,
    LoadRecord,
    PeerMessage,
    PeerSocket,
    RequestRecord,
    UpstreamMark,
)

from .builders import build_declaration, build_engine
from .membership_fleet import MembershipFleet
from .reactors import choose_address, run_until, running_reactor

ENGINE = UpstreamName("engine-1")
LIVE, LEAVING = HostState.LIVE, HostState.LEAVING
LAG_S = 60.0


@pytest.mark.parametrize(
    ("listed", "marked", "age_s", "expected"),
    [
        (LIVE, None, 0.0, []),
        (LEAVING, None, 0.0, [(ENGINE, True)]),
        (LEAVING, True, 5.0, []),
        (LIVE, True, 5.0, []),
        (LIVE, True, LAG_S + 1, [(ENGINE, False)]),
        (LIVE, False, LAG_S + 1, []),
        (LEAVING, False, 5.0, [(ENGINE, True)]),
        (None, True, 1e9, []),
        (None, None, 0.0, []),
    ],
)
def test_host_list_yields_the_marks_to_change(
    listed: HostState | None, marked: bool | None, age_s: float, expected: list[object]
) -> None:
    upstreams = () if listed is None else (PlatformUpstream(name=ENGINE, state=listed),)
    marks = {}
    if marked is not None:
        marks[ENGINE] = (UpstreamMark(upstream=ENGINE, sequence=1, leaving=marked), age_s)
    assert (
        list(find_mark_changes(HostList(hosts=(), upstreams=upstreams), marks, LAG_S)) == expected
    )


def build_shares(first: int, second: int) -> HostShares:
    slots = {UpstreamName("e1"): first, UpstreamName("e2"): second}
    return HostShares(slots=slots, entry_hosts=2)


def test_shares_fall_at_once_and_rise_after_a_delay() -> None:
    clock, sent = Clock(), []  # type: ignore[var-annotated]
    updates = ShareUpdates(reactor=clock, send=sent.append)
    updates.update(build_shares(4, 4))
    updates.update(build_shares(6, 2))
    assert sent == [build_shares(4, 4), build_shares(4, 2)]
    clock.advance(RAISE_DELAY_S)
    assert sent[-1] == build_shares(6, 2)


def test_a_delayed_rise_is_dropped_when_the_shares_change_again() -> None:
    clock, sent = Clock(), []  # type: ignore[var-annotated]
    updates = ShareUpdates(reactor=clock, send=sent.append)
    updates.update(build_shares(4, 4))
    updates.update(build_shares(6, 2))
    clock.advance(RAISE_DELAY_S / 2)
    updates.update(build_shares(4, 4))
    clock.advance(RAISE_DELAY_S)
    assert all(shares.slots[UpstreamName("e1")] == 4 for shares in sent)
    assert sent[-1] == build_shares(4, 4)


@pytest.mark.parametrize(
    ("data", "document"),
    [
        (zlib.compress(b"x" * 1000), b"x" * 1000),
        (zlib.compress(b"x" * 1000)[:-3], None),
        (b"not compressed", None),
        (b"", None),
        (zlib.compress(bytes(DOCUMENT_LIMIT_BYTES + 1)), None),
    ],
    ids=["whole", "cut", "other", "empty", "too large"],
)
def test_documents_are_decompressed_within_a_limit(data: bytes, document: bytes | None) -> None:
    assert decompress_document(data) == document


@pytest.mark.parametrize(
    ("header", "found"),
    [
        ("Bearer secret", "anna"),
        ("bearer secret", "anna"),
        ("Bearer other", None),
        ("Bearer ", None),
        ("Basic secret", None),
        ("secret", None),
        ("", None),
    ],
)
def test_operators_are_found_by_their_key(header: str, found: str | None) -> None:
    digest = hashlib.sha256(b"secret").hexdigest()
    operators = (Operator(name=OperatorName("anna"), sha256=digest),)
    assert find_operator(header, build_declaration(operators=operators)) == found


def build_record(number: int, code: int, **changes: object) -> RequestRecord:
    fields: dict[str, Any] = {
        "request_id": RequestId(f"r-{number}"),
        "workspace": WorkspaceId("gyor"),
        "service_class": ClassName("phone"),
        "pool": PoolName("small"),
        "state": "delivered",
        "code": code,
        "age_ms": 1,
        "first_token_ms": 1,
        "answer_ms": 1,
        "tokens": 10,
        "attempts": 1,
        "upstream": ENGINE,
        "within_target": code == 0,
    }
    return RequestRecord(**(fields | changes))


def test_each_ended_request_is_counted_once() -> None:
    log = RequestLog(unix_seconds=lambda: 120.0)
    log.record([build_record(1, -1), build_record(2, ResultCode.SHED.value)])
    log.record([build_record(1, 0), build_record(1, 0)])
    log.record([build_record(3, ResultCode.UPSTREAM_LOST.value)])
    (outcomes,) = log.minutes.values()
    assert (outcomes.ended, outcomes.delivered, outcomes.refused) == (3, 1, 1)
    assert (outcomes.may_have_run, outcomes.within_target) == (1, 1)


def test_request_log_is_bounded() -> None:
    now_s = [0.0]
    log = RequestLog(unix_seconds=lambda: now_s[0])
    for number in range(REQUESTS_KEPT + 500):
        now_s[0] += 2.0
        log.record([build_record(number, 0)])
    assert len(log.list_newest()) == REQUESTS_KEPT
    assert log.find(RequestId("r-0")) is None
    assert len(log.minutes) <= MINUTES_KEPT + 1


def test_encode_rows_reports_rows_that_do_not_fit() -> None:
    rows: list[Any] = [("x" * 1000, n) for n in range(3000)]
    encoded, complete = encode_rows(rows)
    assert not complete
    assert len(encoded) < len(rows) * 1000
    assert encode_rows(rows[:2])[1]


class SilentClient:
    """A load client that never gets an answer."""

    async def read(self, url: str) -> None:
        return None


def build_view(
    fleet: MembershipFleet, engines: int, silent: int, large: Collection[int] = ()
) -> UpstreamView:
    """Return a view of engines of one model, of which the first ones are silent.

    Args:
        large: Numbers of the engines that serve a second model too.
    """
    membership = fleet.members[HostId("host-0")]
    poller = LoadPoller(
        reactor=Clock(),
        client=SilentClient(),  # type: ignore[arg-type]
        loads=membership.measurements.loads,
        polls_per_s=2.0,
        interval_s=1.0,
        on_load=lambda _: None,
        on_failure=lambda _: None,
    )
    names = [UpstreamName(f"engine-{n}") for n in range(engines)]
    poller.set_engines(dict.fromkeys(names, "http://127.0.0.1:1"))
    poller._failures = dict.fromkeys(names[:silent], FAILURES_BEFORE_GONE)
    view = UpstreamView(membership=membership, poller=poller)
    small_only, both = (ModelName("small"),), (ModelName("small"), ModelName("large"))
    upstreams = tuple(
        build_engine(name, models=both if number in large else small_only)
        for number, name in enumerate(names)
    )
    view.set_declaration(build_declaration(upstreams=upstreams))
    return view


@pytest.mark.parametrize(
    ("engines", "silent", "gone"),
    [(3, 0, 0), (3, 1, 1), (4, 2, 2), (3, 2, 0), (3, 3, 0), (1, 1, 0)],
)
def test_most_of_a_pool_is_never_taken_for_gone(engines: int, silent: int, gone: int) -> None:
    view = build_view(MembershipFleet(size=1), engines, silent)
    states = [status.state for status in view.build_statuses(view.declared)]
    assert states.count("gone") == gone
    assert len(list(view.list_available())) == engines - gone


@pytest.mark.parametrize(
    ("engines", "silent", "large", "gone"),
    [
        (3, 1, [0], []),
        (4, 2, [0, 1], []),
        (4, 2, [0], ["engine-1"]),
        (4, 2, [0, 2], ["engine-0", "engine-1"]),
        (4, 3, [0, 3], []),
    ],
)
def test_most_of_no_pool_is_taken_for_gone_where_engines_serve_two(
    engines: int, silent: int, large: list[int], gone: list[str]
) -> None:
    view = build_view(MembershipFleet(size=1), engines, silent, large)
    statuses = view.build_statuses(view.declared)
    assert [status.upstream for status in statuses if status.state == "gone"] == gone
    assert len(list(view.list_available())) == engines - len(gone)


def test_engine_that_answers_another_host_is_not_gone() -> None:
    fleet = MembershipFleet(size=1)
    view = build_view(fleet, 3, 1)
    record = LoadRecord(upstream=UpstreamName("engine-0"), running=1, waiting=0, age_ms=0)
    fleet.members[HostId("host-0")].store_load(record, time.monotonic())
    assert {status.state for status in view.build_statuses(view.declared)} == {"live"}


class RefusingUpstreams:
    """Upstreams that refuse requests because they are leaving, as one agent sees them."""

    def __init__(self, *, engines: int) -> None:
        self.clock = Clock()
        fleet = MembershipFleet(size=1)
        self.membership = fleet.members[HostId("host-0")]
        self.listed_leaving: set[UpstreamName] = set()
        self.cleared: list[UpstreamName] = []
        self.backoff = RefusalBackoff(
            reactor=self.clock,
            membership=self.membership,
            upstreams=build_view(fleet, engines=engines, silent=0),
            is_listed_leaving=lambda name: name in self.listed_leaving,
            on_cleared=self.cleared.append,
        )

    def refuse(self, name: UpstreamName) -> None:
        self.membership.mark_upstream(name, True, time.monotonic())
        self.backoff.note_refusal(name)


ENGINE_0, ENGINE_1 = UpstreamName("engine-0"), UpstreamName("engine-1")


def test_the_last_upstream_of_a_pool_is_tried_again_after_a_growing_backoff() -> None:
    refusing = RefusingUpstreams(engines=1)
    refusing.refuse(ENGINE_0)
    refusing.clock.advance(FIRST_BACKOFF_S - 0.1)
    assert refusing.membership.is_leaving(ENGINE_0)
    refusing.clock.advance(0.2)
    assert not refusing.membership.is_leaving(ENGINE_0)
    assert refusing.cleared == [ENGINE_0]
    refusing.refuse(ENGINE_0)
    refusing.clock.advance(FIRST_BACKOFF_S + 0.1)
    assert refusing.membership.is_leaving(ENGINE_0)
    refusing.clock.advance((BACKOFF_FACTOR - 1) * FIRST_BACKOFF_S)
    assert not refusing.membership.is_leaving(ENGINE_0)


def test_an_upstream_stays_leaving_while_another_of_its_pool_is_available() -> None:
    refusing = RefusingUpstreams(engines=2)
    refusing.refuse(ENGINE_0)
    refusing.clock.pump([FIRST_BACKOFF_S] * 10)
    assert refusing.membership.is_leaving(ENGINE_0)
    refusing.refuse(ENGINE_1)
    refusing.clock.advance(FIRST_BACKOFF_S)
    assert not refusing.membership.is_leaving(ENGINE_0)


def test_an_upstream_that_the_host_list_calls_leaving_stays_leaving() -> None:
    refusing = RefusingUpstreams(engines=1)
    refusing.listed_leaving.add(ENGINE_0)
    refusing.refuse(ENGINE_0)
    refusing.clock.pump([FIRST_BACKOFF_S] * 10)
    assert refusing.membership.is_leaving(ENGINE_0)
    assert refusing.cleared == []


class PeerSockets:
    """Two agents' sockets in one reactor."""

    def __init__(self, reactor: Any) -> None:
        self.reactor = reactor
        self.received: list[tuple[HostId, PeerMessage]] = []
        self.sockets: list[PeerSocket] = []

    def start(self, host: str, keys: tuple[str, ...]) -> tuple[PeerSocket, str]:
        address = choose_address()
        socket = PeerSocket(
            reactor=self.reactor,
            address=address,
            host=HostId(host),
            fleet_keys=keys,
            on_message=lambda sender, message: self.received.append((sender, message)),
        )
        socket.start()
        self.sockets.append(socket)
        return socket, address


@pytest.fixture
def peers() -> Iterator[PeerSockets]:
    with running_reactor() as reactor:
        peers = PeerSockets(reactor)
        yield peers
        for socket in peers.sockets:
            socket.stop()


GOSSIP = Gossip(incarnation=1, sequence=2, version=3)  # type: ignore[arg-type]


def test_peer_messages_are_accepted_with_the_second_key(peers: PeerSockets) -> None:
    first, _ = peers.start("host-1", ("old",))
    _, address = peers.start("host-2", ("new", "old"))
    first.send(address, GOSSIP)
    run_until(peers.reactor, lambda: peers.received == [(HostId("host-1"), GOSSIP)])


def test_peer_message_with_an_unknown_key_is_counted_and_dropped(peers: PeerSockets) -> None:
    unknown_peer, _ = peers.start("host-1", ("other",))
    second, address = peers.start("host-2", ("new",))
    unknown_peer.send(address, GOSSIP)
    run_until(peers.reactor, lambda: second.counts.dropped[ResultCode.UNKNOWN_SENDER] == 1)
    assert not peers.received


def test_unreachable_peer_does_not_delay_others(peers: PeerSockets) -> None:
    first, _ = peers.start("host-1", ("key",))
    _, address = peers.start("host-2", ("key",))
    unreachable = choose_address()
    for _ in range(200):
        first.send(unreachable, GOSSIP)
    first.send(address, GOSSIP)
    run_until(peers.reactor, lambda: len(peers.received) == 1)
    assert first.counts.unsent > 0


def test_an_invalid_address_is_not_counted_as_a_full_queue(peers: PeerSockets) -> None:
    socket, _ = peers.start("host-1", ("key",))
    for address in ("not an address", "", "not an address"):
        socket.send(address, GOSSIP)
    counts = socket.counts
    assert (counts.failed, counts.unsent, counts.sent_messages) == (3, 0, 0)


def test_live_hosts_stay_unknown_until_hosts_could_be_discovered() -> None:
    clock = Clock()
    fleet = MembershipFleet(size=1)
    membership = fleet.members[HostId("host-0")]
    view = build_view(fleet, engines=1, silent=0)
    sent: list[AgentMessage] = []
    feed = EntryFeed(
        reactor=clock,
        membership=membership,
        upstreams=view,
        reports=EntryReports(),
        poller=view._poller,
        send=sent.append,
    )
    feed.start()
    feed.note_hosts_changed()
    clock.advance(HOST_DISCOVERY_S - 1)
    assert {m.live_hosts for m in sent if isinstance(m, HostShares)} == {()}
    clock.advance(2.0)
    feed._compute_shares()
    feed.stop()
    shares = [message for message in sent if isinstance(message, HostShares)]
    assert shares[-1].live_hosts == (HostId("host-0"),)

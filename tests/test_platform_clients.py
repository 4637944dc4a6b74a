"""Tests of the platform clients: the outcome of each fault, and that no call is retried."""

import base64
import json
from typing import Any

import pytest
from twisted.internet import reactor
from twisted.internet.defer import gatherResults, inlineCallbacks
from twisted.internet.protocol import Factory, Protocol
from twisted.internet.task import Clock
from twisted.trial.unittest import TestCase

from greengagestage.http1 import ConnectionPool, Endpoint, ResponseHead
from greengagestage.outcomes import Unavailable, Unknown
from greengagestage.platform import AlreadyStored, ObjectClient, ObjectMissing, Stored
from greengagestage.platform._store_calls import MAX_ANSWER_BYTES, StoreAnswer, _Call
from greengagestage.services import (
    PRODUCT_TABLE,
    Check,
    Committed,
    Conflict,
    Delete,
    HostList,
    HostListClient,
    HostState,
    Permit,
    PermitDelayed,
    Put,
    Row,
    TableClient,
    WeightClient,
)

from .raw_caller import wait_until
from .reactors import ClockedReactor

TIMEOUT_S = 0.4
"""Time limit of the clients' calls. Their clock stands still until a request is not answered."""


def build_response(status: int, body: bytes | str = b"", *headers: str, length: int | None = None):
    content = body.encode() if isinstance(body, str) else body
    size = len(content) if length is None else length
    lines = [f"HTTP/1.1 {status} X", f"Content-Length: {size}", *headers, "", ""]
    return "\r\n".join(lines).encode() + content


def build_row(key: str, value: object, revision: int) -> dict[str, object]:
    encoded = base64.b64encode(json.dumps(value).encode()).decode()
    return {
        "Table": PRODUCT_TABLE,
        "part": "",
        "Key": key,
        "Value": encoded,
        "SchemaVersion": revision,
    }


def build_row_id(key: str, **fields: object) -> dict[str, object]:
    return {"Table": PRODUCT_TABLE, "part": "", "Key": key, **fields}


ROW = build_row("a", {"n": 1}, 3)
ROWS = json.dumps({"Rows": [ROW], "HasMore": False, "SchemaVersion": 7, "NowMs": 5})

SILENT = None
"""No answer, until the client's time limit has passed."""

HELD = "held"
"""No answer; the test advances the clock itself."""
CLOSED = b""
TRUNCATED = build_response(200, ROWS, length=len(ROWS) + 9)
UNFRAMED = b"HTTP/1.1 200 X\r\nConnection: close\r\n\r\npart"
OVERSIZE = build_response(200, b" " * 10, length=MAX_ANSWER_BYTES + 1) + b" " * (MAX_ANSWER_BYTES)


class ScriptedServer(Protocol):
    """Sends a scripted response to each request and records the requests."""

    def connectionMade(self) -> None:  # noqa: N802
        self.received = b""

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        self.received += data
        head, separator, body = self.received.partition(b"\r\n\r\n")
        if not separator:
            return
        lengths = [x for x in head.lower().split(b"\r\n") if x.startswith(b"content-length:")]
        if len(body) < sum(int(x.split(b":")[1]) for x in lengths):
            return
        self.factory.requests.append((head, body))
        self.received = b""
        if self.factory.answer is SILENT:
            self.factory.clock.advance(TIMEOUT_S)
            return
        if self.factory.answer is HELD:
            return
        self.transport.write(self.factory.answer)
        if self.factory.answer in (CLOSED, TRUNCATED, UNFRAMED):
            self.transport.loseConnection()


class PlatformClientCase(TestCase):
    """Starts a scripted server on loopback and creates clients for it."""

    def setUp(self) -> None:
        self.reactor = ClockedReactor(reactor)
        self.factory = Factory.forProtocol(ScriptedServer)
        self.factory.requests = []
        self.factory.answer = CLOSED
        self.factory.clock = self.reactor.clock
        self.port = reactor.listenTCP(0, self.factory, interface="127.0.0.1")
        self.url = f"http://127.0.0.1:{self.port.getHost().port}"
        self.clients: list[Any] = []

    def create_client(self, kind: Any) -> Any:
        client = kind(reactor=self.reactor, base_url=self.url, timeout_s=TIMEOUT_S)
        self.clients.append(client)
        return client

    @inlineCallbacks
    def tearDown(self):
        for client in self.clients:
            yield client.close()
        yield self.port.stopListening()


FAULTS = {
    "closed": (CLOSED, Unknown),
    "silent": (SILENT, Unknown),
    "cut": (TRUNCATED, Unknown),
    "oversize": (OVERSIZE, Unknown),
    "not_json": (build_response(200, "x"), Unknown),
    "wrong_shape": (build_response(200, '{"Rows": 1}'), Unknown),
    "revision_missing": (build_response(200, '{"Rows": []}'), Unknown),
    "bad_conflict": (build_response(412, "[]"), Unknown),
    "conflict_without_rows": (build_response(412, '{"Rows": []}'), Unknown),
    "server_fault": (build_response(500), Unknown),
    "gateway_fault": (build_response(502), Unknown),
    "busy": (build_response(503), Unavailable),
    "bad_request": (build_response(400), Unavailable),
    "rate": (build_response(429), Unavailable),
}


class TestTable(PlatformClientCase):
    @inlineCallbacks
    def test_transact_sends_the_documented_format(self):
        self.factory.answer = build_response(200, json.dumps({"Rows": [], "SchemaVersion": 12}))
        operations = [
            Put(key="b", value={"n": 2}, expect=0),
            Put(key="e", value=5),
            Delete(key="c", expect=7),
            Check(key="d", expect=9),
        ]
        outcome = yield self.create_client(TableClient).transact(operations)
        assert isinstance(outcome, Committed)
        assert [row.revision for row in outcome.rows] == [12, 12, 0, 9]
        assert outcome.rows[0].decode(dict[str, int]) == {"n": 2}
        head, body = self.factory.requests[0]
        assert head.startswith(b"POST /rows-tx HTTP/1.1")
        assert json.loads(body) == {
            "ExpectedRevision": [
                build_row_id("b", SchemaVersion=0),
                build_row_id("c", SchemaVersion=7),
                build_row_id("d", SchemaVersion=9),
            ],
            "Puts": [build_row_id("b", Value="eyJuIjoyfQ=="), build_row_id("e", Value="NQ==")],
            "Remove": [build_row_id("c")],
        }

    @inlineCallbacks
    def test_conflict_carries_the_current_rows(self):
        self.factory.answer = build_response(412, json.dumps({"Rows": [ROW]}))
        operations = [Put(key="b", value=1, expect=0), Put(key="a", value=1, expect=2)]
        outcome = yield self.create_client(TableClient).transact(operations)
        assert isinstance(outcome, Conflict)
        assert outcome.failed == (1,)
        assert [row.revision for row in outcome.rows] == [0, 3]

    @inlineCallbacks
    def test_outcomes_of_transaction_faults(self):
        for name, (answer, expected) in FAULTS.items():
            self.factory.answer = answer
            self.factory.requests.clear()
            client = self.create_client(TableClient)
            outcome = yield client.transact([Put(key="a", value=1, expect=0)])
            assert type(outcome) is expected, name
            assert len(self.factory.requests) == 1, name

    @inlineCallbacks
    def test_outcomes_of_read_faults(self):
        for name, (answer, _) in FAULTS.items():
            self.factory.answer = answer
            client = self.create_client(TableClient)
            row = yield client.read_row("a")
            assert isinstance(row, Unavailable), name
            rows = yield client.read_rows("a", 5)
            assert isinstance(rows, Unavailable), name
            if name != "conflict_without_rows":
                both = yield client.read_keys(["a", "b"])
                assert isinstance(both, Unavailable), name

    @inlineCallbacks
    def test_read_rows_and_read_row(self):
        self.factory.answer = build_response(200, ROWS)
        client = self.create_client(TableClient)
        rows = yield client.read_rows("claim/a b&", 5)
        row = yield client.read_row("a")
        assert rows == (row,)
        assert self.factory.requests[0][0].startswith(
            b"GET /rows-get?Table=greengagestage&part=&From=claim%2Fa+b%26"
            b"&To=claim%2Fa+b%27&Limit=5 HTTP/1.1"
        )

    @inlineCallbacks
    def test_several_rows_are_read_as_of_one_point_in_time(self):
        client = self.create_client(TableClient)
        self.factory.answer = build_response(412, json.dumps({"Rows": [ROW]}))
        rows = yield client.read_keys(["b", "a"])
        assert [(row.key, row.revision) for row in rows] == [("b", 0), ("a", 3)]
        assert json.loads(self.factory.requests[0][1]) == {
            "ExpectedRevision": [
                build_row_id("b", SchemaVersion=0),
                build_row_id("a", SchemaVersion=0),
            ],
            "Puts": [],
            "Remove": [],
        }
        self.factory.answer = build_response(200, json.dumps({"Rows": [], "SchemaVersion": 12}))
        rows = yield client.read_keys(["b", "a"])
        assert not any(row.exists for row in rows)

    @inlineCallbacks
    def test_a_write_on_a_refused_connection_is_known_not_applied(self):
        yield self.port.stopListening()
        outcome = yield self.create_client(TableClient).transact([Put(key="a", value=1)])
        assert isinstance(outcome, Unavailable)

    @inlineCallbacks
    def test_a_write_with_a_lost_response_on_a_reused_connection_is_not_retried(self):
        self.factory.answer = build_response(200, ROWS)
        client = self.create_client(TableClient)
        yield client.read_row("a")
        self.factory.answer = CLOSED
        self.factory.requests.clear()
        outcome = yield client.transact([Put(key="a", value=1)])
        assert isinstance(outcome, Unknown)
        assert len(self.factory.requests) == 1

    @inlineCallbacks
    def test_a_read_with_a_lost_response_is_not_retried(self):
        self.factory.answer = build_response(200, ROWS)
        client = self.create_client(TableClient)
        yield client.read_rows("a", 1)
        self.factory.answer = CLOSED
        self.factory.requests.clear()
        rows = yield client.read_rows("a", 1)
        assert isinstance(rows, Unavailable)
        assert len(self.factory.requests) == 1

    @inlineCallbacks
    def test_concurrent_calls_are_limited(self):
        self.factory.answer = HELD
        client = self.create_client(TableClient)
        calls = [client.read_row("a") for _ in range(65)]
        last = yield calls.pop()
        assert last == Unavailable(reason="too many calls in flight")
        yield wait_until(
            lambda: len(self.factory.requests) + sum(bool(c.called) for c in calls) == len(calls)
        )
        self.reactor.clock.advance(TIMEOUT_S)
        yield gatherResults(calls)


class TestObjects(PlatformClientCase):
    @inlineCallbacks
    def test_put_outcomes(self):
        cases = [
            (build_response(201), Stored),
            (build_response(200), Stored),
            (build_response(412), AlreadyStored),
            (build_response(500), Unknown),
            (build_response(400), Unavailable),
            (SILENT, Unknown),
            (CLOSED, Unknown),
        ]
        for answer, expected in cases:
            self.factory.answer = answer
            outcome = yield self.create_client(ObjectClient).put("a/b c", b"x", only_if_absent=True)
            assert type(outcome) is expected
        head, body = self.factory.requests[0]
        assert head.startswith(b"PUT /blob-put/a%2Fb%20c HTTP/1.1")
        assert b"if-none-match: *" in head.lower()
        assert body == b"x"

    # Guards against a part of an object that is taken for all of it where the store ends.
    @inlineCallbacks
    def test_get_outcomes(self):
        cases = [
            (build_response(200, b"\x00data"), b"\x00data"),
            (build_response(404), ObjectMissing()),
        ]
        for answer, expected in cases:
            self.factory.answer = answer
            outcome = yield self.create_client(ObjectClient).get("a")
            assert outcome == expected
        for answer in (build_response(500), SILENT, CLOSED, TRUNCATED, OVERSIZE, UNFRAMED):
            self.factory.answer = answer
            outcome = yield self.create_client(ObjectClient).get("a")
            assert isinstance(outcome, Unavailable)


class TestHostsAndWeights(PlatformClientCase):
    @inlineCallbacks
    def test_host_list_is_decoded(self):
        host = {"host": "h1", "address": "127.0.0.1:7", "failure_domain": "d1", "state": "leaving"}
        body = {"hosts": [host], "upstreams": [{"name": "u1", "state": "live"}]}
        self.factory.answer = build_response(200, json.dumps(body))
        answer = yield self.create_client(HostListClient).read()
        assert isinstance(answer, HostList)
        assert answer.hosts[0].state is HostState.LEAVING
        assert answer.upstreams[0].state is HostState.LIVE

    @inlineCallbacks
    def test_host_list_fault_outcomes(self):
        bad_state = {"hosts": [{"host": "h", "address": "a", "failure_domain": "d", "state": "x"}]}
        for answer in (
            SILENT,
            CLOSED,
            build_response(500),
            build_response(200, json.dumps(bad_state)),
        ):
            self.factory.answer = answer
            outcome = yield self.create_client(HostListClient).read()
            assert isinstance(outcome, Unavailable)

    @inlineCallbacks
    def test_permit_outcomes(self):
        cases = [
            (build_response(200, '{"permit": "p1"}'), Permit(permit="p1")),
            (build_response(429, b"", "Retry-After: 2"), PermitDelayed(retry_after_s=2.0)),
            (build_response(429, b"", "Retry-After: -2"), PermitDelayed(retry_after_s=0.0)),
            (build_response(429, b"", "Retry-After: x"), PermitDelayed(retry_after_s=5.0)),
            (build_response(429, b"", "Retry-After: nan"), PermitDelayed(retry_after_s=5.0)),
            (build_response(429, b"", "Retry-After: inf"), PermitDelayed(retry_after_s=600.0)),
            (build_response(500), Unknown(reason="status 500")),
            (build_response(404), Unavailable(reason="status 404")),
        ]
        for answer, expected in cases:
            self.factory.answer = answer
            outcome = yield self.create_client(WeightClient).request_permit("m", "u")
            assert outcome == expected


def test_an_absent_row_has_no_value() -> None:
    row = Row(key="a", revision=0)
    assert not row.exists
    with pytest.raises(ValueError):
        row.decode(dict[str, int])


# Guards against a configuration that is never adopted on a host whose link takes longer to carry it
# than a call may be without an answer.
@pytest.mark.parametrize(("pause_s", "completes"), [(0.6, True), (0.8, False)])
def test_an_answer_may_take_long_while_it_keeps_arriving(pause_s: float, completes: bool) -> None:
    clock = Clock()
    call = _Call(
        reactor=clock,
        pool=ConnectionPool(reactor=clock),
        endpoint=Endpoint(address="10.0.0.1", port=80),
        timeout_s=0.7,
        part_timeout_s=0.7,
    )
    outcomes: list[object] = []
    call.done.addCallback(outcomes.append)
    call.receive_head(ResponseHead(status=200, headers=[]))
    for _ in range(5):
        clock.advance(pause_s)
        call.receive_body(b"x")
    call.end_response()
    (outcome,) = outcomes
    assert (outcome == StoreAnswer(status=200, body=b"xxxxx")) is completes

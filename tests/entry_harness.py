"""An entry process between raw callers and scripted upstreams, all in one reactor."""

import hashlib
import json
from collections.abc import Callable
from typing import Any

from msgspec.structs import replace
from twisted.internet import reactor
from twisted.internet.defer import Deferred, inlineCallbacks, succeed
from twisted.internet.endpoints import TCP4ClientEndpoint, connectProtocol
from twisted.internet.protocol import Factory, Protocol
from twisted.internet.task import deferLater
from twisted.trial.unittest import TestCase

from greengagestage.configuration import (
    Model,
    PlainService,
    Upstream,
    UpstreamKind,
    WorkspaceKey,
    compute_digest,
    encode_declaration,
)
from greengagestage.entry import (
    DeliveryLimits,
    EntryProcess,
    EntrySettings,
    LifecycleTimes,
    ServerLimits,
)
from greengagestage.ids import ConfigurationVersion, FailureDomain, HostId, ModelName, ServiceName
from greengagestage.policy import (
    AskClaim,
    AttemptFailed,
    AttemptFinished,
    CallerLeft,
    CancelAttempt,
    CancelReason,
    ClaimOutcome,
    Deliver,
    Dispatch,
    GiveUpClaim,
    Policy,
    PolicySnapshot,
    Reject,
    RequestArrived,
)
from greengagestage.results import ResultCode
from greengagestage.wire import ConfigurationInForce

from .builders import build_class, build_declaration, build_engine, build_workspace

KEY = "caller-key-1"
WAIT_LIMIT_S = 5.0
CUT = object()
RESET = object()

Script = Callable[["UpstreamRequest"], None]


@inlineCallbacks
def wait_until(condition: Callable[[], Any]):
    """Wait for a condition; a wait without end fails the test."""
    waited_s = 0.0
    while not condition():
        if waited_s > WAIT_LIMIT_S:
            raise AssertionError("the condition was not met")
        yield deferLater(reactor, 0.001)
        waited_s += 0.001


class UpstreamRequest:
    """One request that reached a scripted upstream."""

    def __init__(self, transport: Any, head: bytes, body: bytes) -> None:
        self.transport = transport
        first, *lines = head.decode().split("\r\n")
        self.method, self.target, _ = first.split(" ")
        self.headers = {name.lower(): value for name, value in (x.split(": ", 1) for x in lines)}
        self.body = body
        self.closed = False

    @property
    def json(self) -> Any:
        return json.loads(self.body)

    def send(self, *steps: object) -> None:
        for step in steps:
            if step is CUT:
                self.transport.loseConnection()
            elif step is RESET:
                self.transport.abortConnection()
            else:
                self.transport.write(step)


class _UpstreamConnection(Protocol):
    def connectionMade(self) -> None:  # noqa: N802
        self.data = b""
        self.requests: list[UpstreamRequest] = []
        self.factory.upstream.connections.append(self)

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        self.data += data
        head, separator, rest = self.data.partition(b"\r\n\r\n")
        if not separator:
            return
        request = UpstreamRequest(self.transport, head, b"")
        length = int(request.headers.get("content-length", 0))
        if len(rest) < length:
            return
        request.body, self.data = rest[:length], rest[length:]
        self.requests.append(request)
        self.factory.upstream.receive(request)

    def connectionLost(self, reason: Any = None) -> None:  # noqa: N802
        self.factory.upstream.connections.remove(self)
        for request in self.requests:
            request.closed = True


class ScriptedUpstream:
    """Answers each request as the next script says; the last script stays."""

    def __init__(self, *scripts: Script) -> None:
        self.scripts = list(scripts)
        self.requests: list[UpstreamRequest] = []
        self.cancelled: list[str] = []
        self.connections: list[Any] = []
        factory = Factory.forProtocol(_UpstreamConnection)
        factory.noisy = False
        factory.upstream = self
        self.port = reactor.listenTCP(0, factory, interface="127.0.0.1")
        self.url = f"http://127.0.0.1:{self.port.getHost().port}"

    def receive(self, request: UpstreamRequest) -> None:
        if request.method == "DELETE":
            self.cancelled.append(request.target.rsplit("/", 1)[1])
            request.send(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
            return
        self.requests.append(request)
        script = self.scripts.pop(0) if len(self.scripts) > 1 else self.scripts[0]
        script(request)

    def close(self) -> Any:
        for connection in list(self.connections):
            connection.transport.abortConnection()
        return self.port.stopListening()


HEAD = b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
LAST_CHUNK = b"0\r\n\r\n"
REFUSED = b"HTTP/1.1 503 X\r\nX-Not-Started: true\r\nContent-Length: 0\r\n\r\n"


def chunked(data: bytes) -> bytes:
    return b"%x\r\n%b\r\n" % (len(data), data)


def event(fields: object) -> bytes:
    return b"data: " + json.dumps(fields, ensure_ascii=False).encode() + b"\n\n"


WORDS = ["fog", "a", "skerék ", "áll", " a ", "ház", "ban"]
"""The output of every scripted engine: token ``i`` has the text ``WORDS[i]``."""
TEXT = "".join(WORDS)


def token_event(number: int, answer_id: str = "cmpl-1", chat: bool = False) -> bytes:
    text = {"delta": {"content": WORDS[number]}} if chat else {"text": WORDS[number]}
    choice = {"index": 0, **text, "token_ids": [number], "finish_reason": None}
    return event({"id": answer_id, "object": "x", "model": "small", "choices": [choice]})


def finish_event(answer_id: str = "cmpl-1", chat: bool = False) -> bytes:
    text = {"delta": {"content": ""}} if chat else {"text": ""}
    choice = {"index": 0, **text, "token_ids": [], "finish_reason": "stop"}
    total = len(WORDS)
    usage = {"prompt_tokens": 3, "completion_tokens": total, "total_tokens": 3 + total}
    return event({"id": answer_id, "model": "small", "choices": [choice], "usage": usage})


def stream_events(request: UpstreamRequest) -> list[bytes]:
    """Return the events of a whole answer, resumed where the request says."""
    chat = "chat" in request.target
    answer_id = "cmpl-" + request.headers["x-attempt-id"]
    start = len(request.json.get("resume", {}).get("token_ids", []))
    tokens = [token_event(i, answer_id, chat) for i in range(start, len(WORDS))]
    return [*tokens, finish_event(answer_id, chat), b"data: [DONE]\n\n"]


def answer_whole(request: UpstreamRequest) -> None:
    request.send(HEAD, *map(chunked, stream_events(request)), LAST_CHUNK)


def answer_then(tokens: int, *steps: object) -> Script:
    """Return a script that sends some tokens and then goes through steps."""

    def script(request: UpstreamRequest) -> None:
        request.send(HEAD, *map(chunked, stream_events(request)[:tokens]), *steps)

    return script


def refuse(request: UpstreamRequest) -> None:
    request.send(REFUSED)


def stay_silent(request: UpstreamRequest) -> None:
    pass


def respond(status: int, body: bytes, *headers: str) -> Script:
    lines = [f"HTTP/1.1 {status} X", f"Content-Length: {len(body)}", *headers, "", ""]
    return lambda request: request.send("\r\n".join(lines).encode() + body)


class RawCaller(Protocol):
    """A caller's connection, byte by byte."""

    def __init__(self) -> None:
        self.data = b""
        self.closed = False

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        self.data += data

    def connectionLost(self, reason: Any = None) -> None:  # noqa: N802
        self.closed = True

    @property
    def status(self) -> int:
        return int(self.data.split(b" ", 2)[1])

    @property
    def headers(self) -> dict[str, str]:
        lines = self.data.partition(b"\r\n\r\n")[0].decode().split("\r\n")[1:]
        return {name.lower(): value for name, value in (x.split(": ", 1) for x in lines)}

    @property
    def body(self) -> bytes:
        rest = self.data.partition(b"\r\n\r\n")[2]
        return dechunk(rest) if "transfer-encoding" in self.headers else rest

    @property
    def is_whole(self) -> bool:
        head, separator, rest = self.data.partition(b"\r\n\r\n")
        if not separator:
            return False
        if "transfer-encoding" in self.headers:
            return rest.endswith(LAST_CHUNK)
        return len(rest) >= int(self.headers.get("content-length", 0))

    @property
    def json(self) -> Any:
        return json.loads(self.body)

    @property
    def error(self) -> Any:
        return self.json["error"]

    @property
    def events(self) -> list[str]:
        return [x for x in self.body.decode().split("\n\n") if x]

    @property
    def text(self) -> str:
        """The text of all chunks of a streamed text completion."""
        chunks = [json.loads(x[6:]) for x in self.events if x.startswith("data: {")]
        return "".join(c["choices"][0]["text"] for c in chunks)


def dechunk(data: bytes) -> bytes:
    parts = []
    while data:
        size, _, data = data.partition(b"\r\n")
        length = int(size or b"0", 16)
        parts.append(data[:length])
        data = data[length + 2 :]
    return b"".join(parts)


class FakeLink:
    """The agent, as far as an entry process sees it."""

    def __init__(self) -> None:
        self.sent: list[Any] = []
        self.last_heard_s = 0.0

    def send(self, message: Any) -> None:
        self.sent.append(message)

    def start(self) -> None:
        pass

    def stop(self) -> None:
        pass


class SimplePolicy:
    """Sends each request to one engine after the other until an answer is whole."""

    def __init__(self, *, upstreams: tuple[str, ...], first_s: float = 9.0, next_s: float = 9.0):
        self.upstreams = upstreams
        self.events: list[Any] = []
        self.requests: dict[str, Any] = {}
        self._timeouts = {"first_token_timeout_s": first_s, "inter_token_timeout_s": next_s}

    def handle(self, event: Any, now_s: float) -> list[Any]:
        self.events.append(event)
        match event:
            case RequestArrived(request=request):
                self.requests[request.request_id] = request
                return [self.dispatch(request.request_id, 0)]
            case AttemptFinished(attempt_id=attempt_id):
                return [Deliver(request_id=attempt_id.rpartition(".")[0])]
            case AttemptFailed(attempt_id=attempt_id):
                return [self._fail(event, *attempt_id.rsplit(".", 1))]
            case CallerLeft(request_id=request_id):
                attempt_id = f"{request_id}.0"
                cancel = CancelAttempt(attempt_id=attempt_id, reason=CancelReason.CALLER_LEFT)
                return [cancel, Reject(request_id=request_id, code=ResultCode.CALLER_LEFT_RUNNING)]
        return []

    def of(self, kind: type) -> list[Any]:
        return [event for event in self.events if isinstance(event, kind)]

    def inspect(self) -> Any:
        return PolicySnapshot(
            classes=(), upstreams=(), open_requests=0, claiming=0, quarantined=0, stopping=False
        )

    def explain(self, request_id: str) -> tuple[str, ...]:
        return ("a note",)

    def dispatch(self, request_id: str, number: int) -> Any:
        return Dispatch(
            request_id=request_id,
            attempt_id=f"{request_id}.{number}",
            upstream=self.upstreams[number],
            priority=0,
            resume_tokens=0,
            **self._timeouts,
        )

    def _fail(self, event: Any, request_id: str, number: str) -> Any:
        following = int(number) + 1
        if event.resumable and following < len(self.upstreams):
            return self.dispatch(request_id, following)
        return Reject(request_id=request_id, code=ResultCode.UPSTREAM_LOST)


class FakeClaims:
    """A claims store in memory."""

    def __init__(self) -> None:
        self.rows: dict[tuple[str, str], Any] = {}
        self.given_up: list[GiveUpClaim] = []
        self.recorded: Deferred[bool] | None = None

    def claim(self, ask: AskClaim) -> Deferred[ClaimOutcome]:
        row = self.rows.setdefault((ask.workspace, ask.idempotency_key), ask)
        if row is ask:
            return succeed(ClaimOutcome.GRANTED)
        if isinstance(row, AskClaim):
            return succeed(ClaimOutcome.RUNNING)
        if row == "unknown":
            return succeed(ClaimOutcome.RUN_UNKNOWN)
        return succeed(ClaimOutcome.ANSWERED)

    def give_up(self, give_up: GiveUpClaim) -> None:
        self.given_up.append(give_up)

    def record_answer(self, workspace: Any, key: Any, attempt_id: Any, answer: Any) -> Any:
        self.rows[workspace, key] = answer
        return self.recorded if self.recorded is not None else succeed(True)

    def mark_unknown(self, workspace: Any, key: Any, attempt_id: Any) -> Any:
        self.rows[workspace, key] = "unknown"
        return succeed(None)

    def read_answer(self, workspace: Any, key: Any) -> Any:
        return succeed(self.rows.get((workspace, key)))


def build_request(
    body: object = None,
    *headers: str,
    method: str = "POST",
    path: str = "/v1/completions",
    key: str | None = KEY,
) -> bytes:
    """Return a caller's request as bytes."""
    content = body if isinstance(body, bytes) else json.dumps(body).encode() if body else b""
    lines = [f"{method} {path} HTTP/1.1", "Host: h", f"Content-Length: {len(content)}", *headers]
    if key is not None:
        lines.append(f"Authorization: Bearer {key}")
    return "\r\n".join([*lines, "", ""]).encode() + content


def prompt(stream: bool = True, **fields: object) -> dict[str, object]:
    return {"model": "small", "prompt": "a gear", "stream": stream, **fields}


def build_service(name: str, url: str) -> Upstream:
    """Return an upstream of the plain service ``bookings``."""
    return replace(
        build_engine(name, url=url, models=(), service=ServiceName("bookings")),
        kind=UpstreamKind.SERVICE,
    )


class EntryCase(TestCase):
    """Starts an entry process and stops everything afterwards."""

    limits = DeliveryLimits()
    server = ServerLimits(body_bytes=10_000)
    times = LifecycleTimes(drain_notice_s=0.05)

    def setUp(self) -> None:
        self.link = FakeLink()
        self.claims = FakeClaims()
        self.upstreams: list[ScriptedUpstream] = []
        self.callers: list[RawCaller] = []
        settings = EntrySettings(
            host=HostId("host-1"),
            failure_domain=FailureDomain("a"),
            listen="127.0.0.1:0",
            agent="127.0.0.1:1",
            platform="http://127.0.0.1:1",
            fleet_key="k" * 16,
            delivery=self.limits,
            server=self.server,
            lifecycle=self.times,
        )
        self.process = EntryProcess(
            reactor=reactor,
            settings=settings,
            policy=self.build_policy(),
            claims=self.claims,
            connect=lambda _: self.link,
        )
        self.process.start()

    def build_policy(self) -> Any:
        """Return the policy; cases may take a simpler one."""
        return Policy(host=HostId("host-1"), seed=1)

    @inlineCallbacks
    def tearDown(self):
        for caller in self.callers:
            caller.transport.abortConnection()
        for upstream in self.upstreams:
            yield upstream.close()
        yield wait_until(lambda: all(caller.closed for caller in self.callers))
        yield self.process.stop()

    def engine(self, *scripts: Script) -> ScriptedUpstream:
        upstream = ScriptedUpstream(*scripts)
        self.upstreams.append(upstream)
        return upstream

    def adopt(
        self,
        *engines: ScriptedUpstream,
        services: tuple[ScriptedUpstream, ...] = (),
        declared: tuple[PlainService, ...] = (PlainService(name=ServiceName("bookings")),),
        version: int = 1,
    ) -> None:
        """Put a configuration with these upstreams in force."""
        digest = hashlib.sha256(KEY.encode()).hexdigest()
        upstreams = [build_engine(f"engine-{i}", url=e.url) for i, e in enumerate(engines)]
        upstreams += [build_service(f"service-{i}", s.url) for i, s in enumerate(services)]
        fields = {
            "classes": (build_class("phone", 0), build_class("review", 1)),
            "workspaces": (build_workspace("gyor", keys=(WorkspaceKey(sha256=digest),)),),
            "models": (Model(name=ModelName("small")),),
            "services": declared,
            "upstreams": tuple(upstreams),
        }
        document = encode_declaration(build_declaration(**fields))
        self.process.control.receive(
            ConfigurationInForce(
                version=ConfigurationVersion(version),
                digest=compute_digest(document),
                document=document,
            )
        )

    @inlineCallbacks
    def connect(self):
        endpoint = TCP4ClientEndpoint(reactor, "127.0.0.1", self.process.port)
        caller = yield connectProtocol(endpoint, RawCaller())
        self.callers.append(caller)
        return caller

    @inlineCallbacks
    def send(self, data: bytes):
        caller = yield self.connect()
        caller.transport.write(data)
        return caller

    @inlineCallbacks
    def call(self, data: bytes):
        """Send a request and wait for its whole answer, or the connection's end."""
        caller = yield self.send(data)
        yield wait_until(lambda: caller.is_whole or caller.closed)
        return caller

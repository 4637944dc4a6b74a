"""One request of an entry process between a fake caller and fake upstreams, on a simulated clock.

The shell, the policy, the attempts and the deliveries are the real ones.
"""

import json
from random import Random
from typing import Any, cast
from unittest.mock import MagicMock

from twisted.internet.defer import Deferred, succeed
from twisted.internet.error import ConnectionLost
from twisted.internet.task import Clock
from twisted.python.failure import Failure
from twisted.web.client import ResponseDone
from twisted.web.http_headers import Headers

from greengagestage.configuration import UpstreamKind
from greengagestage.entry._bodies import CompletionBody, Endpoint
from greengagestage.entry._calls import Call, CompletionTarget, ServiceTarget
from greengagestage.entry._directory import Directory
from greengagestage.entry._settings import DeliveryLimits
from greengagestage.entry._shell import Shell
from greengagestage.ids import ConfigurationVersion, HostId, PoolName, ServiceName
from greengagestage.policy import DeclarationAdopted, Policy
from greengagestage.telemetry import EntryMetrics

from .entry_fakes import FakeClaims, FakeLink
from .policy_builders import MODEL, build_declaration, build_engine, build_request

TOKENS = 12
SERVICE = ServiceName("archive")
BUFFER_BYTES = 100_000

_BYTES = Random(72).randbytes(1_000_000)


class EntryRun:
    """A fake connection to an upstream, with the answer that it sends when it is told to.

    Attributes:
        sent: How many bytes, or tokens, of its answer the upstream has sent.
        is_open: The answer has not ended, and the router has not closed the connection.
        is_refusal: The upstream has stated that it does not run the request.
    """

    def __init__(self, number: int, *, plain: bool, with_ids: bool) -> None:
        self.number = number
        self.plain = plain
        self.with_ids = with_ids
        self.transport = self
        self.is_open = True
        self.is_refusal = False
        self.is_paused = False
        self.is_whole = False
        self.sent = 0
        self.answer: Deferred[Any] | None = None
        self.body: Any = None

    # What the exchange calls.

    def request(self, request: Any) -> Deferred[Any]:
        self.answer = Deferred()
        if request.method == b"DELETE":
            self.is_open = False  # cancels a run; its answer has no influence
        elif not self.plain:
            fields = json.loads(request.body)
            self.sent = len(fields.get("resume", {}).get("token_ids", []))
        return self.answer

    def deliverBody(self, protocol: Any) -> None:  # noqa: N802
        self.body = protocol
        protocol.makeConnection(self)

    def abortConnection(self) -> None:  # noqa: N802
        self.is_open = False

    def pauseProducing(self) -> None:  # noqa: N802
        self.is_paused = True

    def resumeProducing(self) -> None:  # noqa: N802
        self.is_paused = False

    # What the upstream does.

    def begin(self, status: int, **headers: str) -> None:
        self.code = status
        self.headers = Headers({"x-run": [str(self.number)]})
        for name, value in headers.items():
            self.headers.addRawHeader(name.replace("_", "-"), value)
        self.is_refusal = "x_not_started" in headers
        answer, self.answer = self.answer, None
        if answer is not None:
            answer.callback(self)

    def send(self, count: int) -> None:
        if self.plain:
            data = self.get_bytes(count)
        else:
            data = b"".join(self._build_event(number) for number in self._list_tokens(count))
        self.sent += count if self.plain else len(self._list_tokens(count))
        self.body.dataReceived(data)

    def end(self) -> None:
        self.is_whole = True
        if not self.plain:
            self.send(TOKENS)
            done = {"id": "x", "choices": [{"index": 0, "text": "", "finish_reason": "stop"}]}
            self.body.dataReceived(b"data: %b\n\ndata: [DONE]\n\n" % json.dumps(done).encode())
        self.is_open = False
        self.body.connectionLost(Failure(ResponseDone()))

    def reset(self) -> None:
        self.is_open = False
        if self.body is not None:
            self.body.connectionLost(Failure(ConnectionLost()))
        elif self.answer is not None:
            self.answer.errback(Failure(ConnectionLost()))

    def get_bytes(self, count: int) -> bytes:
        start = self.number * 1_009 + self.sent
        return _BYTES[start : start + count]

    def get_text(self, number: int) -> str:
        return f"t{number} " if self.with_ids else f"r{self.number}t{number} "

    def _list_tokens(self, count: int) -> list[int]:
        return list(range(self.sent, min(self.sent + count, TOKENS)))

    def _build_event(self, number: int) -> bytes:
        choice = {"index": 0, "text": self.get_text(number), "finish_reason": None}
        if self.with_ids:
            choice["token_ids"] = [number]
        return b"data: %b\n\n" % json.dumps({"id": "x", "choices": [choice]}).encode()


class EntryCaller:
    """Records what the caller got.

    Attributes:
        faults: What no caller may get. The router would take an exception for a fault of its own.
    """

    def __init__(self) -> None:
        self.faults: list[str] = []
        self.method = b"GET"
        self.body_bytes = 0
        self.listener: Any = None
        self.run: str | None = None
        self.body = b""
        self.is_scarce = False
        self.is_complete = False
        self.is_refused = False

    @property
    def has_final_answer(self) -> bool:
        return self.is_complete or self.is_refused

    def hold(self, count: int) -> bool:
        return not self.is_scarce

    def begin(self, status: int, headers: list[tuple[str, str]]) -> None:
        self._expect(not self.body and self.run is None, "two heads")
        names = {name.lower(): value for name, value in headers}
        self.run = names.get("x-run")

    begin_stream = begin

    def send(self, data: bytes) -> None:
        self._expect(not self.is_complete, "bytes after the end")
        self.body += data

    def end(self) -> None:
        self.is_complete = not self.is_refused

    def refuse(self, refusal: Any, headers: Any) -> None:
        self._expect(not self.body, "a refusal behind a part of an answer")
        self.is_refused = True

    def abort(self) -> None:
        self.is_refused = True

    def close_after_answer(self) -> None:
        self.is_refused = True

    def _expect(self, holds: bool, fault: str) -> None:
        if not holds:
            self.faults.append(fault)

    def read_text(self) -> str:
        """Return the text of the completion so far, without an error event behind it."""
        events = [each[6:] for each in self.body.split(b"\n\n") if each.startswith(b"data: {")]
        chunks = [json.loads(each) for each in events]
        return "".join(each["choices"][0]["text"] for each in chunks if "choices" in each)


class EntryWorld:
    """An entry process's request with everything around it."""

    def __init__(self, *, plain: bool, with_ids: bool = True) -> None:
        self.plain = plain
        self.with_ids = with_ids
        self.clock = Clock()
        self.caller = EntryCaller()
        self.runs: list[EntryRun] = []
        pool = MagicMock()
        pool.get.side_effect = self._connect
        self.shell = Shell(
            reactor=self.clock,
            policy=Policy(host=HostId("h0"), seed=1),
            pool=pool,
            claims=FakeClaims(),
            metrics=EntryMetrics(workspace_labels=1),
            sender=FakeLink(),
            limits=DeliveryLimits(service_buffer_bytes=BUFFER_BYTES),
        )
        fields: dict[str, Any] = {}
        if plain:
            fields = {"kind": UpstreamKind.SERVICE, "service": SERVICE, "models": ()}
        engines = [build_engine(f"e{number}", **fields) for number in range(6)]
        declaration = build_declaration(engines=engines)
        self.shell.adopt(Directory(version=ConfigurationVersion(1), declaration=declaration))
        self.shell.feed(DeclarationAdopted(declaration=declaration))
        pool_name = {"pool": PoolName(SERVICE)} if plain else {}
        self.call = Call(
            request=build_request("r", "phone", **pool_name),
            service_class=declaration.classes[0],
            target=self._build_target(),
        )

    def start(self) -> None:
        self.shell.submit(self.call, cast(Any, self.caller), [])

    def list_open(self) -> list[EntryRun]:
        """Return the runs that may still send an answer, other than the rest of a refusal."""
        return [run for run in self.runs if run.is_open and not run.is_refusal]

    def _build_target(self) -> CompletionTarget | ServiceTarget:
        if self.plain:
            return ServiceTarget(method=b"GET", target=b"/", headers=(), body=b"")
        body = CompletionBody(
            model=MODEL, stream=True, output_tokens_limit=None, prompt=b"x", fields={}
        )
        return CompletionTarget(endpoint=Endpoint.TEXT, body=body)

    def _connect(self, address: Any, **fields: Any) -> Deferred[Any]:
        run = EntryRun(len(self.runs) + 1, plain=self.plain, with_ids=self.with_ids)
        self.runs.append(run)
        return succeed(run)

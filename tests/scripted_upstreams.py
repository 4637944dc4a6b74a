"""Loopback upstreams for tests that answer each request by a script."""

import json
from collections.abc import Callable
from typing import Any

from twisted.internet import reactor
from twisted.internet.protocol import Factory, Protocol

CLOSE = object()
RESET = object()

Script = Callable[["UpstreamRequest"], None]


class UpstreamRequest:
    """A request that a scripted upstream has received."""

    def __init__(self, transport: Any, head: bytes, body: bytes) -> None:
        self.transport = transport
        request_line, *lines = head.decode().split("\r\n")
        self.method, self.target, _ = request_line.split(" ")
        self.headers = {name.lower(): value for name, value in (x.split(": ", 1) for x in lines)}
        self.body = body
        self.closed = False

    @property
    def json(self) -> Any:
        return json.loads(self.body)

    def send(self, *steps: object) -> None:
        for step in steps:
            if step is CLOSE:
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
    """Answers each request with the next script; the last script is used for all further ones."""

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
"""The output of every scripted upstream: token ``i`` has the text ``WORDS[i]``."""
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
    """Return the events of a complete answer, starting at the token where the request resumes."""
    chat = "chat" in request.target
    answer_id = "cmpl-" + request.headers["x-attempt-id"]
    start = len(request.json.get("resume", {}).get("token_ids", []))
    tokens = [token_event(i, answer_id, chat) for i in range(start, len(WORDS))]
    return [*tokens, finish_event(answer_id, chat), b"data: [DONE]\n\n"]


def answer_whole(request: UpstreamRequest) -> None:
    request.send(HEAD, *map(chunked, stream_events(request)), LAST_CHUNK)


def answer_then(tokens: int, *steps: object) -> Script:
    """Return a script that sends some tokens and then the given steps."""

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

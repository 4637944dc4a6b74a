"""A minimal HTTP client that records the raw bytes of answers."""

import json
from collections.abc import Callable
from typing import Any

from twisted.internet import reactor
from twisted.internet.defer import inlineCallbacks
from twisted.internet.protocol import Protocol
from twisted.internet.task import deferLater

from .scripted_upstreams import LAST_CHUNK

KEY = "caller-key-1"
WAIT_LIMIT_S = 5.0


@inlineCallbacks
def wait_until(condition: Callable[[], Any]):
    """Wait for a condition; raise AssertionError after ``WAIT_LIMIT_S`` seconds."""
    waited_s = 0.0
    while not condition():
        if waited_s > WAIT_LIMIT_S:
            raise AssertionError(f"the condition was not met within {WAIT_LIMIT_S} s")
        yield deferLater(reactor, 0.001)
        waited_s += 0.001


class RawCaller(Protocol):
    """A caller's connection that records the bytes received."""

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
    def is_complete(self) -> bool:
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
        """The joined text of all chunks of a streamed text completion."""
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


def build_request(
    body: object = None,
    *headers: str,
    method: str = "POST",
    path: str = "/v1/completions",
    key: str | None = KEY,
) -> bytes:
    """Return an HTTP request as bytes."""
    content = body if isinstance(body, bytes) else json.dumps(body).encode() if body else b""
    lines = [f"{method} {path} HTTP/1.1", "Host: h", f"Content-Length: {len(content)}", *headers]
    if key is not None:
        lines.append(f"Authorization: Bearer {key}")
    return "\r\n".join([*lines, "", ""]).encode() + content


def build_body(stream: bool = True, **fields: object) -> dict[str, object]:
    return {"model": "small", "prompt": "a gear", "stream": stream, **fields}

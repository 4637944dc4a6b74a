"""A small HTTP server for the stand-ins with JSON answers, which announces its address."""

import os
import signal
import time
from collections.abc import Callable, Mapping
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

import msgspec
from twisted.internet import reactor as _reactor
from twisted.internet.error import ReactorNotRunning
from twisted.web import server as _server
from twisted.web.resource import IResource
from twisted.web.server import NOT_DONE_YET
from zope.interface import implementer

LISTEN_ADDRESS = "127.0.0.1"

reactor: Any = _reactor
reactor.seconds = time.monotonic
_web: Any = _server


@dataclass(frozen=True, slots=True, kw_only=True)
class Reply:
    """A complete answer."""

    status: int = 200
    body: bytes = b""
    headers: Mapping[str, str] = field(default_factory=dict)


def build_json_reply(
    value: object, *, status: int = 200, headers: Mapping[str, str] | None = None
) -> Reply:
    """Encode a value as a JSON answer."""
    all_headers = {"Content-Type": "application/json", **(headers or {})}
    return Reply(status=status, body=msgspec.json.encode(value), headers=all_headers)


class Call:
    """One HTTP request and the connection that it arrived on."""

    def __init__(self, *, request: Any) -> None:
        self.request = request
        self.method: str = request.method.decode()
        self.path: str = request.path.decode()
        self.body: bytes = request.content.read() if request.content is not None else b""
        self.closed = False
        request.notifyFinish().addErrback(self._mark_closed)

    def _mark_closed(self, _reason: object) -> None:
        self.closed = True

    def get_header(self, name: str) -> str:
        """Return a header's value, or an empty string."""
        value = self.request.getHeader(name)
        return value if isinstance(value, str) else ""

    def get_argument(self, name: str, default: str = "") -> str:
        """Return the first value of a query argument, or the default."""
        values = self.request.args.get(name.encode(), [])
        return values[0].decode() if values else default

    def has_argument(self, name: str) -> bool:
        """Return whether the query contains an argument."""
        return name.encode() in self.request.args

    def send(self, reply: Reply) -> None:
        """Send a complete answer, unless the connection is closed."""
        if self.closed:
            return
        self.request.setResponseCode(reply.status)
        for name, value in reply.headers.items():
            self.request.setHeader(name, value)
        self.request.setHeader("Content-Length", str(len(reply.body)))
        self.request.write(reply.body)
        self.request.finish()

    def abort(self) -> None:
        """Close the connection before the answer is complete."""
        if not self.closed and self.request.channel is not None:
            self.request.channel.loseConnection()


Handler = Callable[[Call], Reply | None]
"""Answers a call. None means that the handler answers later, or never."""


@implementer(IResource)
class HandlerResource:
    """Passes every request to one handler."""

    isLeaf = True  # noqa: N815

    def __init__(self, *, handler: Handler) -> None:
        self._handler = handler

    def render(self, request: Any) -> int:
        call = Call(request=request)
        try:
            reply = self._handler(call)
        except (msgspec.DecodeError, msgspec.ValidationError) as error:
            reply = build_json_reply(
                {"error": str(error)}, status=400, headers={"X-Not-Started": "true"}
            )
        if reply is not None:
            call.send(reply)
        return NOT_DONE_YET


class Announcement(msgspec.Struct, frozen=True, kw_only=True):
    """The URL and process id that a started process reports to its launcher."""

    url: str
    pid: int


def write_announcement(path: Path, url: str) -> None:
    """Write the address for the launcher; the file is replaced atomically."""
    partial = path.with_suffix(".partial")
    partial.write_bytes(msgspec.json.encode(Announcement(url=url, pid=os.getpid())))
    partial.replace(path)


def serve_handler(*, handler: Handler, port: int, announce: Path | None) -> None:
    """Listen, announce the address and run the reactor until SIGTERM or SIGINT."""
    site = _web.Site(HandlerResource(handler=handler))
    listener = reactor.listenTCP(port, site, interface=LISTEN_ADDRESS)
    url = f"http://{LISTEN_ADDRESS}:{listener.getHost().port}"
    if announce is not None:
        write_announcement(announce, url)
    signal.signal(signal.SIGTERM, lambda *_: reactor.callFromThread(stop_reactor))
    signal.signal(signal.SIGINT, lambda *_: reactor.callFromThread(stop_reactor))
    reactor.run(installSignalHandlers=False)


def stop_reactor() -> None:
    """Stop the reactor if it is running."""
    try:
        reactor.stop()
    except ReactorNotRunning:
        return

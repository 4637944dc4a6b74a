"""A request to an upstream, written to the connection in a single write."""

from collections.abc import Iterable
from typing import Any

from twisted.internet.defer import Deferred, succeed

Header = tuple[bytes, bytes]


class OutboundRequest:
    """A request with the interface that Twisted's ``HTTP11ClientProtocol`` expects.

    The counterpart for h11 is ``http1.OutgoingRequest``.

    Header names and values must contain no line ends, which are not checked here; callers'
    headers are checked on arrival.
    """

    persistent = True
    absoluteURI = None  # noqa: N815

    def __init__(
        self, *, method: bytes, target: bytes, headers: Iterable[Header] = (), body: bytes = b""
    ) -> None:
        self.method = method
        self.target = target
        self.headers = tuple(headers)
        self.body = body

    def encode(self, host: bytes) -> bytes:
        """Return the request as it is sent; ``host`` becomes the Host header."""
        lines = [b"%b %b HTTP/1.1\r\nHost: %b\r\n" % (self.method, self.target, host)]
        lines += [b"%b: %b\r\n" % header for header in self.headers]
        if self.body or self.method in (b"POST", b"PUT", b"PATCH"):
            lines.append(b"Content-Length: %d\r\n" % len(self.body))
        lines += [b"\r\n", self.body]
        return b"".join(lines)

    def writeTo(self, transport: Any) -> Deferred[None]:  # noqa: N802
        """Write the whole request; called by the client protocol."""
        peer = transport.getPeer()
        transport.write(self.encode(f"{peer.host}:{peer.port}".encode()))
        return succeed(None)

    def stopWriting(self) -> None:  # noqa: N802
        """Do nothing: the request was written in a single write."""

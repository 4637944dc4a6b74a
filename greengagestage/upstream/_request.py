"""A request to an upstream, written to the connection in one piece."""

from collections.abc import Iterable
from typing import Any

from twisted.internet.defer import Deferred, succeed

Header = tuple[bytes, bytes]


class OutboundRequest:
    """A request in the form that ``HTTP11ClientProtocol`` sends.

    Headers must be free of line ends; those of callers were checked when they arrived.
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
        """Return the request as it goes over the connection."""
        lines = [b"%b %b HTTP/1.1\r\nHost: %b\r\n" % (self.method, self.target, host)]
        lines += [b"%b: %b\r\n" % header for header in self.headers]
        if self.body or self.method in (b"POST", b"PUT", b"PATCH"):
            lines.append(b"Content-Length: %d\r\n" % len(self.body))
        lines += [b"\r\n", self.body]
        return b"".join(lines)

    def writeTo(self, transport: Any) -> Deferred[None]:  # noqa: N802
        """Write everything; called by the client protocol."""
        peer = transport.getPeer()
        transport.write(self.encode(f"{peer.host}:{peer.port}".encode()))
        return succeed(None)

    def stopWriting(self) -> None:  # noqa: N802
        """Do nothing: the request was written in one piece."""

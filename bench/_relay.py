"""A bare streaming relay without decisions: what the router's cost is compared with."""

from itertools import cycle
from pathlib import Path
from typing import Any

import click
from twisted.internet import protocol as _protocol
from twisted.web import client as _client

from standins._body_producer import BytesProducer
from standins._http import Call, Reply, build_json_reply, reactor, serve_handler

CONNECTIONS = 512
_CONNECTION_HEADERS = ("host", "content-length", "connection")
_web: Any = _client
_BaseProtocol: Any = _protocol.Protocol


class _Body(_BaseProtocol):  # type: ignore[misc]
    def __init__(self, *, call: Call) -> None:
        self._call = call

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        if not self._call.closed:
            self._call.request.write(data)

    def connectionLost(self, reason: Any = None) -> None:  # noqa: N802
        if not self._call.closed:
            self._call.request.finish()


class Relay:
    """Passes each call to the next upstream in turn."""

    def __init__(self, *, upstreams: tuple[str, ...]) -> None:
        pool = _web.HTTPConnectionPool(reactor)
        pool.maxPersistentPerHost = CONNECTIONS
        self._agent = _web.Agent(reactor, pool=pool)
        self._upstreams = cycle(upstreams)

    def handle(self, call: Call) -> Reply | None:
        """Send one call on."""
        if call.path in ("/readyz", "/healthz"):
            return build_json_reply({"ok": True})
        url = next(self._upstreams) + call.path
        headers = call.request.requestHeaders.copy()
        for name in _CONNECTION_HEADERS:
            headers.removeHeader(name)
        producer = BytesProducer(body=call.body) if call.body else None
        sending = self._agent.request(call.method.encode(), url.encode(), headers, producer)
        sending.addCallback(self._start_answer, call)
        sending.addErrback(lambda _: call.abort())
        return None

    def _start_answer(self, response: Any, call: Call) -> None:
        call.request.setResponseCode(response.code)
        call.request.responseHeaders = response.headers
        response.deliverBody(_Body(call=call))


@click.command()
@click.option("--port", default=0, help="Port to listen on; 0 lets the system choose.")
@click.option("--announce", type=click.Path(path_type=Path), help="File that gets the url.")
@click.option("--upstream", "upstreams", multiple=True, required=True, help="An upstream's url.")
def main(port: int, announce: Path | None, upstreams: tuple[str, ...]) -> None:
    """Run the bare relay on loopback."""
    serve_handler(handler=Relay(upstreams=upstreams).handle, port=port, announce=announce)


if __name__ == "__main__":
    main()

"""A minimal streaming proxy without routing decisions, the baseline for the router's cost."""

from itertools import cycle
from pathlib import Path
from typing import Any

import click
from twisted.internet import protocol as _protocol
from twisted.web import client as _client

from standins._body_producer import BytesProducer
from standins._http import Call, Reply, build_json_reply, reactor, serve_handler

MAX_PERSISTENT_CONNECTIONS = 512
_CONNECTION_HEADERS = ("host", "content-length", "connection")
_web: Any = _client
_BaseProtocol: Any = _protocol.Protocol


class _BodyForwarder(_BaseProtocol):  # type: ignore[misc]
    def __init__(self, *, call: Call) -> None:
        self._call = call

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        if not self._call.closed:
            self._call.request.write(data)

    def connectionLost(self, reason: Any = None) -> None:  # noqa: N802
        if not self._call.closed:
            self._call.request.finish()


class Relay:
    """Forwards calls to the upstreams in round-robin order."""

    def __init__(self, *, upstreams: tuple[str, ...]) -> None:
        pool = _web.HTTPConnectionPool(reactor)
        pool.maxPersistentPerHost = MAX_PERSISTENT_CONNECTIONS
        self._agent = _web.Agent(reactor, pool=pool)
        self._upstreams = cycle(upstreams)

    def handle(self, call: Call) -> Reply | None:
        """Forward one call; answer readiness and liveness checks directly."""
        if call.path in ("/readyz", "/healthz"):
            return build_json_reply({"ok": True})
        url = next(self._upstreams) + call.path
        headers = call.request.requestHeaders.copy()
        for name in _CONNECTION_HEADERS:
            headers.removeHeader(name)
        producer = BytesProducer(body=call.body) if call.body else None
        pending = self._agent.request(call.method.encode(), url.encode(), headers, producer)
        pending.addCallback(self._start_response, call)
        pending.addErrback(lambda _: call.abort())
        return None

    def _start_response(self, response: Any, call: Call) -> None:
        call.request.setResponseCode(response.code)
        call.request.responseHeaders = response.headers
        response.deliverBody(_BodyForwarder(call=call))


@click.command()
@click.option("--port", default=0, help="Port to listen on; 0 lets the system choose one.")
@click.option(
    "--announce", type=click.Path(path_type=Path), help="File to which the URL is written."
)
@click.option("--upstream", "upstreams", multiple=True, required=True, help="URL of an upstream.")
def main(port: int, announce: Path | None, upstreams: tuple[str, ...]) -> None:
    """Run the relay on loopback."""
    serve_handler(handler=Relay(upstreams=upstreams).handle, port=port, announce=announce)


if __name__ == "__main__":
    main()

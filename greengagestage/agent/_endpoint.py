"""The agent's HTTP endpoint for operators and for the balancer."""

from typing import Any, cast

from twisted.internet.interfaces import IListeningPort
from twisted.web.resource import Resource
from twisted.web.server import Request, Site

from greengagestage.results import CODE_DETAILS, ResultCode

from ._process import AgentProcess


class _Health(Resource):
    """Answers that the process runs."""

    isLeaf = True  # noqa: N815

    def render_GET(self, request: Request) -> bytes:
        """Answer 200."""
        return b"live\n"


class _Readiness(Resource):
    """Answers whether the host has a configuration in force."""

    isLeaf = True  # noqa: N815

    def __init__(self, *, process: AgentProcess) -> None:
        cast(Any, super()).__init__()
        self._process = process

    def render_GET(self, request: Request) -> bytes:
        """Answer 200 when ready, else 503 with the code."""
        if self._process.is_ready:
            return b"ready\n"
        code = ResultCode.NO_CONFIGURATION
        cast(Any, request).setResponseCode(503)
        return f"{code.value} {CODE_DETAILS[code].message}\n".encode()


def listen_http(*, reactor: Any, process: AgentProcess) -> IListeningPort:
    """Listen for operators and health checks.

    Raises:
        twisted.internet.error.CannotListenError: The address cannot be listened on.
    """
    root = cast(Any, Resource)()
    root.putChild(b"healthz", cast(Any, _Health)())
    root.putChild(b"readyz", _Readiness(process=process))
    ip, _, port = process.settings.http_listen.rpartition(":")
    return cast(
        IListeningPort,
        reactor.listenTCP(int(port), cast(Any, Site)(root), interface=ip.strip("[]")),
    )

"""The agent's HTTP endpoint for operators, metrics and health checks."""

from typing import Any, cast

import msgspec
from eliot import log_message
from prometheus_client import CollectorRegistry, generate_latest
from twisted.internet.defer import Deferred
from twisted.internet.interfaces import IListeningPort
from twisted.web.resource import Resource
from twisted.web.server import NOT_DONE_YET, Site

from greengagestage.ids import OperatorName
from greengagestage.language import ApplyRequest, CommandAnswer, CommandRequest, build_code_answer
from greengagestage.results import CODE_DETAILS, ResultCode
from greengagestage.telemetry import METRICS_CONTENT_TYPE

from ._metrics import AgentCollector
from ._operators import BOOTSTRAP_OPERATOR, carries_fleet_key, find_operator
from ._process import AgentProcess

COMMAND_LIMIT_BYTES = 4 * 1024 * 1024
JSON = b"application/json"


class _Health(Resource):
    """Liveness check: responds while the process runs."""

    isLeaf = True  # noqa: N815

    def render_GET(self, request: Any) -> bytes:
        """Respond with status 200."""
        return b"live\n"


class _Readiness(Resource):
    """Readiness check: a configuration is in force and the process is not stopping."""

    isLeaf = True  # noqa: N815

    def __init__(self, *, process: AgentProcess) -> None:
        cast(Any, super()).__init__()
        self._process = process

    def render_GET(self, request: Any) -> bytes:
        """Respond with status 200 when ready, otherwise with 503 and the result code."""
        if self._process.is_ready:
            return b"ready\n"
        stopping = self._process.is_stopping
        code = ResultCode.STOPPING if stopping else ResultCode.NO_CONFIGURATION
        request.setResponseCode(503)
        return f"{code.value} {CODE_DETAILS[code].message}\n".encode()


class _Metrics(Resource):
    """Serves the metrics in Prometheus's text format."""

    isLeaf = True  # noqa: N815

    def __init__(self, *, process: AgentProcess) -> None:
        cast(Any, super()).__init__()
        self._registry = CollectorRegistry()
        self._registry.register(AgentCollector(process=process))

    def render_GET(self, request: Any) -> bytes:
        """Respond with all metrics."""
        request.setHeader(b"content-type", METRICS_CONTENT_TYPE.encode())
        return generate_latest(self._registry)


class _Commands(Resource):
    """Accepts operators' commands (``command``) and declarations (``apply``)."""

    isLeaf = True  # noqa: N815

    def __init__(
        self, *, process: AgentProcess, request_type: type[CommandRequest | ApplyRequest]
    ) -> None:
        cast(Any, super()).__init__()
        self._process = process
        self._request_type = request_type
        self._decoder: msgspec.json.Decoder[CommandRequest | ApplyRequest] = msgspec.json.Decoder(
            request_type
        )

    def render_POST(self, request: Any) -> int:
        """Run the command in the body and respond when it has finished."""
        running = Deferred.fromCoroutine(self._run(request))
        running.addErrback(_log_failure)
        running.addCallback(lambda answer: _write_answer(request, answer))
        running.addErrback(_log_failure)
        return NOT_DONE_YET

    async def _run(self, request: Any) -> CommandAnswer:
        operator = self._authenticate(request)
        if isinstance(operator, ResultCode):
            return build_code_answer(operator)
        body = request.content.read(COMMAND_LIMIT_BYTES + 1)
        if len(body) > COMMAND_LIMIT_BYTES:
            return build_code_answer(ResultCode.BODY_TOO_LARGE)
        try:
            command = self._decoder.decode(body)
        except msgspec.ValidationError as error:
            return build_code_answer(ResultCode.WRONG_TYPE, str(error))
        except msgspec.DecodeError as error:
            return build_code_answer(ResultCode.BROKEN_JSON, str(error))
        if isinstance(command, ApplyRequest):
            line = CommandRequest(
                text="apply", dry_run=command.dry_run, command_id=command.command_id
            )
            return await self._process.commands.apply_text(
                command.toml, line, operator, first_only=operator == BOOTSTRAP_OPERATOR
            )
        return await self._process.commands.run(command, operator)

    def _authenticate(self, request: Any) -> OperatorName | ResultCode:
        """Return the operator; before the first version, the fleet key may apply a declaration."""
        header = (request.getHeader(b"authorization") or b"").decode("latin-1")
        declaration = self._process.host_view.declaration
        if declaration is not None:
            return find_operator(header, declaration) or ResultCode.UNKNOWN_OPERATOR
        keys = self._process.settings.fleet_keys
        if self._request_type is ApplyRequest and carries_fleet_key(header, keys):
            return BOOTSTRAP_OPERATOR
        return ResultCode.NO_CONFIGURATION


def _log_failure(failure: Any) -> CommandAnswer:
    log_message("operators: fault", fault=failure.getTraceback())
    return build_code_answer(ResultCode.INTERNAL_ERROR)


def _write_answer(request: Any, answer: CommandAnswer) -> None:
    if request._disconnected:
        return
    status = 200 if answer.code == 0 else CODE_DETAILS[ResultCode(answer.code)].http_status
    request.setResponseCode(status)
    request.setHeader(b"content-type", JSON)
    request.write(msgspec.json.encode(answer))
    request.finish()


def listen_http(*, reactor: Any, process: AgentProcess) -> IListeningPort:
    """Listen for operators, metrics and health checks.

    Raises:
        twisted.internet.error.CannotListenError: The address cannot be listened on.
    """
    root = cast(Any, Resource)()
    versioned = cast(Any, Resource)()
    root.putChild(b"healthz", cast(Any, _Health)())
    root.putChild(b"readyz", _Readiness(process=process))
    root.putChild(b"metrics", _Metrics(process=process))
    root.putChild(b"v1", versioned)
    versioned.putChild(b"command", _Commands(process=process, request_type=CommandRequest))
    versioned.putChild(b"apply", _Commands(process=process, request_type=ApplyRequest))
    ip, _, port = process.settings.http_listen.rpartition(":")
    site = cast(Any, Site)(root)
    return cast(IListeningPort, reactor.listenTCP(int(port), site, interface=ip.strip("[]")))

"""HTTP routing for callers: paths, methods, authentication and request validation."""

from typing import Any

import msgspec
from eliot import log_message
from returns.result import Failure, Result, Success

from greengagestage.http1 import MemoryAccount
from greengagestage.ids import ClassName, RequestId
from greengagestage.refusals import Refusal
from greengagestage.results import ResultCode
from greengagestage.telemetry import METRICS_CONTENT_TYPE, EntryMetrics, log_current_exception

from ._bodies import Endpoint
from ._calls import Call
from ._completions import JSON, HeaderList
from ._directory import Directory
from ._http import MEMORY_RETRY_AFTER_S, CallerRequest
from ._intake import (
    SERVICES_PREFIX,
    AuthenticatedCaller,
    RequestIds,
    authenticate_caller,
    read_completion,
    read_service_call,
    read_service_path,
)
from ._readiness import Readiness
from ._shell import Shell

NOT_READY_RETRY_S = 1.0
NO_CLASS = ClassName("")
_COMPLETION_PATHS = {endpoint.value.encode(): endpoint for endpoint in Endpoint}
_READ_METHODS = (b"GET", b"HEAD")
_UNSUPPORTED_METHODS = (b"CONNECT", b"TRACE")


class RequestHandler:
    """Serves status, metrics and the list of models; submits validated calls to the shell."""

    def __init__(
        self,
        *,
        reactor: Any,
        shell: Shell,
        readiness: Readiness,
        metrics: EntryMetrics,
        request_ids: RequestIds,
        memory: MemoryAccount,
    ) -> None:
        self._reactor = reactor
        self._shell = shell
        self._readiness = readiness
        self._metrics = metrics
        self._request_ids = request_ids
        self._memory = memory

    def handle(self, http: CallerRequest) -> None:
        """Handle a request whose body has arrived completely."""
        request_id = self._request_ids.create()
        try:
            self._route(http, request_id)
        except Exception:
            log_current_exception("entry: fault of the router", request_id=request_id)
            if not http.startedWriting:
                self._refuse(http, request_id, Refusal(code=ResultCode.INTERNAL_ERROR))

    def record_refusal(self, code: ResultCode) -> RequestId:
        """Count and log a refusal sent before the request was complete; return a new id for it."""
        request_id = self._request_ids.create()
        self._count_refusal(request_id, code)
        return request_id

    def _route(self, http: CallerRequest, request_id: RequestId) -> None:
        if http.path in _COMPLETION_PATHS:
            if self._check_method(http, request_id, (b"POST",)):
                self._submit(http, request_id)
        elif http.path.startswith(SERVICES_PREFIX):
            self._submit(http, request_id)
        elif http.path in (b"/v1/models", b"/healthz", b"/readyz", b"/metrics"):
            if self._check_method(http, request_id, _READ_METHODS):
                self._serve_read_only_path(http, request_id)
        else:
            self._refuse(http, request_id, Refusal(code=ResultCode.UNKNOWN_PATH))

    def _check_method(
        self, http: CallerRequest, request_id: RequestId, allowed: tuple[bytes, ...]
    ) -> bool:
        if http.method in allowed:
            return True
        headers = [("Allow", b", ".join(allowed).decode())]
        self._refuse(http, request_id, Refusal(code=ResultCode.METHOD_NOT_ALLOWED), headers)
        return False

    def _serve_read_only_path(self, http: CallerRequest, request_id: RequestId) -> None:
        match http.path:
            case b"/healthz":
                http.answer(200, JSON, b'{"status":"ok"}', [])
            case b"/readyz":
                reason = self._readiness.get_unready_reason()
                body = msgspec.json.encode({"ready": reason is None, "reason": reason or ""})
                http.answer(200 if reason is None else 503, JSON, body, [])
            case b"/metrics":
                http.answer(200, METRICS_CONTENT_TYPE, self._metrics.render(), [])
            case _:
                self._serve_models(http, request_id)

    def _serve_models(self, http: CallerRequest, request_id: RequestId) -> None:
        directory = self._readiness.directory
        match self._authenticate(http, directory):
            case Success(_):
                http.answer(200, JSON, _encode_models(directory), _build_id_headers(request_id))
            case Failure(refusal):
                self._refuse(http, request_id, refusal)

    def _submit(self, http: CallerRequest, request_id: RequestId) -> None:
        match self._read_call(http, request_id):
            case Success(call):
                self._shell.submit(call, http, _build_id_headers(request_id))
            case Failure(refusal):
                self._refuse(http, request_id, refusal)

    def _read_call(self, http: CallerRequest, request_id: RequestId) -> Result[Call, Refusal]:
        if self._memory.is_full:
            return Failure(Refusal(code=ResultCode.MEMORY_FULL, retry_after_s=MEMORY_RETRY_AFTER_S))
        directory = self._readiness.directory
        match self._authenticate(http, directory):
            case Success(caller):
                pass
            case Failure(refusal):
                return Failure(refusal)
        if directory is None:
            return Failure(_not_ready())
        endpoint = _COMPLETION_PATHS.get(http.path)
        if endpoint is None:
            return self._read_service_call(http, request_id, caller, directory)
        return read_completion(
            caller=caller,
            endpoint=endpoint,
            data=http.read_body(),
            directory=directory,
            request_id=request_id,
            now_s=self._reactor.seconds(),
        )

    def _read_service_call(
        self,
        http: CallerRequest,
        request_id: RequestId,
        caller: AuthenticatedCaller,
        directory: Directory,
    ) -> Result[Call, Refusal]:
        if http.method in _UNSUPPORTED_METHODS:
            return Failure(Refusal(code=ResultCode.METHOD_NOT_ALLOWED))
        path = read_service_path(http.uri)
        if path is None:
            return Failure(Refusal(code=ResultCode.UNKNOWN_PATH))
        service = directory.services.get(path.service)
        if service is None:
            return Failure(Refusal(code=ResultCode.UNKNOWN_SERVICE, detail=path.service))
        return read_service_call(
            caller=caller,
            service=service,
            method=http.method,
            path=path,
            headers=http.requestHeaders,
            data=http.read_body(),
            request_id=request_id,
            now_s=self._reactor.seconds(),
        )

    def _authenticate(
        self, http: CallerRequest, directory: Directory | None
    ) -> Result[AuthenticatedCaller, Refusal]:
        if directory is None:
            return Failure(_not_ready())
        return authenticate_caller(http.requestHeaders, directory)

    def _refuse(
        self,
        http: CallerRequest,
        request_id: RequestId,
        refusal: Refusal,
        headers: HeaderList | None = None,
    ) -> None:
        self._count_refusal(request_id, refusal.code)
        http.refuse(refusal, [*_build_id_headers(request_id), *(headers or [])])

    def _count_refusal(self, request_id: RequestId, code: ResultCode) -> None:
        self._metrics.count_result(code, NO_CLASS)
        log_message(message_type="entry: request refused", request_id=request_id, code=code.value)


def _build_id_headers(request_id: RequestId) -> HeaderList:
    return [("X-Request-Id", request_id)]


def _not_ready() -> Refusal:
    return Refusal(code=ResultCode.NOT_READY, retry_after_s=NOT_READY_RETRY_S)


def _encode_models(directory: Directory | None) -> bytes:
    models = sorted(directory.models) if directory is not None else []
    data = [
        {"id": model, "object": "model", "created": 0, "owned_by": "greengagestage"}
        for model in models
    ]
    return msgspec.json.encode({"object": "list", "data": data})

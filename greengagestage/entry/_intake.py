"""Validation of callers' HTTP requests into calls, or into refusals that state the error."""

import itertools
import secrets
from dataclasses import dataclass

from returns.result import Failure, Result, Success
from twisted.web.http_headers import Headers

from greengagestage.configuration import PlainService, ServiceClass, Workspace
from greengagestage.ids import ClassName, HostId, PoolName, RequestId, ServiceName
from greengagestage.policy import Request
from greengagestage.refusals import Refusal
from greengagestage.results import ResultCode
from greengagestage.upstream import Header

from ._bodies import (
    BYTES_PER_TOKEN,
    Endpoint,
    fingerprint_completion,
    fingerprint_parts,
    hash_prefixes,
    read_completion_body,
)
from ._calls import Call, CompletionTarget, ServiceTarget
from ._directory import Directory
from ._headers import CallerHeaders, read_headers

SERVICES_PREFIX = b"/services/"
_MS_PER_S = 1000
_UNFORWARDED_HEADERS = frozenset(
    {
        b"authorization",
        b"connection",
        b"content-length",
        b"expect",
        b"host",
        b"idempotency-key",
        b"keep-alive",
        b"proxy-authorization",
        b"proxy-connection",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
        b"x-attempt-id",
        b"x-deadline-ms",
        b"x-idempotent",
        b"x-priority",
        b"x-request-id",
        b"x-service-class",
    }
)
"""Request headers that are not forwarded: hop-by-hop, credentials, and the router's own."""


class RequestIds:
    """Generates request ids that are unique across processes and restarts."""

    def __init__(self, *, host: HostId) -> None:
        self._prefix = f"{host}-{secrets.token_hex(6)}"
        self._numbers = itertools.count(1)

    def create(self) -> RequestId:
        """Return a new id."""
        return RequestId(f"{self._prefix}-{next(self._numbers)}")


@dataclass(frozen=True, slots=True, kw_only=True)
class AuthenticatedCaller:
    """The workspace that sent a request, with the request's class and control headers.

    Attributes:
        headers: The request headers that the router interprets.
    """

    workspace: Workspace
    service_class: ServiceClass
    headers: CallerHeaders


def authenticate_caller(
    headers: Headers, directory: Directory
) -> Result[AuthenticatedCaller, Refusal]:
    """Validate the control headers and look up the workspace and service class they name."""
    return read_headers(headers).bind(lambda checked: _find_caller(checked, directory))


def _find_caller(
    headers: CallerHeaders, directory: Directory
) -> Result[AuthenticatedCaller, Refusal]:
    workspace = directory.find_workspace(headers.key)
    if workspace is None:
        return Failure(Refusal(code=ResultCode.UNKNOWN_CREDENTIALS))
    name = headers.service_class or workspace.default_class
    service_class = directory.classes.get(ClassName(name))
    if service_class is None:
        return Failure(Refusal(code=ResultCode.UNKNOWN_CLASS, detail=name))
    return Success(
        AuthenticatedCaller(workspace=workspace, service_class=service_class, headers=headers)
    )


def read_completion(
    *,
    caller: AuthenticatedCaller,
    endpoint: Endpoint,
    data: bytes,
    directory: Directory,
    request_id: RequestId,
    now_s: float,
) -> Result[Call, Refusal]:
    """Validate a completion request."""
    match read_completion_body(endpoint, data):
        case Success(body):
            pass
        case Failure(refusal):
            return Failure(refusal)
    if body.model not in directory.models:
        return Failure(Refusal(code=ResultCode.UNKNOWN_MODEL, detail=body.model))
    headers = caller.headers
    if not headers.idempotent and headers.idempotency_key is None:
        return Failure(Refusal(code=ResultCode.IDEMPOTENCY_KEY_REQUIRED))
    request = Request(
        request_id=request_id,
        workspace=caller.workspace.name,
        service_class=caller.service_class.name,
        pool=PoolName(body.model),
        fingerprint=fingerprint_completion(caller.workspace.name, endpoint, body),
        prompt_tokens=len(body.prompt) // BYTES_PER_TOKEN,
        output_tokens_limit=body.output_tokens_limit,
        idempotent=headers.idempotent,
        idempotency_key=headers.idempotency_key,
        prefix_hashes=hash_prefixes(body.prompt),
        deadline_s=_compute_deadline(headers, now_s),
    )
    return Success(
        Call(
            request=request,
            service_class=caller.service_class,
            target=CompletionTarget(endpoint=endpoint, body=body),
        )
    )


@dataclass(frozen=True, slots=True, kw_only=True)
class ServicePath:
    """A path below ``/services/``: the service and the request target forwarded to it."""

    service: ServiceName
    target: bytes


def read_service_path(uri: bytes) -> ServicePath | None:
    """Split a request target; None if it names no service or has other than visible ASCII."""
    name, slash, rest = uri.removeprefix(SERVICES_PREFIX).partition(b"/")
    if not name or not slash or not all(0x21 <= byte <= 0x7E for byte in uri):
        return None
    return ServicePath(service=ServiceName(name.decode()), target=b"/" + rest)


def read_service_call(
    *,
    caller: AuthenticatedCaller,
    service: PlainService,
    method: bytes,
    path: ServicePath,
    headers: Headers,
    data: bytes,
    request_id: RequestId,
    now_s: float,
) -> Result[Call, Refusal]:
    """Validate a request to a plain service."""
    control_headers = caller.headers
    idempotent = (
        control_headers.idempotent and method.decode("latin-1") in service.idempotent_methods
    )
    if not idempotent and control_headers.idempotency_key is None:
        return Failure(Refusal(code=ResultCode.IDEMPOTENCY_KEY_REQUIRED))
    workspace = caller.workspace.name
    request = Request(
        request_id=request_id,
        workspace=workspace,
        service_class=caller.service_class.name,
        pool=PoolName(service.name),
        fingerprint=fingerprint_parts(
            workspace.encode(), service.name.encode(), method, path.target, data
        ),
        idempotent=idempotent,
        idempotency_key=control_headers.idempotency_key,
        deadline_s=_compute_deadline(control_headers, now_s),
    )
    target = ServiceTarget(
        method=method, target=path.target, headers=_select_headers(headers), body=data
    )
    return Success(Call(request=request, service_class=caller.service_class, target=target))


def _compute_deadline(headers: CallerHeaders, now_s: float) -> float | None:
    """Return the reactor time at which the caller stops waiting; None if it gave no limit."""
    if headers.timeout_ms is None:
        return None
    return now_s + headers.timeout_ms / _MS_PER_S


def _select_headers(headers: Headers) -> tuple[Header, ...]:
    return tuple(
        (name, value)
        for name, values in headers.getAllRawHeaders()
        if name.lower() not in _UNFORWARDED_HEADERS
        for value in values
    )

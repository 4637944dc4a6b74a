"""Validated requests of callers, and the upstream requests built from them."""

from dataclasses import dataclass

import msgspec

from greengagestage.configuration import ServiceClass
from greengagestage.ids import AttemptId
from greengagestage.policy import Request
from greengagestage.upstream import Header, OutboundRequest

from ._bodies import CompletionBody, Endpoint


@dataclass(frozen=True, slots=True, kw_only=True)
class CompletionTarget:
    """A completion request for a model engine."""

    endpoint: Endpoint
    body: CompletionBody


@dataclass(frozen=True, slots=True, kw_only=True)
class ServiceTarget:
    """A request to a plain service, forwarded with method, target and body unchanged.

    Attributes:
        target: The HTTP request target: path and query below the service's prefix.
        headers: The caller's headers that are forwarded.
    """

    method: bytes
    target: bytes
    headers: tuple[Header, ...]
    body: bytes


@dataclass(frozen=True, slots=True, kw_only=True)
class Call:
    """A caller's validated request, with its service class and what to send upstream.

    Attributes:
        request: What the policy decides on.
        target: What is sent to a model engine or a plain service.
    """

    request: Request
    service_class: ServiceClass
    target: CompletionTarget | ServiceTarget


def build_outbound(
    call: Call, *, attempt_id: AttemptId, priority: int, resume_token_ids: list[int]
) -> OutboundRequest:
    """Build the request of one attempt.

    Args:
        resume_token_ids: Tokens already delivered, after which the engine is to continue.
    """
    headers = _build_attempt_headers(call.request, attempt_id, priority)
    match call.target:
        case CompletionTarget(endpoint=endpoint, body=body):
            fields = {**body.fields, "stream": True}
            if resume_token_ids:
                fields["resume"] = {"token_ids": resume_token_ids}
            headers.append((b"Content-Type", b"application/json"))
            return OutboundRequest(
                method=b"POST",
                target=endpoint.value.encode(),
                headers=headers,
                body=msgspec.json.encode(fields),
            )
        case ServiceTarget(method=method, target=target, headers=forwarded, body=data):
            return OutboundRequest(
                method=method, target=target, headers=[*forwarded, *headers], body=data
            )


def _build_attempt_headers(request: Request, attempt_id: AttemptId, priority: int) -> list[Header]:
    headers = [
        (b"X-Request-Id", request.request_id.encode()),
        (b"X-Attempt-Id", attempt_id.encode()),
        (b"X-Priority", b"%d" % priority),
    ]
    if request.idempotency_key is not None:
        headers.append((b"Idempotency-Key", request.idempotency_key.encode()))
    return headers

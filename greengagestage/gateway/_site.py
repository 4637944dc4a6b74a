"""Admission of callers' requests: finds the route, checks the API key, starts the exchange."""

from collections.abc import Callable
from dataclasses import dataclass, replace
from random import Random
from typing import Any

import xxhash
from eliot import log_message
from returns.result import Failure, Success

from greengagestage.catalog import Prompt, Route, RouteTable, Workspace
from greengagestage.http1 import IncomingRequest, LimitExceeded, Responder
from greengagestage.ids import AttemptId, ClassName, Fingerprint, ServiceName
from greengagestage.platform import CallerRequestMetadata, parse_caller_headers
from greengagestage.refusals import Refusal, encode_refusal
from greengagestage.results import ResultCode
from greengagestage.routing import Job, StreamOrigin

from ._context import OTHER_HOST_RETRY_AFTER_S, ExchangeContext
from ._loops import add_jitter
from .exchange import ExchangeInputs, OriginSearch, RequestExchange, answer_refusal

DEFAULT_TIME_LEFT_S = 1.0
"""Time left that is assumed for ``Retry-After`` if the caller sent no deadline."""

REVOCATION_MARGIN_S = 0.4
"""Keys are accepted while the configuration's last confirmation is younger than the revocation
bound less this margin, since a request takes up to this long from the caller to an upstream. The
bound is the longest time for which a revoked key may still work."""

_LIMIT_CODES = {
    LimitExceeded.MALFORMED: ResultCode.BAD_HEADER,
    LimitExceeded.TOO_SLOW: ResultCode.REQUEST_TOO_SLOW,
    LimitExceeded.BODY_TOO_LARGE: ResultCode.BODY_TOO_LARGE,
    LimitExceeded.HEAD_TOO_LARGE: ResultCode.BAD_HEADER,
    LimitExceeded.MEMORY_FULL: ResultCode.MEMORY_FULL,
}


@dataclass(slots=True, kw_only=True)
class ConfigurationView:
    """The current configuration and the age of its last confirmation.

    Attributes:
        read_age_s: Returns the seconds since the configuration was known to be the newest one;
            None before the first one was read.
        key_revocation_s: Longest time for which a revoked key may still work; None for no limit.
        refuses_requests: Whether new requests are refused, as in the later part of a shutdown.
    """

    read_age_s: Callable[[], float | None]
    key_revocation_s: float | None
    table: RouteTable | None = None
    refuses_requests: bool = False

    @property
    def is_stale(self) -> bool:
        """Whether the last confirmation is too old for keys to be accepted, or none is known.

        A key may have been revoked at any time since then.
        """
        age_s = self.read_age_s()
        if self.key_revocation_s is None:
            return False
        return age_s is None or age_s > self.key_revocation_s - REVOCATION_MARGIN_S


class CallerRequestHandler:
    """Checks callers' requests and starts their exchanges."""

    def __init__(
        self, *, context: ExchangeContext, configuration: ConfigurationView, random: Random
    ) -> None:
        self._context = context
        self._configuration = configuration
        self._random = random

    def handle(self, request: IncomingRequest, responder: Responder) -> None:
        """Handle a complete request. A tunnel is refused: nothing of it could reach an upstream."""
        if request.method == b"CONNECT":
            self._refuse(request, None, responder, Refusal(code=ResultCode.METHOD_NOT_ALLOWED))
            return
        match parse_caller_headers(request.target, request.headers):
            case Success(metadata):
                self._admit(request, metadata, responder)
            case Failure(detail):
                refusal = Refusal(code=ResultCode.BAD_HEADER, detail=detail)
                self._refuse(request, None, responder, refusal)

    def refuse_unread(self, limit: LimitExceeded) -> bytes:
        """Refuse a request that exceeds a limit or cannot be parsed.

        The refusal is counted in the metrics and logged. Returns the response body.
        """
        code = _LIMIT_CODES[limit]
        self._context.metrics.count_result(code, ClassName(""))
        log_message(message_type="request: not read", code=code.value, limit=limit.name)
        return encode_refusal(Refusal(code=code, detail=limit.name.replace("_", " ").lower()))

    def _admit(
        self, request: IncomingRequest, metadata: CallerRequestMetadata, responder: Responder
    ) -> None:
        table = self._configuration.table
        if table is None:
            self._refuse_temporarily(request, metadata, responder, ResultCode.NOT_READY)
            return
        if self._configuration.refuses_requests:
            self._refuse_temporarily(request, metadata, responder, ResultCode.STOPPING)
            return
        if self._context.memory.is_full:
            self._refuse_temporarily(request, metadata, responder, ResultCode.MEMORY_FULL)
            return
        route = table.find_route(metadata.host, metadata.path)
        needs_key = table.workspaces is not None and not (route is not None and route.public)
        if needs_key and self._configuration.is_stale:
            self._refuse_temporarily(request, metadata, responder, ResultCode.CONFIGURATION_STALE)
            return
        if route is None:
            refusal = Refusal(code=ResultCode.UNKNOWN_PATH)
            self._refuse(request, metadata, responder, refusal)
            return
        workspace = None
        if needs_key and table.workspaces is not None:
            workspace = table.workspaces.get(metadata.key or "")
            if workspace is None:
                missing = metadata.key is None
                code = ResultCode.MISSING_CREDENTIALS if missing else ResultCode.UNKNOWN_CREDENTIALS
                self._refuse(request, metadata, responder, Refusal(code=code))
                return
        self._start_exchange(request, metadata, responder, table, route, workspace)

    def _start_exchange(
        self,
        request: IncomingRequest,
        metadata: CallerRequestMetadata,
        responder: Responder,
        table: RouteTable,
        route: Route,
        workspace: Workspace | None,
    ) -> None:
        stream = metadata.resumed_attempt or metadata.attempt_id
        service = route.pick_service(_compute_split_point(stream))
        job = _build_job(request, metadata, table, route, service, workspace)
        inputs = ExchangeInputs(
            request=request,
            job=job,
            workspace=workspace,
            stream=stream,
            last_event_id=metadata.last_event_id if route.resumable else None,
            fingerprint=_compute_fingerprint(request, metadata),
            version=table.version,
            version_age_s=self._configuration.read_age_s(),
        )
        if not (route.resumable and metadata.takes_up_stream):
            self._run_exchange(inputs, responder)
            return

        def take_up(began_at: StreamOrigin | None) -> None:
            if began_at is None:
                code = ResultCode.STREAM_ORIGIN_UNKNOWN
                self._refuse_temporarily(request, metadata, responder, code)
            else:
                resumed = replace(inputs, job=replace(job, began_at=began_at))
                self._run_exchange(resumed, responder)

        OriginSearch(
            context=self._context,
            metadata=metadata,
            stream=stream,
            service=service,
            responder=responder,
            on_found=take_up,
        ).start()

    def _run_exchange(self, inputs: ExchangeInputs, responder: Responder) -> None:
        self._context.router.count_request(inputs.job, self._context.reactor.seconds())
        RequestExchange(context=self._context, inputs=inputs, responder=responder).start()

    def _refuse_temporarily(
        self,
        request: IncomingRequest,
        metadata: CallerRequestMetadata,
        responder: Responder,
        code: ResultCode,
    ) -> None:
        delay_s = add_jitter(OTHER_HOST_RETRY_AFTER_S, self._random)
        self._refuse(request, metadata, responder, Refusal(code=code, retry_after_s=delay_s))

    def _refuse(
        self,
        request: IncomingRequest,
        metadata: CallerRequestMetadata | None,
        responder: Responder,
        refusal: Refusal,
    ) -> None:
        caller_timeout_s = None if metadata is None else metadata.timeout_s
        elapsed_s: Any = self._context.reactor.seconds() - request.received_s
        remaining_s = (caller_timeout_s or DEFAULT_TIME_LEFT_S) - elapsed_s
        answer_refusal(responder, refusal, time_left_s=remaining_s)
        self._context.metrics.count_result(refusal.code, ClassName(""))
        table = self._configuration.table
        log_message(
            message_type="request: refused",
            request=None if metadata is None else metadata.attempt_id,
            code=refusal.code.value,
            result=refusal.code.name,
            detail=refusal.detail,
            version=None if table is None else table.version,
            version_age_s=self._configuration.read_age_s(),
        )


def _build_job(
    request: IncomingRequest,
    metadata: CallerRequestMetadata,
    table: RouteTable,
    route: Route,
    service: ServiceName,
    workspace: Workspace | None,
) -> Job:
    timeout_s = route.timeout_s
    if metadata.timeout_s is not None:
        timeout_s = min(timeout_s, metadata.timeout_s)
    prompt = None
    if route.carries_prompt and metadata.prompt_tokens:
        prompt = Prompt(
            tokens=metadata.prompt_tokens,
            output_tokens=metadata.output_tokens,
            parts=metadata.parts,
        )
    return Job(
        attempt_id=metadata.attempt_id,
        service=service,
        route=route,
        urgency=table.rank_urgency(route, workspace),
        arrived_s=request.received_s,
        deadline_s=request.received_s + timeout_s,
        prompt=prompt,
    )


def _compute_split_point(stream: AttemptId) -> float:
    """Return a number from 0 up to 1 that is the same on each host that the stream comes to."""
    return xxhash.xxh32_intdigest(stream.encode()) / 2**32


def _compute_fingerprint(request: IncomingRequest, metadata: CallerRequestMetadata) -> Fingerprint:
    digest = xxhash.xxh3_128()
    for part in (request.target, (metadata.key or "").encode("latin-1"), request.body):
        digest.update(len(part).to_bytes(8, "big"))
        digest.update(part)
    return Fingerprint(digest.hexdigest())

"""The client of the weight store, which limits the rate of downloads with permits."""

import math
from dataclasses import dataclass
from typing import Any

import msgspec
from msgspec import Struct
from twisted.internet.defer import Deferred, inlineCallbacks

from greengagestage.ids import UpstreamName
from greengagestage.outcomes import Unavailable, Unknown

from ._http import HttpClient, HttpResponse, classify_error_status

MAX_PERMIT_RESPONSE_BYTES = 64 * 1024
DEFAULT_RETRY_AFTER_S = 5.0
MAX_RETRY_AFTER_S = 600.0


@dataclass(frozen=True, slots=True, kw_only=True)
class Permit:
    """The upstream may download the artifact now."""

    permit: str


@dataclass(frozen=True, slots=True, kw_only=True)
class PermitDelayed:
    """The store's rate limit is reached; ask again after ``retry_after_s`` seconds."""

    retry_after_s: float


PermitOutcome = Permit | PermitDelayed | Unavailable | Unknown


class _PermitRequest(Struct, frozen=True):
    artifact: str
    upstream: UpstreamName


class _PermitResponse(Struct, frozen=True):
    permit: str | int


class WeightClient:
    """Requests the permits that are needed to load a model or an adapter."""

    def __init__(self, *, reactor: Any, base_url: str, timeout_s: float) -> None:
        self._http = HttpClient(reactor=reactor, base_url=base_url, timeout_s=timeout_s)

    def close(self) -> Deferred[Any]:
        """Close the idle connections."""
        return self._http.close()

    @inlineCallbacks
    def _request_permit(self, artifact: str, upstream: UpstreamName) -> Any:
        response = yield self._http.send(
            "POST",
            "/weights/permits",
            body=msgspec.json.encode(_PermitRequest(artifact, upstream)),
            headers={"Content-Type": "application/json"},
            limit_bytes=MAX_PERMIT_RESPONSE_BYTES,
        )
        return parse_permit(response)

    def request_permit(self, artifact: str, upstream: UpstreamName) -> Deferred[PermitOutcome]:
        """Send one request for a permit to load an artifact once on an upstream."""
        return self._request_permit(artifact, upstream)


def parse_permit(response: HttpResponse | Unavailable | Unknown) -> PermitOutcome:
    """Return the outcome of a permit request from its response."""
    if not isinstance(response, HttpResponse):
        return response
    if response.status == 429:
        return PermitDelayed(retry_after_s=parse_retry_after(response))
    if response.status != 200:
        return classify_error_status(response.status)
    try:
        permit = msgspec.json.decode(response.body, type=_PermitResponse).permit
    except msgspec.DecodeError:
        return Unknown(reason="the permit cannot be decoded")
    return Permit(permit=str(permit))


def parse_retry_after(response: HttpResponse) -> float:
    """Return the seconds of the ``Retry-After`` header, limited to 0 to ``MAX_RETRY_AFTER_S``.

    A missing or unreadable header gives ``DEFAULT_RETRY_AFTER_S``.
    """
    values = response.headers.getRawHeaders("retry-after") or [""]
    try:
        seconds = float(values[0])
    except ValueError:
        return DEFAULT_RETRY_AFTER_S
    if math.isnan(seconds):
        return DEFAULT_RETRY_AFTER_S
    return min(max(seconds, 0.0), MAX_RETRY_AFTER_S)

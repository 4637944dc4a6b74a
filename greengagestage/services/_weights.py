"""The client of the rate-limited weight store."""

from dataclasses import dataclass
from typing import Any

import msgspec
from msgspec import Struct
from twisted.internet.defer import Deferred, inlineCallbacks

from greengagestage.ids import UpstreamName
from greengagestage.outcomes import Unavailable, Unknown

from ._http import HttpClient, HttpResponse, classify_error_status

PERMIT_LIMIT_BYTES = 64 * 1024
DEFAULT_RETRY_AFTER_S = 5.0
MAX_RETRY_AFTER_S = 600.0


@dataclass(frozen=True, slots=True, kw_only=True)
class Permit:
    """The upstream may fetch the artifact now."""

    permit: str


@dataclass(frozen=True, slots=True, kw_only=True)
class PermitDelayed:
    """The store's rate is used up; ask again after this time."""

    retry_after_s: float


PermitOutcome = Permit | PermitDelayed | Unavailable | Unknown


class _Question(Struct, frozen=True):
    artifact: str
    upstream: UpstreamName


class _Answer(Struct, frozen=True):
    permit: str | int


class WeightClient:
    """Asks for the permits without which no model or adapter is loaded."""

    def __init__(self, *, reactor: Any, base_url: str, timeout_s: float) -> None:
        self._http = HttpClient(reactor=reactor, base_url=base_url, timeout_s=timeout_s)

    def close(self) -> Deferred[Any]:
        """Close the idle connections."""
        return self._http.close()

    @inlineCallbacks
    def _ask_permit(self, artifact: str, upstream: UpstreamName) -> Any:
        answer = yield self._http.send(
            "POST",
            "/weights/permits",
            body=msgspec.json.encode(_Question(artifact, upstream)),
            headers={"Content-Type": "application/json"},
            limit_bytes=PERMIT_LIMIT_BYTES,
        )
        return judge_permit(answer)

    def request_permit(self, artifact: str, upstream: UpstreamName) -> Deferred[PermitOutcome]:
        """Ask once for one load of an artifact."""
        return self._ask_permit(artifact, upstream)


def judge_permit(answer: HttpResponse | Unavailable | Unknown) -> PermitOutcome:
    """Return what an answer says about a permit."""
    if not isinstance(answer, HttpResponse):
        return answer
    if answer.status == 429:
        return PermitDelayed(retry_after_s=read_retry_after(answer))
    if answer.status != 200:
        return classify_error_status(answer.status)
    try:
        permit = msgspec.json.decode(answer.body, type=_Answer).permit
    except msgspec.DecodeError:
        return Unknown(reason="the answer cannot be decoded")
    return Permit(permit=str(permit))


def read_retry_after(answer: HttpResponse) -> float:
    """Return the seconds of a ``Retry-After`` header, within sane limits."""
    values = answer.headers.getRawHeaders("retry-after") or [""]
    try:
        seconds = float(values[0])
    except ValueError:
        return DEFAULT_RETRY_AFTER_S
    return min(max(seconds, 0.0), MAX_RETRY_AFTER_S)

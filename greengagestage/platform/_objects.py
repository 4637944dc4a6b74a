"""A client for the platform's object store."""

from dataclasses import dataclass
from typing import Any
from urllib.parse import quote

from twisted.internet.defer import Deferred, succeed

from greengagestage.http1 import Endpoint
from greengagestage.outcomes import Unavailable, Unknown

from ._store_calls import CallOutcome, StoreAnswer, StoreCalls, classify_error_status


@dataclass(frozen=True, slots=True, kw_only=True)
class Stored:
    """The object has been written."""


@dataclass(frozen=True, slots=True, kw_only=True)
class AlreadyStored:
    """A conditional write found an existing object and left it unchanged."""


@dataclass(frozen=True, slots=True, kw_only=True)
class ObjectMissing:
    """No object exists under the key."""


PutOutcome = Stored | AlreadyStored | Unavailable | Unknown
GetOutcome = bytes | ObjectMissing | Unavailable


class ObjectClient:
    """Reads and writes whole objects of at most 8 MiB."""

    def __init__(self, *, reactor: Any, base_url: str, timeout_s: float) -> None:
        endpoint = Endpoint.from_url(base_url)
        self._calls = StoreCalls(reactor=reactor, endpoint=endpoint, timeout_s=timeout_s)

    def close(self) -> Deferred[None]:
        """Close the idle connections."""
        self._calls.close()
        return succeed(None)

    def put(self, key: str, data: bytes, only_if_absent: bool = False) -> Deferred[PutOutcome]:
        """Write an object atomically; with ``only_if_absent``, do not overwrite an existing one."""
        headers = [(b"Content-Type", b"application/octet-stream")]
        if only_if_absent:
            headers.append((b"If-None-Match", b"*"))
        target = "/blob-put/" + _quote(key)
        answer = self._calls.send(b"PUT", target, body=data, headers=headers)
        return answer.addCallback(_interpret_put)

    def get(self, key: str) -> Deferred[GetOutcome]:
        """Read a whole object."""
        return self._calls.send(b"GET", "/blob-get/" + _quote(key)).addCallback(_interpret_get)


def _quote(key: str) -> str:
    return quote(key, safe="")


def _interpret_put(answer: CallOutcome) -> PutOutcome:
    match answer:
        case StoreAnswer(status=412):
            return AlreadyStored()
        case StoreAnswer(status=status) if 200 <= status < 300:
            return Stored()
        case StoreAnswer(status=status):
            return classify_error_status(status)
        case _:
            return answer


def _interpret_get(answer: CallOutcome) -> GetOutcome:
    match answer:
        case StoreAnswer(status=200, framed=False):
            return Unavailable(reason="the object may be incomplete")
        case StoreAnswer(status=200, body=body):
            return body
        case StoreAnswer(status=404):
            return ObjectMissing()
        case StoreAnswer(status=status):
            return Unavailable(reason=f"status {status}")
        case _:
            return Unavailable(reason=answer.reason)

"""The client of the platform's lagging list of hosts and upstreams."""

from enum import Enum
from typing import Any

import msgspec
from msgspec import Struct
from twisted.internet.defer import Deferred, inlineCallbacks

from greengagestage.ids import FailureDomain, HostId, UpstreamName
from greengagestage.outcomes import Unavailable, Unknown

from ._http import HttpClient, HttpResponse

LIST_LIMIT_BYTES = 1024 * 1024


class HostState(Enum):
    """What the platform says of a host or an upstream."""

    LIVE = "live"
    LEAVING = "leaving"


class PlatformHost(Struct, frozen=True, kw_only=True):
    """A host of the system; ``address`` is the agent's peer address ``ip:port``."""

    host: HostId
    address: str
    failure_domain: FailureDomain
    state: HostState


class PlatformUpstream(Struct, frozen=True, kw_only=True):
    """An upstream that the platform knows."""

    name: UpstreamName
    state: HostState


class HostList(Struct, frozen=True, kw_only=True):
    """The list as the platform gave it, seconds old."""

    hosts: tuple[PlatformHost, ...]
    upstreams: tuple[PlatformUpstream, ...] = ()


class HostListClient:
    """Reads the host list."""

    def __init__(self, *, reactor: Any, base_url: str, timeout_s: float) -> None:
        self._http = HttpClient(reactor=reactor, base_url=base_url, timeout_s=timeout_s)

    def close(self) -> Deferred[Any]:
        """Close the idle connections."""
        return self._http.close()

    @inlineCallbacks
    def _read(self) -> Any:
        answer = yield self._http.send("GET", "/hosts", limit_bytes=LIST_LIMIT_BYTES)
        return judge_hosts(answer)

    def read(self) -> Deferred[HostList | Unavailable]:
        """Read the list once."""
        return self._read()


def judge_hosts(answer: HttpResponse | Unavailable | Unknown) -> HostList | Unavailable:
    """Return the list of an answer."""
    if not isinstance(answer, HttpResponse):
        return Unavailable(reason=answer.reason)
    if answer.status != 200:
        return Unavailable(reason=f"status {answer.status}")
    try:
        return msgspec.json.decode(answer.body, type=HostList)
    except msgspec.DecodeError:
        return Unavailable(reason="the answer cannot be decoded")

"""The client of the platform's list of hosts and upstreams, which lags behind the actual state."""

from enum import Enum
from typing import Any

import msgspec
from msgspec import Struct
from twisted.internet.defer import Deferred, inlineCallbacks

from greengagestage.ids import FailureDomain, HostId, UpstreamName
from greengagestage.outcomes import Unavailable, Unknown

from ._http import HttpClient, HttpResponse

MAX_HOST_LIST_BYTES = 1024 * 1024


class HostState(Enum):
    """The state of a host or an upstream according to the platform."""

    LIVE = "live"
    LEAVING = "leaving"


class PlatformHost(Struct, frozen=True, kw_only=True):
    """A host of the fleet; ``address`` is the peer address of its agent, ``ip:port``."""

    host: HostId
    address: str
    failure_domain: FailureDomain
    state: HostState


class PlatformUpstream(Struct, frozen=True, kw_only=True):
    """An upstream known to the platform."""

    name: UpstreamName
    state: HostState


class HostList(Struct, frozen=True, kw_only=True):
    """The list as returned by the platform; it is several seconds old."""

    hosts: tuple[PlatformHost, ...]
    upstreams: tuple[PlatformUpstream, ...] = ()


class HostListClient:
    """Reads the host list from the platform."""

    def __init__(self, *, reactor: Any, base_url: str, timeout_s: float) -> None:
        self._http = HttpClient(reactor=reactor, base_url=base_url, timeout_s=timeout_s)

    def close(self) -> Deferred[Any]:
        """Close the idle connections."""
        return self._http.close()

    @inlineCallbacks
    def _read(self) -> Any:
        response = yield self._http.send("GET", "/hosts", limit_bytes=MAX_HOST_LIST_BYTES)
        return parse_host_list(response)

    def read(self) -> Deferred[HostList | Unavailable]:
        """Send one request for the list, without retries."""
        return self._read()


def parse_host_list(response: HttpResponse | Unavailable | Unknown) -> HostList | Unavailable:
    """Decode the host list from a response; a failed read gives ``Unavailable``."""
    if not isinstance(response, HttpResponse):
        return Unavailable(reason=response.reason)
    if response.status != 200:
        return Unavailable(reason=f"status {response.status}")
    try:
        return msgspec.json.decode(response.body, type=HostList)
    except msgspec.DecodeError:
        return Unavailable(reason="the host list cannot be decoded")

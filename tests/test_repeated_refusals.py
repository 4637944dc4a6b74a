"""Refusals that an upstream sends a second time, at an address that several upstreams have used."""

from collections.abc import Callable
from dataclasses import dataclass, field
from functools import partial
from typing import Any

import pytest

from greengagestage.http1 import IncomingRequest, Responder
from greengagestage.ids import InstanceId

from . import host_harness as harness
from .cut_links import CutHost
from .host_harness import HostFleet, UpstreamStandin, running_fleet


@dataclass(kw_only=True)
class RestartedUpstream:
    """An upstream at the address of others that are still registered; it registers itself late.

    A refusal is repeated where the next answer on its connection is expected.

    Attributes:
        ended: The others, each of which gets the request before the upstream registers itself.
        status: Status of the refusals; a full upstream may not look at what a request names.
    """

    fleet: HostFleet
    upstream: UpstreamStandin
    ended: tuple[str, ...]
    status: int
    begun: list[bytes] = field(default_factory=list)
    refused: int = 0
    _repeated: dict[Any, bytes] = field(default_factory=dict)

    def __post_init__(self) -> None:
        self.upstream.behavior = self.handle
        self.upstream.former_names = self.ended
        for ended in self.ended:
            self.fleet.store.put("servers", ended, self.upstream.build_entry())
        self.fleet.store.remove("servers", self.upstream.name)

    def handle(self, _: UpstreamStandin, request: IncomingRequest, responder: Responder) -> None:
        transport: Any = responder.transport  # type: ignore[attr-defined]
        transport.write(self._repeated.pop(responder, b""))
        attempt = request.get(b"greengagestage-attempt-id") or b""
        if request.get(b"greengagestage-expect-instance") == self.upstream.name.encode():
            self.begun.append(attempt)
            harness.delay(0.02, harness.serve)(self.upstream, request, responder)
            return
        self.refused += 1
        statement = [] if self.status == 421 else [(b"Greengagestage-Not-Executed", b"1")]
        headers = [(b"Greengagestage-Attempt-Id", attempt), *statement]
        lines = b"".join(b"%s: %s\r\n" % header for header in headers)
        again = b"HTTP/1.1 %d Again\r\nContent-Length: 0\r\n%s\r\n" % (self.status, lines)
        self._repeated[responder] = again
        answer = partial(responder.answer, self.status, headers, b"")
        if self.refused < len(self.ended):
            answer()
        else:
            self.fleet.store.put("servers", self.upstream.name, self.upstream.build_entry())
            self._call_once_known(answer)

    def _call_once_known(self, call: Callable[[], None]) -> None:
        """Call once all hosts know that the upstream has registered itself."""
        name = InstanceId(self.upstream.name)
        if all(name in process._router.upstreams for process in self.fleet.processes):
            call()
        else:
            self.fleet.reactor.callLater(0.01, self._call_once_known, call)


# Guards against a caller that is told that its request was not run, or a second run of it, since
# the upstream that it went to at last sent an earlier refusal of the same request once more.
@pytest.mark.parametrize("status", [421, 503])
def test_a_repeated_refusal_of_the_same_request_proves_nothing(status: int) -> None:
    with running_fleet() as fleet:
        upstream = fleet.add_upstream("one")
        restarted = RestartedUpstream(
            fleet=fleet, upstream=upstream, ended=("two", "three"), status=status
        )
        fleet.start_host()
        fleet.wait_ready()
        caller = fleet.call("/order/x")
        assert (restarted.refused, restarted.begun) == (2, [b"a1"])
        assert caller.status == 200


# Guards against the same where other hosts forward the request, over connections of their own.
@pytest.mark.parametrize("status", [421, 503])
def test_a_repeated_refusal_through_another_host_proves_nothing(status: int) -> None:
    with running_fleet() as fleet:
        host = CutHost(fleet)
        host.lose_links()
        for name in ("archive-2", "archive-3"):
            fleet.store.remove("servers", name)
        host.others[1].stop()
        fleet.run_for(1.0)
        upstream = fleet.upstreams["archive-1"]
        restarted = RestartedUpstream(
            fleet=fleet, upstream=upstream, ended=("ended",), status=status
        )
        fleet.run_for(0.5)
        links = host.process._router.links
        links.record_unreachable(InstanceId("ended"), fleet.reactor.seconds())
        forwarded = host.forwarded
        caller = fleet.call("/order/x")
        assert (restarted.refused, restarted.begun) == (1, [b"a1"])
        assert (caller.status, host.forwarded) == (200, forwarded + 2)

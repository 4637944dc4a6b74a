"""What each end of a send proves of its request; the table in docs/design/crashes.md."""

from collections.abc import Iterator
from dataclasses import dataclass
from typing import Any, cast

import pytest

from greengagestage.gateway import _site
from greengagestage.http1 import IncomingRequest, Responder
from greengagestage.ids import Fingerprint

from . import host_harness as harness
from .cut_links import Cut, CutHost
from .host_harness import Behavior, HostFleet, UpstreamStandin, build_request, running_fleet
from .test_loss_evidence import break_off_later, crash_later, keep_idle

KNOWN_LOSSES = 2
CLEARED, UNCHANGED, COUNTED = 0, KNOWN_LOSSES, KNOWN_LOSSES + 1
EQUAL = Fingerprint("f")


@pytest.fixture
def fleet(monkeypatch: pytest.MonkeyPatch) -> Iterator[HostFleet]:
    monkeypatch.setattr(_site, "_compute_fingerprint", lambda request, metadata: EQUAL)
    with running_fleet() as running:
        yield running


def answer(status: int) -> Behavior:
    """Return a behavior that answers with a status and names its request."""

    def behave(upstream: UpstreamStandin, request: IncomingRequest, responder: Responder) -> None:
        responder.answer(status, harness.build_identity_headers(request), b"answer")

    return behave


def close_after(data: bytes) -> Behavior:
    """Return a behavior that sends bytes and closes the connection in order."""

    def behave(upstream: UpstreamStandin, request: IncomingRequest, responder: Responder) -> None:
        transport = cast(Any, responder).transport
        transport.unregisterProducer()
        names = b"".join(b"%s: %s\r\n" % each for each in harness.build_identity_headers(request))
        transport.write(data.replace(b"NAMES\r\n", names))
        upstream.reactor.callLater(0.05, transport.loseConnection)

    return behave


def crash_late(upstream: UpstreamStandin, request: IncomingRequest, responder: Responder) -> None:
    """Go on with the run beyond its deadline, and crash."""
    upstream.reactor.callLater(0.25, upstream.crash)


@dataclass(frozen=True, kw_only=True)
class End:
    """How a send ends.

    Attributes:
        leaves: The caller leaves after 0.05 s.
        has_idle: The host has idle connections to the upstream beside the one of the request.
        forwarded: Another host forwards the request.
        losses: Number of losses of equal requests that are known afterwards, two before.
    """

    behavior: Behavior
    path: str = "/order/x"
    deadline_ms: int = 2_000
    leaves: bool = False
    has_idle: bool = False
    forwarded: bool = False
    losses: int


UNFRAMED = harness.answer_without_framing(b"answer")
ENDS = {
    "success": End(behavior=harness.serve, losses=CLEARED),
    "success without framing": End(behavior=UNFRAMED, losses=CLEARED),
    "success that proves nothing": End(behavior=harness.answer_unidentified, losses=UNCHANGED),
    "error of the request": End(behavior=answer(404), losses=UNCHANGED),
    "error of the upstream": End(behavior=harness.fail, losses=UNCHANGED),
    "refusal": End(behavior=harness.refuse, losses=UNCHANGED),
    "refusal without proof": End(behavior=harness.refuse_without_proof, losses=UNCHANGED),
    "elsewhere": End(behavior=harness.answer_misdirected, losses=UNCHANGED),
    "malformed": End(behavior=close_after(b"no answer\r\n\r\n"), losses=UNCHANGED),
    "reset": End(behavior=harness.reset, losses=COUNTED),
    "reset in the answer": End(behavior=harness.crash, losses=COUNTED),
    "reset of one connection": End(behavior=harness.reset, has_idle=True, losses=UNCHANGED),
    "close": End(behavior=close_after(b""), losses=COUNTED),
    "close in the answer": End(
        behavior=close_after(b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\nNAMES\r\nans"),
        losses=COUNTED,
    ),
    "exit in an answer without framing": End(
        behavior=harness.answer_without_framing(b"answer", exits=True), losses=COUNTED
    ),
    "left, and the upstream crashes": End(
        behavior=crash_later, path="/lookup/x", leaves=True, has_idle=True, losses=COUNTED
    ),
    "left, and the upstream resets idle connections": End(
        behavior=break_off_later, path="/lookup/x", leaves=True, has_idle=True, losses=UNCHANGED
    ),
    "left": End(
        behavior=harness.hang, path="/lookup/x", leaves=True, has_idle=True, losses=UNCHANGED
    ),
    "deadline, and the upstream crashes": End(
        behavior=crash_late, deadline_ms=100, has_idle=True, losses=COUNTED
    ),
    "detached, and lost": End(
        behavior=harness.delay(0.1, harness.reset), leaves=True, losses=COUNTED
    ),
    "detached, and a success": End(
        behavior=harness.delay(0.1, harness.serve), leaves=True, losses=CLEARED
    ),
    "detached, and an error": End(
        behavior=harness.delay(0.1, harness.fail), leaves=True, losses=UNCHANGED
    ),
    "forwarded, and a success": End(behavior=harness.serve, forwarded=True, losses=CLEARED),
    "forwarded, and an error": End(behavior=harness.fail, forwarded=True, losses=UNCHANGED),
    "forwarded, and lost": End(behavior=harness.reset, forwarded=True, losses=COUNTED),
}


# Guards against a crashing request that is acquitted by an answer which does not show that it ran
# to its end, or whose crash is not seen since the send had ended in another way before.
@pytest.mark.parametrize("end", ENDS.values(), ids=ENDS.keys())
def test_the_end_of_a_send_clears_counts_or_changes_nothing(fleet: HostFleet, end: End) -> None:
    if end.forwarded:
        host = CutHost(fleet)
        host.lose_links(Cut.RESET)
        process = host.process
    else:
        fleet.add_upstream("u1")
        process = fleet.start_host()
        fleet.wait_ready()
    losses = process._crashes._losses
    losses.clear(EQUAL)
    for number in range(KNOWN_LOSSES):
        losses.record_loss(EQUAL, f"known-{number}", fleet.reactor.seconds())
    for upstream in fleet.upstreams.values():
        upstream.behavior = end.behavior
    keep_idle(process._pool, 2 * list(fleet.upstreams.values()) if end.has_idle else [])
    fleet.run_for(0.1)
    caller = fleet.connect(build_request(end.path, deadline_ms=end.deadline_ms))
    fleet.run_for(0.05)
    if end.leaves:
        caller.transport.abortConnection()
    fleet.run_for(0.6)
    known = losses.count_losses(EQUAL)
    assert (0 if known is None else known[0]) == end.losses

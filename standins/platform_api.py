"""The platform API, which accepts usage reports and orders of servers, run in a test process."""

from collections.abc import Mapping
from dataclasses import dataclass, field
from enum import Enum
from typing import Any

import msgspec

from greengagestage.http1 import IncomingRequest, LimitExceeded, Responder

HOLDER_HEADER = b"greengagestage-duty-holder"
TOKEN_HEADER = b"greengagestage-fencing-token"

MAX_REFUSED_REPEATS = 3
"""How often a refused token may be used again."""


class ApiFault(Enum):
    """How the API misbehaves.

    ``DOWN`` answers 503 and ``BUSY`` 429, both without effect. ``SILENT`` executes calls without
    answering them.
    """

    NONE = "none"
    DOWN = "down"
    BUSY = "busy"
    SILENT = "silent"


class _Usage(msgspec.Struct, frozen=True, kw_only=True):
    window: int = msgspec.field(name="WindowIndex")
    counts: dict[str, int] = msgspec.field(name="Counts")


class _Order(msgspec.Struct, frozen=True, kw_only=True):
    service: str = msgspec.field(name="Service")
    domain: str = msgspec.field(name="Zone")
    count: int = msgspec.field(name="DesiredCount")
    spot: bool = msgspec.field(name="Spot", default=False)


@dataclass(frozen=True, slots=True, kw_only=True)
class DutyCall:
    """A call that has reached the API."""

    at_s: float
    subject: str
    holder: str
    token: int


@dataclass(slots=True, kw_only=True)
class PlatformApi:
    """Executes calls, and finds those that break the rules for holders of duties.

    Attributes:
        lease_s: Duration of a lease, within which holders must not alternate.
        windows: The counts of the accepted windows.
        reported_s: When each of them was accepted.
        orders: The newest count by service, domain and whether it is of spot servers.
        findings: What has broken the rules.
    """

    reactor: Any
    lease_s: float = 3.0
    fault: ApiFault = ApiFault.NONE
    windows: dict[int, dict[str, int]] = field(default_factory=dict)
    reported_s: dict[int, float] = field(default_factory=dict)
    orders: dict[tuple[str, str, bool], int] = field(default_factory=dict)
    calls: list[DutyCall] = field(default_factory=list)
    findings: list[str] = field(default_factory=list)
    _newest: dict[str, DutyCall] = field(default_factory=dict)
    _refused: dict[tuple[str, int], int] = field(default_factory=dict)

    def handle(self, request: IncomingRequest, responder: Responder) -> None:
        """Execute one call, subject to the active fault."""
        if self.fault is ApiFault.DOWN:
            responder.answer(503, [], b"")
            return
        if self.fault is ApiFault.BUSY:
            responder.answer(429, [], b"")
            return
        match request.target:
            case b"/usage":
                usage = msgspec.json.decode(request.body, type=_Usage)
                status = self._check("usage", request)
                if status == 200:
                    self._record_usage(usage.window, usage.counts)
            case b"/scaling":
                order = msgspec.json.decode(request.body, type=_Order)
                status = self._check(f"scaling {order.service} {order.domain}", request)
                if status == 200:
                    self.orders[order.service, order.domain, order.spot] = order.count
            case _:
                status = 404
        if self.fault is not ApiFault.SILENT:
            responder.answer(status, [], b"")

    def explain_limit(self, limit: LimitExceeded) -> bytes:
        """Return the body of the answer to a request that exceeds a limit."""
        return limit.name.encode()

    def _check(self, subject: str, request: IncomingRequest) -> int:
        """Check the holder and the token of a call; return the status of the answer."""
        call = DutyCall(
            at_s=self.reactor.seconds(),
            subject=subject,
            holder=(request.get(HOLDER_HEADER) or b"").decode(),
            token=int(request.get(TOKEN_HEADER) or b"0"),
        )
        if request.get(b"content-type") != b"application/json":
            self.findings.append(f"{subject}: wrong content type")
        newest = self._newest.get(subject)
        self._check_alternation(call)
        self.calls.append(call)
        if newest is not None and call.token == newest.token and call.holder != newest.holder:
            self.findings.append(f"{subject}: {call.holder} and {newest.holder} have one token")
        if newest is not None and call.token < newest.token:
            self.findings.append(f"{subject}: {call.holder} has a lower token")
            self._count_refusal(call)
            return 409
        self._newest[subject] = call
        return 200

    def _check_alternation(self, call: DutyCall) -> None:
        recent = [
            earlier
            for earlier in self.calls
            if earlier.subject == call.subject and earlier.at_s > call.at_s - self.lease_s
        ]
        others = [earlier for earlier in recent if earlier.holder != call.holder]
        own = [earlier for earlier in recent if earlier.holder == call.holder]
        if own and others and own[0].at_s < others[-1].at_s:
            self.findings.append(f"{call.subject}: holders alternate at {call.holder}")

    def _count_refusal(self, call: DutyCall) -> None:
        key = call.holder, call.token
        self._refused[key] = self._refused.get(key, 0) + 1
        if self._refused[key] > MAX_REFUSED_REPEATS:
            self.findings.append(f"{call.subject}: {call.holder} repeats a refused token")

    def _record_usage(self, window: int, counts: Mapping[str, int]) -> None:
        known = self.windows.setdefault(window, dict(counts))
        self.reported_s.setdefault(window, self.reactor.seconds())
        if known != counts:
            self.findings.append(f"usage: window {window} was reported with other counts")

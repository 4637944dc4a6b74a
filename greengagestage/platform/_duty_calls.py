"""A client for the platform API, which accepts usage reports and orders of servers."""

from collections.abc import Callable, Mapping
from dataclasses import dataclass
from typing import Any

import msgspec
from msgspec import Struct, field
from twisted.internet.defer import Deferred, succeed

from greengagestage.http1 import Endpoint
from greengagestage.ids import FailureDomain, HostId, ServiceName, WorkspaceId
from greengagestage.outcomes import Unavailable, Unknown

from ._headers import DUTY_HOLDER, FENCING_TOKEN
from ._store_calls import CallOutcome, StoreAnswer, StoreCalls

CALL_TIMEOUT_S = 2.0
"""Time limit for a response. The platform may execute a call later, also after this time."""

OWN_SHARE = 0.5
"""Part of the API's rate that one host uses: two hosts may hold a duty each."""

MIN_BURST = 1.0
BURST_S = 0.5
"""Calls that may be sent at once, as time at the allowed rate."""


@dataclass(frozen=True, slots=True, kw_only=True)
class Accepted:
    """The platform has executed the call."""


@dataclass(frozen=True, slots=True, kw_only=True)
class Refused:
    """The token is lower than one already seen or, for an order, there are no servers now."""


@dataclass(frozen=True, slots=True, kw_only=True)
class Busy:
    """The call had no effect: too many calls at the platform, or from this host.

    Attributes:
        sent: Whether the platform has refused the call. Otherwise it was not sent.
    """

    sent: bool = True


DutyOutcome = Accepted | Refused | Busy | Unavailable | Unknown


class _UsageBody(Struct, frozen=True, kw_only=True):
    window: int = field(name="WindowIndex")
    counts: Mapping[WorkspaceId, int] = field(name="Counts")


class _OrderBody(Struct, frozen=True, kw_only=True, omit_defaults=True):
    service: ServiceName = field(name="Service")
    domain: FailureDomain = field(name="Zone")
    count: int = field(name="DesiredCount")
    spot: bool = field(name="Spot", default=False)


class DutyCalls:
    """Sends calls to the platform API; never retries one.

    At most one call for each subject is in flight, and at most half of the API's rate is used.
    Calls beyond that are not sent and end as ``Busy``.

    Args:
        is_current: Whether a token may still be used. It is asked again immediately before a call
            is sent, since opening a connection takes time.

    Attributes:
        unanswered_s: Time from the sending of the first call to the end of the last one, of all
            calls since the last response; 0 if the last call got a response.
    """

    def __init__(
        self,
        *,
        reactor: Any,
        address: tuple[str, int],
        host: HostId,
        calls_per_s: float,
        is_current: Callable[[int], bool],
    ) -> None:
        self._is_current = is_current
        self.unanswered_s = 0.0
        self._unanswered_since_s: float | None = None
        self._seconds: Callable[[], float] = reactor.seconds
        self._host = host
        self._rate_per_s = calls_per_s * OWN_SHARE
        self._burst = max(self._rate_per_s * BURST_S, MIN_BURST)
        self._allowance = self._burst
        self._refilled_s = reactor.seconds()
        self._in_flight: set[object] = set()
        self._calls = StoreCalls(
            reactor=reactor,
            endpoint=Endpoint(address=address[0], port=address[1]),
            timeout_s=CALL_TIMEOUT_S,
        )

    def report_usage(
        self, token: int, window: int, counts: Mapping[WorkspaceId, int]
    ) -> Deferred[DutyOutcome]:
        """Report the requests that began in a usage window, by workspace.

        A repeated report of a window must have the same counts.
        """
        body = _UsageBody(window=window, counts=counts)
        return self._send("/usage", "usage", token, body)

    def order_servers(
        self, token: int, service: ServiceName, domain: FailureDomain, count: int, spot: bool
    ) -> Deferred[DutyOutcome]:
        """Order the number of servers of a service and kind in a domain, until the next order."""
        body = _OrderBody(service=service, domain=domain, count=count, spot=spot)
        return self._send("/scaling", (service, domain), token, body)

    def forget_unanswered(self) -> None:
        """Set ``unanswered_s`` to 0, as at the begin of a term."""
        self._unanswered_since_s = None
        self.unanswered_s = 0.0

    def close(self) -> None:
        """Close the idle connections."""
        self._calls.close()

    def _send(self, path: str, subject: object, token: int, body: Struct) -> Deferred[DutyOutcome]:
        if subject in self._in_flight or not self._try_spend():
            return succeed(Busy(sent=False))
        self._in_flight.add(subject)
        sent_s = self._seconds()
        headers = [
            (b"Content-Type", b"application/json"),
            (DUTY_HOLDER, self._host.encode()),
            (FENCING_TOKEN, b"%d" % token),
        ]
        answer = self._calls.send(
            b"POST",
            path,
            body=msgspec.json.encode(body),
            headers=headers,
            may_send=lambda: self._is_current(token),
        )
        return answer.addCallback(self._end, subject, sent_s)

    def _try_spend(self) -> bool:
        now_s = self._seconds()
        refill = (now_s - self._refilled_s) * self._rate_per_s
        self._allowance = min(self._allowance + refill, self._burst)
        self._refilled_s = now_s
        if self._allowance < 1.0:
            return False
        self._allowance -= 1.0
        return True

    def _end(self, answer: CallOutcome, subject: object, sent_s: float) -> DutyOutcome:
        self._in_flight.discard(subject)
        if isinstance(answer, StoreAnswer):
            self.forget_unanswered()
        else:
            if self._unanswered_since_s is None:
                self._unanswered_since_s = sent_s
            self.unanswered_s = self._seconds() - self._unanswered_since_s
        return _interpret(answer)


def _interpret(answer: CallOutcome) -> DutyOutcome:
    match answer:
        case Unavailable() | Unknown():
            return answer
        case StoreAnswer(status=200):
            return Accepted()
        case StoreAnswer(status=409):
            return Refused()
        case StoreAnswer(status=429):
            return Busy()
        case StoreAnswer(status=503):
            return Unavailable(reason="status 503")
        case StoreAnswer(status=status):
            return Unknown(reason=f"status {status}")

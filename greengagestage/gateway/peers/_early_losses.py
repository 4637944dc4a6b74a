"""Reports between hosts of answers that have just been lost, before it is judged whether upstreams
have crashed."""

from collections import deque
from collections.abc import Callable, Iterable
from typing import Any

from greengagestage.ids import Fingerprint
from greengagestage.routing import ObservedLoss

from ._peer_messages import EarlyLoss, EarlyLossesReport

COLLECTION_S = 0.01
"""Time for which losses are collected. Hosts judge a loss after 0.1 s, by those of 0.05 s before
and after it, which leaves 0.04 s for the way of a report."""

HURRY_PAUSE_S = 0.1
"""Pause after a report that was sent at once, since equal requests had been lost twice."""

MAX_REPORT_BYTES = 1_200
ENTRY_BYTES = 24
"""Size of the entries of one datagram, and of one of them without its texts. Only one is sent at a
time: losses that do not fit have a common cause."""

MAX_REPORTS = 10
"""Maximum number of reports in a second, each of which goes to all hosts. A quarantine takes three
losses; a host whose callers lose more has other trouble."""


class EarlyLossReporter:
    """Collects the losses of some milliseconds, and reports them to all hosts.

    Args:
        send: Sends a report to all other hosts.
    """

    def __init__(self, *, reactor: Any, send: Callable[[EarlyLossesReport], None]) -> None:
        self._reactor = reactor
        self._send = send
        self._losses: list[ObservedLoss] = []
        self._bytes = 0
        self._reported_s: deque[float] = deque(maxlen=MAX_REPORTS)
        self._hurried_s = float("-inf")
        self._timer: Any = None

    def add(self, loss: ObservedLoss) -> None:
        """Report a loss soon, unless too many others are, or have been, reported.

        The second of two equal requests is reported at once: its caller may be about to send it
        through another host.
        """
        size = _measure(loss)
        if self._bytes + size > MAX_REPORT_BYTES or self._has_reported_enough():
            return
        is_repeated = any(other.fingerprint == loss.fingerprint for other in self._losses)
        self._losses.append(loss)
        self._bytes += size
        now_s = self._reactor.seconds()
        if is_repeated and now_s - self._hurried_s >= HURRY_PAUSE_S:
            self._hurried_s = now_s
            self._timer.cancel()
            self._report()
        elif self._timer is None:
            self._timer = self._reactor.callLater(COLLECTION_S, self._report)

    def _has_reported_enough(self) -> bool:
        reported_s = self._reported_s
        oldest_s = self._reactor.seconds() - 1.0
        return len(reported_s) == MAX_REPORTS and reported_s[0] > oldest_s

    def _report(self) -> None:
        losses, self._losses, self._bytes = self._losses, [], 0
        self._timer = None
        now_s = self._reactor.seconds()
        self._reported_s.append(now_s)
        self._send(EarlyLossesReport([_encode(loss, now_s) for loss in losses]))


def read_early_losses(report: EarlyLossesReport, now_s: float) -> Iterable[ObservedLoss]:
    """Yield the losses of a report, with times of this host's clock."""
    for loss in report.losses:
        yield ObservedLoss(
            fingerprint=Fingerprint(loss.fingerprint),
            address=loss.address,
            port=loss.port,
            sent_s=now_s - max(loss.sent_ms, 0) / 1_000,
            lost_s=now_s - max(loss.lost_ms, 0) / 1_000,
        )


def _measure(loss: ObservedLoss) -> int:
    return ENTRY_BYTES + len(loss.fingerprint.encode()) + len(loss.address.encode())


def _encode(loss: ObservedLoss, now_s: float) -> EarlyLoss:
    return EarlyLoss(
        loss.fingerprint,
        loss.address,
        loss.port,
        round((now_s - loss.sent_s) * 1_000),
        round((now_s - loss.lost_s) * 1_000),
    )

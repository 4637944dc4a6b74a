"""Reports between hosts of answers that have just been lost, before it is judged whether upstreams
have crashed."""

from collections.abc import Callable, Iterable
from typing import Any

from greengagestage.ids import Fingerprint
from greengagestage.routing import ObservedLoss

from ._peer_messages import EarlyLoss, EarlyLossesReport

COLLECTION_S = 0.01
"""Time for which losses are collected. Hosts judge a loss after 0.1 s, by those of 0.05 s before
and after it."""

MAX_EARLY_LOSSES = 18
"""Maximum number of losses that are reported at a time, in one datagram with 60 bytes for each.
More of them at once have a common cause."""


class EarlyLossReporter:
    """Collects the losses of some milliseconds, and reports them to all hosts.

    Args:
        send: Sends a report to all other hosts.
    """

    def __init__(self, *, reactor: Any, send: Callable[[EarlyLossesReport], None]) -> None:
        self._reactor = reactor
        self._send = send
        self._losses: list[ObservedLoss] = []

    def add(self, loss: ObservedLoss) -> None:
        """Report a loss soon, unless too many others are to be reported."""
        if not self._losses:
            self._reactor.callLater(COLLECTION_S, self._report)
        if len(self._losses) < MAX_EARLY_LOSSES:
            self._losses.append(loss)

    def _report(self) -> None:
        losses, self._losses = self._losses, []
        now_s = self._reactor.seconds()
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


def _encode(loss: ObservedLoss, now_s: float) -> EarlyLoss:
    return EarlyLoss(
        loss.fingerprint,
        loss.address,
        loss.port,
        round((now_s - loss.sent_s) * 1_000),
        round((now_s - loss.lost_s) * 1_000),
    )

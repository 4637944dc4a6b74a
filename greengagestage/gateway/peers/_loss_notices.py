"""Notices to other hosts of lost answers, before it is judged what they were lost to."""

from collections.abc import Callable, Iterable
from typing import Any

from greengagestage.ids import Fingerprint
from greengagestage.routing import ObservedLoss

from ._peer_messages import NoticedLoss, NoticesReport

NOTICE_DELAY_S = 0.01
"""Time for which losses are collected. Hosts judge a loss after 0.1 s, by those of 0.05 s before
and after it."""

MAX_NOTICES = 18
"""Maximum number of losses that are told at a time, in one datagram with some 60 bytes for each.
More of them at once have a common cause."""


class LossNotices:
    """Collects the losses of some milliseconds, and has them told to all hosts.

    Args:
        send: Sends a report to all other hosts.
    """

    def __init__(self, *, reactor: Any, send: Callable[[NoticesReport], None]) -> None:
        self._reactor = reactor
        self._send = send
        self._losses: list[ObservedLoss] = []

    def add(self, loss: ObservedLoss) -> None:
        """Tell of a loss soon, unless too many others are to be told."""
        if not self._losses:
            self._reactor.callLater(NOTICE_DELAY_S, self._tell)
        if len(self._losses) < MAX_NOTICES:
            self._losses.append(loss)

    def _tell(self) -> None:
        losses, self._losses = self._losses, []
        now_s = self._reactor.seconds()
        self._send(NoticesReport([_encode(loss, now_s) for loss in losses]))


def read_notices(report: NoticesReport, now_s: float) -> Iterable[ObservedLoss]:
    """Yield the losses of a report, with times of this host's clock."""
    for notice in report.losses:
        yield ObservedLoss(
            fingerprint=Fingerprint(notice.fingerprint),
            address=notice.address,
            port=notice.port,
            sent_s=now_s - max(notice.sent_ms, 0) / 1_000,
            lost_s=now_s - max(notice.lost_ms, 0) / 1_000,
        )


def _encode(loss: ObservedLoss, now_s: float) -> NoticedLoss:
    return NoticedLoss(
        loss.fingerprint,
        loss.address,
        loss.port,
        round((now_s - loss.sent_s) * 1_000),
        round((now_s - loss.lost_s) * 1_000),
    )

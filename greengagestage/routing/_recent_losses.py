"""The answers that all hosts have lost lately, to tell crashes from failures of a host's links.

Connections to several upstreams that end at the same time have a common cause, unless equal
requests explain it: a request that crashes upstreams is sent again at once, by its caller through
any host, so that the crashes under it are milliseconds apart.
"""

from collections import deque
from collections.abc import Mapping
from dataclasses import dataclass
from itertools import islice

from greengagestage.ids import Fingerprint

RECENT_S = 1.0
"""Time for which losses are kept: ten times that after which a loss is judged."""

JUDGING_S = 0.2
"""Time after which hosts usually know whether a loss counts: judged after 0.1 s, then told."""

MAX_EQUAL = 64
MAX_FINGERPRINTS = 2_048
"""Maximum numbers of losses kept under equal requests, of which a quarantine takes three, and of
fingerprints. The first known ones are dropped: where so many are lost, links have failed."""


@dataclass(frozen=True, slots=True, kw_only=True)
class ObservedLoss:
    """An answer whose connection ended before it was complete, as its host has seen it.

    Attributes:
        address: Address of the upstream, and ``port`` its port.
        sent_s: Time at which the request was sent.
        lost_s: Time at which the answer was lost. Both are times of this host's clock; those of a
            loss at another host are too late by the time for which its message was on its way.
        seen_here: Whether this host has seen the loss, so that its times are exact.
    """

    fingerprint: Fingerprint
    address: str
    port: int
    sent_s: float
    lost_s: float
    seen_here: bool = False

    @property
    def endpoint(self) -> tuple[str, int]:
        """Address and port of the upstream."""
        return self.address, self.port

    @property
    def duration_s(self) -> float:
        """Time from the send to the loss, which the delay of a message does not change."""
        return self.lost_s - self.sent_s


class RecentLosses:
    """The losses of the last second, on this host and on others."""

    def __init__(self) -> None:
        self._losses: dict[Fingerprint, deque[ObservedLoss]] = {}

    def add(self, loss: ObservedLoss) -> None:
        """Keep a loss for a while."""
        equal = self._losses.pop(loss.fingerprint, None) or deque(maxlen=MAX_EQUAL)
        equal.append(loss)
        self._losses[loss.fingerprint] = equal
        oldest_s = loss.lost_s - RECENT_S
        while equal[0].lost_s < oldest_s:
            equal.popleft()
        for fingerprint, losses in list(islice(self._losses.items(), 2)):
            if losses[-1].lost_s < oldest_s or len(self._losses) > MAX_FINGERPRINTS:
                del self._losses[fingerprint]

    def lost_several(self, fingerprint: Fingerprint, now_s: float) -> bool:
        """Whether equal requests were lost at several upstreams, and hosts still judge that."""
        judged_s = now_s - JUDGING_S
        equal = self._losses.get(fingerprint, ())
        return len({loss.endpoint for loss in equal if loss.lost_s > judged_s}) > 1

    def list_unexplained(
        self, loss: ObservedLoss, ended_s: Mapping[tuple[str, int], float]
    ) -> list[tuple[str, int]]:
        """Return the upstreams whose connections equal requests do not explain.

        An equal request explains them if it was lost there, and one of the two was sent after the
        answer to the other one was lost. Requests under way together are lost to a common cause.

        Args:
            loss: A loss of this host.
            ended_s: When this host's connections to upstreams ended, by address and port. The loss
                of another host's request at one of them was at that time, too.
        """
        equal = self._losses.get(loss.fingerprint, ())
        explained = {
            other.endpoint
            for other in equal
            if other.endpoint in ended_s and _are_successive(loss, other, ended_s[other.endpoint])
        }
        return [each for each in ended_s if each == loss.endpoint or each not in explained]

    def stands_for(self, loss: ObservedLoss, ended_s: Mapping[tuple[str, int], float]) -> bool:
        """Whether a loss beside others says something about its request if its upstream has ended.

        It does if equal requests were lost at all the upstreams: another cause would have had to
        choose just these. Where others ended as well, equal requests say no more than one of them,
        the first one at the first of the upstreams, on which all hosts agree.

        Args:
            loss: A loss of this host.
            ended_s: As for ``list_unexplained``.
        """
        equal = [
            other
            for other in self._losses.get(loss.fingerprint, ())
            if other.endpoint in ended_s or other == loss
        ]
        if {other.endpoint for other in equal} >= set(ended_s):
            return True
        return min(equal, key=lambda other: other.endpoint, default=loss) == loss


def _are_successive(loss: ObservedLoss, other: ObservedLoss, ended_s: float) -> bool:
    """Whether one of two requests was sent after the answer to the other one was lost.

    Args:
        ended_s: When this host's connections to the upstream of the other request ended.
    """
    sent_s, lost_s = other.sent_s, other.lost_s
    if not other.seen_here:
        sent_s, lost_s = ended_s - other.duration_s, ended_s
    return loss.sent_s >= lost_s or sent_s >= loss.lost_s

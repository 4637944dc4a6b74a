"""What upstreams have stated about further requests of this host."""

from collections.abc import Collection
from dataclasses import dataclass

from greengagestage.ids import Incarnation

from ._rejection_guard import RejectionGuard
from ._request_pacer import RequestPacer

MAX_REMEMBERED = 1_024
"""Maximum number of incarnations that are remembered although the registry does not list them. An
entry can be missing for a while and come back."""


@dataclass(slots=True, kw_only=True)
class Notice:
    """What one incarnation of an upstream has stated.

    Attributes:
        leaving: It is about to end. This is never withdrawn.
        paused_until_s: It wants no requests until then.
        pacer: Keeps to the request rate that it names; None while it names none.
        limited_s: When it last named a rate.
        guard: Keeps requests away that it would turn away; None unless it says that it is brittle.
    """

    leaving: bool = False
    paused_until_s: float = 0.0
    pacer: RequestPacer | None = None
    limited_s: float = 0.0
    guard: RejectionGuard | None = None

    def allows_requests(self, now_s: float) -> bool:
        """Whether the incarnation accepts new requests, as far as it has stated."""
        return not self.leaving and now_s >= self.paused_until_s

    def is_in_effect(self, now_s: float) -> bool:
        """Whether the incarnation has stated anything that still restricts requests."""
        restricted = self.pacer is not None or self.guard is not None
        return restricted or not self.allows_requests(now_s)


class NoticeBoard:
    """The notices of all incarnations, which outlive their entries in the registry."""

    def __init__(self) -> None:
        self._notices: dict[Incarnation, Notice] = {}

    def __len__(self) -> int:
        return len(self._notices)

    def get(self, incarnation: Incarnation) -> Notice:
        """Return the notice of an incarnation, which may be modified."""
        return self._notices.setdefault(incarnation, Notice())

    def forget_except(self, listed: Collection[Incarnation], now_s: float) -> None:
        """Forget unlisted incarnations: those without a notice in effect, and the oldest ones.

        The oldest ones are forgotten beyond a limit.
        """
        unlisted = [incarnation for incarnation in self._notices if incarnation not in listed]
        for incarnation in unlisted:
            if not self._notices[incarnation].is_in_effect(now_s):
                del self._notices[incarnation]
        remembered = [incarnation for incarnation in unlisted if incarnation in self._notices]
        for incarnation in remembered[:-MAX_REMEMBERED]:
            del self._notices[incarnation]

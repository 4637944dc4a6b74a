"""What upstreams have stated about further requests of this host."""

from collections.abc import Collection
from dataclasses import dataclass

from greengagestage.ids import InstanceId

MAX_REMEMBERED = 1_024
"""Maximum number of incarnations that are remembered although the registry does not list them. An
entry can be missing for a while and come back."""

Incarnation = tuple[InstanceId, int | None]


@dataclass(slots=True, kw_only=True)
class Notice:
    """What one incarnation of an upstream has stated.

    Attributes:
        leaving: It is about to end. This is never withdrawn.
    """

    leaving: bool = False

    @property
    def allows_requests(self) -> bool:
        """Whether the incarnation accepts new requests, as far as it has stated."""
        return not self.leaving


class NoticeBoard:
    """The notices of all incarnations, which outlive their entries in the registry."""

    def __init__(self) -> None:
        self._notices: dict[Incarnation, Notice] = {}

    def __len__(self) -> int:
        return len(self._notices)

    def get(self, incarnation: Incarnation) -> Notice:
        """Return the notice of an incarnation, which may be modified."""
        return self._notices.setdefault(incarnation, Notice())

    def forget_except(self, listed: Collection[Incarnation]) -> None:
        """Forget unlisted incarnations: empty notices and, beyond a limit, the oldest ones."""
        unlisted = [incarnation for incarnation in self._notices if incarnation not in listed]
        for incarnation in unlisted:
            if self._notices[incarnation] == Notice():
                del self._notices[incarnation]
        remembered = [incarnation for incarnation in unlisted if incarnation in self._notices]
        for incarnation in remembered[:-MAX_REMEMBERED]:
            del self._notices[incarnation]

"""Losses that count once the registry shows that their upstreams have ended, without I/O."""

from collections.abc import Callable
from dataclasses import dataclass
from typing import TypeVar

from greengagestage.catalog import RegisteredUpstream
from greengagestage.ids import Fingerprint, Incarnation

Key = TypeVar("Key")


@dataclass(frozen=True, slots=True, kw_only=True)
class AwaitedEnd:
    """A loss that counts if its upstream has ended.

    Attributes:
        lost_s: Time of the loss.
        on_ended: Called if the upstream has ended.
    """

    upstream: RegisteredUpstream
    fingerprint: Fingerprint
    lost_s: float
    on_ended: Callable[[], None]


class AwaitedEnds:
    """The losses that await the ends of their upstreams.

    Args:
        most: Maximum number of losses; the oldest ones are dropped.
    """

    def __init__(self, *, most: int) -> None:
        self._most = most
        self._added = 0
        self._ends: dict[int, AwaitedEnd] = {}
        self._by_incarnation: dict[Incarnation, dict[int, AwaitedEnd]] = {}
        self._by_fingerprint: dict[Fingerprint, dict[int, AwaitedEnd]] = {}

    def add(self, end: AwaitedEnd) -> None:
        """Await one more end."""
        self._added += 1
        self._ends[self._added] = end
        self._by_incarnation.setdefault(end.upstream.incarnation, {})[self._added] = end
        self._by_fingerprint.setdefault(end.fingerprint, {})[self._added] = end
        if len(self._ends) > self._most:
            self._remove(next(iter(self._ends)))

    def has_equal(self, fingerprint: Fingerprint) -> bool:
        """Whether the loss of an equal request awaits an end."""
        return fingerprint in self._by_fingerprint

    def list_incarnations(self) -> list[Incarnation]:
        """Return the upstreams whose ends are awaited."""
        return list(self._by_incarnation)

    def take(self, incarnation: Incarnation) -> list[AwaitedEnd]:
        """Return the losses at an upstream, and await its end no more."""
        ends = self._by_incarnation.get(incarnation, {})
        return [self._remove(number) for number in list(ends)]

    def forget_alive(self, incarnation: Incarnation, at_s: float) -> None:
        """Forget the losses up to a time at which an upstream was alive."""
        for number, end in list(self._by_incarnation.get(incarnation, {}).items()):
            if end.lost_s <= at_s:
                self._remove(number)

    def forget_answered(self, fingerprint: Fingerprint, sent_s: float) -> None:
        """Forget the losses after which an equal request was sent that has been answered."""
        for number, end in list(self._by_fingerprint.get(fingerprint, {}).items()):
            if end.lost_s <= sent_s:
                self._remove(number)

    def _remove(self, number: int) -> AwaitedEnd:
        end = self._ends.pop(number)
        _remove_from(self._by_incarnation, end.upstream.incarnation, number)
        _remove_from(self._by_fingerprint, end.fingerprint, number)
        return end


def _remove_from(index: dict[Key, dict[int, AwaitedEnd]], key: Key, number: int) -> None:
    del index[key][number]
    if not index[key]:
        del index[key]

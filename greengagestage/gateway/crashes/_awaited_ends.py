"""Losses that count once the registry shows that their upstreams have ended, without I/O."""

from collections.abc import Callable
from dataclasses import dataclass
from typing import TypeVar

from greengagestage.ids import Fingerprint, Incarnation

from ._lost_answer import LostAnswer

Key = TypeVar("Key")


@dataclass(frozen=True, slots=True, kw_only=True)
class AwaitedEnd:
    """A loss that counts if its upstream has ended.

    Attributes:
        until_s: Time by which the run had ended: that of the loss, or later if the run was left.
        on_ended: Called if the upstream has ended.
        on_connection_lost: Called if connections to the upstream end by then, with the time; None
            if they show nothing.
    """

    lost: LostAnswer
    until_s: float
    on_ended: Callable[[], None]
    on_connection_lost: Callable[[float], None] | None = None


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
        self._by_endpoint: dict[tuple[str, int], dict[int, AwaitedEnd]] = {}

    def add(self, end: AwaitedEnd) -> None:
        """Await one more end."""
        self._added += 1
        self._ends[self._added] = end
        lost = end.lost
        self._by_incarnation.setdefault(lost.upstream.incarnation, {})[self._added] = end
        self._by_fingerprint.setdefault(lost.fingerprint, {})[self._added] = end
        self._by_endpoint.setdefault(_get_endpoint(lost), {})[self._added] = end
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

    def handle_connection_lost(self, address: str, port: int, now_s: float) -> None:
        """Report the end of a connection to the runs at an address that may have gone on."""
        ends = self._by_endpoint.get((address, port), {})
        reported = [
            (number, end.on_connection_lost)
            for number, end in ends.items()
            if end.on_connection_lost is not None and now_s <= end.until_s
        ]
        for number, _ in reported:
            self._remove(number)
        for _, on_connection_lost in reported:
            on_connection_lost(now_s)

    def forget_alive(self, incarnation: Incarnation, at_s: float) -> None:
        """Forget the runs that had ended at a time at which an upstream was alive."""
        for number, end in list(self._by_incarnation.get(incarnation, {}).items()):
            if end.until_s <= at_s:
                self._remove(number)

    def forget_answered(self, fingerprint: Fingerprint, sent_s: float) -> None:
        """Forget the losses after which an equal request was sent that has been answered."""
        for number, end in list(self._by_fingerprint.get(fingerprint, {}).items()):
            if end.lost.lost_s <= sent_s:
                self._remove(number)

    def _remove(self, number: int) -> AwaitedEnd:
        end = self._ends.pop(number)
        _remove_from(self._by_incarnation, end.lost.upstream.incarnation, number)
        _remove_from(self._by_fingerprint, end.lost.fingerprint, number)
        _remove_from(self._by_endpoint, _get_endpoint(end.lost), number)
        return end


def _get_endpoint(lost: LostAnswer) -> tuple[str, int]:
    return lost.upstream.address, lost.upstream.port


def _remove_from(index: dict[Key, dict[int, AwaitedEnd]], key: Key, number: int) -> None:
    del index[key][number]
    if not index[key]:
        del index[key]

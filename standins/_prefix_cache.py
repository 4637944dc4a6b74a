"""A prefix cache of limited size whose events are published late and with gaps."""

from collections import OrderedDict
from dataclasses import dataclass

import xxhash
from msgspec import Struct

from ._output import BYTES_PER_TOKEN, PREFIX_BYTES_SHORTEST, Prompt

_GAP_SCALE = 10_000
_EVENTS_KEPT = 4096


class CacheEvent(Struct, frozen=True, kw_only=True):
    """A prefix entered or left the cache; ``kind`` is ``stored`` or ``evicted``."""

    seq: int
    kind: str
    prefix: int


@dataclass(frozen=True, slots=True, kw_only=True)
class _Recorded:
    at_s: float
    event: CacheEvent


class PrefixCache:
    """Prefix hashes in order of their last use.

    Attributes:
        capacity_tokens: Total length of the prefixes kept.
        event_lag_s: Age at which an event becomes visible.
        gap_share: Fraction of events that are never published.
    """

    def __init__(
        self, *, capacity_tokens: int, event_lag_s: float, gap_share: float, seed: int
    ) -> None:
        self.capacity_tokens = capacity_tokens
        self.event_lag_s = event_lag_s
        self.gap_share = gap_share
        self._seed = seed
        self._entries: OrderedDict[int, int] = OrderedDict()
        self._used_tokens = 0
        self._events: list[_Recorded] = []
        self._next_seq = 1

    def count_cached_tokens(self, prompt: Prompt) -> int:
        """Return the length of the longest cached prefix, and mark it as used."""
        for index in range(len(prompt.prefixes) - 1, -1, -1):
            if prompt.prefixes[index] in self._entries:
                self._entries.move_to_end(prompt.prefixes[index])
                return _count_prefix_tokens(index)
        return 0

    def store(self, prompt: Prompt, now_s: float) -> None:
        """Keep a prompt's prefixes and evict what was not used for longest."""
        for index, prefix in enumerate(prompt.prefixes):
            if prefix in self._entries:
                self._entries.move_to_end(prefix)
                continue
            cost = _count_added_tokens(index)
            self._entries[prefix] = cost
            self._used_tokens += cost
            self._record("stored", prefix, now_s)
        self.shrink(now_s)

    def shrink(self, now_s: float, reserved_tokens: int = 0) -> None:
        """Evict until the entries and the reserved tokens fit."""
        while self._entries and self._used_tokens + reserved_tokens > self.capacity_tokens:
            prefix, cost = self._entries.popitem(last=False)
            self._used_tokens -= cost
            self._record("evicted", prefix, now_s)

    def list_events(self, after: int, now_s: float) -> tuple[list[CacheEvent], int]:
        """Return the visible events after a sequence number, and the next number to ask with."""
        visible = [item.event for item in self._events if item.at_s + self.event_lag_s <= now_s]
        newer = [event for event in visible if event.seq > after]
        return [event for event in newer if not self._is_gap(event)], max(
            [after, *(event.seq for event in newer)]
        )

    def _record(self, kind: str, prefix: int, now_s: float) -> None:
        event = CacheEvent(seq=self._next_seq, kind=kind, prefix=prefix)
        self._next_seq += 1
        self._events.append(_Recorded(at_s=now_s, event=event))
        if len(self._events) > 2 * _EVENTS_KEPT:
            self._events = self._events[-_EVENTS_KEPT:]

    def _is_gap(self, event: CacheEvent) -> bool:
        mixed = xxhash.xxh64_intdigest(event.seq.to_bytes(8, "little"), seed=self._seed)
        return mixed % _GAP_SCALE < self.gap_share * _GAP_SCALE


def _count_prefix_tokens(index: int) -> int:
    return int(PREFIX_BYTES_SHORTEST * 2**index) // BYTES_PER_TOKEN


def _count_added_tokens(index: int) -> int:
    if index == 0:
        return _count_prefix_tokens(0)
    return _count_prefix_tokens(index) - _count_prefix_tokens(index - 1)

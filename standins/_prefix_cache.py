"""An LRU prefix cache whose events are published with a delay and with gaps."""

from collections import OrderedDict
from dataclasses import dataclass

import xxhash
from msgspec import Struct

from ._output import BYTES_PER_TOKEN, SHORTEST_PREFIX_BYTES, Prompt

_GAP_SHARE_SCALE = 10_000
_RETAINED_EVENTS = 4096


class CacheEvent(Struct, frozen=True, kw_only=True):
    """A prefix was added or removed; ``kind`` is ``stored`` or ``evicted``."""

    seq: int
    kind: str
    prefix: int


@dataclass(frozen=True, slots=True, kw_only=True)
class _RecordedEvent:
    at_s: float
    event: CacheEvent


class PrefixCache:
    """Prefix hashes in the order of their last use.

    Attributes:
        capacity_tokens: Maximum total length of the cached prefixes.
        event_lag_s: Delay before an event is published.
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
        self._events: list[_RecordedEvent] = []
        self._next_seq = 1

    def match_prefix(self, prompt: Prompt) -> int:
        """Return the length in tokens of the longest cached prefix, and mark it as used."""
        for index in range(len(prompt.prefixes) - 1, -1, -1):
            if prompt.prefixes[index] in self._entries:
                self._entries.move_to_end(prompt.prefixes[index])
                return _count_prefix_tokens(index)
        return 0

    def store(self, prompt: Prompt, now_s: float) -> None:
        """Store a prompt's prefixes and evict the least recently used ones."""
        for index, prefix in enumerate(prompt.prefixes):
            if prefix in self._entries:
                self._entries.move_to_end(prefix)
                continue
            added_tokens = _count_added_tokens(index)
            self._entries[prefix] = added_tokens
            self._used_tokens += added_tokens
            self._record("stored", prefix, now_s)
        self.shrink(now_s)

    def shrink(self, now_s: float, reserved_tokens: int = 0) -> None:
        """Evict entries until the rest fits into the capacity with the reserved tokens."""
        while self._entries and self._used_tokens + reserved_tokens > self.capacity_tokens:
            prefix, added_tokens = self._entries.popitem(last=False)
            self._used_tokens -= added_tokens
            self._record("evicted", prefix, now_s)

    def list_events(self, after: int, now_s: float) -> tuple[list[CacheEvent], int]:
        """Return the published events after a sequence number, and the number for the next call."""
        visible = [
            recorded.event for recorded in self._events if recorded.at_s + self.event_lag_s <= now_s
        ]
        newer = [event for event in visible if event.seq > after]
        return [event for event in newer if not self._is_suppressed(event)], max(
            [after, *(event.seq for event in newer)]
        )

    def _record(self, kind: str, prefix: int, now_s: float) -> None:
        event = CacheEvent(seq=self._next_seq, kind=kind, prefix=prefix)
        self._next_seq += 1
        self._events.append(_RecordedEvent(at_s=now_s, event=event))
        if len(self._events) > 2 * _RETAINED_EVENTS:
            self._events = self._events[-_RETAINED_EVENTS:]

    def _is_suppressed(self, event: CacheEvent) -> bool:
        hashed = xxhash.xxh64_intdigest(event.seq.to_bytes(8, "little"), seed=self._seed)
        return hashed % _GAP_SHARE_SCALE < self.gap_share * _GAP_SHARE_SCALE


def _count_prefix_tokens(index: int) -> int:
    return int(SHORTEST_PREFIX_BYTES * 2**index) // BYTES_PER_TOKEN


def _count_added_tokens(index: int) -> int:
    if index == 0:
        return _count_prefix_tokens(0)
    return _count_prefix_tokens(index) - _count_prefix_tokens(index - 1)

"""An account of the bytes that a process holds for the peers of its connections."""

import math
from dataclasses import dataclass
from heapq import nsmallest
from typing import Protocol
from weakref import WeakSet

from ._body_claim import BodyClaim

PROCESS_BYTES = 64 * 1_048_576
"""What a process needs without any request: the interpreter, the code and its tables."""

HELD_RATIO = 0.5
"""Part of the remaining memory that may be held, since bytes are copied on their way."""

MIN_LIMIT_BYTES = 16 * 1_048_576
"""Four request bodies of the largest size."""

SCARCE_RATIO = 0.5
"""Part of the limit above which answers are passed on as they arrive instead of being buffered."""

RELIEVED_RATIO = 0.75
"""Part of the limit down to which connections are closed once it has been exceeded."""

MEASURE_RATIO = 1 / 16
"""Part of the limit that is recorded at least between two measurements for a decision."""

PROGRESS_RETENTION = 0.9
"""Weight of earlier progress at each check, so that a caller with a slow link that moves bytes only
now and then is not taken for one that reads nothing."""


class MemoryHolder(Protocol):
    """A connection for which bytes are held."""

    @property
    def held_bytes(self) -> int:
        """Number of bytes that are held now."""

    @property
    def awaits_peer(self) -> bool:
        """Whether the peer has to take or send bytes before what is held can be released."""

    @property
    def moved_bytes(self) -> int:
        """Number of bytes that the peer has sent and taken so far."""

    def shed(self) -> None:
        """Close the connection, and refuse its request if that is not complete."""


@dataclass(slots=True)
class _Progress:
    moved_bytes: int
    recent_bytes: float = 0.0


def compute_held_limit(memory_bytes: float) -> float:
    """Return how many bytes a process may hold on a machine with this memory."""
    return max((memory_bytes - PROCESS_BYTES) * HELD_RATIO, MIN_LIMIT_BYTES)


class MemoryAccount:
    """Adds up what is held by connection and decides what to do without.

    A body that outlives its caller's connection, or its answer, is counted by itself. None can be
    closed for it.

    Bytes are recorded when they are added. How many have left since is only measured for a
    decision, and only at the connections that hold some.

    Args:
        limit_bytes: How many bytes may be held. Without a limit nothing is counted.

    Attributes:
        held_bytes: Bytes held, at most: what was measured last and recorded since.
    """

    def __init__(self, *, limit_bytes: float = math.inf) -> None:
        self._limit_bytes = limit_bytes
        self._holders: dict[MemoryHolder, _Progress] = {}
        self._left_bodies: WeakSet[BodyClaim] = WeakSet()
        self._recorded_bytes = 0
        self.held_bytes = 0

    @property
    def is_scarce(self) -> bool:
        """Whether answers are not to be buffered until they are complete."""
        return self._exceeds(self._limit_bytes * SCARCE_RATIO)

    @property
    def is_full(self) -> bool:
        """Whether no further request is to be taken."""
        return self._exceeds(self._limit_bytes)

    def record(self, holder: MemoryHolder, count: int) -> None:
        """Record bytes that are held for a connection from now on; negative if they are not."""
        if math.isinf(self._limit_bytes):
            return
        if holder not in self._holders:
            self._holders[holder] = _Progress(moved_bytes=holder.moved_bytes)
        self.held_bytes += count
        self._recorded_bytes += max(count, 0)

    def discard(self, holder: MemoryHolder) -> None:
        """Forget a connection that has ended."""
        self._holders.pop(holder, None)

    def keep(self, claim: BodyClaim) -> None:
        """Go on to count a body, which its connection holds no more, until it is dropped."""
        if not math.isinf(self._limit_bytes):
            self._left_bodies.add(claim)

    def measure(self) -> None:
        """Count again what is held, and forget the connections that hold nothing."""
        sizes = {holder: holder.held_bytes for holder in self._holders}
        self._holders = {
            holder: progress for holder, progress in self._holders.items() if sizes[holder] > 0
        }
        self.held_bytes = sum(sizes.values()) + sum(claim.size for claim in self._left_bodies)
        self._recorded_bytes = 0

    def choose_excess(self) -> list[MemoryHolder]:
        """Return the connections to close; to be called at regular intervals.

        None are returned within the limit. Else those whose peer is awaited come in order: first
        those that have lately moved the least in proportion to what they hold, and of equal ones
        those that hold most.
        """
        self.measure()
        for holder, progress in self._holders.items():
            moved_bytes = holder.moved_bytes
            progress.recent_bytes *= PROGRESS_RETENTION
            progress.recent_bytes += moved_bytes - progress.moved_bytes
            progress.moved_bytes = moved_bytes
        if self.held_bytes <= self._limit_bytes:
            return []
        excess = self.held_bytes - self._limit_bytes * RELIEVED_RATIO
        chosen = []
        awaiting = [holder for holder in self._holders if holder.awaits_peer]
        for holder in sorted(awaiting, key=self._rank):
            if excess <= 0:
                break
            chosen.append(holder)
            excess -= holder.held_bytes
        return chosen

    def list_slowest(self, count: int) -> list[MemoryHolder]:
        """Return some connections whose peer is awaited, in the order of ``choose_excess``."""
        awaiting = (holder for holder in self._holders if holder.awaits_peer)
        return nsmallest(count, awaiting, key=self._rank)

    def _rank(self, holder: MemoryHolder) -> tuple[float, int]:
        held_bytes, progress = holder.held_bytes, self._holders[holder]
        recent_bytes = progress.recent_bytes + holder.moved_bytes - progress.moved_bytes
        return recent_bytes / max(held_bytes, 1), -held_bytes

    def _exceeds(self, mark_bytes: float) -> bool:
        if self.held_bytes <= mark_bytes:
            return False
        if self._recorded_bytes > self._limit_bytes * MEASURE_RATIO:
            self.measure()
        return self.held_bytes > mark_bytes

"""Quarantine of requests that repeatedly crash the upstreams that run them.

A loss is an answer whose connection ended before it was complete.
"""

from collections.abc import Collection, Iterable
from dataclasses import dataclass, field
from heapq import nlargest

import xxhash

from greengagestage.ids import Fingerprint, LossHash

LOSSES_TO_QUARANTINE = 3
"""Losses after which requests with the same fingerprint are no longer sent. Single answers get
lost without a crash, so two losses could be a coincidence."""

LOSS_LIFETIME_S = 60.0
"""The losses of a fingerprint expire this long after the latest one."""

MAX_FINGERPRINTS = 4_096
"""Maximum number of tracked fingerprints; the one with the oldest latest loss is evicted first."""


@dataclass(frozen=True, slots=True, kw_only=True)
class LossRecord:
    """What a host knows about the losses of one fingerprint, in a form that hosts exchange.

    Attributes:
        losses: Hashes of the ids of the losses.
        last_s: Time of the latest loss.
    """

    fingerprint: Fingerprint
    losses: frozenset[LossHash]
    last_s: float

    def is_expired(self, now_s: float) -> bool:
        """Whether the latest loss is so long ago that it says nothing about the next one."""
        return now_s - self.last_s > LOSS_LIFETIME_S


@dataclass(slots=True, kw_only=True)
class _Losses:
    """The distinct losses of one fingerprint and the time of the latest.

    Attributes:
        unconfirmed: Losses that may yet turn out to have another cause.
    """

    hashes: set[LossHash] = field(default_factory=set)
    unconfirmed: set[LossHash] = field(default_factory=set)
    last_s: float


class LossTracker:
    """Counts, by request fingerprint, how often an answer was lost on any host."""

    def __init__(self) -> None:
        self._losses: dict[Fingerprint, _Losses] = {}

    def record_loss(
        self, fingerprint: Fingerprint, loss_id: str, now_s: float, *, confirmed: bool = True
    ) -> int:
        """Record a loss and return the number of distinct losses of the fingerprint.

        Args:
            loss_id: Identifies the loss, which hosts may report more than once. Several losses may
                have occurred at one upstream.
            confirmed: Whether the loss is certain to count. Others are not told to other hosts.
        """
        loss = _hash_loss(loss_id)
        losses = self._update(fingerprint, {loss}, now_s)
        if confirmed:
            losses.unconfirmed.discard(loss)
        else:
            losses.unconfirmed.add(loss)
        return len(losses.hashes)

    def learn(self, records: Iterable[LossRecord], now_s: float) -> None:
        """Add what another host knows, unless it has expired."""
        for record in records:
            if not record.is_expired(now_s):
                self._update(record.fingerprint, record.losses, record.last_s)

    def forget_loss(self, fingerprint: Fingerprint, loss_id: str) -> None:
        """Forget a loss that had another cause than the request."""
        losses = self._losses.get(fingerprint)
        if losses is not None:
            losses.hashes.discard(_hash_loss(loss_id))
            losses.unconfirmed.discard(_hash_loss(loss_id))

    def is_quarantined(self, fingerprint: Fingerprint, now_s: float) -> bool:
        """Whether requests with this fingerprint must not be sent."""
        losses = self._losses.get(fingerprint)
        if losses is None or now_s - losses.last_s > LOSS_LIFETIME_S:
            return False
        return len(losses.hashes) >= LOSSES_TO_QUARANTINE

    def count_losses(self, fingerprint: Fingerprint) -> tuple[int, float] | None:
        """Return the number of losses that are kept and the time of the latest; None if none."""
        losses = self._losses.get(fingerprint)
        return None if losses is None or not losses.hashes else (len(losses.hashes), losses.last_s)

    def find_quarantined(self, fingerprint: Fingerprint, now_s: float) -> LossRecord | None:
        """Return the record of a fingerprint with enough confirmed losses for a quarantine."""
        record = self._build_record(fingerprint, now_s)
        return record if record and len(record.losses) >= LOSSES_TO_QUARANTINE else None

    def list_records(self, now_s: float, *, most: int) -> list[LossRecord]:
        """Return the records of the fingerprints with the most losses, as far as confirmed."""
        chosen = nlargest(most, self._losses, key=lambda each: len(self._losses[each].hashes))
        built = (self._build_record(fingerprint, now_s) for fingerprint in chosen)
        return [record for record in built if record is not None]

    def _build_record(self, fingerprint: Fingerprint, now_s: float) -> LossRecord | None:
        """Return the confirmed losses of a fingerprint, as many as a quarantine takes."""
        losses = self._losses.get(fingerprint)
        if losses is None or now_s - losses.last_s > LOSS_LIFETIME_S:
            return None
        confirmed = sorted(losses.hashes - losses.unconfirmed)[:LOSSES_TO_QUARANTINE]
        if not confirmed:
            return None
        return LossRecord(
            fingerprint=fingerprint, losses=frozenset(confirmed), last_s=losses.last_s
        )

    def _update(
        self, fingerprint: Fingerprint, hashes: Collection[LossHash], last_s: float
    ) -> _Losses:
        losses = self._losses.pop(fingerprint, None)
        if losses is None or last_s - losses.last_s > LOSS_LIFETIME_S:
            losses = _Losses(last_s=last_s)
        losses.hashes.update(hashes)
        losses.last_s = max(losses.last_s, last_s)
        self._losses[fingerprint] = losses
        if len(self._losses) > MAX_FINGERPRINTS:
            del self._losses[next(iter(self._losses))]
        return losses


def _hash_loss(loss_id: str) -> LossHash:
    return LossHash(xxhash.xxh64_intdigest(loss_id.encode()))

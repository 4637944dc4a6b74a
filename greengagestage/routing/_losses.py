"""Quarantine of requests that repeatedly crash the upstreams that run them.

A loss is an answer whose connection ended before it was complete.
"""

import math
from collections.abc import Iterable
from dataclasses import dataclass, field
from heapq import nlargest
from typing import Any

import xxhash

from greengagestage.ids import Fingerprint, LossHash

from ._trials import QuarantinedSubject, SubjectKind, compute_quarantine_s, compute_retention_s

LOSSES_TO_QUARANTINE = 3
"""Losses after which requests with the same fingerprint are no longer sent. Single answers get
lost without a crash, so two losses could be a coincidence."""

MAX_LOSSES = 9
"""Maximum number of losses kept for one fingerprint, for which it is quarantined longest; the first
known ones are dropped."""

LOSS_LIFETIME_S = 60.0
"""Losses that do not suffice for a quarantine expire this long after the latest one."""

FURTHER_LOSS_S = 1.0
"""Once requests are quarantined, a loss counts only if it is later than the latest one by this
time. Equal requests that were under way together are lost together, also where the upstream has
not crashed, and each host tells of its losses 0.1 s later."""

MAX_FINGERPRINTS = 4_096
"""Maximum number of tracked fingerprints; the one with the oldest latest loss is evicted first."""


def _compute_lifetime_s(losses: int) -> float:
    """Return for how long losses are remembered, from the latest one."""
    if losses < LOSSES_TO_QUARANTINE:
        return LOSS_LIFETIME_S
    return compute_retention_s(losses - LOSSES_TO_QUARANTINE)


@dataclass(frozen=True, slots=True, kw_only=True)
class LossRecord:
    """What a host knows about the losses of one fingerprint, in a form that hosts exchange.

    Attributes:
        losses: Hashes of the ids of the losses.
        cleared: Hashes of the ids of those that an answer has cleared since.
        last_s: Time of the latest loss.
    """

    fingerprint: Fingerprint
    losses: frozenset[LossHash]
    cleared: frozenset[LossHash] = frozenset()
    last_s: float

    def is_expired(self, now_s: float) -> bool:
        """Whether the latest loss is so long ago that it says nothing about the next one."""
        lifetime_s = _compute_lifetime_s(max(len(self.losses), len(self.cleared)))
        return now_s - self.last_s > lifetime_s


@dataclass(slots=True, kw_only=True)
class _Losses:
    """The distinct losses of one fingerprint and the time of the latest.

    Attributes:
        hashes: The losses with their times, in the order in which they became known. The time of
            one that another host has told is not exact, but never too early.
        unconfirmed: Losses that may yet turn out to have another cause.
        cleared: Losses that an answer has cleared, and that other hosts may still report.
        last_s: Time of the latest loss, also if it has been cleared.
    """

    hashes: dict[LossHash, float] = field(default_factory=dict)
    unconfirmed: set[LossHash] = field(default_factory=set)
    cleared: dict[LossHash, None] = field(default_factory=dict)
    last_s: float

    def add(self, losses: Iterable[LossHash], last_s: float) -> None:
        """Add losses, of which the latest was at a time; known ones change nothing."""
        self.expire(last_s)
        added = [loss for loss in losses if loss not in self.hashes and loss not in self.cleared]
        if added and (not self.is_quarantined or last_s >= self.last_s + FURTHER_LOSS_S):
            self.hashes.update(dict.fromkeys(added, last_s))
            self.last_s = max(self.last_s, last_s)
            _drop_first(self.hashes)

    def merge(self, record: LossRecord) -> None:
        """Add what another host knows. Of two quarantines, the one with more losses counts."""
        self.clear(record.cleared)
        losses = [loss for loss in record.losses if loss not in self.cleared]
        if not self.is_quarantined or len(losses) < LOSSES_TO_QUARANTINE:
            self.add(losses, record.last_s)
            return
        if len(losses) > len(self.hashes):
            last_s = max(self.last_s, record.last_s)
            self.hashes = {loss: self.hashes.get(loss, last_s) for loss in losses}
        if record.last_s >= self.last_s + FURTHER_LOSS_S:
            self.last_s = record.last_s

    @property
    def is_quarantined(self) -> bool:
        """Whether there are enough losses for a quarantine, which may have ended."""
        return len(self.hashes) >= LOSSES_TO_QUARANTINE

    def clear(self, losses: Iterable[LossHash]) -> None:
        for loss in losses:
            self.forget(loss)
            self.cleared[loss] = None
        _drop_first(self.cleared)

    def forget(self, loss: LossHash) -> None:
        self.hashes.pop(loss, None)
        self.unconfirmed.discard(loss)
        if self.hashes:
            self.last_s = max(self.hashes.values())

    def expire(self, now_s: float) -> bool:
        """Drop what says nothing about the next loss any more; return whether that is all."""
        age_s = now_s - self.last_s
        if age_s > _compute_lifetime_s(len(self.hashes)):
            self.hashes.clear()
            self.unconfirmed.clear()
        if age_s > _compute_lifetime_s(len(self.cleared)):
            self.cleared.clear()
        return not self.hashes and not self.cleared


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
        losses = self._get_or_add(fingerprint, now_s)
        losses.add([loss], now_s)
        if confirmed:
            losses.unconfirmed.discard(loss)
        elif loss in losses.hashes:
            losses.unconfirmed.add(loss)
        return len(losses.hashes)

    def learn(self, records: Iterable[LossRecord], now_s: float) -> None:
        """Add what another host knows, unless it has expired."""
        for record in records:
            if not record.is_expired(now_s):
                losses = self._get_or_add(record.fingerprint, record.last_s)
                losses.merge(record)

    def forget_loss(self, fingerprint: Fingerprint, loss_id: str) -> bool:
        """Forget a loss that had another cause than the request.

        Returns whether it had been confirmed; other hosts are then told that it is cleared.
        """
        losses, loss = self._losses.get(fingerprint), _hash_loss(loss_id)
        if losses is None or loss not in losses.hashes:
            return False
        is_confirmed = loss not in losses.unconfirmed
        if is_confirmed:
            losses.clear([loss])
        else:
            losses.forget(loss)
        return is_confirmed

    def is_cleared(self, fingerprint: Fingerprint, loss_id: str) -> bool:
        """Whether an equal request has been answered that was sent after a loss."""
        losses = self._losses.get(fingerprint)
        return losses is not None and _hash_loss(loss_id) in losses.cleared

    def clear(self, fingerprint: Fingerprint, sent_s: float = math.inf) -> bool:
        """Clear the losses before an equal request was sent, which has been answered completely.

        Returns whether there were any.
        """
        losses = self._losses.get(fingerprint)
        if losses is None:
            return False
        before = [loss for loss, lost_s in losses.hashes.items() if lost_s <= sent_s]
        losses.clear(before)
        return bool(before)

    def list_quarantined(self, fingerprint: Fingerprint, now_s: float) -> list[QuarantinedSubject]:
        """Return why requests must not be sent, or only as a trial, if there is a reason."""
        losses = self._losses.get(fingerprint)
        if losses is None or losses.expire(now_s) or not losses.is_quarantined:
            return []
        quarantine_s = compute_quarantine_s(len(losses.hashes) - LOSSES_TO_QUARANTINE)
        return [
            QuarantinedSubject(
                kind=SubjectKind.REQUEST,
                key=f"request {fingerprint}",
                reason="equal requests crashed upstreams",
                crashed_s=losses.last_s,
                ends_s=losses.last_s + quarantine_s,
            )
        ]

    def count_losses(self, fingerprint: Fingerprint) -> tuple[int, float] | None:
        """Return the number of losses that are kept and the time of the latest; None if none."""
        losses = self._losses.get(fingerprint)
        return None if losses is None or not losses.hashes else (len(losses.hashes), losses.last_s)

    def find_quarantined(self, fingerprint: Fingerprint, now_s: float) -> LossRecord | None:
        """Return the record of a fingerprint that is, or was, quarantined by confirmed losses."""
        record = self._build_record(fingerprint, now_s)
        if record is None or len(record.losses | record.cleared) < LOSSES_TO_QUARANTINE:
            return None
        return record

    def list_records(self, now_s: float, *, most: int) -> list[LossRecord]:
        """Return the records of the fingerprints with the most losses, as far as confirmed.

        Expired losses are dropped.
        """
        for fingerprint in [key for key, each in self._losses.items() if each.expire(now_s)]:
            del self._losses[fingerprint]
        chosen = nlargest(most, self._losses, key=self._count)
        built = (self._build_record(fingerprint, now_s) for fingerprint in chosen)
        return [record for record in built if record is not None]

    def _count(self, fingerprint: Fingerprint) -> int:
        losses = self._losses[fingerprint]
        return len(losses.hashes) + len(losses.cleared)

    def _build_record(self, fingerprint: Fingerprint, now_s: float) -> LossRecord | None:
        """Return the confirmed losses of a fingerprint."""
        losses = self._losses.get(fingerprint)
        if losses is None or losses.expire(now_s):
            return None
        confirmed = frozenset(losses.hashes.keys() - losses.unconfirmed)
        if not confirmed and not losses.cleared:
            return None
        return LossRecord(
            fingerprint=fingerprint,
            losses=confirmed,
            cleared=frozenset(losses.cleared),
            last_s=losses.last_s,
        )

    def _get_or_add(self, fingerprint: Fingerprint, last_s: float) -> _Losses:
        losses = self._losses.pop(fingerprint, None) or _Losses(last_s=last_s)
        self._losses[fingerprint] = losses
        if len(self._losses) > MAX_FINGERPRINTS:
            del self._losses[next(iter(self._losses))]
        return losses


def _drop_first(losses: dict[LossHash, Any]) -> None:
    while len(losses) > MAX_LOSSES:
        del losses[next(iter(losses))]


def _hash_loss(loss_id: str) -> LossHash:
    return LossHash(xxhash.xxh64_intdigest(loss_id.encode()))

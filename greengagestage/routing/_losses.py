"""Quarantine of requests that repeatedly crash the upstreams that run them.

A loss is an answer whose connection ended before it was complete. Losses are kept until an equal
request is answered, however long that takes: a request that crashes upstreams may come again at any
time. A trial counts as a loss from before it is sent, so that no host has to outlive it.
"""

import math
from collections.abc import Iterable
from dataclasses import dataclass, field, replace
from heapq import nlargest

import xxhash

from greengagestage.ids import AttemptId, Fingerprint, LossHash

from ._trials import QuarantinedSubject, SubjectKind, compute_quarantine_s, compute_retention_s

LOSSES_TO_QUARANTINE = 3
"""Losses after which requests with the same fingerprint are no longer sent. Single answers get
lost without a crash, so two losses could be a coincidence."""

MAX_LOSSES = 9
"""Maximum number of losses kept for one fingerprint, for which it is quarantined longest; the first
known ones are dropped."""

MAX_TRIALS = 2
"""Number of requests with one fingerprint that all hosts together send after a quarantine. If none
of them is answered, no other one is sent. Another host may send one more before it hears of the
last crash: three sends are the most that upstreams are to bear."""

NEWS_LIFETIME_S = 60.0
"""Time for which hosts tell each other what has changed about losses that do not suffice for a
quarantine, and for which they remember that such losses were cleared."""

FURTHER_LOSS_S = 1.0
"""Once requests are quarantined, a loss counts only if it is later than the latest one by this
time. Equal requests that were under way together are lost together, also where the upstream has
not crashed, and each host tells of its losses 0.1 s later."""

MAX_FINGERPRINTS = 4_096
"""Maximum number of tracked fingerprints; of those with the fewest losses, the one with the oldest
latest loss is evicted first."""


def _compute_news_lifetime_s(losses: int) -> float:
    """Return for how long a change of losses is news, by their number."""
    if losses < LOSSES_TO_QUARANTINE:
        return NEWS_LIFETIME_S
    return compute_retention_s(losses - LOSSES_TO_QUARANTINE)


@dataclass(frozen=True, slots=True, kw_only=True)
class LossRecord:
    """What a host knows about the losses of one fingerprint, in a form that hosts exchange.

    Attributes:
        losses: Hashes of the ids of the losses.
        cleared: Hashes of the ids of those that an answer has cleared since.
        trials: Those of the losses that are trials.
        last_s: Time of the latest loss; without any, that of the answer.
    """

    fingerprint: Fingerprint
    losses: frozenset[LossHash]
    cleared: frozenset[LossHash] = frozenset()
    trials: frozenset[LossHash] = frozenset()
    last_s: float

    def is_expired(self, now_s: float) -> bool:
        """Whether all losses were cleared so long ago that no host brings them back."""
        if self.losses:
            return False
        return now_s - self.last_s > _compute_news_lifetime_s(len(self.cleared))

    @property
    def weight(self) -> tuple[int, float]:
        """Orders records by their evidence: the number of losses, and the time of the latest."""
        return len(self.losses), self.last_s


@dataclass(slots=True, kw_only=True)
class _Losses:
    """The distinct losses of one fingerprint and the time of the latest.

    Attributes:
        hashes: The losses with their times, in the order in which they became known. The time of
            one that another host has told is not exact, but never too early.
        unconfirmed: Losses that may yet turn out to have another cause.
        cleared: Losses that an answer has cleared, and that other hosts may still report.
        trials: The losses that are trials, which may all be on other hosts.
        last_s: Time of the latest loss, or of the answer that has cleared all.
        changed_s: Time at which this host has last learned something.
    """

    hashes: dict[LossHash, float] = field(default_factory=dict)
    unconfirmed: set[LossHash] = field(default_factory=set)
    cleared: dict[LossHash, None] = field(default_factory=dict)
    trials: set[LossHash] = field(default_factory=set)
    last_s: float
    changed_s: float

    def add(self, losses: Iterable[LossHash], last_s: float) -> None:
        """Add losses, of which the latest was at a time; known ones change nothing."""
        added = [loss for loss in losses if loss not in self.hashes and loss not in self.cleared]
        if added and (not self.is_quarantined or last_s >= self.last_s + FURTHER_LOSS_S):
            self.hashes.update(dict.fromkeys(added, last_s))
            self.last_s = max(self.last_s, last_s)
            self._drop_excess()

    def add_trials(self, trials: Iterable[LossHash], last_s: float) -> None:
        """Add trials, of which the latest was at a time."""
        added = [trial for trial in trials if trial not in self.cleared]
        self.trials.update(added)
        for trial in added:
            self.hashes.setdefault(trial, last_s)
        self._drop_excess()

    def merge(self, record: LossRecord) -> None:
        """Add what another host knows. Of two quarantines, the one with more losses counts."""
        self.clear(record.cleared)
        losses = [loss for loss in record.losses if loss not in self.cleared]
        if not self.is_quarantined or len(losses) < LOSSES_TO_QUARANTINE:
            self.add(losses, record.last_s)
        elif len(losses) > len(self.hashes):
            last_s = max(self.last_s, record.last_s)
            self.hashes = {loss: self.hashes.get(loss, last_s) for loss in losses}
        self.add_trials((*record.trials, *self.trials), record.last_s)
        if len(losses) >= LOSSES_TO_QUARANTINE and record.last_s >= self.last_s + FURTHER_LOSS_S:
            self.last_s = record.last_s

    @property
    def is_quarantined(self) -> bool:
        """Whether there are enough losses for a quarantine, which may have ended."""
        return len(self.hashes) >= LOSSES_TO_QUARANTINE

    @property
    def has_trials_left(self) -> bool:
        """Whether another request may be sent once the quarantine has ended."""
        return len(self.trials) < MAX_TRIALS

    def is_news(self, now_s: float) -> bool:
        """Whether other hosts may not know yet what this one has learned last."""
        losses = max(len(self.hashes), len(self.cleared))
        return now_s - self.changed_s <= _compute_news_lifetime_s(losses)

    def clear(self, losses: Iterable[LossHash]) -> None:
        for loss in losses:
            self.forget(loss)
            self.cleared[loss] = None
        while len(self.cleared) > MAX_LOSSES:
            del self.cleared[next(iter(self.cleared))]

    def forget(self, loss: LossHash) -> None:
        self.hashes.pop(loss, None)
        self.unconfirmed.discard(loss)
        self.trials.discard(loss)
        if self.hashes:
            self.last_s = max(self.hashes.values())

    def expire(self, now_s: float) -> bool:
        """Drop what was cleared and is news no more; return whether nothing is left."""
        if self.cleared and not self.is_news(now_s):
            self.cleared.clear()
        return not self.hashes and not self.cleared

    def _drop_excess(self) -> None:
        """Drop the losses that became known first, and trials last."""
        while len(self.hashes) > MAX_LOSSES:
            dropped = min(self.hashes, key=self.trials.__contains__)
            del self.hashes[dropped]
            self.trials.discard(dropped)


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
        losses.changed_s = max(losses.changed_s, now_s)
        losses.add([loss], now_s)
        if confirmed:
            losses.unconfirmed.discard(loss)
        elif loss in losses.hashes:
            losses.unconfirmed.add(loss)
        return len(losses.hashes)

    def learn(self, records: Iterable[LossRecord], now_s: float) -> None:
        """Add what another host knows, unless it has expired."""
        for record in records:
            if record.is_expired(now_s):
                continue
            losses = self._get_or_add(record.fingerprint, record.last_s)
            known = self._build_record(record.fingerprint)
            losses.merge(record)
            if self._build_record(record.fingerprint) != known:
                losses.changed_s = max(losses.changed_s, now_s)

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
        if before and math.isfinite(sent_s):
            losses.changed_s = max(losses.changed_s, sent_s)
            if not losses.hashes:
                losses.last_s = max(losses.last_s, sent_s)
        return bool(before)

    def list_quarantined(self, fingerprint: Fingerprint, now_s: float) -> list[QuarantinedSubject]:
        """Return why requests must not be sent, or only as a trial, if there is a reason."""
        losses = self._losses.get(fingerprint)
        if losses is None or losses.expire(now_s) or not losses.is_quarantined:
            return []
        ends_s = math.inf
        if losses.has_trials_left:
            further_losses = len(losses.hashes) - LOSSES_TO_QUARANTINE
            ends_s = losses.last_s + compute_quarantine_s(further_losses)
        return [
            QuarantinedSubject(
                kind=SubjectKind.REQUEST,
                key=f"request {fingerprint}",
                reason="equal requests crashed upstreams",
                crashed_s=losses.last_s,
                ends_s=ends_s,
            )
        ]

    def build_trial_record(
        self, fingerprint: Fingerprint, attempt_id: AttemptId, now_s: float
    ) -> LossRecord | None:
        """Return the record of a fingerprint with one more trial; None if none may be sent now."""
        subjects = self.list_quarantined(fingerprint, now_s)
        record = self.find_quarantined(fingerprint, now_s)
        if record is None or not subjects or now_s < subjects[0].ends_s:
            return None
        trial = {_hash_loss(build_trial_id(attempt_id))}
        return replace(
            record, losses=record.losses | trial, trials=record.trials | trial, last_s=now_s
        )

    def begin_trial(self, fingerprint: Fingerprint, attempt_id: AttemptId, now_s: float) -> None:
        """Record that a request is about to be sent as a trial."""
        losses = self._get_or_add(fingerprint, now_s)
        losses.add_trials([_hash_loss(build_trial_id(attempt_id))], now_s)
        losses.last_s = losses.changed_s = max(losses.last_s, now_s)

    def withdraw_trial(self, fingerprint: Fingerprint, attempt_id: AttemptId) -> None:
        """Record that a trial has provably not run."""
        losses = self._losses.get(fingerprint)
        if losses is not None:
            losses.clear([_hash_loss(build_trial_id(attempt_id))])

    def is_trial(self, fingerprint: Fingerprint, attempt_id: AttemptId) -> bool:
        """Whether a request is, or was, a trial that has not been answered."""
        losses = self._losses.get(fingerprint)
        return losses is not None and _hash_loss(build_trial_id(attempt_id)) in losses.trials

    def count_losses(self, fingerprint: Fingerprint) -> tuple[int, float] | None:
        """Return the number of losses that are kept and the time of the latest; None if none."""
        losses = self._losses.get(fingerprint)
        return None if losses is None or not losses.hashes else (len(losses.hashes), losses.last_s)

    def find_quarantined(self, fingerprint: Fingerprint, now_s: float) -> LossRecord | None:
        """Return the record of a fingerprint that is, or was, quarantined by confirmed losses."""
        losses = self._losses.get(fingerprint)
        if losses is None or losses.expire(now_s):
            return None
        record = self._build_record(fingerprint)
        if record is None or len(record.losses | record.cleared) < LOSSES_TO_QUARANTINE:
            return None
        return record

    def list_records(self, now_s: float, *, most: int) -> list[LossRecord]:
        """Return the records of the fingerprints with the most losses, as far as confirmed.

        What has expired is dropped.
        """
        for fingerprint in [key for key, each in self._losses.items() if each.expire(now_s)]:
            del self._losses[fingerprint]
        return self._build_records(nlargest(most, self._losses, key=self._weigh))

    def list_news(self, now_s: float, *, most: int) -> list[LossRecord]:
        """Return the records of ``list_records`` that other hosts may not know yet."""
        fresh = [key for key, each in self._losses.items() if each.is_news(now_s)]
        return self._build_records(nlargest(most, fresh, key=self._weigh))

    def _weigh(self, fingerprint: Fingerprint) -> tuple[int, float]:
        losses = self._losses[fingerprint]
        return len(losses.hashes), losses.last_s

    def _build_records(self, fingerprints: Iterable[Fingerprint]) -> list[LossRecord]:
        built = map(self._build_record, fingerprints)
        return [record for record in built if record is not None]

    def _build_record(self, fingerprint: Fingerprint) -> LossRecord | None:
        """Return the confirmed losses of a fingerprint."""
        losses = self._losses.get(fingerprint)
        if losses is None:
            return None
        confirmed = frozenset(losses.hashes.keys() - losses.unconfirmed)
        if not confirmed and not losses.cleared:
            return None
        return LossRecord(
            fingerprint=fingerprint,
            losses=confirmed,
            cleared=frozenset(losses.cleared),
            trials=frozenset(losses.trials),
            last_s=losses.last_s,
        )

    def _get_or_add(self, fingerprint: Fingerprint, last_s: float) -> _Losses:
        losses = self._losses.get(fingerprint)
        if losses is None:
            if len(self._losses) >= MAX_FINGERPRINTS:
                del self._losses[min(self._losses, key=self._weigh)]
            losses = _Losses(last_s=last_s, changed_s=last_s)
            self._losses[fingerprint] = losses
        return losses


def build_trial_id(attempt_id: AttemptId) -> str:
    """Return the id of a trial among the losses of equal requests."""
    return f"trial {attempt_id}"


def _hash_loss(loss_id: str) -> LossHash:
    return LossHash(xxhash.xxh64_intdigest(loss_id.encode()))

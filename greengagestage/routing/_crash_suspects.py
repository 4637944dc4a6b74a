"""Prompt parts that are suspected of crashing each upstream that begins to answer them."""

from collections.abc import Collection, Iterable
from dataclasses import dataclass, field

import xxhash

from greengagestage.ids import Crash, PartHash, PromptPartId

BEGUN_WEIGHT = 3
UNBEGUN_WEIGHT = 2
QUARANTINE_WEIGHT = 6
"""A part is quarantined after two crashes under answers that had begun, or three under any."""

FIRST_QUARANTINE_S = 60.0
MAX_QUARANTINE_S = 3_600.0
"""A quarantine begins with the latest crash. Its duration doubles with each further crash."""

MAX_CRASHES_PER_PART = 8
"""Maximum number of crashes kept for one part; the oldest ones are dropped."""

MAX_PARTS = 2_048
"""Maximum number of tracked parts; the one with the oldest change is dropped first."""


@dataclass(frozen=True, slots=True, kw_only=True)
class PartLoss:
    """The loss of the answer to a prompt with some part, in the crash of an upstream.

    Attributes:
        sent_s: Time at which the request was sent.
        lost_s: Time at which the answer was lost.
        begun: Whether the answer had begun. No event of it had arrived.
    """

    crash: Crash
    sent_s: float
    lost_s: float
    begun: bool


@dataclass(frozen=True, slots=True, kw_only=True)
class SuspectRecord:
    """What a host knows about one suspected part, in a form that hosts exchange.

    Attributes:
        answered_s: Time of the latest answer to a prompt with the part; None if there was none.
        losses: One loss for each crash since then.
    """

    part: PartHash
    answered_s: float | None
    losses: tuple[PartLoss, ...]


def hash_part(part: PromptPartId) -> PartHash:
    """Return the number by which hosts identify a part to each other."""
    return PartHash(xxhash.xxh64_intdigest(part.encode()))


def _weigh(losses: Iterable[PartLoss]) -> int:
    """Return the weight of the evidence in some losses.

    A loss counts only if its request was sent after the previous counted one was lost. Upstreams
    that crash together have a common cause, and say no more about a part than one of them.
    """
    weight, lost_s = 0, float("-inf")
    for loss in sorted(losses, key=lambda loss: loss.lost_s):
        if loss.sent_s >= lost_s:
            weight += BEGUN_WEIGHT if loss.begun else UNBEGUN_WEIGHT
            lost_s = loss.lost_s
    return weight


@dataclass(slots=True, kw_only=True)
class _Suspect:
    """The evidence against one part, which an answer to a prompt with the part cancels."""

    answered_s: float | None = None
    losses: dict[Crash, PartLoss] = field(default_factory=dict)
    weight: int = 0

    def add(self, loss: PartLoss) -> None:
        known = self.losses.get(loss.crash)
        if self.answered_s is not None and loss.lost_s <= self.answered_s:
            return
        if known is not None and (known.begun or not loss.begun):
            return
        self.losses[loss.crash] = loss
        while len(self.losses) > MAX_CRASHES_PER_PART:
            del self.losses[min(self.losses, key=lambda crash: self.losses[crash].lost_s)]
        self.weight = _weigh(self.losses.values())

    def cancel(self, answered_s: float) -> bool:
        """Drop all losses up to an answer; return whether there were any."""
        if self.answered_s is None or answered_s > self.answered_s:
            self.answered_s = answered_s
        kept = {crash: loss for crash, loss in self.losses.items() if loss.lost_s > self.answered_s}
        cancelled = len(kept) < len(self.losses)
        if cancelled:
            self.losses, self.weight = kept, _weigh(kept.values())
        return cancelled

    def is_quarantined(self, now_s: float) -> bool:
        if self.weight < QUARANTINE_WEIGHT:
            return False
        doublings = (self.weight - QUARANTINE_WEIGHT) // BEGUN_WEIGHT
        duration_s: float = min(FIRST_QUARANTINE_S * 2**doublings, MAX_QUARANTINE_S)
        last_lost_s = max(loss.lost_s for loss in self.losses.values())
        return now_s < last_lost_s + duration_s

    def explains(self, other: "_Suspect") -> bool:
        """Whether the crashes under this part also account for the evidence against another.

        An answer that had not begun does not account for the loss of one that had.
        """
        if self.weight < QUARANTINE_WEIGHT:
            return False
        unexplained = (
            loss for loss in other.losses.values() if not self._has_as_strong_a_loss(loss)
        )
        return _weigh(unexplained) < QUARANTINE_WEIGHT

    def _has_as_strong_a_loss(self, loss: PartLoss) -> bool:
        own = self.losses.get(loss.crash)
        return own is not None and (own.begun or not loss.begun)


class CrashSuspects:
    """Finds the parts of prompts that crash upstreams, from the answers lost in crashes.

    All parts of a lost prompt that other prompts may share are suspects, and so are those of the
    prompts that were lost beside it. An answer to any prompt with a part proves that the part is
    sound. What remains is blamed on as few parts as possible.
    """

    def __init__(self) -> None:
        self._suspects: dict[PartHash, _Suspect] = {}

    def record_loss(self, parts: Iterable[PromptPartId], loss: PartLoss) -> list[SuspectRecord]:
        """Record that an answer to a prompt was lost in a crash; return the parts' records."""
        hashes = [hash_part(part) for part in parts]
        for part in hashes:
            self._touch(part).add(loss)
        return [self._build_record(part) for part in hashes]

    def record_answer(self, parts: Iterable[PromptPartId], now_s: float) -> list[SuspectRecord]:
        """Record an answer to a prompt; return the records of the parts that were suspected."""
        if not self._suspects:
            return []
        hashes = [hash_part(part) for part in parts]
        known = [part for part in hashes if part in self._suspects]
        return [self._build_record(part) for part in known if self._touch(part).cancel(now_s)]

    def learn(self, records: Iterable[SuspectRecord]) -> None:
        """Add what another host knows."""
        for record in records:
            suspect = self._touch(record.part)
            if record.answered_s is not None:
                suspect.cancel(record.answered_s)
            for loss in record.losses:
                suspect.add(loss)

    def find_crashing_part(
        self, parts: Collection[PromptPartId], now_s: float
    ) -> PromptPartId | None:
        """Return the part for which a prompt must not be sent; None if it may be sent.

        A part is not blamed for crashes that another quarantined part accounts for, in prompts
        without that other part. Parts that all prompts of a caller share are lost with
        each crashing part, and must not be taken for it.

        Args:
            parts: The parts of the prompt that other prompts may share.
        """
        if not self._suspects:
            return None
        hashes = {hash_part(part): part for part in parts}
        for part, name in hashes.items():
            suspect = self._suspects.get(part)
            if suspect is None or not suspect.is_quarantined(now_s):
                continue
            others = (other for key, other in self._suspects.items() if key not in hashes)
            if not any(other.explains(suspect) for other in others):
                return name
        return None

    def list_records(self) -> list[SuspectRecord]:
        """Return the records of all parts, those with the most evidence first."""
        parts = sorted(self._suspects, key=lambda part: self._suspects[part].weight, reverse=True)
        return [self._build_record(part) for part in parts]

    def _touch(self, part: PartHash) -> _Suspect:
        """Return the suspect, as the one that was changed last; add it if it is new."""
        suspect = self._suspects.pop(part, None) or _Suspect()
        self._suspects[part] = suspect
        if len(self._suspects) > MAX_PARTS:
            del self._suspects[next(iter(self._suspects))]
        return suspect

    def _build_record(self, part: PartHash) -> SuspectRecord:
        suspect = self._suspects[part]
        return SuspectRecord(
            part=part, answered_s=suspect.answered_s, losses=tuple(suspect.losses.values())
        )

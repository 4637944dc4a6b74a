"""Prompt parts that are suspected of crashing each upstream that begins to answer them."""

from collections.abc import Collection, Iterable
from dataclasses import dataclass, field, replace

import xxhash

from greengagestage.ids import Crash, PartHash, PromptPartId

from ._trials import (
    MAX_RETENTION_S,
    QuarantinedSubject,
    SubjectKind,
    compute_quarantine_s,
    compute_retention_s,
)

CRASHES_TO_QUARANTINE = 2
"""Crashes under a part, one after the other and without an answer, for which it is quarantined.
Upstreams also crash for other causes, so that one crash could be a coincidence."""

EVIDENCE_LIFETIME_S = 120.0
"""Time after its latest crash for which evidence that does not suffice is kept."""

MIN_COMMON_CRASHES = 2
"""Number of crashes that two parts must have in common for one to account for the other's."""

MAX_CRASHES_PER_PART = 8
"""Maximum number of crashes kept for one part, for which it is quarantined longest."""

TIME_TOLERANCE_S = 0.1
"""Difference up to which times that hosts reckon from ages count as the same."""

MAX_PARTS = 2_048
"""Maximum number of suspected parts, of which those with the least evidence are dropped first, and
of answered ones, of which the oldest are."""


@dataclass(frozen=True, slots=True, kw_only=True)
class PartLoss:
    """The loss of the answer to a prompt with some part, in the crash of an upstream.

    The answer had begun, and no event of it had arrived.

    Attributes:
        sent_s: Time at which the request was sent.
        lost_s: Time at which the answer was lost.
    """

    crash: Crash
    sent_s: float
    lost_s: float

    def corrects(self, known: "PartLoss") -> bool:
        """Whether this is the same loss, of which a report was read late before.

        Reports carry ages, so that the times of one that was read late are too late.
        """
        return self.is_same_as(known) and known.lost_s - self.lost_s > TIME_TOLERANCE_S

    def is_same_as(self, other: "PartLoss") -> bool:
        """Whether two losses in one crash are of the same request, by how long it had been sent."""
        difference_s = other.lost_s - self.lost_s
        return abs(other.sent_s - self.sent_s - difference_s) < TIME_TOLERANCE_S

    def shift(self, delay_s: float) -> "PartLoss":
        """Return the loss with times that are earlier by the delay of its report."""
        return replace(self, sent_s=self.sent_s - delay_s, lost_s=self.lost_s - delay_s)


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

    @property
    def crashes(self) -> frozenset[Crash]:
        """The crashes under the part."""
        return frozenset(loss.crash for loss in self.losses)

    def is_expired(self, now_s: float) -> bool:
        """Whether the record says nothing about the next crash or the next report any more."""
        if not self.losses:
            return self.answered_s is None or now_s - self.answered_s >= MAX_RETENTION_S
        suspect = _Suspect()
        for loss in self.losses:
            suspect.add(loss)
        return suspect.is_expired(now_s)


@dataclass(frozen=True, slots=True, kw_only=True)
class PartEvidence:
    """What is held against a part of a prompt that is sent all the same.

    Attributes:
        crashes: Number of crashes that are kept.
        counted: Number of those that came one after the other.
        age_s: Time since the latest of them.
        sent_because: Why the part does not keep the prompt from being sent.
    """

    part: PromptPartId
    crashes: int
    counted: int
    age_s: float
    sent_because: str


def hash_part(part: PromptPartId) -> PartHash:
    """Return the number by which hosts identify a part to each other."""
    return PartHash(xxhash.xxh64_intdigest(part.encode()))


def _select_successive(losses: Iterable[PartLoss]) -> list[PartLoss]:
    """Return those of some losses that came one after the other.

    A loss counts only if its request was sent after the previous counted one was lost. Upstreams
    that crash together have a common cause, and say no more about a part than one of them.
    """
    selected: list[PartLoss] = []
    for loss in sorted(losses, key=lambda loss: loss.lost_s):
        if not selected or loss.sent_s >= selected[-1].lost_s:
            selected.append(loss)
    return selected


def _choose_dropped(losses: Collection[PartLoss]) -> PartLoss:
    """Return the loss to drop from too many: the oldest one without which as much is certain."""
    by_time = sorted(losses, key=lambda loss: loss.lost_s)
    successive = _select_successive(losses)
    return next((loss for loss in by_time[:-1] if loss not in successive), by_time[0])


@dataclass(slots=True, kw_only=True)
class _Suspect:
    """The losses under one part since the latest answer to a prompt with it, by crash.

    Attributes:
        crashes: Number of losses that came one after the other.
    """

    losses: dict[Crash, PartLoss] = field(default_factory=dict)
    crashes: int = 0

    def add(self, loss: PartLoss) -> None:
        known = self.losses.get(loss.crash)
        if known is not None and not loss.corrects(known):
            return
        self.losses[loss.crash] = loss
        if len(self.losses) > MAX_CRASHES_PER_PART:
            del self.losses[_choose_dropped(self.losses.values()).crash]
        self.crashes = len(_select_successive(self.losses.values()))

    def align(self, losses: Collection[PartLoss]) -> list[PartLoss]:
        """Return the losses of a report with the times that fit to those which are known.

        Within a report, the times are exact to each other. Reports are read with different delays,
        so that a request may seem to have been sent before the loss that it followed.
        """
        pairs = ((loss, self.losses.get(loss.crash)) for loss in losses)
        delays_s = [
            loss.lost_s - known.lost_s
            for loss, known in pairs
            if known is not None and loss.is_same_as(known) and not loss.corrects(known)
        ]
        delay_s = max(delays_s, default=0.0)
        return [loss if loss.crash in self.losses else loss.shift(delay_s) for loss in losses]

    def drop_until(self, answered_s: float) -> bool:
        """Drop the losses up to an answer; return whether there were any."""
        kept = {crash: loss for crash, loss in self.losses.items() if loss.lost_s > answered_s}
        dropped = len(kept) < len(self.losses)
        self.losses, self.crashes = kept, len(_select_successive(kept.values()))
        return dropped

    @property
    def is_known(self) -> bool:
        """Whether there is enough evidence for a quarantine."""
        return self.crashes >= CRASHES_TO_QUARANTINE

    @property
    def quarantine_ends_s(self) -> float:
        """Time at which the quarantine ends; crashes at the same moment prolong it, too."""
        return self.lost_s + compute_quarantine_s(len(self.losses) - CRASHES_TO_QUARANTINE)

    def is_expired(self, now_s: float) -> bool:
        """Whether the last crash is so long ago that it says nothing about the next one."""
        if not self.is_known:
            return now_s - self.lost_s >= EVIDENCE_LIFETIME_S
        further_crashes = len(self.losses) - CRASHES_TO_QUARANTINE
        return now_s - self.lost_s >= compute_retention_s(further_crashes)

    def describe(self, part: PromptPartId, now_s: float) -> PartEvidence:
        """Return what is held against the part, in a prompt that may be sent."""
        if not self.is_known:
            reason = "too few crashes"
        elif now_s < self.quarantine_ends_s:
            reason = "another part is blamed"
        else:
            reason = "quarantine is over"
        return PartEvidence(
            part=part,
            crashes=len(self.losses),
            counted=self.crashes,
            age_s=now_s - self.lost_s,
            sent_because=reason,
        )

    @property
    def lost_s(self) -> float:
        """Time of the latest loss."""
        return max(loss.lost_s for loss in self.losses.values())

    def explains(self, other: "_Suspect") -> bool:
        """Whether the crashes under this part also account for the evidence against another."""
        unexplained = [loss for crash, loss in other.losses.items() if crash not in self.losses]
        if len(other.losses) - len(unexplained) < MIN_COMMON_CRASHES:
            return False
        return len(_select_successive(unexplained)) < CRASHES_TO_QUARANTINE


class CrashSuspects:
    """Finds the parts of prompts that crash upstreams, from the answers lost in crashes.

    All parts of a lost prompt that other prompts may share are suspects, and so are those of
    prompts whose answers had also just begun. An answer to any prompt with a part proves that the
    part is sound. What remains is blamed on as few parts as possible.
    """

    def __init__(self) -> None:
        self._suspects: dict[PartHash, _Suspect] = {}
        self._answered_s: dict[PartHash, float] = {}

    def record_loss(self, parts: Iterable[PromptPartId], loss: PartLoss) -> list[SuspectRecord]:
        """Record that an answer to a prompt was lost in a crash.

        Returns the records of the parts, without those that were answered since the loss.
        """
        hashes = [hash_part(part) for part in parts]
        return [self._build_record(part) for part in hashes if self._add_loss(part, loss)]

    def record_answer(self, parts: Iterable[PromptPartId], now_s: float) -> list[SuspectRecord]:
        """Record an answer to a prompt; return the records of the parts that were suspected."""
        hashes = [hash_part(part) for part in parts]
        return [self._build_record(part) for part in hashes if self._add_answer(part, now_s)]

    def learn(self, records: Iterable[SuspectRecord]) -> list[SuspectRecord]:
        """Add what another host knows.

        Returns the records of parts that were answered here since a loss that the other host still
        holds against them.
        """
        contradicted = []
        for record in records:
            if record.answered_s is not None:
                self._add_answer(record.part, record.answered_s)
            suspect = self._suspects.get(record.part, _Suspect())
            added = [self._add_loss(record.part, loss) for loss in suspect.align(record.losses)]
            if not all(added):
                contradicted.append(self._build_record(record.part))
        return contradicted

    def list_quarantined(
        self, parts: Collection[PromptPartId], now_s: float
    ) -> list[QuarantinedSubject]:
        """Return the parts for which a prompt must not be sent, or only as a trial.

        A part is not blamed for crashes that another suspected part accounts for, in prompts
        without that other part. Parts that all prompts of a caller share are lost with each
        crashing part, and must not be taken for it.

        Args:
            parts: The parts of the prompt that other prompts may share.
        """
        if not self._suspects:
            return []
        hashes = {hash_part(part): part for part in parts}
        return [
            QuarantinedSubject(
                kind=SubjectKind.PART,
                key=f"part {part}",
                reason=f"prompts with the part {name} crashed upstreams",
                crashed_s=self._suspects[part].lost_s,
                ends_s=self._suspects[part].quarantine_ends_s,
            )
            for part, name in hashes.items()
            if self._is_blamed(part, hashes, now_s)
        ]

    def list_evidence(self, parts: Iterable[PromptPartId], now_s: float) -> list[PartEvidence]:
        """Return what is held against the parts of a prompt that may be sent."""
        if not self._suspects:
            return []
        known = ((part, self._suspects.get(hash_part(part))) for part in parts)
        return [suspect.describe(part, now_s) for part, suspect in known if suspect is not None]

    def get_record(self, part: PartHash) -> SuspectRecord:
        """Return what is known about a part; it may be nothing."""
        return self._build_record(part)

    def list_records(self, now_s: float) -> list[SuspectRecord]:
        """Return the records of all suspected parts, those with the most evidence first.

        Expired evidence is dropped.
        """
        for part in [key for key, each in self._suspects.items() if each.is_expired(now_s)]:
            del self._suspects[part]
        parts = sorted(self._suspects, key=lambda part: self._suspects[part].crashes, reverse=True)
        return [self._build_record(part) for part in parts]

    def _is_blamed(self, part: PartHash, parts: Collection[PartHash], now_s: float) -> bool:
        """Whether a part of a prompt is known to crash upstreams, and no other one explains it."""
        suspect = self._suspects.get(part)
        if suspect is None or not suspect.is_known or suspect.is_expired(now_s):
            return False
        others = (other for key, other in self._suspects.items() if key not in parts)
        return not any(other.explains(suspect) for other in others)

    def _add_loss(self, part: PartHash, loss: PartLoss) -> bool:
        """Add a loss unless the part was answered since; return whether it was not."""
        if loss.lost_s <= self._answered_s.get(part, float("-inf")):
            return False
        suspect = self._suspects.pop(part, None) or _Suspect()
        suspect.add(loss)
        self._suspects[part] = suspect
        if len(self._suspects) > MAX_PARTS:
            del self._suspects[min(self._suspects, key=lambda key: self._suspects[key].crashes)]
        return True

    def _add_answer(self, part: PartHash, answered_s: float) -> bool:
        """Add the time of an answer; return whether the part was suspected of an earlier loss."""
        answered_s = max(answered_s, self._answered_s.pop(part, answered_s))
        self._answered_s[part] = answered_s
        if len(self._answered_s) > MAX_PARTS:
            del self._answered_s[next(iter(self._answered_s))]
        suspect = self._suspects.get(part)
        if suspect is None or not suspect.drop_until(answered_s):
            return False
        if not suspect.losses:
            del self._suspects[part]
        return True

    def _build_record(self, part: PartHash) -> SuspectRecord:
        suspect = self._suspects.get(part)
        losses = () if suspect is None else tuple(suspect.losses.values())
        return SuspectRecord(part=part, answered_s=self._answered_s.get(part), losses=losses)

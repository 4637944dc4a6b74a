"""Builders of losses of answers in crashes of upstreams."""

from collections.abc import Iterable

from greengagestage.ids import Crash, PromptPartId
from greengagestage.routing import CrashSuspects, PartLoss


def build_parts(names: str) -> list[PromptPartId]:
    """Return the parts that a text names with spaces in between."""
    return [PromptPartId(name) for name in names.split()]


def build_loss(crash: int, *, lost_s: float | None = None, sent_s: float | None = None) -> PartLoss:
    """Return a loss in the crash with a number, which is also the time of the loss if not given."""
    lost_s = float(crash) if lost_s is None else lost_s
    sent_s = lost_s - 0.2 if sent_s is None else sent_s
    return PartLoss(crash=Crash(crash), sent_s=sent_s, lost_s=lost_s)


def record_losses(suspects: CrashSuspects, parts: str, crashes: Iterable[int], **fields) -> None:
    """Record the loss of a prompt with some parts in each of some crashes."""
    for crash in crashes:
        suspects.record_loss(build_parts(parts), build_loss(crash, **fields))

"""Messages about duties that hosts send to each other as datagrams."""

from collections.abc import Iterator, Mapping

from msgspec import Struct

from greengagestage.ids import HostId, WorkspaceId

MAX_COUNT_BYTES = 1_000
"""Size of the counts in one report; the rest of the datagram holds the sender and the framing."""

ENTRY_BYTES = 11
"""Size of an entry besides its name: up to two bytes before the name, and a number."""


class DutyReport(Struct, frozen=True, array_like=True, tag="duty"):
    """Reports that the sender has just acquired, renewed or released the lease of a duty.

    Attributes:
        holder: The sender; empty after a release.
        revision: Revision of the lease's row in the store.
        era: The store's era; None if the store does not state it.
        standby: Host that gets the usage counts too, and takes the duty over without a delay.
        decided: The newest usage window whose counts are decided; -1 if none is.
        settled: The usage window up to which all are reported, or too late; -1 if none is.
    """

    duty: str
    holder: HostId
    token: int
    revision: int
    era: int | None = None
    standby: HostId = HostId("")
    decided: int = -1
    settled: int = -1


class UsageReport(Struct, frozen=True, array_like=True, tag="usage"):
    """Reports how many requests have begun at the sender since the window's begin.

    Attributes:
        final: Whether the counts are complete. Before the end of the window, that means that the
            sender serves no further requests.
        part: Number of this report among ``parts``, over which the counts are split.
    """

    window: int
    counts: dict[WorkspaceId, int]
    final: bool = False
    part: int = 0
    parts: int = 1


class UsageReceipt(Struct, frozen=True, array_like=True, tag="usage-receipt"):
    """Tells the sender of complete counts that they have arrived."""

    window: int


DutyBody = DutyReport | UsageReport | UsageReceipt


def split_counts(counts: Mapping[WorkspaceId, int]) -> Iterator[dict[WorkspaceId, int]]:
    """Yield the counts in parts that each fit into a datagram; at least one, perhaps empty."""
    part: dict[WorkspaceId, int] = {}
    size = 0
    for workspace, count in counts.items():
        entry_bytes = len(workspace.encode()) + ENTRY_BYTES
        if part and size + entry_bytes > MAX_COUNT_BYTES:
            yield part
            part, size = {}, 0
        part[workspace] = count
        size += entry_bytes
    yield part

"""Reports of suspected prompt parts between hosts, without network input or output.

A change is told to all hosts at once. Besides, each host regularly tells some others all that it
knows. So hosts that start, or that were cut off, learn what they have missed.
"""

from collections.abc import Callable, Iterable, Iterator, Sequence

from greengagestage.ids import Crash, HostId, PartHash
from greengagestage.routing import PartLoss, SuspectRecord

from ._peer_messages import LossEntry, SuspectEntry, SuspectsReport

GOSSIP_INTERVAL_S = 0.5
GOSSIP_PEERS = 2
"""How often a host tells others all that it knows, and how many of them. Each host is told several
times a second on average, however many hosts there are."""

REPLIES_PER_REPORT = 4.0
"""Mean number of hosts that reply if all hosts know what another one lacks."""

MAX_GOSSIP_LOSSES = 120
"""Maximum number of losses told in one round."""

MAX_LOSSES_PER_REPORT = 24
"""Maximum number of entries in one datagram; one with a loss takes up to 40 bytes."""


class SuspectGossip:
    """Plans to whom and when a host tells what it knows.

    Args:
        draw: Returns random numbers from 0 up to 1.
    """

    def __init__(self, *, draw: Callable[[], float]) -> None:
        self._draw = draw
        self._next_round_s = 0.0

    def is_due(self, now_s: float) -> bool:
        """Whether the next round should be planned now."""
        return now_s >= self._next_round_s

    def plan_reports(
        self, records: Iterable[SuspectRecord], peers: Sequence[HostId], now_s: float
    ) -> list[tuple[HostId, SuspectsReport]]:
        """Return the reports of one round, which begins with a random record if not all fit."""
        self._next_round_s = now_s + GOSSIP_INTERVAL_S * (0.5 + self._draw())
        records = list(records)
        if sum(map(_measure, records)) > MAX_GOSSIP_LOSSES:
            first = int(self._draw() * len(records))
            records = records[first:] + records[:first]
        reports = _build_limited_reports(records, now_s)
        if not reports:
            return []
        return [(peer, report) for peer in self.draw_targets(peers) for report in reports]

    def plan_reply(
        self, records: Iterable[SuspectRecord], peers: int, now_s: float
    ) -> list[SuspectsReport]:
        """Return the reports of what another host lacks.

        They are empty at random, since all other hosts may know the same.

        Args:
            peers: Number of other hosts.
        """
        return _build_limited_reports(records, now_s) if self.draw_reply(peers) else []

    def draw_targets(self, peers: Sequence[HostId]) -> list[HostId]:
        """Return the hosts that are told something in a round."""
        return sorted({peers[int(self._draw() * len(peers))] for _ in range(GOSSIP_PEERS) if peers})

    def draw_reply(self, peers: int) -> bool:
        """Return whether to tell a host what all other hosts may know as well."""
        return self._draw() * peers < REPLIES_PER_REPORT


def build_suspect_reports(
    records: Iterable[SuspectRecord], now_s: float
) -> Iterator[SuspectsReport]:
    """Yield reports of the records, each of which fits into a datagram."""
    entries: list[SuspectEntry] = []
    size = 0
    for record in records:
        if entries and size + _measure(record) > MAX_LOSSES_PER_REPORT:
            yield SuspectsReport(entries)
            entries, size = [], 0
        entries.append(_encode_record(record, now_s))
        size += _measure(record)
    if entries:
        yield SuspectsReport(entries)


def read_suspect_report(report: SuspectsReport, now_s: float) -> list[SuspectRecord]:
    """Return the records of a report, with times of this host's clock."""
    return [_decode_entry(entry, now_s) for entry in report.suspects]


def _measure(record: SuspectRecord) -> int:
    return max(len(record.losses), 1)


def _build_limited_reports(records: Iterable[SuspectRecord], now_s: float) -> list[SuspectsReport]:
    return list(build_suspect_reports(_take_limited(records), now_s))


def _take_limited(records: Iterable[SuspectRecord]) -> Iterator[SuspectRecord]:
    """Yield the first records, up to the limit of a round."""
    size = 0
    for record in records:
        size += _measure(record)
        if size > MAX_GOSSIP_LOSSES:
            return
        yield record


def _encode_record(record: SuspectRecord, now_s: float) -> SuspectEntry:
    return SuspectEntry(
        record.part,
        None if record.answered_s is None else _to_age_ms(record.answered_s, now_s),
        [
            LossEntry(
                loss.crash,
                _to_age_ms(loss.sent_s, now_s),
                _to_age_ms(loss.lost_s, now_s),
            )
            for loss in record.losses
        ],
    )


def _decode_entry(entry: SuspectEntry, now_s: float) -> SuspectRecord:
    return SuspectRecord(
        part=PartHash(entry.part),
        answered_s=None if entry.answered_ms is None else _to_time_s(entry.answered_ms, now_s),
        losses=tuple(
            PartLoss(
                crash=Crash(loss.crash),
                sent_s=_to_time_s(loss.sent_ms, now_s),
                lost_s=_to_time_s(loss.lost_ms, now_s),
            )
            for loss in entry.losses
        ),
    )


def _to_time_s(age_ms: int, now_s: float) -> float:
    return now_s - max(age_ms, 0) / 1_000


def _to_age_ms(time_s: float, now_s: float) -> int:
    return round((now_s - time_s) * 1_000)

"""Comparison of all records with one other host at a time."""

from collections.abc import Iterable, Iterator
from random import Random

from greengagestage.ids import ConfigurationVersion
from greengagestage.wire import HostRecord, MemberState, SyncRecords, SyncRequest

from ._book import RecordTable
from ._parcels import RECORDS_PER_MESSAGE, sort_records

HEALING_ROUNDS = 3
"""Every so many comparisons go to a host that is thought to be gone or is not known yet."""
SEEDS_LIMIT = 4096


class Synchronization:
    """Chooses whom to compare with, and what to send."""

    def __init__(self, *, records: RecordTable, random: Random) -> None:
        self._book = records
        self._random = random
        self._seeds: dict[str, None] = {}
        self._rounds = 0

    def add_seeds(self, addresses: Iterable[str]) -> None:
        """Remember addresses at which agents may be; the oldest are forgotten first."""
        for address in addresses:
            self._seeds.pop(address, None)
            self._seeds[address] = None
        while len(self._seeds) > SEEDS_LIMIT:
            del self._seeds[next(iter(self._seeds))]

    def choose_address(self, own: HostRecord, members: list[HostRecord]) -> str | None:
        """Return the address of a random member, or now and then of a host that may be back.

        Members that lost each other find each other again this way: after a cut, each side
        thinks that the other is gone.
        """
        self._rounds += 1
        known = {record.address for record in members} | {own.address}
        others = [address for address in self._seeds if address not in known]
        others += [
            record.address
            for record in self._book.list_hosts()
            if record.state is MemberState.GONE and record.address not in known
        ]
        peers = [record.address for record in members if record.host != own.host]
        heals = not peers or self._rounds % HEALING_ROUNDS == 0
        choices = others if heals and others else peers
        return self._random.choice(choices) if choices else None

    def build_request(self, own: HostRecord, version: ConfigurationVersion) -> SyncRequest:
        """Return the message that begins a comparison."""
        return SyncRequest(record=own, version=version, digests=self._book.digests)

    def build_answer(
        self, own: HostRecord, version: ConfigurationVersion, request: SyncRequest
    ) -> Iterator[SyncRecords]:
        """Yield this host's records of the buckets that differ, and ask for the other's.

        Without a difference, one message without records tells that this host lives.
        """
        differing = tuple(
            bucket
            for bucket, (digest, theirs) in enumerate(
                zip(self._book.digests, request.digests, strict=False)
            )
            if digest != theirs
        )
        return self._build_records(own, version, differing, wanted=differing)

    def build_return(
        self, own: HostRecord, version: ConfigurationVersion, answer: SyncRecords
    ) -> Iterator[SyncRecords]:
        """Yield the records that an answer asks for in return."""
        if answer.wanted:
            yield from self._build_records(own, version, answer.wanted, wanted=())

    def _build_records(
        self,
        own: HostRecord,
        version: ConfigurationVersion,
        buckets: tuple[int, ...],
        wanted: tuple[int, ...],
    ) -> Iterator[SyncRecords]:
        records = self._book.list_buckets(buckets)
        for start in range(0, max(len(records), 1), RECORDS_PER_MESSAGE):
            part = sort_records(records[start : start + RECORDS_PER_MESSAGE])
            yield SyncRecords(
                record=own,
                version=version,
                wanted=wanted if start == 0 else (),
                hosts=part.hosts,
                marks=part.marks,
                crashes=part.crashes,
                quarantined=part.quarantined,
            )

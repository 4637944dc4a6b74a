"""Anti-entropy: compares all records with one other host at a time."""

from collections.abc import Iterable, Iterator
from random import Random

from greengagestage.ids import ConfigurationVersion
from greengagestage.wire import HostRecord, MemberState, SyncRecords, SyncRequest

from ._record_groups import RECORDS_PER_MESSAGE, group_by_kind
from ._record_table import RecordTable

REJOIN_INTERVAL_ROUNDS = 3
"""One comparison in this many goes to a host that counts as gone or is not known yet."""
MAX_SEEDS = 4096


class Synchronizer:
    """Chooses the hosts to compare records with, and builds the messages."""

    def __init__(self, *, records: RecordTable, random: Random) -> None:
        self._records = records
        self._random = random
        self._seeds: dict[str, None] = {}
        self._rounds = 0

    def add_seeds(self, addresses: Iterable[str]) -> None:
        """Add addresses where agents may run. Beyond ``MAX_SEEDS`` the oldest are dropped."""
        for address in addresses:
            self._seeds.pop(address, None)
            self._seeds[address] = None
        while len(self._seeds) > MAX_SEEDS:
            del self._seeds[next(iter(self._seeds))]

    def choose_address(self, own: HostRecord, members: list[HostRecord]) -> str | None:
        """Return the address of a random member, or at times of a host that may be back.

        This heals network partitions: after one, each side counts the other side as gone.
        Returns None if no address is known.
        """
        self._rounds += 1
        known = {record.address for record in members} | {own.address}
        others = [address for address in self._seeds if address not in known]
        others += [
            record.address
            for record in self._records.list_hosts()
            if record.state is MemberState.GONE and record.address not in known
        ]
        peers = [record.address for record in members if record.host != own.host]
        is_rejoin_round = not peers or self._rounds % REJOIN_INTERVAL_ROUNDS == 0
        choices = others if is_rejoin_round and others else peers
        return self._random.choice(choices) if choices else None

    def build_request(self, own: HostRecord, version: ConfigurationVersion) -> SyncRequest:
        """Return the message that starts a comparison."""
        return SyncRequest(record=own, version=version, digests=self._records.digests)

    def build_answer(
        self, own: HostRecord, version: ConfigurationVersion, request: SyncRequest
    ) -> Iterator[SyncRecords]:
        """Yield this host's records of the buckets that differ, and request the sender's.

        Without a difference, yield one message without records, as a sign that this host is live.
        """
        differing = tuple(
            bucket
            for bucket, (digest, other_digest) in enumerate(
                zip(self._records.digests, request.digests, strict=False)
            )
            if digest != other_digest
        )
        return self._build_records(own, version, differing, wanted=differing)

    def build_follow_up(
        self, own: HostRecord, version: ConfigurationVersion, answer: SyncRecords
    ) -> Iterator[SyncRecords]:
        """Yield the records that an answer requests in return."""
        if answer.wanted:
            yield from self._build_records(own, version, answer.wanted, wanted=())

    def _build_records(
        self,
        own: HostRecord,
        version: ConfigurationVersion,
        buckets: tuple[int, ...],
        wanted: tuple[int, ...],
    ) -> Iterator[SyncRecords]:
        records = self._records.list_buckets(buckets)
        for start in range(0, max(len(records), 1), RECORDS_PER_MESSAGE):
            groups = group_by_kind(records[start : start + RECORDS_PER_MESSAGE])
            yield SyncRecords(
                record=own,
                version=version,
                wanted=wanted if start == 0 else (),
                hosts=groups.hosts,
                marks=groups.marks,
                crashes=groups.crashes,
                quarantined=groups.quarantined,
            )

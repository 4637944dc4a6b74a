"""Reading the registry of upstreams at intervals."""

from collections.abc import Callable, Iterable, Mapping
from random import Random
from typing import Any

import xxhash
from eliot import log_message
from returns.result import Success
from twisted.internet.defer import inlineCallbacks

from greengagestage.catalog import RegisteredUpstream
from greengagestage.ids import InstanceId
from greengagestage.outcomes import Unavailable
from greengagestage.platform import REGISTRY_TABLE, RowClient, RowsRead, StoredRow, decode_upstream

from ._loops import RepeatingTask, spread_pause
from ._peer_messages import RegistryNews

READ_INTERVAL_S = 0.75
RANK_DELAY_S = 0.03
MAX_RANK_DELAY_S = 0.35
"""A host reads this long after it last knew the registry to be current, and later by its rank
among the hosts, so that usually the first of them reads and tells the others. A call and the
telling take less than the delay of one rank. Together the times stay below the two seconds after
which a leaving upstream must get nothing more."""

CHANGE_SPREAD_S = 0.05
"""Hosts that hear of a change without its entries read it within this time, not all at the same
moment."""

ENTRIES_PER_NEWS = 4
MAX_TOLD_ENTRIES = 24
"""Changed entries told in one datagram, where they take some 220 bytes each, and at one change;
after a larger one every host reads the registry itself."""

RETRY_S = 0.2
"""Pause after a failed call, spread by half."""

OUTAGE_S = 1.5
"""A read this late after the one before was delayed by the store or the way to it."""

HOLD_AFTER_OUTAGE_S = 2.3
"""Upstreams whose entries lapsed in an outage write them again within two seconds."""


class RegistryWatch:
    """Knows the registered upstreams.

    An entry that is missing right after an outage is kept for a while: it may have lapsed
    because its upstream could not renew it.
    """

    def __init__(
        self,
        *,
        reactor: Any,
        rows: RowClient,
        random: Random,
        on_change: Callable[[Iterable[RegisteredUpstream]], None],
        on_read: Callable[[RegistryNews], None],
        read_rank: Callable[[], int],
    ) -> None:
        self._reactor = reactor
        self._rows = rows
        self._random = random
        self._on_change = on_change
        self._on_read = on_read
        self._read_rank = read_rank
        self._task = RepeatingTask(reactor=reactor, name="registry", step=self._step)
        self._known: dict[InstanceId, RegisteredUpstream] = {}
        self._current_s: float | None = None
        self._heard_revision = 0
        self._hold_until_s = 0.0
        self._revision = 0
        self._digest = _hash_registry(())

    def start(self) -> None:
        """Begin reading."""
        self._task.start()

    def stop(self) -> None:
        """Stop reading."""
        self._task.stop()

    @property
    def is_known(self) -> bool:
        """Whether the registry was read at least once."""
        return self._current_s is not None

    def hear_read(self, news: RegistryNews) -> None:
        """Take in that another host has read the registry."""
        if not self.is_known:
            return
        if news.digest == self._digest:
            self._current_s = self._reactor.seconds()
            self._revision = max(self._revision, news.revision)
        elif not self._apply_news(news) and news.revision > self._revision:
            self._heard_revision = news.revision
            self._task.hasten(CHANGE_SPREAD_S * self._random.random())

    def _apply_news(self, news: RegistryNews) -> bool:
        """Take over told entries where they follow on what this host knows."""
        if news.before != self._digest or news.revision < self._revision:
            return False
        found = {key: u for key, u in self._known.items() if key not in news.dropped}
        found.update({upstream.instance: upstream for upstream in news.listed})
        if _hash_registry(found.values()) != news.digest:
            return False
        self._current_s = self._reactor.seconds()
        self._revision = news.revision
        self._replace(found)
        return True

    @inlineCallbacks
    def _step(self) -> Any:
        age_s = self._age_s()
        if age_s is not None and age_s < READ_INTERVAL_S and not self._heard_revision:
            return READ_INTERVAL_S - age_s + self._compute_rank_delay_s()
        read = yield self._rows.read(REGISTRY_TABLE)
        if not isinstance(read, RowsRead):
            return self._fail(read)
        self._take(read.rows, read.revision)
        if self._heard_revision:
            return spread_pause(RETRY_S, self._random)
        return READ_INTERVAL_S + self._compute_rank_delay_s()

    def _compute_rank_delay_s(self) -> float:
        delay_s = min(self._read_rank() * RANK_DELAY_S, MAX_RANK_DELAY_S)
        return delay_s + RANK_DELAY_S * self._random.random()

    def _fail(self, outcome: Any) -> float:
        reason = outcome.reason if isinstance(outcome, Unavailable) else "unexpected answer"
        log_message(message_type="registry: not read", reason=reason, age_s=self._age_s())
        return spread_pause(RETRY_S, self._random)

    def _age_s(self) -> float | None:
        return None if self._current_s is None else self._reactor.seconds() - self._current_s

    def _take(self, rows: list[StoredRow], revision: int) -> None:
        now_s = self._reactor.seconds()
        age_s = self._age_s()
        if age_s is not None and age_s > OUTAGE_S:
            self._hold_until_s = now_s + HOLD_AFTER_OUTAGE_S
            log_message(message_type="registry: read after an outage", age_s=age_s)
        self._current_s = now_s
        if revision >= self._heard_revision:
            self._heard_revision = 0
        if revision < self._revision:
            log_message(message_type="registry: old read dropped", revision=revision)
            return
        self._revision = revision
        found = self._decode(rows)
        if now_s < self._hold_until_s:
            present = {row.key for row in rows}
            held = {key: u for key, u in self._known.items() if key not in present}
            found = {**held, **found}
        known = self._known
        self._replace(found)
        for news in describe_change(known, found, revision):
            self._on_read(news)

    def _decode(self, rows: list[StoredRow]) -> dict[InstanceId, RegisteredUpstream]:
        found = {}
        for row in rows:
            match decode_upstream(row.key, row.value):
                case Success(upstream):
                    found[upstream.instance] = upstream
                case failure:
                    log_message(
                        message_type="registry: entry unreadable",
                        entry=row.key,
                        fault=str(failure.failure()),
                    )
        return found

    def _replace(self, found: dict[InstanceId, RegisteredUpstream]) -> None:
        if found == self._known:
            return
        for instance in self._known.keys() - found.keys():
            log_message(message_type="registry: upstream gone", upstream=instance)
        for instance, upstream in found.items():
            known = self._known.get(instance)
            if known is None or known.availability is not upstream.availability:
                log_message(
                    message_type="registry: upstream listed",
                    upstream=instance,
                    service=upstream.service,
                    availability=upstream.availability.value,
                    started_ms=upstream.started_ms,
                )
        self._known = found
        self._digest = _hash_registry(found.values())
        self._on_change(found.values())


def describe_change(
    before: Mapping[InstanceId, RegisteredUpstream],
    after: Mapping[InstanceId, RegisteredUpstream],
    revision: int,
) -> list[RegistryNews]:
    """Return what to tell of a read: the change in steps, unless it is none or a large one."""
    listed = [
        upstream
        for key, upstream in after.items()
        if key not in before or _list_facts(before[key]) != _list_facts(upstream)
    ]
    dropped = sorted(before.keys() - after.keys())
    steps = [listed[i : i + ENTRIES_PER_NEWS] for i in range(0, len(listed), ENTRIES_PER_NEWS)]
    if len(listed) > MAX_TOLD_ENTRIES or len(dropped) > MAX_TOLD_ENTRIES or not (steps or dropped):
        return [RegistryNews(_hash_registry(after.values()), revision)]
    news = []
    current = {key: upstream for key, upstream in before.items() if key not in dropped}
    digest, gone = _hash_registry(before.values()), dropped
    for step in steps or [[]]:
        current.update({upstream.instance: upstream for upstream in step})
        known, digest = digest, _hash_registry(current.values())
        news.append(RegistryNews(digest, revision, known, step, gone))
        gone = []
    return news


def _list_facts(upstream: RegisteredUpstream) -> tuple[object, ...]:
    """Return what decides where requests go."""
    return (
        (upstream.instance, upstream.started_ms, upstream.availability.value),
        (upstream.service, upstream.address, upstream.port, upstream.slots),
    )


def _hash_registry(upstreams: Iterable[RegisteredUpstream]) -> int:
    """Hash what decides where requests go; equal on all hosts that know the same."""
    digest = xxhash.xxh64()
    for upstream in sorted(upstreams, key=lambda upstream: upstream.instance):
        digest.update(repr(_list_facts(upstream)).encode())
    return digest.intdigest()

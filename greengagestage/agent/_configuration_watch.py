"""Keeps this host's configuration up to date from the store and from other hosts."""

import time
from collections.abc import Callable
from random import Random
from typing import Any

from eliot import log_message
from twisted.internet.defer import Deferred

from greengagestage.configuration import (
    Adoption,
    AdoptionOutcome,
    Declaration,
    Head,
    Version,
    VersionRow,
    encode_declaration,
)
from greengagestage.ids import CommandId, OperatorName
from greengagestage.outcomes import Unavailable

from ._configuration_store import ConfigurationStore, HeadState

POLL_JITTER = 0.25
"""Each poll interval is randomly longer or shorter by up to this fraction."""
POLLS_BEFORE_RESTORE = 2
"""Polls in a row that must show a lower version before the one in force is written back."""


class ConfigurationWatch:
    """Polls the head and fetches the documents of higher versions.

    ``on_adopted`` is called with each version that comes into force.
    """

    def __init__(
        self,
        *,
        reactor: Any,
        store: ConfigurationStore,
        interval_s: float,
        random: Random,
        on_adopted: Callable[[Version], None],
    ) -> None:
        self.adoption = Adoption()
        self._reactor = reactor
        self._store = store
        self._interval_s = interval_s
        self._random = random
        self._on_adopted = on_adopted
        self._fetching: set[Head] = set()
        self._next_poll: Any = None
        self._polls_with_store_behind = 0
        self.is_store_reachable = False

    def start(self) -> None:
        """Start polling."""
        self._poll()

    def stop(self) -> None:
        """Stop polling."""
        if self._next_poll is not None and self._next_poll.active():
            self._next_poll.cancel()
        self._next_poll = None

    def fetch_version(self, head: Head) -> None:
        """Record a version read from the store, and fetch the documents of all wanted versions."""
        self.adoption.announce(head)
        for wanted in self.adoption.wanted:
            self._start_fetch(wanted)

    def receive_document(self, head: Head, document: bytes) -> None:
        """Process a document from the store or another host, whose head is trusted."""
        verdict = self.adoption.receive(head, document)
        if verdict is AdoptionOutcome.OLD:
            return
        log_message(
            f"configuration: version {verdict.value}", version=head.version, digest=head.digest
        )
        version = self.adoption.in_force
        if verdict is AdoptionOutcome.ADOPTED and version is not None:
            self._on_adopted(version)

    def receive_accepted(self, head: Head, declaration: Declaration) -> None:
        """Process a version accepted through this host, whose document need not be fetched."""
        self.receive_document(head, encode_declaration(declaration))

    def _poll(self) -> None:
        spread = self._interval_s * POLL_JITTER
        delay = self._interval_s + self._random.uniform(-spread, spread)
        self._next_poll = self._reactor.callLater(delay, self._poll)
        Deferred.fromCoroutine(self._read_head()).addErrback(_log_failure)

    async def _read_head(self) -> None:
        state = await self._store.read_head()
        self.is_store_reachable = isinstance(state, HeadState)
        if isinstance(state, Unavailable):
            return
        if state.row is not None:
            self.fetch_version(Head(version=state.row.version, digest=state.row.digest))
        await self._restore_if_behind(state)

    async def _restore_if_behind(self, state: HeadState) -> None:
        """Write the version in force back to the store after two polls that showed a lower one."""
        in_force = self.adoption.in_force
        is_store_behind = in_force is not None and state.version < in_force.head.version
        self._polls_with_store_behind = self._polls_with_store_behind + 1 if is_store_behind else 0
        if in_force is None or self._polls_with_store_behind < POLLS_BEFORE_RESTORE:
            return
        row = VersionRow(
            version=in_force.head.version,
            digest=in_force.head.digest,
            command_id=CommandId(f"restore-{in_force.head.version}"),
            operator=OperatorName(""),
            at=time.time(),
            command="restored by a host, since the store had lost it",
        )
        taken = await self._store.restore(row, in_force.document, state)
        log_message("configuration: store restored", version=row.version, taken=taken)

    def _start_fetch(self, head: Head) -> None:
        if head not in self._fetching:
            self._fetching.add(head)
            fetch = Deferred.fromCoroutine(self._fetch(head)).addErrback(_log_failure)
            fetch.addBoth(lambda _: self._fetching.discard(head))

    async def _fetch(self, head: Head) -> None:
        document = await self._store.read_document(head.digest)
        if not isinstance(document, Unavailable):
            self.receive_document(head, document)


def _log_failure(failure: Any) -> None:
    log_message("configuration: fault", fault=failure.getTraceback())

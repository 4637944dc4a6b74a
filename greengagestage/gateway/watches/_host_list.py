"""The list of hosts in the store, by which they discover each other."""

from collections.abc import Callable, Mapping
from random import Random
from typing import Any

import msgspec
from eliot import log_message
from msgspec import Struct
from returns.result import Success
from twisted.internet.defer import inlineCallbacks

from greengagestage.catalog import HostSettings
from greengagestage.decoding import decode_json
from greengagestage.ids import HostId
from greengagestage.platform import (
    HOST_TABLE,
    RowClient,
    RowConflict,
    RowExpectation,
    RowsRead,
    Transaction,
    build_put,
)

from .._loops import RepeatingTask, add_jitter
from ._store_era import StoreEra

REFRESH_INTERVAL_S = 25.0
"""Time between two reads of the list. New hosts announce themselves to their peers at once."""

REGISTRATION_SPREAD_S = 2.0
"""Time over which hosts spread their writes when the store may have lost their rows. The store
limits the number of writes per second."""

REREAD_S = 4.0
"""Time from such a write to another read, with a jitter of 25%: then all hosts have written, also
those that have started meanwhile."""

RETRY_S = 0.4
"""Pause after a failed call, with a jitter of 50%."""


class HostRow(Struct, frozen=True, kw_only=True):
    """A host's row in the list, written by the host itself."""

    address: str
    failure_domain: str


class HostList:
    """Registers this host, again in each era of the store, and reads the rows of the others.

    Args:
        on_hosts: Handles the rows of all hosts.
        on_registered: Called before the first rows are handled, with whether a row of this host was
            there before, which an earlier process has written.
    """

    def __init__(
        self,
        *,
        reactor: Any,
        rows: RowClient,
        era: StoreEra,
        settings: HostSettings,
        random: Random,
        on_hosts: Callable[[Mapping[HostId, HostRow]], None],
        on_registered: Callable[[bool], None] = lambda has_predecessor: None,
    ) -> None:
        self._rows = rows
        self._era = era
        self._settings = settings
        self._random = random
        self._on_hosts = on_hosts
        self._on_registered = on_registered
        self._has_predecessor: bool | None = None
        self._task = RepeatingTask(reactor=reactor, name="host list", step=self._step)
        self._registered = False
        self._rereads = False
        era.add_listener(self._begin_era)

    def start(self) -> None:
        """Register this host and start the periodic reads."""
        self._task.start()

    def stop(self) -> None:
        """Stop the periodic reads; the row stays, since the host usually starts again."""
        self._task.stop()

    def _begin_era(self) -> None:
        self._registered = False
        self._rereads = True
        self._task.run_within(REGISTRATION_SPREAD_S * self._random.random())

    @inlineCallbacks
    def _step(self) -> Any:
        if not self._registered:
            self._registered = yield self._register()
        listed = yield self._rows.read(HOST_TABLE)
        if not self._registered or not isinstance(listed, RowsRead):
            return add_jitter(RETRY_S, self._random)
        if self._has_predecessor is not None:
            self._on_registered(self._has_predecessor)
        self._on_hosts(self._decode(listed))
        pause_s = REREAD_S if self._rereads else REFRESH_INTERVAL_S
        self._rereads = False
        return pause_s * (0.75 + 0.5 * self._random.random())

    @inlineCallbacks
    def _register(self) -> Any:
        settings = self._settings
        row = HostRow(address=settings.address, failure_domain=settings.failure_domain)
        value = msgspec.json.encode(row)
        put = build_put(HOST_TABLE, settings.host, value)
        absent = [RowExpectation(table=HOST_TABLE, key=settings.host, revision=0)]
        expected = absent if self._has_predecessor is None else []
        outcome = yield self._rows.transact(Transaction(expected=expected, puts=[put]))
        match outcome:
            case RowConflict(rows=rows):
                self._has_predecessor = True
                if any(each.value == value for each in rows):
                    return self._era.is_current(outcome.era)
                registered = yield self._register()
                return registered
            # The store answers a successful write, like a read, with ``RowsRead``.
            case RowsRead():
                self._has_predecessor = bool(self._has_predecessor)
                return self._era.is_current(outcome.era)
        return False

    def _decode(self, listed: RowsRead) -> dict[HostId, HostRow]:
        hosts = {}
        for row in listed.rows:
            match decode_json(row.value, HostRow):
                case Success(host):
                    hosts[HostId(row.key)] = host
                case failure:
                    fault = failure.failure()
                    log_message(
                        message_type="host list: entry unreadable", entry=row.key, fault=fault
                    )
        return hosts

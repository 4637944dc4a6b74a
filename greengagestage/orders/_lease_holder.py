"""Acquires, renews and releases the leases that this host watches."""

import uuid
from collections.abc import Callable, Collection
from typing import Any

from eliot import log_message
from twisted.internet.defer import Deferred, DeferredList, inlineCallbacks

from greengagestage.ids import HostId
from greengagestage.outcomes import Unavailable
from greengagestage.services import Committed, Conflict, Put, TableClient

from ._groups import choose_candidates
from ._lease import Lease, lease_key


class LeaseManager:
    """Maintains the leases that this host watches, held here or by another host.

    Only a few hosts watch a lease, so the number of reads grows with the number of leases, not of
    hosts.
    """

    def __init__(
        self,
        *,
        reactor: Any,
        table: TableClient,
        host: HostId,
        hosts: Callable[[], Collection[HostId]],
    ) -> None:
        self._reactor = reactor
        self._table = table
        self._host = host
        self._hosts = hosts
        self._instance = uuid.uuid4().hex
        self._leases: dict[str, Lease] = {}
        self._stopped = False

    def list_held(self) -> tuple[Lease, ...]:
        """Return the leases that this host certainly holds now."""
        now_s = self._reactor.seconds()
        return tuple(x for x in self._leases.values() if x.compute_remaining(now_s) > 0)

    def find(self, name: str) -> Lease | None:
        """Return a lease by its name, or None if this host does not watch it."""
        return self._leases.get(name)

    def maintain(self, names: Collection[str]) -> Deferred[None]:
        """Renew the leases held here and acquire the free ones that this host watches.

        Release the leases that ``names`` does not contain any more.
        """
        return self._maintain(names)

    @inlineCallbacks
    def _maintain(self, names: Collection[str]) -> Any:
        for name in [name for name in self._leases if name not in names]:
            yield self._release(self._leases.pop(name))
        for name in names:
            if self._stopped:
                return
            if self._is_watched(name):
                yield self._maintain_lease(name)
            else:
                self._leases.pop(name, None)

    def _is_watched(self, name: str) -> bool:
        lease = self._leases.get(name)
        held = lease is not None and lease.compute_remaining(self._reactor.seconds()) > 0
        return held or self._host in choose_candidates(name, {*self._hosts(), self._host})

    @inlineCallbacks
    def _maintain_lease(self, name: str) -> Any:
        lease = self._leases.get(name)
        if lease is None:
            lease = Lease(name=name, host=self._host, instance=self._instance)
            self._leases[name] = lease
        row = yield self._table.read_row(lease_key(name))
        if isinstance(row, Unavailable):
            return
        lease.observe(row, self._reactor.seconds())
        plan = lease.plan(self._reactor.seconds())
        if plan is not None and not self._stopped:
            yield self._write(lease, plan)

    @inlineCallbacks
    def _write(self, lease: Lease, plan: Put) -> Any:
        sent_at_s = self._reactor.seconds()
        number = lease.fencing_number
        outcome = yield self._table.transact([plan])
        now_s = self._reactor.seconds()
        match outcome:
            case Committed(rows=(row,)):
                lease.confirm(row, sent_at_s, now_s)
                if lease.fencing_number != number:
                    log_message(message_type="orders: lease acquired", lease=lease.name)
            case Conflict(rows=(row,)):
                lease.observe(row, now_s)
                log_message(message_type="orders: lease is another's", lease=lease.name)

    @inlineCallbacks
    def _release(self, lease: Lease) -> Any:
        plan = lease.begin_release()
        if plan is not None:
            yield self._table.transact([plan])

    @inlineCallbacks
    def stop(self) -> Any:
        """Release every lease, so that other hosts need not wait until they expire."""
        self._stopped = True
        leases = list(self._leases.values())
        self._leases.clear()
        yield DeferredList([self._release(lease) for lease in leases])

"""Brings engines into their desired states while this host holds their lease."""

from collections.abc import Callable, Collection
from dataclasses import dataclass, field
from typing import Any

from eliot import log_message
from msgspec.structs import replace
from twisted.internet.defer import Deferred, DeferredList, inlineCallbacks
from twisted.internet.task import LoopingCall
from twisted.python.failure import Failure

from greengagestage.configuration import Upstream, UpstreamKind
from greengagestage.ids import FencingNumber, HostId, UpstreamName
from greengagestage.outcomes import Unavailable
from greengagestage.services import Committed, Conflict, Permit, Row, TableClient, WeightClient

from ._adoption import (
    LEASE_CHECK_INDEX,
    OrderState,
    choose_read_interval,
    is_done,
    needs_adoption,
    plan_adoption,
    plan_intent_write,
)
from ._descriptions import LeaseDescription, OrderDescription, describe_leases, describe_orders
from ._engine_client import EngineClient, OldNumber, OrderTaken
from ._groups import TARGET_UPSTREAMS_PER_GROUP, group_upstreams
from ._intents import IntentStore, read_intent
from ._lease import Lease
from ._lease_holder import LeaseManager
from ._outcomes import OrderOutcome
from ._states import EngineState, Intent, OrderCommand, intent_key

LOOP_INTERVAL_S = 5.0
ORDER_TIMEOUT_S = 2.0
WRITE_TRIES = 3
MAX_CONCURRENT_ENGINES = TARGET_UPSTREAMS_PER_GROUP


@dataclass(slots=True, kw_only=True)
class _Engine:
    """What this host knows of one engine in addition to its intent.

    Attributes:
        next_read_s: Reactor time in seconds at which the engine is read again if its intent has
            not changed.
        handled_revision: Revision of the intent's row when it was last handled; 0 makes the next
            reconciliation handle the row again.
        seen_number: The highest fencing number that the engine reported.
        permits: Artifacts that the weight store has permitted this engine to fetch for the
            current load.
        order_state: Progress of the engine's order.
        message: Why the order is not settled, for operators.
    """

    client: EngineClient
    url: str
    next_read_s: float = 0.0
    handled_revision: int = 0
    seen_number: FencingNumber = FencingNumber(0)
    permits: set[str] = field(default_factory=set)
    order_state: OrderState = OrderState.PENDING
    message: str = ""


class Reconciler:
    """Maintains the leases of one host and reconciles the engines under them.

    Args:
        upstreams: The declared upstreams.
        hosts: The live hosts of the fleet, from which the watchers of each lease are chosen.
        is_leaving: Whether an upstream is leaving or gone.
        create_client: Creates the client of an engine at a URL; tests replace it.
    """

    def __init__(
        self,
        *,
        reactor: Any,
        table: TableClient,
        weights: WeightClient,
        host: HostId,
        upstreams: Callable[[], Collection[Upstream]],
        hosts: Callable[[], Collection[HostId]],
        is_leaving: Callable[[UpstreamName], bool] = lambda _: False,
        create_client: Callable[[str], EngineClient] | None = None,
    ) -> None:
        self._reactor = reactor
        self._table = table
        self._weights = weights
        self._upstreams = upstreams
        self._create_client = create_client or self._create_engine_client
        self._leases = LeaseManager(reactor=reactor, table=table, host=host, hosts=hosts)
        self._intents = IntentStore(table=table, upstreams=upstreams, is_leaving=is_leaving)
        self._engines: dict[UpstreamName, _Engine] = {}
        self._loops = [self._build_loop(self.maintain_leases), self._build_loop(self.reconcile)]

    def _build_loop(self, work: Callable[[], Deferred[Any]]) -> LoopingCall:
        loop = LoopingCall(lambda: work().addErrback(log_loop_failure))
        loop.clock = self._reactor
        return loop

    def _create_engine_client(self, url: str) -> EngineClient:
        return EngineClient(reactor=self._reactor, url=url, timeout_s=ORDER_TIMEOUT_S)

    def start(self) -> None:
        """Start maintaining leases and reconciling engines."""
        for loop in self._loops:
            if not loop.running:
                loop.start(LOOP_INTERVAL_S)

    @inlineCallbacks
    def _stop(self) -> Any:
        for loop in self._loops:
            if loop.running:
                loop.stop()
        yield self._leases.stop()
        yield DeferredList([engine.client.close() for engine in self._engines.values()])

    def stop(self) -> Deferred[None]:
        """Stop sending orders, and release the leases."""
        return self._stop()

    def request_order(self, command: OrderCommand, dry_run: bool = False) -> Deferred[OrderOutcome]:
        """Accept an operator's order on any host; the lease holder carries it out."""
        return self._intents.request(command, dry_run)

    @inlineCallbacks
    def _describe_orders(self) -> Any:
        rows = yield self._table.read_keys([intent_key(name) for name in self._list_engines()])
        if isinstance(rows, Unavailable):
            return rows
        known = {name: (x.order_state, x.message) for name, x in self._engines.items()}
        return describe_orders(rows, known)

    def describe_orders(self) -> Deferred[tuple[OrderDescription, ...] | Unavailable]:
        """Return the orders; only the lease holder knows why one is not settled."""
        return self._describe_orders()

    @inlineCallbacks
    def _describe_leases(self) -> Any:
        groups = group_upstreams(self._list_engines())
        rows = yield self._table.read_rows("lease/", max(len(groups) * 2, 64))
        if isinstance(rows, Unavailable):
            return rows
        now_s = self._reactor.seconds()
        held = {x.name: x.compute_remaining(now_s) for x in self._leases.list_held()}
        return describe_leases(rows, held)

    def describe_leases(self) -> Deferred[tuple[LeaseDescription, ...] | Unavailable]:
        """Return the leases; the remaining time is known only for those held here."""
        return self._describe_leases()

    def _list_engines(self) -> dict[UpstreamName, Upstream]:
        return {x.name: x for x in self._upstreams() if x.kind is UpstreamKind.ENGINE}

    def maintain_leases(self) -> Deferred[Any]:
        """Renew, acquire and release the leases of all groups of declared engines.

        See ``LeaseManager.maintain``.
        """
        return self._leases.maintain(group_upstreams(self._list_engines()))

    @inlineCallbacks
    def _reconcile_all(self) -> Any:
        engines = self._list_engines()
        groups = group_upstreams(engines)
        for lease in self._leases.list_held():
            members = [engines[name] for name in groups.get(lease.name, ())]
            yield self._reconcile_group(lease, members)

    def reconcile(self) -> Deferred[Any]:
        """Reconcile the engines of the leases held here with their intents, one step each."""
        return self._reconcile_all()

    @inlineCallbacks
    def _reconcile_group(self, lease: Lease, members: list[Upstream]) -> Any:
        rows = yield self._table.read_keys([intent_key(upstream.name) for upstream in members])
        if isinstance(rows, Unavailable):
            log_message(message_type="orders: intents cannot be read", lease=lease.name)
            return
        work = list(zip(members, rows, strict=True))
        for start in range(0, len(work), MAX_CONCURRENT_ENGINES):
            batch = work[start : start + MAX_CONCURRENT_ENGINES]
            steps = [self._reconcile(lease, upstream, row) for upstream, row in batch]
            yield DeferredList([step.addErrback(log_loop_failure) for step in steps])

    @inlineCallbacks
    def _reconcile(self, lease: Lease, upstream: Upstream, row: Row) -> Any:
        intent = read_intent(row)
        if intent is None:
            return
        engine = self._get_or_create_engine(upstream)
        changed = row.revision != engine.handled_revision
        if not changed and self._reactor.seconds() < engine.next_read_s:
            return
        if needs_adoption(intent, lease, engine.seen_number):
            adopted = yield self._adopt(lease, engine, row, intent)
            if adopted is None:
                return
            row, intent = adopted
        engine.handled_revision = row.revision
        yield self._apply_intent(lease, upstream, engine, row, intent)
        engine.next_read_s = self._reactor.seconds() + choose_read_interval(
            engine.order_state, upstream.fencing
        )

    def _get_or_create_engine(self, upstream: Upstream) -> _Engine:
        engine = self._engines.get(upstream.name)
        if engine is None or engine.url != upstream.url:
            engine = _Engine(client=self._create_client(upstream.url), url=upstream.url)
            self._engines[upstream.name] = engine
        return engine

    @inlineCallbacks
    def _adopt(self, lease: Lease, engine: _Engine, row: Row, intent: Intent) -> Any:
        adopted = plan_adoption(intent, lease, engine.seen_number)
        written = yield self._write_intent(lease, row, adopted)
        engine.permits.clear()
        return None if written is None else (written, adopted)

    @inlineCallbacks
    def _write_intent(self, lease: Lease, row: Row, intent: Intent) -> Any:
        """Write an intent while the lease is held; return its row, or None.

        The holder's own renewal may change the lease's row in the meantime, so a write that this
        row refused is planned again from its new revision. If an answer is lost, the next
        reconciliation reads the result.
        """
        for _ in range(WRITE_TRIES):
            if not self._has_time_to_act(lease):
                return None
            outcome = yield self._table.transact(plan_intent_write(row, intent, lease))
            if isinstance(outcome, Committed):
                return outcome.rows[0]
            if not isinstance(outcome, Conflict) or outcome.failed != (LEASE_CHECK_INDEX,):
                return None
            lease.observe(outcome.rows[LEASE_CHECK_INDEX], self._reactor.seconds())
        return None

    def _has_time_to_act(self, lease: Lease) -> bool:
        """Whether this host holds the lease for longer than an order may take.

        The call of an order sent now then returns or times out while the lease is held. Before an
        intent is written, the same time is required.
        """
        return lease.compute_remaining(self._reactor.seconds()) > ORDER_TIMEOUT_S

    @inlineCallbacks
    def _apply_intent(
        self, lease: Lease, upstream: Upstream, engine: _Engine, row: Row, intent: Intent
    ) -> Any:
        actual = yield engine.client.read()
        if isinstance(actual, Unavailable):
            record_progress(engine, OrderState.PENDING, f"engine cannot be read: {actual.reason}")
            return
        engine.seen_number = max(engine.seen_number, actual.fencing_number)
        if not is_done(intent, actual, upstream.fencing):
            actual = yield self._order(lease, upstream.name, engine, intent, actual)
        if actual is None or not is_done(intent, actual, upstream.fencing):
            return
        record_progress(engine, OrderState.SETTLED, "")
        engine.permits.clear()
        if not intent.settled:
            settled = replace(intent, settled=True)
            written = yield self._write_intent(lease, row, settled)
            engine.handled_revision = written.revision if written else 0

    @inlineCallbacks
    def _order(
        self,
        lease: Lease,
        name: UpstreamName,
        engine: _Engine,
        intent: Intent,
        actual: EngineState,
    ) -> Any:
        """Send one order; return the engine's state after it, or None if it is not known."""
        permitted = yield self._ask_permits(name, engine, intent.state.list_missing(actual))
        if not permitted:
            return None
        if not self._has_time_to_act(lease):
            record_progress(engine, OrderState.PENDING, "the lease ends too soon")
            return None
        reply = yield engine.client.order(intent.state)
        log_message(message_type="orders: order sent", upstream=name, reply=type(reply).__name__)
        match reply:
            case OrderTaken(state=state):
                record_progress(engine, OrderState.PENDING, "the engine accepted the order")
                return state
            case OldNumber(state=state):
                engine.seen_number = max(engine.seen_number, state.fencing_number)
                engine.handled_revision = 0
                record_progress(
                    engine, OrderState.FAILED, "the engine has seen a higher fencing number"
                )
            case _:
                record_progress(engine, OrderState.PENDING, reply.reason)
        return None

    @inlineCallbacks
    def _ask_permits(self, name: UpstreamName, engine: _Engine, artifacts: tuple[str, ...]) -> Any:
        for artifact in artifacts:
            if artifact in engine.permits:
                continue
            outcome = yield self._weights.request_permit(artifact, name)
            if not isinstance(outcome, Permit):
                record_progress(
                    engine, OrderState.PENDING, f"waits for the weight store: {artifact}"
                )
                return False
            engine.permits.add(artifact)
        return True


def log_loop_failure(failure: Failure) -> None:
    """Log a failure, so that it does not end the loop it occurred in."""
    log_message(message_type="orders: fault", reason=repr(failure.value))


def record_progress(engine: _Engine, state: OrderState, message: str) -> None:
    """Store the progress of an engine's order."""
    engine.order_state = state
    engine.message = message

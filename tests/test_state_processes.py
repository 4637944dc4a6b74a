"""Tests claims and orders with the real clients against stand-ins that run as processes."""

import sys
from collections import Counter
from collections.abc import Callable, Iterator
from pathlib import Path
from typing import Any

import msgspec
import pytest
from twisted.internet.defer import Deferred

from greengagestage.claims import ClaimStore
from greengagestage.claims._rows import ClaimState, claim_key, read_claim
from greengagestage.configuration import FencingMode
from greengagestage.ids import AttemptId, HostId, IdempotencyKey, ModelName
from greengagestage.orders import OrderAccepted, Reconciler
from greengagestage.orders._engine_client import EngineClient, OldNumber, OrderTaken
from greengagestage.orders._states import EngineState
from greengagestage.platform import ObjectClient
from greengagestage.policy import ClaimOutcome
from greengagestage.services import (
    TableClient,
    WeightClient,
)
from standins._platform_faults import PlatformFault, PlatformFaultKind, PlatformService
from standins._processes import ChildProcess
from standins._web_calls import send_request

from .builders import build_engine
from .claim_builders import SMALL, WORKSPACE, build_ask
from .order_builders import build_command
from .reactors import ClockedReactor, run_until, running_reactor

pytestmark = [pytest.mark.process, pytest.mark.xdist_group("state")]
TIMEOUT_S = 0.5
STEP_S = 0.2
"""Time between two rounds of a reconciler. No call is under way when the clock advances."""
KEY_COUNT = 12
FAULTS = {
    "none": PlatformFaultKind.NONE,
    "down": PlatformFaultKind.DOWN,
    "slow": PlatformFaultKind.SLOW,
    "answers lost": PlatformFaultKind.ANSWER_LOST,
}


@pytest.fixture
def start_process(tmp_path: Path) -> Iterator[Callable[..., str]]:
    children: list[ChildProcess] = []

    def start_child(name: str, *options: str) -> str:
        command = [sys.executable, "-m", f"standins.{name}", *options]
        children.append(ChildProcess(name=name, command=command, directory=tmp_path))
        children[-1].start()
        children[-1].wait_for_announcement()
        return children[-1].url

    yield start_child
    for child in children:
        child.request_stop()
        child.wait()


def set_fault(platform: str, kind: PlatformFaultKind, count: int | None = None) -> None:
    fault = PlatformFault(service=PlatformService.TABLE, kind=kind, delay_ms=900, count=count)
    body = msgspec.to_builtins(fault)
    assert send_request("POST", f"{platform}/_standin/faults", body).status == 200


def wait_for_result(reactor: Any, deferred: Deferred[Any]) -> Any:
    results: list[Any] = []
    deferred.addBoth(results.append)
    run_until(reactor, lambda: bool(results))
    return results[0]


def build_store(reactor: Any, platform: str, host: str) -> ClaimStore:
    options: dict[str, Any] = {
        "reactor": reactor,
        "base_url": platform,
        "timeout_s": TIMEOUT_S,
    }
    return ClaimStore(
        reactor=reactor,
        table=TableClient(**options),
        objects=ObjectClient(**options),
        host=HostId(host),
        write_budget_per_s=200.0,
        is_live_host=lambda _: True,
    )


@pytest.mark.parametrize("name", FAULTS)
def test_each_key_is_granted_once(start_process: Callable[..., str], name: str) -> None:
    """Each key is claimed through both hosts while the table fails, and twice afterwards."""
    platform = start_process("platform")
    with running_reactor() as reactor:
        stores = [build_store(reactor, platform, host) for host in ("h1", "h2")]
        granted: Counter[str] = Counter()
        answered: list[ClaimOutcome] = []

        def claim_all(attempt_prefix: str) -> None:
            answered.clear()
            for store, host in zip(stores, ("h1", "h2"), strict=True):
                for number in range(KEY_COUNT):
                    key = f"k{number}"
                    ask = build_ask(f"{attempt_prefix}-{host}-{key}", key=key)
                    store.claim(ask).addCallback(record_outcome, store, ask)
            run_until(reactor, lambda: len(answered) == 2 * KEY_COUNT)

        def record_outcome(outcome: ClaimOutcome, store: ClaimStore, ask: Any) -> None:
            answered.append(outcome)
            if outcome is ClaimOutcome.GRANTED:
                granted[ask.idempotency_key] += 1
                store.record_answer(WORKSPACE, ask.idempotency_key, ask.attempt_id, SMALL)

        set_fault(platform, FAULTS[name], count=6)
        claim_all("first")
        set_fault(platform, PlatformFaultKind.NONE)
        run_until(reactor, lambda: not any(store.unsettled for store in stores))
        claim_all("second")
        run_until(reactor, lambda: not any(store.unsettled for store in stores))
        claim_all("third")
        assert set(answered) == {ClaimOutcome.ANSWERED}
        assert granted == Counter({f"k{number}": 1 for number in range(KEY_COUNT)})
        kept = wait_for_result(reactor, stores[1].read_answer(WORKSPACE, IdempotencyKey("k0")))
        assert kept == SMALL


def test_claim_of_a_dead_host_stays_claimed(start_process: Callable[..., str]) -> None:
    platform = start_process("platform")
    with running_reactor() as reactor:
        first, second = (build_store(reactor, platform, host) for host in ("h1", "h2"))
        key = IdempotencyKey("k")
        assert (
            wait_for_result(reactor, first.claim(build_ask("a1", key=key))) is ClaimOutcome.GRANTED
        )
        first.stop()
        second._is_live_host = lambda host: host != "h1"
        outcome = wait_for_result(reactor, second.claim(build_ask("a2", key=key)))
        assert outcome is ClaimOutcome.RUN_UNKNOWN
        table = TableClient(reactor=reactor, base_url=platform, timeout_s=TIMEOUT_S)
        claim = read_claim(wait_for_result(reactor, table.read_row(claim_key(WORKSPACE, key))))
        assert claim is not None
        assert (claim.state, claim.attempt_id) == (ClaimState.CLAIMED, AttemptId("a1"))


@pytest.mark.parametrize("fencing", list(FencingMode))
def test_stale_order_is_refused_or_undone(
    start_process: Callable[..., str], fencing: FencingMode
) -> None:
    """An order is carried out; a stale one is refused if the engine checks fencing, else undone."""
    platform = start_process("platform")
    engine_url = start_process("engine", "--model", "small", "--fencing", fencing.value)
    upstream = build_engine("e0", url=engine_url, models=(ModelName("small"),), fencing=fencing)
    with running_reactor() as reactor:
        clocked = ClockedReactor(reactor)
        options: dict[str, Any] = {
            "reactor": clocked,
            "base_url": platform,
            "timeout_s": TIMEOUT_S,
        }
        reconciler = Reconciler(
            reactor=clocked,
            table=TableClient(**options),
            weights=WeightClient(**options),
            host=HostId("h1"),
            upstreams=lambda: [upstream],
            hosts=lambda: [HostId("h1")],
        )
        engine = EngineClient(reactor=clocked, url=engine_url, timeout_s=TIMEOUT_S)
        accepted = wait_for_result(reactor, reconciler.request_order(build_command(1)))
        assert isinstance(accepted, OrderAccepted)

        def has_ordered_models() -> bool:
            clocked.clock.advance(STEP_S)
            wait_for_result(reactor, reconciler.maintain_leases())
            wait_for_result(reactor, reconciler.reconcile())
            state = wait_for_result(reactor, engine.read())
            return isinstance(state, EngineState) and set(state.models) == {"small", "large"}

        run_until(reactor, has_ordered_models)
        stale = EngineState(models=("small",))
        reply = wait_for_result(reactor, engine.order(stale))
        assert type(reply) is (OldNumber if fencing is FencingMode.CHECKED else OrderTaken)
        reconciler._engines[upstream.name].next_read_s = 0.0
        run_until(reactor, has_ordered_models)
        wait_for_result(reactor, reconciler.stop())
        (lease,) = wait_for_result(reactor, reconciler.describe_leases())
        assert lease.holder == ""

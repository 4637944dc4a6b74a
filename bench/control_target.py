"""Measures an agent's computations at the target fleet size: ``python -m bench.control_target``.

No processes are started. Each computation whose cost grows with the fleet runs on data of the
target size; its cost times its frequency gives its share of a CPU core.
"""

import time
import zlib
from collections.abc import Callable
from random import Random

from msgspec import Struct
from rich.console import Console
from rich.table import Table

from greengagestage.configuration import (
    Declaration,
    Workspace,
    WorkspaceKey,
    check_declaration,
    decode_declaration,
    encode_declaration,
)
from greengagestage.ids import ClassName, FailureDomain, HostId, PoolName, WorkspaceId
from greengagestage.membership import (
    HostDemand,
    Membership,
    MembershipTimes,
    SharedUpstream,
    choose_neighbours,
    compute_shares,
)
from greengagestage.wire import HostRecord, MemberState

from .control import CLASSES, DOMAINS, MODELS, SLOTS, build_declaration

HOSTS = 370
UPSTREAMS = 670
WORKSPACES = 1_600
CHANGES_PER_DAY = 440
HOST_EVENTS_PER_DAY = 600
"""Restarts, replacements and failures, each counted as one stop and one start."""
SECONDS_PER_DAY = 86_400
ROUNDS = 5


class Cost(Struct, frozen=True, kw_only=True):
    """The CPU time of one computation and how often it runs."""

    name: str
    cost_ms: float
    per_day: float

    @property
    def percent(self) -> float:
        """The share of a CPU core in percent."""
        return 100 * self.cost_ms / 1000 * self.per_day / SECONDS_PER_DAY


def measure_ms(work: Callable[[], object]) -> float:
    """Return the minimum CPU time of several rounds in milliseconds."""
    times = []
    for _ in range(ROUNDS):
        start_s = time.process_time()
        work()
        times.append(time.process_time() - start_s)
    return 1000 * min(times)


def build_target_declaration() -> Declaration:
    """Return a declaration of the target fleet size."""
    small = build_declaration(list(range(10_000, 10_000 + UPSTREAMS)))
    workspaces = tuple(
        Workspace(
            name=WorkspaceId(f"workspace-{number:04d}"),
            keys=(WorkspaceKey(sha256=f"{number:064x}"),),
            default_class=ClassName(f"class-{number % CLASSES}"),
        )
        for number in range(WORKSPACES)
    )
    return Declaration(
        classes=small.classes,
        workspaces=workspaces,
        models=small.models,
        upstreams=small.upstreams,
    )


def build_records() -> list[HostRecord]:
    """Return the records of all hosts."""
    return [
        HostRecord(
            host=HostId(f"host-{number:03d}"),
            incarnation=1_800_000_000_000,
            sequence=0,
            state=MemberState.LIVE,
            address=f"10.0.{number // 250}.{number % 250}:7000",
            failure_domain=FailureDomain(f"d{number % DOMAINS}"),
        )
        for number in range(HOSTS)
    ]


def build_shared_upstreams() -> list[SharedUpstream]:
    """Return all upstreams with their pools."""
    return [
        SharedUpstream(
            name=upstream.name, slots=SLOTS, pools=tuple(PoolName(m) for m in upstream.models)
        )
        for upstream in build_target_declaration().upstreams
    ]


def measure_shares() -> float:
    """Return the cost of dividing all slots again among the same hosts, in milliseconds."""
    hosts = [
        HostDemand(
            host=HostId(f"host-{number:03d}"),
            demand={PoolName(f"model-{m}"): (number * m) % 40 for m in range(MODELS)},
        )
        for number in range(HOSTS)
    ]
    upstreams = build_shared_upstreams()
    return measure_ms(lambda: compute_shares(hosts, upstreams))


def measure_shares_after_host_change() -> float:
    """Return the cost of dividing all slots after a change of hosts, in milliseconds."""
    upstreams = build_shared_upstreams()
    times = []
    for number in range(HOSTS - ROUNDS, HOSTS):
        hosts = [HostDemand(host=HostId(f"host-{n:03d}")) for n in range(number)]
        start_s = time.process_time()
        compute_shares(hosts, upstreams)
        times.append(time.process_time() - start_s)
    return 1000 * min(times)


def measure_heartbeat() -> float:
    """Return the cost of one tick of a host that knows all others, in milliseconds."""
    records = build_records()
    membership = Membership(record=records[0], times=MembershipTimes(), random=Random(1))
    for record in records:
        membership.records.merge(record, 0.0)
    clock = iter(range(1, 10_000))
    return measure_ms(lambda: membership.tick(float(next(clock))))


def measure_costs() -> tuple[list[Cost], int, int]:
    """Return all costs, and the sizes of the document and its compressed form in bytes."""
    declaration = build_target_declaration()
    document = encode_declaration(declaration)
    compressed = zlib.compress(document)
    records = build_records()
    report_interval_s = HOSTS / MembershipTimes().report_rate_per_s
    costs = [
        Cost(
            name="split slots: with each round of reports",
            cost_ms=measure_shares(),
            per_day=SECONDS_PER_DAY / report_interval_s,
        ),
        Cost(
            name="split slots: host events", cost_ms=measure_shares(), per_day=HOST_EVENTS_PER_DAY
        ),
        Cost(
            name="choose neighbours",
            cost_ms=measure_ms(lambda: choose_neighbours(records[0], records)),
            per_day=HOST_EVENTS_PER_DAY,
        ),
        Cost(name="heartbeat", cost_ms=measure_heartbeat(), per_day=SECONDS_PER_DAY),
        Cost(
            name="read and check a version",
            cost_ms=measure_ms(lambda: check_declaration(decode_declaration(document))),
            per_day=CHANGES_PER_DAY,
        ),
        Cost(
            name="unpack a version",
            cost_ms=measure_ms(lambda: zlib.decompress(compressed)),
            per_day=CHANGES_PER_DAY,
        ),
        Cost(
            name="pack a version",
            cost_ms=measure_ms(lambda: zlib.compress(document)),
            per_day=CHANGES_PER_DAY,
        ),
    ]
    return costs, len(document), len(compressed)


def main() -> None:
    """Print the cost of each computation at the target fleet size."""
    costs, size, compressed = measure_costs()
    table = Table(title=f"{HOSTS} hosts, {UPSTREAMS} upstreams, {WORKSPACES} workspaces")
    for column in ("computation", "ms", "a day", "% of a core"):
        table.add_column(column, justify="left" if column == "computation" else "right")
    for cost in costs:
        table.add_row(
            cost.name, f"{cost.cost_ms:.2f}", f"{cost.per_day:.0f}", f"{cost.percent:.3f}"
        )
    console = Console()
    console.print(table)
    console.print(f"document {size} bytes, compressed {compressed} bytes")


if __name__ == "__main__":
    main()

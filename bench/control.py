"""Measures the cost of control for each host: ``python -m bench.control``.

For each fleet size, the benchmark starts the agent processes and a stand-in platform on loopback,
with engines that only answer ``/load``, and sends each agent the reports of an entry process. It
measures the CPU time, memory and traffic of each agent.
"""

import os
import re
import signal
import statistics
import sys
import tempfile
import time
from pathlib import Path
from typing import Any, cast

import click
import msgspec
from msgspec import Struct
from msgspec.structs import replace
from rich.console import Console
from rich.table import Table
from twisted.internet import reactor as installed_reactor
from twisted.internet.task import LoopingCall, deferLater, react
from twisted.web.resource import Resource
from twisted.web.server import Site

from greengagestage.configuration import (
    Declaration,
    Model,
    Operator,
    ServiceClass,
    Upstream,
    UpstreamKind,
    Workspace,
)
from greengagestage.ids import (
    ClassName,
    FailureDomain,
    ModelName,
    OperatorName,
    PoolName,
    UpstreamName,
    WorkspaceId,
)
from greengagestage.wire import AgentLink, EntryStatus
from standins._first_version import store_first_version
from standins._processes import ChildProcess, PortReservations
from standins._web_calls import send_request

from ._control_spread import (
    OPERATOR_DIGEST,
    ReceivedState,
    measure_leaving_propagation,
    measure_version_propagation,
)

CONSOLE_COLUMNS = 140
FLEET_KEY = "fleet-key-of-the-bench"
MODELS = 5
CLASSES = 6
DOMAINS = 7
SLOTS = 64
ENGINES_PER_HOST = 1.8
STATUS_INTERVAL_S = 1.0
LOAD_RESPONSE = b'{"running": 10, "waiting": 2, "slots": 64, "age_ms": 300}'
LOAD_CALL_BYTES = 400
"""Size of the request and response of one call for an engine's load, including headers."""

reactor: Any = installed_reactor
_console = Console(width=CONSOLE_COLUMNS)


class HostCost(Struct, frozen=True, kw_only=True):
    """The cost of one agent."""

    cpu_percent: float
    memory_mb: float
    peer_bytes_per_s: float
    peer_messages_per_s: float


class FleetCost(Struct, frozen=True, kw_only=True):
    """The cost of the agents of a fleet.

    ``load_calls_per_s`` counts the calls to engines per second and host. The spreads are the times
    until the entry processes of all hosts have received a change.
    """

    hosts: int
    engines: int
    load_calls_per_s: float
    costs: tuple[HostCost, ...]
    leaving_spread_s: tuple[float, ...] = ()
    version_spread_s: tuple[float, ...] = ()


class _LoadResource(Resource):
    """Answers the load requests to every engine."""

    isLeaf = True  # noqa: N815

    def __init__(self) -> None:
        cast(Any, super()).__init__()
        self.calls = 0

    def render_GET(self, request: Any) -> bytes:  # noqa: N802
        """Return the same load each time."""
        self.calls += 1
        return LOAD_RESPONSE


class _BenchAgent:
    """An agent process and the link over which the benchmark acts as its entry process."""

    def __init__(self, *, number: int, platform: str, peers: str, directory: Path) -> None:
        self.ports = PortReservations()
        self.entry, self.peer, self.http = (f"127.0.0.1:{self.ports.reserve()}" for _ in range(3))
        command = [sys.executable, "-m", "greengagestage.commands.agent"]
        command += ["--entry-listen", self.entry, "--peer-listen", self.peer]
        command += ["--http-listen", self.http, "--platform", platform]
        command += [
            "--host",
            f"host-{number:03d}",
            "--failure-domain",
            f"d{number % DOMAINS}",
        ]
        command += ["--fleet-key", FLEET_KEY, "--peers", peers]
        self.process = ChildProcess(
            name=f"agent-{number}", command=command, directory=directory, url=f"http://{self.http}"
        )
        self.received = ReceivedState()
        self.link = AgentLink(
            reactor=reactor,
            address=self.entry,
            fleet_key=FLEET_KEY,
            on_message=self.received.receive,
        )

    def read_cpu_s(self) -> float:
        """Return the user and system CPU time used so far, in seconds."""
        fields = Path(f"/proc/{self.process.pid}/stat").read_text().rpartition(")")[2].split()
        return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")

    def read_memory_mb(self) -> float:
        """Return the resident memory in MB."""
        status = Path(f"/proc/{self.process.pid}/status").read_text()
        match = re.search(r"VmRSS:\s+(\d+) kB", status)
        return int(match.group(1)) / 1024 if match else 0.0

    def read_traffic(self) -> tuple[float, float]:
        """Return the numbers of bytes and messages exchanged with other agents so far."""
        text = send_request("GET", f"{self.process.url}/metrics").body.decode()
        totals = []
        for name in ("message_bytes", "messages"):
            pattern = (
                rf'greengage_agent_{name}_total{{direction="(?:sent|received)",side="peers"}} (\S+)'
            )
            totals.append(sum(float(value) for value in re.findall(pattern, text)))
        return totals[0], totals[1]

    def is_ready(self) -> bool:
        """Whether the agent has a configuration."""
        return send_request("GET", f"{self.process.url}/readyz").status == 200


def build_declaration(engine_ports: list[int]) -> Declaration:
    """Return a declaration of engines at the given ports."""
    classes = tuple(
        ServiceClass(
            name=ClassName(f"class-{number}"),
            priority=number,
            first_token_target_ms=2_000,
            inter_token_target_ms=100,
            answer_target_ms=30_000,
        )
        for number in range(CLASSES)
    )
    upstreams = tuple(
        Upstream(
            name=UpstreamName(f"engine-{number:03d}"),
            kind=UpstreamKind.ENGINE,
            url=f"http://127.0.0.1:{port}",
            failure_domain=FailureDomain(f"d{number % DOMAINS}"),
            slots=SLOTS,
            models=(ModelName(f"model-{number % MODELS}"),),
        )
        for number, port in enumerate(engine_ports)
    )
    return Declaration(
        classes=classes,
        workspaces=(Workspace(name=WorkspaceId("w"), keys=(), default_class=classes[0].name),),
        models=tuple(Model(name=ModelName(f"model-{number}")) for number in range(MODELS)),
        upstreams=upstreams,
        operators=(Operator(name=OperatorName("bench"), sha256=OPERATOR_DIGEST),),
    )


async def measure_fleet(hosts: int, warm_up_s: float, duration_s: float) -> FleetCost:
    """Start a fleet, wait for ``warm_up_s``, and measure its cost for ``duration_s``."""
    engines = max(MODELS, round(hosts * ENGINES_PER_HOST))
    load_resource = _LoadResource()
    ports = [
        reactor.listenTCP(0, cast(Any, Site)(load_resource), interface="127.0.0.1")
        for _ in range(engines)
    ]
    with tempfile.TemporaryDirectory(prefix="greengage-") as name:
        directory = Path(name)
        platform = ChildProcess(
            name="platform",
            command=[sys.executable, "-m", "standins.platform"],
            directory=directory,
        )
        agents: list[_BenchAgent] = []
        try:
            platform.start()
            platform.wait_for_announcement()
            store_first_version(platform.url, build_declaration([p.getHost().port for p in ports]))
            for number in range(hosts):
                peers = agents[0].peer if agents else ""
                agents.append(
                    _BenchAgent(
                        number=number, platform=platform.url, peers=peers, directory=directory
                    )
                )
                agents[-1].process.start()
            for agent in agents:
                agent.process.wait_ready(agent.is_ready)
            loops = [_start_status_reports(agent, number) for number, agent in enumerate(agents)]
            await deferLater(reactor, warm_up_s)
            cost = await _measure(agents, load_resource, duration_s, engines)
            cost = replace(
                cost,
                leaving_spread_s=await measure_leaving_propagation(agents),
                version_spread_s=await measure_version_propagation(agents, platform.url),
            )
            for loop, agent in zip(loops, agents, strict=True):
                loop.stop()
                agent.link.stop()
            return cost
        finally:
            _stop_all([agent.process for agent in agents] + [platform])
            for agent in agents:
                agent.ports.close()
            for port in ports:
                await port.stopListening()


def _start_status_reports(agent: _BenchAgent, number: int) -> LoopingCall:
    """Report continually changing demand, as an entry process does."""
    agent.link.start()
    counter = iter(range(10**9))

    def report() -> None:
        step = next(counter)
        demand = {
            PoolName(f"model-{m}"): {ClassName(f"class-{(m + number) % CLASSES}"): (step + m) % 9}
            for m in range(MODELS)
        }
        in_flight = {UpstreamName(f"engine-{e:03d}"): (step + e) % 5 for e in range(16)}
        agent.link.send(EntryStatus(demand=demand, in_flight=in_flight))

    loop = LoopingCall(report)
    loop.clock = reactor
    loop.start(STATUS_INTERVAL_S)
    return loop


async def _measure(
    agents: list[_BenchAgent], load_resource: _LoadResource, duration_s: float, engines: int
) -> FleetCost:
    traffic = [agent.read_traffic() for agent in agents]
    cpu_s = [agent.read_cpu_s() for agent in agents]
    calls, start_s = load_resource.calls, time.monotonic()
    await deferLater(reactor, duration_s)
    elapsed_s = time.monotonic() - start_s
    cpu_end_s = [agent.read_cpu_s() for agent in agents]
    calls_end = load_resource.calls
    costs = []
    for index, agent in enumerate(agents):
        size, messages = agent.read_traffic()
        costs.append(
            HostCost(
                cpu_percent=100 * (cpu_end_s[index] - cpu_s[index]) / elapsed_s,
                memory_mb=agent.read_memory_mb(),
                peer_bytes_per_s=(size - traffic[index][0]) / elapsed_s,
                peer_messages_per_s=(messages - traffic[index][1]) / elapsed_s,
            )
        )
    return FleetCost(
        hosts=len(agents),
        engines=engines,
        load_calls_per_s=(calls_end - calls) / elapsed_s / len(agents),
        costs=tuple(costs),
    )


def _stop_all(processes: list[ChildProcess]) -> None:
    for process in processes:
        process.send_signal(signal.SIGTERM)
    for process in processes:
        process.wait()


def build_table(fleets: list[FleetCost]) -> Table:
    """Return the table of the mean cost of a host by fleet size."""
    table = Table(title="cost of control for each host")
    for column in ("hosts", "engines", "CPU %", "max CPU %", "MB", "peer B/s", "peer msg/s"):
        table.add_column(column, justify="right")
    table.add_column("load calls/s", justify="right")
    table.add_column("load B/s", justify="right")
    table.add_column("leaving s", justify="right")
    table.add_column("version s", justify="right")
    for fleet in fleets:
        table.add_row(
            str(fleet.hosts),
            str(fleet.engines),
            f"{statistics.mean(c.cpu_percent for c in fleet.costs):.2f}",
            f"{max(c.cpu_percent for c in fleet.costs):.2f}",
            f"{statistics.mean(c.memory_mb for c in fleet.costs):.1f}",
            f"{statistics.mean(c.peer_bytes_per_s for c in fleet.costs):.0f}",
            f"{statistics.mean(c.peer_messages_per_s for c in fleet.costs):.1f}",
            f"{fleet.load_calls_per_s:.2f}",
            f"{fleet.load_calls_per_s * LOAD_CALL_BYTES:.0f}",
            f"{max(fleet.leaving_spread_s):.2f}",
            f"{max(fleet.version_spread_s):.2f}",
        )
    return table


@click.command()
@click.option(
    "--sizes", default="4,16,48", show_default=True, help="Numbers of agents, separated by commas."
)
@click.option("--warm-up-s", default=25.0, show_default=True, help="Warm-up time in seconds.")
@click.option("--duration-s", default=30.0, show_default=True, help="Measured time in seconds.")
@click.option("--output", type=click.Path(path_type=Path), help="Path of the JSON file to write.")
def main(sizes: str, warm_up_s: float, duration_s: float, output: Path | None) -> None:
    """Measure the cost of control for each host at several fleet sizes."""
    fleets: list[FleetCost] = []

    async def measure_all(_: Any) -> None:
        for size in sizes.split(","):
            fleets.append(await measure_fleet(int(size), warm_up_s, duration_s))
            _console.print(build_table(fleets[-1:]))

    try:
        react(measure_all)
    except SystemExit as stop:
        if stop.code:
            raise
    _console.print(build_table(fleets))
    if output is not None:
        output.parent.mkdir(parents=True, exist_ok=True)
        output.write_bytes(msgspec.json.encode(fleets))


if __name__ == "__main__":
    main()

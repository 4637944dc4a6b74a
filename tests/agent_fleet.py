"""A stand-in platform and real agent processes on loopback."""

import hashlib
import signal
import sys
from pathlib import Path

from greengagestage.configuration import Declaration, Operator
from greengagestage.ids import CommandId, HostId, OperatorName
from greengagestage.language import CommandAnswer, CommandRequest
from standins._first_version import store_first_version
from standins._host_list import HostListing, ListedHost, ListedState, ListedUpstream
from standins._platform_faults import PlatformFault, PlatformFaultKind, PlatformService
from standins._processes import ChildProcess, PortReservations, wait_until
from standins._web_calls import WebResponse, send_request

from .builders import build_declaration, build_engine

FLEET_KEY = "fleet-key-of-the-tests"
OPERATOR_KEY = "key-of-anna"
WAIT_TIMEOUT_S = 30.0


class Agent:
    """One agent process and its addresses."""

    def __init__(self, *options: str, host: str, domain: str, platform: str, directory: Path):
        self.host = HostId(host)
        self.domain = domain
        self.ports = PortReservations()
        self.entry, self.peer, self.http = (f"127.0.0.1:{self.ports.reserve()}" for _ in range(3))
        command = [sys.executable, "-m", "greengagestage.commands.agent"]
        command += ["--entry-listen", self.entry, "--peer-listen", self.peer]
        command += ["--http-listen", self.http, "--platform", platform, "--host", host]
        command += ["--failure-domain", domain, "--fleet-key", FLEET_KEY, *options]
        self.process = ChildProcess(
            name=f"{host}-{self.http.rpartition(':')[2]}",
            command=command,
            directory=directory,
            url=f"http://{self.http}",
        )

    @property
    def is_ready(self) -> bool:
        """Whether the readiness check passes."""
        return send_request("GET", f"{self.process.url}/readyz").status == 200

    def call(self, path: str, body: object, key: str = OPERATOR_KEY) -> WebResponse:
        """Post to the operators' endpoint."""
        headers = {"Authorization": f"Bearer {key}"}
        return send_request("POST", f"{self.process.url}{path}", body, headers=headers)

    def run(self, text: str, dry_run: bool = False, command_id: str = "") -> CommandAnswer:
        """Run a command."""
        request = CommandRequest(text=text, dry_run=dry_run, command_id=CommandId(command_id))
        return self.call("/v1/command", request).decode(CommandAnswer)

    def read_version(self) -> int:
        """Return the version in force here."""
        return self.run("help").version or 0


class AgentFleet:
    """The platform and the agents of one test; ``stop`` ends them."""

    def __init__(self, directory: Path) -> None:
        self.directory = directory
        self.agents: dict[str, Agent] = {}
        self.platform = ChildProcess(
            name="platform",
            command=[sys.executable, "-m", "standins.platform", "--host-lag-ms", "0"],
            directory=directory,
        )
        self.platform.start()
        self.platform.wait_for_announcement()

    def build_declaration(self) -> Declaration:
        """Return a declaration with one operator and two engines that do not run."""
        digest = hashlib.sha256(OPERATOR_KEY.encode()).hexdigest()
        engines = (
            build_engine("engine-1", url="http://127.0.0.1:1"),
            build_engine("engine-2", url="http://127.0.0.1:2"),
        )
        operators = (Operator(name=OperatorName("anna"), sha256=digest),)
        return build_declaration(upstreams=engines, operators=operators)

    def write_first_version(self) -> None:
        """Write the first version to the platform."""
        store_first_version(self.platform.url, self.build_declaration())

    def start_agent(self, host: str, domain: str = "a", *options: str) -> Agent:
        """Start an agent."""
        agent = Agent(
            *options,
            host=host,
            domain=domain,
            platform=self.platform.url,
            directory=self.directory,
        )
        self.agents[host] = agent
        agent.process.start()
        return agent

    def publish_host_list(self, leaving: tuple[str, ...] = ()) -> None:
        """Set the platform's host list to all agents and the two engines."""
        listing = HostListing(
            hosts=tuple(
                ListedHost(host=agent.host, address=agent.peer, failure_domain=agent.domain)
                for agent in self.agents.values()
            ),
            upstreams=tuple(
                ListedUpstream(
                    name=name, state=ListedState.LEAVING if name in leaving else ListedState.LIVE
                )
                for name in ("engine-1", "engine-2")
            ),
        )
        send_request("PUT", f"{self.platform.url}/_standin/hosts", listing)

    def start(self, size: int) -> list[Agent]:
        """Write a first version, start agents and wait until they know each other."""
        self.write_first_version()
        agents = [
            self.start_agent(f"host-{n}", "ab"[n % 2], "--list-interval-s", "1")
            for n in range(size)
        ]
        self.publish_host_list()
        self.wait(lambda: all(agent.is_ready for agent in agents), "all agents are ready")
        self.wait_members(agents)
        return agents

    def wait_members(self, agents: list[Agent]) -> None:
        """Wait until all agents count the same hosts as live."""
        names = {agent.host for agent in agents}
        self.wait(
            lambda: all(self.list_live_hosts(agent) == names for agent in agents),
            "agents know each other",
        )

    def list_live_hosts(self, agent: Agent) -> set[object]:
        """Return the hosts that an agent counts as live."""
        return {row[0] for row in agent.run("show hosts where state = live").rows}

    def set_fault(self, service: PlatformService, kind: PlatformFaultKind, **more: int) -> None:
        """Set a fault of the platform."""
        fault = PlatformFault(service=service, kind=kind, **more)
        send_request("POST", f"{self.platform.url}/_standin/faults", fault)

    def take_platform_down(self) -> None:
        """Make every service of the platform fail."""
        for service in PlatformService:
            self.set_fault(service, PlatformFaultKind.DOWN)

    def wait(self, condition: object, what: str) -> None:
        """Wait for a condition."""
        wait_until(condition, what, WAIT_TIMEOUT_S)  # type: ignore[arg-type]

    def stop(self) -> None:
        """End all processes."""
        processes = [*(agent.process for agent in self.agents.values()), self.platform]
        for process in processes:
            process.send_signal(signal.SIGCONT)
            process.send_signal(signal.SIGKILL)
            if process.running:
                process.wait()
        for agent in self.agents.values():
            agent.ports.close()

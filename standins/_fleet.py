"""A fleet of processes on loopback: start, fault injection and stop by process name."""

import signal
import sys
from pathlib import Path
from types import TracebackType
from typing import Self

from greengagestage.configuration import Declaration

from ._faults import Fault
from ._first_version import store_first_version
from ._fleet_shape import FleetShape, HostShape, build_declaration
from ._host_list import HostListing, ListedHost, ListedUpstream
from ._http import LISTEN_ADDRESS
from ._ledger import LedgerPage, Run
from ._platform_faults import PlatformFault
from ._processes import ChildProcess, PortReservations, ProcessFailedError
from ._web_calls import OK_STATUS, WebResponse, send_request

PORTS_PER_HOST = 4
LIVE_HOSTS_METRIC = 'greengage_agent_hosts{state="live"}'
FLEET_KEY = "stand-in-fleet-key"
PLATFORM = "platform"
AGENT_MODULE = "greengagestage.commands.agent"


class Fleet:
    """The platform, upstreams, agents and entries that a fleet shape describes.

    Entries are named ``entry-<host>`` and agents ``agent-<host>``; upstreams keep their names.
    Use it as a context manager, so that all processes are stopped at the end.
    """

    def __init__(self, *, shape: FleetShape, directory: Path) -> None:
        self.shape = shape
        self.directory = directory
        self._processes: dict[str, ChildProcess] = {}
        self._ports = PortReservations()
        self._peer_addresses: dict[str, str] = {}

    def __enter__(self) -> Self:
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        self.close()

    def close(self) -> None:
        """Stop all processes and release the reserved ports."""
        self.stop()
        self._ports.close()

    def start(self) -> None:
        """Start every process, apply the declaration and wait until the entries are ready."""
        self.start_upstreams()
        self.start_hosts()

    def start_upstreams(self) -> None:
        """Start the platform and every upstream, and wait until they listen."""
        self.launch_upstreams()
        self.wait_for_upstreams()

    def start_hosts(self) -> None:
        """Apply the declaration, start agents and entries and wait until they are ready."""
        self.launch_hosts()
        self.wait_for_hosts()

    def launch_upstreams(self) -> None:
        """Start the platform and every upstream without waiting until they listen."""
        self.directory.mkdir(parents=True, exist_ok=True)
        for ledger_file in self.directory.glob("*.ledger"):
            ledger_file.unlink()
        self._add_standin(PLATFORM, "platform", *self.shape.platform_options)
        for engine in self.shape.engines:
            self._add_standin(
                engine.name,
                "engine",
                *("--slots", str(engine.slots), "--fencing", engine.fencing.value),
                *("--ledger-file", str(self.directory / f"{engine.name}.ledger")),
                *engine.options,
            )
        for service in self.shape.services:
            self._add_standin(
                service.name,
                "service",
                *("--name", service.service),
                *("--ledger-file", str(self.directory / f"{service.name}.ledger")),
                *service.options,
            )

    def wait_for_upstreams(self) -> None:
        """Wait until the platform and every upstream listen."""
        for process in self._processes.values():
            process.wait_for_announcement()

    def build_declaration(self) -> Declaration:
        """Return the declaration that describes this fleet."""
        urls = {
            name: self.url(name)
            for name in (*(e.name for e in self.shape.engines), *self._list_service_names())
        }
        return build_declaration(self.shape, urls)

    def apply_declaration(self) -> None:
        """Write the declaration as the first version, as ``greengage apply`` does.

        Raises:
            ProcessFailedError: The platform did not store it.
        """
        for answer in store_first_version(self.url(PLATFORM), self.build_declaration()):
            _check_success(answer)

    def launch_hosts(self) -> None:
        """Apply the declaration, start agents and entries and publish the host list."""
        self.apply_declaration()
        for host in self.shape.hosts:
            self._add_host(host)
        self.publish_host_list()

    def wait_for_hosts(self) -> None:
        """Wait until every agent and entry is ready and the agents have discovered each other."""
        for host in self.shape.hosts:
            self.wait_ready(f"agent-{host.name}")
            self.wait_ready(f"entry-{host.name}")
        for host in self.shape.hosts:
            self.wait_metric(f"agent-{host.name}", LIVE_HOSTS_METRIC, len(self.shape.hosts))

    def publish_host_list(self) -> None:
        """Set the platform's host list to every host and upstream of the fleet."""
        listing = HostListing(
            hosts=tuple(
                ListedHost(
                    host=host.name,
                    address=self._peer_addresses[host.name],
                    failure_domain=host.failure_domain,
                )
                for host in self.shape.hosts
            ),
            upstreams=tuple(
                ListedUpstream(name=name)
                for name in (*(e.name for e in self.shape.engines), *self._list_service_names())
            ),
        )
        _check_success(send_request("PUT", f"{self.url(PLATFORM)}/_standin/hosts", listing))

    def wait_ready(self, name: str) -> None:
        """Wait until a process's readiness check passes."""
        process = self._processes[name]
        process.wait_ready(lambda: send_request("GET", f"{process.url}/readyz").status == OK_STATUS)

    def wait_metric(self, name: str, metric: str, value: float) -> None:
        """Wait until a process's metric, named with its labels, has a value."""
        process = self._processes[name]
        line = f"{metric} {float(value)}".encode()
        process.wait_ready(
            lambda: line in send_request("GET", f"{process.url}/metrics").body.splitlines()
        )

    def url(self, name: str) -> str:
        """Return the URL that a process listens at."""
        return self._processes[name].url

    def process(self, name: str) -> ChildProcess:
        """Return a process by name."""
        return self._processes[name]

    def entry_urls(self) -> list[str]:
        """Return the URLs of the entries, in the order of the hosts."""
        return [self.url(f"entry-{host.name}") for host in self.shape.hosts]

    def kill(self, name: str) -> None:
        """Kill a process with SIGKILL and wait until it ends."""
        self._processes[name].send_signal(signal.SIGKILL)
        self._processes[name].wait()

    def pause(self, name: str) -> None:
        """Suspend a process with SIGSTOP."""
        self._processes[name].send_signal(signal.SIGSTOP)

    def resume(self, name: str) -> None:
        """Continue a suspended process."""
        self._processes[name].send_signal(signal.SIGCONT)

    def terminate(self, name: str) -> int:
        """Request a graceful stop, wait for the process to end and return its exit code."""
        self._processes[name].request_stop()
        return self._processes[name].wait()

    def restart(self, name: str) -> None:
        """Start an ended process again at the same address, and wait until it listens."""
        self._processes[name].start()
        self._processes[name].wait_for_announcement()

    def set_fault(self, name: str, fault: Fault | PlatformFault) -> None:
        """Inject a fault into a stand-in; the response is ignored, since a crash sends none."""
        send_request("POST", f"{self.url(name)}/_standin/faults", fault)

    def read_ledger(self, name: str) -> list[Run]:
        """Return an upstream's runs, including those before a crash."""
        ledger_file = self.directory / f"{name}.ledger"
        runs: list[Run] = []
        if ledger_file.exists():
            runs += (
                WebResponse(status=OK_STATUS, body=ledger_file.read_bytes()).decode(LedgerPage).runs
            )
        answer = send_request("GET", f"{self.url(name)}/_standin/ledger")
        if answer.status == OK_STATUS:
            runs += answer.decode(LedgerPage).runs
        return runs

    def read_engine_ledgers(self) -> list[Run]:
        """Return the runs of all engines, including those before a crash."""
        return [run for engine in self.shape.engines for run in self.read_ledger(engine.name)]

    def request_entries_stop(self) -> None:
        """Request a graceful stop of the entries without waiting for them to end."""
        for process in self._list_running("entry-"):
            process.request_stop()

    def stop(self) -> dict[str, int]:
        """Stop entries, then agents, then the other processes; return the exit codes by name."""
        codes: dict[str, int] = {}
        for prefix in ("entry-", "agent-", ""):
            group = self._list_running(prefix)
            for process in group:
                process.request_stop()
            codes.update({process.name: process.wait() for process in group})
        return codes

    def _list_running(self, prefix: str) -> list[ChildProcess]:
        return [
            process
            for name, process in self._processes.items()
            if name.startswith(prefix) and process.running
        ]

    def _list_service_names(self) -> list[str]:
        return [service.name for service in self.shape.services]

    def _add_standin(self, name: str, module: str, *options: str) -> None:
        command = [sys.executable, "-m", f"standins.{module}", *options]
        command += ["--port", str(self._ports.reserve())]
        self.start_process(ChildProcess(name=name, command=command, directory=self.directory))

    def _add_host(self, host: HostShape) -> None:
        listen_address, agent_address, peer_address, http_address = (
            f"{LISTEN_ADDRESS}:{self._ports.reserve()}" for _ in range(PORTS_PER_HOST)
        )
        self._peer_addresses[host.name] = peer_address
        common_options = (
            *("--platform", self.url(PLATFORM), "--host", host.name),
            *("--failure-domain", host.failure_domain, "--fleet-key", FLEET_KEY),
        )
        agent_options = (
            "--entry-listen",
            agent_address,
            "--peer-listen",
            peer_address,
            "--http-listen",
            http_address,
        )
        entry_options = ("--listen", listen_address, "--agent", agent_address)
        self._add_process(
            f"agent-{host.name}",
            AGENT_MODULE,
            http_address,
            *agent_options,
            *common_options,
            *self.shape.agent_options,
        )
        module = self.shape.entry_module
        self._add_process(
            f"entry-{host.name}",
            module,
            listen_address,
            *entry_options,
            *common_options,
            *self.shape.entry_options,
        )

    def _add_process(self, name: str, module: str, address: str, *options: str) -> None:
        self.start_process(
            ChildProcess(
                name=name,
                command=[sys.executable, "-m", module, *options],
                directory=self.directory,
                url=f"http://{address}",
            )
        )

    def start_process(self, process: ChildProcess) -> None:
        """Start a process that is stopped with the fleet."""
        self._processes[process.name] = process
        process.start()


def _check_success(answer: WebResponse) -> None:
    if answer.status != OK_STATUS:
        raise ProcessFailedError(f"the platform answered {answer.status}: {answer.body!r}")

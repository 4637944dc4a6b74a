"""Host processes of the project, started with the command of the deploy file."""

import asyncio
import os
import signal
import socket
import subprocess
import tomllib
from dataclasses import dataclass, field
from pathlib import Path

ROOT = Path(__file__).resolve().parents[2]


def read_command() -> list[str]:
    """Return the command of the deploy file's only role."""
    deploy = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())
    (role,) = deploy["roles"].values()
    return list(role["run"].split())


def build_settings(**fields: object) -> str:
    """Return a settings file of a small deployment, with other or further fields."""
    values: dict[str, object] = {
        "Role": "entry",
        "MachineClass": "front",
        "Serves": "front",
        "Region": "r1",
        "FirstStart": "true",
        "CountsAsLoss": "false",
        "Limits.CpuShare": "0.537",
        "Limits.Cores": "2",
        "Limits.MemoryMb": "300",
        "Limits.MaxFds": "4100",
        "Discovery": "platform",
        "Entry": "vip",
        "HeartbeatMs": "1200",
        "Bounds.StabilityWindowMs": "3000",
        "Bounds.DrainMs": "2000",
        "Bounds.GracePeriodS": "8",
        "Bounds.ConfigApplyMs": "2000",
        "Bounds.StrictRevocation": "true",
        "Bounds.RevokeMs": "5000",
        "Bounds.RetryBudgetRatio": "0.2",
        "Bounds.RetryWindowS": "10",
        "Bounds.RetryBudgetSlack": "58",
        "Platform.form": "table",
        "Platform.WritesPerS": "400",
        "Platform.ReadsPerS": "2000",
        "Platform.HistoryS": "20",
        **fields,
    }
    return "".join(f"{name}={value}\n" for name, value in values.items())


@dataclass(slots=True, kw_only=True)
class Host:
    """One host: its settings file, process and log."""

    name: str
    directory: Path
    settings: str
    process: subprocess.Popen[bytes] | None = field(default=None)

    @property
    def log(self) -> Path:
        """The output of all processes of this host."""
        return self.directory / f"{self.name}.log"

    @property
    def settings_path(self) -> Path:
        """The settings file."""
        return self.directory / f"{self.name}.conf"

    def start(self, *, waits: bool = False) -> None:
        """Start the process.

        Args:
            waits: The process waits for its settings until ``give_settings``.
        """
        path = self.settings_path
        path.unlink(missing_ok=True)
        if waits:
            os.mkfifo(path)
        else:
            path.write_text(self.settings)
        environment = {name: os.environ[name] for name in ("PATH", "HOME") if name in os.environ}
        environment["GREENGAGESTAGE_CONFIG"] = str(path)
        environment["PYTHONPATH"] = str(ROOT / "target" / "deps")
        with self.log.open("ab") as log:
            self.process = subprocess.Popen(
                read_command(),
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=subprocess.STDOUT,
                env=environment,
                cwd=ROOT,
                start_new_session=True,
            )

    def give_settings(self, pipe: int) -> None:
        """Write the settings to a process that waits for them, and leave a usual file behind."""
        path = self.settings_path
        path.with_suffix(".new").write_text(self.settings)
        path.with_suffix(".new").replace(path)
        os.write(pipe, self.settings.encode())
        os.close(pipe)

    def open_pipe(self) -> int | None:
        """Return the pipe to a process that waits for its settings; None before it does."""
        try:
            return os.open(self.settings_path, os.O_WRONLY | os.O_NONBLOCK)
        except OSError:
            return None

    def send(self, number: signal.Signals) -> None:
        """Send a signal if the process runs."""
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(number)

    def kill(self) -> None:
        """Kill the process and collect it."""
        if self.process is not None:
            self.send(signal.SIGKILL)
            self.process.wait()

    def count_logged(self, text: str) -> int:
        """Return how many lines of the log hold a text."""
        if not self.log.exists():
            return 0
        return sum(text in line for line in self.log.read_text(errors="replace").splitlines())


async def wait_ready(address: str, port: int, limit_s: float = 15.0) -> bool:
    """Wait until a host answers its readiness check with 200."""
    end_s = asyncio.get_running_loop().time() + limit_s
    while asyncio.get_running_loop().time() < end_s:
        try:
            reader, writer = await asyncio.open_connection(address, port)
            writer.write(b"GET /readiness HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n")
            line = await asyncio.wait_for(reader.readline(), 1.0)
            writer.close()
            if b" 200 " in line:
                return True
        except (OSError, TimeoutError):
            pass
        await asyncio.sleep(0.1)
    return False


class _Relay(asyncio.DatagramProtocol):
    def __init__(self, cut: "Cut", address: str, host: str) -> None:
        self.cut, self.address, self.host = cut, address, host

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keep the socket."""
        self.transport = transport

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        """Pass a datagram on from the address of its sender."""
        self.cut.pass_on(data, sender=addr[0], receiver=self.address)


@dataclass(slots=True, kw_only=True)
class Cut:
    """A proxy between the hosts' internal ports, which can separate one host from the others.

    Each host has an internal port of its own. A host sends to its own port number at the address
    of another one, where the proxy listens. The proxy passes the datagram on to the other host's
    port, from the sender's address and the other host's port number.
    """

    ports: dict[str, int]
    separated: frozenset[str] = frozenset()
    dropped: int = 0
    _sockets: dict[tuple[str, int], asyncio.DatagramTransport] = field(default_factory=dict)
    _tcp: list[asyncio.Server] = field(default_factory=list)

    async def open(self) -> None:
        """Listen at each host's address on the ports of the others."""
        loop = asyncio.get_running_loop()
        for address in self.ports:
            for other, port in self.ports.items():
                if other != address:
                    transport, _ = await loop.create_datagram_endpoint(
                        lambda address=address, other=other: _Relay(self, address, other),
                        local_addr=(address, port),
                    )
                    self._sockets[address, port] = transport

    def pass_on(self, data: bytes, *, sender: str, receiver: str) -> None:
        """Send a datagram on, unless it crosses the cut."""
        if (sender in self.separated) != (receiver in self.separated):
            self.dropped += 1
            return
        port = self.ports[receiver]
        self._sockets[sender, port].sendto(data, (receiver, port))

    def close(self) -> None:
        """Stop listening."""
        for transport in self._sockets.values():
            transport.close()


def find_free_port(address: str) -> int:
    """Return a port that is free at an address for both TCP and UDP."""
    while True:
        with socket.socket() as tcp, socket.socket(type=socket.SOCK_DGRAM) as udp:
            tcp.bind((address, 0))
            port = int(tcp.getsockname()[1])
            try:
                udp.bind((address, port))
            except OSError:
                continue
            return port

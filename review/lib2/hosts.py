"""Host processes, started as the deploy file says."""

import asyncio
import os
import signal
import socket
import subprocess
import tempfile
import tomllib
from pathlib import Path

REPOSITORY = Path(__file__).resolve().parents[2]

_SETTINGS = """\
Node={node}
Role=entry
MachineClass=front
Serves=front
Ip={address}
Zone={zone}
Region=r
Zones.za=r
Zones.zb=r
Listen.Front={address}:{front}
Listen.Ready={address}:{ready}
InternalPortRange={internal},{internal}
FirstStart=true
CountsAsLoss=false
Limits.CpuShare=0.537
Limits.Cores=2
Limits.MemoryMb=300
Limits.MaxFds=4100
Discovery=platform
Entry=vip
HeartbeatMs=1200
Contracts=base,drain,config,cost,retry,recover,engine,stream,tenants,platform
FaultTolerance.Machines=1
Bounds.SeedLagS=3
Bounds.ReuseAfterS=2
Bounds.StabilityWindowMs=3000
Bounds.AckTimeoutMs=4000
Bounds.CatchUpS=4
Bounds.DrainMs=2000
Bounds.GracePeriodS=8
Bounds.LossSlackMs=200
Bounds.ConfigApplyMs=2000
Bounds.RollbackSlackMs=250
Bounds.MaxStretchMs=5000
Bounds.StrictRevocation=true
Bounds.RevokeMs=5000
Bounds.RetryBudgetRatio=0.2
Bounds.RetryWindowS=10
Bounds.RetryBudgetSlack=58
Bounds.RecoveryS=12
Bounds.PassMs=120
Bounds.ReuseWindowS=10
Platform.Address={store}
Platform.form=table
Platform.WritesPerS=400
Platform.ReadsPerS=2000
Platform.HistoryS=20
"""


def find_port(address: str, kind: int = socket.SOCK_STREAM) -> int:
    """Return a port that is free at an address now."""
    with socket.socket(socket.AF_INET, kind) as probe:
        probe.bind((address, 0))
        port: int = probe.getsockname()[1]
        return port


def find_ports(addresses: list[str], count: int) -> list[int]:
    """Return ports that are free for TCP and UDP at all addresses: they are equal on all hosts."""
    ports: list[int] = []
    while len(ports) < count:
        port = find_port(addresses[0])
        try:
            for address in addresses:
                for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
                    with socket.socket(socket.AF_INET, kind) as probe:
                        probe.bind((address, port))
        except OSError:
            continue
        if port not in ports:
            ports.append(port)
    return ports


class Host:
    """One host process and its settings file."""

    def __init__(
        self, *, node: str, address: str, zone: str, ports: list[int], store: str, folder: str
    ) -> None:
        self.node, self.address = node, address
        self.front, self.ready, self.internal = ports
        self._folder = folder
        self._path = Path(folder) / f"{node}.conf"
        self._path.write_text(
            _SETTINGS.format(
                node=node,
                address=address,
                zone=zone,
                front=self.front,
                ready=self.ready,
                internal=self.internal,
                store=store,
            )
        )
        self.process: subprocess.Popen | None = None

    def start(self, *, first: bool = True) -> None:
        """Start the process; ``first`` is False unless the whole system starts the first time."""
        text = self._path.read_text()
        self._path.write_text(text.replace("FirstStart=true", f"FirstStart={str(first).lower()}"))
        deploy = tomllib.loads((REPOSITORY / "deploy" / "system.toml").read_text())
        command = deploy["roles"]["entry"]["run"].split()
        kept = {name: os.environ[name] for name in ("PATH", "HOME", "LANG") if name in os.environ}
        environment = {
            **kept,
            "GREENGAGESTAGE_CONFIG": str(self._path),
            "PYTHONPATH": str(REPOSITORY / "target" / "deps"),
        }
        with open(Path(self._folder) / f"{self.node}.log", "ab") as log:
            self.process = subprocess.Popen(
                command,
                cwd=REPOSITORY,
                env=environment,
                stdout=log,
                stderr=log,
                stdin=subprocess.DEVNULL,
            )

    def send(self, signum: int) -> None:
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(signum)

    async def end(self) -> None:
        """End the process, also one that is stopped."""
        if self.process is None:
            return
        self.send(signal.SIGCONT)
        self.send(signal.SIGKILL)
        while self.process.poll() is None:
            await asyncio.sleep(0.02)

    async def is_ready(self) -> bool:
        """Whether the host answers the platform's question with 200."""
        try:
            reader, writer = await asyncio.open_connection(self.address, self.ready)
            writer.write(b"GET /readiness HTTP/1.1\r\nHost: p\r\nConnection: close\r\n\r\n")
            line = await asyncio.wait_for(reader.readline(), 1.0)
            writer.close()
        except (OSError, TimeoutError):
            return False
        return b" 200 " in line


async def wait_until_ready(hosts: list[Host], limit_s: float = 20.0) -> bool:
    """Wait until all hosts are ready; return whether they are within the limit."""
    deadline_s = asyncio.get_running_loop().time() + limit_s
    while asyncio.get_running_loop().time() < deadline_s:
        if all([await host.is_ready() for host in hosts]):
            return True
        await asyncio.sleep(0.1)
    return False


def make_folder() -> str:
    """Return a new temporary folder."""
    return tempfile.mkdtemp(prefix="review2-")

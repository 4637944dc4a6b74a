"""Host processes of the project, started with the command of the deploy file."""

import asyncio
import os
import signal
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

    def start(self) -> None:
        """Start the process."""
        path = self.settings_path
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

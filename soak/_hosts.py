"""Host processes: their settings files, starts, signals and ends."""

import os
import signal
import subprocess
import sys
from dataclasses import dataclass, field
from pathlib import Path

from ._bounds import LINES
from ._proxy import Link

CALLERS_PORT = 20_080
READINESS_PORT = 20_081
PEER_PORT = 20_090
"""The same on all hosts, each of which has a loopback address of its own. Operating systems assign
no port of this range to sockets by themselves."""

DEFAULT_SLACK = 50

SETTINGS = """\
Node={name}
Role=entry
MachineClass=front
Serves=front
Ip={address}
Zone={domain}
Region=r1
Listen.Front={address}:{callers}
Listen.Ready={address}:{readiness}
InternalPortRange={peers},{last_peer}
FirstStart=true
Discovery=platform
{bounds}{duties}Bounds.RetryBudgetSlack={slack}
Platform.Address={store}
Platform.form=table
"""


@dataclass(slots=True, kw_only=True)
class Host:
    """A host and the links that lead to it and from it to the store.

    Attributes:
        duties: Lines of the settings about duties.
        product: Checkout whose code the processes run; None for the one that the soak runs from.
        stopping_s: Time of the SIGTERM that the running process received, if any.
        killed: Whether the soak has killed the running process.
    """

    name: str
    address: str
    domain: str
    directory: Path
    callers_link: Link
    store_link: Link
    callers: tuple[str, int]
    store: tuple[str, int]
    duties: str = ""
    product: Path | None = None
    slack: int = DEFAULT_SLACK
    stopping_s: float | None = None
    killed: bool = False
    suspended: bool = False
    in_rotation: bool = True
    missed_probes: int = 0
    process: subprocess.Popen[bytes] | None = field(default=None)
    _log_begin: int = 0

    @property
    def settings_path(self) -> Path:
        """The settings file."""
        return self.directory / f"{self.name}.conf"

    @property
    def readiness(self) -> tuple[str, int]:
        """The address of the readiness check."""
        return self.address, READINESS_PORT

    @property
    def running(self) -> bool:
        """Whether the process was started and has not ended."""
        return self.process is not None and self.process.poll() is None

    @property
    def log_path(self) -> Path:
        """The log of all processes of this host."""
        return self.directory / f"{self.name}.log"

    @property
    def has_listened(self) -> bool:
        """Whether the last process has reported that it listens for callers."""
        with self.log_path.open("rb") as log:
            log.seek(self._log_begin)
            return b'"host: started"' in log.read()

    def has_logged(self, *texts: str) -> bool:
        """Return whether a line in the log of all processes holds all of some texts."""
        with self.log_path.open(errors="replace") as log:
            return any(all(text in line for text in texts) for line in log)

    def write_settings(self) -> None:
        """Replace the settings file at once."""
        text = SETTINGS.format(
            name=self.name,
            address=self.address,
            domain=self.domain,
            callers=CALLERS_PORT,
            readiness=READINESS_PORT,
            peers=PEER_PORT,
            last_peer=PEER_PORT + 9,
            bounds=LINES,
            duties=self.duties,
            slack=self.slack,
            store=f"{self.store[0]}:{self.store[1]}",
        )
        temporary = self.settings_path.with_suffix(".new")
        temporary.write_text(text)
        temporary.replace(self.settings_path)

    def start(self) -> None:
        """Start the process, whose output is appended to a log file."""
        self.write_settings()
        self.stopping_s, self.killed, self.suspended = None, False, False
        environment = {**os.environ, "GREENGAGESTAGE_CONFIG": str(self.settings_path.resolve())}
        with self.log_path.open("ab") as log:
            self._log_begin = log.tell()
            self.process = subprocess.Popen(
                [sys.executable, "-m", "greengagestage.commands.host"],
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=subprocess.STDOUT,
                env=environment,
                cwd=self.product,  # imports look there first
                start_new_session=True,
            )

    def send_signal(self, number: signal.Signals) -> None:
        """Send a signal if the process runs."""
        if self.process is not None and self.running:
            self.process.send_signal(number)

    def kill(self) -> None:
        """Kill the process and collect it."""
        self.killed = True
        if self.process is not None and self.running:
            self.process.kill()
            self.process.wait()

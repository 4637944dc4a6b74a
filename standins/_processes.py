"""Child processes on loopback: start, wait for the address, signal, stop."""

import signal
import socket
import subprocess
import time
from collections.abc import Callable
from pathlib import Path

import msgspec

from ._http import LISTEN_ADDRESS, Announcement

START_TIMEOUT_S = 30.0
STOP_TIMEOUT_S = 40.0
POLL_INTERVAL_S = 0.02


class ProcessFailedError(Exception):
    """A child process ended or did not become ready."""


class PortReservations:
    """Ports for processes that must know them before they start, chosen by the system.

    Each port stays bound, without listening, until the end: so no other process gets it, while
    one that sets ``SO_REUSEADDR``, as servers do, can listen on it, also when started again.
    """

    def __init__(self) -> None:
        self._sockets: list[socket.socket] = []

    def reserve(self) -> int:
        """Return a port that no other process gets."""
        reserved = socket.socket()
        reserved.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        reserved.bind((LISTEN_ADDRESS, 0))
        self._sockets.append(reserved)
        port: int = reserved.getsockname()[1]
        return port

    def close(self) -> None:
        """Give all ports back."""
        for reserved in self._sockets:
            reserved.close()
        self._sockets.clear()


def wait_until(condition: Callable[[], bool], what: str, timeout_s: float) -> None:
    """Wait for a condition.

    Raises:
        ProcessFailedError: It did not come true in time.
    """
    end_s = time.monotonic() + timeout_s
    while not condition():
        if time.monotonic() > end_s:
            raise ProcessFailedError(f"not in {timeout_s:.0f} s: {what}")
        time.sleep(POLL_INTERVAL_S)


class ChildProcess:
    """One child process; its output goes to a file beside its announcement."""

    def __init__(
        self, *, name: str, command: list[str], directory: Path, url: str | None = None
    ) -> None:
        self.name = name
        self.log_file = directory / f"{name}.log"
        self._command = command
        self._announcement = directory / f"{name}.json"
        self._announces = url is None
        self._url = url
        self._process: subprocess.Popen[bytes] | None = None
        self._asked_to_stop = False

    @property
    def url(self) -> str:
        """Where the process listens."""
        if self._url is None:
            raise ProcessFailedError(f"{self.name} has not announced its address")
        return self._url

    @property
    def pid(self) -> int:
        """The process id."""
        return self._get_process().pid

    @property
    def running(self) -> bool:
        """Whether the process was started and has not ended."""
        return self._process is not None and self._process.poll() is None

    @property
    def exit_code(self) -> int | None:
        """The exit code, or None while the process runs."""
        return self._get_process().poll()

    def start(self) -> None:
        """Start the process; it does not see signals meant for the launcher."""
        self._announcement.unlink(missing_ok=True)
        self._asked_to_stop = False
        extra = ["--announce", str(self._announcement)] if self._announces else []
        with self.log_file.open("ab") as log:
            self._process = subprocess.Popen(
                [*self._command, *extra],
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=subprocess.STDOUT,
                start_new_session=True,
            )

    def wait_for_announcement(self) -> None:
        """Wait for the address, and keep the port for later starts."""
        if not self._announces:
            return
        self._wait_alive(self._announcement.exists, "address announced")
        announced = msgspec.json.decode(self._announcement.read_bytes(), type=Announcement)
        self._url = announced.url
        if "--port" not in self._command:
            self._command += ["--port", announced.url.rsplit(":", 1)[1]]

    def wait_ready(self, is_ready: Callable[[], bool]) -> None:
        """Wait for a condition while the process lives."""
        self._wait_alive(is_ready, "ready")

    def send_signal(self, number: signal.Signals) -> None:
        """Send a signal, if the process runs."""
        if self.running:
            self._get_process().send_signal(number)

    def request_stop(self) -> None:
        """Send SIGTERM, once for each start; a paused process goes on, so that it can stop."""
        if self._asked_to_stop:
            return
        self._asked_to_stop = True
        self.send_signal(signal.SIGCONT)
        self.send_signal(signal.SIGTERM)

    def wait(self, timeout_s: float = STOP_TIMEOUT_S) -> int:
        """Wait for the end and return the exit code; kill the process after the timeout."""
        try:
            return self._get_process().wait(timeout_s)
        except subprocess.TimeoutExpired:
            self._get_process().kill()
            return self._get_process().wait()

    def _wait_alive(self, condition: Callable[[], bool], what: str) -> None:
        def ended_or_met() -> bool:
            return not self.running or condition()

        wait_until(ended_or_met, f"{self.name}: {what}", START_TIMEOUT_S)
        if not self.running:
            log = self.log_file.read_text(errors="replace")[-2000:]
            raise ProcessFailedError(f"{self.name} ended with {self.exit_code}: {log}")

    def _get_process(self) -> subprocess.Popen[bytes]:
        if self._process is None:
            raise ProcessFailedError(f"{self.name} was not started")
        return self._process

"""Child processes on loopback: reserve ports, start, wait until ready, signal and stop."""

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
    """A child process was not started, ended early or did not become ready in time."""


class PortReservations:
    """Free ports, chosen by the system, for processes that must know theirs before they start.

    Each port stays bound, without listening, until ``close``, so that the system assigns it to
    no other process. A server that sets ``SO_REUSEADDR`` can still listen on it, also after a
    restart.
    """

    def __init__(self) -> None:
        self._sockets: list[socket.socket] = []

    def reserve(self) -> int:
        """Reserve a port and return its number."""
        bound_socket = socket.socket()
        bound_socket.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        bound_socket.bind((LISTEN_ADDRESS, 0))
        self._sockets.append(bound_socket)
        port: int = bound_socket.getsockname()[1]
        return port

    def close(self) -> None:
        """Release all reserved ports."""
        for bound_socket in self._sockets:
            bound_socket.close()
        self._sockets.clear()


def wait_until(condition: Callable[[], bool], description: str, timeout_s: float) -> None:
    """Poll until a condition holds.

    Raises:
        ProcessFailedError: The condition did not hold within the timeout.
    """
    deadline_s = time.monotonic() + timeout_s
    while not condition():
        if time.monotonic() > deadline_s:
            raise ProcessFailedError(f"timed out after {timeout_s:.0f} s: {description}")
        time.sleep(POLL_INTERVAL_S)


class ChildProcess:
    """One child process, whose output is written to a log file in ``directory``.

    Without a ``url`` the process is started with ``--announce`` and writes its address to a file
    in the same directory.
    """

    def __init__(
        self, *, name: str, command: list[str], directory: Path, url: str | None = None
    ) -> None:
        self.name = name
        self.log_file = directory / f"{name}.log"
        self._command = command
        self._announcement = directory / f"{name}.json"
        self._announces_url = url is None
        self._url = url
        self._process: subprocess.Popen[bytes] | None = None
        self._stop_requested = False

    @property
    def url(self) -> str:
        """The URL that the process listens at.

        Raises:
            ProcessFailedError: The process has not announced it yet.
        """
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
        """Start the process in its own session, which shields it from the launcher's signals."""
        self._announcement.unlink(missing_ok=True)
        self._stop_requested = False
        announce_options = ["--announce", str(self._announcement)] if self._announces_url else []
        with self.log_file.open("ab") as log:
            self._process = subprocess.Popen(
                [*self._command, *announce_options],
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=subprocess.STDOUT,
                start_new_session=True,
            )

    def wait_for_announcement(self) -> None:
        """Wait until the process announces its address, and reuse its port at later starts."""
        if not self._announces_url:
            return
        self._wait_while_alive(self._announcement.exists, "address announced")
        announced = msgspec.json.decode(self._announcement.read_bytes(), type=Announcement)
        self._url = announced.url
        if "--port" not in self._command:
            self._command += ["--port", announced.url.rsplit(":", 1)[1]]

    def wait_ready(self, is_ready: Callable[[], bool]) -> None:
        """Poll until a condition holds.

        Raises:
            ProcessFailedError: The process ended first, or the condition did not hold in time.
        """
        self._wait_while_alive(is_ready, "ready")

    def send_signal(self, signal_number: signal.Signals) -> None:
        """Send a signal if the process is running."""
        if self.running:
            self._get_process().send_signal(signal_number)

    def request_stop(self) -> None:
        """Send SIGTERM, at most once per start; SIGCONT comes first for a suspended process."""
        if self._stop_requested:
            return
        self._stop_requested = True
        self.send_signal(signal.SIGCONT)
        self.send_signal(signal.SIGTERM)

    def wait(self, timeout_s: float = STOP_TIMEOUT_S) -> int:
        """Wait until the process ends, kill it after the timeout, and return its exit code."""
        try:
            return self._get_process().wait(timeout_s)
        except subprocess.TimeoutExpired:
            self._get_process().kill()
            return self._get_process().wait()

    def _wait_while_alive(self, condition: Callable[[], bool], description: str) -> None:
        def ended_or_met() -> bool:
            return not self.running or condition()

        wait_until(ended_or_met, f"{self.name}: {description}", START_TIMEOUT_S)
        if not self.running:
            log = self.log_file.read_text(errors="replace")[-2000:]
            raise ProcessFailedError(f"{self.name} ended with {self.exit_code}: {log}")

    def _get_process(self) -> subprocess.Popen[bytes]:
        if self._process is None:
            raise ProcessFailedError(f"{self.name} was not started")
        return self._process

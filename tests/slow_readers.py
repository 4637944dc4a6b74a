"""Real processes beside upstreams that send as fast as they are read, and slow callers."""

import hashlib
import os
import signal
import socket
import subprocess
import sys
import time
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from pathlib import Path
from typing import Any

from msgspec.structs import replace
from twisted.internet.protocol import Factory, Protocol

from greengagestage.configuration import (
    UpstreamKind,
    WorkspaceKey,
    compute_digest,
    encode_declaration,
)
from greengagestage.ids import ConfigurationVersion, ServiceName
from greengagestage.wire import ConfigurationInForce, EntryEndpoint

from .builders import build_declaration, build_engine, build_workspace
from .host_harness import HostFleet, build_document, build_request, build_route
from .raw_caller import KEY
from .raw_caller import build_request as build_entry_request
from .reactors import choose_address, running_reactor

MEMORY_MB = 128
"""The memory of the machine, as its settings state it."""

MIB = 1_048_576
RECEIVE_BUFFER_BYTES = 4_096
BYTES_PER_READ = 200
PIECE = b"x" * 65_536
EVENT_BYTES = 8_192
START_TIMEOUT_S = 10.0
ANSWER_TIMEOUT_S = 10.0

SETTINGS = """\
Node=host-1
Ip=127.0.0.1
Zone=a
Listen.Front={callers}
Listen.Ready={readiness}
InternalPortRange={peers},{peers}
Limits.MemoryMb={memory_mb}
Limits.MaxFds={max_fds}
Bounds.GracePeriodS=5
Platform.Address={store}
"""


class BulkUpstream(Protocol):
    """Answers each request with as many bytes as its path names, as fast as they are read.

    The last two segments of a path are the framing (``plain``, ``unframed`` or ``stream``) and the
    size.
    """

    def __init__(self) -> None:
        self._received = b""
        self._left = 0
        self._framing = ""
        self._event = 0

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        self._received += data
        head, separator, rest = self._received.partition(b"\r\n\r\n")
        headers = dict(line.split(b": ", 1) for line in head.lower().split(b"\r\n")[1:])
        if not separator or len(rest) < int(headers.get(b"content-length", 0)):
            return
        self._received = b""
        attempt = headers.get(b"greengagestage-attempt-id", b"")
        self._begin_answer(head.split(b" ", 2)[1].decode(), attempt)

    def _begin_answer(self, path: str, attempt: bytes) -> None:
        self._framing, size = path.split("/")[-2:]
        self._left, self._event = int(size), 0
        framing = {
            "plain": b"Content-Length: %d" % self._left,
            "unframed": b"Connection: close",
            "stream": b"Transfer-Encoding: chunked",
        }[self._framing]
        head = b"\r\n".join(
            [
                b"HTTP/1.1 200 OK",
                framing,
                b"Greengagestage-Attempt-Id: " + attempt,
                b"Greengagestage-Server-Signature: s",
            ]
        )
        self.transport.write(head + b"\r\n\r\n")
        self.transport.registerProducer(self, False)

    def resumeProducing(self) -> None:  # noqa: N802
        """Send the next piece; called whenever the last one has been read."""
        if self._left > 0:
            piece = self._build_piece()
            self._left -= len(piece)
            self.transport.write(piece)
            return
        self.transport.unregisterProducer()
        if self._framing == "stream":
            self.transport.write(b"0\r\n\r\n")
        elif self._framing == "unframed":
            self.transport.loseConnection()

    def stopProducing(self) -> None:  # noqa: N802
        pass

    def _build_piece(self) -> bytes:
        if self._framing != "stream":
            return PIECE[: self._left]
        self._event += 1
        event = b"id: %d\ndata: %s\n\n" % (self._event, PIECE[:EVENT_BYTES])
        return b"%x\r\n%s\r\n" % (len(event), event)


class SlowReader:
    """A caller with a small receive buffer that reads a few bytes at a time, or none."""

    def __init__(self, address: tuple[str, int], data: bytes) -> None:
        self._socket = socket.socket()
        self._socket.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
        self._socket.setblocking(False)
        self._socket.connect_ex(address)
        self._unsent = data

    def send_some(self) -> None:
        """Send what the host takes of the requests."""
        try:
            self._unsent = self._unsent[self._socket.send(self._unsent) :]
        except OSError:
            return

    def read_some(self) -> None:
        """Read ``BYTES_PER_READ``."""
        try:
            self._socket.recv(BYTES_PER_READ)
        except OSError:
            return

    def close(self) -> None:
        self._socket.close()


class CrowdPlay:
    """A process that serves callers, started by a test, and a crowd at its door.

    Attributes:
        process: The process.
        crowd: The slow readers.
        request: An ordinary request.
    """

    process: "subprocess.Popen[bytes]"
    request: bytes

    def __init__(self, reactor: Any, directory: Path) -> None:
        self.reactor = reactor
        self.crowd: list[SlowReader] = []
        self._callers = choose_address()
        self._log = directory / "process.log"

    def start(self, module: str, *options: str, **variables: str) -> None:
        """Start a command's process, with some variables of the environment."""
        with self._log.open("wb") as output:
            self.process = subprocess.Popen(
                [sys.executable, "-m", f"greengagestage.commands.{module}", *options],
                stdout=output,
                stderr=output,
                env={**os.environ, **variables},
            )

    def close(self) -> None:
        """End the process and the crowd."""
        self.leave()
        self.process.kill()
        self.process.wait()

    def join(self, count: int, *requests: bytes) -> None:
        """Let callers connect that send some requests one behind the other."""
        address = _split(self._callers)
        self.crowd += [SlowReader(address, b"".join(requests)) for _ in range(count)]

    def leave(self) -> None:
        """Let the crowd close its connections."""
        for reader in self.crowd:
            reader.close()
        self.crowd.clear()

    def play(self, rounds: int, *, reads: bool = True) -> None:
        """Let the crowd send, and read a little once in a round.

        The play ends early once the process exceeds its limits or has ended.
        """
        for _ in range(rounds):
            for reader in self.crowd:
                reader.send_some()
                if reads:
                    reader.read_some()
            self._run(0.25)
            if not self.is_alive or self.peak_memory_bytes >= MEMORY_MB * MIB:
                return

    def check_serves(self) -> None:
        """Check that an ordinary caller is answered, at last after refusals."""
        self.ask_until(lambda answer: answer.endswith(b"x" * 20), self.request, self._callers)

    def check_within_memory(self) -> None:
        """Check that the process lives and has never held more than its machine has."""
        assert self.is_alive, self._log.read_bytes()[-2_000:]
        assert self.peak_memory_bytes < MEMORY_MB * MIB, self.peak_memory_bytes // MIB

    def count_descriptors(self) -> int:
        return len(os.listdir(f"/proc/{self.process.pid}/fd"))

    def wait_for_descriptors(self, count: int) -> None:
        """Wait until the process has no more descriptors than this."""
        self._wait(lambda: self.count_descriptors() <= count, START_TIMEOUT_S)
        assert self.count_descriptors() <= count

    def stop_process(self) -> int | None:
        """Stop the process as planned; return its exit status, None if it does not end."""
        self.process.send_signal(signal.SIGTERM)
        self._wait(lambda: not self.is_alive, START_TIMEOUT_S)
        return self.process.poll()

    @property
    def is_alive(self) -> bool:
        return self.process.poll() is None

    @property
    def peak_memory_bytes(self) -> int:
        return read_peak_memory(self.process.pid)

    def ask_until(self, is_answer: Callable[[bytes], bool], request: bytes, address: str) -> None:
        """Send a request again and again until it is answered so."""
        deadline_s = time.monotonic() + START_TIMEOUT_S
        answer = b""
        while not is_answer(answer):
            assert time.monotonic() < deadline_s, answer[:200]
            assert self.is_alive, self._log.read_bytes()[-2_000:]
            self._run(0.1)
            answer = self._ask(request, _split(address))

    def _ask(self, request: bytes, address: tuple[str, int]) -> bytes:
        answer = b""
        with socket.socket() as caller:
            caller.setblocking(False)
            caller.connect_ex(address)
            deadline_s = time.monotonic() + ANSWER_TIMEOUT_S
            while time.monotonic() < deadline_s:
                self.reactor.iterate(0.01)
                try:
                    request = request[caller.send(request) :] if request else b""
                    piece = caller.recv(65_536)
                except BlockingIOError:
                    continue
                except OSError:
                    break
                answer += piece
                if not piece or _is_complete(answer):
                    break
        return answer

    def _run(self, duration_s: float) -> None:
        end_s = time.monotonic() + duration_s
        self._wait(lambda: time.monotonic() >= end_s, duration_s + START_TIMEOUT_S)

    def _wait(self, condition: Callable[[], bool], limit_s: float) -> None:
        deadline_s = time.monotonic() + limit_s
        while not condition() and time.monotonic() < deadline_s:
            self.reactor.iterate(0.01)


class HostPlay(CrowdPlay):
    """A host, with a store and eight bulk upstreams in the test's reactor."""

    request = build_request("/lookup/plain/20", deadline_ms=5_000)

    def __init__(self, reactor: Any, directory: Path, *, max_fds: int = 4_100) -> None:
        super().__init__(reactor, directory)
        self._fleet = HostFleet(reactor)
        engine = {"Slots": 4_000, "KvCapacityTokens": 10_000_000, "Stride": 1}
        self._fleet.store.put(
            "op",
            "config",
            build_document(
                Routes=[
                    build_route("lookup", "idempotent", "archive", TimeoutMs=60_000),
                    build_route("short", "streaming", "engines", TimeoutMs=60_000),
                ],
                Services=[
                    {"Name": "archive", "MaxConnections": 4_000},
                    {"Name": "engines", "MaxConnections": 4_000, "Engine": engine},
                ],
            ),
        )
        for number in range(4):
            self._add_upstream(f"archive-{number}", "archive")
            self._add_upstream(f"engine-{number}", "engines")
        self._readiness = choose_address()
        settings = directory / "settings.conf"
        store = self._fleet.store_port.getHost()
        settings.write_text(
            SETTINGS.format(
                callers=self._callers,
                readiness=self._readiness,
                peers=choose_address().rpartition(":")[2],
                store=f"{store.host}:{store.port}",
                memory_mb=MEMORY_MB,
                max_fds=max_fds,
            )
        )
        self.start("host", "--settings", str(settings))

    def wait_ready(self) -> None:
        """Wait until the host is ready for requests."""
        request = b"GET /readiness HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n"
        self.ask_until(lambda answer: answer.startswith(b"HTTP/1.1 200"), request, self._readiness)

    def _add_upstream(self, name: str, service: str) -> None:
        upstream = self._fleet.add_upstream(name, service=service)
        upstream.port = listen_in_bulk(self.reactor)
        self._fleet.store.put("servers", name, upstream.build_entry(Slots=4_000))


class EntryPlay(CrowdPlay):
    """An entry process, with its agent's side of the link and four bulk services."""

    request = build_entry_request(method="GET", path="/services/bookings/plain/20")

    def __init__(self, reactor: Any, directory: Path) -> None:
        super().__init__(reactor, directory)
        agent = choose_address()
        key = "k" * 16
        self._link = EntryEndpoint(
            reactor=reactor, address=agent, fleet_keys=(key,), on_message=lambda message: None
        )
        self._link.start()
        self._link.broadcast(self._build_configuration())
        self.start(
            "entry",
            *("--listen", self._callers, "--agent", agent, "--platform", "http://127.0.0.1:9"),
            *("--host", "host-1", "--failure-domain", "a", "--fleet-key", key),
            *("--service-buffer-bytes", str(MIB)),
            GREENGAGE_MEMORY_MB=str(MEMORY_MB),
        )

    def close(self) -> None:
        """End the process, the crowd and the link."""
        super().close()
        self._link.stop()

    def wait_ready(self) -> None:
        """Wait until the process listens and has its configuration."""
        request = b"GET /readyz HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n"
        self.ask_until(lambda answer: answer.startswith(b"HTTP/1.1 200"), request, self._callers)

    def _build_configuration(self) -> ConfigurationInForce:
        services = [listen_in_bulk(self.reactor).getHost().port for _ in range(4)]
        declaration = build_declaration(
            workspaces=(
                build_workspace(
                    "gyor",
                    keys=(WorkspaceKey(sha256=hashlib.sha256(KEY.encode()).hexdigest()),),
                ),
            ),
            upstreams=tuple(
                replace(
                    build_engine(
                        f"service-{port}",
                        url=f"http://127.0.0.1:{port}",
                        models=(),
                        service=ServiceName("bookings"),
                        slots=4_000,
                    ),
                    kind=UpstreamKind.SERVICE,
                )
                for port in services
            ),
        )
        document = encode_declaration(declaration)
        return ConfigurationInForce(
            version=ConfigurationVersion(1), digest=compute_digest(document), document=document
        )


def listen_in_bulk(reactor: Any) -> Any:
    """Return the listening port of a new bulk upstream."""
    factory = Factory.forProtocol(BulkUpstream)
    factory.noisy = False
    return reactor.listenTCP(0, factory, interface="127.0.0.1", backlog=1_024)


def read_peak_memory(pid: int) -> int:
    """Return the largest resident memory of a process so far, bytes; 0 once it has ended."""
    try:
        status = Path(f"/proc/{pid}/status").read_text()
    except OSError:
        return 0
    lines = dict(line.split(":", 1) for line in status.splitlines())
    return int(lines.get("VmHWM", "0").split()[0]) * 1_024


@contextmanager
def running_play(
    build: Callable[..., HostPlay | EntryPlay], directory: Path, **options: Any
) -> Iterator[HostPlay | EntryPlay]:
    """Yield a play whose process serves."""
    with running_reactor() as reactor:
        play = build(reactor, directory, **options)
        try:
            play.wait_ready()
            play.check_serves()
            yield play
        finally:
            play.close()


def _split(address: str) -> tuple[str, int]:
    host, _, port = address.rpartition(":")
    return host, int(port)


def _is_complete(answer: bytes) -> bool:
    head, separator, body = answer.partition(b"\r\n\r\n")
    for line in head.lower().split(b"\r\n"):
        if line.startswith(b"content-length: "):
            return len(body) >= int(line[16:])
    return bool(separator) and body.endswith(b"0\r\n\r\n")

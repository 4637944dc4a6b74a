"""Measures a host, and a client based on Twisted's, while an upstream sends bytes without end.

The upstream and the sound callers run in this process. The host and the client are processes of
their own, so that their memory can be read.
"""

import json
import os
import shutil
import statistics
import subprocess
import sys
from collections.abc import Callable
from dataclasses import dataclass, field
from pathlib import Path
from random import Random
from typing import Any

import click
from twisted.internet.defer import Deferred
from twisted.internet.protocol import Factory, Protocol

from ._dialing import dial
from ._disturbances import Disturbances
from ._findings import Findings
from ._host_fleet import HostFleet
from ._operator import HOST_NAME, Operator
from ._store import StoreControl
from ._traffic import sleep
from ._upstream import Upstream, UpstreamIdentity, UpstreamObserver

STORE_PORT, CONTROL_PORT = 20_070, 20_071
SENDERS = 6
PROBE_PAUSE_S = 0.1
PIECE_BYTES = 16_384

HEAD = b"HTTP/1.1 200 OK\r\n"
LEFT_OVER = b"Greengagestage-Attempt-Id: earlier\r\nContent-Length: 0\r\n\r\n"
PIECES: dict[str, tuple[bytes, bytes]] = {
    "nothing": (b"", b""),
    "header fields": (HEAD, b"x-noise: abcdef\r\n"),
    "folded lines": (HEAD + b"x-a: b\r\n", b" folded line\r\n"),
    "interim responses": (b"", b"HTTP/1.1 103 Early Hints\r\n\r\n"),
    "left-over responses": (
        b"",
        HEAD + b"Greengagestage-Attempt-Id: x\r\nContent-Length: 0\r\n\r\n",
    ),
    "body": (HEAD + b"\r\n", b"x" * 64),
    "chunks": (HEAD + b"Transfer-Encoding: chunked\r\n\r\n", b"a\r\n0123456789\r\n"),
}
CLIENT = """
import sys
from twisted.internet import reactor
from greengagestage.services import HttpClient
client = HttpClient(reactor=reactor, base_url=sys.argv[1], timeout_s=60.0)
def call(_=None):
    client.send("GET", "/", limit_bytes=1_000_000).addBoth(lambda _: reactor.callLater(0.05, call))
reactor.callWhenRunning(call)
reactor.run()
"""


class _Sender(Protocol):
    """Sends a piece again and again, from the first request on, until it is cut off."""

    transport: Any

    def __init__(self, head: bytes, piece: bytes) -> None:
        self._head = head
        self._pieces = piece * max(PIECE_BYTES // max(len(piece), 1), 1)
        self._begun = False

    def dataReceived(self, data: bytes) -> None:
        if not self._begun and self._pieces:
            self._begun = True
            self.transport.write(self._head)
            self.transport.registerProducer(self, False)

    def resumeProducing(self) -> None:
        """Send the next bytes."""
        self.transport.write(self._pieces)

    def stopProducing(self) -> None:
        """Do nothing: the connection is lost."""


class _Request(Protocol):
    """Sends one request and waits for bytes, for the end of the connection or for a timeout."""

    transport: Any

    def __init__(self, data: bytes, on_end: Callable[[], None]) -> None:
        self._data = data
        self._on_end: Callable[[], None] | None = on_end

    def connectionMade(self) -> None:
        self.transport.write(self._data)

    def dataReceived(self, data: bytes) -> None:
        self._end()
        self.transport.abortConnection()

    def connectionLost(self, reason: Any = None) -> None:
        self._end()

    def _end(self) -> None:
        on_end, self._on_end = self._on_end, None
        if on_end is not None:
            on_end()


@dataclass(slots=True, kw_only=True)
class EndlessMeasurement:
    """One host before a sound upstream and one that sends a kind of bytes without end."""

    reactor: Any
    kind: str
    seconds: float
    directory: Path
    times_s: list[float] = field(default_factory=list)
    host_mb: list[float] = field(default_factory=list)
    client_mb: list[float] = field(default_factory=list)
    _processes: list[subprocess.Popen[bytes]] = field(default_factory=list)
    _hosts: HostFleet | None = None
    _number: int = 0

    async def run(self) -> None:
        """Measure, and end all processes."""
        network = f"127.{1 + os.getpid() // 250 % 250}.{os.getpid() % 250}"
        try:
            await self._run(network)
        finally:
            if self._hosts is not None:
                self._hosts.close()
            for process in self._processes:
                process.kill()
                process.wait()

    async def _run(self, network: str) -> None:
        shutil.rmtree(self.directory, ignore_errors=True)
        self.directory.mkdir(parents=True)
        store_address = f"{network}.251"
        self._start(
            "soak",
            "store",
            "--address",
            store_address,
            "--port",
            str(STORE_PORT),
            "--control-port",
            str(CONTROL_PORT),
        )
        await sleep(self.reactor, 1.5)
        store: StoreControl = await dial(self.reactor, StoreControl, (store_address, CONTROL_PORT))
        operator = Operator(reactor=self.reactor, store=store, random=Random(1))
        await operator.publish_first()
        endless = self._listen(network)
        sound = Upstream(
            identity=UpstreamIdentity(
                instance="sound", service="archive", version="v1", domain="a"
            ),
            reactor=self.reactor,
            observer=UpstreamObserver(),
        )
        await self._register(store, "sound", "archive", sound.open(f"{network}.252"))
        await self._register(store, "endless", "engines", endless)
        disturbances = Disturbances()
        self._hosts = HostFleet(
            reactor=self.reactor,
            disturbances=disturbances,
            findings=Findings(began_s=self.reactor.seconds(), disturbances=disturbances),
        )
        host = self._hosts.add(0, network, (store_address, STORE_PORT), self.directory, "")
        host.start()
        client = self._start("-c", CLIENT, f"http://{endless[0]}:{endless[1]}")
        await sleep(self.reactor, 3.0)
        address = host.address, host.callers_link.target[1]
        for number in range(SENDERS):
            self.reactor.callLater(0.05 * number, self._send_prompt, address)
        ended_s = self.reactor.seconds() + self.seconds
        while self.reactor.seconds() < ended_s:
            self._probe(address)
            await sleep(self.reactor, PROBE_PAUSE_S)
            if host.process is not None:
                self.host_mb.append(_read_memory_mb(host.process.pid))
            self.client_mb.append(_read_memory_mb(client.pid))
        await sleep(self.reactor, 2.0)

    def describe(self) -> str:
        """Return the figures as one line."""
        times_ms = sorted(1_000 * each for each in self.times_s)
        p99_ms = times_ms[int(0.99 * (len(times_ms) - 1))]
        return (
            f"{self.kind:20} host {min(self.host_mb):.0f} to {max(self.host_mb):.0f} MB, "
            f"others p50 {statistics.median(times_ms):.0f}, p99 {p99_ms:.0f} ms of "
            f"{len(times_ms)}; client {min(self.client_mb):.0f} to {max(self.client_mb):.0f} MB"
        )

    def _start(self, *arguments: str) -> subprocess.Popen[bytes]:
        command = [sys.executable, *(("-m",) if arguments[0] != "-c" else ()), *arguments]
        process = subprocess.Popen(
            command, stdin=subprocess.DEVNULL, stdout=subprocess.DEVNULL, stderr=subprocess.DEVNULL
        )
        self._processes.append(process)
        return process

    def _listen(self, network: str) -> tuple[str, int]:
        factory: Any = Factory.forProtocol(lambda: _Sender(*PIECES[self.kind]))
        factory.noisy = False
        port = self.reactor.listenTCP(0, factory, interface=f"{network}.252")
        return f"{network}.252", int(port.getHost().port)

    async def _register(
        self, store: StoreControl, instance: str, service: str, address: tuple[str, int]
    ) -> None:
        entry = {
            "Service": service,
            "Address": f"{address[0]}:{address[1]}",
            "Zone": "a",
            "Version": "v1",
            "Slots": 8,
            "State": "ready",
            "ColdRemainingMs": 0,
            "Sequence": 1,
        }
        await store.put("servers", instance, json.dumps(entry).encode())

    def _send_prompt(self, address: tuple[str, int]) -> None:
        """Send one prompt after the other to the endless upstream."""
        self._number += 1
        headers = (
            f"Greengagestage-Token-Usage: 600,9\r\nGreengagestage-Model: m\r\n"
            f"Greengagestage-Prompt-Prefix: aa:400,{self._number}:200\r\n"
            "Authorization: Bearer key-gyor-1\r\n"
        )
        self._send(
            address,
            "draft",
            headers,
            lambda: self.reactor.callLater(0.05, self._send_prompt, address),
        )

    def _probe(self, address: tuple[str, int]) -> None:
        """Send one small request to the sound upstream."""
        sent_s = self.reactor.seconds()
        self._number += 1
        self._send(
            address, "open", "", lambda: self.times_s.append(self.reactor.seconds() - sent_s)
        )

    def _send(
        self, address: tuple[str, int], route: str, headers: str, on_end: Callable[[], Any]
    ) -> None:
        body = json.dumps({"work": f"w{self._number}", "events": 0, "pace_ms": 20})
        data = (
            f"POST /{route}/1 HTTP/1.1\r\nHost: {HOST_NAME}\r\nContent-Length: {len(body)}\r\n"
            f"Greengagestage-Attempt-Id: a{self._number}\r\nGreengagestage-Deadline-Ms: 8000\r\n"
            f"{headers}\r\n{body}"
        )
        connecting = dial(self.reactor, lambda: _Request(data.encode(), on_end), address)
        connecting.addErrback(lambda _: on_end())


def _read_memory_mb(pid: int) -> float:
    """Return the resident memory of a process in megabytes."""
    for line in Path(f"/proc/{pid}/status").read_text().splitlines():
        if line.startswith("VmRSS:"):
            return int(line.split()[1]) / 1_024
    return 0.0


def measure_endless(reactor: Any, kind: str, seconds: float, directory: Path) -> None:
    """Run one measurement in this process's reactor, and print it."""
    measurement = EndlessMeasurement(
        reactor=reactor, kind=kind, seconds=seconds, directory=directory
    )

    def begin() -> None:
        running: Deferred[None] = Deferred.fromCoroutine(measurement.run())
        running.addErrback(lambda failure: click.echo(failure, err=True))
        running.addBoth(lambda _: reactor.stop())

    reactor.callWhenRunning(begin)
    reactor.run()
    click.echo(measurement.describe())

"""Small stand-ins of the platform's store, of servers and of clients, and a runner of hosts.

They follow the operators' pages (PROTOCOL.md and DEPLOY.md) and need only the standard library. The
hosts are the project's own program, started with the command of ``deploy/system.toml``.
"""

import asyncio
import base64
import contextlib
import copy
import json
import os
import shutil
import signal
import socket
import struct
import subprocess
import tempfile
import time
import tomllib
from collections.abc import Callable
from dataclasses import dataclass, field
from pathlib import Path
from urllib.parse import parse_qs

REPOSITORY = Path(__file__).resolve().parents[2]

HEARTBEAT_S = 1.2
"""``HeartbeatMs`` of the example in DEPLOY.md."""

STORE_ANSWER_S = 0.004
"""The sheets say 4 ms an answer."""

LARGE_BYTES = 1_000_000
"""Size from which a server may take another time for a request."""

DRAIN_S = 2.0
CONFIG_S = 2.0
REVOKE_S = 5.0
STABLE_S = 3.0
GRACE_S = 8.0
RECOVERY_S = 12.0
"""Bounds of the sheets of both deployments of the first milestone."""


def now() -> float:
    """Return the monotonic time in seconds."""
    return time.monotonic()


class Record:
    """Writes what was sent, answered and run to ``record.txt``, with times since the start."""

    def __init__(self, path: Path) -> None:
        self._file = path.open("w")
        self._began = now()

    def __call__(self, text: str) -> None:
        """Write a line."""
        self._file.write(f"{now() - self._began:8.3f}  {text}\n")
        self._file.flush()

    def since(self, moment: float) -> float:
        """Return a moment as the record shows it."""
        return moment - self._began


@dataclass
class Head:
    """The first line and the headers of a message; names are in lower case."""

    first: list[str]
    headers: dict[str, str]

    def get(self, name: str, default: str = "") -> str:
        """Return a header."""
        return self.headers.get(name.lower(), default)


async def read_head(reader: asyncio.StreamReader) -> Head | None:
    """Read a head; None at the end of the connection."""
    try:
        raw = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = raw.decode("latin-1").split("\r\n")
    pairs = (line.partition(":") for line in lines[1:] if line)
    return Head(lines[0].split(" ", 2), {name.strip().lower(): v.strip() for name, _, v in pairs})


def pick_port(*addresses: str) -> int:
    """Return a port that is free on all addresses, for TCP and UDP."""
    for _ in range(200):
        probe = socket.socket()
        probe.bind((addresses[0], 0))
        port: int = probe.getsockname()[1]
        probe.close()
        if all(_is_free(address, port) for address in addresses):
            return port
    raise RuntimeError("no free port")


def _is_free(address: str, port: int) -> bool:
    for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
        with socket.socket(socket.AF_INET, kind) as probe:
            try:
                probe.bind((address, port))
            except OSError:
                return False
    return True


# The platform's store.


@dataclass
class _Tables:
    revision: int = 0
    rows: dict[tuple[str, str], tuple[bytes, int]] = field(default_factory=dict)
    changes: list[tuple[int, str, str, bytes | None]] = field(default_factory=list)


class Store:
    """The store: rows, transactions and the feed.

    Attributes:
        up: While false, connections are reset and nothing is done.
        era: Header ``Store-Era``.
    """

    def __init__(self, record: Record) -> None:
        self.record = record
        self.up = True
        self.era = 1
        self.address = ("127.0.0.2", pick_port("127.0.0.2"))
        self._tables = _Tables()
        self._changed = asyncio.Event()
        self._writers: set[asyncio.StreamWriter] = set()
        self._server: asyncio.Server | None = None
        self._doors: list[asyncio.Server] = []

    async def start(self) -> None:
        """Listen."""
        self._server = await asyncio.start_server(self.serve, *self.address)

    def put(self, table: str, key: str, value: bytes | None) -> None:
        """Write a row, or remove it, as the operator and the servers do."""
        if value is None and (table, key) not in self._tables.rows:
            return
        self._apply([(table, key, value)])

    def take_copy(self) -> _Tables:
        """Return a copy, for a drill."""
        return copy.deepcopy(self._tables)

    async def open_door(self) -> "Door":
        """Open another address of the store, which can be cut by itself."""
        door = Door(self)
        self._doors.append(await asyncio.start_server(door.serve, *door.address))
        return door

    def go_down(self) -> None:
        """Reset all connections; refuse new ones until ``come_back``."""
        self.up = False
        for writer in list(self._writers):
            writer.transport.abort()

    def come_back(self, older: _Tables | None = None) -> None:
        """Serve again; from an older copy, the era rises by one."""
        if older is not None:
            self._tables = copy.deepcopy(older)
            self.era += 1
        self.up = True

    def _apply(self, changes: list[tuple[str, str, bytes | None]]) -> None:
        tables = self._tables
        tables.revision += 1
        for table, key, value in changes:
            if value is None:
                tables.rows.pop((table, key), None)
            else:
                tables.rows[table, key] = (value, tables.revision)
            tables.changes.append((tables.revision, table, key, value))
        changed, self._changed = self._changed, asyncio.Event()
        changed.set()

    async def serve(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        loses: Callable[[str], bool] = lambda target: False,
    ) -> None:
        """Answer the calls of one connection; none of them while it is cut."""
        self._writers.add(writer)
        try:
            while self.up and (head := await read_head(reader)) is not None:
                body = await reader.readexactly(int(head.get("content-length", "0")))
                if loses(head.first[1]):
                    continue
                await asyncio.sleep(STORE_ANSWER_S)
                status, answer = await self._handle(head.first[1], body)
                if not self.up:
                    break
                if loses(""):
                    continue
                text = json.dumps(answer).encode()
                writer.write(
                    f"HTTP/1.1 {status} X\r\nContent-Type: application/json\r\n"
                    f"Store-Era: {self.era}\r\nContent-Length: {len(text)}\r\n\r\n".encode() + text
                )
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            self._writers.discard(writer)
            writer.transport.abort() if not self.up else writer.close()

    async def _handle(self, target: str, body: bytes) -> tuple[int, dict[str, object]]:
        path, _, query = target.partition("?")
        arguments = {name: values[0] for name, values in parse_qs(query).items()}
        if not self.up:
            return 503, {}
        match path:
            case "/rows-get":
                return 200, self._read(arguments)
            case "/rows-feed":
                return await self._feed(arguments)
            case "/rows-tx":
                return self._transact(json.loads(body))
        return 404, {}

    def _describe(self, rows: list[dict[str, object]], more: bool = False) -> dict[str, object]:
        return {
            "Rows": rows,
            "SchemaVersion": self._tables.revision,
            "NowMs": round(now() * 1_000),
            "HasMore": more,
        }

    def _read(self, arguments: dict[str, str]) -> dict[str, object]:
        table = arguments["Table"]
        first, end = arguments.get("From", ""), arguments.get("To")
        limit = min(int(arguments.get("Limit", "500")), 500)
        keys = sorted(
            key
            for name, key in self._tables.rows
            if name == table and key >= first and (end is None or key < end)
        )
        rows = [_encode(table, key, *self._tables.rows[table, key]) for key in keys[:limit]]
        return self._describe(rows, len(keys) > limit)

    async def _feed(self, arguments: dict[str, str]) -> tuple[int, dict[str, object]]:
        after, table = int(arguments["AfterRevision"]), arguments["Table"]
        if after > self._tables.revision:
            return 410, {}
        end = now() + int(arguments.get("WaitMs", "0")) / 1_000
        while True:
            newest: dict[str, dict[str, object]] = {}
            for revision, name, key, value in self._tables.changes:
                if name == table and revision > after:
                    newest[key] = _encode(table, key, value, revision)
            left = end - now()
            if newest or left <= 0 or not self.up:
                return 200, self._describe(list(newest.values()))
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self._changed.wait(), left)

    def _transact(self, entry: dict[str, list[dict[str, object]]]) -> tuple[int, dict[str, object]]:
        rows, conflict = [], False
        for each in entry.get("ExpectedRevision", ()):
            table, key = str(each["Table"]), str(each["Key"])
            value, revision = self._tables.rows.get((table, key), (None, 0))
            conflict = conflict or revision != each["SchemaVersion"]
            if value is not None:
                rows.append(_encode(table, key, value, revision))
        if conflict:
            return 412, self._describe(rows)
        changes: list[tuple[str, str, bytes | None]] = [
            (str(each["Table"]), str(each["Key"]), base64.b64decode(str(each["Value"])))
            for each in entry.get("Puts", ())
        ]
        changes += [(str(e["Table"]), str(e["Key"]), None) for e in entry.get("Remove", ())]
        self._apply(changes)
        return 200, self._describe([])


class Door:
    """An address of the store for one host. While it is cut, calls and answers are lost."""

    def __init__(self, store: Store) -> None:
        self.cut = False
        self.reads = 0
        self.lost_reads = 0
        self.address = ("127.0.2.1", pick_port("127.0.2.1"))
        self._store = store

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Pass a connection to the store."""
        await self._store.serve(reader, writer, self._loses)

    def _loses(self, target: str) -> bool:
        if "Table=servers" in target:
            self.reads += 1
            self.lost_reads += self.cut
        return self.cut


def _encode(table: str, key: str, value: bytes | None, revision: int) -> dict[str, object]:
    row: dict[str, object] = {"Table": table, "part": "", "Key": key, "SchemaVersion": revision}
    if value is None:
        row["Tombstone"] = True
    else:
        row["Value"] = base64.b64encode(value).decode()
    return row


# Servers.


class Server:
    """A server with its entry in the registry.

    A plain request is answered after ``work_s``. A stream (path ``/stream/N`` below its route) has
    N events, each of which names the software version that made it; it goes on at
    ``Last-Event-Id``.

    Attributes:
        arrivals: When each request that is no health check arrived, with its attempt id.
        runs: The requests that were run: time, attempt id and tenant.
    """

    def __init__(
        self,
        *,
        world: "World",
        name: str,
        service: str,
        zone: str,
        version: str = "1",
        work_s: float = 0.02,
        event_s: float = 0.1,
        slots: int = 16,
    ) -> None:
        self.world, self.name, self.service, self.zone = world, name, service, zone
        self.version, self.work_s, self.event_s, self.slots = version, work_s, event_s, slots
        self.large_work_s = work_s
        self.state = "ready"
        self.alive = False
        self.arrivals: list[tuple[float, str]] = []
        self.runs: list[tuple[float, str, str]] = []
        self.address = "127.0.3.1"
        self.port = pick_port(self.address)
        self._sequence = 0
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()
        self._beat: asyncio.Task[None] | None = None

    async def start(self) -> None:
        """Listen and register."""
        self._server = await asyncio.start_server(self._serve, self.address, self.port)
        self.alive = True
        self.write_entry()
        self._beat = asyncio.create_task(self._write_heartbeats())
        self.world.record(f"server {self.name} ({self.service}, version {self.version}) registers")

    def write_entry(self) -> bool:
        """Write the entry; return whether the store took it."""
        if not self.world.store.up:
            return False
        self._sequence += 1
        entry = {
            "Service": self.service,
            "Address": f"{self.address}:{self.port}",
            "Zone": self.zone,
            "Version": self.version,
            "Slots": self.slots,
            "State": self.state,
            "ColdRemainingMs": 0,
            "Sequence": self._sequence,
        }
        self.world.store.put("servers", self.name, json.dumps(entry).encode())
        return True

    def drain(self) -> float:
        """Report ``draining``; return when the store has accepted that."""
        self.state = "draining"
        if not self.write_entry():
            raise RuntimeError("the store is down")
        self.world.record(f"server {self.name} is draining (acknowledged)")
        return now()

    def stop_heartbeats(self) -> None:
        """Write the entry no more."""
        if self._beat is not None:
            self._beat.cancel()

    async def leave(self) -> None:
        """Exit and remove the entry."""
        self.alive = False
        self.stop_heartbeats()
        if self._server is not None:
            self._server.close()
        for writer in list(self._writers):
            writer.transport.abort()
        self.world.store.put("servers", self.name, None)
        self.world.record(f"server {self.name} has left")

    async def _write_heartbeats(self) -> None:
        while self.alive:
            await asyncio.sleep(HEARTBEAT_S)
            self.write_entry()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._writers.add(writer)
        try:
            while (head := await read_head(reader)) is not None:
                body = await reader.readexactly(int(head.get("content-length", "0")))
                await self._answer(head, body, writer)
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            self._writers.discard(writer)
            writer.close()

    async def _answer(self, head: Head, body: bytes, writer: asyncio.StreamWriter) -> None:
        attempt = head.get("greengagestage-attempt-id")
        common = f"Greengagestage-Attempt-Id: {attempt}\r\nKeep-Alive: timeout=5\r\n"
        if head.get("greengagestage-expect-instance", self.name) != self.name:
            writer.write(
                f"HTTP/1.1 421 X\r\n{common}Greengagestage-Not-Executed: 1\r\n"
                "Content-Length: 0\r\n\r\n".encode()
            )
            await writer.drain()
            return
        self.arrivals.append((now(), attempt))
        self.runs.append((now(), attempt, head.get("greengagestage-tenant")))
        self.world.record(f"server {self.name} runs {attempt}")
        common += f"Greengagestage-Server-Signature: {self.name}.{attempt}\r\n"
        path = head.first[1].partition("?")[0]
        if "/stream/" in path:
            await self._stream(head, path, common, writer)
            return
        await asyncio.sleep(self.large_work_s if len(body) >= LARGE_BYTES else self.work_s)
        text = f"{self.name} {attempt}".encode()
        writer.write(
            f"HTTP/1.1 200 OK\r\n{common}Content-Length: {len(text)}\r\n\r\n".encode() + text
        )
        await writer.drain()

    async def _stream(
        self, head: Head, path: str, common: str, writer: asyncio.StreamWriter
    ) -> None:
        events = int(path.rpartition("/")[2])
        first = int(head.get("last-event-id", "0")) + 1
        if first > 1:
            self.world.record(f"server {self.name} goes on after event {first - 1}")
        writer.write(
            f"HTTP/1.1 200 OK\r\n{common}Content-Type: text/event-stream\r\n"
            "Transfer-Encoding: chunked\r\n\r\n".encode()
        )
        for number in range(first, events + 1):
            await asyncio.sleep(self.event_s)
            event = f"id: {number}\ndata: version {self.version} piece {number}\n\n".encode()
            writer.write(b"%x\r\n%s\r\n" % (len(event), event))
            await writer.drain()
        writer.write(b"0\r\n\r\n")
        await writer.drain()


# Hosts.


class Host:
    """One process of the project, with its settings file."""

    def __init__(self, *, world: "World", name: str, zone: str, number: int) -> None:
        self.world, self.name, self.zone = world, name, zone
        self.address = f"127.0.1.{number}"
        self.front = pick_port(self.address)
        self.ready = pick_port(self.address)
        self.inner_port = world.inner_port
        self.store_address = world.store.address
        self.process: subprocess.Popen[bytes] | None = None
        self.starts = 0

    def start(self, *, first: bool = False) -> None:
        """Write the settings and start the process."""
        world = self.world
        path = world.folder / f"{self.name}.conf"
        zones = "".join(f"Zones.{zone}=north\n" for zone in sorted(world.zones))
        path.write_text(
            f"Node={self.name}\nRole=entry\nMachineClass=front\nServes=front\nIp={self.address}\n"
            f"Zone={self.zone}\nRegion=north\n{zones}"
            f"Listen.Front={self.address}:{self.front}\nListen.Ready={self.address}:{self.ready}\n"
            f"InternalPortRange={self.inner_port},{self.inner_port}\n"
            f"FirstStart={'true' if first else 'false'}\nCountsAsLoss=true\n"
            f"Limits.CpuShare=1.0\nLimits.Cores=1\nLimits.MemoryMb=300\nLimits.MaxFds=4100\n"
            f"HeartbeatMs={round(HEARTBEAT_S * 1_000)}\nDiscovery=platform\nEntry=vip\n"
            "Contracts=base,drain,config,cost,retry,recover,engine,stream,tenants,platform\n"
            "Bounds.SeedLagS=3\nBounds.ReuseAfterS=2\n"
            f"Bounds.StabilityWindowMs={round(STABLE_S * 1_000)}\nBounds.AckTimeoutMs=4000\n"
            f"Bounds.CatchUpS=4\nBounds.DrainMs={round(DRAIN_S * 1_000)}\n"
            f"Bounds.GracePeriodS={round(GRACE_S)}\nBounds.LossSlackMs=200\n"
            f"Bounds.ConfigApplyMs={round(CONFIG_S * 1_000)}\nBounds.RollbackSlackMs=250\n"
            "Bounds.MaxStretchMs=5000\nBounds.StrictRevocation=true\n"
            f"Bounds.RevokeMs={round(REVOKE_S * 1_000)}\nBounds.RetryBudgetRatio=0.2\n"
            "Bounds.RetryWindowS=10\nBounds.RetryBudgetSlack=58\n"
            f"Bounds.RecoveryS={round(RECOVERY_S)}\nBounds.PassMs=120\nBounds.ReuseWindowS=10\n"
            f"Platform.Address={self.store_address[0]}:{self.store_address[1]}\n"
            "Platform.form=table\nPlatform.WritesPerS=400\nPlatform.ReadsPerS=2000\n"
            "Platform.TxMs=3.0\nPlatform.PartitionWritesS=300\nPlatform.RowBytes=65536\n"
            "Platform.Across=true\nPlatform.HistoryS=20\n"
        )
        deploy = tomllib.loads((REPOSITORY / "deploy/system.toml").read_text())
        command = deploy["roles"]["entry"]["run"].split()
        environment = {
            name: os.environ[name] for name in ("PATH", "HOME", "LANG") if name in os.environ
        }
        environment["GREENGAGESTAGE_CONFIG"] = str(path)
        environment["PYTHONPATH"] = str(REPOSITORY / "target/deps")
        environment["PYTHONDONTWRITEBYTECODE"] = "1"
        self.starts += 1
        log = (world.folder / f"{self.name}.{self.starts}.log").open("wb")
        self.process = subprocess.Popen(
            command, cwd=REPOSITORY, env=environment, stdout=log, stderr=subprocess.STDOUT
        )
        log.close()
        world.record(f"host {self.name} is started")

    def send(self, number: signal.Signals) -> None:
        """Send a signal to the process."""
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(number)
            self.world.record(f"host {self.name} gets {number.name}")

    async def is_ready(self) -> bool:
        """Ask for readiness, as the platform does."""
        try:
            answer = await asyncio.wait_for(
                send_request(self.address, self.ready, "GET", "/readiness", {}), 1.0
            )
        except (OSError, TimeoutError):
            return False
        return answer.status == 200

    async def wait_ready(self, limit_s: float) -> bool:
        """Wait until the host says that it is ready; return whether it did."""
        end = now() + limit_s
        while now() < end:
            if await self.is_ready():
                self.world.record(f"host {self.name} is ready")
                return True
            await asyncio.sleep(0.1)
        return False

    def end(self) -> None:
        """Kill the process if it still runs."""
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
            self.process.wait()


# Proxies.


class _Relay(asyncio.DatagramProtocol):
    """Receives the datagrams from one host to another, and sends them on unless they are cut."""

    def __init__(self, links: "PeerLinks", source: Host, target: Host) -> None:
        self._links, self._ends = links, (source, target)
        self._address = (target.address, target.inner_port)
        self._sender = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self._sender.bind((source.address, 0))

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        if not any(host.name in self._links.cut for host in self._ends):
            self._sender.sendto(data, self._address)

    def connection_lost(self, exc: Exception | None) -> None:
        self._sender.close()


class PeerLinks:
    """Proxies of the datagrams between all hosts.

    Each host has an internal port of its own, and sends to that port at all others. There a proxy
    listens, which sends on to the other host's port, from an address of the sender.

    Attributes:
        cut: Names of the hosts that neither send to others nor hear them.
    """

    def __init__(self) -> None:
        self.cut: set[str] = set()
        self._transports: list[asyncio.BaseTransport] = []

    async def start(self, hosts: list[Host]) -> None:
        """Give each host its port and start the proxies; the hosts are not running yet."""
        for host in hosts:
            host.inner_port = pick_port(*(each.address for each in hosts))
        loop = asyncio.get_running_loop()
        for source in hosts:
            for target in hosts:
                if source is not target:
                    relay = _Relay(self, source, target)
                    transport, _ = await loop.create_datagram_endpoint(
                        lambda relay=relay: relay, local_addr=(target.address, source.inner_port)
                    )
                    self._transports.append(transport)

    def close(self) -> None:
        """End the proxies."""
        for transport in self._transports:
            transport.close()


class FrontProxy:
    """A proxy of the connections of clients to one host, which can reset them."""

    def __init__(self, host: Host) -> None:
        self.address = "127.0.4.1"
        self.port = pick_port(self.address)
        self._host = host
        self._server: asyncio.Server | None = None
        self._open: list[tuple[asyncio.StreamWriter, asyncio.StreamWriter]] = []

    async def start(self) -> None:
        """Listen."""
        self._server = await asyncio.start_server(self._serve, self.address, self.port)

    def reset_half(self) -> int:
        """Reset every other connection on both sides; return how many."""
        pairs = self._open[-2::-2]
        for pair in pairs:
            for writer in pair:
                raw = writer.get_extra_info("socket")
                if raw is not None:
                    raw.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
                writer.transport.abort()
        return len(pairs)

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            onward = await asyncio.open_connection(self._host.address, self._host.front)
        except OSError:
            writer.transport.abort()
            return
        pair = (writer, onward[1])
        self._open.append(pair)
        await asyncio.gather(_pass_on(reader, onward[1]), _pass_on(onward[0], writer))
        self._open.remove(pair)


async def _pass_on(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    try:
        while data := await reader.read(65_536):
            writer.write(data)
            await writer.drain()
    except ConnectionError:
        pass
    finally:
        writer.close()


# Clients.


@dataclass
class Answer:
    """An answer; status 0 means that the connection ended without a complete one."""

    status: int
    head: Head | None = None
    body: bytes = b""
    complete: bool = False


async def send_request(
    address: str,
    port: int,
    method: str,
    path: str,
    headers: dict[str, str],
    body: bytes = b"",
    on_data: object = None,
) -> Answer:
    """Send one request on a connection of its own and read the answer."""
    reader, writer = await asyncio.open_connection(address, port)
    try:
        lines = [f"{method} {path} HTTP/1.1", *(f"{n}: {v}" for n, v in headers.items())]
        if "Host" not in headers:
            lines.append(f"Host: {address}")
        if body or method == "POST":
            lines.append(f"Content-Length: {len(body)}")
        writer.write("\r\n".join(lines).encode() + b"\r\n\r\n" + body)
        await writer.drain()
        return await read_answer(reader, on_data)
    except ConnectionError:
        return Answer(0)
    finally:
        writer.close()


async def read_answer(reader: asyncio.StreamReader, on_data: object = None) -> Answer:
    """Read one answer to its end, or as far as it comes."""
    head = await read_head(reader)
    if head is None:
        return Answer(0)
    answer = Answer(int(head.first[1]), head)
    try:
        if "chunked" in head.get("transfer-encoding"):
            while size := int((await reader.readuntil(b"\r\n")).split(b";")[0], 16):
                answer.body += (await reader.readexactly(size + 2))[:-2]
                if callable(on_data):
                    on_data(answer.body)
            await reader.readuntil(b"\r\n")
        else:
            answer.body = await reader.readexactly(int(head.get("content-length", "0")))
        answer.complete = True
    except (asyncio.IncompleteReadError, ConnectionError):
        pass
    return answer


# All together.


class World:
    """Everything that a case starts; ``close`` ends it."""

    def __init__(self, case: Path, zones: tuple[str, ...] = ("a", "b")) -> None:
        self.record = Record(case / "record.txt")
        self.folder = Path(tempfile.mkdtemp(prefix="review-"))
        self.zones = zones
        self.store = Store(self.record)
        self.hosts: list[Host] = []
        self.servers: list[Server] = []
        self.inner_port = pick_port(*(f"127.0.1.{number}" for number in range(1, 17)))
        self._attempts = 0

    def add_host(self, name: str, zone: str) -> Host:
        """Add a host, which is not started yet."""
        host = Host(world=self, name=name, zone=zone, number=len(self.hosts) + 1)
        self.hosts.append(host)
        return host

    async def add_server(self, name: str, service: str, **options: object) -> Server:
        """Start a server."""
        server = Server(world=self, name=name, service=service, **options)  # type: ignore[arg-type]
        self.servers.append(server)
        await server.start()
        return server

    def write_configuration(self, document: dict[str, object]) -> float:
        """Write a configuration as the operator does; return when it was acknowledged."""
        self.store.put("op", "config", json.dumps(document).encode())
        self.record(f"configuration {document['Version']} is acknowledged")
        return now()

    def next_attempt(self) -> str:
        """Return the id of a client's next attempt."""
        self._attempts += 1
        return f"{self._attempts:04d}{os.urandom(6).hex()}"

    async def close(self) -> None:
        """End all processes and servers that were started."""
        for host in self.hosts:
            host.end()
        for server in self.servers:
            if server.alive:
                await server.leave()
        shutil.rmtree(self.folder, ignore_errors=True)


LIMITS = {
    "MaxHeaderBytes": 16384,
    "MaxBodyBytes": 4194304,
    "HeaderTimeoutMs": 3000,
    "IdleTimeoutMs": 15000,
}


def with_trouble() -> bool:
    """Whether the disruption is to be played (``TROUBLE`` is not 0)."""
    return os.environ.get("TROUBLE", "1") != "0"


def run_case(case: object, folder: Path) -> int:
    """Run a case; return 0 if the rule held, 1 if it was broken, 2 if the case could not run."""

    async def play() -> int:
        world = World(folder)
        loop, task = asyncio.get_running_loop(), asyncio.current_task()
        if task is not None:
            loop.add_signal_handler(signal.SIGTERM, task.cancel)
        try:
            await world.store.start()
            broken = await asyncio.wait_for(case(world), 112.0)  # type: ignore[operator]
            world.record("the rule was broken" if broken else "the rule held")
            return 1 if broken else 0
        except (Exception, asyncio.CancelledError) as error:  # the case could not run
            world.record(f"could not run: {type(error).__name__}: {error}")
            print(f"could not run: {type(error).__name__}: {error}")
            return 2
        finally:
            if os.environ.get("KEEP_LOGS"):
                shutil.copytree(world.folder, os.environ["KEEP_LOGS"], dirs_exist_ok=True)
            await world.close()

    try:
        return asyncio.run(play())
    except Exception as error:
        print(f"could not run: {type(error).__name__}: {error}")
        return 2

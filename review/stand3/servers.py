"""A service's server as the operators' pages describe it, with its entry in the store."""

import asyncio
import json
import socket
import struct
import time
from collections.abc import Callable
from contextlib import suppress
from dataclasses import dataclass, field

from .http import Message, encode, read_body, read_head
from .platform import Store

HEARTBEAT_S = 1.2
MISSED_HEARTBEATS = 3


@dataclass(slots=True, kw_only=True)
class Run:
    """A request that has reached a server.

    Attributes:
        at_s: Monotonic time at which it was read.
        began: Whether the server has begun to run it.
    """

    at_s: float
    server: str
    request: str
    path: str
    began: bool


@dataclass(slots=True, kw_only=True)
class Server:
    """A plain server: one request at a time on a connection, with a limited number of slots.

    Attributes:
        crashes_under: Whether a request crashes the server after it has begun to run.
        fails: Whether the server answers a request with an error of its own, in place of the work.
        crash_s: Time from the beginning of such a run to the crash. The server does not drop a
            request whose connection closes.
        keeps_id: Whether it starts again under the id that it had; its entry then tells its start.
        measure_work_s: Returns how long a request takes; None for ``work_s`` each.
        runs: All requests that have reached any server, in the order of arrival.
    """

    store: Store
    service: str
    zone: str
    address: str
    port: int
    runs: list[Run]
    crashes_under: Callable[[Message], bool] = lambda request: False
    fails: Callable[[Message], bool] = lambda request: False
    on_crash: Callable[["Server"], None] = lambda server: None
    work_s: float = 0.02
    measure_work_s: Callable[[Message], float] | None = None
    crash_s: float = 0.02
    back_after_s: float = 2.5
    keeps_id: bool = False
    slots: int = 6
    incarnation: int = 0
    instance: str = ""
    _born_ms: int = 0
    _server: asyncio.Server | None = None
    _writers: set[asyncio.StreamWriter] = field(default_factory=set)
    _running: int = 0
    _beats: asyncio.Task[None] | None = None

    async def start(self) -> None:
        """Begin a new incarnation and register it."""
        self.incarnation += 1
        number = 1 if self.keeps_id else self.incarnation
        self.instance = f"i-{self.port}-{number}"
        self._born_ms = round(time.time() * 1e3)
        self._running = 0
        self._server = await asyncio.start_server(self._serve, self.address, self.port)
        self._beats = asyncio.create_task(self._beat(self.instance))

    def crash(self) -> None:
        """Reset all connections; the server is back after some seconds."""
        if self._server is None:
            return
        self._server.close()
        self._server = None
        if self._beats is not None:
            self._beats.cancel()
        for writer in self._writers:
            _reset(writer)
        self._writers.clear()
        self.on_crash(self)
        if not self.keeps_id:
            asyncio.create_task(self._expire(self.instance))
        asyncio.create_task(self._come_back())

    def close(self) -> None:
        """End for good."""
        if self._beats is not None:
            self._beats.cancel()
        if self._server is not None:
            self._server.close()
        for writer in self._writers:
            writer.transport.abort()

    async def _come_back(self) -> None:
        await asyncio.sleep(self.back_after_s)
        await self.start()

    async def _expire(self, instance: str) -> None:
        await asyncio.sleep(MISSED_HEARTBEATS * HEARTBEAT_S)
        await self.store.remove("servers", instance)

    async def _beat(self, instance: str) -> None:
        sequence = 0
        while True:
            sequence += 1
            entry = {
                "Service": self.service,
                "Address": f"{self.address}:{self.port}",
                "Zone": self.zone,
                "Version": "v1",
                "Slots": self.slots,
                "State": "ready",
                "ColdRemainingMs": 0,
                "Sequence": sequence,
            }
            if self.keeps_id:
                entry["born"] = self._born_ms
            await self.store.put("servers", instance, entry)
            await asyncio.sleep(HEARTBEAT_S)

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._writers.add(writer)
        try:
            while (head := await read_head(reader)) is not None:
                head.body = await read_body(reader, head)
                answer = await self._answer(head, reader)
                if answer is None:
                    return
                writer.write(answer)
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            self._writers.discard(writer)
            writer.close()

    async def _answer(self, request: Message, reader: asyncio.StreamReader) -> bytes | None:
        """Run a request; None if its connection closes meanwhile, so that it is dropped."""
        attempt = request.headers.get("greengagestage-attempt-id", "")
        run = Run(
            at_s=time.monotonic(),
            server=self.instance,
            request=attempt,
            path=request.first[1],
            began=False,
        )
        self.runs.append(run)
        named = {"Greengagestage-Attempt-Id": attempt}
        if request.headers.get("greengagestage-expect-instance") != self.instance:
            return encode(421, {**named, "Greengagestage-Instance-Id": self.instance}, b"")
        if self._running >= self.slots:
            return encode(503, {**named, "Greengagestage-Not-Executed": "1"}, b"")
        run.began = True
        self._running += 1
        try:
            fails = self.fails(request)
            crashes = not fails and self.crashes_under(request)
            if not crashes and not await self._work(request, reader):
                return None
            if crashes:
                await asyncio.sleep(self.crash_s)
                self.crash()
                raise ConnectionAbortedError
        finally:
            self._running -= 1
        signature = {"Greengagestage-Server-Signature": f"{self.instance}.{attempt}"}
        body = json.dumps({"served": attempt, "failed": fails}).encode()
        return encode(500 if fails else 200, {**named, **signature}, body)

    async def _work(self, request: Message, reader: asyncio.StreamReader) -> bool:
        """Work on a request; return whether its connection was open all the while."""
        work_s = self.work_s if self.measure_work_s is None else self.measure_work_s(request)
        ends_s = time.monotonic() + work_s
        while (left_s := ends_s - time.monotonic()) > 0:
            if reader.at_eof():
                return False
            await asyncio.sleep(min(left_s, 0.02))
        return True


def _reset(writer: asyncio.StreamWriter) -> None:
    """Close a connection with a reset."""
    handle = writer.get_extra_info("socket")
    with suppress(OSError):  # the other side has closed it
        handle.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    writer.transport.abort()

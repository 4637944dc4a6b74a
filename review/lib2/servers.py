"""Servers of a service: they register, heartbeat, run requests, crash and start again."""

import asyncio
import base64
import itertools
import json
import math
import time
from collections.abc import Callable
from typing import Any

from .store import Store
from .wire import Broken, Message, encode_response, read_message, reset

HEARTBEAT_S = 1.2
MISSED_HEARTBEATS = 3
QUEUE = 24
SLOW_PART_S = 0.033
ATTEMPT = "Greengagestage-Attempt-Id"

_numbers = itertools.count(1)


class Server:
    """One address of a service, with a new id at each start.

    Attributes:
        runs: Called with the server's id and the request when it begins to work on a request.
        keeps_idle_s: Returns for how long the server keeps an idle connection. It drops it then
            without notice: what is sent next on it is reset.
    """

    def __init__(
        self,
        *,
        store: Store,
        service: str,
        zone: str,
        address: str,
        work_s: float,
        runs: Callable[[str, Message], None],
        log: Callable[..., None],
        slots: int = 6,
        keeps_idle_s: Callable[[], float] = lambda: math.inf,
    ) -> None:
        self._store = store
        self._service, self._zone, self._address = service, zone, address
        self._work_s, self._slots = work_s, slots
        self._runs, self._log = runs, log
        self._keeps_idle_s = keeps_idle_s
        self.id = ""
        self.port = 0
        self.dropped = 0
        self._sequence = self._open = 0
        self._free = asyncio.Semaphore(slots)
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()
        self._tasks: set[asyncio.Task] = set()

    async def start(self) -> None:
        self.id = f"i-{next(_numbers):08x}"
        self._sequence = self._open = 0
        self._free = asyncio.Semaphore(self._slots)
        self._server = await asyncio.start_server(self._serve, self._address, self.port)
        self.port = self._server.sockets[0].getsockname()[1]
        self._log("server starts", id=self.id, address=f"{self._address}:{self.port}")
        task = asyncio.create_task(self._heartbeat(self.id))
        self._tasks.add(task)

    def crash(self) -> None:
        """End at once: connections are reset, and the entry stays until its heartbeats are missed."""
        self._log("server crashes", id=self.id)
        for task in self._tasks:
            task.cancel()
        self._tasks.clear()
        if self._server is not None:
            self._server.close()
        for writer in list(self._writers):
            reset(writer)
        asyncio.get_running_loop().call_later(
            MISSED_HEARTBEATS * HEARTBEAT_S, self._store.remove, "servers", self.id
        )

    async def _heartbeat(self, id_: str) -> None:
        born = int(time.time() * 1_000)
        while True:
            self._sequence += 1
            entry = {
                "Service": self._service,
                "Address": f"{self._address}:{self.port}",
                "Zone": self._zone,
                "Version": "1",
                "Slots": self._slots,
                "State": "ready",
                "ColdRemainingMs": 0,
                "Sequence": self._sequence,
                "born": born,
            }
            value = base64.b64encode(json.dumps(entry).encode()).decode()
            self._store.put("servers", id_, value)
            await asyncio.sleep(HEARTBEAT_S)

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._writers.add(writer)
        id_ = self.id
        idle_since_s = time.monotonic()
        try:
            while True:
                request = await read_message(reader, is_response=False)
                if request is None or not request.complete:
                    break
                if time.monotonic() - idle_since_s > self._keeps_idle_s():
                    attempt = request.headers.get(ATTEMPT.lower(), "")
                    self._log("server had dropped the idle connection", id=id_, attempt=attempt)
                    self.dropped += 1
                    reset(writer)
                    break
                answer = await self._answer(id_, request, writer)
                writer.write(answer)
                await writer.drain()
                idle_since_s = time.monotonic()
        except (Broken, ConnectionError):
            pass
        finally:
            self._writers.discard(writer)
            writer.close()

    async def _answer(self, id_: str, request: Message, writer: asyncio.StreamWriter) -> bytes:
        """Return an answer, or the end of one that has been sent in parts."""
        attempt = request.headers.get("greengagestage-attempt-id", "")
        headers = {ATTEMPT: attempt, "Keep-Alive": "timeout=15"}
        expected = request.headers.get("greengagestage-expect-instance", id_)
        if expected != id_:
            self._log("server rejects", id=id_, expected=expected, attempt=attempt)
            return encode_response(421, {**headers, "Greengagestage-Instance-Id": id_})
        if self._open >= self._slots + QUEUE:
            return encode_response(503, {**headers, "Greengagestage-Not-Executed": "1"})
        self._open += 1
        try:
            async with self._free:
                headers["Greengagestage-Server-Signature"] = f"{id_}.{attempt}"
                return await self._run(id_, request, headers, writer)
        finally:
            self._open -= 1

    async def _run(
        self, id_: str, request: Message, headers: dict[str, str], writer: asyncio.StreamWriter
    ) -> bytes:
        self._runs(id_, request)
        await asyncio.sleep(self._work_s)
        return encode_response(200, headers, f"{id_} ran {headers[ATTEMPT]}\n".encode())


class StreamServer(Server):
    """A server whose answers are streams, and which stops at the deadline that it receives.

    Args:
        events: Returns the number of events in the answer to a request.
        gap_s: Time between two events.
        first_event_s: Time from the head of an answer to its first event.
    """

    def __init__(
        self,
        *,
        events: Callable[[Message], int],
        gap_s: float,
        first_event_s: float = 0.0,
        **arguments: Any,
    ) -> None:
        super().__init__(**arguments)
        self._events, self._gap_s = events, gap_s
        self._first_event_s = first_event_s

    async def _run(
        self, id_: str, request: Message, headers: dict[str, str], writer: asyncio.StreamWriter
    ) -> bytes:
        began_s = time.monotonic()
        limit_s = float(request.headers.get("greengagestage-deadline-ms", "inf")) / 1_000
        await asyncio.sleep(self._work_s)
        self._runs(id_, request)
        lines = [f"{name}: {value}" for name, value in headers.items()]
        lines += ["Content-Type: text/event-stream", "Transfer-Encoding: chunked"]
        writer.write(("HTTP/1.1 200 OK\r\n" + "\r\n".join(lines) + "\r\n\r\n").encode())
        await writer.drain()
        await asyncio.sleep(self._first_event_s)
        events = self._events(request)
        for number in range(1, events + 1):
            if time.monotonic() - began_s > limit_s:
                reset(writer)
                raise Broken("the deadline has passed")
            event = f"id: {number}\ndata: {id_} {number} of {events}\n\n".encode()
            writer.write(b"%x\r\n%b\r\n" % (len(event), event))
            await writer.drain()
            await asyncio.sleep(self._gap_s)
        return b"0\r\n\r\n"


class FileServer(Server):
    """A server whose answers are files of some megabytes.

    Args:
        size: Bytes in an answer.
        stalls: Whether the server is slow with the next answer: it pauses in the middle of it.
        pause_s: Returns how long it pauses.
    """

    def __init__(
        self,
        *,
        size: int,
        stalls: Callable[[], bool] = lambda: False,
        pause_s: Callable[[], float] = lambda: 0.0,
        **arguments: Any,
    ) -> None:
        super().__init__(**arguments)
        self._size, self._stalls, self._pause_s = size, stalls, pause_s

    async def _run(
        self, id_: str, request: Message, headers: dict[str, str], writer: asyncio.StreamWriter
    ) -> bytes:
        self._runs(id_, request)
        stalls = self._stalls()
        await asyncio.sleep(self._work_s)
        body = build_file(id_, headers[ATTEMPT], self._size)
        answer = encode_response(200, headers, body)
        if not stalls:
            return answer
        pause_s = self._pause_s()
        self._log("server pauses", id=id_, attempt=headers[ATTEMPT], pause_s=round(pause_s, 3))
        begun, sent = self._size * 4 // 10, self._size * 8 // 10
        writer.write(answer[:begun])
        await writer.drain()
        await asyncio.sleep(pause_s)
        writer.write(answer[begun:sent])
        while sent < len(answer) - self._size // 20:
            await writer.drain()
            await asyncio.sleep(SLOW_PART_S)
            writer.write(answer[sent : sent + self._size // 20])
            sent += self._size // 20
        self._log("server ends its slow answer", id=id_, attempt=headers[ATTEMPT])
        return answer[sent:]


def build_file(id_: str, attempt: str, size: int) -> bytes:
    """Return the body of an answer: equal lines that name the server and the request."""
    line = f"{id_} {attempt} ".ljust(63, "-").encode() + b"\n"
    return (line * (size // len(line) + 1))[:size]

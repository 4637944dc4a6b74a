"""Clients of the platform: one request at a time on a connection."""

import asyncio
import itertools
import time
from dataclasses import dataclass, field

from .http import read_body, read_head

_numbers = itertools.count(1)


@dataclass(slots=True, kw_only=True)
class Sent:
    """A request of a client, and how it ended; the end is empty while it waits."""

    at_s: float
    attempt: str
    request: str
    host: str
    end_s: float = 0.0
    end: str = ""


trace: list[Sent] = []
"""All requests of all clients."""


@dataclass(frozen=True, slots=True, kw_only=True)
class Answer:
    """What a client has seen; the status is 0 if the connection ended without an answer."""

    attempt: str
    status: int
    signature: str = ""
    body: bytes = b""


@dataclass(slots=True, kw_only=True)
class Client:
    """A client with an API key and perhaps an open connection to a host."""

    host: tuple[str, int]
    key: str
    deadline_ms: int = 1_500
    _attempt: str = ""
    _sent: Sent | None = None
    _streams: tuple[asyncio.StreamReader, asyncio.StreamWriter] | None = field(default=None)

    async def send(self, method: str, path: str, body: bytes = b"") -> Answer:
        """Send a request with an id of its own, and wait for its answer."""
        try:
            await self.begin(method, path, body)
            return await self.receive()
        except (OSError, asyncio.IncompleteReadError):
            self._end("closed without an answer")
            self.close()
            return Answer(attempt=self._attempt, status=0)

    async def begin(self, method: str, path: str, body: bytes = b"") -> None:
        """Send a request with an id of its own."""
        self._attempt = f"{next(_numbers):016x}"
        self._sent = Sent(
            at_s=time.monotonic(),
            attempt=self._attempt,
            request=f"{method} {path}",
            host=self.host[0],
        )
        trace.append(self._sent)
        if self._streams is None:
            self._streams = await asyncio.open_connection(*self.host)
        head = (
            f"{method} {path} HTTP/1.1\r\nHost: h.example\r\n"
            f"Greengagestage-Attempt-Id: {self._attempt}\r\n"
            f"Greengagestage-Deadline-Ms: {self.deadline_ms}\r\n"
            f"Authorization: Bearer {self.key}\r\nContent-Length: {len(body)}\r\n\r\n"
        )
        self._streams[1].write(head.encode() + body)
        await self._streams[1].drain()

    async def receive(self) -> Answer:
        """Wait for the answer to the request that was sent."""
        if self._streams is None:
            raise ConnectionError("not connected")
        reader, limit_s = self._streams[0], self.deadline_ms / 1e3
        answer = await asyncio.wait_for(read_head(reader), limit_s)
        if answer is None:
            raise ConnectionError("closed without an answer")
        answer.body = await asyncio.wait_for(read_body(reader, answer), limit_s)
        self._end(f"answered {answer.first[1]}")
        if answer.headers.get("connection", "").lower() == "close":
            self.close()
        return Answer(
            attempt=self._attempt,
            status=int(answer.first[1]),
            signature=answer.headers.get("greengagestage-server-signature", ""),
            body=answer.body,
        )

    def _end(self, text: str) -> None:
        if self._sent is not None and not self._sent.end:
            self._sent.end_s, self._sent.end = time.monotonic(), text

    def close(self) -> None:
        """Close the connection."""
        self._end("left")
        if self._streams is not None:
            self._streams[1].close()
            self._streams = None

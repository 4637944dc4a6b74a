"""Clients of the hosts: one request at a time on a kept connection."""

import asyncio
from dataclasses import dataclass

from .wire import Broken, encode_request, read_message, reset

OPEN_LIMIT_S = 1.0


@dataclass(frozen=True, kw_only=True)
class Outcome:
    """How one attempt ended.

    Attributes:
        status: Status of a complete answer; None without one.
    """

    attempt: str
    status: int | None
    body: bytes = b""
    fault: str = ""


class Client:
    """Sends requests to one host, on one connection as long as the host keeps it."""

    def __init__(self, *, address: str, port: int) -> None:
        self._address, self._port = address, port
        self._streams: tuple[asyncio.StreamReader, asyncio.StreamWriter] | None = None

    async def send(
        self,
        attempt: str,
        *,
        method: str,
        path: str,
        host: str,
        deadline_s: float,
        body: bytes = b"",
        headers: dict[str, str] | None = None,
    ) -> Outcome:
        """Send one request and wait for its answer, a little longer than its deadline."""
        try:
            if self._streams is None:
                opening = asyncio.open_connection(self._address, self._port)
                self._streams = await asyncio.wait_for(opening, OPEN_LIMIT_S)
            reader, writer = self._streams
            sent = {
                "Host": host,
                "Greengagestage-Attempt-Id": attempt,
                "Greengagestage-Deadline-Ms": str(int(deadline_s * 1_000)),
                **(headers or {}),
            }
            writer.write(encode_request(method, path, sent, body))
            await writer.drain()
            answer = await asyncio.wait_for(
                read_message(reader, is_response=True), deadline_s + 0.5
            )
        except (OSError, Broken, TimeoutError) as error:
            self.close()
            return Outcome(attempt=attempt, status=None, fault=repr(error))
        if answer is None or not answer.complete:
            self.close()
            return Outcome(attempt=attempt, status=None, fault="no complete answer")
        if answer.headers.get("connection", "").lower() == "close":
            self.close()
        return Outcome(attempt=attempt, status=answer.status, body=answer.body)

    def close(self) -> None:
        if self._streams is not None:
            reset(self._streams[1])
            self._streams = None

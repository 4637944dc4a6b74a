"""A minimal HTTP/1.1 server and client for the stand-ins."""

import asyncio
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field


@dataclass(slots=True, kw_only=True)
class Message:
    """A request or a response head with its body; header names are in lower case."""

    first: list[str]
    headers: dict[str, str] = field(default_factory=dict)
    body: bytes = b""


async def read_head(reader: asyncio.StreamReader) -> Message | None:
    """Read a head; None at an orderly end before it."""
    try:
        text = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    except asyncio.IncompleteReadError as error:
        if error.partial:
            raise ConnectionError("head cut off") from error
        return None
    first, *lines = text[:-4].split("\r\n")
    headers = {}
    for line in lines:
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    return Message(first=first.split(" ", 2), headers=headers)


async def read_body(reader: asyncio.StreamReader, head: Message) -> bytes:
    """Read a body with a length or in chunks; one without framing is empty."""
    if "content-length" in head.headers:
        return await reader.readexactly(int(head.headers["content-length"]))
    if head.headers.get("transfer-encoding", "").lower() != "chunked":
        return b""
    parts = []
    while True:
        size = int((await reader.readline()).split(b";")[0], 16)
        part = await reader.readexactly(size + 2)
        if not size:
            return b"".join(parts)
        parts.append(part[:-2])


def encode(status: int, headers: dict[str, str], body: bytes) -> bytes:
    """Return a response with a length."""
    lines = [f"HTTP/1.1 {status} Status"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


Handler = Callable[[Message], Awaitable[bytes | None]]


async def serve(address: str, port: int, handle: Handler) -> asyncio.Server:
    """Answer requests one after the other on each connection; None as an answer resets it."""

    async def run(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while (head := await read_head(reader)) is not None:
                head.body = await read_body(reader, head)
                answer = await handle(head)
                if answer is None:
                    writer.transport.abort()
                    return
                writer.write(answer)
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    return await asyncio.start_server(run, address, port, backlog=256)

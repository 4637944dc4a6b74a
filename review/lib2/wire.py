"""HTTP/1.1 messages over asyncio streams, no more than the stand-ins need."""

import asyncio
from dataclasses import dataclass, field

REASONS = {200: "OK", 412: "Precondition Failed", 421: "Misdirected Request"}


class Broken(Exception):
    """The peer closed, reset or spoilt the connection in the middle of a message."""


@dataclass(kw_only=True)
class Message:
    """A request or a response; header names are in lower case.

    Attributes:
        start: The three parts of the first line.
        complete: Whether the body ended as its framing says.
    """

    start: tuple[str, str, str]
    headers: dict[str, str] = field(default_factory=dict)
    body: bytes = b""
    complete: bool = True

    @property
    def status(self) -> int:
        """Status of a response."""
        return int(self.start[1])


async def read_message(reader: asyncio.StreamReader, *, is_response: bool) -> Message | None:
    """Read one message; None if the connection ends before its first byte."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except asyncio.IncompleteReadError as error:
        if error.partial:
            raise Broken("the head is cut off") from error
        return None
    except (ConnectionError, asyncio.LimitOverrunError) as error:
        raise Broken(str(error)) from error
    lines = head.decode("latin-1").split("\r\n")
    first = lines[0].split(" ", 2)
    if len(first) < 2 or (is_response and not first[0].startswith("HTTP/1.")):
        raise Broken(f"not a message: {lines[0][:60]!r}")
    message = Message(start=(first[0], first[1], first[2] if len(first) > 2 else ""))
    for line in lines[1:]:
        name, separator, value = line.partition(":")
        if separator:
            message.headers[name.strip().lower()] = value.strip()
    await _read_body(reader, message, is_response=is_response)
    return message


async def _read_body(reader: asyncio.StreamReader, message: Message, *, is_response: bool) -> None:
    headers = message.headers
    try:
        if "chunked" in headers.get("transfer-encoding", ""):
            while True:
                size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
                data = await reader.readexactly(size + 2)
                if not size:
                    return
                message.body += data[:-2]
        elif "content-length" in headers:
            message.body = await reader.readexactly(int(headers["content-length"]))
        elif is_response and message.status not in (204, 304):
            message.body = await reader.read()
    except (asyncio.IncompleteReadError, ConnectionError):
        message.complete = False


def encode_response(status: int, headers: dict[str, str], body: bytes = b"") -> bytes:
    """Return a response with a length."""
    lines = [f"HTTP/1.1 {status} {REASONS.get(status, 'Status')}"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body


def encode_request(method: str, path: str, headers: dict[str, str], body: bytes = b"") -> bytes:
    """Return a request; it has a length if it has a body or its method usually has one."""
    lines = [f"{method} {path} HTTP/1.1"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    if body or method not in ("GET", "HEAD", "DELETE"):
        lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body


def reset(writer: asyncio.StreamWriter) -> None:
    """Reset a connection."""
    transport = writer.transport
    if transport is not None:
        transport.abort()

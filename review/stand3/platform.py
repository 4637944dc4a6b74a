"""The platform's store and its API for singleton duties, as the operators' pages describe them."""

import asyncio
import base64
import json
import time
from dataclasses import dataclass, field
from typing import Any
from urllib.parse import parse_qs

from .http import Message, encode, serve

JSON = {"Content-Type": "application/json"}


@dataclass(slots=True, kw_only=True)
class Store:
    """Rows in tables with one counter of changes, and a feed of them."""

    revision: int = 0
    rows: dict[tuple[str, str], dict[str, Any]] = field(default_factory=dict)
    changed: asyncio.Condition = field(default_factory=asyncio.Condition)

    async def put(self, table: str, key: str, value: Any) -> int:
        """Write a row as the operator or a server does."""
        self.revision += 1
        self._write(table, key, base64.b64encode(json.dumps(value).encode()).decode())
        await self._notify()
        return self.revision

    async def remove(self, table: str, key: str) -> None:
        """Remove a row as the operator or a server does."""
        self.revision += 1
        self._drop(table, key)
        await self._notify()

    async def handle(self, call: Message) -> bytes | None:
        """Answer one call."""
        await asyncio.sleep(0.004)
        path, _, query = call.first[1].partition("?")
        arguments = {name: values[0] for name, values in parse_qs(query).items()}
        match path:
            case "/rows-get":
                return self._get(arguments)
            case "/rows-feed":
                return await self._feed(arguments)
            case "/rows-tx":
                return await self._transact(json.loads(call.body))
        return encode(404, {}, b"")

    def list_live(self, table: str) -> list[dict[str, Any]]:
        """Return the rows of a table in the order of their keys."""
        live = [row for (name, _), row in self.rows.items() if name == table]
        return sorted((row for row in live if not row.get("Tombstone")), key=lambda r: r["Key"])

    def read_value(self, table: str, key: str) -> Any:
        """Return the JSON value of a row; None without one."""
        row = self.rows.get((table, key))
        if row is None or row.get("Tombstone"):
            return None
        return json.loads(base64.b64decode(row["Value"]))

    def _write(self, table: str, key: str, value: str) -> None:
        self.rows[table, key] = {
            "Table": table,
            "part": "",
            "Key": key,
            "Value": value,
            "SchemaVersion": self.revision,
        }

    def _drop(self, table: str, key: str) -> None:
        if (table, key) in self.rows:
            self.rows[table, key] = {
                "Table": table,
                "part": "",
                "Key": key,
                "SchemaVersion": self.revision,
                "Tombstone": True,
            }

    async def _notify(self) -> None:
        async with self.changed:
            self.changed.notify_all()

    def _reply(self, status: int, **fields: Any) -> bytes:
        body = {**fields, "SchemaVersion": self.revision, "NowMs": int(time.monotonic() * 1e3)}
        return encode(status, JSON, json.dumps(body).encode())

    def _get(self, arguments: dict[str, str]) -> bytes:
        first, end = arguments.get("From", ""), arguments.get("To")
        found = [
            row
            for row in self.list_live(arguments["Table"])
            if row["Key"] >= first and (end is None or row["Key"] < end)
        ]
        limit = min(int(arguments.get("Limit", 500)), 500)
        return self._reply(200, Rows=found[:limit], HasMore=len(found) > limit)

    async def _feed(self, arguments: dict[str, str]) -> bytes:
        table, after = arguments["Table"], int(arguments["AfterRevision"])

        def list_changes() -> list[dict[str, Any]]:
            rows = [row for (name, _), row in self.rows.items() if name == table]
            return sorted(
                (row for row in rows if row["SchemaVersion"] > after),
                key=lambda row: row["SchemaVersion"],
            )

        async with self.changed:
            try:
                wait_s = int(arguments.get("WaitMs", 0)) / 1e3
                await asyncio.wait_for(self.changed.wait_for(list_changes), wait_s)
            except TimeoutError:
                pass
        return self._reply(200, Rows=list_changes())

    async def _transact(self, body: dict[str, Any]) -> bytes:
        expected = body.get("ExpectedRevision") or []
        current = [self.rows.get((each["Table"], each["Key"])) for each in expected]
        live = [row if row and not row.get("Tombstone") else None for row in current]
        revisions = [0 if row is None else row["SchemaVersion"] for row in live]
        if revisions != [each["SchemaVersion"] for each in expected]:
            return self._reply(412, Rows=[row for row in live if row is not None])
        self.revision += 1
        for each in body.get("Puts") or []:
            self._write(each["Table"], each["Key"], each["Value"])
        for each in body.get("Remove") or []:
            self._drop(each["Table"], each["Key"])
        reply = self._reply(200)
        await self._notify()
        return reply


@dataclass(frozen=True, slots=True, kw_only=True)
class DutyCall:
    """A call for a duty as it has reached the platform."""

    at_s: float
    subject: str
    holder: str
    token: int
    status: int
    body: dict[str, Any]


@dataclass(slots=True, kw_only=True)
class Cloud:
    """The platform's API, which checks fences.

    Attributes:
        stock: Servers that can be had at the moment, by zone.
    """

    calls: list[DutyCall] = field(default_factory=list)
    stock: dict[str, int] = field(default_factory=dict)
    _newest: dict[str, int] = field(default_factory=dict)

    async def handle(self, call: Message) -> bytes | None:
        """Answer one call."""
        await asyncio.sleep(0.004)
        body = json.loads(call.body)
        path = call.first[1]
        is_usage = path == "/usage"
        subject = "usage" if is_usage else f"scaling {body['Service']} {body['Zone']}"
        token = int(call.headers["greengagestage-fencing-token"])
        status = 200
        if token < self._newest.get(subject, 0):
            status = 409
        else:
            self._newest[subject] = token
            if not is_usage and body["DesiredCount"] > self.stock.get(body["Zone"], 0):
                status = 409
        self.calls.append(
            DutyCall(
                at_s=time.monotonic(),
                subject=subject,
                holder=call.headers["greengagestage-duty-holder"],
                token=token,
                status=status,
                body=body,
            )
        )
        return encode(status, JSON, b"{}")


async def serve_platform(address: str, store: Store, cloud: Cloud) -> tuple[int, int]:
    """Serve both on free ports; return the ports."""
    ports = []
    for handle in (store.handle, cloud.handle):
        server = await serve(address, 0, handle)
        ports.append(server.sockets[0].getsockname()[1])
    return ports[0], ports[1]

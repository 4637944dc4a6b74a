"""The platform's store, as the operators' pages describe it."""

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


async def serve_store(address: str, store: Store) -> int:
    """Serve the store on a free port; return the port."""
    server = await serve(address, 0, store.handle)
    return int(server.sockets[0].getsockname()[1])

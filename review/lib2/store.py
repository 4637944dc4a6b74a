"""The platform's store: rows, reads, the feed and transactions. It loses nothing and is prompt."""

import asyncio
import json
import time
from urllib.parse import parse_qs, urlsplit

from .wire import Broken, encode_response, read_message

ANSWER_S = 0.004
HISTORY = 10_000


class Store:
    """A linearizable table store, with ``put`` and ``remove`` for its operator and servers.

    Attributes:
        down: While True, calls get no answer.
    """

    def __init__(self) -> None:
        self.rows: dict[tuple[str, str, str], tuple[str, int]] = {}
        self.revision = 0
        self.down = False
        self.port = 0
        self._history: list[tuple[int, tuple[str, str, str], str | None]] = []
        self._changed = asyncio.Event()
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()

    async def start(self, address: str) -> None:
        self._server = await asyncio.start_server(self._serve, address, 0)
        self.port = self._server.sockets[0].getsockname()[1]

    def put(self, table: str, key: str, value: str, part: str = "") -> int:
        """Write one row, whose value is Base64; return its revision."""
        return self._apply([((table, part, key), value)])

    def remove(self, table: str, key: str, part: str = "") -> int:
        return self._apply([((table, part, key), None)])

    def _apply(self, changes: list[tuple[tuple[str, str, str], str | None]]) -> int:
        self.revision += 1
        for row, value in changes:
            if value is None:
                self.rows.pop(row, None)
            else:
                self.rows[row] = (value, self.revision)
            self._history.append((self.revision, row, value))
        del self._history[:-HISTORY]
        self._changed.set()
        self._changed = asyncio.Event()
        return self.revision

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._writers.add(writer)
        try:
            while True:
                request = await read_message(reader, is_response=False)
                if request is None:
                    break
                await asyncio.sleep(ANSWER_S)
                status, answer = await self._answer(
                    request.start[0], request.start[1], request.body
                )
                while self.down:
                    await asyncio.sleep(0.05)
                headers = {"Content-Type": "application/json"}
                writer.write(encode_response(status, headers, json.dumps(answer).encode()))
                await writer.drain()
        except (Broken, ConnectionError):
            pass
        finally:
            self._writers.discard(writer)
            writer.close()

    async def _answer(self, method: str, target: str, body: bytes) -> tuple[int, dict]:
        parts = urlsplit(target)
        query = {name: values[0] for name, values in parse_qs(parts.query).items()}
        match method, parts.path:
            case "GET", "/rows-get":
                return 200, self._get(query)
            case "GET", "/rows-feed":
                return await self._feed(query)
            case "POST", "/rows-tx":
                return self._transact(json.loads(body))
            case "GET", "/rows-parts":
                return 200, {"parts": [], "HasMore": False, **self._stamp()}
        return 404, {}

    def _stamp(self) -> dict:
        return {"SchemaVersion": self.revision, "NowMs": time.monotonic() * 1_000}

    def _get(self, query: dict[str, str]) -> dict:
        table, part = query["Table"], query.get("part", "")
        first, end = query.get("From", ""), query.get("To")
        limit = min(int(query.get("Limit", 500)), 500)
        found = [
            {"Table": table, "part": part, "Key": key, "Value": value, "SchemaVersion": revision}
            for (each, each_part, key), (value, revision) in sorted(self.rows.items())
            if each == table and each_part == part and key >= first and (end is None or key < end)
        ]
        return {"Rows": found[:limit], "HasMore": len(found) > limit, **self._stamp()}

    async def _feed(self, query: dict[str, str]) -> tuple[int, dict]:
        table, after = query["Table"], int(query["AfterRevision"])
        until_s = time.monotonic() + int(query.get("WaitMs", 0)) / 1_000
        while True:
            newest: dict[tuple[str, str, str], tuple[int, str | None]] = {}
            for revision, row, value in self._history:
                if revision > after and row[0] == table:
                    newest[row] = (revision, value)
            left_s = until_s - time.monotonic()
            if newest or left_s <= 0:
                break
            try:
                await asyncio.wait_for(self._changed.wait(), left_s)
            except TimeoutError:
                pass
        rows = []
        for row, (revision, value) in sorted(newest.items(), key=lambda each: each[1][0]):
            entry = {"Table": table, "part": row[1], "Key": row[2], "SchemaVersion": revision}
            rows.append(
                {**entry, "Tombstone": True} if value is None else {**entry, "Value": value}
            )
        return 200, {"Rows": rows, **self._stamp()}

    def _transact(self, call: dict) -> tuple[int, dict]:
        expected = call.get("ExpectedRevision", [])
        ids = [(each["Table"], each.get("part", ""), each["Key"]) for each in expected]
        current = [self.rows.get(row, ("", 0))[1] for row in ids]
        if current != [each["SchemaVersion"] for each in expected]:
            rows = [
                {
                    "Table": t,
                    "part": p,
                    "Key": k,
                    "Value": self.rows[t, p, k][0],
                    "SchemaVersion": self.rows[t, p, k][1],
                }
                for t, p, k in ids
                if (t, p, k) in self.rows
            ]
            return 412, {"Rows": rows, **self._stamp()}
        changes: list[tuple[tuple[str, str, str], str | None]] = [
            ((each["Table"], each.get("part", ""), each["Key"]), each["Value"])
            for each in call.get("Puts", [])
        ]
        changes += [
            ((each["Table"], each.get("part", ""), each["Key"]), None)
            for each in call.get("Remove", [])
        ]
        if any(row[0] in ("op", "servers") for row, _ in changes):
            return 403, {}
        self._apply(changes)
        return 200, self._stamp()

"""The store as a process of its own, with a second port on which the soak controls it."""

import base64
import json
from typing import Any

from twisted.internet import reactor as default_reactor
from twisted.internet.defer import Deferred
from twisted.internet.protocol import Factory
from twisted.protocols.basic import LineOnlyReceiver

from greengagestage.http1 import ServerFactory
from standins.row_store import RowStore, StoreFault

MAX_LINE_BYTES = 1_000_000


class _ControlPort(LineOnlyReceiver):
    """Executes one command a line, in order, and acknowledges each with a line."""

    delimiter = b"\n"
    MAX_LENGTH = MAX_LINE_BYTES

    transport: Any

    def __init__(self, store: RowStore, reactor: Any) -> None:
        self._store = store
        self._reactor = reactor

    def lineReceived(self, line: bytes) -> None:
        command = json.loads(line)
        match command["do"]:
            case "put":
                value = base64.b64decode(command["value"])
                self._store.put(command["table"], command["key"], value)
            case "remove":
                self._store.remove(command["table"], command["key"])
            case "fault":
                self._store.fault = StoreFault(command["fault"])
        self.transport.write(b"ok\n")

    def connectionLost(self, reason: Any = None) -> None:
        """End the process together with the soak that controls it."""
        self._reactor.stop()


class StoreControl(LineOnlyReceiver):
    """The soak's connection to the store's control port."""

    delimiter = b"\n"
    transport: Any

    def __init__(self) -> None:
        self._waiting: list[Deferred[None]] = []

    def put(self, table: str, key: str, value: bytes) -> "Deferred[None]":
        """Write a row; the result fires when the store has acknowledged it."""
        text = base64.b64encode(value).decode()
        return self._send({"do": "put", "table": table, "key": key, "value": text})

    def remove(self, table: str, key: str) -> "Deferred[None]":
        """Remove a row."""
        return self._send({"do": "remove", "table": table, "key": key})

    def set_fault(self, fault: StoreFault) -> "Deferred[None]":
        """Change how the store misbehaves."""
        return self._send({"do": "fault", "fault": fault.value})

    def lineReceived(self, line: bytes) -> None:
        self._waiting.pop(0).callback(None)

    def _send(self, command: dict[str, str]) -> "Deferred[None]":
        waiting: Deferred[None] = Deferred()
        self._waiting.append(waiting)
        self.transport.write(json.dumps(command).encode() + b"\n")
        return waiting


def run_store(address: str, port: int, control_port: int) -> None:
    """Run the store until its controlling connection is closed."""
    reactor: Any = default_reactor
    store = RowStore(reactor=reactor)
    server = ServerFactory(reactor=reactor, on_request=store.handle, on_refused=store.explain_limit)
    reactor.listenTCP(port, server, interface=address)
    control = Factory.forProtocol(lambda: _ControlPort(store, reactor))  # type: ignore[arg-type]
    reactor.listenTCP(control_port, control, interface=address)
    reactor.run()

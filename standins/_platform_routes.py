"""The HTTP interface of the stand-in platform."""

import math
from dataclasses import dataclass, field
from urllib.parse import unquote

import msgspec
from msgspec import Struct

from ._host_list import HostListing, LaggingHostList
from ._http import Call, Reply, build_json_reply, reactor
from ._permits import PermitRateLimiter
from ._platform_faults import (
    PlatformFault,
    PlatformFaultKind,
    PlatformFaults,
    PlatformService,
)
from ._row_tables import RowTables, StoreReply, changes_rows

_SERVICES_BY_PATH = {
    "rows-tx": PlatformService.TABLE,
    "rows-get": PlatformService.TABLE,
    "blob-put": PlatformService.OBJECTS,
    "blob-get": PlatformService.OBJECTS,
    "hosts": PlatformService.HOSTS,
    "weights": PlatformService.WEIGHTS,
}


class Counters(Struct, kw_only=True):
    """Reads and writes executed since the start, and connections dropped by a fault."""

    reads: int = 0
    writes: int = 0
    dropped: int = 0


@dataclass(frozen=True, slots=True, kw_only=True)
class _Snapshot:
    """The state that stale reads return."""

    tables: RowTables = field(default_factory=RowTables)
    hosts: HostListing = field(default_factory=HostListing)


class PlatformRoutes:
    """Answers the platform's HTTP calls, subject to the active fault of each service."""

    def __init__(self, *, host_lag_s: float, permits_per_s: float) -> None:
        self._tables = RowTables()
        self._hosts = LaggingHostList(lag_s=host_lag_s)
        self._permits = PermitRateLimiter(
            rate_per_s=permits_per_s, burst=max(1, math.ceil(permits_per_s))
        )
        self._faults = PlatformFaults()
        self._snapshots: dict[PlatformService, _Snapshot] = {}
        self._counters = Counters()

    def handle(self, call: Call) -> Reply | None:
        """Answer one call, or apply the active fault of its service."""
        path_root = call.path.strip("/").split("/")[0]
        if path_root in ("_standin", "healthz"):
            return self._answer_control_call(call)
        service = _SERVICES_BY_PATH.get(path_root)
        if service is None:
            return build_json_reply({"error": "no such path"}, status=404)
        fault = self._faults.consume(service)
        match fault.kind:
            case PlatformFaultKind.DOWN:
                self._drop_connection(call)
                return None
            case PlatformFaultKind.SLOW:
                reactor.callLater(fault.delay_ms / 1e3, self._answer_delayed, call, service)
                return None
            case PlatformFaultKind.ANSWER_LOST:
                self._answer(call, service, stale=False)
                self._drop_connection(call)
                return None
        return self._answer(call, service, stale=fault.kind is PlatformFaultKind.STALE)

    def _drop_connection(self, call: Call) -> None:
        self._counters.dropped += 1
        call.abort()

    def _answer_delayed(self, call: Call, service: PlatformService) -> None:
        try:
            call.send(self._answer(call, service, stale=False))
        except (msgspec.DecodeError, msgspec.ValidationError) as error:
            call.send(build_json_reply({"error": str(error)}, status=400))

    def _answer(self, call: Call, service: PlatformService, *, stale: bool) -> Reply:
        match service:
            case PlatformService.TABLE:
                return self._answer_table(call, stale=stale)
            case PlatformService.OBJECTS:
                return self._answer_objects(call, stale=stale)
            case PlatformService.HOSTS:
                self._counters.reads += 1
                return build_json_reply(self._read_hosts(stale=stale))
            case PlatformService.WEIGHTS:
                return self._answer_permit()

    def _answer_table(self, call: Call, *, stale: bool) -> Reply:
        changes = call.path == "/rows-tx" and changes_rows(call.body)
        if changes:
            self._counters.writes += 1
        else:
            self._counters.reads += 1
        tables = self._select_tables(PlatformService.TABLE, stale=stale and not changes)
        if call.path == "/rows-tx":
            return _convert_reply(tables.transact(call.body))
        names = ("Table", "From", "To", "Limit")
        arguments = {name: call.get_argument(name) for name in names if call.has_argument(name)}
        return _convert_reply(tables.read(arguments))

    def _answer_objects(self, call: Call, *, stale: bool) -> Reply:
        kind, _, key = call.path.strip("/").partition("/")
        key = unquote(key)
        if kind == "blob-get":
            self._counters.reads += 1
            found = self._select_tables(PlatformService.OBJECTS, stale=stale).objects.get(key)
            if found is None:
                return build_json_reply({"error": "no such object"}, status=404)
            return Reply(body=found, headers={"Content-Type": "application/octet-stream"})
        self._counters.writes += 1
        if call.get_header("If-None-Match") == "*" and key in self._tables.objects:
            return build_json_reply({"error": "the object exists"}, status=412)
        self._tables.objects[key] = call.body
        return build_json_reply({})

    def _select_tables(self, service: PlatformService, *, stale: bool) -> RowTables:
        return self._snapshots[service].tables if stale else self._tables

    def _read_hosts(self, *, stale: bool) -> HostListing:
        if stale:
            return self._snapshots[PlatformService.HOSTS].hosts
        return self._hosts.read(reactor.seconds())

    def _answer_permit(self) -> Reply:
        permit = self._permits.acquire(reactor.seconds())
        if permit is None:
            wait_s = max(1, math.ceil(self._permits.compute_wait_s()))
            headers = {"Retry-After": str(wait_s)}
            return build_json_reply({"error": "rate used up"}, status=429, headers=headers)
        return build_json_reply({"permit": permit})

    def _answer_control_call(self, call: Call) -> Reply:
        match (call.method, call.path):
            case ("GET", "/healthz"):
                return build_json_reply({"ok": True})
            case ("POST", "/_standin/faults"):
                self._set_fault(msgspec.json.decode(call.body, type=PlatformFault))
                return build_json_reply({"ok": True})
            case ("PUT", "/_standin/hosts"):
                listing = msgspec.json.decode(call.body, type=HostListing)
                self._hosts.set(listing, reactor.seconds())
                return build_json_reply({"ok": True})
            case ("GET", "/_standin/counters"):
                return build_json_reply(self._counters)
        return build_json_reply({"error": "no such path"}, status=404)

    def _set_fault(self, fault: PlatformFault) -> None:
        self._snapshots[fault.service] = _Snapshot(
            tables=self._tables.copy(),
            hosts=self._hosts.read(reactor.seconds()),
        )
        self._faults.set(fault)


def _convert_reply(reply: StoreReply) -> Reply:
    return Reply(status=reply.status, body=reply.body, headers={"Content-Type": "application/json"})

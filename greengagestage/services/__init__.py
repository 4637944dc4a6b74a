"""Clients of the platform's services: the router's table, the host list and the weight store."""

from ._client_protocol import BoundedClientProtocol, BoundedConnectionPool
from ._hosts import HostList, HostListClient, HostState, PlatformHost, PlatformUpstream
from ._http import HttpClient, HttpResponse, read_body
from ._operations import ABSENT, Check, Delete, Operation, Put, Row
from ._outcomes import Committed, Conflict, TransactOutcome
from ._table import PRODUCT_TABLE, TableClient
from ._weights import Permit, PermitDelayed, PermitOutcome, WeightClient

__all__ = [
    "ABSENT",
    "BoundedClientProtocol",
    "BoundedConnectionPool",
    "Check",
    "Committed",
    "Conflict",
    "Delete",
    "HostList",
    "HostListClient",
    "HostState",
    "HttpClient",
    "HttpResponse",
    "Operation",
    "PRODUCT_TABLE",
    "Permit",
    "PermitDelayed",
    "PermitOutcome",
    "PlatformHost",
    "PlatformUpstream",
    "Put",
    "Row",
    "TableClient",
    "TransactOutcome",
    "WeightClient",
    "read_body",
]

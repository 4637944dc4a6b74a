"""Adapter for the operators' platform: its settings, headers, documents and stores.

It decodes the platform's names into the project's types, and encodes them again.
"""

from ._answers import (
    ResponseKind,
    classify_response,
    format_retry_after,
    get_refusal_status,
    is_answer_to,
    names_limit,
    names_no_limit,
    read_limit_per_s,
    read_pause_s,
    states_leaving,
)
from ._headers import (
    CallerRequestMetadata,
    UpstreamRequestMetadata,
    build_caller_headers,
    build_upstream_headers,
    parse_caller_headers,
    replace_time_left,
)
from ._host_settings import READINESS_PATH, SETTINGS_PATH, SETTINGS_VARIABLE, parse_host_settings
from ._objects import AlreadyStored, ObjectClient, ObjectMissing, PutOutcome, Stored
from ._registry_codec import decode_upstream
from ._route_codec import decode_route_table
from ._rows import (
    CONFIGURATION_KEY,
    HOST_TABLE,
    MAX_TRANSACTION_ROWS,
    OPERATOR_TABLE,
    REGISTRY_TABLE,
    HistoryLost,
    RowClient,
    RowConflict,
    RowExpectation,
    RowId,
    RowsRead,
    StoredRow,
    Transaction,
    build_put,
)

__all__ = [
    "CONFIGURATION_KEY",
    "HOST_TABLE",
    "MAX_TRANSACTION_ROWS",
    "OPERATOR_TABLE",
    "READINESS_PATH",
    "REGISTRY_TABLE",
    "SETTINGS_PATH",
    "SETTINGS_VARIABLE",
    "AlreadyStored",
    "CallerRequestMetadata",
    "HistoryLost",
    "ObjectClient",
    "ObjectMissing",
    "PutOutcome",
    "ResponseKind",
    "RowClient",
    "RowConflict",
    "RowExpectation",
    "RowId",
    "RowsRead",
    "Stored",
    "StoredRow",
    "Transaction",
    "UpstreamRequestMetadata",
    "build_caller_headers",
    "build_put",
    "build_upstream_headers",
    "classify_response",
    "decode_route_table",
    "decode_upstream",
    "format_retry_after",
    "get_refusal_status",
    "is_answer_to",
    "names_limit",
    "names_no_limit",
    "parse_caller_headers",
    "parse_host_settings",
    "read_limit_per_s",
    "read_pause_s",
    "replace_time_left",
    "states_leaving",
]

"""Writes the first configuration version to the stand-in platform, as ``greengage apply`` does."""

import base64
from collections.abc import Iterable
from typing import Any
from urllib.parse import quote

import msgspec

from greengagestage.configuration import (
    HEAD_KEY,
    Declaration,
    compute_digest,
    encode_declaration,
    format_document_key,
    format_history_key,
)
from greengagestage.ids import ConfigurationVersion
from greengagestage.services import PRODUCT_TABLE

from ._web_calls import WebResponse, send_request

FIRST_VERSION = ConfigurationVersion(1)


def store_first_version(platform: str, declaration: Declaration) -> list[WebResponse]:
    """Store a declaration and point the head at it; return both responses."""
    document = encode_declaration(declaration)
    digest = compute_digest(document)
    head = {
        "version": FIRST_VERSION,
        "digest": digest,
        "command_id": "first-declaration",
        "operator": "operations",
        "at": 0,
    }
    url = f"{platform}/blob-put/{quote(format_document_key(digest), safe='')}"
    stored = send_request("PUT", url, document)
    return [stored, write_value(platform, (HEAD_KEY, format_history_key(FIRST_VERSION)), head)]


def read_head(platform: str) -> dict[str, Any]:
    """Return the value of the head's row."""
    url = f"{platform}/rows-get?Table={PRODUCT_TABLE}&part=&From={quote(HEAD_KEY, safe='')}"
    row = send_request("GET", f"{url}&Limit=1").decode(dict)["Rows"][0]
    head: dict[str, Any] = msgspec.json.decode(base64.b64decode(row["Value"]))
    return head


def write_head(platform: str, head: dict[str, Any]) -> WebResponse:
    """Replace the head's row."""
    return write_value(platform, (HEAD_KEY,), head)


def write_value(platform: str, keys: Iterable[str], value: object) -> WebResponse:
    """Write the same value to several rows of the product's table."""
    encoded = base64.b64encode(msgspec.json.encode(value)).decode()
    row = {"Table": PRODUCT_TABLE, "part": "", "Value": encoded}
    return send_request(
        "POST", f"{platform}/rows-tx", {"Puts": [row | {"Key": key} for key in keys]}
    )

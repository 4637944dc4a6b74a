"""A blocking HTTP client for launchers and tests, which wait for other processes anyway."""

import urllib.error
import urllib.request
from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any, TypeVar

import msgspec

CALL_TIMEOUT_S = 10.0
OK_STATUS = 200
UNREACHABLE_STATUS = 0

_T = TypeVar("_T")


@dataclass(frozen=True, slots=True, kw_only=True)
class WebResponse:
    """A response; status 0 means that there was none."""

    status: int
    body: bytes = b""
    headers: Mapping[str, str] | None = None

    def decode(self, kind: type[_T]) -> _T:
        """Decode the JSON body as a type."""
        return msgspec.json.decode(self.body, type=kind)


def send_request(
    method: str,
    url: str,
    body: Any = None,
    *,
    headers: Mapping[str, str] | None = None,
    timeout_s: float = CALL_TIMEOUT_S,
) -> WebResponse:
    """Send one request; a body of bytes is sent unchanged, any other as JSON."""
    data = body if body is None or isinstance(body, bytes) else msgspec.json.encode(body)
    request = urllib.request.Request(url, data=data, headers=dict(headers or {}), method=method)
    try:
        with urllib.request.urlopen(request, timeout=timeout_s) as response:
            return WebResponse(
                status=response.status, body=response.read(), headers=dict(response.headers)
            )
    except urllib.error.HTTPError as error:
        return WebResponse(status=error.code, body=error.read(), headers=dict(error.headers))
    except (OSError, ValueError):
        return WebResponse(status=UNREACHABLE_STATUS)

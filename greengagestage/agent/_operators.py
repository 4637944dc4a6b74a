"""Authenticates operators by the key in the Authorization header."""

import hashlib
import hmac
from collections.abc import Iterable

from greengagestage.configuration import Declaration
from greengagestage.ids import OperatorName

BOOTSTRAP_OPERATOR = OperatorName("(fleet key)")
"""Name under which the first declaration is applied, before any operator is declared."""
_SCHEME = "bearer "


def find_operator(authorization: str, declaration: Declaration) -> OperatorName | None:
    """Return the operator whose key the header carries, or None."""
    digest = hashlib.sha256(_read_key(authorization)).hexdigest()
    found = [
        operator.name
        for operator in declaration.operators
        if hmac.compare_digest(operator.sha256, digest)
    ]
    return found[0] if found else None


def carries_fleet_key(authorization: str, fleet_keys: Iterable[str]) -> bool:
    """Return whether the header carries a fleet key."""
    key = _read_key(authorization)
    return any(hmac.compare_digest(key, known.encode()) for known in fleet_keys)


def _read_key(authorization: str) -> bytes:
    if not authorization.lower().startswith(_SCHEME):
        return b""
    return authorization[len(_SCHEME) :].strip().encode()

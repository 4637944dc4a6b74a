"""Tells who an operator is by the key in the Authorization header."""

import hashlib
import hmac

from greengagestage.configuration import Declaration
from greengagestage.ids import OperatorName

_SCHEME = "bearer "


def find_operator(authorization: str, declaration: Declaration) -> OperatorName | None:
    """Return the operator whose key the header carries, or None."""
    if not authorization.lower().startswith(_SCHEME):
        return None
    key = authorization[len(_SCHEME) :].strip()
    digest = hashlib.sha256(key.encode()).hexdigest()
    found = [
        operator.name
        for operator in declaration.operators
        if hmac.compare_digest(operator.sha256, digest)
    ]
    return found[0] if found else None

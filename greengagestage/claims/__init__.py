"""Claims: the right to run a non-idempotent request once, stored in the platform's table."""

from ._answers import StoredAnswer
from ._store import ClaimStore

__all__ = ["ClaimStore", "StoredAnswer"]

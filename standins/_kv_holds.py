"""KV cache that is retained on request for a limited time, or imported from another engine."""

from dataclasses import dataclass

from msgspec import Struct


class ExportRequest(Struct, frozen=True, kw_only=True):
    """The body of ``POST /kv/export``; a second request for the same attempt renews the hold."""

    attempt_id: str
    hold_ms: int


class Hold(Struct, frozen=True, kw_only=True):
    """The answer to an export; ``expires_ms`` is the time to live in milliseconds."""

    handle: str
    tokens: int
    expires_ms: int


class HeldPrompt(Struct, frozen=True, kw_only=True):
    """The prompt's digest and the number of retained tokens, as read by another engine."""

    digest: int
    tokens: int


class ImportRequest(Struct, frozen=True, kw_only=True):
    """The body of ``POST /kv/import``."""

    handle: str
    source: str


@dataclass(slots=True, kw_only=True)
class _StoredHold:
    prompt: HeldPrompt
    expires_s: float
    imported: bool


class KvHolds:
    """Holds by handle; expired holds are dropped before each lookup."""

    def __init__(self) -> None:
        self._holds: dict[str, _StoredHold] = {}

    def keep(
        self, handle: str, prompt: HeldPrompt, expires_s: float, *, imported: bool = False
    ) -> None:
        """Add a hold or replace the one with the same handle."""
        self._holds[handle] = _StoredHold(prompt=prompt, expires_s=expires_s, imported=imported)

    def renew(self, handle: str, expires_s: float, now_s: float) -> HeldPrompt | None:
        """Extend a hold that has not expired; return its prompt, or None if there is no hold."""
        prompt = self.find(handle, now_s)
        if prompt is not None:
            self._holds[handle].expires_s = expires_s
        return prompt

    def release(self, handle: str) -> bool:
        """Drop a hold; return whether it existed."""
        return self._holds.pop(handle, None) is not None

    def find(self, handle: str, now_s: float) -> HeldPrompt | None:
        """Return the prompt of a hold, or None if it does not exist or has expired."""
        self._expire(now_s)
        stored = self._holds.get(handle)
        return stored.prompt if stored else None

    def drop_imported(self, digest: int) -> None:
        """Drop imported holds of a prompt that starts to run: its sequence owns the cache now."""
        for handle, stored in list(self._holds.items()):
            if stored.imported and stored.prompt.digest == digest:
                del self._holds[handle]

    def count_cached_tokens(self, digest: int, now_s: float) -> int:
        """Return the number of tokens in the longest held context of a prompt."""
        self._expire(now_s)
        return max(
            (
                stored.prompt.tokens
                for stored in self._holds.values()
                if stored.prompt.digest == digest
            ),
            default=0,
        )

    def count_reserved_tokens(self, now_s: float) -> int:
        """Return the number of tokens by which holds reduce the prefix cache's capacity."""
        self._expire(now_s)
        return sum(stored.prompt.tokens for stored in self._holds.values())

    def _expire(self, now_s: float) -> None:
        for handle in [h for h, stored in self._holds.items() if stored.expires_s <= now_s]:
            del self._holds[handle]

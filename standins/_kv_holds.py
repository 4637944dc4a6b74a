"""KV cache kept on request for a time, and KV cache taken over from another engine."""

from dataclasses import dataclass

from msgspec import Struct


class ExportOrder(Struct, frozen=True, kw_only=True):
    """The body of ``POST /kv/export``. A second order for the same attempt renews the hold."""

    attempt_id: str
    hold_ms: int


class Hold(Struct, frozen=True, kw_only=True):
    """The answer to an export."""

    handle: str
    tokens: int
    expires_ms: int


class HeldPrompt(Struct, frozen=True, kw_only=True):
    """What another engine reads of a hold: the prompt's digest and the tokens kept."""

    digest: int
    tokens: int


class ImportOrder(Struct, frozen=True, kw_only=True):
    """The body of ``POST /kv/import``."""

    handle: str
    source: str


@dataclass(slots=True, kw_only=True)
class _Kept:
    prompt: HeldPrompt
    expires_s: float
    imported: bool


class KvHolds:
    """Holds by handle; an expired hold is as good as absent."""

    def __init__(self) -> None:
        self._kept: dict[str, _Kept] = {}

    def keep(
        self, handle: str, prompt: HeldPrompt, expires_s: float, *, imported: bool = False
    ) -> None:
        """Keep or renew a hold."""
        self._kept[handle] = _Kept(prompt=prompt, expires_s=expires_s, imported=imported)

    def renew(self, handle: str, expires_s: float, now_s: float) -> HeldPrompt | None:
        """Extend a hold that has not expired and return what it keeps."""
        prompt = self.find(handle, now_s)
        if prompt is not None:
            self._kept[handle].expires_s = expires_s
        return prompt

    def release(self, handle: str) -> bool:
        """Drop a hold; tell whether there was one."""
        return self._kept.pop(handle, None) is not None

    def find(self, handle: str, now_s: float) -> HeldPrompt | None:
        """Return what a hold keeps."""
        self._expire(now_s)
        kept = self._kept.get(handle)
        return kept.prompt if kept else None

    def use_imported(self, digest: int) -> None:
        """Drop imported contexts of a prompt that runs now: the sequence owns them."""
        for handle, kept in list(self._kept.items()):
            if kept.imported and kept.prompt.digest == digest:
                del self._kept[handle]

    def count_cached_tokens(self, digest: int, now_s: float) -> int:
        """Return the longest kept context of a prompt."""
        self._expire(now_s)
        return max(
            (kept.prompt.tokens for kept in self._kept.values() if kept.prompt.digest == digest),
            default=0,
        )

    def count_reserved_tokens(self, now_s: float) -> int:
        """Return the memory that holds take from the prefix cache."""
        self._expire(now_s)
        return sum(kept.prompt.tokens for kept in self._kept.values())

    def _expire(self, now_s: float) -> None:
        for handle in [h for h, kept in self._kept.items() if kept.expires_s <= now_s]:
            del self._kept[handle]

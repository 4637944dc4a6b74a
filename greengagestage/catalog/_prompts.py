"""Prompts as callers describe them."""

from dataclasses import dataclass

from greengagestage.ids import PromptPartId


@dataclass(frozen=True, slots=True, kw_only=True)
class PromptPart:
    """A part of a prompt that other requests may share."""

    part: PromptPartId
    tokens: int


@dataclass(frozen=True, slots=True, kw_only=True)
class Prompt:
    """A prompt's size and parts.

    Attributes:
        parts: In order; the last one belongs to the request itself or to its session.
        output_tokens: Most tokens that may be generated.
    """

    tokens: int
    output_tokens: int
    parts: tuple[PromptPart, ...] = ()

    @property
    def shared_parts(self) -> tuple[PromptPart, ...]:
        """The parts that other requests may share."""
        return self.parts[:-1]

    @property
    def shared_tokens(self) -> int:
        """Tokens of the parts that other requests may share."""
        return sum(part.tokens for part in self.shared_parts)

    @property
    def affinity_key(self) -> PromptPartId | None:
        """The longest shared beginning, named by its last part."""
        if not self.parts:
            return None
        return (self.shared_parts or self.parts)[-1].part

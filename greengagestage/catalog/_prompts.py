"""The size and the cacheable parts of a prompt, as described by the caller."""

from dataclasses import dataclass

from greengagestage.ids import PromptPartId


@dataclass(frozen=True, slots=True, kw_only=True)
class PromptPart:
    """One of the consecutive parts of a prompt.

    Attributes:
        part: Id of the part; equal parts have equal ids.
        tokens: Number of tokens in the part.
    """

    part: PromptPartId
    tokens: int


@dataclass(frozen=True, slots=True, kw_only=True)
class Prompt:
    """A prompt's size and parts.

    Attributes:
        tokens: Total number of input tokens.
        output_tokens: Maximum number of generated tokens.
        parts: Parts in order. Other requests may share all but the last one, which belongs to this
            request or its session alone.
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
        """Number of tokens in the parts that other requests may share."""
        return sum(part.tokens for part in self.shared_parts)

    @property
    def affinity_key(self) -> PromptPartId | None:
        """Id of the last shared part, which stands for the whole shared prefix.

        A prompt of a single part has no shared prefix and is known by the id of that part. None
        without any parts.
        """
        if not self.parts:
            return None
        return (self.shared_parts or self.parts)[-1].part

"""A buffer for a body that arrives in pieces."""

from collections.abc import Iterator

PART_BYTES = 16_384
"""Size up to which pieces are joined: that of a read, which can hold thousands of chunks."""


class PieceBuffer:
    """Keeps the bytes of a body, which take little more memory than their number.

    Pieces can be as small as the sender likes. An object for each one would take many times the
    memory of its bytes.

    Attributes:
        size: Number of bytes in the buffer.
    """

    __slots__ = ("_parts", "size")

    def __init__(self) -> None:
        self._parts: list[bytearray] = []
        self.size = 0

    def append(self, piece: bytes | bytearray) -> None:
        """Add a copy of a piece."""
        if self._parts and len(self._parts[-1]) + len(piece) <= PART_BYTES:
            self._parts[-1] += piece
        else:
            self._parts.append(bytearray(piece))
        self.size += len(piece)

    def take(self) -> bytes:
        """Return all bytes and leave the buffer empty."""
        return b"".join(self.take_parts())

    def take_parts(self) -> Iterator[bytes]:
        """Return the bytes in parts of a read's size, and leave the buffer empty."""
        parts, self._parts, self.size = self._parts, [], 0
        return map(bytes, parts)

    def clear(self) -> None:
        """Drop all bytes."""
        self._parts, self.size = [], 0

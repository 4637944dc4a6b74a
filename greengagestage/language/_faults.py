"""Describes an error in a line and its position."""

from dataclasses import dataclass

from greengagestage.results import ResultCode


@dataclass(frozen=True, slots=True, kw_only=True)
class LanguageFault:
    """A fault in a command.

    Attributes:
        column: Character position in the typed line, from 1; None if the fault has no single one.
        expected: Words that would be valid at this position.
    """

    code: ResultCode
    message: str
    column: int | None = None
    expected: tuple[str, ...] = ()

    def describe(self, line: str) -> str:
        """Return the fault as text, with a caret under its column of the line."""
        parts = [self.message]
        if self.column is not None:
            parts += [f"  {line}", "  " + " " * (self.column - 1) + "^"]
        if self.expected:
            parts.append("expected: " + ", ".join(self.expected))
        return "\n".join(parts)

"""What is wrong with a line, and where."""

from dataclasses import dataclass

from greengagestage.results import ResultCode


@dataclass(frozen=True, slots=True, kw_only=True)
class LanguageFault:
    """A fault in a command.

    Attributes:
        column: Place in the line, from 1; None where no one place is to blame.
        expected: Words that could stand there instead.
    """

    code: ResultCode
    message: str
    column: int | None = None
    expected: tuple[str, ...] = ()

    def describe(self, line: str) -> str:
        """Return the fault as text that points at its column under the line."""
        parts = [self.message]
        if self.column is not None:
            parts += [f"  {line}", "  " + " " * (self.column - 1) + "^"]
        if self.expected:
            parts.append("expected: " + ", ".join(self.expected))
        return "\n".join(parts)

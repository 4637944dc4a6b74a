"""Parses a line of text into a command."""

from functools import cache
from importlib.resources import files

from lark import Lark, Token, UnexpectedCharacters, UnexpectedInput, UnexpectedToken
from lark.exceptions import UnexpectedEOF
from returns.result import Failure, Result, Success

from greengagestage.results import ResultCode

from ._commands import Command
from ._faults import LanguageFault
from ._transformer import CommandTransformer

MAX_LINE_CHARACTERS = 4096

_TERMINAL_DESCRIPTIONS = {
    "TABLE_NAME": "a table's name",
    "FIELD_NAME": "a field's name",
    "NAME": "a name",
    "COUNT": "a whole number",
    "DURATION": "a duration such as 1500ms",
    "PERCENT": "a percentage",
    "NUMBER": "a number",
    "STRING": "a quoted text",
    "WORD": "a word",
    "TOPIC": "a command's name",
    "FLAG": "true or false",
    "COMPARATOR": "one of = != < <= > >= ~",
    "DIRECTION": "asc or desc",
    "SUBJECT": "request or upstream",
    "DECLARED": "class, workspace, upstream or operator",
    "ARTIFACT": "model or adapter",
    "ROLE": "mixed, prefill or decode",
    "$END": "the end of the line",
}


@cache
def get_parser() -> Lark:
    """Return the parser of the language. It is built on the first call."""
    grammar = files("greengagestage.language").joinpath("grammar.lark").read_text()
    return Lark(grammar, parser="lalr", maybe_placeholders=True)


def parse(line: str) -> Result[Command, LanguageFault]:
    """Parse one line.

    Returns:
        The command, or a fault with code ``SYNTAX_ERROR``. The fault has a column unless the
        line is too long.
    """
    if len(line) > MAX_LINE_CHARACTERS:
        message = f"The line is longer than {MAX_LINE_CHARACTERS} characters"
        return Failure(LanguageFault(code=ResultCode.SYNTAX_ERROR, message=message))
    try:
        tree = get_parser().parse(line)
    except UnexpectedInput as error:
        return Failure(_build_syntax_fault(line, error))
    return Success(CommandTransformer().transform(tree))


def describe_terminal(terminal: str) -> str:
    """Return the description of a grammar terminal that operators see."""
    if terminal in _TERMINAL_DESCRIPTIONS:
        return _TERMINAL_DESCRIPTIONS[terminal]
    return get_keyword(terminal) or terminal.lower()


def get_keyword(terminal: str) -> str | None:
    """Return the text of a terminal that matches one fixed string, or None for a pattern."""
    for definition in get_parser().terminals:
        if definition.name == terminal and definition.pattern.type == "str":
            return str(definition.pattern.value)
    return None


def _build_syntax_fault(line: str, error: UnexpectedInput) -> LanguageFault:
    match error:
        case UnexpectedToken(token=Token(type="$END")) | UnexpectedEOF():
            message, column = "The line is incomplete", len(line) + 1
        case UnexpectedToken():
            message, column = f"Unexpected {str(error.token)!r}", error.column
        case UnexpectedCharacters():
            message, column = f"Unexpected character {error.char!r}", error.column
        case _:
            message, column = "The line cannot be parsed", 1
    return LanguageFault(
        code=ResultCode.SYNTAX_ERROR,
        message=message,
        column=max(1, column),
        expected=_list_expected_words(error),
    )


def _list_expected_words(error: UnexpectedInput) -> tuple[str, ...]:
    terminals: set[str] = set()
    match error:
        case UnexpectedToken():
            terminals = set(error.accepts or error.expected)
        case UnexpectedCharacters():
            terminals = set(error.allowed or ())
    return tuple(sorted(describe_terminal(t) for t in terminals if t != "WS"))

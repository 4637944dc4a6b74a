"""From a line of text to a command."""

from functools import cache
from importlib.resources import files

from lark import Lark, Token, UnexpectedCharacters, UnexpectedInput, UnexpectedToken
from lark.exceptions import UnexpectedEOF
from returns.result import Failure, Result, Success

from greengagestage.results import ResultCode

from ._commands import Command
from ._faults import LanguageFault
from ._transformer import CommandTransformer

LINE_LIMIT_CHARACTERS = 4096

_TERMINAL_WORDS = {
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
def load_parser() -> Lark:
    """Return the parser of the language, built once."""
    grammar = files("greengagestage.language").joinpath("grammar.lark").read_text()
    return Lark(grammar, parser="lalr", maybe_placeholders=True)


def parse(line: str) -> Result[Command, LanguageFault]:
    """Read one line.

    Returns:
        The command, or a fault of code ``SYNTAX_ERROR`` that names the column.
    """
    if len(line) > LINE_LIMIT_CHARACTERS:
        message = f"The line is longer than {LINE_LIMIT_CHARACTERS} characters"
        return Failure(LanguageFault(code=ResultCode.SYNTAX_ERROR, message=message))
    try:
        tree = load_parser().parse(line)
    except UnexpectedInput as error:
        return Failure(_describe_error(line, error))
    return Success(CommandTransformer().transform(tree))


def name_terminal(terminal: str) -> str:
    """Return what a terminal of the grammar is called towards an operator."""
    if terminal in _TERMINAL_WORDS:
        return _TERMINAL_WORDS[terminal]
    return read_keyword(terminal) or terminal.lower()


def read_keyword(terminal: str) -> str | None:
    """Return the text of a terminal that is one fixed word, else None."""
    for definition in load_parser().terminals:
        if definition.name == terminal and definition.pattern.type == "str":
            return str(definition.pattern.value)
    return None


def _describe_error(line: str, error: UnexpectedInput) -> LanguageFault:
    match error:
        case UnexpectedToken(token=Token(type="$END")) | UnexpectedEOF():
            message, column = "The line ends too early", len(line) + 1
        case UnexpectedToken():
            message, column = f"Cannot read {str(error.token)!r} here", error.column
        case UnexpectedCharacters():
            message, column = f"Cannot read {error.char!r} here", error.column
        case _:
            message, column = "Cannot read this", 1
    return LanguageFault(
        code=ResultCode.SYNTAX_ERROR,
        message=message,
        column=max(1, column),
        expected=_list_expected(error),
    )


def _list_expected(error: UnexpectedInput) -> tuple[str, ...]:
    terminals: set[str] = set()
    match error:
        case UnexpectedToken():
            terminals = set(error.accepts or error.expected)
        case UnexpectedCharacters():
            terminals = set(error.allowed or ())
    return tuple(sorted(name_terminal(t) for t in terminals if t != "WS"))

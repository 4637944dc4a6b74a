"""What may stand next in an unfinished line."""

from lark import Lark, Token
from lark.exceptions import UnexpectedInput

from ._changes import list_settable_fields
from ._commands import DeclaredKind
from ._help import TOPICS
from ._parser import load_parser, read_keyword
from ._schema import SCHEMAS

_FIXED_CHOICES = {
    "DIRECTION": ("asc", "desc"),
    "SUBJECT": ("request", "upstream"),
    "DECLARED": tuple(kind.value for kind in DeclaredKind),
    "ARTIFACT": ("model", "adapter"),
    "ROLE": ("mixed", "prefill", "decode"),
    "FORCED": ("forced",),
    "FLAG": ("true", "false"),
    "COMPARATOR": ("=", "!=", "<", "<=", ">", ">=", "~"),
    "TABLE_NAME": tuple(SCHEMAS),
    "TOPIC": tuple(TOPICS),
}


def complete(line: str) -> tuple[str, ...]:
    """Return the words that may stand next, those that begin like the last word given.

    The last word counts as unfinished unless a space follows it.
    """
    head, _, unfinished = line.rpartition(" ")
    interactive = load_parser().parse_interactive(head)
    try:
        tokens = list(interactive.exhaust_lexer())
    except UnexpectedInput:
        return ()
    words: set[str] = set()
    for terminal in interactive.accepts():  # type: ignore[no-untyped-call]
        words.update(_list_choices(load_parser(), terminal, tokens))
    return tuple(sorted(word for word in words if word.startswith(unfinished)))


def _list_choices(parser: Lark, terminal: str, tokens: list[Token]) -> tuple[str, ...]:
    if terminal in _FIXED_CHOICES:
        return _FIXED_CHOICES[terminal]
    if terminal == "FIELD_NAME":
        return _list_fields(tokens)
    keyword = read_keyword(terminal)
    return () if keyword is None or not keyword.isalpha() else (keyword,)


def _list_fields(tokens: list[Token]) -> tuple[str, ...]:
    for token in tokens:
        if token.type == "TABLE_NAME" and str(token) in SCHEMAS:
            return SCHEMAS[str(token)].list_field_names()
        if token.type == "DECLARED":
            return list_settable_fields(DeclaredKind(str(token)))
    if tokens and str(tokens[0]) == "create":
        return list_settable_fields(DeclaredKind.WORKSPACE)
    return ()
